"""When refused requests come back, replayed on the real decisions."""

import pytest

from gateway.decisions import returns
from support import returnreplay


def _lost(engines: int, per_s: float) -> float:
    plays = [returnreplay.play(engines, per_s, seed) for seed in range(5)]
    return sum(row.lost for row in plays) / sum(row.asked for row in plays)


@pytest.mark.parametrize(("engines", "per_s"), [(1, 8.0), (5, 40.0)])
def test_those_that_come_back_one_after_the_other_are_lost_less_often(
    monkeypatch: pytest.MonkeyPatch, engines: int, per_s: float
) -> None:
    """A burst, once at one engine behind a cut and once at all of them."""
    in_turn = _lost(engines, per_s)
    monkeypatch.setattr(returns.Returns, "promise", lambda *_: 0.0)
    together = _lost(engines, per_s)
    assert in_turn < together * 0.7


def test_a_place_is_promised_once() -> None:
    promised = returns.Returns()
    first_s = promised.promise(0.0, 0.1)
    assert promised.promise(0.0, 0.1) > first_s
    assert promised.promise(first_s * 3, 0.1) == first_s


def test_nobody_is_sent_away_for_longer_than_callers_wait() -> None:
    promised = returns.Returns()
    assert max(promised.promise(0.0, 0.1) for _ in range(100)) <= 1.6
