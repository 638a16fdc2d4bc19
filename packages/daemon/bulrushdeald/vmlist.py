"""Keeps the list of VMs up to date with few calls to the platform.

Two VMs of each failure domain read the platform's list. The others ask one of
these readers for changes, and read the platform if neither reader answers.
"""

import collections
import random
import threading
from typing import Any, NamedTuple

import cbor2

from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeal import threads
from bulrushdeald import defaults
from bulrushdeald import membership as membership_lib
from bulrushdeald import pages
from bulrushdeald import peers as peers_lib
from bulrushdeald import services
from bulrushdeald import watcherchoice

NAME = "vmlist"
_PEER_TIMEOUT_S = 1.0
_MAX_CHANGES = 64


class ReadVmList(NamedTuple):
    """Asks a reader for changes to the list with this digest."""

    digest: bytes


class VmListChange(NamedTuple):
    """The difference between the asking VM's list and the peer's list.

    Attributes:
        age_s: Seconds since the peer's list was read from the platform;
            negative if the peer has no list.
        is_whole: Whether `rows` is the whole list.
        rows: The new and changed rows.
        gone: The names of VMs that are no longer listed.
    """

    age_s: float
    is_whole: bool = False
    rows: tuple[records.Vm, ...] = ()
    gone: tuple[str, ...] = ()


class _ListChange(NamedTuple):
    """A change of this VM's list, kept to answer peers."""

    digest_before: bytes
    rows: tuple[records.Vm, ...]
    gone: tuple[str, ...]


class VmListFeed:
    """Updates the list in `membership` from the platform or from peers."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        random_source: random.Random | None = None,
    ) -> None:
        self._kernel = kernel
        self._poll_s = settings.vm_list_poll_s
        self._lag_s = settings.vm_list_lag_s
        self._seeds = tuple(filter(None, settings.peer_seeds.split(",")))
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._changes: collections.deque[_ListChange] = collections.deque(
            maxlen=_MAX_CHANGES
        )
        self._rows: dict[str, records.Vm] = {}
        self._digest = _digest(self._rows)
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def attach(self) -> None:
        """Finds the other services and registers the handlers for peers."""
        self._membership = self._kernel.find(
            services.MEMBERSHIP, membership_lib.PlatformMembership
        )
        self._peers = self._kernel.find(
            services.PEERS, peers_lib.WebsocketPeers
        )
        self._peers.register_handler(
            ReadVmList, services.InlineHandler(self._on_read)
        )
        self._peers.register_answers(VmListChange)
        self._record_change()

    def start(self) -> None:
        """Starts answering peers and updating the list."""
        self.attach()
        self._thread = threads.start(self._run, NAME)

    def stop(self, grace_s: float) -> None:
        """Stops the thread."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(min(grace_s, _PEER_TIMEOUT_S))

    def dump(self) -> Any:
        """Returns the readers of this failure domain and a change count."""
        return {"sources": self._sources(), "steps": len(self._changes)}

    def update(self) -> bool:
        """Updates the list; returns false if no source answers."""
        own = self._membership.own_vm().vm
        sources = self._sources()
        if own not in sources:
            self._random.shuffle(sources)
            for vm in sources:
                answer = self._peers.call(
                    vm, ReadVmList(self._digest), _PEER_TIMEOUT_S
                )
                if answer.is_ok() and self._apply(answer.unwrap()):
                    return True
        was_read = self._membership.poll()
        self._record_change()
        return was_read or self._ask_seeds()

    def _sources(self) -> list[str]:
        return watcherchoice.choose_watchers(
            self._membership.entry_vms(),
            self._membership.own_vm().failure_domain,
        )

    def _ask_seeds(self) -> bool:
        """Gets the list from the seeds, if this VM has never read one."""
        if self._membership.age_s() is not None:
            return False
        for address in self._seeds:
            answer = self._peers.call_address(
                address, ReadVmList(b""), _PEER_TIMEOUT_S
            )
            if answer.is_ok():
                self._apply(answer.unwrap())
        return self._membership.age_s() is not None

    def _apply(self, change: VmListChange) -> bool:
        """Applies a peer's change; returns false if the list is too old."""
        if change.age_s < 0:
            return False
        own_age_s = self._membership.age_s()
        # The other reader may already have sent a later list. Going back to
        # an earlier one would make a VM that has just started seem gone.
        if own_age_s is not None and change.age_s > own_age_s:
            return own_age_s <= self._lag_s
        if not change.is_whole and not change.rows and not change.gone:
            self._membership.confirm_list(change.age_s)
            return change.age_s <= self._lag_s
        rows = {} if change.is_whole else dict(self._rows)
        rows.update({row.vm: row for row in change.rows})
        for vm in change.gone:
            rows.pop(vm, None)
        self._membership.replace_list(tuple(rows.values()), change.age_s)
        self._record_change()
        return change.age_s <= self._lag_s

    def _record_change(self) -> None:
        """Records the latest change of the list, to answer peers."""
        rows = {row.vm: row for row in self._membership.rows()}
        with self._lock:
            if rows == self._rows:
                return
            changed = tuple(
                row for vm, row in rows.items() if self._rows.get(vm) != row
            )
            gone = tuple(vm for vm in self._rows if vm not in rows)
            self._changes.append(_ListChange(self._digest, changed, gone))
            self._rows = rows
            self._digest = _digest(rows)

    def _on_read(self, vm: str, message: ReadVmList) -> Any:
        del vm
        age_s = self._membership.age_s()
        if age_s is None:
            return VmListChange(-1.0)
        with self._lock:
            if message.digest == self._digest:
                return VmListChange(age_s)
            return self._change_since(message.digest, age_s)

    def _change_since(self, digest: bytes, age_s: float) -> VmListChange:
        changes = list(self._changes)
        first = next(
            (
                n
                for n, change in enumerate(changes)
                if change.digest_before == digest
            ),
            None,
        )
        if first is None:
            rows = tuple(self._rows.values())
            return VmListChange(age_s, True, rows)
        changed_vms = {
            row.vm for change in changes[first:] for row in change.rows
        }
        changed_vms |= {vm for change in changes[first:] for vm in change.gone}
        return VmListChange(
            age_s,
            False,
            tuple(
                self._rows[vm] for vm in sorted(changed_vms & set(self._rows))
            ),
            tuple(sorted(changed_vms - set(self._rows))),
        )

    def _run(self) -> None:
        while not self._stopping.wait(self._poll_s):
            self.update()


def _digest(rows: dict[str, records.Vm]) -> bytes:
    in_order = [codec.to_array(rows[vm]) for vm in sorted(rows)]
    return pages.digest(cbor2.dumps(in_order))
