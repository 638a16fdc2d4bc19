"""Which report of an upstream counts: what is known of it never goes back.

A write that got no answer may be done seconds later, and a VM may have missed
what others saw. So the last report in the store is not always the newest one.
Reports of one upstream are ordered by the start of its life and, within it,
by their number; an upstream that drains does so to the end of its life.
"""

from collections.abc import Collection, Iterable, Mapping

from gateway import records

# How long an upstream that is gone is remembered. A write without an answer
# is done within seconds.
_RETENTION_S = 60.0
# The order of what a listing shows of the same report.
_PRESENCES: tuple[records.Presence, ...] = ("absent", "listed", "kept", "gone")


def newest(
    held: records.Upstream | None, found: records.Upstream
) -> records.Upstream:
    """Returns which of two reports of an upstream counts.

    Args:
        held: What is known; `None` for nothing.
        found: What was found now. It counts if the two cannot be ordered.
    """
    if held == found:
        # Most lists bring nothing new.
        return found
    if held is None or not (_is_ordered(held) and _is_ordered(found)):
        return found
    return held if _rank(held) > _rank(found) else found


def _is_ordered(row: records.Upstream) -> bool:
    return row.started_ms > 0 and row.sequence > 0


def _rank(row: records.Upstream) -> tuple[int, bool, int, int]:
    return (
        row.started_ms,
        row.is_draining,
        row.sequence,
        _PRESENCES.index(row.presence),
    )


class Lives:
    """The newest known report of each upstream, those that are gone too.

    Not safe for use by several threads.

    Attributes:
        rows: The reports by the upstream's name.
    """

    def __init__(self) -> None:
        self.rows: dict[str, records.Upstream] = {}
        self._gone_s: dict[str, float] = {}

    def apply_listing(
        self,
        found: Mapping[str, records.Upstream],
        kept: Collection[str],
        now_s: float,
    ) -> list[records.Upstream]:
        """Applies what this VM has read from the store.

        Args:
            found: All listed upstreams and those that are kept.
            kept: The names of those that are kept.
            now_s: The monotonic clock, in seconds.

        Returns:
            The listed reports that are older than what was known.
        """
        rows = {
            name: row._replace(presence="kept") if name in kept else row
            for name, row in found.items()
        }
        return self._merge(rows, "gone", now_s)

    def apply_received(
        self, found: Iterable[records.Upstream], now_s: float
    ) -> list[records.Upstream]:
        """Applies what another VM knows.

        An upstream that the other VM does not know is not used, but not
        remembered as gone either: the other VM may know less.

        Returns:
            The reports that are older than what was known.
        """
        return self._merge(
            {row.instance: row for row in found}, "absent", now_s
        )

    def join(
        self, found: Iterable[records.Upstream], now_s: float
    ) -> list[records.Upstream]:
        """Applies what another VM knows that read the store before this one.

        Only upstreams that are known here change.

        Returns:
            Nothing, since older reports are to be expected.
        """
        for row in found:
            if row.instance in self.rows:
                self.rows[row.instance] = newest(self.rows[row.instance], row)
        self._forget(now_s)
        return []

    def _merge(
        self,
        found: Mapping[str, records.Upstream],
        missing: records.Presence,
        now_s: float,
    ) -> list[records.Upstream]:
        older = []
        for name, row in found.items():
            counts = newest(self.rows.get(name), row)
            if counts != row and row.presence == "listed":
                older.append(row)
                # It would count once the newer report is forgotten.
                self._gone_s.pop(name, None)
            self.rows[name] = counts
        for name in self.rows.keys() - found.keys():
            held = self.rows[name]
            if not _is_ordered(held):
                del self.rows[name]
            elif is_in_use(held):
                self.rows[name] = held._replace(presence=missing)
        self._forget(now_s)
        return older

    def _forget(self, now_s: float) -> None:
        """Forgets the upstreams that have been gone for long."""
        gone = {name for name, row in self.rows.items() if not is_in_use(row)}
        self._gone_s = {name: self._gone_s.get(name, now_s) for name in gone}
        for name, since_s in list(self._gone_s.items()):
            if now_s - since_s > _RETENTION_S:
                del self.rows[name], self._gone_s[name]


def is_in_use(row: records.Upstream) -> bool:
    """Returns whether an upstream is listed, or kept over an outage."""
    return row.presence in ("listed", "kept")
