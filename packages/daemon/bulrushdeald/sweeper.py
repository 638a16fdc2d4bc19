"""Deletes expired intents, on one VM at a time and at a bounded rate."""

import itertools
import threading
import time
from typing import Any

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import threads
from bulrushdeald import defaults
from bulrushdeald import intents
from bulrushdeald import rendezvous
from bulrushdeald import services

SWEEPER = "intents_sweeper"
_log = logs.Log("sweeper")

# One list call per second: a pass over all 4096 buckets takes 68 minutes.
_SWEEP_INTERVAL_S = 1.0
_BUCKET_HEX_DIGITS = 3
# Per bucket and pass.
_MAX_DELETES = 100


class Sweeper:
    """Deletes expired intents, one bucket at a time.

    A bucket holds the intents whose keys share their first hex digits. Two VMs
    with different lists of VMs may both sweep, which is safe: each delete is
    conditional on the revision that was read.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._max_age_s = settings.intent_age_s
        self._buckets = itertools.cycle(range(16**_BUCKET_HEX_DIGITS))
        self._deleted = 0
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """See `kernel.Service`."""
        kernel = self._kernel
        self._keyvalue = kernel.find(services.KEYVALUE, services.KeyValue)
        self._membership = kernel.find(services.MEMBERSHIP, services.Membership)
        self._thread = threads.start(self._run, "sweeper")

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(grace_s)

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {"deleted": self._deleted}

    def sweep(self, bucket: int, now_s: float) -> int:
        """Deletes the expired intents of a bucket.

        Args:
            bucket: The bucket's number.
            now_s: The current time, in seconds since the epoch.

        Returns:
            The number of intents deleted.
        """
        prefix = f"{intents.PREFIX}{bucket:0{_BUCKET_HEX_DIGITS}x}"
        listed = self._keyvalue.list(prefix)
        if isinstance(listed, result.Err):
            return 0
        expired = [
            entry
            for entry in listed.ok_value
            if _is_created_before(entry, now_s - self._max_age_s)
        ]
        count = 0
        for entry in expired[:_MAX_DELETES]:
            deleted = self._keyvalue.delete(entry.key, entry.revision)
            count += isinstance(deleted, result.Ok)
        return count

    def _run(self) -> None:
        while not self._stopping.wait(_SWEEP_INTERVAL_S):
            vms = tuple(
                vm.vm
                for vm in self._membership.entry_vms()
                if vm.state == "live"
            )
            if rendezvous.pick(intents.PREFIX, vms) == self._vm:
                self._deleted += self.sweep(next(self._buckets), time.time())


def _is_created_before(entry: services.Entry, before_s: float) -> bool:
    intent = intents.unpack(entry.value)
    return intent is not None and intent.created_s < before_s
