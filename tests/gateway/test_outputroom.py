"""Tests what the outputs of unfinished items may hold."""

from hypothesis import given
from hypothesis import strategies as st

from gateway import dialect
from gateway import jobrecords
from gateway import jobstate
from gateway import outputroom

_LIMIT_BYTES = 1_000_000
_TEXT = "x" * 1000


def _job(name: str, items: int) -> jobstate.JobState:
    ids = tuple(f"{name}.{number}" for number in range(items))
    meta = jobrecords.JobMeta(
        name, "school", "h", f"/b/{name}", 0, ids, 1, 3, 60.0, 18.0
    )
    rows = tuple(dialect.JobItem(row, "/b/x", {}, b"") for row in ids)
    return jobstate.JobState(meta, rows, jobstate.HeldClaim(1), ())


def _write(item: jobstate.ItemState, texts: int) -> None:
    for _ in range(texts):
        item.add_output(_TEXT)


@given(st.lists(st.text(max_size=700), max_size=20))
def test_an_output_is_the_same_in_few_texts(texts: list[str]) -> None:
    (item,) = _job("j", 1).without_result()
    for text in texts:
        item.add_output(text)
    assert item.completed().output == "\n".join(texts)
    other = jobstate.ItemState(item.item)
    other.restore_progress(item.progress())
    assert other.completed() == item.completed()
    item.discard_output()
    assert (item.completed().output, item.output_bytes) == ("", 0)


def test_short_texts_are_kept_as_few() -> None:
    """Guards against an output of tiny events that fills a VM's memory."""
    (item,) = _job("j", 1).without_result()
    for _ in range(10_000):
        item.add_output("xx")
    assert len(item.output) < 50


def test_without_room_the_largest_outputs_go_first() -> None:
    """Guards against outputs that are given up for another without end."""
    table = jobstate.JobTable()
    states = [table.add(_job(name, 10)) for name in ("a", "b")]
    room = outputroom.OutputRoom(table, _LIMIT_BYTES)
    *small, endless = [row for job in states for row in job.without_result()]
    for item in small:
        _write(item, 20)
    assert all(map(room.has_room, [*small, endless]))
    _write(endless, 600)
    assert room.has_room(endless)
    _write(endless, 100)
    for item in small:
        _write(item, 20)
    assert all(map(room.has_room, small))
    assert not room.has_room(endless)
    endless.discard_output()
    _write(endless, 20)
    assert room.has_room(endless)
