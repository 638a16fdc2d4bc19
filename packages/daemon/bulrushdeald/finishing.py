"""Completes batch jobs whose chunks have all ended."""

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

# A queue entry is written before its job's record. An entry this old without
# a job comes from a VM that was lost between the two writes, before it
# acknowledged the job.
_ORPHAN_S = 600.0

Outcome = Literal["ended", "changed", "later"]


class Finisher:
    """Moves jobs to their final state and deletes their working records."""

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
        """Ends a job if its stored records confirm that all chunks have ended.

        Args:
            entry: The job's queue entry.
            record: The job's record.
            revision: The revision of the job's record.

        Returns:
            `ended`; `changed` if the job's records must be read again; `later`
            if a service did not answer and the call should be repeated.
        """
        if not record.has_ended:
            outcome = self._end_job(record, revision)
            if outcome != "ended":
                return outcome
        return self._clean_up(entry)

    def _end_job(
        self, record: batchrecords.JobRecord, revision: int
    ) -> Outcome:
        chunks = self._read_chunk_records(record.job)
        if chunks is None:
            return "later"
        if record.state == "cancelling":
            chunks = self._adopt_partials(record.job, chunks)
        # A chunk that was taken back from a silent holder before the job was
        # cancelled is free in the coordinator's memory only, while its record
        # still says `running`.
        if any(chunk.state == "running" for chunk in chunks.values()):
            return "changed"
        done = [
            chunk.result
            for _, chunk in sorted(chunks.items())
            if chunk.result is not None
        ]
        is_complete = len(done) == record.chunk_count
        if not is_complete and record.state != "cancelling":
            return "changed"
        # The results are listed in a single object, because one record for
        # each would fill the platform's key-value service within days.
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
        # This write races with a cancellation. The key-value service accepts
        # the first of them, and the other fails on the revision.
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

    def _read_chunk_records(
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

    def _adopt_partials(
        self, job: str, chunks: dict[int, batchrecords.ChunkRecord]
    ) -> dict[int, batchrecords.ChunkRecord]:
        # A holder that stopped gracefully stored its answers for the chunk's
        # next holder. A cancelled job has no next holder, so these answers
        # become the chunk's result.
        kept = dict(chunks)
        for number, chunk in chunks.items():
            if chunk.state != "open" or chunk.partial is None:
                continue
            data = self._replicas.get(chunk.partial)
            if isinstance(data, result.Err):
                _log.warning(
                    "Partial result %s: no copy could be read.",
                    chunk.partial.name,
                )
                continue
            partial = batchrecords.load(chunkrun.Partial, data.ok_value)
            encoded = chunkrun.encode_lines(partial.result_lines())
            name = f"{job}/{number}.{chunk.epoch}.cancelled"
            ref = self._replicas.put(name, encoded.data)
            if isinstance(ref, result.Ok):
                kept[number] = chunk._replace(
                    result=encoded.chunk_result(ref.ok_value)
                )
        return kept

    def _clean_up(self, entry: batchrecords.QueueEntry) -> Outcome:
        # The queue entry is deleted last. If this coordinator is lost before
        # that, another one finds the entry and completes the cleanup.
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
        """Marks a cancelled job's chunk as void, which fences its holder."""
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
