"""Threads that run the handlers of peers' requests, as many as are needed."""

import collections
from collections.abc import Callable
import queue
import threading

from bulrushdeal import logs

_log = logs.Log("peers")
# A thread that had nothing to do for so long ends.
IDLE_S = 10.0
# Enough that one slow handler does not hold up its connection's others.
AT_ONCE = 4
# Requests of one connection that may wait for its turn.
MAX_WAITING = 256

Job = Callable[[], None]


class Pool:
    """Runs each job at once, on a thread that is free or a new one.

    Its size is bounded by the connections, each of which runs at most
    `AT_ONCE` jobs: threads of one connection never wait for another's.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        # Threads that wait, less the jobs that are queued for them.
        self._free = 0

    def run(self, job: Job) -> None:
        """Runs a job, which raises nothing, on another thread."""
        with self._lock:
            is_served = self._free > 0
            if is_served:
                self._free -= 1
        if is_served:
            self._jobs.put(job)
            return
        threading.Thread(
            target=self._serve, args=(job,), name="answers", daemon=True
        ).start()

    def _serve(self, job: Job) -> None:
        found: Job | None = job
        while found is not None:
            found()
            found = self._next()

    def _next(self) -> Job | None:
        with self._lock:
            self._free += 1
        try:
            return self._jobs.get(timeout=IDLE_S)
        except queue.Empty:
            with self._lock:
                if self._free > 0:
                    self._free -= 1
                    return None
        # Every thread that waits has a job queued for it.
        return self._jobs.get()


class Turns:
    """Runs the requests of one connection, some at once."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._lock = threading.Lock()
        self._running = 0
        self._waiting: collections.deque[Job] = collections.deque()

    def take(self, job: Job) -> bool:
        """Runs a job when it is its turn; false if too many wait."""
        with self._lock:
            if self._running >= AT_ONCE:
                if len(self._waiting) >= MAX_WAITING:
                    return False
                self._waiting.append(job)
                return True
            self._running += 1
        self._pool.run(lambda: self._run(job))
        return True

    def _run(self, job: Job) -> None:
        while True:
            try:
                job()
            except Exception:  # noqa: BLE001 - its turn has to end.
                _log.exception("A request could not be answered.")
            with self._lock:
                if not self._waiting:
                    self._running -= 1
                    return
                job = self._waiting.popleft()
