"""`upstream load`, `unload`, `adapter`, `role` and `orders`."""

from typing import Any

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdeal import errors
from bulrushdealui.commands import base

_UPSTREAM = argument("upstream", description="The engine.")
# Every command has a `--version` already, which tells the program's.
_VERSION = option("model-version", description="Which weights.", flag=False)
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


class _Order(base.OperatorCommand):
    """Sends one order; `upstream orders` tells what becomes of it."""

    def order(self, **fields: str | None) -> None:
        """Sends the fields that were given."""
        upstream = base.quote(self.argument("upstream"))
        body = {name: value for name, value in fields.items() if value}
        path = f"/v1/upstreams/{upstream}/orders"
        self.show_fields(self.client().change("POST", path, body))


class LoadCommand(_Order):
    """Loads a model, or another version of it."""

    name = "upstream load"
    description = "Order an engine to load a model, or another version."
    arguments = [_UPSTREAM, argument("model", description="The model.")]
    options = [_VERSION]

    def run_command(self) -> None:
        """See `base.Command`."""
        self.order(
            action="load",
            model=self.argument("model"),
            version=self.option("model-version"),
        )


class UnloadCommand(_Order):
    """Unloads a model or an adapter."""

    name = "upstream unload"
    description = "Order an engine to drop a model or adapter, once drained."
    arguments = [_UPSTREAM, argument("model", description="The model.")]

    def run_command(self) -> None:
        """See `base.Command`."""
        self.order(action="unload", model=self.argument("model"))


class AdapterCommand(_Order):
    """Loads an adapter beside its model."""

    name = "upstream adapter"
    description = "Order an engine to load an adapter beside its model."
    arguments = [
        _UPSTREAM,
        argument("adapter", description="The name that callers ask for."),
    ]
    options = [
        option("base", description="The model it belongs to.", flag=False),
        _VERSION,
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        if not self.option("base"):
            raise errors.UserError("--base is required.")
        self.order(
            action="load",
            model=self.argument("adapter"),
            base=self.option("base"),
            version=self.option("model-version"),
        )


class RoleCommand(_Order):
    """Changes an engine's role."""

    name = "upstream role"
    description = "Order an engine to be mixed, prefill or decode."
    arguments = [_UPSTREAM, argument("role", description="Its new role.")]

    def run_command(self) -> None:
        """See `base.Command`."""
        self.order(action="role", role=self.argument("role"))


class OrdersCommand(base.OperatorCommand):
    """Lists orders and what became of them."""

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
