"""Writes the result of each item to the platform's store exactly once."""

import random
import time

import result

from bulrushdeal import eventlog
from gateway import dialect as dialect_lib
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore
from gateway import takeover

_events = eventlog.Events("runner")

_READ_TIMEOUT_S = 1.0
# Pause between attempts while the store is unavailable.
_MIN_RETRY_PAUSE_S = 0.1
_MAX_RETRY_PAUSE_S = 0.3


class ResultWriter:
    """Writes each result at the next free position of its job."""

    def __init__(
        self,
        store: dialect_lib.Store,
        job_store: jobstore.JobStore,
        table: jobstate.JobTable,
        claims: takeover.Claims,
    ) -> None:
        self._store = store
        self._job_store = job_store
        self._table = table
        self._claims = claims

    def write(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        row: dialect_lib.ItemResult,
        why: str,
    ) -> None:
        """Writes a result at the next position.

        Retries until the result is written or the job is dropped.

        Args:
            state: The job.
            item: The item, which counts as running until its result is
                written.
            row: The item's result.
            why: Why the item is given up, for the log; empty if it completed.
        """
        while not state.is_dropped:
            with state.list_lock:
                is_written = self._try_write(state, item, row)
            if is_written:
                _events.sampled_info(
                    "listed",
                    job=state.meta.job,
                    item=row.item,
                    is_completed=row.is_completed,
                    why=why,
                )
                return
            time.sleep(random.uniform(_MIN_RETRY_PAUSE_S, _MAX_RETRY_PAUSE_S))

    def _try_write(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        row: dialect_lib.ItemResult,
    ) -> bool:
        if state.is_dropped:
            return False
        keys, job = self._job_store.keys, state.meta.job
        is_last = state.has_one_unfinished_item()
        key = keys.result(job, state.next_position)
        left = state.meta.open_record(state.tokens() - item.item.tokens)
        writes = [dialect_lib.Write(key, jobrecords.pack(row))]
        if not is_last:
            opened = jobrecords.pack(left)
            writes.append(dialect_lib.Write(keys.open_job(job), opened))
        made = self._job_store.commit(
            (
                dialect_lib.RevisionCondition(key, 0),
                dialect_lib.RevisionCondition(
                    keys.claim(job), state.claim.revision
                ),
            ),
            tuple(writes),
            (keys.open_job(job), keys.claim(job)) if is_last else (),
        )
        if isinstance(made, result.Err) and made.err_value.kind != "unknown":
            return False
        is_written = isinstance(made, result.Ok) and isinstance(
            made.ok_value, int
        )
        if is_written or self._is_stored(key, row):
            self._record_written(state, item, row, is_last)
            return True
        if isinstance(made, result.Ok):
            self._reclaim(state)
        return False

    def _is_stored(self, key: str, row: dialect_lib.ItemResult) -> bool:
        """Returns whether an attempt whose reply was lost wrote the result."""
        got = self._store.get(key, _READ_TIMEOUT_S)
        if got.is_err():
            return False
        entry = got.unwrap()
        return entry is not None and entry.value == jobrecords.pack(row)

    def _record_written(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        row: dialect_lib.ItemResult,
        is_last: bool,
    ) -> None:
        self._job_store.cache_result(state.meta.job, state.next_position, row)
        state.mark_listed(item)
        if is_last:
            self._table.remove(state.meta.job)
            _events.info("finished", job=state.meta.job)

    def _reclaim(self, state: jobstate.JobState) -> None:
        """Claims a job again after the lease of its claim ended.

        Drops the job if it is no longer open, or if another VM has claimed it
        or has written results.
        """
        job = state.meta.job
        claimed = self._claims.take(job)
        if isinstance(claimed, result.Err):
            if claimed.err_value.kind not in ("unavailable", "unknown"):
                self._drop(job, claimed.err_value.message)
            return
        listed = self._job_store.read_results(job)
        if listed.is_err():
            return
        if len(listed.unwrap()) != state.next_position:
            # Another VM ran the job meanwhile and released its claim. The
            # next scan of `takeover.Takeover` loads the job with the results
            # of that VM.
            self._drop(job, "another VM has listed results")
            return
        state.claim = claimed.ok_value

    def _drop(self, job: str, why: str) -> None:
        if self._table.remove(job):
            _events.info("dropped", job=job, why=why)
