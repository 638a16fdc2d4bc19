"""Prints rows for people, as JSON or as CSV."""

from collections.abc import Mapping, Sequence
import csv
import datetime
import io
import json
from typing import Any

from bulrushdeal import errors

Row = Mapping[str, Any]


def rows_of(value: Any, name: str) -> list[Row]:
    """Returns the rows in an answer, which stand under `name` in it.

    Raises:
        errors.UserError: The answer has another shape.
    """
    rows = value.get(name) if isinstance(value, dict) else value
    if not isinstance(rows, list):
        raise errors.UserError(f"The server's answer has no {name}.")
    return rows


def as_json(value: Any) -> str:
    """Returns a value as indented JSON."""
    return json.dumps(value, indent=2)


def as_text(rows: Sequence[Row], columns: Sequence[str] = ()) -> str:
    """Returns rows as columns of equal width, with a heading."""
    if not rows:
        return "(none)"
    names = list(columns) or _columns(rows)
    cells = [names] + [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [
        max(len(line[index]) for line in cells) for index in range(len(names))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def as_fields(value: Row) -> str:
    """Returns one row as a line for each field."""
    width = max((len(name) for name in value), default=0)
    return "\n".join(
        f"{name.ljust(width)}  {_cell(item)}" for name, item in value.items()
    )


def as_csv(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """Returns rows as CSV with a heading."""
    text = io.StringIO()
    writer = csv.DictWriter(
        text, columns, extrasaction="ignore", lineterminator="\n"
    )
    writer.writeheader()
    writer.writerows(rows)
    return text.getvalue()


def time_text(wall_s: Any) -> str:
    """Returns seconds since the epoch as a time in UTC."""
    if not wall_s:
        return ""
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%SZ}"


def _columns(rows: Sequence[Row]) -> list[str]:
    names: dict[str, None] = {}
    for row in rows:
        names.update(dict.fromkeys(row))
    return list(names)


def _cell(item: Any) -> str:
    if item is None or item == "":
        return "-"
    if isinstance(item, float):
        return f"{item:.12g}"
    if isinstance(item, list):
        return ",".join(_cell(part) for part in item) or "-"
    if isinstance(item, dict):
        return " ".join(f"{name}={_cell(part)}" for name, part in item.items())
    return str(item)
