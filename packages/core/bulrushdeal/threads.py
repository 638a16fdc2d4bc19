"""Starts the threads of a process, and starts again those that fail.

An exception that ends a thread takes with it what the thread was there for,
for as long as the process runs, and nothing else shows it. So every thread is
started here: its failures are logged and counted, and it goes on.
"""

import collections
from collections.abc import Callable, Iterable, Mapping
from concurrent import futures
import threading
import time
from typing import Any, NamedTuple

from bulrushdeal import eventlog
from bulrushdeal import logs

_log = logs.Log("threads")
_events = eventlog.Events("threads")

# The pauses before a thread that failed goes on, doubled with each failure in a
# row: what fails at once would use a whole core.
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0
# A thread that ran for so long has recovered from its last failure.
_RECOVERED_S = 5.0
# So many failures in a row are no single bad input.
_MANY_FAILURES = 3


class _Failures(NamedTuple):
    """The failures in a row of a thread, and when it failed last."""

    in_row: int
    last_s: float


class Threads:
    """Starts threads and keeps account of their failures; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()
        # Of vital threads, by name.
        self._vital: dict[str, _Failures] = {}

    def start(
        self,
        target: Callable[..., None],
        name: str,
        *args: Any,
        is_vital: bool = False,
    ) -> threading.Thread:
        """Starts a thread that runs until its target returns.

        If the target raises, it is called again after a pause.

        Args:
            target: Called on the thread, again after each failure.
            name: The thread's name in logs and metrics.
            args: The target's arguments.
            is_vital: Whether callers are served wrongly without it.
        """
        return _start(
            lambda: self._run_again_and_again(target, name, args, is_vital),
            name,
        )

    def start_once(
        self, target: Callable[..., None], name: str, *args: Any
    ) -> threading.Thread:
        """Starts a thread whose target is called once, also if it raises."""
        return _start(lambda: self.run_reported(target, name, *args), name)

    def submit(
        self,
        pool: futures.Executor,
        target: Callable[..., Any],
        name: str,
        *args: Any,
    ) -> "futures.Future[bool]":
        """Runs a target in a pool, which would drop its exception."""
        return pool.submit(self.run_reported, target, name, *args)

    def run_reported(
        self, target: Callable[..., Any], name: str, *args: Any
    ) -> bool:
        """Calls a target; returns false if it raised, which is reported."""
        try:
            target(*args)
        except Exception as error:  # noqa: BLE001 - any would end the thread.
            _log.exception("The thread %s failed.", name)
            self.report(name, error)
            return False
        return True

    def notify(
        self, callbacks: Iterable[Callable[..., None]], name: str, *args: Any
    ) -> None:
        """Calls each of some callbacks, also after one of them has raised."""
        for callback in callbacks:
            self.run_reported(callback, name, *args)

    def report(self, name: str, error: BaseException) -> None:
        """Counts an exception that would end a thread, and writes an event."""
        with self._lock:
            self._counts[name] += 1
        _events.warning("failed", thread=name, why=repr(error))

    def failures(self) -> Mapping[str, int]:
        """Returns how often threads failed, by name."""
        with self._lock:
            return dict(self._counts)

    def failing(self) -> tuple[str, ...]:
        """Returns the vital threads that fail again and again now."""
        now_s = time.monotonic()
        with self._lock:
            return tuple(
                name
                for name, row in self._vital.items()
                if row.in_row >= _MANY_FAILURES
                and now_s - row.last_s < _RECOVERED_S
            )

    def _run_again_and_again(
        self,
        target: Callable[..., None],
        name: str,
        args: tuple[Any, ...],
        is_vital: bool,
    ) -> None:
        in_row = 0
        while True:
            started_s = time.monotonic()
            if self.run_reported(target, name, *args):
                return
            now_s = time.monotonic()
            in_row = 1 if now_s - started_s > _RECOVERED_S else in_row + 1
            if is_vital:
                with self._lock:
                    self._vital[name] = _Failures(in_row, now_s)
            time.sleep(min(_MIN_PAUSE_S * 2 ** (in_row - 1), _MAX_PAUSE_S))


def _start(target: Callable[[], Any], name: str) -> threading.Thread:
    thread = threading.Thread(target=target, name=name, daemon=True)
    thread.start()
    return thread


# All threads of this process.
OWN = Threads()
start = OWN.start
start_once = OWN.start_once
submit = OWN.submit
notify = OWN.notify


def report_others() -> None:
    """Reports the failures of threads that libraries start."""

    def report(args: threading.ExceptHookArgs) -> None:
        if args.exc_value is None or args.exc_type is SystemExit:
            return
        name = "unknown" if args.thread is None else args.thread.name
        OWN.report(name, args.exc_value)
        threading.__excepthook__(args)

    threading.excepthook = report
