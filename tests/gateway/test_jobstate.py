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
    item = accepted.next_item(0.0)
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
    item = state.next_item(0.0)
    assert item is not None
    state.note_listed(item)
    state.put_back(item)
    assert state.count_pending() == 1
    assert state.next_position == 1
    last = state.next_item(0.0)
    assert last is not None
    assert state.is_last()
    state.put_back(last)
    assert not state.is_last()
    assert state.unlisted() == [last]
