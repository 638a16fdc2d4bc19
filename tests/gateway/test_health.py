"""Tests of what is known of upstreams that failed."""

from gateway import health


def test_an_upstream_is_doubtful_until_it_sends_data() -> None:
    """Guards against avoiding one that only lost an answer."""
    known = health.Health()
    known.record_break("i-0")
    known.record_break("i-1")
    assert known.doubtful() == {"i-0", "i-1"}
    assert not known.avoided()
    known.record_data("i-0")
    assert known.doubtful() == {"i-1"}
    known.record_success("i-1")
    assert not known.doubtful()


def test_an_upstream_that_is_gone_is_forgotten() -> None:
    """Guards against state that grows with each upstream that crashed."""
    known = health.Health()
    known.record_break("i-0")
    known.record_failure("i-1", "refused")
    known.retain(())
    assert not known.doubtful()
    assert not known.avoided()
