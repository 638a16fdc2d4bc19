"""Tests that replicas updated by deltas equal the original lists."""

import hypothesis
from hypothesis import strategies

from bulrushdeal import codec
from gateway import deltas
from gateway import joblisting
from gateway import jobrecords
from gateway import storereaders

_LISTS = strategies.lists(
    strategies.dictionaries(
        strategies.sampled_from("abcdef"), strategies.integers(0, 2)
    ),
    min_size=1,
    max_size=30,
)


@hypothesis.given(_LISTS, strategies.data())
def test_replicas_equal_the_list_whatever_states_they_missed(
    states: list[dict[str, int]], data: strategies.DataObject
) -> None:
    history = deltas.History()
    replicas = [deltas.Replica() for _ in range(3)]
    for number, rows in enumerate(states):
        for copy in replicas:
            if not data.draw(strategies.booleans()):
                continue
            state = f"s{number}"
            delta = history.delta(copy.state, state, rows.copy)
            assert copy.apply(state, delta)
            assert copy.rows == rows


def test_a_delta_based_on_another_state_is_rejected() -> None:
    """A reader has restarted, so a delta is based on an unknown state."""
    copy = deltas.Replica()
    assert copy.apply("s1", deltas.Delta("", {"a": 1}, ()))
    assert not copy.apply("s3", deltas.Delta("s2", {"b": 1}, ("a",)))
    assert copy.state == ""
    assert copy.apply("s3", deltas.Delta("", {"b": 2}, ()))
    assert copy.rows == {"b": 2}


def test_the_rows_of_a_state_are_read_only_once() -> None:
    history = deltas.History()
    first = history.delta("", "s1", lambda: {"a": 1})
    again = history.delta("", "s1", lambda: {"a": 2})
    assert first.rows == again.rows == {"a": 1}


def _jobs(count: int) -> joblisting.JobRows:
    return joblisting.JobRows(
        tuple(f"{number:016x}" for number in range(count)),
        tuple(
            joblisting.ClaimRow(f"{number:016x}", "front-domain-12", number)
            for number in range(count)
        ),
        tuple(
            joblisting.BacklogRow(
                f"{number:032x}", jobrecords.Backlog(number), number
            )
            for number in range(100)
        ),
    )


def _sent_bytes(vms: int, base: str, rows: joblisting.JobRows) -> int:
    update = storereaders.ListUpdate("abcdef01.u1", 0.1, base, ())
    followed = storereaders.Followed(1, update, (), update, (), update, rows)
    return vms * len(codec.pack(followed))


def test_what_changes_each_second_does_not_fill_a_small_link() -> None:
    """165 VMs ask twice a second for a changing list of jobs.

    Sent whole, the list would fill a link of 15 Mbit/s.
    """
    history = deltas.History()
    before, after = _jobs(30), _jobs(32)
    history.delta("", "s1", before.rows_by_key)
    whole = _sent_bytes(165, "", after)
    delta = history.delta("s1", "s2", after.rows_by_key)
    changed = _sent_bytes(165, "s1", joblisting.from_rows_by_key(delta.rows))
    assert whole * 8 * 2 > 15e6
    assert changed * 8 * 2 < 15e6 * 0.1


def test_job_rows_are_restored_from_their_keyed_form() -> None:
    rows = _jobs(5)
    assert joblisting.from_rows_by_key(rows.rows_by_key()) == rows
