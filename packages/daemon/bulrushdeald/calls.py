"""The requests open on this VM, and how to end them early."""

from collections.abc import Callable, Iterable, Iterator
import errno
import itertools
import threading
import time
from typing import Literal, NamedTuple

from bulrushdeal import httpd
from bulrushdeald import services

EndReason = Literal["", "caller_left", "key_withdrawn", "stopping", "yielded"]

REFUSALS: dict[EndReason, services.Refusal] = {
    "caller_left": services.Refusal(
        499, "caller_left", "The caller closed the connection."
    ),
    "key_withdrawn": services.Refusal(
        401, "key_withdrawn", "The key was withdrawn."
    ),
    "stopping": services.Refusal(
        503, "stopping", "This VM is stopping.", "not_run", 1
    ),
    "yielded": services.Refusal(
        503,
        "yielded",
        "The upstream was needed for other requests.",
        "not_run",
        1,
    ),
}

# By increasing certainty that the request ran.
_RAN_CERTAINTY: tuple[services.ExecutionStatus, ...] = (
    "not_run",
    "unknown",
    "ran",
)


class BrokenAnswerError(ConnectionResetError):
    """Breaks a connection whose response cannot be completed."""

    def __init__(self, message: str) -> None:
        # On this errno the HTTP library closes the connection, logs nothing
        # and omits the last chunk of a chunked body.
        super().__init__(errno.ECONNRESET, message)


class State(NamedTuple):
    """An open request in the state dump, without its key and its prompt."""

    number: int
    customer: str
    path: str
    age_s: float
    upstream: str
    reason: EndReason


class Call:
    """One open request.

    Any thread may end it; the first reason is kept.

    Attributes:
        number: Identifies the request in the log and the state dump.
        customer: The customer that the request belongs to.
        key_hash: The hash of the key that the request was sent with.
        upstream: The upstream of the last attempt; empty before the first.
        tries: The number of attempts, each at one upstream.
        ran: Whether any attempt ran at its upstream.
    """

    def __init__(
        self, number: int, principal: services.Principal, path: str
    ) -> None:
        self.number = number
        self.customer = principal.customer.customer
        self.key_hash = principal.key_hash
        self.upstream = ""
        self.tries = 0
        self.ran: services.ExecutionStatus = "not_run"
        self._path = path
        self._opened_s = time.monotonic()
        self._lock = threading.Lock()
        self._reason: EndReason = ""
        self._cancel_attempt: Callable[[], None] | None = None
        self._ignores_disconnect = False

    @property
    def reason(self) -> EndReason:
        """Why the request was ended; empty if it was not."""
        return self._reason

    def end(self, reason: EndReason) -> None:
        """Ends the request and cancels its attempt at an upstream."""
        with self._lock:
            is_ignored = reason == "caller_left" and self._ignores_disconnect
            if self._reason or is_ignored:
                return
            self._reason = reason
            cancel = self._cancel_attempt
        if cancel is not None:
            cancel()

    def note_ran(self, ran: services.ExecutionStatus) -> None:
        """Records whether an attempt ran; a more certain value is kept."""
        self.ran = max(self.ran, ran, key=_RAN_CERTAINTY.index)

    def ignore_disconnect(self) -> None:
        """Lets the request run to its end even if the caller disconnects."""
        with self._lock:
            self._ignores_disconnect = True

    def on_end(self, cancel: Callable[[], None]) -> None:
        """Calls `cancel` when the request is ended, at once if it already is.

        The new callback replaces that of the previous attempt, which is over.
        """
        with self._lock:
            self._cancel_attempt = cancel
            is_ended = bool(self._reason)
        if is_ended:
            cancel()

    def state(self) -> State:
        """Returns the request's entry in the state dump."""
        return State(
            self.number,
            self.customer,
            self._path,
            round(time.monotonic() - self._opened_s, 3),
            self.upstream,
            self._reason,
        )


class OpenCalls:
    """All requests that are open on this VM."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._numbers = itertools.count(1)
        self._calls: dict[int, Call] = {}

    def add(self, principal: services.Principal, path: str) -> Call:
        """Adds a request."""
        with self._condition:
            call = Call(next(self._numbers), principal, path)
            self._calls[call.number] = call
        return call

    def remove(self, call: Call) -> None:
        """Removes a request; idempotent."""
        with self._condition:
            self._calls.pop(call.number, None)
            self._condition.notify_all()

    def all(self) -> tuple[Call, ...]:
        """Returns the open requests, oldest first."""
        with self._condition:
            return tuple(self._calls.values())

    def end_where(
        self, matches: Callable[[Call], bool], reason: EndReason
    ) -> int:
        """Ends the requests that match and returns their number."""
        matching = [call for call in self.all() if matches(call)]
        for call in matching:
            call.end(reason)
        return len(matching)

    def wait_until_none(self, timeout_s: float) -> bool:
        """Waits until no request is open; returns whether that happened."""
        with self._condition:
            return self._condition.wait_for(
                lambda: not self._calls, max(timeout_s, 0)
            )


class Body:
    """A response body that runs a callback once when it is closed.

    The `finally` of a generator does not run if iteration never started; a
    slot released there would be held forever.
    """

    def __init__(
        self, chunks: Iterable[bytes], on_close: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._on_close: Callable[[], None] | None = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Runs the callback; called once the response was sent or abandoned."""
        on_close, self._on_close = self._on_close, None
        if on_close is None:
            return
        try:
            httpd.close_body(self._chunks)
        finally:
            on_close()
