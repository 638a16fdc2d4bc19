"""Counts without names, between VMs that know the same list of upstreams.

A VM and the owner of some upstreams work out the same list of these, in the
same order, while they see the same configuration and VMs; a digest in the
report tells whether they do. Then numbers are enough, at a third of the
bytes. Else the report is sent again with names.
"""

import hashlib
from typing import NamedTuple

from bulrushdeald import inflight

_DIGEST_BYTES = 4


class ListedReport(NamedTuple):
    """An `inflight.CountsReport` without names.

    Attributes:
        digest: Of the names.
        online: For each name in order.
    """

    digest: bytes
    online: tuple[int, ...]


class ListedTotals(NamedTuple):
    """An `inflight.CountsTotals` without names.

    Attributes:
        is_known: Whether the owner has the list; else the rest is empty.
        online: For each name in order.
        batch: For each name in order.
    """

    is_known: bool
    online: tuple[int, ...] = ()
    batch: tuple[int, ...] = ()


class Names:
    """The upstreams of one owner in order."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names
        data = "\n".join(names).encode()
        self.digest = hashlib.sha256(data).digest()[:_DIGEST_BYTES]

    def listed(self, report: inflight.CountsReport) -> ListedReport:
        """Returns a report of these upstreams without their names."""
        online = {count.upstream: count.online for count in report.counts}
        return ListedReport(
            self.digest, tuple(online.get(name, 0) for name in self.names)
        )

    def report(self, listed: ListedReport) -> inflight.CountsReport | None:
        """Returns a report with its names, `None` if it has other ones."""
        if listed.digest != self.digest:
            return None
        if len(listed.online) != len(self.names):
            return None
        return inflight.CountsReport(
            tuple(
                inflight.Count(name, online)
                for name, online in zip(self.names, listed.online, strict=True)
                if online
            )
        )

    def listed_totals(self, totals: inflight.CountsTotals) -> ListedTotals:
        """Returns totals without names, unless they are of others."""
        if tuple(count.upstream for count in totals.totals) != self.names:
            return ListedTotals(False)
        return ListedTotals(
            True,
            tuple(count.online for count in totals.totals),
            tuple(count.batch for count in totals.totals),
        )

    def totals(self, listed: ListedTotals) -> inflight.CountsTotals | None:
        """Returns totals with their names, `None` if they are of others."""
        sizes = {len(listed.online), len(listed.batch)}
        if not listed.is_known or sizes != {len(self.names)}:
            return None
        return inflight.CountsTotals(
            tuple(
                inflight.Count(*row)
                for row in zip(
                    self.names, listed.online, listed.batch, strict=True
                )
            )
        )
