"""`config status`."""

from typing import Any

from bulrushdealui import tables
from bulrushdealui.commands import base


class StatusCommand(base.OperatorCommand):
    """Shows which revision is stored, and in force on which VMs."""

    name = "config status"
    description = "Show the revision stored and those in force on each VM."

    def run_command(self) -> None:
        """See `base.Command`."""
        value: Any = self.client().read_value("/v1/config/status")
        if self.option("json") or not isinstance(value, dict):
            self.show(tables.as_json(value))
            return
        single = {
            name: item
            for name, item in value.items()
            if not isinstance(item, list)
        }
        self.show(tables.as_fields(single))
        for item in value.values():
            if isinstance(item, list):
                self.show(tables.as_text(item))
