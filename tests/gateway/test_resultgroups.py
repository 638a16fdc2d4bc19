"""Which results of a job are written together."""

import random

from gateway.decisions import resultgroups


def test_a_result_waits_only_for_others_that_may_come() -> None:
    assert resultgroups.wait_s(10.0, 3) > 0
    assert resultgroups.wait_s(10.0, 0) == 0


def test_a_result_of_a_job_that_is_due_does_not_wait() -> None:
    assert resultgroups.wait_s(1.0, 3) == 0
    assert resultgroups.wait_s(-1.0, 3) == 0


def test_items_that_start_together_take_fewer_changes() -> None:
    """Ten items begin within half a second and take five seconds each."""
    rng = random.Random(7)
    changes = 0
    for _ in range(100):
        ends_s = sorted(
            5.0 + rng.uniform(0.0, 0.5) + rng.gauss(0.0, 0.3) for _ in range(10)
        )
        written_s = -1.0
        for number, end_s in enumerate(ends_s):
            if end_s > written_s:
                changes += 1
                left = len(ends_s) - number - 1
                written_s = end_s + resultgroups.wait_s(10.0, left)
    assert changes < 100 * 6
