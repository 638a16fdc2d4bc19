"""The operators' table of weights and limits: columns, checks and CSV."""

from collections.abc import Mapping
import csv
import io
import math
from typing import Any, NamedTuple

import result

from bulrushdeal import records

_MAX_NAME_CHARACTERS = 100
NAME_COLUMN = "customer"


class TableError(NamedTuple):
    """An invalid cell or line of the table.

    Attributes:
        line: The line of the file, 1 for the header; 0 if there is no file.
        column: The column's name, empty if the whole line is invalid.
        message: The fault and the allowed values.
    """

    line: int
    column: str
    message: str


class Column(NamedTuple):
    """A numeric column.

    Attributes:
        name: The field's name in `records.Customer`.
        low: The least value allowed.
        high: The greatest value allowed.
    """

    name: str
    low: float
    high: float


COLUMNS = (
    Column("weight", 0.001, 1_000_000.0),
    Column("rate_per_s", 0.0, 1_000_000.0),
    Column("burst", 0.0, 1_000_000.0),
    Column("batch_weight", 0.001, 1_000_000.0),
)
_COLUMNS_BY_NAME = {column.name: column for column in COLUMNS}
HEADER = (NAME_COLUMN, *_COLUMNS_BY_NAME)


def check_name(name: Any, line: int = 0) -> result.Result[str, TableError]:
    """Checks a customer's name.

    A name begins with a letter or digit of any script, so that spreadsheets
    do not take it for a formula, and has no slash, since it is part of a URL
    path.
    """
    problem = TableError(
        line,
        NAME_COLUMN,
        f"{name!r} is not a name: it begins with a letter or digit, has no"
        f" slash or control character, no space at its end, and up to"
        f" {_MAX_NAME_CHARACTERS} characters.",
    )
    if not isinstance(name, str) or not name[:1].isalnum():
        return result.Err(problem)
    if len(name) > _MAX_NAME_CHARACTERS or name != name.strip():
        return result.Err(problem)
    if not name.isprintable() or "/" in name:
        return result.Err(problem)
    return result.Ok(name)


def check_cell(
    column: str, value: Any, line: int = 0
) -> result.Result[float, TableError]:
    """Checks the value of a cell, given as a number or as text."""
    bounds = _COLUMNS_BY_NAME.get(column)
    if bounds is None:
        names = ", ".join(_COLUMNS_BY_NAME)
        return result.Err(
            TableError(line, column, f"No such column; there are {names}.")
        )
    problem = TableError(
        line,
        column,
        f"{value!r} is not a number from {bounds.low:g} to {bounds.high:g}.",
    )
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        return result.Err(problem)
    try:
        number = float(value)
    except (ValueError, OverflowError):
        return result.Err(problem)
    if not math.isfinite(number) or not bounds.low <= number <= bounds.high:
        return result.Err(problem)
    return result.Ok(number)


def check_row(
    values: Mapping[str, Any], line: int = 0
) -> result.Result[records.Customer, TableError]:
    """Checks a whole row; a column that is not given has its default."""
    name = check_name(values.get(NAME_COLUMN), line)
    if name.is_err():
        return result.Err(name.unwrap_err())
    cells: dict[str, float] = {}
    for column, value in values.items():
        if column == NAME_COLUMN:
            continue
        cell = check_cell(column, value, line)
        if cell.is_err():
            return result.Err(cell.unwrap_err())
        cells[column] = cell.unwrap()
    return result.Ok(records.Customer(name.unwrap(), **cells))


def with_cell(
    row: records.Customer, column: str, value: float
) -> records.Customer:
    """Returns the row with one checked cell changed."""
    cells: dict[str, Any] = {column: value}
    return row._replace(**cells)


def write_csv(rows: tuple[records.Customer, ...]) -> str:
    """Returns the table as CSV, with a header."""
    text = io.StringIO()
    writer = csv.writer(text)
    writer.writerow(HEADER)
    for row in rows:
        writer.writerow((row.customer, *map(_format_number, row[1:])))
    return text.getvalue()


def _format_number(value: float) -> str:
    return repr(int(value)) if value.is_integer() else repr(value)


def read_csv(
    text: str,
) -> result.Result[tuple[records.Customer, ...], tuple[TableError, ...]]:
    """Reads a table from CSV with all columns, in any order.

    Returns:
        All rows, or all errors found.
    """
    reader = csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
    try:
        lines = [(reader.line_num, cells) for cells in reader]
    except csv.Error as error:
        return result.Err((TableError(reader.line_num, "", str(error)),))
    if not lines:
        return result.Err((TableError(1, "", "The file is empty."),))
    header = [name.strip() for name in lines[0][1]]
    errors = _check_header(header)
    if errors:
        return result.Err(errors)
    return _read_lines(header, lines[1:])


def _check_header(header: list[str]) -> tuple[TableError, ...]:
    errors = [
        TableError(1, name, "The column is missing.")
        for name in HEADER
        if name not in header
    ]
    errors += [
        TableError(1, name, "No such column.")
        for name in header
        if name not in HEADER
    ]
    if not errors and len(header) != len(HEADER):
        errors.append(TableError(1, "", "A column is given twice."))
    return tuple(errors)


def _read_lines(
    header: list[str], lines: list[tuple[int, list[str]]]
) -> result.Result[tuple[records.Customer, ...], tuple[TableError, ...]]:
    rows: dict[str, records.Customer] = {}
    errors: list[TableError] = []
    for line, cells in lines:
        if not cells:
            continue
        if len(cells) != len(header):
            message = f"{len(cells)} cells where the header has {len(header)}."
            errors.append(TableError(line, "", message))
            continue
        checked = check_row(dict(zip(header, cells, strict=True)), line)
        if checked.is_err():
            errors.append(checked.unwrap_err())
            continue
        row = checked.unwrap()
        if row.customer in rows:
            message = f"{row.customer!r} is given twice."
            errors.append(TableError(line, NAME_COLUMN, message))
        rows[row.customer] = row
    return (
        result.Err(tuple(errors)) if errors else result.Ok(tuple(rows.values()))
    )
