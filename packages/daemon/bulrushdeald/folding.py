"""Moves sums into the platform's key-value service, each exactly once.

Any VM may do this for any head: which sums a record holds is decided by
compare-and-swap, so two VMs that both believe it is their turn only cost
writes. Rendezvous hashing makes it one VM at nearly all times.
"""

from collections.abc import Callable
import threading
from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import ledger
from bulrushdeald import services

_log = logs.Log("usage")
_ATTEMPTS = 4
# A closing writes up to eight pages, so it is not worth it for a few rows.
_CLOSE_AFTER_S = 300.0
_FORGET_AFTER_S = 7 * 86_400.0

IsListed = Callable[[str], bool]


class _Held(NamedTuple):
    """A head as it was read or written last."""

    head: ledger.Head
    revision: int


class Folder:
    """Takes batches and folds them into the heads they belong to."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        clock: clock_lib.Clock,
        is_listed: IsListed,
    ) -> None:
        self._keyvalue = keyvalue
        self._clock = clock
        self._is_listed = is_listed
        self._lock = threading.Lock()
        self._fold_lock = threading.Lock()
        # By head, then by source: a source has one batch under way.
        self._pending: dict[str, dict[str, ledger.Batch]] = {}
        self._held: dict[str, _Held] = {}
        self._refused: dict[str, int] = {}

    def offer(self, batch: ledger.Batch) -> ledger.Taken:
        """Keeps a batch for the next `fold`; never waits for the platform.

        The source sends it again until the answer's sequence covers it, so
        it may be dropped here at any time, by a lost VM as well.
        """
        with self._lock:
            held = self._held.get(batch.head)
            state = held.head.sources.get(batch.source) if held else None
            taken = state.sequence if state else 0
            if taken >= batch.sequence:
                return ledger.Taken(taken)
            if self._refused.get(batch.source) == batch.sequence:
                return ledger.Taken(taken, is_refused=True)
            waiting = self._pending.setdefault(batch.head, {})
            waiting[batch.source] = batch
            return ledger.Taken(taken)

    def fold(self) -> None:
        """Writes what waits into its heads, one write for each head."""
        with self._fold_lock:
            with self._lock:
                names = tuple(self._pending)
            for name in names:
                self._fold_head(name)

    def close(self, name: str) -> None:
        """Moves a head's rows into pages if they are many or old.

        Each step can be repeated by any VM, whatever was lost in between:
        closed rows stand in the head until all their pages have them.
        """
        with self._fold_lock:
            held = self._held.get(name) or self._read(name)
            if held is None:
                return
            if not held.head.closing:
                if not self._is_due(held.head):
                    return
                closed = ledger.begin_closing(
                    held.head, self._forgotten(held.head)
                )
                written = self._write(name, closed, held.revision)
                if written.is_err():
                    return
                held = written.unwrap()
            if self._move(name, held.head):
                ended = ledger.end_closing(held.head)
                self._write(name, ended, held.revision)

    def waiting(self) -> int:
        """Returns how many batches wait to be folded."""
        with self._lock:
            return sum(len(batches) for batches in self._pending.values())

    def _fold_head(self, name: str) -> None:
        for _ in range(_ATTEMPTS):
            cached = self._held.get(name)
            held = cached or self._read(name)
            if held is None:
                return
            with self._lock:
                batches = tuple(self._pending.get(name, {}).values())
            now_s = self._clock.wall_s()
            head, verdicts = ledger.take(held.head, batches, now_s)
            if cached is not None and "refused" in verdicts:
                # Another VM has written since: by an old copy of the head a
                # live source's batch does not follow, and would be lost.
                with self._lock:
                    self._held.pop(name, None)
                continue
            if head is not held.head:
                written = self._write(name, head, held.revision)
                if written.is_err():
                    if written.unwrap_err().kind == "conflict":
                        continue
                    return
            self._settle(name, batches, verdicts)
            return

    def _settle(
        self,
        name: str,
        batches: tuple[ledger.Batch, ...],
        verdicts: tuple[ledger.Verdict, ...],
    ) -> None:
        for batch, verdict in zip(batches, verdicts, strict=True):
            if verdict == "refused":
                _log.error(
                    "Usage of %s is not taken: batch %d does not follow.",
                    batch.source,
                    batch.sequence,
                )
                with self._lock:
                    self._refused[batch.source] = batch.sequence
            if verdict != "later":
                with self._lock:
                    self._drop(name, batch)

    def _drop(self, name: str, batch: ledger.Batch) -> None:
        waiting = self._pending.get(name, {})
        # The source may have offered its next batch meanwhile.
        if waiting.get(batch.source) == batch:
            del waiting[batch.source]
        if not waiting:
            self._pending.pop(name, None)

    def _is_due(self, head: ledger.Head) -> bool:
        if not head.rows:
            return False
        age_s = self._clock.wall_s() - head.opened_wall_s
        return len(head.rows) >= ledger.CLOSE_ROWS or age_s >= _CLOSE_AFTER_S

    def _forgotten(self, head: ledger.Head) -> tuple[str, ...]:
        before_s = self._clock.wall_s() - _FORGET_AFTER_S
        return tuple(
            source
            for source, state in head.sources.items()
            if state.until_wall_s < before_s
            and not self._is_listed(source.rpartition("/")[0])
        )

    def _move(self, name: str, head: ledger.Head) -> bool:
        by_page: dict[str, list[ledger.Row]] = {}
        for row in head.closing:
            by_page.setdefault(ledger.page_key(row), []).append(row)
        return all(
            self._move_page(key, name, head.number, tuple(rows))
            for key, rows in by_page.items()
        )

    def _move_page(
        self, key: str, name: str, number: int, rows: tuple[ledger.Row, ...]
    ) -> bool:
        for _ in range(_ATTEMPTS):
            got = self._keyvalue.get(key)
            if got.is_err():
                return False
            entry = got.unwrap()
            try:
                page = (
                    ledger.unpack_page(entry.value) if entry else ledger.Page()
                )
            except codec.CodecError as error:
                _log.error("Cannot read %s: %s.", key, error)
                return False
            moved = ledger.move(page, name, number, rows)
            if moved is page:
                return True
            revision = entry.revision if entry else 0
            put = self._keyvalue.put(key, ledger.pack_page(moved), revision)
            if put.is_ok():
                return True
        return False

    def _read(self, name: str) -> _Held | None:
        key = ledger.HEADS_PREFIX + name
        got = self._keyvalue.get(key)
        if got.is_err():
            return None
        entry = got.unwrap()
        try:
            head = ledger.unpack_head(entry.value) if entry else ledger.Head()
        except codec.CodecError as error:
            _log.error("Cannot read %s: %s.", key, error)
            return None
        held = _Held(head, entry.revision if entry else 0)
        with self._lock:
            self._held[name] = held
        return held

    def _write(
        self, name: str, head: ledger.Head, revision: int
    ) -> result.Result[_Held, services.KeyValueError]:
        """Writes a head; after an error it is read again first."""
        key = ledger.HEADS_PREFIX + name
        put = self._keyvalue.put(key, ledger.pack_head(head), revision)
        with self._lock:
            if put.is_err():
                # Another VM wrote, or the outcome is unknown; what the head
                # holds now tells which batches are in it.
                self._held.pop(name, None)
                return result.Err(put.unwrap_err())
            held = _Held(head, put.unwrap())
            self._held[name] = held
            return result.Ok(held)
