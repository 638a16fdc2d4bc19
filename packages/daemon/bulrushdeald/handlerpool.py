"""A thread pool for handlers of peers' requests, sized by demand."""

import collections
from collections.abc import Callable
import queue
import threading

from bulrushdeal import logs
from bulrushdeal import threads

_log = logs.Log("peers")
# A thread that gets no job for this long ends.
IDLE_S = 10.0
# Requests of one connection that run at once; several, so that one slow
# handler does not block the others.
MAX_CONCURRENT = 4
# Requests of one connection that may wait to run.
MAX_QUEUED = 256

Job = Callable[[], None]


class Pool:
    """Runs each job immediately, on an idle thread or a new one.

    The number of connections bounds the pool's size, since each runs at most
    `MAX_CONCURRENT` jobs. Jobs of one connection never wait for another's.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        # Waiting threads, minus the jobs already queued for them.
        self._idle_threads = 0

    def run(self, job: Job) -> None:
        """Runs a job, which must not raise, on another thread."""
        with self._lock:
            has_idle_thread = self._idle_threads > 0
            if has_idle_thread:
                self._idle_threads -= 1
        if has_idle_thread:
            self._jobs.put(job)
            return
        threads.start_once(self._run_thread, "answers", job)

    def _run_thread(self, job: Job) -> None:
        current: Job | None = job
        while current is not None:
            current()
            current = self._next_job()

    def _next_job(self) -> Job | None:
        with self._lock:
            self._idle_threads += 1
        try:
            return self._jobs.get(timeout=IDLE_S)
        except queue.Empty:
            with self._lock:
                if self._idle_threads > 0:
                    self._idle_threads -= 1
                    return None
        # Every waiting thread has a job queued for it.
        return self._jobs.get()


class RequestQueue:
    """Runs the requests of one connection, `MAX_CONCURRENT` at once."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._lock = threading.Lock()
        self._running = 0
        self._queued: collections.deque[Job] = collections.deque()

    def submit(self, job: Job) -> bool:
        """Runs or queues a job; returns false if the queue is full."""
        with self._lock:
            if self._running >= MAX_CONCURRENT:
                if len(self._queued) >= MAX_QUEUED:
                    return False
                self._queued.append(job)
                return True
            self._running += 1
        self._pool.run(lambda: self._run(job))
        return True

    def _run(self, job: Job) -> None:
        while True:
            try:
                job()
            except Exception:  # noqa: BLE001 - the next job must run.
                _log.exception("A request could not be answered.")
            with self._lock:
                if not self._queued:
                    self._running -= 1
                    return
                job = self._queued.popleft()
