"""Names and interfaces of the daemon's services.

Services look each other up by name in the kernel and depend on these
`Protocol` types. An operation that can fail returns a `Result` with an error
type of its own service's layer.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Literal, NamedTuple, Protocol

import result

from bulrushdeal import httpd
from bulrushdeal import records

KEYVALUE = "keyvalue"
MEMBERSHIP = "membership"
PEERS = "peers"
CONFIG = "config"
LIMITS = "limits"
ROUTER = "router"
UPSTREAMS = "upstreams"
STORE = "store"
JOBS = "jobs"
USAGE = "usage"
INTENTS = "intents"
CALLERS = "callers"
OPERATORS = "operators"

ExecutionStatus = Literal["not_run", "ran", "unknown"]
# What an address does with a new connection.
AddressState = Literal["refuses", "accepts", "unreachable"]


class Entry(NamedTuple):
    """A key of the platform's key-value service with its value."""

    key: str
    value: bytes
    revision: int


class KeyValueError(NamedTuple):
    """A failed call to the platform's key-value service.

    Attributes:
        kind: `conflict`: the key does not have the expected revision.
            `unavailable`: the service did not answer, and the call had no
            effect or was only a read. `unknown`: a write may or may not have
            taken effect, and reading the key back did not show which.
        message: Text for the log.
        current: On a conflict, the key's current entry; `None` if the key
            does not exist.
    """

    kind: Literal["conflict", "unavailable", "unknown"]
    message: str
    current: Entry | None = None


class KeyValue(Protocol):
    """Durable storage in the platform's key-value service.

    All keys share one revision counter. Each call has a timeout. If the
    answer to a write is lost, reading the key back shows whether the write
    took effect.
    """

    def get(self, key: str) -> result.Result[Entry | None, KeyValueError]:
        """Returns the entry of a key, or `None` if the key does not exist."""

    def list(
        self, prefix: str
    ) -> result.Result[tuple[Entry, ...], KeyValueError]:
        """Returns the entries whose keys begin with `prefix`, by key."""

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, KeyValueError]:
        """Writes a key if it has the expected revision, 0 for an absent key.

        Returns:
            The new revision.
        """

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, KeyValueError]:
        """Deletes a key if it has the expected revision."""

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> result.Result[tuple[Entry, ...], KeyValueError]:
        """Waits until a key under `prefix` changes after a revision.

        Returns:
            The current entries of the changed keys; empty on a timeout.
        """


class Membership(Protocol):
    """The known VMs, from the platform's list, which may be out of date."""

    def own_vm(self) -> records.Vm:
        """Returns this VM's own row, built from the settings."""

    def incarnation(self) -> str:
        """Returns a random identifier of this run of the process."""

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """Returns the entry VMs of the latest list and this VM, by name."""

    def is_listed(self, vm: str) -> bool:
        """Returns whether a VM may still run, as far as the list shows.

        Every VM counts as listed until a list has been read.
        """

    def is_leaving(self, vm: str) -> bool:
        """Returns whether a VM is leaving and must get no new work."""


class PeerError(NamedTuple):
    """A call to a peer that returned no answer.

    Attributes:
        kind: `unreachable`: the call was never sent. `timeout`: it was sent
            and may have taken effect. `refused`: the peer has no handler for
            the message, the handler failed, or too many requests waited.
        message: Text for the log.
        has_host_answered: Whether the VM's host refused, closed or reset the
            connection: the network reaches it, and its process has stopped.
    """

    kind: Literal["unreachable", "timeout", "refused"]
    message: str
    has_host_answered: bool = False


class InlineHandler:
    """A handler that does not block and runs no longer than a read takes.

    It runs on the thread that reads the connection. Handing the request to
    another thread would take a sixth of a call's processor time.
    """

    def __init__(self, handler: Callable[[str, Any], Any]) -> None:
        self._handler = handler

    def __call__(self, vm: str, message: Any) -> Any:
        """Returns the answer."""
        return self._handler(vm, message)


class Peers(Protocol):
    """Typed calls between entry VMs; `peers` implements the protocol."""

    def register_handler(
        self, kind: type[Any], handler: Callable[[str, Any], Any]
    ) -> None:
        """Registers the handler for messages of a `NamedTuple` type.

        The handler receives the calling VM's name and the message, and
        returns the answer, a `NamedTuple`. Only a few handlers run at once
        for each connection, so a handler must not wait for other peers. A
        `InlineHandler` blocks its whole connection while it runs.
        """

    def register_answers(self, *kinds: type[Any]) -> None:
        """Registers `NamedTuple` types that may arrive as answers."""

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, PeerError]:
        """Sends a message and returns the answer.

        A call to this VM itself runs the handler directly.
        """


class ConfigError(NamedTuple):
    """A request that the configuration on this VM does not allow.

    Attributes:
        kind: `not_ready`: this VM has no configuration yet.
            `unknown_key`: the key does not exist or was withdrawn.
        message: Text for the caller.
    """

    kind: Literal["not_ready", "unknown_key"]
    message: str


class Principal(NamedTuple):
    """The customer that a request authenticated as, and its key's hash."""

    customer: records.Customer
    key_hash: str


class Config(Protocol):
    """The configuration in force on this VM; it never goes back."""

    def revision(self) -> int:
        """Returns the newest revision in force, or 0 before the first."""

    def customer(self, customer: str) -> records.Customer | None:
        """Returns a customer's row, or `None` if there is none."""

    def customers(self) -> tuple[records.Customer, ...]:
        """Returns all customers' rows, by name."""

    def initial_tokens(self, customer: str) -> records.InitialTokens | None:
        """Returns the initial tokens of a recently created customer."""

    def authenticate(self, key: str) -> result.Result[Principal, ConfigError]:
        """Returns the principal that a caller's key belongs to."""

    def is_withdrawn(self, key_hash: str) -> bool:
        """Returns whether a key has been withdrawn."""

    def upstreams(self) -> tuple[records.Upstream, ...]:
        """Returns all upstreams by name; the same object until a change."""

    def models(self) -> frozenset[str]:
        """Returns the models that at least one engine serves."""

    def plain_service_names(self) -> frozenset[str]:
        """Returns the names of all plain services."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after each configuration change.

        It runs on the feed's thread. Open streams of a withdrawn key are
        ended by such a callback.
        """


class Refusal(NamedTuple):
    """The final answer to a request that is refused or has failed.

    Attributes:
        status: The HTTP status.
        code: A machine-readable code, such as `rate_limited`.
        message: Text for people.
        ran: Whether the request ran at an upstream; `not_run` only if no
            byte of it can have been sent to one.
        retry_after_s: Seconds after which to retry; 0 if a retry is useless.
        field: For bad input, the wrong field or line.
    """

    status: int
    code: str
    message: str
    ran: ExecutionStatus = "not_run"
    retry_after_s: float = 0.0
    field: str = ""


class Limits(Protocol):
    """Enforces each customer's rate and burst across all VMs."""

    def is_ready(self) -> bool:
        """Returns whether this VM can find the VMs that grant tokens."""

    def initial_tokens(
        self, row: records.Customer
    ) -> records.InitialTokens | None:
        """Returns the initial tokens of a row that is about to be created.

        Only for a name that never had a key. Returns `None` if the record
        that this depends on cannot be read or written now; the row then
        starts without tokens.
        """

    def take(
        self, customer: str, count: float = 1.0
    ) -> result.Result[None, Refusal]:
        """Takes `count` tokens of a customer, or none at all.

        May ask peers, which takes some milliseconds, but never waits for
        the customer's tokens to be refilled.
        """


class PlacementRequest(NamedTuple):
    """The properties of a request that the router uses to place it.

    Attributes:
        customer: The customer that the request runs for.
        work_class: Online or batch; batch work yields to online work.
        model: The model for a request to an engine, else empty.
        service: The plain service for a request to one, else empty.
        prompt_prefix: The beginning of the prompt, for cache affinity.
        expected_tokens: Prompt and answer together, for fairness.
        fingerprint: Hash of customer and body, which identifies requests
            that crash upstreams.
        deadline_s: Seconds from now after which an answer is useless.
        resume_upstream: The upstream where a batch item yielded and can
            resume; empty if there is none.
    """

    customer: str
    work_class: records.WorkClass
    model: str
    service: str
    prompt_prefix: bytes
    expected_tokens: int
    fingerprint: str
    deadline_s: float
    resume_upstream: str = ""


class Slot(Protocol):
    """Capacity for one request on an upstream, held while it runs."""

    @property
    def upstream(self) -> records.Upstream:
        """The upstream to send the request to."""

    def on_yield(self, callback: Callable[[], None]) -> None:
        """Registers a callback for when batch work must give the slot up.

        The callback runs at most once, on another thread, and cancels the
        stream.
        """

    def release(self, outcome: "Outcome") -> None:
        """Returns the slot with the request's outcome; call it only once."""


Outcome = Literal["ok", "refused", "crashed", "yielded", "cancelled"]


class Router(Protocol):
    """Chooses upstreams and gives online work priority over batch."""

    def acquire(self, work: PlacementRequest) -> result.Result[Slot, Refusal]:
        """Returns a slot, or the final refusal with the time to retry.

        Online work waits in its own queue until its deadline. Batch work
        waits for a slot that online work does not need, also until its
        deadline.
        """

    def batch_slots(self, model: str) -> int:
        """Returns how many batch items of a model this VM could start now.

        Only a few VMs may place batch work on an upstream, so a VM for which
        this is 0 should not claim items of the model.
        """


class UpstreamError(NamedTuple):
    """A request to an upstream without a complete answer.

    Attributes:
        kind: `unreachable`: no connection was made. `crashed`: the
            connection broke after the request was sent, or the answer was
            unusable. `timeout`: the upstream was silent for too long.
            `cancelled`: this VM ended the request. `endless`: the upstream
            sent more bytes, or for longer, than anything whole can have.
        ran: Whether the request ran at the upstream.
        message: Text for the log.
    """

    kind: Literal["unreachable", "crashed", "timeout", "cancelled", "endless"]
    ran: ExecutionStatus
    message: str


class UpstreamAnswer(Protocol):
    """An upstream's answer: its head, and its body as a stream."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers, without those that apply to one connection."""

    @property
    def request_number(self) -> int:
        """Which request on the connection it answers, the first being 1."""

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body.

        Then a body that is cut looks whole if its connection is closed.
        """

    def chunks(self) -> Iterator[result.Result[bytes, UpstreamError]]:
        """Yields the body in pieces; an error ends it."""

    def set_read_timeout(self, timeout_s: float) -> None:
        """Sets the read timeout for the rest of the body, in seconds."""

    def limit_reads(self, max_bytes: int, within_s: float) -> None:
        """Limits what is read from now on in all, and for how long.

        Beyond it the body ends with an error. A further call replaces it.
        """

    def cancel(self) -> None:
        """Ends a blocked read at once, from any thread; idempotent."""

    def close(self) -> None:
        """Returns the connection to its pool, or drops it if unread."""


class ConnectionUse(NamedTuple):
    """Which connections a request may be sent on.

    Attributes:
        is_new: Whether only on a new one. An upstream may close a kept
            connection just as it is used, and then it is unknown whether the
            request ran.
        request_id: The id by which answers name the request; empty if they do
            not. No connection carries one id twice.
    """

    is_new: bool = False
    request_id: str = ""


class Upstreams(Protocol):
    """HTTP client for upstreams; it never retries a request."""

    def send(
        self,
        upstream: records.Upstream,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: Iterator[bytes] | bytes,
        timeout_s: float,
        *,
        use: ConnectionUse = ConnectionUse(),
        on_connected: Callable[[Callable[[], None]], None] | None = None,
    ) -> result.Result[UpstreamAnswer, UpstreamError]:
        """Sends a request and waits for the head of the answer.

        Args:
            upstream: The upstream to send to.
            method: The HTTP method, in capitals.
            path: The path with the query.
            headers: The headers, without any that holds the caller's key.
            body: The whole body, or its pieces; an iterator that raises
                ends the request as cancelled.
            timeout_s: The longest silence, before the head and in the body.
            use: Which connections it may be sent on.
            on_connected: Called as soon as the connection is open, with a
                function that cancels the call at once from any thread;
                `Slot.on_yield` can be passed here.
        """

    def probe_address(self, upstream: records.Upstream) -> AddressState:
        """Returns what the upstream's address does with a new connection.

        One that refuses it has no process. One that accepts it may belong to a
        proxy, or to a process that was started since. Opens a connection.
        """


class UsageEvent(NamedTuple):
    """A request or batch item that was answered.

    Attributes:
        wall_s: The time, in seconds since the epoch.
        customer: The customer it ran for, or whose key it came with.
        work_class: Online or batch.
        upstream: The upstream it ran on; empty if it did not run.
        model: The model or plain service.
        outcome: `ok`, or the refusal's code.
        prompt_tokens: Tokens of the prompt, as counted by the engine.
        completion_tokens: Tokens of the answer, as counted by the engine.
    """

    wall_s: float
    customer: str
    work_class: records.WorkClass
    upstream: str
    model: str
    outcome: str
    prompt_tokens: int = 0
    completion_tokens: int = 0


class Usage(Protocol):
    """Counts answered requests for the usage reports."""

    def record(self, event: UsageEvent) -> None:
        """Counts one event; never waits for the network or a disk."""


class StoreError(NamedTuple):
    """A failed call to a bulk store.

    Attributes:
        kind: `unavailable`: the store did not answer. `missing`: the object
            does not exist. `fenced`: the store has seen a newer epoch.
            `full`: no space is left.
        message: Text for the log.
    """

    kind: Literal["unavailable", "missing", "fenced", "full"]
    message: str


CallerHandler = Callable[[httpd.Request, Principal], httpd.Response]


class CallerRoutes(Protocol):
    """The callers' HTTP server, to which services add their routes.

    A service adds its routes in its own `start`. The server is registered
    in the kernel earlier, but listens only after all services have started.
    """

    def route(
        self, method: str, path: str, handler: CallerHandler, bulk: bool
    ) -> None:
        """Adds a route; its handler runs after the caller's key is checked.

        Args:
            method: The HTTP method in capitals, or `*` for any.
            path: The exact path, or a prefix if it ends in `/`.
            handler: Called on the connection's thread.
            bulk: Whether the handler may be slow. Bulk requests get only a
                bounded share of the threads, so that online callers never
                wait for them.
        """


class OperatorRoutes(Protocol):
    """The operators' HTTP server, to which services add their routes."""

    def route(self, method: str, path: str, handler: httpd.Handler) -> None:
        """Adds a route; its handler runs after the credential is checked."""
