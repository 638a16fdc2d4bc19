"""Logging with a fixed prefix for each part, over `absl.logging`."""

from absl import logging as absl_logging


class Log:
    """Writes the lines of one part, each behind the part's name.

    Lines are short sentences. Neither a key nor a prompt is ever logged.
    """

    def __init__(self, part: str) -> None:
        self._prefix = f"{part}: "

    def debug(self, text: str, *values: object) -> None:
        """Logs what only a developer wants to see."""
        absl_logging.debug(self._prefix + text, *values)

    def info(self, text: str, *values: object) -> None:
        """Logs a normal event."""
        absl_logging.info(self._prefix + text, *values)

    def warning(self, text: str, *values: object) -> None:
        """Logs what the system copes with but an operator should know."""
        absl_logging.warning(self._prefix + text, *values)

    def error(self, text: str, *values: object) -> None:
        """Logs what an operator has to act on."""
        absl_logging.error(self._prefix + text, *values)

    def exception(self, text: str, *values: object) -> None:
        """Logs an unforeseen error with its traceback."""
        absl_logging.exception(self._prefix + text, *values)


def configure(level: str) -> None:
    """Sets the least severe level that is written to standard error.

    Args:
        level: One of `debug`, `info`, `warning` and `error`.
    """
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
