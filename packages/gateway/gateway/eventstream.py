"""Server-sent events: whole ones, their ids and their data."""

from typing import NamedTuple

_ENDS = (b"\n\n", b"\r\n\r\n")
_MAX_HELD_BYTES = 4_000_000


class Event(NamedTuple):
    """One event.

    Attributes:
        number: Its id; `None` if it has none that is a number.
        data: Its data, lines joined by line feeds; `None` if it has none.
    """

    number: int | None
    data: str | None


class TooLongError(Exception):
    """An event has no end within reason."""


class Splitter:
    """Holds back the part of an event that has not come whole.

    The failure: an upstream breaks off inside an event; what follows from
    another upstream would be read together with the part as one event.
    """

    def __init__(self) -> None:
        self._held = b""

    @property
    def has_part(self) -> bool:
        """Whether a part of an event is held back."""
        return bool(self._held.strip())

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events in what has come so far.

        Raises:
            TooLongError: The held part is too long for any event.
        """
        data = self._held + data if self._held else data
        if data.endswith(_ENDS):
            self._held = b""
            return data
        cut = max(
            data.rfind(end) + len(end) if end in data else 0 for end in _ENDS
        )
        self._held = data[cut:]
        if len(self._held) > _MAX_HELD_BYTES:
            raise TooLongError
        return data[:cut]


def parse(whole: bytes) -> list[Event]:
    """Returns the events in a run of whole ones."""
    text = whole.replace(b"\r\n", b"\n")
    return [_event(part) for part in text.split(b"\n\n") if part.strip()]


def last_number(whole: bytes) -> int | None:
    """Returns the id of the last event that has one."""
    # For each event of each stream, so not by way of `parse`.
    at = whole.rfind(b"\nid:") + 1
    if at == 0 and not whole.startswith(b"id:"):
        return None
    line = whole[at + 3 :].split(b"\n", 1)[0].strip()
    return int(line) if line.isdigit() else None


def _event(part: bytes) -> Event:
    number: int | None = None
    data: list[str] = []
    for line in part.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.strip().isdigit():
            number = int(value)
        if name == b"data":
            data.append(value.decode("utf-8", "surrogateescape"))
    return Event(number, "\n".join(data) if data else None)
