"""The commands `table show`, `table set`, `table export` and `table import`."""

import pathlib
from typing import Any

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdeal import errors
from bulrushdealui import api
from bulrushdealui import tables
from bulrushdealui.commands import base
from bulrushdealui.commands import customer

_CSV_HEADERS = {"Content-Type": "text/csv"}


class ShowCommand(base.OperatorCommand):
    """Shows the table, with the revision of each row for later edits."""

    name = "table show"
    description = "Show the table of weights and limits."

    def run_command(self) -> None:
        """See `base.Command`."""
        value = self.client().read_value("/v1/customers")
        self.show_rows(value, "customers", (*customer.COLUMNS, "revision"))


class SetCommand(base.OperatorCommand):
    """Changes one cell, unless another user changed it in the meantime."""

    name = "table set"
    description = "Change one cell of the table."
    arguments = [
        argument("customer", description="The row."),
        argument("column", description="The column."),
        argument("value", description="The new value."),
    ]
    options = [
        option(
            "revision",
            description="The revision shown when you looked; if the cell has"
            " changed since, the edit is refused and both values are shown.",
            flag=False,
        )
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        name = self.argument("customer")
        column = self.argument("column")
        if column not in customer.COLUMNS[1:]:
            allowed = ", ".join(customer.COLUMNS[1:])
            raise errors.UserError(
                f"{column}: no such column; allowed: {allowed}."
            )
        value = self.number(column, self.argument("value"))
        client = self.client()
        row = _find_row(client, name)
        edit = {"column": column, "value": value}
        if self.option("revision") is not None:
            edit["expected_revision"] = _parse_revision(self.option("revision"))
        else:
            edit["expected_revision"] = row.get("revision", 0)
            edit["expected_value"] = row[column]
        path = f"/v1/customers/{base.quote(name)}"
        self.show_fields(client.change("PATCH", path, edit))


class ExportCommand(base.OperatorCommand):
    """Writes the table to a file."""

    name = "table export"
    description = "Write the table as CSV to a file, or to - for the screen."
    arguments = [argument("file", description="The file.")]

    def run_command(self) -> None:
        """See `base.Command`."""
        answer = self.client().read("/v1/table.csv")
        if self.argument("file") == "-":
            self.show(answer.body.decode().rstrip("\n"))
            return
        pathlib.Path(self.argument("file")).write_bytes(answer.body)
        self.show(f"Wrote {len(answer.body)} bytes.")


class ImportCommand(base.OperatorCommand):
    """Changes the table to the content of a file."""

    name = "table import"
    description = "Change the table to what a CSV file says."
    arguments = [argument("file", description="The file.")]
    options = [option("dry-run", description="Only show what would change.")]

    def run_command(self) -> None:
        """See `base.Command`."""
        body = pathlib.Path(self.argument("file")).read_bytes()
        query = "?dry_run=1" if self.option("dry-run") else ""
        value = self.client().send(f"/v1/table.csv{query}", body, _CSV_HEADERS)
        if self.option("json"):
            self.show(tables.as_json(value))
            return
        self.show(
            tables.as_text(_cell_changes(tables.rows_of(value, "changed")))
        )


def _cell_changes(rows: list[tables.Row]) -> list[tables.Row]:
    """Returns a row for each cell that changes."""
    changes: list[tables.Row] = []
    for row in rows:
        old = row.get("old") or {}
        for column in customer.COLUMNS[1:]:
            new_value = row["new"].get(column)
            if old.get(column) != new_value:
                changes.append(
                    {
                        "customer": row["customer"],
                        "column": column,
                        "old": old.get(column, "new row"),
                        "new": new_value,
                    }
                )
    return changes


def _find_row(client: api.Client, name: str) -> tables.Row:
    value = client.read_value("/v1/customers")
    for row in tables.rows_of(value, "customers"):
        if row.get("customer") == name:
            return row
    raise errors.UserError(f"{name}: no such customer.")


def _parse_revision(text: str) -> Any:
    try:
        return int(text)
    except ValueError:
        raise errors.UserError(
            f"--revision: {text!r} is no whole number."
        ) from None
