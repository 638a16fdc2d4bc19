"""Writes the result of each item to the platform's store exactly once."""

import random
import time

import result

from bulrushdeal import eventlog
from gateway import dialect as dialect_lib
from gateway import jobclaims
from gateway import jobmessages
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore
from gateway.decisions import resultgroups

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
        claims: jobclaims.Claims,
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
        """Writes a result at the next position, with others of its moment.

        Retries until the result is written or the job is dropped.

        Args:
            state: The job.
            item: The item, which counts as running until its result is
                written.
            row: The item's result.
            why: Why the item is given up, for the log; empty if it completed.
        """
        state.add_finished(item, row)
        due_in_s = state.due_s - time.time()
        time.sleep(resultgroups.wait_s(due_in_s, state.count_running() - 1))
        while not state.is_dropped:
            with state.list_lock:
                # Another item's thread may have written this result as well.
                if state.is_running(item):
                    self._try_write(state)
                is_written = not state.is_running(item)
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

    def _try_write(self, state: jobstate.JobState) -> None:
        """Writes the results of finished items in one transaction."""
        if state.is_dropped:
            return
        rows = state.finished(resultgroups.MAX_RESULTS)
        made = self._commit(state, rows)
        if isinstance(made, result.Ok) and isinstance(made.ok_value, int):
            self._record_written(state, rows)
            return
        if isinstance(made, result.Err) and made.err_value.kind != "unknown":
            return
        stored = self._stored(state, rows)
        self._record_written(state, stored)
        if isinstance(made, result.Ok) and not stored:
            self._reclaim(state)

    def _commit(
        self, state: jobstate.JobState, rows: list[jobstate.FinishedItem]
    ) -> result.Result[int | dialect_lib.Conflict, jobmessages.JobError]:
        keys, job = self._job_store.keys, state.meta.job
        claim = dialect_lib.RevisionCondition(
            keys.claim(job), state.claim.revision
        )
        expected = [claim]
        writes = []
        for position, finished in enumerate(rows, state.next_position):
            key = keys.result(job, position)
            expected.append(dialect_lib.RevisionCondition(key, 0))
            value = jobrecords.pack(finished.row)
            writes.append(dialect_lib.Write(key, value))
        if state.are_last(rows):
            deletes = (keys.open_job(job), keys.claim(job))
            return self._job_store.commit(
                tuple(expected), tuple(writes), deletes
            )
        tokens = sum(finished.item.item.tokens for finished in rows)
        left = state.meta.open_record(state.tokens() - tokens)
        writes.append(
            dialect_lib.Write(keys.open_job(job), jobrecords.pack(left))
        )
        return self._job_store.commit(tuple(expected), tuple(writes), ())

    def _stored(
        self, state: jobstate.JobState, rows: list[jobstate.FinishedItem]
    ) -> list[jobstate.FinishedItem]:
        """Returns the results that an attempt without an answer has written.

        These are the first ones: an earlier attempt may have had fewer.
        """
        keys, job = self._job_store.keys, state.meta.job
        stored = []
        for position, finished in enumerate(rows, state.next_position):
            got = self._store.get(keys.result(job, position), _READ_TIMEOUT_S)
            entry = None if got.is_err() else got.unwrap()
            if entry is None or entry.value != jobrecords.pack(finished.row):
                break
            stored.append(finished)
        return stored

    def _record_written(
        self, state: jobstate.JobState, rows: list[jobstate.FinishedItem]
    ) -> None:
        for finished in rows:
            self._job_store.cache_result(
                state.meta.job, state.next_position, finished.row
            )
            state.mark_listed(finished.item)
        if rows and state.is_done():
            self._table.remove(state.meta.job)
            _events.info("finished", job=state.meta.job)

    def _reclaim(self, state: jobstate.JobState) -> None:
        """Claims a job again after the lease of its claim ended.

        Drops the job if it is no longer open, or if another VM has claimed it
        or has written results.
        """
        claimed = self._claims.take_again(state)
        if isinstance(claimed, result.Ok):
            return
        if claimed.err_value.kind not in ("unavailable", "unknown"):
            self._drop(state.meta.job, claimed.err_value.message)

    def _drop(self, job: str, why: str) -> None:
        if self._table.remove(job):
            _events.info("dropped", job=job, why=why)
