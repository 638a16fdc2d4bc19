"""Writes the progress of items to the store, for the VM that resumes them."""

import random
import threading

import result

from bulrushdeal import eventlog
from gateway import dialect as dialect_lib
from gateway import jobmessages
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore

_events = eventlog.Events("runner")

# Progress that a VM loses with its power; an item takes about 5 s. Each write
# costs one call to the store.
_WRITE_INTERVAL_S = 2.0


class ProgressWriter:
    """Writes the progress of items periodically, and when a job is handed over.

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
        # The number of events in the last progress written for each job.
        self._written_events: dict[str, int] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts the thread that writes progress periodically."""
        threading.Thread(target=self._run, name="progress", daemon=True).start()

    def stop(self) -> None:
        """Stops the periodic writes."""
        self._stopping.set()

    def hand_over(self, state: jobstate.JobState) -> bool:
        """Writes a job's progress and releases its claim.

        Returns:
            Whether the store answered; also true if the claim had changed, in
            which case nothing was written.
        """
        claim = self._job_store.keys.claim(state.meta.job)
        return self._write(state, (claim,)).is_ok()

    def _run(self) -> None:
        while not self._stopping.wait(
            _WRITE_INTERVAL_S * random.uniform(0.8, 1.2)
        ):
            states = self._table.by_due_time()
            self._written_events = {
                state.meta.job: self._write_if_changed(state)
                for state in states
                if not self._stopping.is_set()
            }

    def _write_if_changed(self, state: jobstate.JobState) -> int:
        """Writes new progress; returns the number of events last written."""
        before = self._written_events.get(state.meta.job, 0)
        events = sum(len(item.output) for item in state.without_result())
        if not events or events == before or state.is_dropped:
            return before
        try:
            made = self._write(state, ())
        except Exception as error:  # noqa: BLE001 - go on with other jobs.
            _events.warning(
                "progress_failed", job=state.meta.job, why=repr(error)
            )
            return before
        return events if made.is_ok() else before

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
    """Returns the rows that fit into one value, most output first."""
    kept = []
    for row in sorted(rows, key=_estimate_bytes, reverse=True):
        max_bytes -= _estimate_bytes(row)
        if max_bytes > 0:
            kept.append(row)
    return tuple(kept)


def _estimate_bytes(row: jobrecords.Progress) -> int:
    # 4 bytes for the encoding of each text, 100 for the other fields.
    return sum(len(text.encode()) + 4 for text in row.output) + 100
