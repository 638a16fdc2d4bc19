"""Limits how many engines fetch weights at once, over all VMs.

The weight store serves only so much. The permits stand in one record of the
platform's service, taken and given back by compare-and-swap. A permit
belongs to the engine whose order it is for, not to the VM that sends it: a
VM that dies leaves its permit with the order, whose next orderer uses it and
gives it back, so none is lost and none has to be timed out.
"""

import json
from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import services

KEY = "weights/permits"
_log = logs.Log("orders")
_MAX_ATTEMPTS = 20
_FULL_RETRY_S = 2.0
_PLATFORM_RETRY_S = 2.0


class Permits(NamedTuple):
    """Who may fetch weights.

    Attributes:
        upstreams: The engines that may.
        paused_until_wall_s: The store asked to be left alone until then.
            Only says when to come back, so clocks that differ do no harm
            beyond another refusal or a longer wait.
    """

    upstreams: tuple[str, ...] = ()
    paused_until_wall_s: float = 0.0


class Wait(NamedTuple):
    """Why there is no permit now, and when to ask again."""

    reason: str
    retry_s: float


class FetchPermits:
    """Takes and gives back permits; holds nothing itself."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        clock: clock_lib.Clock,
        max_fetches: int,
    ) -> None:
        self._keyvalue = keyvalue
        self._clock = clock
        self._max_fetches = max_fetches

    def take(self, upstream: str) -> result.Result[None, Wait]:
        """Takes a permit for an engine; one that it has is as good."""
        entry = self._keyvalue.get(KEY)
        for _ in range(_MAX_ATTEMPTS):
            if isinstance(entry, result.Err):
                break
            permits = _decode(entry.ok_value)
            if permits is None:
                break
            paused_s = permits.paused_until_wall_s - self._clock.wall_s()
            if paused_s > 0:
                return result.Err(Wait("The weight store is busy.", paused_s))
            if upstream in permits.upstreams:
                return result.Ok(None)
            if len(permits.upstreams) >= self._max_fetches:
                reason = "As many engines fetch weights as may."
                return result.Err(Wait(reason, _FULL_RETRY_S))
            taken = permits._replace(upstreams=(*permits.upstreams, upstream))
            put = self._write(entry.ok_value, taken)
            if isinstance(put, result.Ok):
                return result.Ok(None)
            if put.err_value.kind != "conflict":
                break
            entry = result.Ok(put.err_value.current)
        return result.Err(Wait("No permit can be taken.", _PLATFORM_RETRY_S))

    def release(self, upstream: str, pause_s: float = 0.0) -> bool:
        """Gives a permit back; false if that is not known to be done.

        Args:
            upstream: The engine; one without a permit is no error.
            pause_s: For how long the store asked to be left alone.
        """
        entry = self._keyvalue.get(KEY)
        for _ in range(_MAX_ATTEMPTS):
            if isinstance(entry, result.Err):
                return False
            permits = _decode(entry.ok_value)
            if permits is None:
                return False
            given = self._given(permits, upstream, pause_s)
            if given == permits:
                return True
            put = self._write(entry.ok_value, given)
            if isinstance(put, result.Ok):
                return True
            if put.err_value.kind != "conflict":
                return False
            entry = result.Ok(put.err_value.current)
        return False

    def _given(
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
        return codec.from_plain(Permits, json.loads(entry.value))
    except (ValueError, codec.CodecError) as error:
        _log.error("Permits for weights are unreadable: %s.", error)
        return None
