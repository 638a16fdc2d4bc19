"""Tracks the requests that are open on this VM and ends them."""

from collections.abc import Callable
import threading
import time
from typing import Literal

from bulrushdeal import exchanges

EndReason = Literal["", "caller_left", "timeout", "stopping"]


class Call:
    """One open request, which any thread may end.

    If it is ended more than once, the first reason is kept. All times are
    seconds of the monotonic clock.

    Attributes:
        attempt: The caller's id for this attempt.
        started_s: When this VM began to handle the request.
        due_s: When the final answer is due.
        caller_deadline_s: When the caller stops waiting; `None` if unknown.
        sends: How many times the request was sent to an upstream.
        runs: How many of these sends may have run.
        exchange: The account of what is held for the request and its answer.
    """

    def __init__(
        self,
        attempt: str,
        due_s: float,
        caller_deadline_s: float | None,
        exchange: exchanges.Exchange | None = None,
    ) -> None:
        self.attempt = attempt
        self.started_s = time.monotonic()
        self.due_s = due_s
        self.caller_deadline_s = caller_deadline_s
        self.sends = 0
        self.runs = 0
        self.exchange = exchange or exchanges.detached()
        self._lock = threading.Lock()
        self._reason: EndReason = ""
        self._is_answered = False
        self._cancel: Callable[[], None] | None = None

    @property
    def reason(self) -> EndReason:
        """Why the request was ended; empty if it was not ended."""
        return self._reason

    def end(self, reason: EndReason) -> None:
        """Ends the request and cancels its send to an upstream.

        Does nothing if the request was already ended or answered.
        """
        with self._lock:
            if self._reason or self._is_answered:
                return
            self._reason = reason
            cancel = self._cancel
        if cancel is not None:
            cancel()

    def mark_answered(self) -> None:
        """Marks the answer as complete, so that `end` has no effect.

        A caller that reads the whole answer and then disconnects was served;
        its request does not count as ended.
        """
        with self._lock:
            self._is_answered = True

    def on_end(self, cancel: Callable[[], None]) -> None:
        """Sets the callback that cancels the current send to an upstream.

        It is called when the request is ended, or at once if the request was
        ended already. It replaces the callback of the previous send, which is
        over.
        """
        with self._lock:
            self._cancel = cancel
            is_ended = bool(self._reason)
        if is_ended:
            cancel()

    def age_s(self) -> float:
        """Returns the time in seconds since the request started."""
        return time.monotonic() - self.started_s

    def remaining_s(self) -> float:
        """Returns the time in seconds until the final answer is due."""
        return self.due_s - time.monotonic()

    def caller_timeout_s(self) -> float:
        """Returns how long the caller waits in total; negative if unknown."""
        if self.caller_deadline_s is None:
            return -1.0
        return self.caller_deadline_s - self.started_s

    def caller_remaining_s(self) -> float:
        """Returns the deadline in seconds to send to an upstream.

        It exceeds neither the caller's own deadline nor the route's timeout,
        after which the upstream's work would be wasted.

        Returns:
            The remaining seconds, at least 0; negative if the caller's
            deadline is unknown.
        """
        if self.caller_deadline_s is None:
            return -1.0
        due_s = min(self.caller_deadline_s, self.due_s)
        return max(0.0, due_s - time.monotonic())


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
        """Removes a request; does nothing if it was already removed."""
        with self._condition:
            self._calls.discard(call)
            if not self._calls:
                self._condition.notify_all()

    def count(self) -> int:
        """Returns the number of open requests."""
        with self._condition:
            return len(self._calls)

    def end_all(self, reason: EndReason) -> int:
        """Ends all open requests and returns their number."""
        with self._condition:
            found = tuple(self._calls)
        for call in found:
            call.end(reason)
        return len(found)

    def wait_until_none(self, timeout_s: float) -> bool:
        """Waits for all requests to finish.

        Args:
            timeout_s: The longest wait, in seconds.

        Returns:
            Whether no request is open.
        """
        with self._condition:
            return self._condition.wait_for(
                lambda: not self._calls, max(timeout_s, 0)
            )
