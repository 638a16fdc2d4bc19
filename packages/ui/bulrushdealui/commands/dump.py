"""The command `dump`."""

from bulrushdealui import tables
from bulrushdealui.commands import base


class DumpCommand(base.OperatorCommand):
    """Prints the state of each service of one daemon as JSON."""

    name = "dump"
    description = "Print the state of each service of one daemon as JSON."

    def run_command(self) -> None:
        """See `base.Command`."""
        self.show(tables.as_json(self.client().read_value("/v1/dump")))
