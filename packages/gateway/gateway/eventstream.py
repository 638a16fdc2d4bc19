"""Splits and parses streams of server-sent events."""

import re
from typing import NamedTuple

# A longer number is not taken for the id of an event.
_EVENT_ID = re.compile(rb"[0-9]{1,18}")
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_MAX_PARTIAL_BYTES = 256 * 1024
# What may be read until the next event has come. Framing counts, and so does
# what is read ahead.
MAX_UNFINISHED_BYTES = 2 * _MAX_PARTIAL_BYTES


class Event(NamedTuple):
    """One server-sent event.

    Attributes:
        event_id: The id; `None` if it is missing or not a number.
        data: The data lines joined by line feeds; `None` if there are none.
    """

    event_id: int | None
    data: str | None


class EventTooLongError(Exception):
    """An event exceeds the size limit before its end."""


class EventEncodingError(Exception):
    """An event is not UTF-8."""


class Splitter:
    """Buffers an incomplete event until the rest of it arrives.

    If an upstream breaks off inside an event and the incomplete event had been
    relayed, the caller would join it with the first event of the next
    upstream.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def feed(self, data: bytes) -> bytes:
        """Returns the complete events among the bytes fed so far.

        Raises:
            EventTooLongError: The incomplete event exceeds the size limit.
        """
        data = self._partial + data if self._partial else data
        if data.endswith(_EVENT_ENDS):
            self._partial = b""
            return data
        whole_bytes = max(
            data.rfind(end) + len(end) if end in data else 0
            for end in _EVENT_ENDS
        )
        self._partial = data[whole_bytes:]
        if len(self._partial) > _MAX_PARTIAL_BYTES:
            raise EventTooLongError
        return data[:whole_bytes]


def parse(whole: bytes) -> list[Event]:
    """Parses a sequence of complete events.

    Raises:
        EventEncodingError: One of them is not UTF-8.
    """
    text = whole.replace(b"\r\n", b"\n")
    return [_parse_event(part) for part in text.split(b"\n\n") if part.strip()]


def last_event_id(whole: bytes) -> int | None:
    """Returns the id in the last `id` line; `None` if it is not a number."""
    # This runs for every event of every stream, so it avoids `parse`.
    line_start = whole.rfind(b"\nid:") + 1
    if line_start == 0 and not whole.startswith(b"id:"):
        return None
    line = whole[line_start + 3 :].split(b"\n", 1)[0].strip()
    return _event_id(line)


def _parse_event(part: bytes) -> Event:
    event_id: int | None = None
    data: list[str] = []
    for line in part.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = _event_id(value.strip())
        if name == b"data":
            data.append(_decode(value))
    return Event(event_id, "\n".join(data) if data else None)


def _event_id(text: bytes) -> int | None:
    return int(text) if _EVENT_ID.fullmatch(text) else None


def _decode(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise EventEncodingError(str(error)) from error
