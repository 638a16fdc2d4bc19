"""Tests the state of a claimed job and the table of such jobs."""

from gateway import dialect
from gateway import jobrecords
from gateway import jobstate

_META = jobrecords.JobMeta(
    "j1", "school", "h", "/b/j1", 0, ("i0", "i1"), 1, 3, 60.0, 18.0
)
_ITEMS = tuple(
    dialect.JobItem(name, "/b/x", {}, b"body") for name in _META.items
)


def _at(now_s: float) -> jobstate.Moment:
    return jobstate.Moment(now_s, now_s, 5.0)


def _take(state: jobstate.JobState) -> jobstate.ItemState:
    item = state.ready(_at(0.0))[0]
    assert state.take(item)
    return item


def _late(state: jobstate.JobState, now_s: float) -> list[bool]:
    moment = _at(now_s)
    return [
        state.priority(item, moment).is_late for item in state.ready(moment)
    ]


def _state(revision: int) -> jobstate.JobState:
    return jobstate.JobState(_META, _ITEMS, jobstate.HeldClaim(revision), ())


def test_a_job_that_is_handed_in_twice_has_one_state() -> None:
    """A scan finds the claim of a job that is just being accepted.

    Both add the job to the table. With two states each item would run twice
    at once, and one state would write results under an outdated claim.
    """
    table = jobstate.JobTable()
    accepted, scanned = _state(10), _state(12)
    assert table.add(accepted) is accepted
    item = _take(accepted)
    assert table.add(scanned) is accepted
    assert accepted.claim.revision == 12
    assert table.add(_state(10)) is accepted
    assert accepted.claim.revision == 12
    assert not accepted.take(item)
    assert accepted.count_running() == 1


def test_a_job_that_was_removed_is_dropped() -> None:
    table = jobstate.JobTable()
    state = table.add(_state(10))
    assert table.remove("j1")
    assert state.is_dropped
    assert not table.remove("j1")
    assert table.get("j1") is None


def test_an_item_with_a_result_is_not_put_back() -> None:
    """A run cleans up after its result was written.

    If this put the item back, it would run again and be listed at two
    positions.
    """
    state = _state(10)
    item = _take(state)
    state.mark_listed(item)
    state.put_back(item)
    assert state.count_pending() == 1
    assert state.next_position == 1
    last = _take(state)
    row = dialect.ItemResult(last.item.item, True, "")
    assert state.are_last([jobstate.FinishedItem(last, row)])
    assert not state.are_last([])
    state.put_back(last)
    assert not state.are_last([])
    assert state.without_result() == [last]


def test_an_item_that_cannot_be_in_time_waits_for_others() -> None:
    """A job is due after 18 s and an item takes 5 s.

    An item that starts after 14 s is late in any case, so items that can still
    be in time run first.
    """
    state = _state(10)
    assert _late(state, 12.0) == [False, False]
    assert _late(state, 14.0) == [True, True]
    # An item that ran for three seconds before it broke off is still in time.
    item = _take(state)
    item.begin(0.0)
    item.output.append("data 1")
    item.end(3.0)
    state.put_back(item)
    assert _late(state, 14.0) == [False, True]


def test_a_run_without_output_counts_as_no_progress() -> None:
    """An upstream sends nothing for seconds until its connection is closed."""
    item = _take(_state(10))
    item.begin(0.0)
    item.end(3.0)
    assert item.elapsed_s(3.0) == 0.0


def test_progress_on_another_vm_counts_after_a_takeover() -> None:
    """All VMs lose power with items nearly done.

    If the items were treated as new, they would wait behind others and be
    late.
    """
    before, after = _state(10), _state(12)
    item = _take(before)
    item.output.append("data 1")
    item.ran_s = 4.0
    after.restore_progress((item.progress(),))
    assert [row.elapsed_s(20.0) for row in after.ready(_at(20.0))] == [4.0, 0.0]


def test_progress_of_an_older_build_does_not_go_on() -> None:
    """Guards against joining it with what another software version writes."""
    state = _state(10)
    item = state.ready(_at(0.0))[0]
    name = item.item.item
    state.restore_progress((jobrecords.Progress(name, ("data 1",), 1, 0),))
    assert not item.may_go_on()
    item.discard_output()
    assert (item.output, item.last_event, item.origin) == ([], None, None)


def test_an_item_that_waited_long_is_not_ranked_last_forever() -> None:
    """Engines are overloaded, and late items never get a slot.

    They would be given up at the end of their retention, so they are no longer
    ranked last when two run lengths of it are left.
    """
    state = _state(10)
    assert _late(state, 49.0) == [True, True]
    assert _late(state, 51.0) == [False, False]


def test_an_item_must_begin_earlier_where_items_are_preempted() -> None:
    """Items that began as late as their bare run allowed ended late."""
    state = _state(10)
    stretched = _at(7.9)._replace(stretch=2.0)
    item = state.ready(stretched)[0]
    assert not state.priority(item, stretched).is_late
    stretched = _at(8.1)._replace(stretch=2.0)
    assert state.priority(item, stretched).is_late
    assert not state.priority(item, _at(8.1)).is_late


def test_the_span_of_an_item_counts_its_interruptions() -> None:
    item = _take(_state(10))
    item.begin(1.0)
    item.output.append("data 1")
    item.end(3.0)
    item.begin(6.0)
    assert item.span_s(8.0) == 7.0
    assert item.elapsed_s(8.0) == 4.0
