"""The commands `key create`, `key list` and `key withdraw`."""

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdealui.commands import base


class CreateCommand(base.OperatorCommand):
    """Issues a key and prints it; it cannot be shown again."""

    name = "key create"
    description = "Issue a key to a customer; it is shown only this once."
    arguments = [argument("customer", description="The customer's name.")]
    options = [
        option("label", description="A name to recognise it by.", flag=False)
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        customer = base.quote(self.argument("customer"))
        value = self.client().change(
            "POST",
            f"/v1/customers/{customer}/keys",
            {"label": self.option("label") or ""},
        )
        self.show_fields(value)


class ListCommand(base.OperatorCommand):
    """Lists the keys, each by its hash."""

    name = "key list"
    description = "List the keys, each by its hash."

    def run_command(self) -> None:
        """See `base.Command`."""
        value = self.client().read_value("/v1/keys")
        self.show_rows(value, "keys")


class WithdrawCommand(base.OperatorCommand):
    """Withdraws a key permanently."""

    name = "key withdraw"
    description = "Withdraw a key for good; its open streams end too."
    arguments = [
        argument("hash", description="The beginning of the key's hash.")
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        path = f"/v1/keys/{base.quote(self.argument('hash'))}"
        self.show_fields(self.client().change("DELETE", path))
