"""Cancels batch jobs and stops their running chunks."""

import result

from bulrushdeal import clock as clock_lib
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import jobqueue
from bulrushdeald import jobviews
from bulrushdeald import services

_CALL_TIMEOUT_S = 1.0
_MAX_ATTEMPTS = 5


class Canceller:
    """Records cancellations and notifies coordinators and chunk holders."""

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
        self, stored: jobqueue.StoredJob
    ) -> result.Result[batchrecords.JobRecord, services.Refusal]:
        """Cancels a job unless it has ended.

        The call may be repeated: a later call publishes a cancellation that
        an earlier call recorded but could not publish.

        Args:
            stored: The job as last read.

        Returns:
            The job's current record, or a refusal if it is not certain that
            the cancellation takes effect.
        """
        for _ in range(_MAX_ATTEMPTS):
            record, revision = stored
            if record.has_ended:
                return result.Ok(record)
            if record.state == "cancelling":
                return self._publish(record)
            cancelled = record._replace(
                state="cancelling", cancelling_wall_s=self._clock.wall_s()
            )
            # The job may complete at the same time. The key-value service
            # accepts the first of the two writes, and the other writer gets
            # a conflict with the current record.
            put = self._keyvalue.put(
                batchrecords.job_key(record.job),
                batchrecords.dump(cancelled),
                revision,
            )
            if isinstance(put, result.Ok):
                return self._publish(cancelled)
            current = put.err_value.current
            if put.err_value.kind != "conflict" or current is None:
                break
            stored = jobqueue.StoredJob(
                batchrecords.load(batchrecords.JobRecord, current.value),
                current.revision,
            )
        return result.Err(jobqueue.unavailable("unknown"))

    def _publish(
        self, record: batchrecords.JobRecord
    ) -> result.Result[batchrecords.JobRecord, services.Refusal]:
        # The coordinator's next sweep reads the queue entry in any case. The
        # messages only shorten the delay, so their failures are ignored.
        entry = jobqueue.entry(record, self._clock.wall_s())
        if not self._queue.replace(entry):
            return result.Err(jobqueue.unavailable("unknown"))
        self._queue.notify(entry)
        chunks = self._keyvalue.list(batchrecords.chunk_prefix(record.job))
        if isinstance(chunks, result.Ok):
            for vm in jobviews.holders(chunks.ok_value):
                stop = batchmessages.StopJob(record.job)
                self._peers.call(vm, stop, _CALL_TIMEOUT_S)
        return result.Ok(record)
