"""A job that a VM runs, and the table of them."""

from gateway import dialect
from gateway import jobrecords
from gateway import jobstate

_META = jobrecords.JobMeta(
    "j1", "school", "h", "/b/j1", 0, ("i0", "i1"), 1, 3, 60.0, 18.0
)
_ITEMS = tuple(
    dialect.JobItem(name, "/b/x", {}, b"body") for name in _META.items
)


def _want(
    now_s: float = 0.0, *, run_s: float = 5.0, is_late: bool = False
) -> jobstate.Want:
    return jobstate.Want(now_s, now_s, run_s, is_late)


def _state(revision: int) -> jobstate.JobState:
    return jobstate.JobState(_META, _ITEMS, revision, ())


def test_a_job_that_is_handed_in_twice_has_one_state() -> None:
    """A scan finds the claim of a job that is being accepted.

    Both hand the job in. With two states each item would run twice at once,
    and the results of one would be written under a claim that has changed.
    """
    table = jobstate.JobTable()
    accepted, scanned = _state(10), _state(12)
    assert table.add(accepted) is accepted
    item = accepted.next_item(_want())
    assert table.add(scanned) is accepted
    assert accepted.claim_revision == 12
    assert table.add(_state(10)) is accepted
    assert accepted.claim_revision == 12
    assert item is not None
    assert accepted.count_running() == 1


def test_a_job_that_was_removed_is_dropped() -> None:
    table = jobstate.JobTable()
    state = table.add(_state(10))
    assert table.remove("j1")
    assert state.is_dropped
    assert not table.remove("j1")
    assert table.get("j1") is None


def test_an_item_with_a_result_is_not_put_back() -> None:
    """A run ends after its result was written, and then cleans up.

    An item put back then would run again, and stand at two positions.
    """
    state = _state(10)
    item = state.next_item(_want())
    assert item is not None
    state.note_listed(item)
    state.put_back(item)
    assert state.count_pending() == 1
    assert state.next_position == 1
    last = state.next_item(_want())
    assert last is not None
    assert state.is_last()
    state.put_back(last)
    assert not state.is_last()
    assert state.unlisted() == [last]


def test_an_item_that_cannot_be_in_time_waits_for_others() -> None:
    """A job is due after 18 s and an item takes 5 s.

    Begun after 14 s it is late whatever is done; others may yet be in time.
    """
    state = _state(10)
    assert state.count_ready(_want(12.0)) == 2
    assert state.count_ready(_want(14.0)) == 0
    assert state.count_ready(_want(14.0, is_late=True)) == 2
    # One that ran for three seconds before it was broken off is still in time.
    item = state.next_item(_want())
    assert item is not None
    item.ran_s = 3.0
    state.put_back(item)
    assert state.next_item(_want(14.0)) is item


def test_an_item_that_waited_long_does_not_wait_for_ever() -> None:
    """Engines are overloaded for so long that late items never get a slot.

    They would be given up at the end of their retention.
    """
    state = _state(10)
    assert state.count_ready(_want(29.0)) == 0
    assert state.count_ready(_want(31.0)) == 2
