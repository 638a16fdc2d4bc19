"""The operators' configuration and the platform's data as typed records."""

from collections.abc import Mapping
import random
import types
from typing import Literal, NamedTuple

from bulrushdeal import exchanges

RouteKind = Literal["safe", "unsafe", "streaming", "batch"]
# What the newest listing shows of an upstream. `kept`: the store does not list
# it, which an outage of the store may explain. `gone`: the store no longer
# lists it. `absent`: another VM's list does not have it.
Presence = Literal["absent", "listed", "kept", "gone"]


class WeightedService(NamedTuple):
    """A service of a route and its weight in the route's traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of a host and a path prefix are routed and handled.

    Attributes:
        name: The operators' name for the route.
        host: The host of its requests, in lower case.
        prefix: The path prefix; it begins and ends with a slash.
        kind: The class of its requests, which determines whether a request
            may be repeated.
        timeout_s: The longest time to a request's final answer.
        target_latency_s: The latency up to which an answer is on time.
        priority: The rank among routes, 0 the highest.
        services: The services that run its requests.
        max_attempts: How many upstreams one attempt of a caller may run on.
        is_public: Whether requests need no API key.
        is_resumable: Whether a stream may resume at another upstream.
        has_prompt: Whether its requests describe a prompt.
        retention_s: The time after its submission from which a batch item
            may be given up.
        completion_target_s: The time after its submission at which a batch
            job is due.
        gap_target_s: The longest pause in a stream that counts as on time;
            0 if there is no target.
        regions: The regions that its requests may be sent to; empty for all.
        max_waiting_tokens: How many tokens of batch items without a result
            one customer may have on the route, over all VMs; 0 for no
            limit.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    has_prompt: bool
    retention_s: float
    completion_target_s: float
    max_waiting_tokens: int = 0
    gap_target_s: float = 0.0
    regions: tuple[str, ...] = ()

    def choose_service(self) -> str | None:
        """Returns a random service by weight; `None` if all weights are 0."""
        weights = [row.weight for row in self.services]
        if sum(weights) <= 0:
            return None
        return random.choices(self.services, weights)[0].service

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        # Only streams can be resumed, whatever the route of others says.
        is_resumable = self.kind == "streaming" and self.is_resumable
        return self.kind == "safe" or is_resumable


class Engine(NamedTuple):
    """The capacity of a service's model engine.

    Attributes:
        slots: Requests that it runs at once.
        memory_tokens: Tokens that fit into its key-value cache.
    """

    slots: int
    memory_tokens: int


class Service(NamedTuple):
    """A service that upstreams belong to.

    Attributes:
        name: The service's name.
        health_path: The path of its health check.
        max_connections: The operators' connection limit; 0 if not set.
        engine: The capacity of its model engines; `None` if its upstreams
            are not model engines.
        cold_start_s: How long its upstreams stay cold after a start; 0 if
            they are never cold.
        cold_rate_per_s: The rate of requests that a cold upstream tolerates.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on what a caller sends and on how long it may be idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Customer(NamedTuple):
    """A customer: its API keys, and its rate and burst over all VMs.

    A `rate_per_s` of 0 means that its rate is not limited. `regions` are the
    regions that its requests may be sent to; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float
    regions: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """One complete version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    caller_limits: CallerLimits
    customers: tuple[Customer, ...]


class Upstream(NamedTuple):
    """One upstream on the platform's list.

    Attributes:
        instance: The name that this upstream has for its whole lifetime.
        service: The service it belongs to.
        address: `HOST:PORT`, which another upstream may have later.
        failure_domain: The failure domain it runs in.
        slots: Requests that it runs at once.
        is_draining: Whether it must not get new requests.
        started_ms: When it was started, in milliseconds of the epoch; 0 if
            unknown.
        cold_remaining_s: How long it stays cold from when its entry was
            written; `None` if the entry does not say.
        software_version: The version of its software, which is only compared
            for equality; empty if unknown.
        sequence: The number of this report among those of the upstream since
            its start; 0 if unknown.
        presence: What the newest listing shows of it.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    started_ms: int
    cold_remaining_s: float | None = 0.0
    software_version: str = ""
    sequence: int = 0
    presence: Presence = "listed"

    @property
    def origin(self) -> "StreamOrigin":
        """What a stream that begins here may go on at."""
        return StreamOrigin(self.service, self.software_version)


class StreamOrigin(NamedTuple):
    """Where a stream or an item's output began, and may go on.

    Attributes:
        service: The service of the upstream.
        software_version: The version of the upstream's software; empty if it
            is not known, in which case the stream may not go on.
    """

    service: str
    software_version: str


class ColdLimits(NamedTuple):
    """How far the operators tolerate more requests to a cold upstream.

    In any second a cold upstream may get its service's `cold_rate_per_s` times
    `rate_factor`, plus `slack` requests, over all VMs.
    """

    rate_factor: float
    slack: float


class Settings(NamedTuple):
    """The settings of one gateway process; they are read at its start.

    Addresses are `HOST:PORT`.

    Attributes:
        vm: This VM's name.
        failure_domain: The failure domain that this VM runs in.
        callers_address: The address that callers connect to.
        ready_address: The address at which the load balancer checks whether
            to send callers to this VM.
        peers_address: The address that other VMs connect to.
        metrics_address: The address that serves metrics; empty for none.
        store_address: The address of the platform's store.
        max_value_bytes: The largest value that the store takes.
        min_lease_s: The shortest lease that the store grants.
        grace_s: The time from SIGTERM to SIGKILL.
        limit_slack: Requests beyond a customer's rate and burst that the
            operators tolerate in any window of `limit_window_s`.
        limit_window_s: The length of that window.
        limit_overage: Part of a customer's rate and burst in such a window
            that the operators tolerate beyond them, besides `limit_slack`.
        heartbeat_s: How often upstreams write their entries to the store.
        upstream_connect_timeout_s: The time limit for a new connection to
            an upstream.
        cores: The processor cores that the process may use; 0 if unknown.
        cold_limits: The limits for cold upstreams; `None` if there are none.
        regions: The region of each failure domain.
        is_first_start: Whether the whole system starts for the first time.
        has_waiting_line: Whether a request that finds no room may wait at the
            leader of its service, in the order of rank and fair share.
        drain_timeout_s: How long an upstream that leaves serves after the
            store has accepted it.
        callers_memory_bytes: What may be held for all callers together: bodies,
            answers, jobs that are decoded.
        callers_connections: How many connections of callers may be open.
        callers_threads: How many requests of callers may be served at once.
    """

    vm: str
    failure_domain: str
    callers_address: str
    ready_address: str
    peers_address: str
    metrics_address: str
    store_address: str
    max_value_bytes: int
    min_lease_s: float
    grace_s: float
    limit_slack: float
    limit_window_s: float
    heartbeat_s: float = 1.0
    upstream_connect_timeout_s: float = 0.3
    cores: float = 0.0
    cold_limits: ColdLimits | None = None
    regions: Mapping[str, str] = types.MappingProxyType({})
    is_first_start: bool = False
    limit_overage: float = 0.0
    has_waiting_line: bool = False
    drain_timeout_s: float = 2.0
    callers_memory_bytes: int = exchanges.DEFAULT_LIMIT_BYTES
    callers_connections: int = 2000
    callers_threads: int = 320
