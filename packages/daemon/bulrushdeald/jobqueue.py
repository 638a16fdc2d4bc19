"""Stores the queue of unfinished jobs in the platform's key-value service."""

from typing import NamedTuple

import result

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import coordinators
from bulrushdeald import services

_CALL_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 10.0
_MAX_ATTEMPTS = 3
# An entry of this age is rewritten. `finishing` deletes an entry without a
# job after 600 s; this limit stays well below it.
_RENEW_AFTER_S = 300.0


class StoredJob(NamedTuple):
    """A job's record and its revision in the key-value service."""

    record: batchrecords.JobRecord
    revision: int


class JobQueue:
    """Adds jobs to the queue and notifies their coordinators."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        peers: services.Peers,
        bucket_coordinators: coordinators.Coordinators,
    ) -> None:
        self._keyvalue = keyvalue
        self._peers = peers
        self._coordinators = bucket_coordinators

    def add(self, entry: batchrecords.QueueEntry) -> bool:
        """Adds a job to the queue, or renews its entry if it is old.

        Returns:
            Whether the job is known to be in the queue.
        """
        key = batchrecords.queue_key(entry.customer, entry.job)
        put = self._keyvalue.put(key, batchrecords.dump(entry), 0)
        if isinstance(put, result.Ok):
            return True
        current = put.err_value.current
        if put.err_value.kind != "conflict" or current is None:
            return False
        old = batchrecords.load(batchrecords.QueueEntry, current.value)
        if entry.written_wall_s - old.written_wall_s < _RENEW_AFTER_S:
            return True
        # An old entry without a job would soon be deleted as an orphan.
        renewed = old._replace(written_wall_s=entry.written_wall_s)
        put = self._keyvalue.put(
            key, batchrecords.dump(renewed), current.revision
        )
        return isinstance(put, result.Ok)

    def has(self, entry: batchrecords.QueueEntry) -> bool:
        """Returns whether a job is in the queue.

        The result is also False if the platform's service does not answer.
        """
        key = batchrecords.queue_key(entry.customer, entry.job)
        stored = self._keyvalue.get(key)
        return isinstance(stored, result.Ok) and stored.ok_value is not None

    def replace(self, entry: batchrecords.QueueEntry) -> bool:
        """Replaces a job's entry, so that the next sweep reads the job again.

        Returns:
            Whether the entry was replaced or no longer exists.
        """
        key = batchrecords.queue_key(entry.customer, entry.job)
        for _ in range(_MAX_ATTEMPTS):
            stored = self._keyvalue.get(key)
            if isinstance(stored, result.Err):
                return False
            if stored.ok_value is None:
                # The job has ended and its entry was deleted.
                return True
            put = self._keyvalue.put(
                key, batchrecords.dump(entry), stored.ok_value.revision
            )
            if isinstance(put, result.Ok):
                return True
        return False

    def notify(self, entry: batchrecords.QueueEntry) -> None:
        """Sends a job's entry to its coordinator.

        A lost notice only costs time: the coordinator's next sweep of the
        queue finds the job.
        """
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
    """Returns a queue entry for a job, written at `wall_s`."""
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


def unavailable(ran: services.ExecutionStatus = "not_run") -> services.Refusal:
    """Returns the refusal for an outage of the platform's service."""
    return services.Refusal(
        503,
        "unavailable",
        "The platform's service does not answer.",
        ran,
        _RETRY_AFTER_S,
    )
