"""The queue of jobs that have not ended, in the platform's service."""

from typing import NamedTuple

import result

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import coordinators
from bulrushdeald import services

_CALL_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 10.0
_TRIES = 3
# Well below the age at which `finishing` drops an entry without a job.
_ENTRY_FRESH_S = 300.0


class Held(NamedTuple):
    """A job's record and its revision."""

    record: batchrecords.JobRecord
    revision: int


class JobQueue:
    """Adds jobs to the queue and tells their coordinators."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        peers: services.Peers,
        known: coordinators.Coordinators,
    ) -> None:
        self._keyvalue = keyvalue
        self._peers = peers
        self._coordinators = known

    def add(self, entry: batchrecords.QueueEntry) -> bool:
        """Makes sure that a job is in the queue."""
        key = batchrecords.queue_key(entry.customer, entry.job)
        put = self._keyvalue.put(key, batchrecords.dump(entry), 0)
        if isinstance(put, result.Ok):
            return True
        held = put.err_value.current
        if put.err_value.kind != "conflict" or held is None:
            return False
        old = batchrecords.load(batchrecords.QueueEntry, held.value)
        if entry.written_wall_s - old.written_wall_s < _ENTRY_FRESH_S:
            return True
        # An old entry without a job is about to be dropped as an orphan.
        renewed = old._replace(written_wall_s=entry.written_wall_s)
        put = self._keyvalue.put(key, batchrecords.dump(renewed), held.revision)
        return isinstance(put, result.Ok)

    def has(self, entry: batchrecords.QueueEntry) -> bool:
        """Tells whether a job is surely in the queue."""
        key = batchrecords.queue_key(entry.customer, entry.job)
        held = self._keyvalue.get(key)
        return isinstance(held, result.Ok) and held.ok_value is not None

    def mark(self, entry: batchrecords.QueueEntry) -> bool:
        """Replaces a job's entry, so that the next sweep looks at the job."""
        key = batchrecords.queue_key(entry.customer, entry.job)
        for _ in range(_TRIES):
            held = self._keyvalue.get(key)
            if isinstance(held, result.Err):
                return False
            if held.ok_value is None:
                # The job has ended and was cleaned up.
                return True
            put = self._keyvalue.put(
                key, batchrecords.dump(entry), held.ok_value.revision
            )
            if isinstance(put, result.Ok):
                return True
        return False

    def notify(self, entry: batchrecords.QueueEntry) -> None:
        """Tells the coordinator, which finds it by its sweep otherwise."""
        bucket = batchrecords.bucket_of(entry.customer)
        vm = self._coordinators.of_bucket(bucket)
        if not vm:
            return
        notice = batchmessages.JobNotice(entry)
        answer = self._peers.call(vm, notice, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Err):
            self._coordinators.suspect(vm)


def entry(
    record: batchrecords.JobRecord, wall_s: float
) -> batchrecords.QueueEntry:
    """Returns a job's queue entry as written now."""
    return batchrecords.QueueEntry(
        record.job,
        record.customer,
        record.models,
        record.deadline_wall_s,
        record.items,
        record.chunk_count,
        wall_s,
        record.state != "in_progress",
    )


def unavailable(ran: services.Ran = "not_run") -> services.Refusal:
    """Returns the refusal while the platform's service is out."""
    return services.Refusal(
        503,
        "unavailable",
        "The platform's service does not answer.",
        ran,
        _RETRY_AFTER_S,
    )
