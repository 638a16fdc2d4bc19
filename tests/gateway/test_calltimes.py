"""Timeouts of calls to other VMs."""

import hypothesis
from hypothesis import strategies

from gateway.decisions import calltimes


def _after(took_s: list[float]) -> calltimes.CallTimes:
    times = calltimes.CallTimes()
    for row in took_s:
        times.record("vm1", row)
    return times


def test_two_timeouts_leave_time_to_answer_within_a_target() -> None:
    """Owner and leader are beyond a cut, and the answer is due in 300 ms.

    With a timeout of a quarter of a second for each the answer is late.
    """
    times = _after([0.003, 0.008, 0.002, 0.02, 0.004] * 4)
    assert 2 * times.timeout_s("vm1") < 0.3 - 0.05


def test_a_vm_without_past_answers_gets_the_longest_timeout() -> None:
    assert calltimes.CallTimes().timeout_s("vm1") >= 0.25


def test_after_a_timeout_the_next_answer_may_be_slow() -> None:
    """Calls to a leader that is only busy must not fail again and again."""
    times = _after([0.003] * 20)
    times.record_timeout("vm1")
    assert times.timeout_s("vm1") >= 0.25


def test_a_slow_leader_gets_a_long_timeout() -> None:
    times = _after([0.05, 0.15] * 20)
    assert times.timeout_s("vm1") > 0.2


@hypothesis.given(strategies.lists(strategies.floats(0.0, 5.0)))
def test_the_timeout_is_bounded(took_s: list[float]) -> None:
    assert 0.1 <= _after(took_s).timeout_s("vm1") <= 0.25
