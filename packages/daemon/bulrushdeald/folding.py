"""Moves sums into the platform's key-value service, each exactly once.

Any VM may do this for any head: compare-and-swap decides which sums a record
holds, so two VMs that work on the same head only cost extra writes. Rendezvous
hashing selects the same single VM for a head nearly all the time.
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
_MAX_ATTEMPTS = 4
# Closing a head writes up to eight pages, too many for a few recent rows.
_CLOSE_AFTER_S = 300.0
_FORGET_SOURCE_AFTER_S = 7 * 86_400.0

IsListed = Callable[[str], bool]


class _CachedHead(NamedTuple):
    """A head as this VM last read or wrote it."""

    head: ledger.Head
    revision: int


class Folder:
    """Takes batches and folds them into their heads."""

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
        # By head, then by source: a source has one batch in flight.
        self._pending: dict[str, dict[str, ledger.Batch]] = {}
        self._heads: dict[str, _CachedHead] = {}
        self._refused: dict[str, int] = {}

    def offer(self, batch: ledger.Batch) -> ledger.Taken:
        """Keeps a batch for the next `fold`, without calling the platform.

        The source sends the batch again until the answer's sequence covers
        it, so this VM may drop the batch at any time or be lost.
        """
        with self._lock:
            current = self._heads.get(batch.head)
            state = current.head.sources.get(batch.source) if current else None
            taken = state.sequence if state else 0
            if taken >= batch.sequence:
                return ledger.Taken(taken)
            if self._refused.get(batch.source) == batch.sequence:
                return ledger.Taken(taken, is_refused=True)
            pending = self._pending.setdefault(batch.head, {})
            pending[batch.source] = batch
            return ledger.Taken(taken)

    def fold(self) -> None:
        """Folds pending batches into their heads, with one write per head."""
        with self._fold_lock:
            with self._lock:
                names = tuple(self._pending)
            for name in names:
                self._fold_head(name)

    def close(self, name: str) -> None:
        """Moves a head's rows into pages if they are many or old.

        After a failure any VM can repeat any step: closed rows stay in the
        head until all their pages have them.
        """
        with self._fold_lock:
            current = self._heads.get(name) or self._read_head(name)
            if current is None:
                return
            if not current.head.closing:
                if not self._is_close_due(current.head):
                    return
                closed = ledger.begin_closing(
                    current.head, self._sources_to_forget(current.head)
                )
                written = self._write_head(name, closed, current.revision)
                if written.is_err():
                    return
                current = written.unwrap()
            if self._move_to_pages(name, current.head):
                ended = ledger.end_closing(current.head)
                self._write_head(name, ended, current.revision)

    def pending_count(self) -> int:
        """Returns the number of batches that are not folded yet."""
        with self._lock:
            return sum(len(batches) for batches in self._pending.values())

    def _fold_head(self, name: str) -> None:
        for _ in range(_MAX_ATTEMPTS):
            cached = self._heads.get(name)
            current = cached or self._read_head(name)
            if current is None:
                return
            with self._lock:
                batches = tuple(self._pending.get(name, {}).values())
            now_s = self._clock.wall_s()
            head, verdicts = ledger.take_batches(current.head, batches, now_s)
            if cached is not None and "refused" in verdicts:
                # The cached head may be outdated, since another VM may have
                # written it. It would wrongly refuse a live source's batch,
                # which would then be lost.
                with self._lock:
                    self._heads.pop(name, None)
                continue
            if head is not current.head:
                written = self._write_head(name, head, current.revision)
                if written.is_err():
                    if written.unwrap_err().kind == "conflict":
                        continue
                    return
            self._apply_verdicts(name, batches, verdicts)
            return

    def _apply_verdicts(
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
                    self._drop_pending(name, batch)

    def _drop_pending(self, name: str, batch: ledger.Batch) -> None:
        pending = self._pending.get(name, {})
        # The source may have offered its next batch meanwhile.
        if pending.get(batch.source) == batch:
            del pending[batch.source]
        if not pending:
            self._pending.pop(name, None)

    def _is_close_due(self, head: ledger.Head) -> bool:
        if not head.rows:
            return False
        age_s = self._clock.wall_s() - head.opened_wall_s
        return len(head.rows) >= ledger.CLOSE_ROWS or age_s >= _CLOSE_AFTER_S

    def _sources_to_forget(self, head: ledger.Head) -> tuple[str, ...]:
        before_s = self._clock.wall_s() - _FORGET_SOURCE_AFTER_S
        return tuple(
            source
            for source, state in head.sources.items()
            if state.until_wall_s < before_s
            and not self._is_listed(source.rpartition("/")[0])
        )

    def _move_to_pages(self, name: str, head: ledger.Head) -> bool:
        by_page: dict[str, list[ledger.Row]] = {}
        for row in head.closing:
            by_page.setdefault(ledger.page_key(row), []).append(row)
        return all(
            self._add_to_page(key, name, head.number, tuple(rows))
            for key, rows in by_page.items()
        )

    def _add_to_page(
        self, key: str, name: str, number: int, rows: tuple[ledger.Row, ...]
    ) -> bool:
        for _ in range(_MAX_ATTEMPTS):
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
            moved = ledger.add_closed_rows(page, name, number, rows)
            if moved is page:
                return True
            revision = entry.revision if entry else 0
            put = self._keyvalue.put(key, ledger.pack_page(moved), revision)
            if put.is_ok():
                return True
        return False

    def _read_head(self, name: str) -> _CachedHead | None:
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
        current = _CachedHead(head, entry.revision if entry else 0)
        with self._lock:
            self._heads[name] = current
        return current

    def _write_head(
        self, name: str, head: ledger.Head, revision: int
    ) -> result.Result[_CachedHead, services.KeyValueError]:
        """Writes a head and caches it; an error removes it from the cache."""
        key = ledger.HEADS_PREFIX + name
        put = self._keyvalue.put(key, ledger.pack_head(head), revision)
        with self._lock:
            if put.is_err():
                # Another VM wrote, or the outcome is unknown. Only the stored
                # head shows which batches are in it, so it is read again.
                self._heads.pop(name, None)
                return result.Err(put.unwrap_err())
            current = _CachedHead(head, put.unwrap())
            self._heads[name] = current
            return result.Ok(current)
