"""Reads and writes batch jobs in the platform's store, with a cache."""

import collections
from collections.abc import Iterable
import threading
from typing import Any, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import eventlog
from bulrushdeal import exchanges
from bulrushdeal import kernel as kernel_lib
from gateway import dialect as dialect_lib
from gateway import jobmessages
from gateway import jobrecords
from gateway import names
from gateway import paging

_events = eventlog.Events("jobs")

_READ_TIMEOUT_S = 1.0
# Timeouts of the tries of a commit whose answer may be lost. Each try is
# conditional, so one that takes effect late finds the key changed and does
# nothing. The first is short: a healthy store answers in a few milliseconds,
# and after a dead connection the next try still accepts a job in time.
_COMMIT_TIMEOUTS_S = (0.35, 1.2, 1.2)
_MAX_CACHED_JOBS = 64
# The jobs that were read last stay within this part of what may be held for all
# callers, on top of that, unless a single one is larger.
_CACHE_SHARE = 0.125


class JobView:
    """A job's metadata and the results that this VM has read; neither changes.

    Attributes:
        meta: The job's metadata.
        results: The results from the first position on, without gaps.
        size_bytes: The length of their outputs.
    """

    def __init__(self, meta: jobrecords.JobMeta) -> None:
        self.meta = meta
        self.results: list[dialect_lib.ItemResult] = []
        self.size_bytes = 0

    def extend(self, rows: Iterable[dialect_lib.ItemResult]) -> None:
        """Adds the next results."""
        for row in rows:
            self.results.append(row)
            self.size_bytes += len(row.output)

    def is_whole(self) -> bool:
        """Returns whether it has the results of all items."""
        return len(self.results) >= len(self.meta.items)


class StoredPage(NamedTuple):
    """Results that the store returned at once.

    Attributes:
        rows: The results from the position asked for on, without gaps.
        revision: The store's revision that they were read at.
    """

    rows: tuple[dialect_lib.ItemResult, ...]
    revision: int


class JobStore:
    """Reads and changes jobs in the store; caches what never changes.

    Args:
        kernel: Finds the services that this class depends on.
        callers_memory_bytes: What may be held for all callers together.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        callers_memory_bytes: int = exchanges.DEFAULT_LIMIT_BYTES,
    ) -> None:
        self._kernel = kernel
        self._max_cached_bytes = int(callers_memory_bytes * _CACHE_SHARE)
        self._lock = threading.Lock()
        self._views: collections.OrderedDict[str, JobView] = (
            collections.OrderedDict()
        )

    def start(self) -> None:
        """Looks up the services that it depends on."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        dialect = find(names.DIALECT, dialect_lib.Dialect)
        self.keys = jobrecords.Keys(dialect.store_keys.own_prefix)

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns how many jobs are cached."""
        return {"remembered": len(self._views)}

    def meta(
        self, job: str
    ) -> result.Result[jobrecords.JobMeta, jobmessages.JobError]:
        """Returns a job's metadata, from the cache or the store."""
        view = self.view(job)
        if isinstance(view, result.Err):
            return view
        return result.Ok(view.ok_value.meta)

    def read_results(
        self, job: str
    ) -> result.Result[
        tuple[dialect_lib.ItemResult, ...], jobmessages.JobError
    ]:
        """Returns all results, including those now in the store."""
        view = self.view(job)
        if isinstance(view, result.Err):
            return view
        read = self._read_new_results(view.ok_value)
        if isinstance(read, result.Err):
            return read
        return result.Ok(tuple(view.ok_value.results))

    def cached(self, job: str) -> JobView | None:
        """Returns a job's cached view without a call to the store."""
        return self._views.get(job)

    def add_peer_results(
        self,
        view: JobView,
        position: int,
        rows: tuple[dialect_lib.ItemResult, ...],
    ) -> None:
        """Caches results from another VM if they start at the next position."""
        with self._lock:
            if len(view.results) == position:
                view.extend(rows)
                self._evict()

    def cache_result(
        self, job: str, position: int, row: dialect_lib.ItemResult
    ) -> None:
        """Caches a result that this VM has written."""
        with self._lock:
            view = self._views.get(job)
            if view is not None and len(view.results) == position:
                view.extend((row,))
                self._evict()

    def read_items(
        self, meta: jobrecords.JobMeta
    ) -> result.Result[tuple[dialect_lib.JobItem, ...], jobmessages.JobError]:
        """Returns a job's items, read from the store."""
        items: list[dialect_lib.JobItem] = []
        for number in range(meta.parts):
            key = self.keys.part(meta.job, number)
            got = self._store.get(key, _READ_TIMEOUT_S)
            if got.is_err():
                return job_error(got.unwrap_err())
            entry = got.unwrap()
            if entry is None or entry.value is None:
                return result.Err(jobmessages.JobError("missing", "no input"))
            items.extend(jobrecords.unpack_items(entry.value))
        return result.Ok(tuple(items))

    def commit(
        self,
        expected: tuple[dialect_lib.RevisionCondition, ...],
        writes: tuple[dialect_lib.Write, ...],
        deletes: tuple[str, ...],
    ) -> result.Result[int | dialect_lib.Conflict, jobmessages.JobError]:
        """Commits a change, with a few retries; it must be safe to repeat.

        A change that may have taken effect is tried again. If it did, a
        change with conditions meets a conflict, because they no longer hold.

        Returns:
            The store's new revision, or the conflict. The error is `unknown`
            if any try may still take effect, else `unavailable`.
        """
        is_unknown = False
        message = ""
        for timeout_s in _COMMIT_TIMEOUTS_S:
            committed = self._store.commit(expected, writes, deletes, timeout_s)
            if committed.is_ok():
                return result.Ok(committed.unwrap())
            error = committed.unwrap_err()
            message = error.message
            if error.kind == "no_lease":
                break
            is_unknown = is_unknown or error.kind == "unknown"
        kind: jobmessages.ErrorKind = "unknown" if is_unknown else "unavailable"
        return result.Err(jobmessages.JobError(kind, message))

    def view(self, job: str) -> result.Result[JobView, jobmessages.JobError]:
        """Returns a job's view; reads the metadata unless it is cached."""
        with self._lock:
            view = self._views.get(job)
            if view is not None:
                self._views.move_to_end(job)
                return result.Ok(view)
        got = self._store.get(self.keys.meta(job), _READ_TIMEOUT_S)
        if got.is_err():
            return job_error(got.unwrap_err())
        entry = got.unwrap()
        if entry is None or entry.value is None:
            return result.Err(jobmessages.JobError("missing", "no such job"))
        try:
            meta = jobrecords.unpack(jobrecords.JobMeta, entry.value)
        except codec.CodecError as error:
            _events.warning("bad_record", job=job, why=str(error))
            return result.Err(jobmessages.JobError("unavailable", str(error)))
        return result.Ok(self.cache(meta))

    def cache(self, meta: jobrecords.JobMeta) -> JobView:
        """Adds a job to the cache and returns its view."""
        with self._lock:
            view = self._views.setdefault(meta.job, JobView(meta))
            self._evict()
            return view

    def _evict(self) -> None:
        """Drops the jobs that were read longest ago, but never the last."""
        size_bytes = sum(view.size_bytes for view in self._views.values())
        while len(self._views) > 1 and (
            len(self._views) > _MAX_CACHED_JOBS
            or size_bytes > self._max_cached_bytes
        ):
            _, dropped = self._views.popitem(last=False)
            size_bytes -= dropped.size_bytes

    def _read_new_results(
        self, view: JobView
    ) -> result.Result[None, jobmessages.JobError]:
        """Reads all results from the store that are not cached."""
        job, known = view.meta.job, len(view.results)
        after = self.keys.result(job, known - 1) if known else ""
        prefix = self.keys.results(job)
        listed = paging.read_all(
            self._store, prefix, _READ_TIMEOUT_S, after=after
        )
        if listed.is_err():
            return job_error(listed.unwrap_err())
        self.add_entries(view, listed.unwrap().entries, known)
        return result.Ok(None)

    def read_page(
        self, view: JobView, after: int
    ) -> result.Result[StoredPage, jobmessages.JobError]:
        """Reads results from the store, as many as it returns at once.

        A job's results may take more memory than this VM has for a caller.

        Args:
            view: The job's view, which is extended if the results are its
                next ones.
            after: The position of the first result to read.
        """
        job = view.meta.job
        previous = self.keys.result(job, after - 1) if after else ""
        prefix = self.keys.results(job)
        listed = self._store.list(prefix, previous, _READ_TIMEOUT_S)
        if listed.is_err():
            return job_error(listed.unwrap_err())
        page = listed.unwrap()
        rows = self.add_entries(view, page.entries, after)
        return result.Ok(StoredPage(rows, page.revision))

    def add_entries(
        self, view: JobView, entries: tuple[dialect_lib.Entry, ...], after: int
    ) -> tuple[dialect_lib.ItemResult, ...]:
        """Returns the results in a listing of the store, and caches them.

        Args:
            view: The job's view, which is extended if the results are its
                next ones.
            entries: The entries of the listing.
            after: The position of the first result to return.
        """
        rows = self._decode_results(view.meta.job, entries, after)
        with self._lock:
            known = len(view.results)
            if after <= known:
                view.extend(rows[known - after :])
                self._evict()
        return rows

    def _decode_results(
        self, job: str, entries: tuple[dialect_lib.Entry, ...], after: int
    ) -> tuple[dialect_lib.ItemResult, ...]:
        """Returns the results from a position on, up to the first gap."""
        prefix = self.keys.results(job)
        found = sorted(
            (int(digits), entry.value)
            for entry in entries
            if entry.value is not None
            and (digits := entry.key.removeprefix(prefix)).isascii()
            and digits.isdigit()
        )
        rows: list[dialect_lib.ItemResult] = []
        for position, value in found:
            if position != after + len(rows):
                continue
            try:
                rows.append(jobrecords.unpack(dialect_lib.ItemResult, value))
            except codec.CodecError as error:
                _events.warning("bad_record", job=job, why=str(error))
                break
        return tuple(rows)


def job_error(
    error: dialect_lib.StoreError,
) -> result.Err[jobmessages.JobError]:
    """Converts a failure of the store to a `JobError`."""
    return result.Err(jobmessages.JobError("unavailable", error.message))
