"""Tells the operators that a VM with a disk may go: nothing lies on one."""

import queue
import random
import threading
from typing import Any

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from gateway import configuration
from gateway import dialect as dialect_lib
from gateway import names

_events = eventlog.Events("retirements")

_CALL_S = 1.0
_TRIES = 20
_PAUSE_S = 0.5


class Retirements:
    """Answers each request at any VM; the answer is the same at all."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._asked: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._answered: set[str] = set()

    def start(self) -> None:
        """Begins to answer."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        self._dialect = find(names.DIALECT, dialect_lib.Dialect)
        feed = find(names.CONFIGURATION, configuration.Feed)
        feed.on_retire(self._asked.put)
        threading.Thread(
            target=self._run, name="retirements", daemon=True
        ).start()

    def stop(self, grace_s: float) -> None:
        """Ends the thread."""
        del grace_s
        self._asked.put(None)

    def dump(self) -> Any:
        """Returns what was answered."""
        return sorted(self._answered)

    def _run(self) -> None:
        pause = threading.Event()
        while (vm := self._asked.get()) is not None:
            for _ in range(_TRIES):
                if vm in self._answered or self._answer(vm):
                    self._answered.add(vm)
                    break
                pause.wait(_PAUSE_S * random.uniform(0.5, 1.0))

    def _answer(self, vm: str) -> bool:
        write = self._dialect.retire_status(vm)
        got = self._store.get(write.key, _CALL_S)
        if got.is_err():
            return False
        entry = got.unwrap()
        if entry is not None and entry.value == write.value:
            return True
        revision = 0 if entry is None else entry.revision
        made = self._store.commit(
            (dialect_lib.Expected(write.key, revision),), (write,), (), _CALL_S
        )
        _events.info("answered", retired=vm, ok=made.is_ok())
        return made.is_ok()
