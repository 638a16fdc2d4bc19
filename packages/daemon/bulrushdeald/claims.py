"""Claims chunks of batch jobs and loads their items."""

from typing import Literal, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import chunkrun
from bulrushdeald import objects
from bulrushdeald import replicas
from bulrushdeald import services
from bulrushdeald import splitter

_log = logs.Log("claims")

_MAX_CACHED_INDEXES = 64
Verdict = Literal["held", "lost", "cancelled", "unsure"]


class Lost(NamedTuple):
    """A chunk that this VM does not run, or no longer runs.

    Attributes:
        ended: What to report to the coordinator.
    """

    ended: batchmessages.Ended

    @property
    def is_open(self) -> bool:
        """Whether the chunk was given back for another VM to claim."""
        return self.ended.state == "open"


class Claims:
    """Claims, verifies and gives back chunks on behalf of one VM."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        stores: replicas.Replicas,
        clock: clock_lib.Clock,
        vm: str,
        incarnation: str,
    ) -> None:
        self._clock = clock
        self._keyvalue = keyvalue
        self._replicas = stores
        self._vm = vm
        self._incarnation = incarnation
        self._indexes: dict[str, batchrecords.FileIndex] = {}

    def claim(
        self, offer: batchmessages.Offer
    ) -> result.Result[chunkrun.ChunkRun, Lost]:
        """Claims an offered chunk by compare-and-swap and loads its items."""
        key = batchrecords.chunk_key(offer.job, offer.chunk)
        partial = self._stored_partial(key, offer)
        record = batchrecords.ChunkRecord(
            "running",
            offer.epoch,
            self._vm,
            self._incarnation,
            partial=partial,
        )
        put = self._keyvalue.put(key, batchrecords.dump(record), offer.revision)
        if isinstance(put, result.Err):
            # Another VM holds the chunk, or the outcome of the write is
            # unknown. Unknown counts as lost, since a chunk may only run
            # under a confirmed claim.
            return result.Err(_lost_without_revision(offer, "unsure"))
        holding = batchmessages.Holding(
            offer.job, offer.chunk, offer.epoch, put.ok_value
        )
        return self._load_run(holding, record)

    def _stored_partial(
        self, key: str, offer: batchmessages.Offer
    ) -> objects.ObjectRef | None:
        if offer.revision == 0:
            return None
        entry = self._keyvalue.get(key)
        if isinstance(entry, result.Err) or entry.ok_value is None:
            return None
        record = _decode_chunk_record(entry.ok_value)
        return record.partial if record is not None else None

    def _load_run(
        self,
        holding: batchmessages.Holding,
        record: batchrecords.ChunkRecord,
    ) -> result.Result[chunkrun.ChunkRun, Lost]:
        # The job must be read after the claim. A cancellation marks the job
        # first and looks for running chunks second, so either it sees this
        # claim or this read sees the cancellation.
        job = self._read_job(holding.job)
        if job is None:
            # The coordinator finds that no VM holds the chunk and offers it
            # again after a while. Giving the chunk back would cause an
            # immediate retry.
            return result.Err(_lost_without_revision(holding, "unsure"))
        if job.state != "in_progress":
            return result.Err(self._void_claim(holding, job.has_ended))
        items = self._read_items(job, holding.chunk)
        if items is None and self._clock.wall_s() < job.deadline_wall_s:
            return result.Err(_lost_without_revision(holding, "unsure"))
        if items is None:
            # No copy of the input could be read up to the deadline, so it
            # counts as lost for good. The chunk ends without items, so that
            # the rest of the job can complete.
            _log.error("Input of %s/%d is lost.", job.job, holding.chunk)
            items = ()
        run = chunkrun.ChunkRun(job, holding, items)
        if record.partial is not None:
            self._restore_partial(run, record.partial)
        return result.Ok(run)

    def verify(self, holding: batchmessages.Holding) -> Verdict:
        """Checks the stored records for whether this VM still holds a chunk.

        Returns:
            `held`; `lost` if another VM has claimed the chunk or its record is
            gone; `cancelled` if its job no longer runs; `unsure` if a record
            could not be read.
        """
        key = batchrecords.chunk_key(holding.job, holding.chunk)
        entry = self._keyvalue.get(key)
        if isinstance(entry, result.Err):
            return "unsure"
        if entry.ok_value is None:
            return "lost"
        if entry.ok_value.revision != holding.revision:
            return "lost"
        job = self._read_job(holding.job)
        if job is None:
            return "unsure"
        return "held" if job.state == "in_progress" else "cancelled"

    def _read_job(self, job: str) -> batchrecords.JobRecord | None:
        entry = self._keyvalue.get(batchrecords.job_key(job))
        if isinstance(entry, result.Err) or entry.ok_value is None:
            return None
        try:
            return batchrecords.load(
                batchrecords.JobRecord, entry.ok_value.value
            )
        except codec.CodecError as error:
            _log.error("Job %s has an unreadable record: %s.", job, error)
            return None

    def _read_items(
        self, job: batchrecords.JobRecord, chunk: int
    ) -> tuple[splitter.Item, ...] | None:
        index = self._file_index(job)
        if index is None or chunk >= len(index.chunks):
            return None
        data = self._replicas.get(index.chunks[chunk].ref)
        if isinstance(data, result.Err):
            _log.warning(
                "Input of %s/%d: no copy could be read.", job.job, chunk
            )
            return None
        return splitter.items_of(data.ok_value)

    def _file_index(
        self, job: batchrecords.JobRecord
    ) -> batchrecords.FileIndex | None:
        index = self._indexes.get(job.job)
        if index is not None:
            return index
        data = self._replicas.get(job.index_ref)
        if isinstance(data, result.Err):
            return None
        index = batchrecords.load(batchrecords.FileIndex, data.ok_value)
        while len(self._indexes) >= _MAX_CACHED_INDEXES:
            del self._indexes[next(iter(self._indexes))]
        self._indexes[job.job] = index
        return index

    def _restore_partial(
        self, run: chunkrun.ChunkRun, ref: objects.ObjectRef
    ) -> None:
        data = self._replicas.get(ref)
        if isinstance(data, result.Err):
            # The items run again, which wastes work but loses nothing.
            _log.warning("Partial result %s: no copy could be read.", ref.name)
            return
        run.restore(batchrecords.load(chunkrun.Partial, data.ok_value))

    def give_back(
        self,
        holding: batchmessages.Holding,
        partial: objects.ObjectRef | None,
    ) -> Lost:
        """Marks a chunk as open, so that another VM can claim it at once.

        Args:
            holding: The chunk.
            partial: The stored answers so far, if there are any.
        """
        record = batchrecords.ChunkRecord(
            "open", holding.epoch, self._vm, self._incarnation, partial=partial
        )
        return self._write_end(holding, record, "open")

    def _void_claim(
        self, holding: batchmessages.Holding, job_has_ended: bool
    ) -> Lost:
        if job_has_ended:
            # The other chunk records of the job are already deleted, so the
            # record that this late claim created is deleted too.
            key = batchrecords.chunk_key(holding.job, holding.chunk)
            self._keyvalue.delete(key, holding.revision)
            return _lost_without_revision(holding, "unsure")
        record = batchrecords.ChunkRecord(
            "void", holding.epoch, self._vm, self._incarnation
        )
        return self._write_end(holding, record, "void")

    def _write_end(
        self,
        holding: batchmessages.Holding,
        record: batchrecords.ChunkRecord,
        state: batchmessages.EndState,
    ) -> Lost:
        key = batchrecords.chunk_key(holding.job, holding.chunk)
        put = self._keyvalue.put(
            key, batchrecords.dump(record), holding.revision
        )
        if isinstance(put, result.Err):
            return _lost_without_revision(holding, "unsure")
        return Lost(
            batchmessages.Ended(
                holding.job, holding.chunk, state, holding.epoch, put.ok_value
            )
        )


def _lost_without_revision(
    chunk: batchmessages.Offer | batchmessages.Holding,
    state: batchmessages.EndState,
) -> Lost:
    return Lost(batchmessages.Ended(chunk.job, chunk.chunk, state))


def _decode_chunk_record(
    entry: services.Entry,
) -> batchrecords.ChunkRecord | None:
    try:
        return batchrecords.load(batchrecords.ChunkRecord, entry.value)
    except codec.CodecError:
        return None
