"""The commands `customer list`, `customer create` and `customer delete`."""

from typing import Any

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdeal import records
from bulrushdealui.commands import base

COLUMNS = records.Customer._fields


class ListCommand(base.OperatorCommand):
    """Lists the customers with their weights and limits."""

    name = "customer list"
    description = "List the customers with their weights and limits."

    def run_command(self) -> None:
        """See `base.Command`."""
        value = self.client().read_value("/v1/customers")
        self.show_rows(value, "customers", (*COLUMNS, "revision"))


class CreateCommand(base.OperatorCommand):
    """Creates a customer."""

    name = "customer create"
    description = "Create a customer; limits not given take their defaults."
    arguments = [argument("customer", description="The customer's name.")]
    options = [
        option(column.replace("_", "-"), description="A number.", flag=False)
        for column in COLUMNS[1:]
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        name = self.argument("customer")
        row: dict[str, Any] = records.Customer(name)._asdict()
        for column in COLUMNS[1:]:
            text = self.option(column.replace("_", "-"))
            if text is not None:
                row[column] = self.number(column, text)
        # Makes the server refuse to replace an existing row.
        row["expected_revision"] = 0
        path = f"/v1/customers/{base.quote(name)}"
        self.show_fields(self.client().change("PUT", path, row))


class DeleteCommand(base.OperatorCommand):
    """Deletes a customer."""

    name = "customer delete"
    description = "Delete a customer; its keys stop working."
    arguments = [argument("customer", description="The customer's name.")]

    def run_command(self) -> None:
        """See `base.Command`."""
        path = f"/v1/customers/{base.quote(self.argument('customer'))}"
        self.show_fields(self.client().change("DELETE", path))
