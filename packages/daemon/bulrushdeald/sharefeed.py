"""Brings the records of `limits/` from other VMs while the platform is out.

The failure: a VM is replaced during an outage. It knows no owner, so it
would refuse every request until the platform is back, though owners in other
failure domains could lend to it. The records of another VM are as good as
the platform's: nothing in them lapses, and an older one only names owners
that refuse. Taking a part over still needs a write to the platform.
"""

import random
from typing import NamedTuple

import result

from bulrushdeald import services
from bulrushdeald import sharebook

_MOST_ASKED = 3
_CALL_TIMEOUT_S = 1.0


class ShareQuery(NamedTuple):
    """Asks a VM for the records that it knows."""


class ShareRecords(NamedTuple):
    """The answer to a `ShareQuery`."""

    entries: tuple[services.Entry, ...]


class ShareFeed:
    """Asks other VMs, and answers them."""

    def __init__(
        self,
        book: sharebook.ShareBook,
        peers: services.Peers,
        members: services.Membership,
    ) -> None:
        self._book = book
        self._peers = peers
        self._members = members
        peers.understand(ShareRecords)
        peers.handle(ShareQuery, self._answer)

    def ask(self) -> None:
        """Takes the records of the first VM that has any."""
        own = self._members.own().vm
        others = [row.vm for row in self._members.entry_vms() if row.vm != own]
        random.shuffle(others)
        for vm in others[:_MOST_ASKED]:
            answer = self._peers.call(vm, ShareQuery(), _CALL_TIMEOUT_S)
            if isinstance(answer, result.Ok) and answer.ok_value.entries:
                self._book.note(answer.ok_value.entries)
                return

    def _answer(self, vm: str, query: ShareQuery) -> ShareRecords:
        del vm, query
        return ShareRecords(self._book.entries())
