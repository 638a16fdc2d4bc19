"""Cancels batch jobs."""

import result

from bulrushdeal import clock as clock_lib
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import jobqueue
from bulrushdeald import jobviews
from bulrushdeald import services

_CALL_TIMEOUT_S = 1.0
_TRIES = 5


class Canceller:
    """Decides cancellations and makes them known."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        peers: services.Peers,
        queue: jobqueue.JobQueue,
        clock: clock_lib.Clock,
    ) -> None:
        self._keyvalue = keyvalue
        self._peers = peers
        self._queue = queue
        self._clock = clock

    def cancel(
        self, held: jobqueue.Held
    ) -> result.Result[batchrecords.JobRecord, services.Refusal]:
        """Cancels a job, unless it has ended; returns it as it is then.

        It may be called again and again: what an earlier call could not
        make known is made known then.
        """
        for _ in range(_TRIES):
            record, revision = held
            if record.has_ended:
                return result.Ok(record)
            if record.state == "cancelling":
                return self._make_known(record)
            cancelled = record._replace(
                state="cancelling", cancelling_wall_s=self._clock.wall_s()
            )
            # The completion of the job may come between: the service takes
            # the first of the two and the other sees the outcome.
            put = self._keyvalue.put(
                batchrecords.job_key(record.job),
                batchrecords.dump(cancelled),
                revision,
            )
            if isinstance(put, result.Ok):
                return self._make_known(cancelled)
            current = put.err_value.current
            if put.err_value.kind != "conflict" or current is None:
                break
            held = jobqueue.Held(
                batchrecords.load(batchrecords.JobRecord, current.value),
                current.revision,
            )
        return result.Err(jobqueue.unavailable("unknown"))

    def _make_known(
        self, record: batchrecords.JobRecord
    ) -> result.Result[batchrecords.JobRecord, services.Refusal]:
        # The mark is what a coordinator surely sees, in its next sweep; the
        # messages make it quick.
        entry = jobqueue.entry(record, self._clock.wall_s())
        if not self._queue.mark(entry):
            return result.Err(jobqueue.unavailable("unknown"))
        self._queue.notify(entry)
        chunks = self._keyvalue.list(batchrecords.chunk_prefix(record.job))
        if isinstance(chunks, result.Ok):
            for vm in jobviews.holders(chunks.ok_value):
                stop = batchmessages.StopJob(record.job)
                self._peers.call(vm, stop, _CALL_TIMEOUT_S)
        return result.Ok(record)
