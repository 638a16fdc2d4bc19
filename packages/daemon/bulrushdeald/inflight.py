"""How many requests each upstream runs, over all VMs.

For each upstream one entry VM, its owner, sums what the VMs report. A VM
reports its own counts to the owners of the upstreams that it uses, when they
change, and gets the sums back. An owner alone places batch work on an
upstream, so two VMs never race for the slots that online work leaves.
Ownership is soft: it follows from the list of VMs, and a wrong belief costs
only efficiency, never correctness.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bulrushdeal import clock as clock_lib

_FIRST_EXPIRY_S = 5.0


class Count(NamedTuple):
    """How many requests run on an upstream.

    Attributes:
        upstream: Its name.
        online: Online requests.
        batch: Batch items.
    """

    upstream: str
    online: int
    batch: int = 0


class CountsReport(NamedTuple):
    """What one VM runs, for the owner of these upstreams.

    Attributes:
        counts: All upstreams of the owner on which the VM runs anything.
    """

    counts: tuple[Count, ...]


class CountsTotals(NamedTuple):
    """The owner's answer to a report.

    Attributes:
        totals: The sums over all VMs, the caller's included, for each
            upstream that runs anything.
    """

    totals: tuple[Count, ...]


class _Report(NamedTuple):
    at_s: float
    online: dict[str, int]


class _Others(NamedTuple):
    at_s: float
    counts: dict[str, Count]


class Inflight:
    """Own counts, others' reports and totals; not thread-safe by itself.

    Attributes:
        expiry_s: A VM that has been silent this long has crashed or is cut
            off; what it ran shows in the upstream's own load report.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self.expiry_s = _FIRST_EXPIRY_S
        self._online: dict[str, int] = {}
        self._batch: dict[str, int] = {}
        # In the order in which they came.
        self._reports: dict[str, _Report] = {}
        # The sums over these, since there are many and each request asks.
        self._reported: dict[str, int] = {}
        self._others: dict[str, _Others] = {}
        self._external: dict[str, int] = {}

    def add_online(self, upstream: str, count: int) -> None:
        """Changes how many online requests this VM runs there."""
        self._online[upstream] = self._online.get(upstream, 0) + count
        if not self._online[upstream]:
            del self._online[upstream]

    def add_batch(self, upstream: str, count: int) -> None:
        """Changes how many batch items this VM runs there."""
        self._batch[upstream] = self._batch.get(upstream, 0) + count

    def own_online(self, upstream: str) -> int:
        """Returns how many online requests this VM runs there."""
        return self._online.get(upstream, 0)

    def own_batch(self, upstream: str) -> int:
        """Returns how many batch items this VM runs there."""
        return self._batch.get(upstream, 0)

    def own_report(self, names: Iterable[str] | None = None) -> CountsReport:
        """Returns what this VM runs on some upstreams, or on all."""
        found = self._online if names is None else names
        return CountsReport(
            tuple(
                Count(name, self._online[name])
                for name in found
                if self._online.get(name)
            )
        )

    def take_report(self, vm: str, report: CountsReport) -> None:
        """Notes, as owner, what a VM runs; replaces its last report."""
        self._drop_report(vm)
        online = {count.upstream: count.online for count in report.counts}
        self._reports[vm] = _Report(self._clock.monotonic_s(), online)
        for name, count in online.items():
            self._reported[name] = self._reported.get(name, 0) + count

    def _drop_report(self, vm: str) -> None:
        report = self._reports.pop(vm, None)
        if report is None:
            return
        for name, count in report.online.items():
            left = self._reported.get(name, 0) - count
            if left:
                self._reported[name] = left
            else:
                self._reported.pop(name, None)

    def _drop_old_reports(self) -> None:
        """Drops the reports that are too old; the oldest stand first."""
        while self._reports:
            vm, report = next(iter(self._reports.items()))
            if not self._is_old(report.at_s):
                return
            self._drop_report(vm)

    def prune(self) -> None:
        """Drops what is too old to count, of VMs that are gone."""
        self._drop_old_reports()
        for vm, others in list(self._others.items()):
            if self._is_old(others.at_s):
                del self._others[vm]

    def set_external(self, upstream: str, count: int) -> None:
        """Notes, as owner, what runs beyond all reports.

        The upstream's own load report shows requests of VMs that cannot
        reach this one.
        """
        self._external[upstream] = count

    def total_online(self, upstream: str) -> int:
        """Returns, as owner, what is believed to run for all VMs."""
        known = self.known_online(upstream)
        return known + self._external.get(upstream, 0)

    def known_online(self, upstream: str) -> int:
        """Returns, as owner, the sum over this VM and those reporting."""
        self._drop_old_reports()
        return self.own_online(upstream) + self._reported.get(upstream, 0)

    def totals(self, upstreams: frozenset[str]) -> CountsTotals:
        """Returns, as owner, the answer to a report."""
        return CountsTotals(
            tuple(
                Count(name, self.total_online(name), self.own_batch(name))
                for name in sorted(upstreams)
            )
        )

    def take_totals(
        self, owner: str, sent: CountsReport, answer: CountsTotals
    ) -> None:
        """Notes an owner's sums, without the part that this VM reported.

        What this VM sent since is added when an estimate is asked for, so a
        stale answer does not hide it.
        """
        own = {count.upstream: count.online for count in sent.counts}
        others = {
            total.upstream: Count(
                total.upstream,
                max(0, total.online - own.get(total.upstream, 0)),
                total.batch,
            )
            for total in answer.totals
        }
        self._others[owner] = _Others(self._clock.monotonic_s(), others)

    def is_known(self, owner: str) -> bool:
        """Tells whether an owner's sums are here and not too old."""
        others = self._others.get(owner)
        return others is not None and not self._is_old(others.at_s)

    def estimate(self, upstream: str, owner: str, own_vm: str) -> Count:
        """Returns what is believed to run on an upstream now."""
        if owner == own_vm:
            return Count(
                upstream, self.total_online(upstream), self.own_batch(upstream)
            )
        if not self.is_known(owner):
            return Count(
                upstream, self.own_online(upstream), self.own_batch(upstream)
            )
        others = self._others[owner]
        other = others.counts.get(upstream, Count(upstream, 0))
        return Count(
            upstream, other.online + self.own_online(upstream), other.batch
        )

    def _is_old(self, at_s: float) -> bool:
        return at_s < self._clock.monotonic_s() - self.expiry_s
