"""The token buckets of customers."""

import hypothesis
from hypothesis import strategies as st

from gateway.decisions import tokens


@hypothesis.given(
    st.floats(1, 40),
    st.floats(1, 40),
    st.lists(st.floats(0, 0.4), max_size=200),
)
def test_no_window_exceeds_rate_and_burst(
    rate_per_s: float, burst: float, pauses_s: list[float]
) -> None:
    bucket = tokens.Bucket(burst, 0.0)
    now_s, taken = 0.0, []
    for pause_s in pauses_s:
        now_s += pause_s
        if bucket.take(rate_per_s, burst, now_s) is None:
            taken.append(now_s)
    for begin_s in taken:
        inside = [at for at in taken if begin_s <= at <= begin_s + 5]
        assert len(inside) <= rate_per_s * 5 + burst + 1e-6


def test_a_refusal_gives_the_time_of_the_next_token() -> None:
    bucket = tokens.Bucket(1.0, 0.0)
    assert bucket.take(2.0, 1.0, 0.0) is None
    denied = bucket.take(2.0, 1.0, 0.1)
    assert denied is not None
    assert bucket.take(2.0, 1.0, 0.1 + denied.retry_after_s + 1e-6) is None


def test_a_clock_that_does_not_advance_adds_no_tokens() -> None:
    bucket = tokens.Bucket(1.0, 5.0)
    assert bucket.take(10.0, 1.0, 5.0) is None
    assert bucket.take(10.0, 1.0, 4.0) is not None


def _count_granted(
    bucket: tokens.OwnedBucket, begin_s: float, role: tokens.Role
) -> int:
    """Counts the tokens granted in 5 s to a customer with 40 per second."""
    return sum(
        bucket.take(40.0, 40.0, begin_s + at / 100, role) is None
        for at in range(500)
    )


def test_one_that_may_have_an_owner_beside_it_gives_half() -> None:
    """A VM does not reach a customer's owner, which other VMs reach.

    Both VMs would grant the whole rate within one window.
    """
    bucket = tokens.OwnedBucket(10.0, 5.0)
    assert _count_granted(bucket, 100.0, "doubtful") <= 10 + 0.5 * 40 * 5


def test_a_stand_in_starts_anew_after_a_pause() -> None:
    """A VM replaces the owner twice, a minute apart.

    The owner has granted the tokens that the VM's bucket gained meanwhile.
    """
    bucket = tokens.OwnedBucket(10.0, 5.0)
    for begin_s in (100.0, 160.0):
        assert (
            _count_granted(bucket, begin_s, "doubtful") <= 10 + 0.5 * 40 * 5 + 1
        )
    assert _count_granted(bucket, 220.0, "stand_in") <= 10 + 40 * 5


def test_an_owner_that_was_started_again_gives_the_whole_rate() -> None:
    """All processes are killed and restarted within a second.

    The callers come back at once. At half of the rate a third of the largest
    customers' requests was refused in those seconds.
    """
    bucket = tokens.OwnedBucket(10.0, 5.0)
    assert _count_granted(bucket, 100.0, "owner") >= 40 * 5
