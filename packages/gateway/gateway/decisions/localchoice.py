"""The choice of an upstream by a VM whose service's leader does not answer.

A VM knows its own requests, and what each upstream last told it. By its own
requests alone an upstream that other VMs have filled looks empty, and a slow
one gets as much as a fast one. It is designed for many VMs that share a few
upstreams, so that each VM has at most a few requests on each of them.
"""

from collections.abc import Iterable, Mapping
import random
from typing import NamedTuple

from gateway import records
from gateway.decisions import paces

# The time for a request to another failure domain and back.
_ROUND_TRIP_S = 0.004
# Smaller differences between expected times are left to the fill: the expected
# times are not more exact.
_MIN_DIFFERENCE_SHARE = 0.1
# A reported load loses its weight over this time, as requests end.
_REPORT_S = 1.5
# Part of the slots of an upstream that this VM uses before the upstream counts
# as full, if its load is not known. The rest is for other VMs.
_MAX_BLIND_FILL = 0.5
# Initial estimate of a run's duration; the first runs replace it.
_INITIAL_RUN_S = 0.1
_RUN_WEIGHT = 0.1
# A single run counts as at most this many times the mean.
_MAX_RUN_RATIO = 2.0


class _Report(NamedTuple):
    """What an upstream has reported.

    Attributes:
        others: Its requests that this VM did not send.
        at_s: When it reported, by the monotonic clock.
    """

    others: int
    at_s: float


class LocalChoice:
    """Ranks the upstreams of one service by when they are likely to answer."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._paces = paces.Paces()
        self._reports: dict[str, _Report] = {}
        self._run_s = _INITIAL_RUN_S

    def retain(self, upstreams: Iterable[records.Upstream]) -> None:
        """Drops the state of all upstreams but these.

        Of restarted ones the pace is dropped.
        """
        rows = tuple(upstreams)
        self._paces.retain(rows)
        kept = {row.instance for row in rows}
        for name in self._reports.keys() - kept:
            del self._reports[name]

    def record_report(
        self, instance: str, busy: int, own: int, pace: float, now_s: float
    ) -> None:
        """Records the load that an upstream reports.

        Args:
            instance: The upstream.
            busy: The requests that run or wait in it.
            own: The requests that this VM has on it.
            pace: How long work takes on it now, 1.0 as usual; 0 if not
                reported.
            now_s: The current time by the monotonic clock.
        """
        self._reports[instance] = _Report(max(0, busy - own), now_s)
        self._paces.record_report(instance, pace, now_s)

    def record_run(self, instance: str, took_s: float, now_s: float) -> None:
        """Records a run that succeeded and how long it took, in seconds."""
        self._paces.record_run(instance, took_s / self._run_s, now_s)
        limited_s = min(took_s, self._run_s * _MAX_RUN_RATIO)
        self._run_s += (limited_s - self._run_s) * _RUN_WEIGHT

    def rank(
        self,
        upstreams: Iterable[records.Upstream],
        counts: Mapping[str, int],
        domain: str,
        now_s: float,
    ) -> list[records.Upstream]:
        """Returns upstreams in the order in which to try them.

        Those in the VM's own failure domain come first, unless a far one is
        likely to answer earlier by more than the way there and back.

        Args:
            upstreams: The upstreams that the request may use.
            counts: The requests that this VM has on each upstream.
            domain: The failure domain of this VM.
            now_s: The current time by the monotonic clock.
        """
        return sorted(
            upstreams,
            key=lambda row: self._sort_key(
                row, counts.get(row.instance, 0), domain, now_s
            ),
        )

    def _sort_key(
        self, row: records.Upstream, own: int, domain: str, now_s: float
    ) -> tuple[int, float, float]:
        weight = self._report_weight(row.instance, now_s)
        busy = own + self._others(row.instance) * weight
        # Half of the slots, up to all of them if the load is known.
        room = row.slots * (_MAX_BLIND_FILL + (1 - _MAX_BLIND_FILL) * weight)
        pace = self._paces.pace(row.instance, now_s)
        ahead = max(0.0, busy + 1 - room)
        answer_s = (1 + ahead / row.slots) * self._run_s * pace
        step_s = max(_ROUND_TRIP_S, self._run_s * _MIN_DIFFERENCE_SHARE)
        is_far = row.failure_domain != domain
        fill = (busy + 1) * pace / row.slots
        return (int(answer_s / step_s) + is_far, fill, self._rng.random())

    def _others(self, instance: str) -> int:
        report = self._reports.get(instance)
        return 0 if report is None else report.others

    def _report_weight(self, instance: str, now_s: float) -> float:
        report = self._reports.get(instance)
        if report is None:
            return 0.0
        return max(0.0, 1.0 - (now_s - report.at_s) / _REPORT_S)
