"""How many requests a VM may send to an upstream that has just started.

A cold upstream crashes under a rate that it takes easily once it is warm. It
has the most free slots of its service, so without a limit it draws every
request of a burst.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from gateway import records

# The operators count requests in any window of this length. The rest is for
# requests that are sent later than they were counted.
_COUNTED_WINDOW_S = 1.0
WINDOW_S = _COUNTED_WINDOW_S + 0.1
# Longer times are not believed.
_MAX_COLD_S = 60.0


class ColdStart(NamedTuple):
    """The cold start of a service's upstreams.

    Attributes:
        duration_s: How long an upstream stays cold after its start.
        max_shared: The requests a second to one cold upstream that the VMs
            share among them.
        max_sent: The most requests that one upstream may get in a second.
    """

    duration_s: float
    max_shared: int
    max_sent: int


def cold_start(
    service: records.Service | None, limits: records.ColdLimits | None
) -> ColdStart | None:
    """Returns the cold start of a service; `None` if it has none.

    The operators' slack is not shared out: it is for VMs whose lists differ.
    """
    if service is None or limits is None or service.cold_start_s <= 0:
        return None
    if service.cold_rate_per_s <= 0:
        return None
    rate_per_s = service.cold_rate_per_s * limits.rate_factor
    return ColdStart(
        service.cold_start_s,
        max(1, int(rate_per_s)),
        max(1, int(rate_per_s + limits.slack)),
    )


class SendWindow:
    """The requests sent to each upstream within the last second."""

    def __init__(self) -> None:
        self._sent_s: dict[str, collections.deque[float]] = {}

    def record(self, instance: str, now_s: float) -> None:
        """Counts a request that is being sent."""
        self._recent(instance, now_s).append(now_s)

    def count(self, instance: str, now_s: float) -> int:
        """Returns how many requests the upstream got in the last second."""
        return len(self._recent(instance, now_s))

    def free_in_s(self, instance: str, limit: int, now_s: float) -> float:
        """Returns in how many seconds fewer than `limit` will be counted."""
        recent = self._recent(instance, now_s)
        if len(recent) < limit:
            return 0.0
        return recent[-limit] + WINDOW_S - now_s

    def retain(self, instances: Iterable[str]) -> None:
        """Drops the counts of all upstreams but these."""
        kept = frozenset(instances)
        for name in self._sent_s.keys() - kept:
            del self._sent_s[name]

    def _recent(self, instance: str, now_s: float) -> collections.deque[float]:
        recent = self._sent_s.setdefault(instance, collections.deque())
        while recent and recent[0] <= now_s - WINDOW_S:
            recent.popleft()
        return recent


class ColdUpstreams:
    """Which upstreams count as cold, and until when."""

    def __init__(self) -> None:
        self._rows: dict[str, records.Upstream] = {}
        self._cold_until_s: dict[str, float] = {}

    def update(
        self,
        rows: Iterable[records.Upstream],
        durations_s: Mapping[str, float],
        now_s: float,
    ) -> list[str]:
        """Applies the list of upstreams.

        An entry says how long its upstream stays cold from when it was
        written. The upstream counts as cold that long from when the entry is
        first seen, or for its service's whole cold start if it does not say.

        Args:
            rows: All listed upstreams.
            durations_s: The cold start of each service that is known to have
                one.
            now_s: The current time by the monotonic clock.

        Returns:
            The upstreams that count as cold anew.
        """
        before = self._rows
        self._rows = {
            row.instance: row for row in rows if row.service in durations_s
        }
        started: list[str] = []
        for name, row in self._rows.items():
            if before.get(name) == row:
                continue
            told_s = row.cold_remaining_s
            if told_s is None:
                told_s = durations_s[row.service]
            if self.extend(name, told_s, now_s):
                started.append(name)
        for name in self._cold_until_s.keys() - self._rows.keys():
            del self._cold_until_s[name]
        return started

    def suspect(
        self,
        instances: Iterable[str],
        durations_s: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Counts upstreams as cold that may have become so unseen."""
        for name in instances:
            row = self._rows.get(name)
            if row is not None and row.service in durations_s:
                self.extend(name, durations_s[row.service], now_s)

    def cold(self, now_s: float) -> dict[str, float]:
        """Returns the cold upstreams, and in how many seconds each is warm."""
        return {
            name: until_s - now_s
            for name, until_s in list(self._cold_until_s.items())
            if until_s > now_s
        }

    def extend(self, name: str, cold_s: float, now_s: float) -> bool:
        """Counts an upstream as cold for at least `cold_s` more.

        Returns:
            Whether it is cold now and was not before.
        """
        if name not in self._rows:
            return False
        cold_s = min(cold_s, _MAX_COLD_S)
        until_s = self._cold_until_s.get(name, 0.0)
        if now_s + cold_s > until_s:
            self._cold_until_s[name] = now_s + cold_s
        return cold_s > 0 and until_s <= now_s


def share(vm: str, ranked: Sequence[str], max_shared: int) -> int:
    """Returns how many requests a second a VM may send to a cold upstream.

    All VMs compute the same shares from the list of VMs, so that the sum holds
    without a leader, under two leaders and in a network partition.

    Args:
        vm: The VM.
        ranked: The VMs that may send, in the upstream's own order.
        max_shared: The rate of all VMs together.
    """
    if vm not in ranked:
        return 0
    if len(ranked) <= max_shared:
        return max_shared // len(ranked)
    return int(vm in ranked[:max_shared])
