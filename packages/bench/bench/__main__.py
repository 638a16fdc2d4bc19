"""Runs an experiment: `python -m bench COMMAND`."""

import sys

from cleo import application
from cleo import exceptions

from bench import experiments
from bench.replay import command as replay_command
from bulrushdeal import errors

_USER_ERROR_EXIT_CODE = 2


def build() -> application.Application:
    """Returns the application with all its commands."""
    app = application.Application("bench", "0.1.0")
    for command_type in (
        experiments.HarmCommand,
        experiments.NoisyCommand,
        experiments.OnlineCommand,
        replay_command.ReplayCommand,
    ):
        app.add(command_type())
    app.auto_exits(False)
    app.catch_exceptions(False)
    return app


def run() -> int:
    """Runs the command named in the arguments and returns the exit code."""
    try:
        return build().run()
    except (exceptions.CleoError, errors.UserError) as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        return _USER_ERROR_EXIT_CODE


if __name__ == "__main__":
    sys.exit(run())
