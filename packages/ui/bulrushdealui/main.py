"""Entry point of the program `bulrushdeal`."""

import sys

from cleo import application
from cleo import exceptions

from bulrushdealui.commands import base
from bulrushdealui.commands import chat
from bulrushdealui.commands import config
from bulrushdealui.commands import customer
from bulrushdealui.commands import dump
from bulrushdealui.commands import explain
from bulrushdealui.commands import job
from bulrushdealui.commands import key
from bulrushdealui.commands import order
from bulrushdealui.commands import table
from bulrushdealui.commands import upstream
from bulrushdealui.commands import usage
from bulrushdealui.commands import vm

COMMANDS: tuple[type[base.Command], ...] = (
    customer.ListCommand,
    customer.CreateCommand,
    customer.DeleteCommand,
    key.CreateCommand,
    key.ListCommand,
    key.WithdrawCommand,
    table.ShowCommand,
    table.SetCommand,
    table.ExportCommand,
    table.ImportCommand,
    upstream.ListCommand,
    upstream.AddCommand,
    upstream.RemoveCommand,
    order.LoadCommand,
    order.UnloadCommand,
    order.AdapterCommand,
    order.RoleCommand,
    order.OrdersCommand,
    vm.ListCommand,
    job.ListCommand,
    job.ShowCommand,
    job.CancelCommand,
    job.SubmitCommand,
    job.ResultsCommand,
    config.StatusCommand,
    usage.UsageCommand,
    dump.DumpCommand,
    explain.ExplainCommand,
    chat.ChatCommand,
)


def build() -> application.Application:
    """Returns the application with all its commands."""
    app = application.Application("bulrushdeal", "0.1.0")
    for command_class in COMMANDS:
        app.add(command_class())
    app.auto_exits(False)
    app.catch_exceptions(False)
    return app


def main() -> None:
    """Runs the command named in the arguments."""
    sys.exit(run())


def run() -> int:
    """Runs the command and returns the exit code."""
    if sys.argv[1:] in (["--help"], ["-h"]):
        # Otherwise cleo shows the help of its `list` command instead of the
        # list of commands.
        sys.argv[1:] = ["list"]
    try:
        return build().run()
    except exceptions.CleoError as error:
        text = " ".join(str(error).split())
        print(text, file=sys.stderr)
        return base.USER_ERROR_EXIT
