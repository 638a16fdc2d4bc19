"""The commands `upstream list`, `upstream add` and `upstream remove`."""

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdeal import errors
from bulrushdeal import records
from bulrushdealui.commands import base

_KINDS: dict[str, records.UpstreamKind] = {
    "engine": "engine",
    "plain": "plain",
}


class ListCommand(base.OperatorCommand):
    """Lists the upstreams."""

    name = "upstream list"
    description = "List the engines and plain services routed to."

    def run_command(self) -> None:
        """See `base.Command`."""
        value = self.client().read_value("/v1/upstreams")
        self.show_rows(value, "upstreams")


class AddCommand(base.OperatorCommand):
    """Adds an upstream, or replaces its row."""

    name = "upstream add"
    description = "Add an engine or a plain service, or replace its row."
    arguments = [argument("upstream", description="Its name.")]
    options = [
        option("address", description="HOST:PORT of its HTTP.", flag=False),
        option("vm", description="The VM it runs on.", flag=False),
        option("failure-domain", description="Where it is.", flag=False),
        option("kind", description="engine or plain.", flag=False),
        option("models", description="NAME[,NAME...] served.", flag=False),
        option("service", description="A plain service's name.", flag=False),
        option("slots", description="Requests run at once.", flag=False),
        option(
            "checks-fencing",
            description="It refuses orders with an old number.",
        ),
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        row = self._row_from_options()
        path = f"/v1/upstreams/{base.quote(row.upstream)}"
        self.show_fields(self.client().change("PUT", path, row._asdict()))

    def _row_from_options(self) -> records.Upstream:
        kind = _KINDS.get(self.option("kind") or "engine")
        if kind is None:
            raise errors.UserError(f"--kind: allowed: {', '.join(_KINDS)}.")
        for name in ("address", "vm", "failure-domain"):
            if not self.option(name):
                raise errors.UserError(f"--{name} is required.")
        models = self.option("models") or ""
        service = self.option("service") or ""
        if kind == "engine" and not models:
            raise errors.UserError("--models is required for an engine.")
        if kind == "plain" and not service:
            raise errors.UserError("--service is required for kind plain.")
        return records.Upstream(
            self.argument("upstream"),
            kind,
            self.option("address"),
            self.option("vm"),
            self.option("failure-domain"),
            tuple(name for name in models.split(",") if name),
            service,
            int(self.number("--slots", self.option("slots") or "16")),
            bool(self.option("checks-fencing")),
        )


class RemoveCommand(base.OperatorCommand):
    """Removes an upstream."""

    name = "upstream remove"
    description = "Remove an upstream; it is given no new work."
    arguments = [argument("upstream", description="Its name.")]

    def run_command(self) -> None:
        """See `base.Command`."""
        path = f"/v1/upstreams/{base.quote(self.argument('upstream'))}"
        self.show_fields(self.client().change("DELETE", path))
