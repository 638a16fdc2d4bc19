"""Bounds the requests that a service's engines get in a second.

An engine that has restarted unseen is cold, and it draws what comes: its runs
have ended, so it has the most free slots of all.
"""

from collections.abc import Iterable

from gateway import records
from gateway.decisions import coldstarts


class StartLimits:
    """The requests that engines got lately, and how many they may get.

    Where a warm engine takes fewer requests a second than a cold one may get,
    the bound costs nothing and is always kept. Otherwise it is kept for the
    length of a cold start after a failure.
    """

    def __init__(self) -> None:
        self._starts = coldstarts.SendWindow()
        self._last_failed_s: dict[str, float] = {}
        self._cold_start: coldstarts.ColdStart | None = None

    def configure(
        self,
        instances: Iterable[str],
        cold_start: coldstarts.ColdStart | None,
    ) -> None:
        """Sets the engines and their cold start; `None` if they have none."""
        kept = frozenset(instances)
        self._cold_start = cold_start
        self._starts.retain(kept)
        for name in self._last_failed_s.keys() - kept:
            del self._last_failed_s[name]

    def record_start(self, instance: str, now_s: float) -> None:
        """Records that an engine gets a request."""
        self._starts.record(instance, now_s)

    def record_failure(self, instance: str, now_s: float) -> None:
        """Records that an engine failed a request."""
        self._last_failed_s[instance] = now_s

    def allows(self, row: records.Upstream, run_s: float, now_s: float) -> bool:
        """Returns whether an engine may get a request now.

        Args:
            row: The engine.
            run_s: How long a request takes on a warm engine, in seconds.
            now_s: The current time by the monotonic clock.
        """
        most = self._max_starts(row, run_s, now_s)
        return most is None or self._starts.count(row.instance, now_s) < most

    def wait_s(
        self, rows: Iterable[records.Upstream], run_s: float, now_s: float
    ) -> float:
        """Returns in how many seconds one of some engines may get a request."""
        waits_s = (
            self._starts.free_in_s(row.instance, most, now_s)
            for row in rows
            if (most := self._max_starts(row, run_s, now_s)) is not None
        )
        return min(waits_s, default=0.0)

    def _max_starts(
        self, row: records.Upstream, run_s: float, now_s: float
    ) -> int | None:
        if self._cold_start is None:
            return None
        most = self._cold_start.max_sent
        if row.slots / run_s <= most:
            return most
        failed_s = self._last_failed_s.get(row.instance)
        if failed_s is None or now_s - failed_s > self._cold_start.duration_s:
            return None
        return most
