"""The order in which batch items get slots and lose them to online requests.

After all VMs lost power, or after bursts of online requests took most slots,
more items wait than can be finished before they are due. If slots moved from
item to item, all items would be started and none finished in time. So an item
keeps its turn until it ends: items that are due earliest come first, of those
the ones that have run longest, and items that cannot be in time any more come
last.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Due times are rounded down to this step; items of one step count as due at the
# same time.
_DUE_STEP_S = 4.0
# How long a VM's list of waiting items counts. VMs repeat their requests every
# 0.1 s.
_WAITING_LIFETIME_S = 0.3


class ItemPriority(NamedTuple):
    """The values that decide the rank of a batch item.

    Attributes:
        due_s: When its job is due, in seconds since the epoch.
        done_s: How long it has run, in seconds, without lost work.
        is_late: Whether it cannot finish in time any more.
    """

    due_s: float = 0.0
    done_s: float = 0.0
    is_late: bool = False

    def after(self, ran_s: float) -> "ItemPriority":
        """Returns the priority after the item ran for `ran_s` more seconds."""
        return self._replace(done_s=self.done_s + ran_s)


class Rank(NamedTuple):
    """A sort key of a batch item; the least comes first.

    Attributes:
        is_late: Whether the item cannot finish in time any more.
        due_step: When its job is due, in steps of `_DUE_STEP_S`.
        negative_done_s: How long it has run, negated, so that the item that
            has run longest comes first.
    """

    is_late: bool
    due_step: int
    negative_done_s: float


def rank(priority: ItemPriority) -> Rank:
    """Returns the rank of an item with a given priority."""
    due_step = int(priority.due_s // _DUE_STEP_S)
    return Rank(priority.is_late, due_step, -priority.done_s)


class _VmItems(NamedTuple):
    """The waiting items of one VM.

    Attributes:
        at_s: When the VM asked for slots, by the monotonic clock.
        ranks: The ranks of the items.
        excluded: Upstreams that the VM does not use.
    """

    at_s: float
    ranks: tuple[Rank, ...]
    excluded: frozenset[str]


class WaitingItems:
    """The batch items that recently got no slot, by VM."""

    def __init__(self) -> None:
        self._by_vm: dict[str, _VmItems] = {}

    def replace(
        self,
        vm: str,
        ranks: Iterable[Rank],
        excluded: frozenset[str],
        now_s: float,
    ) -> None:
        """Replaces the waiting items of a VM.

        Args:
            vm: The VM.
            ranks: The ranks of its waiting items.
            excluded: Upstreams that the VM does not use.
            now_s: The current time by the monotonic clock.
        """
        self._by_vm[vm] = _VmItems(now_s, tuple(ranks), excluded)

    def count_ahead(
        self, vm: str, own_rank: Rank, free: frozenset[str], now_s: float
    ) -> int:
        """Counts the waiting items of other VMs that rank before an item.

        Args:
            vm: The VM of the item.
            own_rank: The rank of the item.
            free: Upstreams with a free slot. Items of a VM that can use none
                of them are not counted.
            now_s: The current time by the monotonic clock.
        """
        return sum(
            item_rank < own_rank
            for other, items in self._by_vm.items()
            if other != vm and now_s - items.at_s < _WAITING_LIFETIME_S
            if not free <= items.excluded
            for item_rank in items.ranks
        )
