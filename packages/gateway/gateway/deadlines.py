"""Calls back when a time has come, for many requests on one thread."""

from collections.abc import Callable
import heapq
import itertools
import threading
import time

from bulrushdeal import logs

_log = logs.Log("deadlines")
_Row = tuple[float, int, Callable[[], None]]


class Deadlines:
    """A thread that ends what has run out of time.

    A read from an upstream blocks for as long as single bytes keep coming,
    so its own timeout bounds a silence but not a whole answer.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._numbers = itertools.count()
        self._rows: list[_Row] = []
        self._cancelled: set[int] = set()
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name="deadlines", daemon=True
        )

    def start(self) -> None:
        """Begins to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread; what is still due is not called."""
        with self._condition:
            self._is_stopping = True
            self._condition.notify()

    def add(
        self, due_s: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Calls back at a time of the monotonic clock.

        Returns:
            What forgets it.
        """
        with self._condition:
            number = next(self._numbers)
            is_next = not self._rows or due_s < self._rows[0][0]
            heapq.heappush(self._rows, (due_s, number, callback))
            if is_next:
                self._condition.notify()
        return lambda: self._forget(number)

    def _forget(self, number: int) -> None:
        with self._condition:
            self._cancelled.add(number)
            # Most requests end long before their deadline: without this
            # their rows would stay until then.
            while self._rows and self._rows[0][1] in self._cancelled:
                self._cancelled.discard(heapq.heappop(self._rows)[1])

    def _run(self) -> None:
        while True:
            callback = self._next()
            if self._is_stopping:
                return
            try:
                callback()
            except Exception:  # noqa: BLE001 - the others are due as well.
                _log.exception("What was due could not be ended.")

    def _next(self) -> Callable[[], None]:
        with self._condition:
            while not self._is_stopping:
                now_s = time.monotonic()
                if self._rows and self._rows[0][0] <= now_s:
                    _, number, callback = heapq.heappop(self._rows)
                    if number not in self._cancelled:
                        return callback
                    self._cancelled.discard(number)
                    continue
                wait_s = self._rows[0][0] - now_s if self._rows else None
                self._condition.wait(wait_s)
        return lambda: None
