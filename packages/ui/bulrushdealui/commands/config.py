"""The command `config status`."""

from typing import Any

from bulrushdealui import tables
from bulrushdealui.commands import base


class StatusCommand(base.OperatorCommand):
    """Shows the revision stored and the revision in force on each VM."""

    name = "config status"
    description = "Show the revision stored and those in force on each VM."

    def run_command(self) -> None:
        """See `base.Command`."""
        value: Any = self.client().read_value("/v1/config/status")
        if self.option("json") or not isinstance(value, dict):
            self.show(tables.as_json(value))
            return
        scalars = {
            name: item
            for name, item in value.items()
            if not isinstance(item, list)
        }
        self.show(tables.as_fields(scalars))
        for item in value.values():
            if isinstance(item, list):
                self.show(tables.as_text(item))
