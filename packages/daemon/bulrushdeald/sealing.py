"""Seals the results of chunks, so that each is readable exactly once."""

from typing import NamedTuple

import result

from bulrushdeal import logs
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import chunkrun
from bulrushdeald import objects
from bulrushdeald import replicas
from bulrushdeald import services

_log = logs.Log("sealing")


class Sealing(NamedTuple):
    """A chunk whose items have ended and whose result is not yet readable.

    Attributes:
        run: The chunk.
        result: Its result in the stores; `None` before it is there.
    """

    run: chunkrun.ChunkRun
    result: batchrecords.ChunkResult | None = None


class Sealer:
    """Stores results and records them."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        stores: replicas.Replicas,
        usage: services.Usage,
        vm: str,
        incarnation: str,
    ) -> None:
        self._keyvalue = keyvalue
        self._replicas = stores
        self._usage = usage
        self._vm = vm
        self._incarnation = incarnation

    def step(self, sealing: Sealing) -> Sealing | batchmessages.Ended:
        """Tries to end a chunk; what it returns is to be tried again."""
        stored = sealing.result or self._store(sealing.run)
        if stored is None:
            return sealing
        return self._record(sealing._replace(result=stored), stored)

    def _store(self, run: chunkrun.ChunkRun) -> batchrecords.ChunkResult | None:
        sealed = run.seal()
        holding = run.holding
        # The epoch in the name keeps an older holder's result apart.
        name = f"{holding.job}/{holding.chunk}.{holding.epoch}"
        ref = self._replicas.put(name, sealed.data)
        if isinstance(ref, result.Err):
            _log.warning("Result %s not stored: %s.", name, ref.err_value)
            return None
        return sealed.chunk_result(ref.ok_value)

    def _record(
        self, sealing: Sealing, stored: batchrecords.ChunkResult
    ) -> Sealing | batchmessages.Ended:
        holding = sealing.run.holding
        record = batchrecords.ChunkRecord(
            "done", holding.epoch, self._vm, self._incarnation, stored
        )
        # The claim's revision is expected: whoever claimed the chunk since
        # has changed it, and then this result can never be read.
        put = self._keyvalue.put(
            batchrecords.chunk_key(holding.job, holding.chunk),
            batchrecords.dump(record),
            holding.revision,
        )
        if isinstance(put, result.Ok):
            self.count(sealing.run, is_kept=True)
            return batchmessages.Ended(
                holding.job, holding.chunk, "done", holding.epoch, put.ok_value
            )
        if put.err_value.kind != "conflict":
            return sealing
        current = put.err_value.current
        if current is None:
            return self._end_after_job(sealing.run, stored)
        if current.value == batchrecords.dump(record):
            # An earlier try took effect and its answer was lost.
            self.count(sealing.run, is_kept=True)
            return batchmessages.Ended(
                holding.job,
                holding.chunk,
                "done",
                holding.epoch,
                current.revision,
            )
        _log.info(
            "Chunk %s/%d went to another holder.", holding.job, holding.chunk
        )
        self.count(sealing.run, is_kept=False)
        self._replicas.delete(stored.ref)
        return batchmessages.Ended(holding.job, holding.chunk, "unsure")

    def _end_after_job(
        self, run: chunkrun.ChunkRun, stored: batchrecords.ChunkResult
    ) -> Sealing | batchmessages.Ended:
        # The job has ended and its chunks' records are gone. An earlier try
        # whose answer was lost may have made this very result part of the
        # job, so the object stays; what nobody refers to expires.
        is_kept = self._is_kept(run.holding.job, stored)
        if is_kept is None:
            return Sealing(run, stored)
        self.count(run, is_kept)
        return batchmessages.Ended(run.holding.job, run.holding.chunk, "unsure")

    def _is_kept(
        self, job: str, stored: batchrecords.ChunkResult
    ) -> bool | None:
        entry = self._keyvalue.get(batchrecords.job_key(job))
        if isinstance(entry, result.Err):
            return None
        if entry.ok_value is None:
            return False
        record = batchrecords.load(batchrecords.JobRecord, entry.ok_value.value)
        if record.results is None:
            return False
        data = self._replicas.get(record.results)
        if isinstance(data, result.Err):
            return None
        index = batchrecords.load(batchrecords.ResultIndex, data.ok_value)
        return any(one.ref.name == stored.ref.name for one in index.chunks)

    def count(self, run: chunkrun.ChunkRun, is_kept: bool) -> None:
        """Counts a chunk's answers: as they are, or as run for nothing."""
        for event in run.usage():
            self._usage.record(
                event if is_kept else event._replace(outcome="discarded")
            )

    def save_partial(self, run: chunkrun.ChunkRun) -> objects.ObjectRef | None:
        """Stores the answers so far, for the chunk's next holder."""
        partial = run.partial()
        if not partial.lines:
            return None
        holding = run.holding
        name = f"{holding.job}/{holding.chunk}.{holding.epoch}.partial"
        ref = self._replicas.put(name, batchrecords.dump(partial))
        if isinstance(ref, result.Err):
            return None
        return ref.ok_value
