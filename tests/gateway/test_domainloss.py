"""Which failure domains count as cut off."""

from gateway.decisions import domainloss


def _miss(
    loss: domainloss.DomainLoss, now_s: float, *, refused: bool = False
) -> bool:
    return loss.record_miss("d", now_s, has_host_answered=refused)


def test_two_calls_without_any_answer_show_a_cut() -> None:
    loss = domainloss.DomainLoss()
    assert not _miss(loss, 0.0)
    assert _miss(loss, 0.2)
    assert loss.lost(0.3) == {"d"}
    assert not _miss(loss, 0.4)
    assert loss.record_answer("d", 0.5)
    assert not loss.lost(0.5)
    assert not loss.record_answer("d", 0.6)


def test_processes_that_start_again_together_show_no_cut() -> None:
    """All processes are killed; the last listens 0.6 s after the first.

    Each VM calls the others four times a second, and no connection is accepted
    until they listen.
    """
    loss = domainloss.DomainLoss()
    for step in range(10):
        assert not _miss(loss, step * 0.06, refused=True)
    loss.record_answer("d", 0.65)
    assert not _miss(loss, 2.0, refused=True)
    assert not loss.lost(2.0)


def test_a_cut_that_resets_connections_shows_a_little_later() -> None:
    loss = domainloss.DomainLoss()
    lost_s = next(
        step * 0.25
        for step in range(40)
        if _miss(loss, step * 0.25, refused=True)
    )
    assert 1.2 < lost_s <= 1.75


def test_a_single_refusal_after_a_long_time_shows_no_cut() -> None:
    loss = domainloss.DomainLoss()
    _miss(loss, 0.0, refused=True)
    assert not _miss(loss, 10.0, refused=True)


def test_a_domain_that_is_not_called_any_more_is_not_lost_for_ever() -> None:
    loss = domainloss.DomainLoss()
    _miss(loss, 0.0)
    _miss(loss, 0.1)
    assert loss.lost(5.0) == {"d"}
    assert not loss.lost(5.2)
    assert not _miss(loss, 5.3)
