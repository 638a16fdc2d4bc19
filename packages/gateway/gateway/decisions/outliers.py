"""Which upstreams fail more requests than the others, by their answers."""

from collections.abc import Iterable
from typing import NamedTuple

from bulrushdeal import eventlog

_events = eventlog.Events("outliers")

# What was seen counts half as much after so long.
_HALF_LIFE_S = 2.0
# Failures that make an outlier: three at once are no chance at the few in a
# hundred that a sound upstream may fail.
_MIN_FAILED = 2.5
_MIN_SHARE = 0.3
# How many times the share of failures among all others: what fails everywhere
# is a fault of the requests or of the way.
_TIMES_OTHERS = 3.0
# The first time out, and the longest; each in a row is twice as long. One that
# fails for good costs a request each time, one that is back and still out costs
# its part of the room.
_FIRST_OUT_S = 1.0
_MAX_OUT_S = 3.0
# Part of the upstreams that may be out; the rest could not take the load of
# more, and a judgement that finds most of them bad is wrong.
_MAX_OUT_SHARE = 0.3
# Answers in a row with which one on trial is back.
_TRIALS = 3


class _Seen(NamedTuple):
    """Answers and failures of an upstream, older ones counted for less."""

    worked: float
    failed: float
    at_s: float

    def at(self, now_s: float) -> "_Seen":
        left = 0.5 ** ((now_s - self.at_s) / _HALF_LIFE_S)
        return _Seen(self.worked * left, self.failed * left, now_s)


class _Out(NamedTuple):
    """An upstream that was taken out.

    Attributes:
        until_s: When it is on trial.
        out_s: For how long it was taken out.
        worked: Answers in a row since it is on trial.
    """

    until_s: float
    out_s: float
    worked: int


class Outliers:
    """Takes upstreams out for a while whose requests fail.

    The failure: an upstream fails whatever it gets, at once, while it is
    listed and its health check passes. It always has the most free slots, so
    it gets, and fails, more requests than any other: in a model of ten that
    get a hundred requests a second 0.82 of them failed, 0.006 when it is taken
    out. Of many VMs each sees few of its answers; the one that gives out its
    slots hears of all.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._out: dict[str, _Out] = {}

    def keep(self, instances: Iterable[str]) -> None:
        """Forgets all upstreams but these."""
        kept = frozenset(instances)
        for name in self._seen.keys() - kept:
            del self._seen[name]
        for name in self._out.keys() - kept:
            del self._out[name]

    def limit(self, instance: str, now_s: float) -> int | None:
        """Returns how many requests an upstream may have at once.

        Returns:
            0 while it is out, 1 on trial, `None` for no limit.
        """
        out = self._out.get(instance)
        if out is None:
            return None
        return 0 if now_s < out.until_s else 1

    def note(
        self, instance: str, now_s: float, *, has_failed: bool, count: int
    ) -> None:
        """Takes how a request ended.

        Args:
            instance: The upstream it was sent to.
            now_s: By the monotonic clock.
            has_failed: Whether it brought no sound answer.
            count: How many upstreams there are to choose from.
        """
        seen = self._seen.get(instance, _Seen(0.0, 0.0, now_s)).at(now_s)
        if has_failed:
            seen = seen._replace(failed=seen.failed + 1)
        else:
            seen = seen._replace(worked=seen.worked + 1)
        self._seen[instance] = seen
        out = self._out.get(instance)
        if out is not None:
            self._note_trial(instance, out, now_s, has_failed)
        elif has_failed and self._is_outlier(instance, seen, now_s):
            self._take_out(instance, _FIRST_OUT_S, now_s, count)

    def _note_trial(
        self, instance: str, out: _Out, now_s: float, has_failed: bool
    ) -> None:
        if now_s < out.until_s:
            # Sent before it was taken out.
            return
        if has_failed:
            out_s = min(out.out_s * 2, _MAX_OUT_S)
            self._out[instance] = _Out(now_s + out_s, out_s, 0)
            return
        if out.worked + 1 < _TRIALS:
            self._out[instance] = out._replace(worked=out.worked + 1)
            return
        del self._out[instance]
        self._seen.pop(instance, None)
        _events.info("back", upstream=instance)

    def _is_outlier(self, instance: str, seen: _Seen, now_s: float) -> bool:
        share = seen.failed / (seen.failed + seen.worked)
        if seen.failed < _MIN_FAILED or share < _MIN_SHARE:
            return False
        others = [
            row.at(now_s)
            for name, row in self._seen.items()
            if name != instance and name not in self._out
        ]
        failed = sum(row.failed for row in others)
        worked = sum(row.worked for row in others)
        return share * (failed + worked) >= _TIMES_OTHERS * failed

    def _take_out(
        self, instance: str, out_s: float, now_s: float, count: int
    ) -> None:
        if len(self._out) + 1 > _MAX_OUT_SHARE * count:
            return
        seen = self._seen[instance]
        self._out[instance] = _Out(now_s + out_s, out_s, 0)
        _events.warning(
            "taken_out",
            upstream=instance,
            for_s=out_s,
            failed=round(seen.failed, 1),
            worked=round(seen.worked, 1),
        )
