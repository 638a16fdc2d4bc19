"""The requests that are open on this VM, and how they are ended."""

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
    "caller_left": services.Refusal(499, "caller_left", "The caller left."),
    "key_withdrawn": services.Refusal(
        401, "key_withdrawn", "The key was withdrawn."
    ),
    "stopping": services.Refusal(
        503, "stopping", "This VM stops.", "not_run", 1
    ),
    "yielded": services.Refusal(
        503, "yielded", "The upstream was needed elsewhere.", "not_run", 1
    ),
}


_RAN: tuple[services.Ran, ...] = ("not_run", "unknown", "ran")


class BrokenAnswerError(ConnectionResetError):
    """Ends a connection whose answer cannot be made whole."""

    def __init__(self, message: str) -> None:
        # The server's library keeps quiet for this number, closes the
        # connection, and does not write the end of a chunked body.
        super().__init__(errno.ECONNRESET, message)


class State(NamedTuple):
    """An open request, for the dump; neither key nor prompt."""

    number: int
    customer: str
    path: str
    age_s: float
    upstream: str
    reason: EndReason


class Call:
    """One open request; any thread may end it, and the first reason stays.

    Attributes:
        number: Names it in the log and the dump.
        customer: Whom it runs for.
        key_hash: The key it came with.
        upstream: Where it was sent last; empty if it was not.
        tries: How often it was placed at an upstream.
        ran: Whether any of the tries ran.
    """

    def __init__(
        self, number: int, principal: services.Principal, path: str
    ) -> None:
        self.number = number
        self.customer = principal.customer.customer
        self.key_hash = principal.key_hash
        self.upstream = ""
        self.tries = 0
        self.ran: services.Ran = "not_run"
        self._path = path
        self._since_s = time.monotonic()
        self._lock = threading.Lock()
        self._reason: EndReason = ""
        self._cancel: Callable[[], None] | None = None
        self._outlives_caller = False

    @property
    def reason(self) -> EndReason:
        """Why the request was ended; empty while it was not."""
        return self._reason

    def end(self, reason: EndReason) -> None:
        """Ends the request and what it waits for at an upstream."""
        with self._lock:
            is_kept = reason == "caller_left" and self._outlives_caller
            if self._reason or is_kept:
                return
            self._reason = reason
            cancel = self._cancel
        if cancel is not None:
            cancel()

    def note_ran(self, ran: services.Ran) -> None:
        """Notes whether a try ran; what is known of those before stays."""
        self.ran = max(self.ran, ran, key=_RAN.index)

    def outlive_caller(self) -> None:
        """Lets the request run to its end even if the caller leaves."""
        with self._lock:
            self._outlives_caller = True

    def on_end(self, cancel: Callable[[], None]) -> None:
        """Calls `cancel` when the request is ended, at once if it was.

        It replaces the one given before, whose try is over.
        """
        with self._lock:
            self._cancel = cancel
            is_ended = bool(self._reason)
        if is_ended:
            cancel()

    def state(self) -> State:
        """Returns what the dump shows."""
        return State(
            self.number,
            self.customer,
            self._path,
            round(time.monotonic() - self._since_s, 3),
            self.upstream,
            self._reason,
        )


class OpenCalls:
    """All requests that are open on this VM."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._numbers = itertools.count(1)
        self._calls: dict[int, Call] = {}

    def open(self, principal: services.Principal, path: str) -> Call:
        """Adds a request."""
        with self._condition:
            call = Call(next(self._numbers), principal, path)
            self._calls[call.number] = call
        return call

    def close(self, call: Call) -> None:
        """Removes a request; idempotent."""
        with self._condition:
            self._calls.pop(call.number, None)
            self._condition.notify_all()

    def all(self) -> tuple[Call, ...]:
        """Returns the open requests, oldest first."""
        with self._condition:
            return tuple(self._calls.values())

    def end_where(
        self, is_chosen: Callable[[Call], bool], reason: EndReason
    ) -> int:
        """Ends the chosen requests and returns their number."""
        chosen = [call for call in self.all() if is_chosen(call)]
        for call in chosen:
            call.end(reason)
        return len(chosen)

    def wait_until_none(self, timeout_s: float) -> bool:
        """Waits for all requests; tells whether none is left."""
        with self._condition:
            return self._condition.wait_for(
                lambda: not self._calls, max(timeout_s, 0)
            )


class Body:
    """An answer's body that does something once when it is over.

    A generator's own `finally` does not run if nobody ever asked it for its
    first piece, and then a slot would be held for ever.
    """

    def __init__(
        self, chunks: Iterable[bytes], on_close: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._on_close: Callable[[], None] | None = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Called by the server when the answer was sent or given up."""
        on_close, self._on_close = self._on_close, None
        if on_close is None:
            return
        try:
            httpd.close_body(self._chunks)
        finally:
            on_close()
