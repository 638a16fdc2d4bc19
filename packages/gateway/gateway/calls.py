"""The requests that are open on this VM, and how they are ended."""

from collections.abc import Callable
import threading
import time
from typing import Literal

EndReason = Literal["", "caller_left", "timeout", "stopping"]


class Call:
    """One open request; any thread may end it, and the first reason stays.

    Attributes:
        attempt: The caller's name for it.
        begun_s: When it came, by the monotonic clock.
        end_s: When it has to have its final answer.
        caller_end_s: When its caller stops waiting; `None` if unknown.
        sends: How often it was sent to an upstream.
        runs: How many of these may have run.
    """

    def __init__(
        self, attempt: str, end_s: float, caller_end_s: float | None
    ) -> None:
        self.attempt = attempt
        self.begun_s = time.monotonic()
        self.end_s = end_s
        self.caller_end_s = caller_end_s
        self.sends = 0
        self.runs = 0
        self._lock = threading.Lock()
        self._reason: EndReason = ""
        self._is_answered = False
        self._cancel: Callable[[], None] | None = None

    @property
    def reason(self) -> EndReason:
        """Why it was ended; empty while it was not."""
        return self._reason

    def end(self, reason: EndReason) -> None:
        """Ends the request and what it waits for at an upstream."""
        with self._lock:
            if self._reason or self._is_answered:
                return
            self._reason = reason
            cancel = self._cancel
        if cancel is not None:
            cancel()

    def answered(self) -> None:
        """Notes that its whole answer is there.

        A caller that has read the last of it and leaves had its answer.
        """
        with self._lock:
            self._is_answered = True

    def on_end(self, cancel: Callable[[], None]) -> None:
        """Calls `cancel` when it is ended, at once if it was already.

        It replaces the one given before, whose send is over.
        """
        with self._lock:
            self._cancel = cancel
            is_ended = bool(self._reason)
        if is_ended:
            cancel()

    def age_s(self) -> float:
        """Returns how long ago it came."""
        return time.monotonic() - self.begun_s

    def left_s(self) -> float:
        """Returns how long it has to its final answer."""
        return self.end_s - time.monotonic()

    def caller_allowed_s(self) -> float:
        """Returns how long its caller waits in all; negative if not known."""
        if self.caller_end_s is None:
            return -1.0
        return self.caller_end_s - self.begun_s

    def caller_left_s(self) -> float:
        """Returns how long its caller waits on; negative if not known.

        What an upstream is told may not be over the caller's own deadline,
        nor need it work beyond the route's timeout.
        """
        if self.caller_end_s is None:
            return -1.0
        end_s = min(self.caller_end_s, self.end_s)
        return max(0.0, end_s - time.monotonic())


class OpenCalls:
    """All requests that are open on this VM."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._calls: set[Call] = set()

    def add(self, call: Call) -> None:
        """Adds a request."""
        with self._condition:
            self._calls.add(call)

    def remove(self, call: Call) -> None:
        """Removes a request; idempotent."""
        with self._condition:
            self._calls.discard(call)
            if not self._calls:
                self._condition.notify_all()

    def count(self) -> int:
        """Returns how many are open."""
        with self._condition:
            return len(self._calls)

    def end_all(self, reason: EndReason) -> int:
        """Ends all and returns their number."""
        with self._condition:
            found = tuple(self._calls)
        for call in found:
            call.end(reason)
        return len(found)

    def wait_until_none(self, timeout_s: float) -> bool:
        """Waits for all requests; tells whether none is left."""
        with self._condition:
            return self._condition.wait_for(
                lambda: not self._calls, max(timeout_s, 0)
            )
