"""Writes the progress of items to the store, for the VM that resumes them."""

import random
import threading
import time
from typing import NamedTuple

import result

from bulrushdeal import eventlog
from bulrushdeal import threads
from gateway import dialect as dialect_lib
from gateway import jobmessages
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore

_events = eventlog.Events("runner")

# Progress that a VM loses with its power; an item takes about 5 s. Each write
# costs one call to the store.
_WRITE_INTERVAL_S = 2.0
# Failures of one moment share a write. Failed items pause for longer.
_FAILURES_WAIT_S = 0.05


class _Written(NamedTuple):
    """What the last progress written for a job had of its items.

    Attributes:
        output_bytes: What their outputs hold.
        failures: The items with failed runs, and how many each had.
    """

    output_bytes: int = 0
    failures: frozenset[tuple[str, int]] = frozenset()


class ProgressWriter:
    """Writes the progress of items periodically, and when a job is handed over.

    Failed runs are written at once: an item that fails each time would
    otherwise begin with all its attempts at each VM that takes it over.

    The output of unfinished items is held in memory. If all VMs are killed or
    lose power while their engines are full, every item would otherwise start
    from the beginning, just when the backlog of waiting items arrives as well.
    """

    def __init__(
        self,
        job_store: jobstore.JobStore,
        table: jobstate.JobTable,
        value_bytes: int,
    ) -> None:
        self._job_store = job_store
        self._table = table
        self._value_bytes = value_bytes
        self._written: dict[str, _Written] = {}
        self._has_failures = threading.Event()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts the thread that writes progress periodically."""
        threads.start(self._run, "progress")

    def stop(self) -> None:
        """Stops the periodic writes."""
        self._stopping.set()
        self._has_failures.set()

    def write_failures(self) -> None:
        """Has the jobs with failed runs written soon."""
        self._has_failures.set()

    def hand_over(self, state: jobstate.JobState) -> bool:
        """Writes a job's progress and releases its claim.

        Returns:
            Whether the store answered; also true if the claim had changed, in
            which case nothing was written.
        """
        claim = self._job_store.keys.claim(state.meta.job)
        return self._write(state, (claim,)).is_ok()

    def _run(self) -> None:
        next_s = time.monotonic() + self._draw_interval_s()
        while not self._stopping.is_set():
            if self._has_failures.wait(max(next_s - time.monotonic(), 0.0)):
                self._stopping.wait(_FAILURES_WAIT_S)
                self._has_failures.clear()
            is_due = time.monotonic() >= next_s
            if is_due:
                next_s = time.monotonic() + self._draw_interval_s()
            self._write_all(only_failures=not is_due)

    def _draw_interval_s(self) -> float:
        return _WRITE_INTERVAL_S * random.uniform(0.8, 1.2)

    def _write_all(self, *, only_failures: bool) -> None:
        """Writes the jobs that have changed, or only those that have failed."""
        self._written = {
            state.meta.job: self._write_if_changed(state, only_failures)
            for state in self._table.by_due_time()
            if not self._stopping.is_set()
        }

    def _write_if_changed(
        self, state: jobstate.JobState, only_failures: bool
    ) -> _Written:
        """Writes new progress; returns what was last written."""
        before = self._written.get(state.meta.job, _Written())
        now = _Written(
            sum(item.output_bytes for item in state.without_result()),
            frozenset(state.failures().items()),
        )
        has_output = now.output_bytes not in (0, before.output_bytes)
        has_failures = not now.failures <= before.failures
        is_due = has_failures or (has_output and not only_failures)
        if not is_due or state.is_dropped:
            return before
        try:
            made = self._write(state, ())
        except Exception as error:  # noqa: BLE001 - go on with other jobs.
            _events.warning(
                "progress_failed", job=state.meta.job, why=repr(error)
            )
            return before
        return now if made.is_ok() else before

    def _write(
        self, state: jobstate.JobState, deletes: tuple[str, ...]
    ) -> result.Result[int | dialect_lib.Conflict, jobmessages.JobError]:
        keys, job = self._job_store.keys, state.meta.job
        expected = dialect_lib.RevisionCondition(
            keys.claim(job), state.claim.revision
        )
        rows = [item.progress() for item in state.without_result()]
        value = jobrecords.pack_progress(_fit_rows(rows, self._value_bytes))
        write = dialect_lib.Write(keys.progress(job), value)
        return self._job_store.commit((expected,), (write,), deletes)


def _fit_rows(
    rows: list[jobrecords.Progress], max_bytes: int
) -> tuple[jobrecords.Progress, ...]:
    """Returns the rows that fit into one value.

    Those with failed runs come first, then those with the most output.
    """
    kept = []
    for row in sorted(
        rows,
        key=lambda row: (row.failures > 0, _estimate_bytes(row)),
        reverse=True,
    ):
        max_bytes -= _estimate_bytes(row)
        if max_bytes > 0:
            kept.append(row)
    return tuple(kept)


def _estimate_bytes(row: jobrecords.Progress) -> int:
    # 4 bytes for the encoding of each text, 100 for the other fields.
    return sum(len(text.encode()) + 4 for text in row.output) + 100
