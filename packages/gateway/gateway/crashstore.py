"""Keeps the crashes of refused requests in the platform's store.

If all VMs lose power at once, what they told each other is lost. A request
that was refused would then crash upstreams again until it is known anew.
"""

from collections.abc import Callable
import functools
import queue
import random
import threading
import time
from typing import NamedTuple

from bulrushdeal import codec
from bulrushdeal import eventlog
from bulrushdeal import threads
from bulrushdeald import quarantine
from gateway import dialect as dialect_lib
from gateway import jobrecords
from gateway import paging

_events = eventlog.Events("crashes")

_CALL_TIMEOUT_S = 1.0
_RETRY_PAUSE_S = 0.5
# Outages of the store are shorter; a request that is not kept by then is known
# to the VMs that run.
_MAX_TRIES = 120


class StoredCrashes(NamedTuple):
    """The crashes of one request.

    Attributes:
        crashes: The crashes, by their age when this was written.
        written_ms: When this was written, in milliseconds of the epoch.
    """

    crashes: tuple[quarantine.Crash, ...]
    written_ms: int

    def crashes_now(self, now_ms: int) -> tuple[quarantine.Crash, ...]:
        """Returns the crashes by their age now; clocks may have been set."""
        age_s = max(0, now_ms - self.written_ms) / 1000
        return tuple(
            crash._replace(age_s=crash.age_s + age_s, is_age_exact=False)
            for crash in self.crashes
        )


class CrashStore:
    """Reads the stored crashes once and writes those that change.

    Args:
        store: The platform's store.
        own_prefix: The prefix of the keys that this system writes.
        on_read: Called with the crashes that were read.
        crashes_of: Returns the crashes to keep of a request; none if it is
            not refused.
    """

    def __init__(
        self,
        store: dialect_lib.Store,
        own_prefix: str,
        on_read: Callable[[tuple[quarantine.Crash, ...]], None],
        crashes_of: Callable[[str], tuple[quarantine.Crash, ...]],
    ) -> None:
        self._store = store
        self._prefix = f"{own_prefix}crashes/"
        self._on_read = on_read
        self._crashes_of = crashes_of
        self._changed: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._stopping = threading.Event()

    def start(self, has_records: bool) -> None:
        """Starts the thread that reads and writes.

        Args:
            has_records: Whether there can be any; false if the whole system
                starts for the first time.
        """
        threads.start(self._run, "crashes", has_records)

    def stop(self) -> None:
        """Asks the thread to end; does not wait for it."""
        self._stopping.set()
        self._changed.put("")

    def update(self, fingerprint: str) -> None:
        """Has the record of a request written, or removed if it is cleared."""
        self._changed.put(fingerprint)

    def _run(self, has_records: bool) -> None:
        if has_records:
            self._try_until_done(self._read)
        while fingerprint := self._changed.get():
            self._try_until_done(functools.partial(self._write, fingerprint))

    def _try_until_done(self, action: Callable[[], bool]) -> None:
        for _ in range(_MAX_TRIES):
            if action():
                return
            pause_s = _RETRY_PAUSE_S * random.uniform(0.5, 1.0)
            if self._stopping.wait(pause_s):
                return
        _events.warning("not_stored", why="the store does not answer")

    def _read(self) -> bool:
        listed = paging.read_all(self._store, self._prefix, _CALL_TIMEOUT_S)
        if listed.is_err():
            return False
        now_ms = int(time.time() * 1000)
        for entry in listed.unwrap().entries:
            try:
                row = jobrecords.unpack(StoredCrashes, entry.value or b"")
            except codec.CodecError as error:
                _events.warning("unreadable", key=entry.key, why=str(error))
                continue
            crashes = row.crashes_now(now_ms)
            self._on_read(crashes)
            if all(row.age_s > quarantine.RETENTION_S for row in crashes):
                self._remove(entry.key)
        return True

    def _write(self, fingerprint: str) -> bool:
        key = self._prefix + fingerprint
        crashes = self._crashes_of(fingerprint)
        if not crashes:
            return self._remove(key)
        row = StoredCrashes(crashes, int(time.time() * 1000))
        write = dialect_lib.Write(key, jobrecords.pack(row))
        return self._store.commit((), (write,), (), _CALL_TIMEOUT_S).is_ok()

    def _remove(self, key: str) -> bool:
        return self._store.commit((), (), (key,), _CALL_TIMEOUT_S).is_ok()
