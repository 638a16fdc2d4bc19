"""Splitting and parsing of server-sent events."""

import hypothesis
from hypothesis import strategies as st
import pytest

from gateway import eventstream


def _stream(count: int, end: bytes = b"\n") -> bytes:
    return b"".join(
        b"id: %d%sdata: d%d%s%s" % (number, end, number, end, end)
        for number in range(1, count + 1)
    )


@hypothesis.given(
    st.lists(st.integers(1, 40), min_size=1), st.sampled_from([b"\n", b"\r\n"])
)
def test_events_are_complete_however_the_stream_is_split(
    sizes: list[int], end: bytes
) -> None:
    data, at = _stream(12, end), 0
    numbers: list[int | None] = []
    splitter = eventstream.Splitter()
    while at < len(data):
        size = sizes[len(numbers) % len(sizes)]
        whole = splitter.feed(data[at : at + size])
        at += size
        for event in eventstream.parse(whole):
            numbers.append(event.event_id)
            assert event.data == f"d{event.event_id}"
        if whole and numbers:
            assert eventstream.last_event_id(whole) == numbers[-1]
    assert numbers == list(range(1, 13))
    assert not splitter.has_partial_event


def test_an_incomplete_event_is_buffered() -> None:
    splitter = eventstream.Splitter()
    assert (
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    )
    assert splitter.has_partial_event


def test_an_event_without_end_is_an_error() -> None:
    splitter = eventstream.Splitter()
    with pytest.raises(eventstream.EventTooLongError):
        for _ in range(5):
            splitter.feed(b"x" * 1_000_000)


def test_data_lines_are_joined() -> None:
    (event,) = eventstream.parse(b"versions: 2\nid: 7\ndata: a\ndata: b\n\n")
    assert event == eventstream.Event(7, "a\nb")
    assert eventstream.last_event_id(b"data: x\n\n") is None


def test_an_event_that_is_not_utf8_is_an_error() -> None:
    """Guards against a text that no record of a result can hold."""
    with pytest.raises(eventstream.EventEncodingError):
        eventstream.parse(b"id: 1\ndata: a\n\nid: 2\ndata: b\xff\n\n")


@pytest.mark.parametrize("text", [b"9" * 5000, b"-1", b"1x", b""])
def test_an_id_that_counts_no_events_is_missing(text: bytes) -> None:
    """Guards against a number that takes too long to read, or fails to."""
    whole = b"id: " + text + b"\ndata: a\n\n"
    assert eventstream.parse(whole) == [eventstream.Event(None, "a")]
    assert eventstream.last_event_id(whole) is None
