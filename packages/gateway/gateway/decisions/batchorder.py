"""Which batch item is next, and which run gives its slot to online requests.

The load: all VMs lost their power, or bursts of online requests took most
slots, and more items wait than can be done before they are due. Slots that go
from item to item leave all of them begun and none in time, so an item keeps
its turn until it ends: the earliest due first, of those the one nearest to its
end, and last those that cannot be in time any more.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Items due within so long of one another count as due at once.
_DUE_STEP_S = 4.0
# VMs ask again each 0.1 s for what waits.
_FRESH_S = 0.3


class Standing(NamedTuple):
    """What decides an item's turn.

    Attributes:
        due_s: When its job is due, in seconds of the epoch.
        done_s: How long it ran already, without what was lost.
        is_late: Whether it cannot be in time any more.
    """

    due_s: float = 0.0
    done_s: float = 0.0
    is_late: bool = False

    def after(self, ran_s: float) -> "Standing":
        """Returns the standing once it has run for so much longer."""
        return self._replace(done_s=self.done_s + ran_s)


class Rank(NamedTuple):
    """An item's place; what is less comes first."""

    is_late: bool
    due_step: int
    not_done_s: float


def rank(standing: Standing) -> Rank:
    """Returns the place that an item's standing gives it."""
    due_step = int(standing.due_s // _DUE_STEP_S)
    return Rank(standing.is_late, due_step, -standing.done_s)


class _Asked(NamedTuple):
    at_s: float
    ranks: tuple[Rank, ...]
    excluded: frozenset[str]


class Waiting:
    """The items that lately found no slot, by the VM that asked for them."""

    def __init__(self) -> None:
        self._asked: dict[str, _Asked] = {}

    def note(
        self,
        vm: str,
        ranks: Iterable[Rank],
        excluded: frozenset[str],
        now_s: float,
    ) -> None:
        """Takes what a VM has left waiting, in place of what it had before.

        Args:
            vm: The VM.
            ranks: Of its items.
            excluded: Upstreams that it does not use.
            now_s: By the monotonic clock.
        """
        self._asked[vm] = _Asked(now_s, tuple(ranks), excluded)

    def ahead(
        self, vm: str, own: Rank, free: frozenset[str], now_s: float
    ) -> int:
        """Returns how many items of other VMs come before one of a VM.

        Args:
            vm: The VM.
            own: The place of its item.
            free: Upstreams with a free slot; who can use none of them holds
                nobody up.
            now_s: By the monotonic clock.
        """
        return sum(
            place < own
            for other, asked in self._asked.items()
            if other != vm and now_s - asked.at_s < _FRESH_S
            if not free <= asked.excluded
            for place in asked.ranks
        )
