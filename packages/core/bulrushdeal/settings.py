"""Settings, defined in one table.

Flags, environment variables, checks and docs are all derived from the table.
"""

from collections.abc import Mapping, Sequence
import re
from typing import Literal, NamedTuple

from bulrushdeal import errors

Kind = Literal["text", "address", "addresses", "integer", "number", "choice"]
Value = str | int | float

_ADDRESS = re.compile(r"^[0-9a-zA-Z_.\-]+:[0-9]{1,5}$")


class Setting(NamedTuple):
    """One row of the settings table.

    Attributes:
        name: The name with its unit; `drain_s` becomes the flag `--drain-s`
            and the environment variable `BULRUSHDEAL_DRAIN_S`.
        kind: The type that the text is parsed as.
        default: The value if none is given; `None` makes the setting required.
        help_text: One sentence for `--help` and the docs.
        low: The smallest number allowed.
        high: The largest number allowed.
        choices: The values allowed for the kind `choice`.
    """

    name: str
    kind: Kind
    default: Value | None
    help_text: str
    low: float = 0.0
    high: float = float("inf")
    choices: tuple[str, ...] = ()

    @property
    def flag(self) -> str:
        """The flag without its leading dashes."""
        return self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The name of the environment variable."""
        return "BULRUSHDEAL_" + self.name.upper()

    @property
    def allowed(self) -> str:
        """A description of the allowed values, for error messages and docs."""
        if self.kind == "choice":
            return "one of " + ", ".join(self.choices)
        if self.kind in ("integer", "number"):
            return f"{self.kind} from {self.low:g} to {self.high:g}"
        if self.kind == "address":
            return "HOST:PORT"
        if self.kind == "addresses":
            return "HOST:PORT[,HOST:PORT...]"
        return "text"


class SettingError(errors.UserError):
    """A setting is unknown, missing, invalid or contradicts another."""


def read(
    table: Sequence[Setting],
    flags: Mapping[str, str],
    environment: Mapping[str, str],
) -> dict[str, Value]:
    """Parses and checks the value of each setting.

    A flag takes precedence over an environment variable, and both over the
    default.

    Args:
        table: The settings.
        flags: The values given as flags, by flag without leading dashes.
        environment: The environment variables of the process.

    Returns:
        The values by setting name.

    Raises:
        SettingError: A variable is unknown, a required setting is missing, or
            a value is not allowed.
    """
    known_variables = {setting.variable for setting in table}
    for variable in environment:
        if (
            variable.startswith("BULRUSHDEAL_")
            and variable not in known_variables
        ):
            raise SettingError(
                f"{variable}: unknown setting; see --help for those allowed"
            )
    values: dict[str, Value] = {}
    for setting in table:
        text = flags.get(setting.flag, environment.get(setting.variable))
        if text is not None:
            values[setting.name] = _parse(setting, text)
        elif setting.default is not None:
            values[setting.name] = setting.default
        else:
            raise SettingError(
                f"--{setting.flag}: missing; allowed: {setting.allowed}"
            )
    return values


def _parse(setting: Setting, text: str) -> Value:
    error = SettingError(
        f"--{setting.flag}: {text!r} is not allowed; allowed: {setting.allowed}"
    )
    if setting.kind in ("integer", "number"):
        try:
            number = int(text) if setting.kind == "integer" else float(text)
        except ValueError:
            raise error from None
        if not setting.low <= number <= setting.high:
            raise error
        return number
    if setting.kind == "choice" and text not in setting.choices:
        raise error
    if setting.kind == "address" and text and not _ADDRESS.match(text):
        raise error
    if setting.kind == "addresses" and text:
        for part in text.split(","):
            if not _ADDRESS.match(part):
                raise error
    return text


def describe(table: Sequence[Setting]) -> str:
    """Returns the table as Markdown for the operators' docs."""
    lines = [
        "| flag | variable | default | allowed | meaning |",
        "|---|---|---|---|---|",
    ]
    for setting in table:
        default = "required" if setting.default is None else setting.default
        lines.append(
            f"| `--{setting.flag}` | `{setting.variable}` | `{default}` |"
            f" {setting.allowed} | {setting.help_text} |"
        )
    return "\n".join(lines) + "\n"
