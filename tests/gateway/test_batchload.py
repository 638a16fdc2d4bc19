"""Batch jobs at the worst load, replayed on the real decisions."""

import pytest

from gateway.decisions import batchorder
from support import batchreplay


def _nothing(now_s: float) -> float:
    del now_s
    return 0.0


def _bursts(now_s: float) -> float:
    """Returns online requests a second, in steps as callers come."""
    return 8.0 if now_s % 6.6 < 3.8 else 38.0


def _overload() -> batchreplay.Pattern:
    """Jobs come for a minute 1.3 times as fast as engines can do them."""
    every_s = 10 * batchreplay.RUN_S / 16 / 1.3
    jobs = tuple(
        batchreplay.Job(row * every_s, 10) for row in range(int(60 / every_s))
    )
    return batchreplay.Pattern(16, jobs, _nothing, 120.0)


def _flood() -> batchreplay.Pattern:
    """Many jobs at once between a few, beside bursts of online requests."""
    before = [batchreplay.Job(row * 2.0, 10) for row in range(5)]
    flood = [batchreplay.Job(10 + row * 0.05, 10) for row in range(12)]
    after = [batchreplay.Job(12 + row * 3.0, 10) for row in range(6)]
    jobs = (*before, *flood, *after)
    return batchreplay.Pattern(32, jobs, _bursts, 80.0)


def test_more_jobs_than_can_be_in_time_are_not_all_late() -> None:
    """In the order of due times alone each job ends just after it was due."""
    by_due_time = batchreplay.play(_overload(), 0.0).in_time
    late_last = batchreplay.play(_overload()).in_time
    assert late_last > by_due_time + 0.1
    assert late_last > 0.7


def test_a_flood_of_jobs_makes_fewer_late_when_items_take_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Slots go to whichever VM asks first, and from item to item."""
    in_turn = batchreplay.play(_flood())
    monkeypatch.setattr(batchorder, "rank", _no_order)
    by_chance = batchreplay.play(_flood())
    assert in_turn.in_time > by_chance.in_time
    assert in_turn.refused == by_chance.refused == 0


def test_long_items_are_not_starved_in_a_flood() -> None:
    """What is late by its length alone would never be in time."""
    lengths = (0.7, 0.8, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.3, 1.6)
    played = batchreplay.play(_flood()._replace(lengths=lengths))
    assert played.longest_in_time >= played.in_time / 2


def _no_order(standing: batchorder.Standing) -> batchorder.Rank:
    return batchorder.Rank(standing.is_late, 0, 0.0)
