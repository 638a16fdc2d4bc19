"""The names that services register under, and the types they offer.

A service knows the others only through these `Protocol` types and finds
them by name in the kernel. Each operation that can fail returns a `Result`
whose error belongs to that service's layer.
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

Ran = Literal["not_run", "ran", "unknown"]


class Entry(NamedTuple):
    """One key of the platform's key-value service; see `KeyValue`."""

    key: str
    value: bytes
    revision: int


class KeyValueError(NamedTuple):
    """A call to the platform's key-value service that did not succeed.

    Attributes:
        kind: `conflict`: the key has another revision, given in `current`.
            `unavailable`: no answer, and the call had no effect or was only
            a read. `unknown`: a write may or may not have taken effect,
            and reading back did not settle it.
        message: For the log.
        current: What the key holds, on a conflict; `None` if nothing.
    """

    kind: Literal["conflict", "unavailable", "unknown"]
    message: str
    current: Entry | None = None


class KeyValue(Protocol):
    """The platform's key-value service: what must last is kept here.

    Revisions are one counter over the whole service. Each call has a
    timeout. A write whose answer was lost is settled by reading back.
    """

    def get(self, key: str) -> result.Result[Entry | None, KeyValueError]:
        """Returns what a key holds, `None` if nothing."""

    def list(
        self, prefix: str
    ) -> result.Result[tuple[Entry, ...], KeyValueError]:
        """Returns the keys that begin with `prefix`, in order."""

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, KeyValueError]:
        """Writes if the key's revision is as expected, 0 if it is absent.

        Returns:
            The new revision.
        """

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, KeyValueError]:
        """Deletes the key if its revision is as expected."""

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> result.Result[tuple[Entry, ...], KeyValueError]:
        """Waits for keys under `prefix` changed after a revision.

        Returns:
            The keys that changed, as they are now; none on a timeout.
        """


class Membership(Protocol):
    """Which VMs there are, from the platform's lagging list."""

    def own(self) -> records.Vm:
        """Returns this process's own row, made from its settings."""

    def incarnation(self) -> str:
        """Returns a random name of this run of the process."""

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """Returns the entry VMs listed last, with this one, by name."""

    def is_listed(self, vm: str) -> bool:
        """Tells whether the platform lists a VM, so it may still run.

        Before a list was ever read every VM counts as listed.
        """

    def is_leaving(self, vm: str) -> bool:
        """Tells whether a VM is to be given no new work."""


class PeerError(NamedTuple):
    """A call to a peer that brought no answer.

    Attributes:
        kind: `unreachable`: the call was never sent. `timeout`: it was sent
            and may have taken effect. `refused`: the peer has no handler
            for it, or the handler failed.
        message: For the log.
    """

    kind: Literal["unreachable", "timeout", "refused"]
    message: str


class QuickHandler:
    """A handler that only computes, for no longer than it takes to read.

    It runs on the thread that reads its connection and saves the way to
    another, a sixth of a call's processor time.
    """

    def __init__(self, handler: Callable[[str, Any], Any]) -> None:
        self._handler = handler

    def __call__(self, vm: str, message: Any) -> Any:
        """Returns the answer."""
        return self._handler(vm, message)


class Peers(Protocol):
    """Typed calls between entry VMs; see `peers` for the wire."""

    def handle(
        self, kind: type[Any], handler: Callable[[str, Any], Any]
    ) -> None:
        """Answers messages of a `NamedTuple` type.

        The handler gets the calling VM's name and the message, and returns
        the answer, a `NamedTuple`. A few run at once for each connection,
        so it must not wait for other peers. A `QuickHandler` holds up all
        that comes over its connection.
        """

    def understand(self, *kinds: type[Any]) -> None:
        """Lets answers of these `NamedTuple` types be unpacked."""

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, PeerError]:
        """Sends a message and returns the answer; calls itself directly."""


class ConfigError(NamedTuple):
    """The operators' configuration does not allow a thing.

    Attributes:
        kind: `not_ready`: this VM has no configuration yet.
            `unknown_key`: no such key, or it was withdrawn.
        message: For the caller.
    """

    kind: Literal["not_ready", "unknown_key"]
    message: str


class Principal(NamedTuple):
    """Whom a request runs for: the customer its key belongs to."""

    customer: records.Customer
    key_hash: str


class Config(Protocol):
    """The configuration in force on this VM; it never reverts."""

    def revision(self) -> int:
        """Returns the newest revision in force, 0 if there is none yet."""

    def customer(self, customer: str) -> records.Customer | None:
        """Returns a customer's row."""

    def customers(self) -> tuple[records.Customer, ...]:
        """Returns all rows by name."""

    def opening(self, customer: str) -> records.Opening | None:
        """Returns what a customer made lately begins with."""

    def authenticate(self, key: str) -> result.Result[Principal, ConfigError]:
        """Returns whom a caller's key belongs to."""

    def is_withdrawn(self, key_hash: str) -> bool:
        """Tells whether a key has been withdrawn."""

    def upstreams(self) -> tuple[records.Upstream, ...]:
        """Returns all upstreams by name; the same tuple until a change."""

    def models(self) -> frozenset[str]:
        """Returns the models that some engine serves."""

    def plain_services(self) -> frozenset[str]:
        """Returns the names of the plain services that there are."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back, on the feed's thread, after each change in force.

        A withdrawn key ends its open streams through this.
        """


class Refusal(NamedTuple):
    """The final answer to a request that this system does not serve.

    Attributes:
        status: The HTTP status.
        code: A word for programs, such as `rate_limited`.
        message: For people.
        ran: Whether the request ran at an upstream; `not_run` is only said
            when no byte of it can have left for one.
        retry_after_s: When to come back; 0 if that does not help.
        field: The field or line that is wrong, for bad input.
    """

    status: int
    code: str
    message: str
    ran: Ran = "not_run"
    retry_after_s: float = 0.0
    field: str = ""


class Limits(Protocol):
    """Each customer's rate and burst over all VMs together."""

    def is_ready(self) -> bool:
        """Tells whether this VM knows whom to ask for tokens."""

    def opening(self, row: records.Customer) -> records.Opening | None:
        """Returns what a row that is about to be made may begin with.

        Only for a name that never had a key. `None` if the record that it
        depends on cannot be read or written now: the row begins empty.
        """

    def take(
        self, customer: str, count: float = 1.0
    ) -> result.Result[None, Refusal]:
        """Takes `count` from what the row allows, at once or not at all.

        May ask peers, for some milliseconds; never waits for a refill.
        """


class Work(NamedTuple):
    """What the router needs to know to place a request.

    Attributes:
        customer: Whom it runs for.
        work_class: Online work is placed at once; batch yields to it.
        model: The model, for an engine; empty for a plain service.
        service: The plain service; empty for an engine.
        prompt_prefix: The beginning of the prompt, for cache affinity.
        expected_tokens: Prompt and answer together, for fairness.
        fingerprint: Hash of customer and body; requests that crash
            upstreams are known by it.
        deadline_s: Seconds from now after which an answer is of no use.
        resumes_at: The upstream where a batch item yielded and may go on
            from where it stood; empty if there is none.
    """

    customer: str
    work_class: records.WorkClass
    model: str
    service: str
    prompt_prefix: bytes
    expected_tokens: int
    fingerprint: str
    deadline_s: float
    resumes_at: str = ""


class Slot(Protocol):
    """A place on one upstream, held while a request runs there."""

    @property
    def upstream(self) -> records.Upstream:
        """Where the request is to be sent."""

    def on_yield(self, callback: Callable[[], None]) -> None:
        """Calls back once when batch work has to give the slot up.

        The callback runs on another thread; it cancels the stream.
        """

    def release(self, outcome: "Outcome") -> None:
        """Gives the slot back and says how it went; only once."""


Outcome = Literal["ok", "refused", "crashed", "yielded", "cancelled"]


class Router(Protocol):
    """Chooses an upstream and keeps online work ahead of batch."""

    def acquire(self, work: Work) -> result.Result[Slot, Refusal]:
        """Returns a slot, or the final refusal with when to come back.

        Online work waits in its own queue, bounded by its deadline. Batch
        work waits for a slot that online work leaves, at most the deadline.
        """

    def batch_slots(self, model: str) -> int:
        """Returns how many batch items of a model could start here now.

        Only a few VMs may place batch work on an upstream, so a VM on which
        this is 0 should not ask for work of the model.
        """


class UpstreamError(NamedTuple):
    """An upstream brought no whole answer.

    Attributes:
        kind: How it failed; `crashed` is a connection that broke after the
            request was sent, `timeout` a silence, `cancelled` our own end.
        ran: Whether the request ran there.
        message: For the log.
    """

    kind: Literal["unreachable", "crashed", "timeout", "cancelled"]
    ran: Ran
    message: str


class UpstreamAnswer(Protocol):
    """The head of an upstream's answer and its body as it comes."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers without those that belong to one connection."""

    def chunks(self) -> Iterator[result.Result[bytes, UpstreamError]]:
        """Yields the body; an error is the last thing it yields."""

    def allow_silence(self, timeout_s: float) -> None:
        """Sets the longest silence in the rest of the body."""

    def cancel(self) -> None:
        """Ends a blocked read at once, from any thread; idempotent."""

    def close(self) -> None:
        """Gives the connection back, or drops it if bytes are left."""


class Upstreams(Protocol):
    """HTTP towards upstreams; sends each request once, never again."""

    def send(
        self,
        upstream: records.Upstream,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: Iterator[bytes] | bytes,
        timeout_s: float,
        *,
        is_fresh: bool = False,
        on_open: Callable[[Callable[[], None]], None] | None = None,
    ) -> result.Result[UpstreamAnswer, UpstreamError]:
        """Sends a request and waits for the head of the answer.

        Args:
            upstream: Where to.
            method: In capitals.
            path: With the query.
            headers: Without any that holds the caller's key.
            body: The whole body, or its pieces; an iterator that raises
                ends the request as cancelled.
            timeout_s: The longest silence, before the head and in the body.
            is_fresh: Whether to open a connection for this request alone. A
                kept one may be closed by the upstream just as it is used,
                and then nobody knows whether the request ran.
            on_open: Is handed a function that cancels the call at once from
                any thread, as soon as the connection is open; `Slot.on_yield`
                fits here.
        """


class UsageEvent(NamedTuple):
    """One request or batch item that was answered.

    Attributes:
        wall_s: When, in seconds since the epoch.
        customer: Whom it ran for, or whose key it came with.
        work_class: Online or batch.
        upstream: Where it ran; empty if it did not.
        model: The model or plain service.
        outcome: `ok`, or the refusal's code.
        prompt_tokens: As the engine counted.
        completion_tokens: As the engine counted.
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
    """What the system did, for the reports."""

    def record(self, event: UsageEvent) -> None:
        """Counts one event; never blocks on anything outside."""


class StoreError(NamedTuple):
    """A bulk store did not do as asked.

    Attributes:
        kind: `unavailable`: no answer. `missing`: no such object.
            `fenced`: a newer epoch was seen. `full`: no space left.
        message: For the log.
    """

    kind: Literal["unavailable", "missing", "fenced", "full"]
    message: str


CallerHandler = Callable[[httpd.Request, Principal], httpd.Response]


class CallerRoutes(Protocol):
    """The callers' HTTP server, to which services add their paths.

    A service adds its routes in its own `start`; the server itself is
    registered in the kernel before but listens only when all have started.
    """

    def route(
        self, method: str, path: str, handler: CallerHandler, bulk: bool
    ) -> None:
        """Serves a path, after the caller's key was checked.

        Args:
            method: In capitals, or `*` for any.
            path: The exact path, or a prefix if it ends in `/`.
            handler: Called on the connection's thread.
            bulk: Whether it may be slow; bulk requests get only a bounded
                share of the threads, so online callers never wait for them.
        """


class OperatorRoutes(Protocol):
    """The operators' HTTP server, to which services add their paths."""

    def route(self, method: str, path: str, handler: httpd.Handler) -> None:
        """Serves a path, after the operator's credential was checked."""
