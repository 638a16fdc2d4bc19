"""Restores the second copy of objects after the loss of a store."""

import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeal import threads
from bulrushdeald import defaults
from bulrushdeald import rendezvous
from bulrushdeald import replicas
from bulrushdeald import services
from bulrushdeald import store

_log = logs.Log("repair")

NAME = "repair"
_INTERVAL_S = 5.0
# A VM counts as lost when it has been off the list of VMs for this long. The
# list lags and may omit a VM for a moment, and copying has a cost.
_LOST_AFTER_S = 30.0
_EXPIRY_INTERVAL_S = 3600.0
# Limits the disk and network load that copying puts on a small VM.
_MAX_BYTES_PER_S = 8_000_000


class Repair:
    """Keeps each object of this VM's store in two failure domains.

    The store has one folder of objects for each VM that holds their other
    copies, so the objects to copy after the loss of a VM are in one folder.
    Repair needs no message to the platform's service or the objects' readers.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._retention_s = settings.batch_retention_s
        self._stopping = threading.Event()
        self._unlisted_since_s: dict[str, float] = {}
        self._last_expiry_s = self._clock.monotonic_s()
        self._copied = 0
        self._expired = 0

    def connect(self) -> None:
        """Looks up the services it uses."""
        find = self._kernel.find
        self._store = find(services.STORE, store.DiskStore)
        self._replicas = find(replicas.NAME, replicas.Replicas)
        self._membership = find(services.MEMBERSHIP, services.Membership)

    def start(self) -> None:
        """Starts the thread that looks for lost copies."""
        self.connect()
        threads.start(self._loop, NAME)

    def stop(self, grace_s: float) -> None:
        """Ends the thread without waiting; the next start resumes its work."""
        del grace_s
        self._stopping.set()

    def dump(self) -> Any:
        """Returns the objects copied and expired, and the unlisted partners."""
        return {
            "copied": self._copied,
            "expired": self._expired,
            "partners_gone": sorted(self._unlisted_since_s),
        }

    def _loop(self) -> None:
        while not self._stopping.wait(_INTERVAL_S):
            try:
                self.tick()
            except Exception:  # noqa: BLE001 - the loop must continue.
                _log.exception("A round failed.")

    def tick(self) -> None:
        """Copies objects that lost their other copy and deletes old objects."""
        now_s = self._clock.monotonic_s()
        for partner in self._store.partners():
            if self._is_lost(partner, now_s):
                self._copy_objects(partner)
        if now_s - self._last_expiry_s >= _EXPIRY_INTERVAL_S:
            self._last_expiry_s = now_s
            before_s = self._clock.wall_s() - self._retention_s
            self._expired += self._store.expire(before_s)

    def _is_lost(self, partner: str, now_s: float) -> bool:
        if partner and self._membership.is_listed(partner):
            self._unlisted_since_s.pop(partner, None)
            return False
        # An empty partner stands for objects that have no other copy yet.
        since_s = self._unlisted_since_s.setdefault(partner, now_s)
        return now_s - since_s >= _LOST_AFTER_S

    def _copy_objects(self, partner: str) -> None:
        size_bytes = 0
        for name in self._store.names_by_partner(partner):
            if self._stopping.is_set():
                return
            target = self._choose_target(name)
            if target is None:
                return
            copied_bytes = self._copy(name, target.vm)
            if copied_bytes is None:
                return
            size_bytes += copied_bytes
            if size_bytes >= _MAX_BYTES_PER_S:
                self._clock.sleep_s(size_bytes / _MAX_BYTES_PER_S)
                size_bytes = 0

    def _choose_target(self, name: str) -> records.Vm | None:
        own = self._membership.own_vm()
        others = {
            vm.vm: vm
            for vm in self._replicas.stores()
            if vm.failure_domain != own.failure_domain and vm.state == "live"
        }
        ranked = rendezvous.rank(name, others)
        return others[ranked[0]] if ranked else None

    def _copy(self, name: str, target: str) -> int | None:
        stored = self._store.read(name)
        if stored is None:
            return 0
        own = self._membership.own_vm().vm
        copied = self._replicas.copy(
            name, stored.data, stored.written_wall_s, target, own
        )
        if isinstance(copied, result.Err):
            _log.warning("Cannot copy %s: %s.", name, copied.err_value)
            return None
        # Retagged only after the copy is durable, so that an object whose
        # copying fails is tried again.
        self._store.retag(name, target)
        self._copied += 1
        return len(stored.data)
