"""Copies objects again whose other copy went with its store."""

import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import rendezvous
from bulrushdeald import replicas
from bulrushdeald import services
from bulrushdeald import store

_log = logs.Log("repair")

NAME = "repair"
_ROUND_S = 5.0
# The list lags and may miss a VM for a moment; copying is not free.
_GONE_S = 30.0
_EXPIRY_S = 3600.0
# Bounds what repairs take from the disk and the network of a small VM.
_BYTES_PER_S = 8_000_000


class Repair:
    """Keeps each object of this VM's store in two failure domains.

    The store files objects by the VM that holds the other copy, so what is
    to be copied after a VM's loss is one folder, and neither the platform's
    service nor the objects' readers need to know.
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
        self._gone_since_s: dict[str, float] = {}
        self._expired_s = self._clock.monotonic_s()
        self._copied = 0
        self._expired = 0

    def connect(self) -> None:
        """Looks the other services up."""
        find = self._kernel.find
        self._store = find(services.STORE, store.DiskStore)
        self._replicas = find(replicas.NAME, replicas.Replicas)
        self._membership = find(services.MEMBERSHIP, services.Membership)

    def start(self) -> None:
        """Begins to look for lost copies."""
        self.connect()
        threading.Thread(target=self._loop, name=NAME, daemon=True).start()

    def stop(self, grace_s: float) -> None:
        """Ends at once; the next start goes on."""
        del grace_s
        self._stopping.set()

    def dump(self) -> Any:
        """Returns counts since the start, and who is gone."""
        return {
            "copied": self._copied,
            "expired": self._expired,
            "partners_gone": sorted(self._gone_since_s),
        }

    def _loop(self) -> None:
        while not self._stopping.wait(_ROUND_S):
            try:
                self.tick()
            except Exception:  # noqa: BLE001 - the loop has to live on.
                _log.exception("A round failed.")

    def tick(self) -> None:
        """Copies what lost its other copy and deletes what expired."""
        now_s = self._clock.monotonic_s()
        for partner in self._store.partners():
            if self._is_gone(partner, now_s):
                self._copy_all(partner)
        if now_s - self._expired_s >= _EXPIRY_S:
            self._expired_s = now_s
            before_s = self._clock.wall_s() - self._retention_s
            self._expired += self._store.expire(before_s)

    def _is_gone(self, partner: str, now_s: float) -> bool:
        if partner and self._membership.is_listed(partner):
            self._gone_since_s.pop(partner, None)
            return False
        since_s = self._gone_since_s.setdefault(partner, now_s)
        return now_s - since_s >= _GONE_S

    def _copy_all(self, partner: str) -> None:
        size = 0
        for name in self._store.names_with(partner):
            if self._stopping.is_set():
                return
            target = self._target(name)
            if target is None:
                return
            copied = self._copy(name, target.vm)
            if copied is None:
                return
            size += copied
            if size >= _BYTES_PER_S:
                self._clock.sleep_s(size / _BYTES_PER_S)
                size = 0

    def _target(self, name: str) -> records.Vm | None:
        own = self._membership.own()
        others = {
            vm.vm: vm
            for vm in self._replicas.stores()
            if vm.failure_domain != own.failure_domain and vm.state == "live"
        }
        ranked = rendezvous.rank(name, others)
        return others[ranked[0]] if ranked else None

    def _copy(self, name: str, target: str) -> int | None:
        held = self._store.read(name)
        if held is None:
            return 0
        own = self._membership.own().vm
        copied = self._replicas.copy(
            name, held.data, held.written_wall_s, target, own
        )
        if isinstance(copied, result.Err):
            _log.warning("Cannot copy %s: %s.", name, copied.err_value)
            return None
        # Only now: until the copy is durable the object stays on the list.
        self._store.retag(name, target)
        self._copied += 1
        return len(held.data)
