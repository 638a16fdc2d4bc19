"""Tracks the holders of a part's credit and detects those that are gone."""

from collections.abc import Callable
from typing import NamedTuple

from bulrushdeald import limitrecords


class HolderId(NamedTuple):
    """Identifies a holder: a VM, or the owner of a part that borrowed.

    Attributes:
        vm: The VM.
        for_domain: The failure domain of the part that borrowed; empty for
            a VM that holds credit for its own requests.
        for_epoch: The epoch of the part that borrowed.
    """

    vm: str
    for_domain: str = ""
    for_epoch: int = 0


class _HolderState:
    """The state that an owner keeps for one holder.

    Attributes:
        incarnation: The holder's current process.
        seq: The highest sequence number received from that process.
        replaced: Earlier processes, whose messages are ignored.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.seq = 0
        self.replaced: set[str] = set()


class Holders:
    """The holders of one part; guarded by the part's lock."""

    def __init__(self, forget_credit: Callable[[HolderId], None]) -> None:
        """Makes an empty table.

        Args:
            forget_credit: Called when a holder's credit can no longer be spent.
        """
        self._forget_credit = forget_credit
        self._holders: dict[HolderId, _HolderState] = {}

    def accept(self, name: HolderId, incarnation: str, seq: int) -> bool:
        """Records a message and returns whether it is its holder's newest.

        The first message of a new process clears the old process's credit.
        """
        holder = self._holders.get(name)
        if holder is None:
            holder = self._holders[name] = _HolderState(incarnation)
        if incarnation in holder.replaced:
            return False
        if incarnation != holder.incarnation:
            # The new process has bound the VM's peer port, so the old one
            # has ended and the credit in its memory is lost.
            self._forget_credit(name)
            holder.replaced.add(holder.incarnation)
            holder.incarnation = incarnation
            holder.seq = 0
        if seq <= holder.seq:
            # A newer message arrived first: the credit that this one reports
            # as held is out of date, and its answer will be dropped.
            return False
        holder.seq = seq
        return True

    def reclaim(
        self, is_gone: Callable[[str], bool], page: limitrecords.Page
    ) -> None:
        """Reclaims the credit of holders that can no longer spend it.

        Args:
            is_gone: Returns whether a VM has been removed from the fleet.
            page: The page's current record.
        """
        for name in list(self._holders):
            if name.for_domain:
                can_reclaim = _is_cleared(name, page)
            else:
                can_reclaim = is_gone(name.vm)
            if can_reclaim:
                self._forget_credit(name)
                del self._holders[name]


def _is_cleared(name: HolderId, page: limitrecords.Page) -> bool:
    # Tokens that an owner borrowed and granted may remain with its holders
    # after it is lost, and no bound on its own part covers them. They are gone
    # only when a later owner has had every listed VM confirm the drop.
    part = page.part(name.for_domain)
    if part is None:
        return False
    return part.epoch > name.for_epoch and part.takeovers == 0
