"""Logging on `absl.logging` with a fixed prefix for each component."""

from absl import logging as absl_logging


class Log:
    """Writes log lines that start with the name of one component.

    Lines are short sentences. Keys and prompts are never logged.

    Args:
        part: The component's name.
    """

    def __init__(self, part: str) -> None:
        self._prefix = f"{part}: "

    def debug(self, text: str, *values: object) -> None:
        """Logs a detail that only developers need."""
        absl_logging.debug(self._prefix + text, *values)

    def info(self, text: str, *values: object) -> None:
        """Logs a normal event."""
        absl_logging.info(self._prefix + text, *values)

    def warning(self, text: str, *values: object) -> None:
        """Logs a problem that the system handles but operators should see."""
        absl_logging.warning(self._prefix + text, *values)

    def error(self, text: str, *values: object) -> None:
        """Logs a problem that an operator has to act on."""
        absl_logging.error(self._prefix + text, *values)

    def exception(self, text: str, *values: object) -> None:
        """Logs an unexpected error with its traceback."""
        absl_logging.exception(self._prefix + text, *values)


def configure(level: str) -> None:
    """Sets the lowest level that is written to standard error.

    Args:
        level: One of `debug`, `info`, `warning` and `error`.
    """
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
