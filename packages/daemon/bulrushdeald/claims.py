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

_MAX_INDEXES = 64
Verdict = Literal["held", "lost", "cancelled", "unsure"]


class Lost(NamedTuple):
    """An offered chunk that will not run here.

    Attributes:
        ended: What the coordinator is to be told.
    """

    ended: batchmessages.Ended

    @property
    def is_open(self) -> bool:
        """Whether the next holder takes it over as it was given back."""
        return self.ended.state == "open"


class Claims:
    """Claims chunks for one VM."""

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
        """Claims an offered chunk and reads its items."""
        key = batchrecords.chunk_key(offer.job, offer.chunk)
        partial = self._earlier(key, offer)
        record = batchrecords.ChunkRecord(
            "running",
            offer.epoch,
            self._vm,
            self._incarnation,
            partial=partial,
        )
        put = self._keyvalue.put(key, batchrecords.dump(record), offer.revision)
        if isinstance(put, result.Err):
            # Another holder has it, or nobody knows: not knowing must count
            # as lost, since only a known claim may run.
            return result.Err(_lost(offer, "unsure"))
        holding = batchmessages.Holding(
            offer.job, offer.chunk, offer.epoch, put.ok_value
        )
        return self._load(holding, record)

    def _earlier(
        self, key: str, offer: batchmessages.Offer
    ) -> objects.ObjectRef | None:
        if offer.revision == 0:
            return None
        entry = self._keyvalue.get(key)
        if isinstance(entry, result.Err) or entry.ok_value is None:
            return None
        record = _chunk_record(entry.ok_value)
        return record.partial if record is not None else None

    def _load(
        self,
        holding: batchmessages.Holding,
        record: batchrecords.ChunkRecord,
    ) -> result.Result[chunkrun.ChunkRun, Lost]:
        # The job is read after the claim, never before. A cancellation first
        # marks the job and then looks for running chunks: it sees this
        # claim, or this read sees the cancellation.
        job = self._job(holding.job)
        if job is None:
            # The coordinator finds that nobody holds it and offers it again
            # after a while; giving it back would try again at once.
            return result.Err(_lost(holding, "unsure"))
        if job.state != "in_progress":
            return result.Err(self._void(holding, job.has_ended))
        items = self._items(job, holding.chunk)
        if items is None and self._clock.wall_s() < job.deadline_wall_s:
            return result.Err(_lost(holding, "unsure"))
        if items is None:
            # Both copies are gone for good; the rest of the job has to end.
            _log.error("Input of %s/%d is lost.", job.job, holding.chunk)
            items = ()
        run = chunkrun.ChunkRun(job, holding, items)
        if record.partial is not None:
            self._restore(run, record.partial)
        return result.Ok(run)

    def verify(self, holding: batchmessages.Holding) -> Verdict:
        """Reads whether a chunk is still this VM's to run."""
        key = batchrecords.chunk_key(holding.job, holding.chunk)
        entry = self._keyvalue.get(key)
        if isinstance(entry, result.Err):
            return "unsure"
        if entry.ok_value is None:
            return "lost"
        if entry.ok_value.revision != holding.revision:
            return "lost"
        job = self._job(holding.job)
        if job is None:
            return "unsure"
        return "held" if job.state == "in_progress" else "cancelled"

    def _job(self, job: str) -> batchrecords.JobRecord | None:
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

    def _items(
        self, job: batchrecords.JobRecord, chunk: int
    ) -> tuple[splitter.Item, ...] | None:
        index = self._index(job)
        if index is None or chunk >= len(index.chunks):
            return None
        data = self._replicas.get(index.chunks[chunk].ref)
        if isinstance(data, result.Err):
            _log.warning("Input of %s/%d: no copy.", job.job, chunk)
            return None
        return splitter.items_of(data.ok_value)

    def _index(
        self, job: batchrecords.JobRecord
    ) -> batchrecords.FileIndex | None:
        index = self._indexes.get(job.job)
        if index is not None:
            return index
        data = self._replicas.get(job.index_ref)
        if isinstance(data, result.Err):
            return None
        index = batchrecords.load(batchrecords.FileIndex, data.ok_value)
        while len(self._indexes) >= _MAX_INDEXES:
            del self._indexes[next(iter(self._indexes))]
        self._indexes[job.job] = index
        return index

    def _restore(self, run: chunkrun.ChunkRun, ref: objects.ObjectRef) -> None:
        data = self._replicas.get(ref)
        if isinstance(data, result.Err):
            # The items run again, which wastes work but loses nothing.
            _log.warning("Partial result %s: no copy.", ref.name)
            return
        run.restore(batchrecords.load(chunkrun.Partial, data.ok_value))

    def give_back(
        self,
        holding: batchmessages.Holding,
        partial: objects.ObjectRef | None,
    ) -> Lost:
        """Lets another VM claim a chunk at once."""
        record = batchrecords.ChunkRecord(
            "open", holding.epoch, self._vm, self._incarnation, partial=partial
        )
        return self._end(holding, record, "open")

    def _void(
        self, holding: batchmessages.Holding, job_has_ended: bool
    ) -> Lost:
        if job_has_ended:
            # Its chunks' records are deleted already; this one came late.
            key = batchrecords.chunk_key(holding.job, holding.chunk)
            self._keyvalue.delete(key, holding.revision)
            return _lost(holding, "unsure")
        record = batchrecords.ChunkRecord(
            "void", holding.epoch, self._vm, self._incarnation
        )
        return self._end(holding, record, "void")

    def _end(
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
            return _lost(holding, "unsure")
        return Lost(
            batchmessages.Ended(
                holding.job, holding.chunk, state, holding.epoch, put.ok_value
            )
        )


def _lost(
    chunk: batchmessages.Offer | batchmessages.Holding,
    state: batchmessages.EndState,
) -> Lost:
    return Lost(batchmessages.Ended(chunk.job, chunk.chunk, state))


def _chunk_record(
    entry: services.Entry,
) -> batchrecords.ChunkRecord | None:
    try:
        return batchrecords.load(batchrecords.ChunkRecord, entry.value)
    except codec.CodecError:
        return None
