"""Ends batch jobs whose chunks have all ended."""

import secrets
from typing import Literal

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import batchrecords
from bulrushdeald import chunkrun
from bulrushdeald import replicas
from bulrushdeald import retention
from bulrushdeald import services

_log = logs.Log("finishing")

# A queue entry is written before its job; one without a job this old was
# left by a VM that was lost in between, before it acknowledged the job.
_ORPHAN_S = 600.0

Outcome = Literal["ended", "changed", "later"]


class Finisher:
    """Moves jobs to their last state and cleans up behind them."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        stores: replicas.Replicas,
        clock: clock_lib.Clock,
        kept: retention.Retention,
    ) -> None:
        self._keyvalue = keyvalue
        self._replicas = stores
        self._clock = clock
        self._retention = kept

    def finish(
        self,
        entry: batchrecords.QueueEntry,
        record: batchrecords.JobRecord,
        revision: int,
    ) -> Outcome:
        """Ends a job if its records agree that it has ended."""
        if not record.has_ended:
            outcome = self._decide(record, revision)
            if outcome != "ended":
                return outcome
        return self._clean_up(entry)

    def _decide(self, record: batchrecords.JobRecord, revision: int) -> Outcome:
        chunks = self._read_chunks(record.job)
        if chunks is None:
            return "later"
        if record.state == "cancelling":
            chunks = self._keep_partials(record.job, chunks)
        # A chunk taken back from a silent holder, of a job cancelled since,
        # is free in memory only.
        if any(chunk.state == "running" for chunk in chunks.values()):
            return "changed"
        done = [
            chunk.result
            for _, chunk in sorted(chunks.items())
            if chunk.result is not None
        ]
        is_whole = len(done) == record.chunk_count
        if not is_whole and record.state != "cancelling":
            return "changed"
        # The results are listed in one object: as records of their own they
        # would fill the platform's service within days.
        index = batchrecords.ResultIndex(tuple(done))
        name = f"{record.job}/results.{secrets.token_hex(6)}"
        ref = self._replicas.put(name, batchrecords.dump(index))
        if isinstance(ref, result.Err):
            return "later"
        is_cancelled = record.state == "cancelling"
        ended = record._replace(
            state="cancelled" if is_cancelled else "completed",
            ended_wall_s=self._clock.wall_s(),
            completed=sum(chunk.completed for chunk in done),
            failed=sum(chunk.failed for chunk in done),
            results=ref.ok_value,
        )
        # A cancellation and this completion race: the platform's service
        # takes the first and the other finds another revision.
        put = self._keyvalue.put(
            batchrecords.job_key(record.job),
            batchrecords.dump(ended),
            revision,
        )
        if isinstance(put, result.Ok):
            return "ended"
        if put.err_value.kind == "conflict":
            self._replicas.delete(ref.ok_value)
            return "changed"
        return "changed" if put.err_value.kind == "unknown" else "later"

    def _read_chunks(
        self, job: str
    ) -> dict[int, batchrecords.ChunkRecord] | None:
        entries = self._keyvalue.list(batchrecords.chunk_prefix(job))
        if isinstance(entries, result.Err):
            return None
        try:
            return {
                batchrecords.chunk_of(entry.key): batchrecords.load(
                    batchrecords.ChunkRecord, entry.value
                )
                for entry in entries.ok_value
            }
        except codec.CodecError as error:
            _log.error("Job %s has an unreadable chunk: %s.", job, error)
            return None

    def _keep_partials(
        self, job: str, chunks: dict[int, batchrecords.ChunkRecord]
    ) -> dict[int, batchrecords.ChunkRecord]:
        # A holder that stopped gracefully left answers that the next was to
        # take over; now there is no next, and they are the result.
        kept = dict(chunks)
        for number, chunk in chunks.items():
            if chunk.state != "open" or chunk.partial is None:
                continue
            data = self._replicas.get(chunk.partial)
            if isinstance(data, result.Err):
                _log.warning("%s: no copy.", chunk.partial.name)
                continue
            partial = batchrecords.load(chunkrun.Partial, data.ok_value)
            sealed = chunkrun.seal(partial.result_lines())
            name = f"{job}/{number}.{chunk.epoch}.cancelled"
            ref = self._replicas.put(name, sealed.data)
            if isinstance(ref, result.Ok):
                kept[number] = chunk._replace(
                    result=sealed.chunk_result(ref.ok_value)
                )
        return kept

    def _clean_up(self, entry: batchrecords.QueueEntry) -> Outcome:
        # The queue entry goes last: while it is there another coordinator
        # finds the job and cleans up what a lost one left.
        chunks = self._keyvalue.list(batchrecords.chunk_prefix(entry.job))
        if isinstance(chunks, result.Err):
            return "later"
        for chunk in chunks.ok_value:
            deleted = self._keyvalue.delete(chunk.key, chunk.revision)
            if isinstance(deleted, result.Err):
                return "later"
        key = batchrecords.job_key(entry.job)
        if not self._retention.add(entry.customer, entry.job, key):
            return "later"
        return self._delete_entry(entry)

    def _delete_entry(self, entry: batchrecords.QueueEntry) -> Outcome:
        key = batchrecords.queue_key(entry.customer, entry.job)
        held = self._keyvalue.get(key)
        if isinstance(held, result.Err):
            return "later"
        if held.ok_value is None:
            return "ended"
        deleted = self._keyvalue.delete(key, held.ok_value.revision)
        return "ended" if isinstance(deleted, result.Ok) else "later"

    def void(self, job: str, chunk: int, epoch: int, revision: int) -> None:
        """Fences the holder of a cancelled job's chunk."""
        record = batchrecords.ChunkRecord("void", epoch + 1, "", "")
        self._keyvalue.put(
            batchrecords.chunk_key(job, chunk),
            batchrecords.dump(record),
            revision,
        )

    def drop_orphan(self, entry: batchrecords.QueueEntry) -> None:
        """Deletes the queue entry of a job that was never accepted."""
        key = batchrecords.queue_key(entry.customer, entry.job)
        held = self._keyvalue.get(key)
        if isinstance(held, result.Err) or held.ok_value is None:
            return
        current = batchrecords.load(
            batchrecords.QueueEntry, held.ok_value.value
        )
        if self._clock.wall_s() - current.written_wall_s < _ORPHAN_S:
            return
        self._keyvalue.delete(key, held.ok_value.revision)
