"""Deletes the records of files and jobs after their retention time."""

from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import batchrecords
from bulrushdeald import services

_log = logs.Log("retention")


class Expiry(NamedTuple):
    """Schedules a record's deletion, stored under `expiry/BUCKET/ID`.

    Attributes:
        key: The record's key.
        ended_wall_s: When the retention time began, in seconds since the
            epoch.
    """

    key: str
    ended_wall_s: float


class Retention:
    """Keeps an index of expiring records by bucket of customers."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        clock: clock_lib.Clock,
        retention_s: float,
    ) -> None:
        self._keyvalue = keyvalue
        self._clock = clock
        self._retention_s = retention_s

    def add(self, customer: str, name: str, key: str) -> bool:
        """Schedules a record's deletion; its retention time starts now.

        Args:
            customer: The record's customer, which determines the bucket.
            name: The ID of the file or job.
            key: The record's key.

        Returns:
            Whether the record is scheduled, now or earlier.
        """
        expiry = Expiry(key, self._clock.wall_s())
        put = self._keyvalue.put(
            _expiry_prefix(batchrecords.bucket_of(customer)) + name,
            batchrecords.dump(expiry),
            0,
        )
        return isinstance(put, result.Ok) or put.err_value.kind == "conflict"

    def sweep(self, bucket: int) -> int:
        """Deletes a bucket's expired records and returns their number."""
        entries = self._keyvalue.list(_expiry_prefix(bucket))
        if isinstance(entries, result.Err):
            return 0
        before_s = self._clock.wall_s() - self._retention_s
        count = 0
        for entry in entries.ok_value:
            try:
                expiry = batchrecords.load(Expiry, entry.value)
            except codec.CodecError as error:
                _log.error("%s is unreadable: %s.", entry.key, error)
                continue
            if expiry.ended_wall_s < before_s and self._delete(expiry.key):
                # The index entry is deleted last, so that a record cannot be
                # left without one.
                self._keyvalue.delete(entry.key, entry.revision)
                count += 1
        return count

    def _delete(self, key: str) -> bool:
        held = self._keyvalue.get(key)
        if isinstance(held, result.Err):
            return False
        if held.ok_value is None:
            return True
        deleted = self._keyvalue.delete(key, held.ok_value.revision)
        return isinstance(deleted, result.Ok)


def _expiry_prefix(bucket: int) -> str:
    return f"expiry/{bucket:02d}/"
