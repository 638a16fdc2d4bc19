"""Deletes old intents, on one VM at a time and at a bounded rate."""

import itertools
import threading
import time
from typing import Any

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import defaults
from bulrushdeald import intents
from bulrushdeald import rendezvous
from bulrushdeald import services

SWEEPER = "intents_sweeper"
_log = logs.Log("sweeper")

# One round over all buckets takes 68 minutes: a list call a second.
_TICK_S = 1.0
_BUCKET_DIGITS = 3
_MAX_DELETES = 100


class Sweeper:
    """Sweeps one bucket of intents at a time.

    Two VMs that see different lists may both sweep; each delete names the
    revision that was read, so that does no harm.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._age_s = settings.intent_age_s
        self._buckets = itertools.cycle(range(16**_BUCKET_DIGITS))
        self._deleted = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="sweeper", daemon=True
        )

    def start(self) -> None:
        """See `kernel.Service`."""
        kernel = self._kernel
        self._keyvalue = kernel.find(services.KEYVALUE, services.KeyValue)
        self._membership = kernel.find(services.MEMBERSHIP, services.Membership)
        self._thread.start()

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        self._stopping.set()
        self._thread.join(grace_s)

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {"deleted": self._deleted}

    def sweep(self, bucket: int, now_s: float) -> int:
        """Deletes the old intents of a bucket; returns how many."""
        prefix = f"{intents.PREFIX}{bucket:0{_BUCKET_DIGITS}x}"
        listed = self._keyvalue.list(prefix)
        if isinstance(listed, result.Err):
            return 0
        old = [
            entry
            for entry in listed.ok_value
            if _is_old(entry, now_s - self._age_s)
        ]
        count = 0
        for entry in old[:_MAX_DELETES]:
            deleted = self._keyvalue.delete(entry.key, entry.revision)
            count += isinstance(deleted, result.Ok)
        return count

    def _run(self) -> None:
        while not self._stopping.wait(_TICK_S):
            vms = tuple(
                vm.vm
                for vm in self._membership.entry_vms()
                if vm.state == "live"
            )
            if rendezvous.pick(intents.PREFIX, vms) == self._vm:
                self._deleted += self.sweep(next(self._buckets), time.time())


def _is_old(entry: services.Entry, before_s: float) -> bool:
    intent = intents.unpack(entry.value)
    return intent is not None and intent.created_s < before_s
