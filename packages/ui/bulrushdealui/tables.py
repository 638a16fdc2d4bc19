"""Formats rows as text, JSON or CSV."""

from collections.abc import Mapping, Sequence
import csv
import datetime
import io
import json
from typing import Any

from bulrushdeal import errors

Row = Mapping[str, Any]


def rows_of(value: Any, name: str) -> list[Row]:
    """Returns the rows of an answer.

    Args:
        value: The decoded answer: an object, or the list of rows itself.
        name: The object's field that contains the rows.

    Raises:
        errors.UserError: The answer contains no such list.
    """
    rows = value.get(name) if isinstance(value, dict) else value
    if not isinstance(rows, list):
        raise errors.UserError(f"The server's answer has no {name}.")
    return rows


def as_json(value: Any) -> str:
    """Formats a value as indented JSON."""
    return json.dumps(value, indent=2)


def as_text(rows: Sequence[Row], columns: Sequence[str] = ()) -> str:
    """Formats rows as a table with aligned columns and a heading.

    Args:
        rows: The rows.
        columns: The columns to show; all that occur in the rows if empty.
    """
    if not rows:
        return "(none)"
    names = list(columns) or _column_names(rows)
    cells = [names] + [
        [_format_cell(row.get(name)) for name in names] for row in rows
    ]
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
    """Formats one row with a line for each field."""
    width = max((len(name) for name in value), default=0)
    return "\n".join(
        f"{name.ljust(width)}  {_format_cell(item)}"
        for name, item in value.items()
    )


def as_csv(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """Formats the given columns of rows as CSV with a heading."""
    text = io.StringIO()
    writer = csv.DictWriter(
        text, columns, extrasaction="ignore", lineterminator="\n"
    )
    writer.writeheader()
    writer.writerows(rows)
    return text.getvalue()


def time_text(wall_s: Any) -> str:
    """Formats seconds since the epoch as a time in UTC."""
    if not wall_s:
        return ""
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%SZ}"


def _column_names(rows: Sequence[Row]) -> list[str]:
    names: dict[str, None] = {}
    for row in rows:
        names.update(dict.fromkeys(row))
    return list(names)


def _format_cell(item: Any) -> str:
    if item is None or item == "":
        return "-"
    if isinstance(item, float):
        return f"{item:.12g}"
    if isinstance(item, list):
        return ",".join(_format_cell(part) for part in item) or "-"
    if isinstance(item, dict):
        return " ".join(
            f"{name}={_format_cell(part)}" for name, part in item.items()
        )
    return str(item)
