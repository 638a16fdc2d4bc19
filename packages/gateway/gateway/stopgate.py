"""Decides which requests this VM still takes after it was told to stop."""

import threading
import time

from gateway import records
from gateway.decisions import answertimes
from gateway.decisions import stopping

# How long a call about a job takes at most while the store answers, beyond the
# wait that its caller asks for.
_JOB_CALL_S = 2.0


class StopGate:
    """Knows when the VM stops and how long answers take; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answer_times = answertimes.AnswerTimes()
        self._times: stopping.StopTimes | None = None

    def begin(self, grace_s: float) -> stopping.StopTimes | None:
        """Begins the stop; returns its moments, `None` if it has begun.

        Args:
            grace_s: The grace period in seconds.
        """
        with self._lock:
            if self._times is not None:
                return None
            self._times = stopping.plan(time.monotonic(), grace_s)
            return self._times

    def has_begun(self) -> bool:
        """Returns whether the VM was told to stop."""
        return self._times is not None

    def record(self, route: records.Route, took_s: float) -> None:
        """Records how long a whole answer of a route took, in seconds."""
        with self._lock:
            self._answer_times.record(route.name, took_s)

    def may_begin(self, route: records.Route, due_s: float) -> bool:
        """Returns whether a request can end before this VM has stopped.

        Args:
            route: Its route.
            due_s: When its answer is due, on the monotonic clock.
        """
        times = self._times
        if times is None:
            return True
        with self._lock:
            longest_s = self._answer_times.longest_s(route.name)
        return stopping.may_begin(
            times,
            time.monotonic(),
            due_s,
            longest_s,
            is_repeatable=route.is_repeatable,
        )

    def may_begin_job_call(self, wait_s: float) -> bool:
        """Returns whether a call about a job can end before this VM stops.

        Args:
            wait_s: How long its caller lets it wait, in seconds.
        """
        times = self._times
        end_s = time.monotonic() + wait_s + _JOB_CALL_S
        return times is None or end_s <= times.cut_s
