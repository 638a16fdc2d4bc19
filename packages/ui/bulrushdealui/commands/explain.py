"""`explain`."""

from collections.abc import Iterator
import json
import pathlib
from typing import Any, NamedTuple

from cleo.helpers import argument

from bulrushdeal import errors
from bulrushdealui.commands import base

# Fields that hold an id which a person may ask for.
_IDS = frozenset({"request", "job", "item", "upstream", "run", "key"})
# Shown at the beginning of a line, in this order.
_FIRST = ("time_s", "vm", "level", "part", "event")


class _Line(NamedTuple):
    time_s: float
    number: int
    row: dict[str, Any]


class ExplainCommand(base.Command):
    """Shows what became of one request, job or item."""

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
            for line in _lines(pathlib.Path(name), self.argument("id"))
        )
        if not found:
            raise errors.UserError(f"No line names {self.argument('id')}.")
        for line in found:
            self.show(_text(line.row))


def _lines(path: pathlib.Path, wanted: str) -> Iterator[_Line]:
    try:
        with path.open(encoding="utf-8", errors="replace") as rows:
            for number, text in enumerate(rows):
                row = _row(text)
                if row is not None and _names(row, wanted):
                    yield _Line(float(row["time_s"]), number, row)
    except OSError as error:
        raise errors.UserError(f"{path}: {error.strerror}") from error


def _row(text: str) -> dict[str, Any] | None:
    """Returns a line's object; a log may hold other lines besides."""
    at = text.find("{")
    try:
        row = json.loads(text[at:]) if at >= 0 else None
    except ValueError:
        return None
    if not isinstance(row, dict) or "event" not in row:
        return None
    return row if isinstance(row.get("time_s"), float) else None


def _names(row: dict[str, Any], wanted: str) -> bool:
    return any(
        value == wanted or (isinstance(value, list) and wanted in value)
        for name, value in row.items()
        if name in _IDS or name == "tried"
    )


def _text(row: dict[str, Any]) -> str:
    first = " ".join(str(row.get(name, "-")) for name in _FIRST)
    rest = " ".join(
        f"{name}={value}" for name, value in row.items() if name not in _FIRST
    )
    return f"{first}: {rest}"
