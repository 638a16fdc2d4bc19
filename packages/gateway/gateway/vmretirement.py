"""Confirms to operators that a VM may be removed.

This system stores nothing on the disks of VMs, so there is nothing to move
away first and every request is confirmed at once.
"""

import queue
import random
import threading
from typing import Any

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from gateway import configuration
from gateway import dialect as dialect_lib
from gateway import names

_events = eventlog.Events("retirements")

_CALL_TIMEOUT_S = 1.0
_MAX_TRIES = 20
_MAX_RETRY_PAUSE_S = 0.5


class Retirements:
    """Confirms each request to retire a VM.

    Every VM answers every request; all of them write the same value.
    """

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._requests: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._confirmed: set[str] = set()

    def start(self) -> None:
        """Starts the thread that answers requests."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        self._dialect = find(names.DIALECT, dialect_lib.Dialect)
        feed = find(names.CONFIGURATION, configuration.Feed)
        feed.on_retire_request(self._requests.put)
        threads.start(self._run, "retirements")

    def stop(self, grace_s: float) -> None:
        """Ends the thread once it has handled the requests in its queue."""
        del grace_s
        self._requests.put(None)

    def dump(self) -> Any:
        """Returns the VMs whose retirement was confirmed."""
        return sorted(self._confirmed)

    def _run(self) -> None:
        pause = threading.Event()
        while (vm := self._requests.get()) is not None:
            for _ in range(_MAX_TRIES):
                if vm in self._confirmed or self._confirm(vm):
                    self._confirmed.add(vm)
                    break
                pause.wait(_MAX_RETRY_PAUSE_S * random.uniform(0.5, 1.0))

    def _confirm(self, vm: str) -> bool:
        write = self._dialect.retired_write(vm)
        got = self._store.get(write.key, _CALL_TIMEOUT_S)
        if got.is_err():
            return False
        entry = got.unwrap()
        if entry is not None and entry.value == write.value:
            return True
        revision = 0 if entry is None else entry.revision
        made = self._store.commit(
            (dialect_lib.RevisionCondition(write.key, revision),),
            (write,),
            (),
            _CALL_TIMEOUT_S,
        )
        _events.info("answered", retired=vm, ok=made.is_ok())
        return made.is_ok()
