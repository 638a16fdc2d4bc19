"""The command `vm list`."""

from bulrushdealui.commands import base


class ListCommand(base.OperatorCommand):
    """Lists the VMs that the platform lists."""

    name = "vm list"
    description = "List the VMs as the platform lists them."

    def run_command(self) -> None:
        """See `base.Command`."""
        self.show_rows(self.client().read_value("/v1/vms"), "vms")
