"""The record types of the operators' configuration and the list of VMs."""

from typing import Literal, NamedTuple

VmState = Literal["live", "leaving"]
VmRole = Literal["entry", "upstream"]
UpstreamKind = Literal["engine", "plain"]
WorkClass = Literal["online", "batch"]


class Vm(NamedTuple):
    """One row of the platform's list of VMs.

    Attributes:
        vm: The VM's name, unique over its whole life.
        failure_domain: The failure domain that the VM belongs to.
        role: `entry` if the VM runs this system, `upstream` if it runs an
            upstream.
        peer_address: `HOST:PORT` at which other entry VMs connect to it; empty
            for upstream VMs.
        state: Whether the VM stays or is about to be removed; a leaving VM is
            given no new work.
        has_disk: Whether it runs a bulk store.
        cores: The number of processor cores that it may use; 0 if unknown.
    """

    vm: str
    failure_domain: str
    role: VmRole
    peer_address: str = ""
    state: VmState = "live"
    has_disk: bool = False
    cores: float = 0.0


class Customer(NamedTuple):
    """One row of the operators' table of weights and limits.

    Attributes:
        customer: The customer's name.
        weight: Its share of online capacity when customers compete, relative
            to the weights of the others.
        rate_per_s: The allowed rate over all VMs together, in requests per
            second.
        burst: The number of requests allowed at once, over all VMs together.
        batch_weight: Its share of batch capacity, relative to the others.
    """

    customer: str
    weight: float = 1.0
    rate_per_s: float = 10.0
    burst: float = 20.0
    batch_weight: float = 1.0


class InitialTokensPart(NamedTuple):
    """One failure domain's part of a new customer's initial tokens.

    Attributes:
        failure_domain: The failure domain that the part belongs to.
        epoch: The ownership epoch of the part; only the owner of this epoch
            may grant the tokens.
        fraction: The part's share of the customer's burst, from 0 to 1.
    """

    failure_domain: str
    epoch: int
    fraction: float


class InitialTokens(NamedTuple):
    """The initial tokens of a new customer, one burst over all domains.

    Attributes:
        customer: The customer's name.
        burst: The customer's burst when the customer was created.
        created_s: The wall-clock time of creation, in seconds since the epoch.
            A few minutes later every owner has seen the record, and it may be
            deleted.
        parts: How the limits were split between failure domains at that time.
    """

    customer: str
    burst: float
    created_s: float
    parts: tuple[InitialTokensPart, ...]


class Key(NamedTuple):
    """A caller's key, stored as its hash.

    Attributes:
        key_hash: SHA-256 of the key, in hexadecimal.
        customer: The customer that the key belongs to.
        label: A name by which operators recognize the key.
        withdrawn: Whether the key has been withdrawn, which is permanent.
    """

    key_hash: str
    customer: str
    label: str
    withdrawn: bool = False


class Upstream(NamedTuple):
    """A model engine or plain service that requests are routed to.

    Attributes:
        upstream: The upstream's name.
        kind: Whether it is a model engine or a plain service.
        address: `HOST:PORT` of its HTTP server.
        vm: The VM it runs on, as the platform lists it.
        failure_domain: The failure domain that it belongs to.
        models: The models that an engine serves.
        service: The path segment that a plain service is called by.
        slots: The number of requests that it can run at once without
            overload.
        checks_fencing: Whether it refuses an order whose fencing number is
            lower than one it has already seen.
    """

    upstream: str
    kind: UpstreamKind
    address: str
    vm: str
    failure_domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    slots: int = 16
    checks_fencing: bool = False
