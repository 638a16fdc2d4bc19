"""Limits how many engines fetch weights at once, over all VMs.

The weight store has limited capacity. One record in the platform's store
lists the permits, which are acquired and released by compare-and-swap. A
permit belongs to the engine that is ordered, not to the VM that sends the
order: if that VM dies, the VM that takes the order over uses and releases the
same permit. So no permit is lost, and none needs a timeout.
"""

import json
from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import jsontext
from bulrushdeal import logs
from bulrushdeald import services

KEY = "weights/permits"
_log = logs.Log("orders")
_MAX_ATTEMPTS = 20
_FULL_RETRY_S = 2.0
_PLATFORM_RETRY_S = 2.0


class Permits(NamedTuple):
    """The stored record of permits.

    Attributes:
        upstreams: The engines that hold a permit.
        paused_until_wall_s: When the pause that the store asked for ends, in
            seconds of wall-clock time. Clocks that differ only cause another
            refusal or a longer wait.
    """

    upstreams: tuple[str, ...] = ()
    paused_until_wall_s: float = 0.0


class Denial(NamedTuple):
    """Why no permit was acquired, and the seconds until the next attempt."""

    reason: str
    retry_s: float


class FetchPermits:
    """Acquires and releases permits; keeps no state of its own."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        clock: clock_lib.Clock,
        max_fetches: int,
    ) -> None:
        self._keyvalue = keyvalue
        self._clock = clock
        self._max_fetches = max_fetches

    def acquire(self, upstream: str) -> result.Result[None, Denial]:
        """Acquires a permit for an engine; keeps one that it already holds."""
        entry = self._keyvalue.get(KEY)
        for _ in range(_MAX_ATTEMPTS):
            if isinstance(entry, result.Err):
                break
            permits = _decode(entry.ok_value)
            if permits is None:
                break
            paused_s = permits.paused_until_wall_s - self._clock.wall_s()
            if paused_s > 0:
                return result.Err(Denial("The weight store is busy.", paused_s))
            if upstream in permits.upstreams:
                return result.Ok(None)
            if len(permits.upstreams) >= self._max_fetches:
                reason = "The limit of engines that fetch weights is reached."
                return result.Err(Denial(reason, _FULL_RETRY_S))
            taken = permits._replace(upstreams=(*permits.upstreams, upstream))
            put = self._write(entry.ok_value, taken)
            if isinstance(put, result.Ok):
                return result.Ok(None)
            if put.err_value.kind != "conflict":
                break
            entry = result.Ok(put.err_value.current)
        return result.Err(
            Denial(
                "The record of permits cannot be updated.", _PLATFORM_RETRY_S
            )
        )

    def release(self, upstream: str, pause_s: float = 0.0) -> bool:
        """Releases a permit.

        Args:
            upstream: The engine; it is no error if it holds no permit.
            pause_s: The seconds for which the store asked for no fetches.

        Returns:
            False if the release failed or its outcome is unknown.
        """
        entry = self._keyvalue.get(KEY)
        for _ in range(_MAX_ATTEMPTS):
            if isinstance(entry, result.Err):
                return False
            permits = _decode(entry.ok_value)
            if permits is None:
                return False
            released = self._released(permits, upstream, pause_s)
            if released == permits:
                return True
            put = self._write(entry.ok_value, released)
            if isinstance(put, result.Ok):
                return True
            if put.err_value.kind != "conflict":
                return False
            entry = result.Ok(put.err_value.current)
        return False

    def _released(
        self, permits: Permits, upstream: str, pause_s: float
    ) -> Permits:
        until_s = permits.paused_until_wall_s
        if pause_s > 0:
            until_s = max(until_s, self._clock.wall_s() + pause_s)
        left = tuple(name for name in permits.upstreams if name != upstream)
        return Permits(left, until_s)

    def _write(
        self, entry: services.Entry | None, permits: Permits
    ) -> result.Result[int, services.KeyValueError]:
        data = json.dumps(codec.to_object(permits)).encode()
        return self._keyvalue.put(KEY, data, entry.revision if entry else 0)


def _decode(entry: services.Entry | None) -> Permits | None:
    if entry is None:
        return Permits()
    try:
        return codec.from_plain(Permits, jsontext.parse(entry.value))
    except (ValueError, codec.CodecError) as error:
        _log.error("Permits for weights are unreadable: %s.", error)
        return None
