"""Remembers runs that were given up, in case their upstreams crash by them.

Many upstreams do not look at a connection while they run a request. Such a
request can crash its upstream after its caller has left, and no connection of
its own breaks any more: only those of other requests do.
"""

import collections
from collections.abc import Callable
import threading
import time
from typing import NamedTuple

from bulrushdeald import quarantine
from gateway import records

# How long before a crash a run was given up at most to have caused it. An
# upstream crashes as it begins to write, which is within its first seconds.
_MAX_GAP_S = 2.0
# Until other VMs have told of a crash that only they have seen.
_KEPT_S = 10.0
# Bounds the memory; callers that leave in such numbers crash nothing.
_MAX_RUNS = 1000


class GivenUpRun(NamedTuple):
    """A run that was given up before it had written anything.

    Attributes:
        fingerprint: Identifies the request; see `fingerprints.fingerprint`.
        upstream: The upstream as it was listed when the run began.
        began_s: When it began, by the monotonic clock.
        given_up_s: When it was given up.
        parts: The parts of its prompt.
    """

    fingerprint: str
    upstream: records.Upstream
    began_s: float
    given_up_s: float
    parts: tuple[str, ...] = ()


class GivenUpRuns:
    """The runs given up lately; thread-safe.

    Args:
        now_s: Returns the time, by the monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._runs: collections.deque[GivenUpRun] = collections.deque(
            maxlen=_MAX_RUNS
        )

    def add(self, run: GivenUpRun) -> None:
        """Remembers a run."""
        with self._lock:
            self._prune()
            self._runs.append(run)

    def take(self, crash: quarantine.Crash) -> list[GivenUpRun]:
        """Removes and returns the runs that may have caused a crash.

        Args:
            crash: The crash of an upstream, as it was recorded just now.
        """
        if not self._runs or not crash.is_age_exact:
            return []
        crashed_s = self._now_s() - crash.age_s
        with self._lock:
            self._prune()
            found = [
                run for run in self._runs if _may_cause(run, crash, crashed_s)
            ]
            for run in found:
                self._runs.remove(run)
        return found

    def _prune(self) -> None:
        oldest_s = self._now_s() - _KEPT_S
        while self._runs and self._runs[0].given_up_s < oldest_s:
            self._runs.popleft()


def _may_cause(
    run: GivenUpRun, crash: quarantine.Crash, crashed_s: float
) -> bool:
    upstream = run.upstream
    if upstream.instance != crash.upstream:
        return False
    # Both have to be known: an entry may come without a start.
    if 0 < upstream.started_ms != crash.started_ms > 0:
        return False
    return run.began_s <= crashed_s <= run.given_up_s + _MAX_GAP_S
