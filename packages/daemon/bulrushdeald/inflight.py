"""Counts of the requests that each upstream runs for all VMs.

Each upstream has one owner, an entry VM that sums the counts that the VMs
report. A VM reports its own counts to the owners of the upstreams that it
uses whenever they change, and receives the sums in the answer. Only the owner
places batch work on an upstream, so two VMs never race for the slots that
online work leaves free. Ownership is derived from the list of VMs without a
lock or lease: VMs that see different lists may disagree on the owner, which
costs efficiency but never correctness.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bulrushdeal import clock as clock_lib

_INITIAL_EXPIRY_S = 5.0


class Count(NamedTuple):
    """The number of requests that run on an upstream.

    Attributes:
        upstream: The upstream's name.
        online: Number of online requests.
        batch: Number of batch items.
    """

    upstream: str
    online: int
    batch: int = 0


class CountsReport(NamedTuple):
    """The counts of one VM, sent to the owner of these upstreams.

    Attributes:
        counts: One entry for each of the owner's upstreams on which the VM
            runs online requests.
    """

    counts: tuple[Count, ...]


class CountsTotals(NamedTuple):
    """The owner's answer to a report.

    Attributes:
        totals: The sums over all VMs, the caller included, for each upstream
            of the owner.
    """

    totals: tuple[Count, ...]


class _Report(NamedTuple):
    at_s: float
    online: dict[str, int]


class _RemoteCounts(NamedTuple):
    at_s: float
    counts: dict[str, Count]


class Inflight:
    """This VM's counts, other VMs' reports and owners' totals.

    Not thread-safe: callers hold the router's lock.

    Attributes:
        expiry_s: Age in seconds at which a report or totals expire. Their
            sender has crashed or is cut off; the requests that it runs then
            appear in the upstream's own load report.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self.expiry_s = _INITIAL_EXPIRY_S
        self._online: dict[str, int] = {}
        self._batch: dict[str, int] = {}
        # Oldest first.
        self._reports: dict[str, _Report] = {}
        # Sums over `_reports`, kept up to date because every request reads
        # them and there are many reports.
        self._reported_sums: dict[str, int] = {}
        self._remote_counts: dict[str, _RemoteCounts] = {}
        self._external: dict[str, int] = {}

    def add_online(self, upstream: str, count: int) -> None:
        """Adds to this VM's count of online requests on an upstream."""
        self._online[upstream] = self._online.get(upstream, 0) + count
        if not self._online[upstream]:
            del self._online[upstream]

    def add_batch(self, upstream: str, count: int) -> None:
        """Adds to this VM's count of batch items on an upstream."""
        self._batch[upstream] = self._batch.get(upstream, 0) + count

    def own_online(self, upstream: str) -> int:
        """Returns how many online requests this VM runs on an upstream."""
        return self._online.get(upstream, 0)

    def own_batch(self, upstream: str) -> int:
        """Returns how many batch items this VM runs on an upstream."""
        return self._batch.get(upstream, 0)

    def own_report(self, names: Iterable[str] | None = None) -> CountsReport:
        """Returns this VM's online counts on the named upstreams, or on all."""
        selected = self._online if names is None else names
        return CountsReport(
            tuple(
                Count(name, self._online[name])
                for name in selected
                if self._online.get(name)
            )
        )

    def store_report(self, vm: str, report: CountsReport) -> None:
        """Replaces a VM's stored report; called on the owner."""
        self._drop_report(vm)
        online = {count.upstream: count.online for count in report.counts}
        self._reports[vm] = _Report(self._clock.monotonic_s(), online)
        for name, count in online.items():
            self._reported_sums[name] = self._reported_sums.get(name, 0) + count

    def _drop_report(self, vm: str) -> None:
        report = self._reports.pop(vm, None)
        if report is None:
            return
        for name, count in report.online.items():
            left = self._reported_sums.get(name, 0) - count
            if left:
                self._reported_sums[name] = left
            else:
                self._reported_sums.pop(name, None)

    def _drop_expired_reports(self) -> None:
        """Drops expired reports, starting from the oldest."""
        while self._reports:
            vm, report = next(iter(self._reports.items()))
            if not self._is_expired(report.at_s):
                return
            self._drop_report(vm)

    def prune(self) -> None:
        """Drops expired reports and totals of VMs that are gone."""
        self._drop_expired_reports()
        for vm, others in list(self._remote_counts.items()):
            if self._is_expired(others.at_s):
                del self._remote_counts[vm]

    def set_external(self, upstream: str, count: int) -> None:
        """Sets how many requests run on an upstream but are in no report.

        The owner calls this. The upstream's own load report shows these
        requests; they come from VMs that cannot reach the owner.
        """
        self._external[upstream] = count

    def total_online(self, upstream: str) -> int:
        """Returns the owner's estimate of the online requests of all VMs."""
        known = self.known_online(upstream)
        return known + self._external.get(upstream, 0)

    def known_online(self, upstream: str) -> int:
        """Returns the owner's sum over its own count and all valid reports."""
        self._drop_expired_reports()
        return self.own_online(upstream) + self._reported_sums.get(upstream, 0)

    def totals(self, upstreams: frozenset[str]) -> CountsTotals:
        """Returns the owner's answer to a report."""
        return CountsTotals(
            tuple(
                Count(name, self.total_online(name), self.own_batch(name))
                for name in sorted(upstreams)
            )
        )

    def store_totals(
        self, owner: str, sent: CountsReport, answer: CountsTotals
    ) -> None:
        """Stores an owner's totals, less the counts that this VM reported.

        `estimate` adds this VM's current counts, so that an outdated answer
        does not hide requests placed after the report.
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
        self._remote_counts[owner] = _RemoteCounts(
            self._clock.monotonic_s(), others
        )

    def has_fresh_totals(self, owner: str) -> bool:
        """Returns whether this VM has unexpired totals of an owner."""
        others = self._remote_counts.get(owner)
        return others is not None and not self._is_expired(others.at_s)

    def estimate(self, upstream: str, owner: str, own_vm: str) -> Count:
        """Returns the estimated counts of an upstream.

        Without unexpired totals of the owner these are only this VM's own.
        """
        if owner == own_vm:
            return Count(
                upstream, self.total_online(upstream), self.own_batch(upstream)
            )
        if not self.has_fresh_totals(owner):
            return Count(
                upstream, self.own_online(upstream), self.own_batch(upstream)
            )
        others = self._remote_counts[owner]
        other = others.counts.get(upstream, Count(upstream, 0))
        return Count(
            upstream, other.online + self.own_online(upstream), other.batch
        )

    def _is_expired(self, at_s: float) -> bool:
        return at_s < self._clock.monotonic_s() - self.expiry_s
