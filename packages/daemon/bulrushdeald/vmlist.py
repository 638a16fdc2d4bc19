"""Keeps the list of VMs up to date with few calls to the platform.

Two VMs of each failure domain read the platform's list; the others ask one
of them for what changed, and read it themselves if neither answers.
"""

import collections
import random
import threading
from typing import Any, NamedTuple

import cbor2

from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import membership as membership_lib
from bulrushdeald import pages
from bulrushdeald import peers as peers_lib
from bulrushdeald import services
from bulrushdeald import watchers

NAME = "vmlist"
_PEER_TIMEOUT_S = 1.0
_MAX_STEPS = 64


class ReadVmList(NamedTuple):
    """Asks what differs from the list that the asker holds."""

    digest: bytes


class VmListChange(NamedTuple):
    """What turns the asker's list into the peer's.

    Attributes:
        age_s: How long ago the peer's list was read from the platform;
            less than 0 if it has none.
        is_whole: Whether `rows` is the whole list.
        rows: The rows that are new or other.
        gone: The names that are no longer listed.
    """

    age_s: float
    is_whole: bool = False
    rows: tuple[records.Vm, ...] = ()
    gone: tuple[str, ...] = ()


class _Step(NamedTuple):
    """One change of the list held here."""

    before: bytes
    rows: tuple[records.Vm, ...]
    gone: tuple[str, ...]


class VmListFeed:
    """Feeds `membership` from the platform or from peers."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        choice: random.Random | None = None,
    ) -> None:
        self._kernel = kernel
        self._poll_s = settings.vm_list_poll_s
        self._lag_s = settings.vm_list_lag_s
        self._seeds = tuple(filter(None, settings.peer_seeds.split(",")))
        self._random = choice or random.Random()
        self._lock = threading.Lock()
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=_MAX_STEPS
        )
        self._known: dict[str, records.Vm] = {}
        self._digest = _digest(self._known)
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=NAME, daemon=True
        )

    def attach(self) -> None:
        """Finds the other services and answers peers; starts no thread."""
        self._membership = self._kernel.find(
            services.MEMBERSHIP, membership_lib.PlatformMembership
        )
        self._peers = self._kernel.find(
            services.PEERS, peers_lib.WebsocketPeers
        )
        self._peers.handle(ReadVmList, services.QuickHandler(self._on_read))
        self._peers.understand(VmListChange)
        self._note()

    def start(self) -> None:
        """Answers peers and begins to feed."""
        self.attach()
        self._thread.start()

    def stop(self, grace_s: float) -> None:
        """Ends the thread."""
        self._stopping.set()
        self._thread.join(min(grace_s, _PEER_TIMEOUT_S))

    def dump(self) -> Any:
        """Returns who reads the platform for this VM."""
        return {"sources": self._sources(), "steps": len(self._steps)}

    def update(self) -> bool:
        """Brings the list up to date; false if nobody answers."""
        own = self._membership.own().vm
        sources = self._sources()
        if own not in sources:
            self._random.shuffle(sources)
            for vm in sources:
                answer = self._peers.call(
                    vm, ReadVmList(self._digest), _PEER_TIMEOUT_S
                )
                if answer.is_ok() and self._take(answer.unwrap()):
                    return True
        is_read = self._membership.poll()
        self._note()
        return is_read or self._ask_seeds()

    def _sources(self) -> list[str]:
        return watchers.choose(
            self._membership.entry_vms(),
            self._membership.own().failure_domain,
        )

    def _ask_seeds(self) -> bool:
        """Learns the list from a seed, for a VM that knows no peer yet."""
        if self._membership.age_s() is not None:
            return False
        for address in self._seeds:
            answer = self._peers.call_address(
                address, ReadVmList(b""), _PEER_TIMEOUT_S
            )
            if answer.is_ok():
                self._take(answer.unwrap())
        return self._membership.age_s() is not None

    def _take(self, change: VmListChange) -> bool:
        """Takes what a peer told; false if the platform was not read lately."""
        if change.age_s < 0:
            return False
        own_age_s = self._membership.age_s()
        # The other watcher may have told of a later list; going back to an
        # earlier one would make a VM that has just started seem gone.
        if own_age_s is not None and change.age_s > own_age_s:
            return own_age_s <= self._lag_s
        if not change.is_whole and not change.rows and not change.gone:
            self._membership.confirm(change.age_s)
            return change.age_s <= self._lag_s
        rows = {} if change.is_whole else dict(self._known)
        rows.update({row.vm: row for row in change.rows})
        for vm in change.gone:
            rows.pop(vm, None)
        self._membership.learn(tuple(rows.values()), change.age_s)
        self._note()
        return change.age_s <= self._lag_s

    def _note(self) -> None:
        """Remembers how the list changed, for those who ask."""
        rows = {row.vm: row for row in self._membership.rows()}
        with self._lock:
            if rows == self._known:
                return
            changed = tuple(
                row for vm, row in rows.items() if self._known.get(vm) != row
            )
            gone = tuple(vm for vm in self._known if vm not in rows)
            self._steps.append(_Step(self._digest, changed, gone))
            self._known = rows
            self._digest = _digest(rows)

    def _on_read(self, vm: str, message: ReadVmList) -> Any:
        del vm
        age_s = self._membership.age_s()
        if age_s is None:
            return VmListChange(-1.0)
        with self._lock:
            if message.digest == self._digest:
                return VmListChange(age_s)
            return self._since(message.digest, age_s)

    def _since(self, digest: bytes, age_s: float) -> VmListChange:
        steps = list(self._steps)
        first = next(
            (n for n, step in enumerate(steps) if step.before == digest), None
        )
        if first is None:
            rows = tuple(self._known.values())
            return VmListChange(age_s, True, rows)
        touched = {row.vm for step in steps[first:] for row in step.rows}
        touched |= {vm for step in steps[first:] for vm in step.gone}
        return VmListChange(
            age_s,
            False,
            tuple(self._known[vm] for vm in sorted(touched & set(self._known))),
            tuple(sorted(touched - set(self._known))),
        )

    def _run(self) -> None:
        while not self._stopping.wait(self._poll_s):
            self.update()


def _digest(rows: dict[str, records.Vm]) -> bytes:
    in_order = [codec.to_array(rows[vm]) for vm in sorted(rows)]
    return pages.digest(cbor2.dumps(in_order))
