"""The commands `upstream load`, `unload`, `adapter`, `role` and `orders`."""

from typing import Any

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdeal import errors
from bulrushdealui.commands import base

_UPSTREAM_ARGUMENT = argument("upstream", description="The engine.")
# Not `--version`, which cleo gives every command for the program's version.
_VERSION_OPTION = option(
    "model-version", description="Which weights.", flag=False
)
_COLUMNS = (
    "upstream",
    "number",
    "action",
    "model",
    "version",
    "base",
    "role",
    "state",
    "reason",
)


class _OrderCommand(base.OperatorCommand):
    """Base of the commands that send an order to an engine.

    `upstream orders` shows the state of the orders sent.
    """

    def send_order(self, **fields: str | None) -> None:
        """Sends an order with those of the fields that are not empty."""
        upstream = base.quote(self.argument("upstream"))
        body = {name: value for name, value in fields.items() if value}
        path = f"/v1/upstreams/{upstream}/orders"
        self.show_fields(self.client().change("POST", path, body))


class LoadCommand(_OrderCommand):
    """Orders an engine to load a model, or another version of it."""

    name = "upstream load"
    description = "Order an engine to load a model, or another version."
    arguments = [
        _UPSTREAM_ARGUMENT,
        argument("model", description="The model."),
    ]
    options = [_VERSION_OPTION]

    def run_command(self) -> None:
        """See `base.Command`."""
        self.send_order(
            action="load",
            model=self.argument("model"),
            version=self.option("model-version"),
        )


class UnloadCommand(_OrderCommand):
    """Orders an engine to unload a model or an adapter."""

    name = "upstream unload"
    description = "Order an engine to drop a model or adapter, once drained."
    arguments = [
        _UPSTREAM_ARGUMENT,
        argument("model", description="The model."),
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        self.send_order(action="unload", model=self.argument("model"))


class AdapterCommand(_OrderCommand):
    """Orders an engine to load an adapter in addition to its model."""

    name = "upstream adapter"
    description = "Order an engine to load an adapter beside its model."
    arguments = [
        _UPSTREAM_ARGUMENT,
        argument("adapter", description="The name that callers ask for."),
    ]
    options = [
        option("base", description="The model it belongs to.", flag=False),
        _VERSION_OPTION,
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        if not self.option("base"):
            raise errors.UserError("--base is required.")
        self.send_order(
            action="load",
            model=self.argument("adapter"),
            base=self.option("base"),
            version=self.option("model-version"),
        )


class RoleCommand(_OrderCommand):
    """Orders an engine to change its role."""

    name = "upstream role"
    description = "Order an engine to be mixed, prefill or decode."
    arguments = [
        _UPSTREAM_ARGUMENT,
        argument("role", description="Its new role."),
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        self.send_order(action="role", role=self.argument("role"))


class OrdersCommand(base.OperatorCommand):
    """Lists orders with their states."""

    name = "upstream orders"
    description = "List the orders to one engine, or to all."
    arguments = [argument("upstream", description="The engine.", optional=True)]

    def run_command(self) -> None:
        """See `base.Command`."""
        upstream = self.argument("upstream")
        path = "/v1/orders"
        if upstream:
            path = f"/v1/upstreams/{base.quote(upstream)}/orders"
        value: Any = self.client().read_value(path)
        self.show_rows(value, "orders", _COLUMNS)
