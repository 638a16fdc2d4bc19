"""Who has an owner's credit, and whether it is gone for certain."""

from collections.abc import Callable
from typing import NamedTuple

from bulrushdeald import shares


class HolderName(NamedTuple):
    """Who holds credit: a VM, or the owner of another part that lends on.

    Attributes:
        vm: The VM.
        for_domain: The part that it lends on for, or empty.
        for_epoch: That part's epoch.
    """

    vm: str
    for_domain: str = ""
    for_epoch: int = 0


class Holder:
    """What an owner knows of one holder."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.seq = 0
        self.replaced: set[str] = set()


class Holders:
    """The holders of one part; the part's lock guards it."""

    def __init__(self, forget: Callable[[HolderName], None]) -> None:
        """Makes an empty table.

        Args:
            forget: Called when a holder's credit is gone for certain.
        """
        self._forget = forget
        self._holders: dict[HolderName, Holder] = {}

    def accept(self, name: HolderName, incarnation: str, seq: int) -> bool:
        """Tells whether a message is the newest of its holder."""
        holder = self._holders.get(name)
        if holder is None:
            holder = self._holders[name] = Holder(incarnation)
        if incarnation in holder.replaced:
            return False
        if incarnation != holder.incarnation:
            # The new process has the VM's peer port, so the old one and
            # the credit in its memory are gone.
            self._forget(name)
            holder.replaced.add(holder.incarnation)
            holder.incarnation = incarnation
            holder.seq = 0
        if seq <= holder.seq:
            # A message that was overtaken: what it says is held is not
            # true any more, and its answer will be dropped.
            return False
        holder.seq = seq
        return True

    def sweep(self, is_gone: Callable[[str], bool], page: shares.Page) -> None:
        """Takes back what holders had that are gone for certain."""
        for name in list(self._holders):
            if name.for_domain:
                is_over = _is_settled(name, page)
            else:
                is_over = is_gone(name.vm)
            if is_over:
                self._forget(name)
                del self._holders[name]


def _is_settled(name: HolderName, page: shares.Page) -> bool:
    # What an owner lent on may outlive it in its holders' hands, and no
    # bound of its own part covers that; it is gone only when a later owner
    # has heard so from every listed VM.
    part = page.part(name.for_domain)
    if part is None:
        return False
    return part.epoch > name.for_epoch and part.takeovers == 0
