"""Counts without names, between VMs that have the same list of upstreams.

A VM and the owner of some upstreams derive the same list of their names, in
the same order, while both see the same configuration and VMs. A digest in the
report shows whether they do. The report then needs only numbers, a third of
the bytes; otherwise it is sent again with names.
"""

import hashlib
from typing import NamedTuple

from bulrushdeald import inflight

_DIGEST_BYTES = 4


class ListedReport(NamedTuple):
    """An `inflight.CountsReport` without names.

    Attributes:
        digest: Digest of the upstreams' names.
        online: Number of online requests for each name in order.
    """

    digest: bytes
    online: tuple[int, ...]


class ListedTotals(NamedTuple):
    """An `inflight.CountsTotals` without names.

    Attributes:
        is_known: Whether the owner has the list; if not, the other fields
            are empty.
        online: Number of online requests for each name in order.
        batch: Number of batch items for each name in order.
    """

    is_known: bool
    online: tuple[int, ...] = ()
    batch: tuple[int, ...] = ()


class UpstreamNames:
    """The names of one owner's upstreams.

    Attributes:
        names: The names in order.
        digest: Digest that identifies the list in messages.
    """

    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names
        data = "\n".join(names).encode()
        self.digest = hashlib.sha256(data).digest()[:_DIGEST_BYTES]

    def without_names(self, report: inflight.CountsReport) -> ListedReport:
        """Returns a report of these upstreams without their names."""
        online = {count.upstream: count.online for count in report.counts}
        return ListedReport(
            self.digest, tuple(online.get(name, 0) for name in self.names)
        )

    def with_names(self, listed: ListedReport) -> inflight.CountsReport | None:
        """Returns a report with names, `None` if it is for another list."""
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

    def totals_without_names(
        self, totals: inflight.CountsTotals
    ) -> ListedTotals:
        """Returns totals without names.

        If they cover other upstreams, the result is marked as not known.
        """
        if tuple(count.upstream for count in totals.totals) != self.names:
            return ListedTotals(False)
        return ListedTotals(
            True,
            tuple(count.online for count in totals.totals),
            tuple(count.batch for count in totals.totals),
        )

    def totals_with_names(
        self, listed: ListedTotals
    ) -> inflight.CountsTotals | None:
        """Returns totals with names, `None` if they are for another list."""
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
