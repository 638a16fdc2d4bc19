"""Fetches the `limits/` records from other VMs during a platform outage.

A VM that is replaced during an outage has no records, so it would refuse
every request until the platform is back, although owners in other failure
domains could lend to it. Records from another VM are safe to use: nothing in
them expires, and an outdated one only names owners that refuse. Taking over
a part still requires a write to the platform.
"""

import random
from typing import NamedTuple

import result

from bulrushdeald import limitrecordstore
from bulrushdeald import services

_MAX_VMS_ASKED = 3
_CALL_TIMEOUT_S = 1.0


class ShareQuery(NamedTuple):
    """Asks a VM for its copies of the records."""


class ShareRecords(NamedTuple):
    """The answer to a `ShareQuery`.

    Attributes:
        entries: All records that the VM has.
    """

    entries: tuple[services.Entry, ...]


class ShareFeed:
    """Fetches records from other VMs and answers their queries."""

    def __init__(
        self,
        book: limitrecordstore.ShareBook,
        peers: services.Peers,
        members: services.Membership,
    ) -> None:
        self._book = book
        self._peers = peers
        self._members = members
        peers.register_answers(ShareRecords)
        peers.register_handler(ShareQuery, self._answer)

    def fetch(self) -> None:
        """Stores the records of the first VM asked that has any.

        At most `_MAX_VMS_ASKED` other VMs are asked, in random order.
        """
        own = self._members.own_vm().vm
        others = [row.vm for row in self._members.entry_vms() if row.vm != own]
        random.shuffle(others)
        for vm in others[:_MAX_VMS_ASKED]:
            answer = self._peers.call(vm, ShareQuery(), _CALL_TIMEOUT_S)
            if isinstance(answer, result.Ok) and answer.ok_value.entries:
                self._book.merge(answer.ok_value.entries)
                return

    def _answer(self, vm: str, query: ShareQuery) -> ShareRecords:
        del vm, query
        return ShareRecords(self._book.entries())
