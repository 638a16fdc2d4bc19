"""What all commands share: the servers, the credential and the errors."""

import os
from typing import Any
from urllib import parse

from cleo.commands import command
from cleo.helpers import option
from cleo.io.outputs import output

from bulrushdeal import errors
from bulrushdealui import api
from bulrushdealui import tables

CONFLICT_EXIT = 1
MISTAKE_EXIT = 2

JSON = option("json", description="Print JSON.")
CALLER_OPTIONS = [
    option(
        "callers",
        description="HOST:PORT[,HOST:PORT...] of the callers' address;"
        " or BULRUSHDEAL_CALLERS.",
        flag=False,
    ),
    option(
        "key", description="A customer's key; or BULRUSHDEAL_KEY.", flag=False
    ),
]
_OPERATOR_OPTIONS = [
    option(
        "server",
        description="HOST:PORT[,HOST:PORT...] of the operators' address;"
        " or BULRUSHDEAL_SERVER.",
        flag=False,
    ),
    option(
        "token",
        description="The operators' credential; or BULRUSHDEAL_OPERATOR_TOKEN.",
        flag=False,
    ),
    JSON,
]


class Command(command.Command):
    """A command whose `run_command` may raise `errors.UserError`."""

    def handle(self) -> int:
        """Runs the command; a user's mistake is one line and no traceback."""
        try:
            self.run_command()
        except api.ConflictError as error:
            self.complain(str(error))
            return CONFLICT_EXIT
        except (errors.UserError, OSError) as error:
            self.complain(str(error))
            return MISTAKE_EXIT
        return 0

    def run_command(self) -> None:
        """Does the work."""
        raise NotImplementedError

    def show(self, text: str) -> None:
        """Prints text as it stands, whatever marks it contains."""
        self.io.write_line(text, type=output.Type.RAW)

    def complain(self, text: str) -> None:
        """Prints one line to standard error."""
        self.io.write_error_line(text, type=output.Type.RAW)

    def show_rows(
        self, value: Any, name: str, columns: tuple[str, ...] = ()
    ) -> None:
        """Prints the rows that stand under `name`, or all as JSON."""
        if self.option("json"):
            self.show(tables.as_json(value))
            return
        self.show(tables.as_text(tables.rows_of(value, name), columns))

    def show_fields(self, value: Any) -> None:
        """Prints one object."""
        if self.option("json") or not isinstance(value, dict):
            self.show(tables.as_json(value))
            return
        self.show(tables.as_fields(value))

    def number(self, name: str, text: str) -> float:
        """Returns a number that the user wrote."""
        try:
            return float(text)
        except ValueError:
            raise errors.UserError(f"{name}: {text!r} is no number.") from None

    def setting(self, name: str, variable: str) -> str:
        """Returns a flag's value, else its environment variable's."""
        text = self.option(name) or os.environ.get(variable, "")
        if not text:
            raise errors.UserError(f"--{name} or {variable} is required.")
        return str(text)

    def caller_client(self) -> api.Client:
        """Returns a client of the callers' address."""
        servers = self.setting("callers", "BULRUSHDEAL_CALLERS")
        key = self.setting("key", "BULRUSHDEAL_KEY")
        return api.Client(servers.split(","), key)


class OperatorCommand(Command):
    """A command that speaks to the operators' address."""

    def configure(self) -> None:
        """Adds the options that all these commands have."""
        super().configure()
        for common in _OPERATOR_OPTIONS:
            self.definition.add_option(common)

    def client(self) -> api.Client:
        """Returns a client of the operators' address."""
        servers = self.setting("server", "BULRUSHDEAL_SERVER")
        token = self.setting("token", "BULRUSHDEAL_OPERATOR_TOKEN")
        return api.Client(servers.split(","), token)


def quote(text: str) -> str:
    """Returns a name as one segment of a path."""
    return parse.quote(text, safe="")
