"""Deletes the records of files and jobs when their time has come."""

from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import batchrecords
from bulrushdeald import services

_log = logs.Log("retention")


class Expiry(NamedTuple):
    """When a record is to go, under `expiry/BUCKET/ID`.

    Attributes:
        key: The record's key.
        ended_wall_s: From when on it is kept for the retention time.
    """

    key: str
    ended_wall_s: float


class Retention:
    """Keeps an index of records by customer bucket."""

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
        """Notes that a record may go after the retention time from now."""
        expiry = Expiry(key, self._clock.wall_s())
        put = self._keyvalue.put(
            _prefix(batchrecords.bucket_of(customer)) + name,
            batchrecords.dump(expiry),
            0,
        )
        return isinstance(put, result.Ok) or put.err_value.kind == "conflict"

    def sweep(self, bucket: int) -> int:
        """Deletes a bucket's records that expired; returns how many."""
        entries = self._keyvalue.list(_prefix(bucket))
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
                # The index goes last: a record is never forgotten.
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


def _prefix(bucket: int) -> str:
    return f"expiry/{bucket:02d}/"
