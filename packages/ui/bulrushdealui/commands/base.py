"""Base classes of the commands: common options, clients and errors."""

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
USER_ERROR_EXIT = 2

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
        """Runs the command and returns the exit code.

        A user's error is printed as one line without a traceback.
        """
        try:
            self.run_command()
        except api.ConflictError as error:
            self.show_on_stderr(str(error))
            return CONFLICT_EXIT
        except (errors.UserError, OSError) as error:
            self.show_on_stderr(str(error))
            return USER_ERROR_EXIT
        return 0

    def run_command(self) -> None:
        """Runs the command; subclasses override it."""
        raise NotImplementedError

    def show(self, text: str) -> None:
        """Prints text without interpreting cleo's style tags in it."""
        self.io.write_line(text, type=output.Type.RAW)

    def show_on_stderr(self, text: str) -> None:
        """Prints one line to standard error."""
        self.io.write_error_line(text, type=output.Type.RAW)

    def show_rows(
        self, value: Any, name: str, columns: tuple[str, ...] = ()
    ) -> None:
        """Prints the rows in field `name` as a table, or the value as JSON."""
        if self.option("json"):
            self.show(tables.as_json(value))
            return
        self.show(tables.as_text(tables.rows_of(value, name), columns))

    def show_fields(self, value: Any) -> None:
        """Prints one object with a line for each field, or as JSON."""
        if self.option("json") or not isinstance(value, dict):
            self.show(tables.as_json(value))
            return
        self.show(tables.as_fields(value))

    def number(self, name: str, text: str) -> float:
        """Parses a number from the user's arguments.

        Args:
            name: The argument's name, for the error message.
            text: The argument's value.

        Raises:
            errors.UserError: The text is not a number.
        """
        try:
            return float(text)
        except ValueError:
            raise errors.UserError(f"{name}: {text!r} is no number.") from None

    def setting(self, name: str, variable: str) -> str:
        """Returns a flag's value, or else that of an environment variable.

        Raises:
            errors.UserError: Neither is set.
        """
        text = self.option(name) or os.environ.get(variable, "")
        if not text:
            raise errors.UserError(f"--{name} or {variable} is required.")
        return str(text)

    def caller_client(self) -> api.Client:
        """Returns a client of the callers' API, with a customer's key."""
        servers = self.setting("callers", "BULRUSHDEAL_CALLERS")
        key = self.setting("key", "BULRUSHDEAL_KEY")
        return api.Client(servers.split(","), key)


class OperatorCommand(Command):
    """A command that calls the operators' API."""

    def configure(self) -> None:
        """Adds the options common to the operators' commands."""
        super().configure()
        for operator_option in _OPERATOR_OPTIONS:
            self.definition.add_option(operator_option)

    def client(self) -> api.Client:
        """Returns a client of the operators' API, with their credential."""
        servers = self.setting("server", "BULRUSHDEAL_SERVER")
        token = self.setting("token", "BULRUSHDEAL_OPERATOR_TOKEN")
        return api.Client(servers.split(","), token)


def quote(text: str) -> str:
    """Percent-encodes a name as one segment of a path."""
    return parse.quote(text, safe="")
