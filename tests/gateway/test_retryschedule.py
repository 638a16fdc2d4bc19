"""Retry times of refused requests, replayed on the real decision modules."""

import pytest

from bench.replay import fleet as fleet_lib
from bench.replay import loads
from bench.replay import policies
from gateway.decisions import retryschedule


def _refused_share(replicas: int) -> float:
    """Returns the share of requests that are refused for good.

    Args:
        replicas: The number of engines.
    """
    load = loads.read("bursts")
    part = replicas / load.engines.replicas
    engines = load.engines._replace(replicas=replicas)
    streams = tuple(
        row._replace(per_s=row.per_s * part) for row in load.streams
    )
    load = load._replace(engines=engines, streams=streams)
    ends = [
        one.end
        for seed in range(5)
        for one in fleet_lib.play(load, policies.POLICIES["product"], seed)
    ]
    return ends.count("refused") / len(ends)


@pytest.mark.parametrize("replicas", [1, 5])
def test_staggered_retries_are_refused_for_good_less_often(
    monkeypatch: pytest.MonkeyPatch, replicas: int
) -> None:
    """A burst meets one engine behind a network cut, or all five engines."""
    staggered = _refused_share(replicas)
    monkeypatch.setattr(retryschedule.RetrySchedule, "reserve", lambda *_: 0.0)
    together = _refused_share(replicas)
    assert staggered < together * 0.7


def test_a_slot_is_reserved_once() -> None:
    schedule = retryschedule.RetrySchedule()
    first_s = schedule.reserve(0.0, 0.1)
    assert schedule.reserve(0.0, 0.1) > first_s
    assert schedule.reserve(first_s * 3, 0.1) == first_s


def test_no_retry_is_later_than_callers_wait() -> None:
    schedule = retryschedule.RetrySchedule()
    assert max(schedule.reserve(0.0, 0.1) for _ in range(100)) <= 1.6
