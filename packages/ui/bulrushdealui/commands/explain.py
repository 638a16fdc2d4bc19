"""The command `explain`."""

from collections.abc import Iterator
import json
import pathlib
from typing import Any, NamedTuple

from cleo.helpers import argument

from bulrushdeal import errors
from bulrushdealui.commands import base

# Log fields whose value is an id that `explain` searches for.
_ID_FIELDS = frozenset({"request", "job", "item", "upstream", "run", "key"})
# Shown at the beginning of a line, in this order.
_LEADING_FIELDS = ("time_s", "vm", "level", "part", "event")


class _Line(NamedTuple):
    """A log line; lines sort by time and then by line number.

    Attributes:
        time_s: The line's time.
        number: The line's index in its file.
        row: The line's fields.
    """

    time_s: float
    number: int
    row: dict[str, Any]


class ExplainCommand(base.Command):
    """Shows the log lines of one request, job or item in order of time."""

    name = "explain"
    description = "Show the log lines of one id, from the logs of many VMs."
    arguments = [
        argument("id", description="Of a request, a job, an item..."),
        argument("files", description="Logs of VMs.", multiple=True),
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        found = sorted(
            line
            for name in self.argument("files")
            for line in _matching_lines(pathlib.Path(name), self.argument("id"))
        )
        if not found:
            raise errors.UserError(
                f"No log line contains the id {self.argument('id')}."
            )
        for line in found:
            self.show(_format_row(line.row))


def _matching_lines(path: pathlib.Path, wanted: str) -> Iterator[_Line]:
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for number, text in enumerate(file):
                row = _parse_event(text)
                if row is not None and _mentions(row, wanted):
                    yield _Line(float(row["time_s"]), number, row)
    except OSError as error:
        raise errors.UserError(f"{path}: {error.strerror}") from error


def _parse_event(text: str) -> dict[str, Any] | None:
    """Parses an event line; returns `None` for any other line of the log."""
    start = text.find("{")
    try:
        row = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    if not isinstance(row, dict) or "event" not in row:
        return None
    return row if isinstance(row.get("time_s"), float) else None


def _mentions(row: dict[str, Any], wanted: str) -> bool:
    return any(
        value == wanted or (isinstance(value, list) and wanted in value)
        for name, value in row.items()
        if name in _ID_FIELDS or name == "tried"
    )


def _format_row(row: dict[str, Any]) -> str:
    leading = " ".join(str(row.get(name, "-")) for name in _LEADING_FIELDS)
    rest = " ".join(
        f"{name}={value}"
        for name, value in row.items()
        if name not in _LEADING_FIELDS
    )
    return f"{leading}: {rest}"
