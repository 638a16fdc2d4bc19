"""Which engines may get requests, by their failures and their restarts.

An engine that fails every request, or that restarted unseen, has the most free
slots of its service and would draw most of the requests.
"""

from collections.abc import Iterable, Mapping

from gateway import records
from gateway.decisions import coldstarts
from gateway.decisions import outliers
from gateway.decisions import startlimits


class EngineLimits:
    """The limits on requests to the engines of one service."""

    def __init__(self) -> None:
        self._instances: frozenset[str] = frozenset()
        self._is_cold_bound = False
        self._outliers = outliers.OutlierDetector()
        self._starts = startlimits.StartLimits()

    def configure(
        self,
        engines: Mapping[str, records.Upstream],
        cold_start: coldstarts.ColdStart | None,
    ) -> None:
        """Sets the engines and their cold start; `None` if they have none."""
        self._instances = frozenset(engines)
        self._is_cold_bound = cold_start is not None
        self._outliers.retain(engines)
        self._starts.configure(engines, cold_start)

    def allows(
        self, row: records.Upstream, known: int, run_s: float, now_s: float
    ) -> bool:
        """Returns whether an engine may get a request now.

        Args:
            row: The engine.
            known: The number of its known runs.
            run_s: How long a request takes on a warm engine, in seconds.
            now_s: The current time by the monotonic clock.
        """
        limit = self._outliers.limit(row.instance, now_s)
        if limit is not None and known >= limit:
            return False
        return not self._is_cold_bound or self._starts.allows(row, run_s, now_s)

    def wait_s(
        self, rows: Iterable[records.Upstream], run_s: float, now_s: float
    ) -> float:
        """Returns in how many seconds one of some engines may get a request."""
        return self._starts.wait_s(rows, run_s, now_s)

    def record_start(self, instance: str, now_s: float) -> None:
        """Records that an engine gets a request."""
        self._starts.record_start(instance, now_s)

    def record_outcome(
        self, instance: str, now_s: float, *, has_failed: bool
    ) -> None:
        """Records how a request ended, if the engine is still one of them."""
        if instance not in self._instances:
            return
        if has_failed:
            self._starts.record_failure(instance, now_s)
        self._outliers.record(
            instance,
            now_s,
            has_failed=has_failed,
            count=len(self._instances),
        )
