"""Keeps listed entries over an outage of the store in which they may expire."""

from collections.abc import Callable, Mapping
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")

# Entries that expired while the store was unavailable are written again within
# two seconds of its return; an entry that is missing after that is gone.
_KEEP_S = 2.0


class Kept(NamedTuple):
    """The entries that are used though the store does not list them.

    Attributes:
        until_s: Until when each is kept, on the monotonic clock, by name.
        outage_s: How long the latest outage lasted, in seconds; 0 if there
            was none.
    """

    until_s: Mapping[str, float]
    outage_s: float


class Listing(Generic[T]):
    """Decides which entries to use, given what the store lists.

    After an outage, the store lacks entries that expired meanwhile although
    their writers still run; without them every request would be refused. They
    are kept until their writers have had time to write them again. The VM
    that reads the store decides once, at the first listing that lacks an
    entry, until when it is kept; failures after that do not move this end,
    and other VMs take it over.

    Args:
        may_return: Returns whether an entry that expired during an outage
            may be written again.
        min_outage_s: Entries do not expire in a shorter outage, in seconds.
    """

    def __init__(
        self, may_return: Callable[[T], bool], min_outage_s: float
    ) -> None:
        self._may_return = may_return
        self._min_outage_s = min_outage_s
        self._rows: dict[str, T] = {}
        self._read_s: float | None = None
        self._has_failed = False
        self._grace_until_s = 0.0
        self._outage_s = 0.0
        self._kept_until_s: dict[str, float] = {}

    def kept(self) -> Kept:
        """Returns the entries that are kept since the last listing."""
        return Kept(dict(self._kept_until_s), self._outage_s)

    def record_failure(self) -> None:
        """Records that the store could not be read.

        Without a failure, a long time between two listings is no outage: this
        VM stood still, or other VMs did.
        """
        self._has_failed = True

    def update(self, rows: Mapping[str, T], read_s: float) -> dict[str, T]:
        """Applies a complete listing that this VM read from the store.

        Args:
            rows: All listed entries, by name.
            read_s: When it was read, on the monotonic clock, in seconds.

        Returns:
            The listed entries and those that are kept, by name.
        """
        since_s = 0.0 if self._read_s is None else read_s - self._read_s
        if self._has_failed and since_s >= self._min_outage_s:
            self._outage_s = since_s
            self._grace_until_s = read_s + _KEEP_S
        until_s = {
            name: self._kept_until_s.get(name, self._grace_until_s)
            for name, row in self._rows.items()
            if name not in rows and self._may_return(row)
        }
        return self._replace(rows, read_s, until_s)

    def adopt(
        self,
        rows: Mapping[str, T],
        read_s: float,
        kept_until_s: Mapping[str, float],
    ) -> None:
        """Takes over a newer listing that another VM read.

        Args:
            rows: The entries that the other VM uses, by name.
            read_s: When it was read, on the monotonic clock, in seconds.
            kept_until_s: Until when entries among them are kept, by name. An
                end that is known here and earlier stays.
        """
        until_s = {
            name: min(end_s, self._kept_until_s.get(name, end_s))
            for name, end_s in kept_until_s.items()
        }
        listed = {
            name: row for name, row in rows.items() if name not in until_s
        }
        self._rows |= rows
        self._replace(listed, read_s, until_s)

    def _replace(
        self,
        listed: Mapping[str, T],
        read_s: float,
        kept_until_s: Mapping[str, float],
    ) -> dict[str, T]:
        self._has_failed = False
        self._read_s = read_s
        self._kept_until_s = {
            name: end_s
            for name, end_s in kept_until_s.items()
            if end_s > read_s
        }
        kept = {name: self._rows[name] for name in self._kept_until_s}
        self._rows = {**kept, **listed}
        return self._rows
