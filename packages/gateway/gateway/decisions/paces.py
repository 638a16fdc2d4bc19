"""How fast upstreams work at present.

Upstreams share their machines with other work, and some are slow for seconds.
A slow upstream that gets as many requests as the others fills up, and the
requests that wait in it are late while others have room.

It is designed for a quarter of the upstreams being several times slower than
usual, for half a second or for many seconds, and for upstreams that report
wrong figures.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gateway import records

# The bounds of a pace. An upstream at the upper bound still gets requests, so
# its recovery is noticed; one that claims to be very fast does not attract all
# requests.
MIN_PACE = 0.25
MAX_PACE = 8.0
# The weight of a report falls to zero over this time, since slow periods are
# often as short as that.
_REPORT_S = 0.5
# Weight of a new run in the moving average of the runs' ratios.
_RUN_WEIGHT = 0.2
# After a time without runs the deviation of the average from the usual pace
# halves in each half-life, so that an upstream that gets nothing because it was
# slow is tried again. The average does not decay between the few runs of a
# slow upstream, which would make it look faster than it is.
_QUIET_S = 1.0
_HALF_LIFE_S = 1.5
# A single report or run counts as at most this many times the estimate, and as
# at least the estimate divided by it.
_MAX_STEP = 2.0
_USUAL = 1.0


class _Value(NamedTuple):
    """A pace and the time of its record, by the monotonic clock."""

    pace: float
    at_s: float


class Paces:
    """The paces of the upstreams of one service.

    A pace is how long work takes in relation to the usual time: 1.0 is as
    usual, 2.0 takes twice as long. Paces are averaged as ratios, so that half
    and twice the usual time cancel out.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Value] = {}
        self._runs: dict[str, _Value] = {}
        self._started_ms: dict[str, int] = {}

    def retain(self, upstreams: Iterable[records.Upstream]) -> None:
        """Drops the state of upstreams that are gone or have restarted."""
        started_ms = {row.instance: row.started_ms for row in upstreams}
        for name in self._reports.keys() | self._runs.keys():
            now_ms = started_ms.get(name)
            if now_ms is None or self._started_ms.get(name, now_ms) != now_ms:
                self._reports.pop(name, None)
                self._runs.pop(name, None)
        self._started_ms = started_ms

    def record_report(self, instance: str, pace: float, now_s: float) -> None:
        """Records the pace that an upstream reports.

        Args:
            instance: The upstream.
            pace: The pace; ignored if it is not positive and finite.
            now_s: The current time by the monotonic clock.
        """
        if not _is_valid(pace):
            return
        estimate = self.pace(instance, now_s)
        self._reports[instance] = _Value(_limit_step(pace, estimate), now_s)

    def record_run(self, instance: str, ratio: float, now_s: float) -> None:
        """Records a run that succeeded.

        Failed runs must not be recorded: an upstream that fails fast is not
        fast.

        Args:
            instance: The upstream.
            ratio: How long it took, as a multiple of the expected time at
                usual pace; ignored if it is not positive and finite.
            now_s: The current time by the monotonic clock.
        """
        if not _is_valid(ratio):
            return
        estimate = self._run_pace(instance, now_s)
        limited = _limit_step(ratio, estimate)
        pace = _weighted_mean(limited, estimate, _RUN_WEIGHT)
        self._runs[instance] = _Value(pace, now_s)

    def pace(self, instance: str, now_s: float) -> float:
        """Returns the estimated pace, from `MIN_PACE` to `MAX_PACE`."""
        run_pace = self._run_pace(instance, now_s)
        report = self._reports.get(instance)
        if report is None:
            return run_pace
        weight = 1.0 - max(0.0, now_s - report.at_s) / _REPORT_S
        if weight <= 0:
            return run_pace
        return _weighted_mean(report.pace, run_pace, weight)

    def report_age_s(self, instance: str, now_s: float) -> float | None:
        """Returns the age of the last report; `None` if there is none."""
        report = self._reports.get(instance)
        return None if report is None else now_s - report.at_s

    def _run_pace(self, instance: str, now_s: float) -> float:
        """Returns the pace by the runs, which becomes usual without runs."""
        runs = self._runs.get(instance)
        if runs is None:
            return _USUAL
        quiet_s = max(0.0, now_s - runs.at_s - _QUIET_S)
        weight = 0.5 ** (quiet_s / _HALF_LIFE_S)
        return _weighted_mean(runs.pace, _USUAL, weight)


def _is_valid(pace: float) -> bool:
    return 0 < pace < float("inf")


def _limit_step(pace: float, estimate: float) -> float:
    """Returns a new value limited to a step from the estimate and to bounds."""
    limited = min(max(pace, estimate / _MAX_STEP), estimate * _MAX_STEP)
    return min(max(limited, MIN_PACE), MAX_PACE)


def _weighted_mean(first: float, second: float, weight: float) -> float:
    """Returns the geometric mean, in which `first` has a weight of 0 to 1."""
    return float(first**weight * second ** (1.0 - weight))
