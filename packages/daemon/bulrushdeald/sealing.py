"""Seals chunks: stores their results and records them as done.

A chunk's record is changed by compare-and-swap on the claim's revision, so of
all holders of a chunk at most one can make its result readable.
"""

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
    """A chunk whose items have ended, but that is not yet recorded as done.

    Attributes:
        run: The chunk.
        result: The stored result; `None` until it is stored.
    """

    run: chunkrun.ChunkRun
    result: batchrecords.ChunkResult | None = None


class Sealer:
    """Stores the results of chunks and records them."""

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
        """Tries to store and record a chunk's result.

        Returns:
            The `Ended` message for the coordinator, or a `Sealing` to pass to
            the next call if the stores or the platform did not answer.
        """
        stored = sealing.result or self._store(sealing.run)
        if stored is None:
            return sealing
        return self._record_done(sealing._replace(result=stored), stored)

    def _store(self, run: chunkrun.ChunkRun) -> batchrecords.ChunkResult | None:
        encoded = run.encode_result()
        holding = run.holding
        # The epoch keeps results of different holders apart.
        name = f"{holding.job}/{holding.chunk}.{holding.epoch}"
        ref = self._replicas.put(name, encoded.data)
        if isinstance(ref, result.Err):
            _log.warning("Result %s not stored: %s.", name, ref.err_value)
            return None
        return encoded.chunk_result(ref.ok_value)

    def _record_done(
        self, sealing: Sealing, stored: batchrecords.ChunkResult
    ) -> Sealing | batchmessages.Ended:
        holding = sealing.run.holding
        record = batchrecords.ChunkRecord(
            "done", holding.epoch, self._vm, self._incarnation, stored
        )
        # The put expects the claim's revision. If another VM has claimed the
        # chunk since, it fails, and this result never becomes readable.
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
            return self._resolve_after_job(sealing.run, stored)
        if current.value == batchrecords.dump(record):
            # An earlier put took effect, but its answer was lost.
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

    def _resolve_after_job(
        self, run: chunkrun.ChunkRun, stored: batchrecords.ChunkResult
    ) -> Sealing | batchmessages.Ended:
        # The job has ended and its chunk records are deleted. An earlier put
        # whose answer was lost may have made this result part of the job, so
        # the object is not deleted. If nothing refers to it, it expires.
        is_kept = self._is_in_job_results(run.holding.job, stored)
        if is_kept is None:
            return Sealing(run, stored)
        self.count(run, is_kept)
        return batchmessages.Ended(run.holding.job, run.holding.chunk, "unsure")

    def _is_in_job_results(
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
        return any(chunk.ref.name == stored.ref.name for chunk in index.chunks)

    def count(self, run: chunkrun.ChunkRun, is_kept: bool) -> None:
        """Records the usage of a chunk's answers, as discarded unless kept."""
        for event in run.usage():
            self._usage.record(
                event if is_kept else event._replace(outcome="discarded")
            )

    def save_partial(self, run: chunkrun.ChunkRun) -> objects.ObjectRef | None:
        """Stores the answers so far for the chunk's next holder.

        Returns:
            The object; `None` if there are no answers or no store took them.
        """
        partial = run.partial()
        if not partial.lines:
            return None
        holding = run.holding
        name = f"{holding.job}/{holding.chunk}.{holding.epoch}.partial"
        ref = self._replicas.put(name, batchrecords.dump(partial))
        if isinstance(ref, result.Err):
            return None
        return ref.ok_value
