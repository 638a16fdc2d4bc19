"""The program `bulrushdeald`, which runs the daemon's services."""

import faulthandler
import json
import os
import signal
import sys
import threading
from typing import Any, ClassVar

from cleo import application
from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs import option as option_lib

from bulrushdeal import codec
from bulrushdeal import errors
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import memory
from bulrushdeal import settings as settings_lib
from bulrushdeal import signals
from bulrushdeal import threads
from bulrushdeald import assembly
from bulrushdeald import defaults

_log = logs.Log("daemon")


class ServeCommand(command.Command):
    """Runs the services until a signal stops the process."""

    name = "serve"
    description = "Serve callers, operators and peers on this VM."
    options: ClassVar[list[option_lib.Option]] = [
        option(row.flag, description=row.help_text, flag=False)
        for row in defaults.TABLE
    ]

    def handle(self) -> int:
        """Runs until SIGTERM or SIGINT; SIGUSR1 logs a state dump."""
        flags = {
            row.flag: self.option(row.flag)
            for row in defaults.TABLE
            if self.option(row.flag) is not None
        }
        try:
            settings = defaults.read(flags, os.environ)
        except errors.UserError as error:
            self.line_error(str(error))
            return 2
        logs.configure(settings.log_level)
        return _serve(settings)


class SettingsCommand(command.Command):
    """Prints the table of settings that the operators' docs contain."""

    name = "settings"
    description = "Print all settings as a Markdown table."

    def handle(self) -> int:
        """Prints the table."""
        self.line(settings_lib.describe(defaults.TABLE).rstrip("\n"))
        return 0


def _serve(settings: defaults.Settings) -> int:
    faulthandler.enable()
    memory.limit_allocator()
    kernel = assembly.assemble(settings)
    stopping = threading.Event()
    received: list[int] = []
    waiter = signals.SignalWaiter()

    def on_stop(number: int, frame: Any) -> None:
        del frame
        received.append(number)
        if len(received) > 1:
            # A second signal suggests that the shutdown takes too long, so
            # the log shows what is still open.
            _log_dump(kernel, "Still open")
        stopping.set()

    def on_dump(number: int, frame: Any) -> None:
        del number, frame
        _log_dump(kernel, "State")

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGUSR1, on_dump)
    try:
        kernel.start()
    except (OSError, errors.UserError) as error:
        _log.error("Cannot start: %s", error)
        return 1
    memory.freeze_startup_objects()
    while not stopping.is_set():
        waiter.wait()
    _log.info("Stopping gracefully within %g s.", settings.drain_s)
    kernel.stop(settings.drain_s)
    _log.info("Stopped.")
    return 0


def _log_dump(kernel: kernel_lib.Kernel, title: str) -> None:
    # The dump runs in a thread, because the interrupted code may hold a
    # service's lock. The signal handler itself would deadlock on it.
    def write() -> None:
        state = codec.to_object(kernel.dump())
        _log.info("%s: %s", title, json.dumps(state, default=str))

    threads.start_once(write, "dump")


def main() -> None:
    """Runs the program; the default command is `serve`."""
    app = application.Application("bulrushdeald", "0.1.0")
    app.add(ServeCommand())
    app.add(SettingsCommand())
    sys.argv[1:] = _with_command(sys.argv[1:])
    sys.exit(app.run())


def _with_command(arguments: list[str]) -> list[str]:
    flags = {f"--{row.flag}" for row in defaults.TABLE}
    if not arguments or arguments[0].partition("=")[0] in flags:
        return ["serve", *arguments]
    # Without a command, the library would show the help of its command `list`
    # instead of the list of commands.
    return ["list"] if arguments in (["--help"], ["-h"]) else arguments
