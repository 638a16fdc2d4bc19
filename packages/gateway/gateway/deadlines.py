"""Runs callbacks at given times, for many requests on one thread."""

from collections.abc import Callable
import heapq
import itertools
import threading
import time
from typing import NamedTuple

from bulrushdeal import logs
from bulrushdeal import threads

_log = logs.Log("deadlines")
# Cancelled timers are removed once they are more than the others and than this.
_MIN_CANCELLED = 64


class _Timer(NamedTuple):
    due_s: float
    id: int


class Deadlines:
    """Calls back on one thread at the deadlines of requests.

    The timeout of a read from an upstream limits only the silence between
    bytes. An answer that keeps arriving slowly never reaches it, so the total
    time needs a limit of its own.

    Most requests end long before their deadline. A cancelled callback is
    released at once, as it holds its request; its timer stays for a while.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._ids = itertools.count()
        # A heap. Those without a callback are cancelled.
        self._timers: list[_Timer] = []
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._is_stopping = False
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the thread."""
        self._thread = threads.start(self._run, "deadlines", is_vital=True)

    def stop(self) -> None:
        """Ends the thread; callbacks that are still pending are not called."""
        with self._condition:
            self._is_stopping = True
            self._condition.notify()

    def add(
        self, due_s: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Schedules a callback.

        Args:
            due_s: When to call it, in seconds of the monotonic clock.
            callback: Called on this object's thread.

        Returns:
            A function that cancels the callback.
        """
        with self._condition:
            timer = _Timer(due_s, next(self._ids))
            is_next = not self._timers or timer < self._timers[0]
            heapq.heappush(self._timers, timer)
            self._callbacks[timer.id] = callback
            if is_next:
                self._condition.notify()
        return lambda: self._cancel(timer.id)

    def timer_count(self) -> int:
        """Returns how many timers are kept, with those that are cancelled."""
        with self._condition:
            return len(self._timers)

    def _cancel(self, timer_id: int) -> None:
        with self._condition:
            if self._callbacks.pop(timer_id, None) is None:
                return
            cancelled = len(self._timers) - len(self._callbacks)
            if cancelled <= max(len(self._callbacks), _MIN_CANCELLED):
                return
            self._timers = [
                timer for timer in self._timers if timer.id in self._callbacks
            ]
            heapq.heapify(self._timers)

    def _run(self) -> None:
        while True:
            callback = self._wait_for_due()
            if self._is_stopping:
                return
            try:
                callback()
            except Exception:  # noqa: BLE001 - the other timers must run.
                _log.exception("A deadline callback raised an exception.")

    def _wait_for_due(self) -> Callable[[], None]:
        with self._condition:
            while not self._is_stopping:
                now_s = time.monotonic()
                if self._timers and self._timers[0].due_s <= now_s:
                    timer = heapq.heappop(self._timers)
                    callback = self._callbacks.pop(timer.id, None)
                    if callback is not None:
                        return callback
                    continue
                wait_s = self._timers[0].due_s - now_s if self._timers else None
                self._condition.wait(wait_s)
        return lambda: None
