"""The commands `harm`, `noisy` and `online` of `python -m bench`."""

import json
import pathlib
import tempfile
import time
from typing import Any

from cleo.commands import command
from cleo.helpers import option

from bench import harm
from bench import load
from bench import noisy
from bench import online
from bench import site as site_lib
from bulrushdeal import codec
from bulrushdeal import errors
from standins import fleet as fleet_lib

_NUMERIC_OPTIONS = (
    "seconds",
    "rate-per-s",
    "burst-factor",
    "prefixes",
    "factor",
    "row-factor",
    "busy",
    "seed",
)
_PROFILES = ", ".join(sorted(site_lib.PROFILES))


def _value_option(name: str, default: str, description: str = "") -> Any:
    return option(name, description=description, flag=False, default=default)


class ExperimentCommand(command.Command):
    """Runs daemons and engines on loopback and loads them."""

    options = [
        _value_option("profile", "kenya", f"One of: {_PROFILES}."),
        _value_option("seconds", "20", "Duration of a phase."),
        _value_option("rate-per-s", "25", "Mean online requests per second."),
        _value_option(
            "burst-factor", "2", "Factor of the arrival rate in bursts."
        ),
        _value_option("prefixes", "0", "Prompt prefixes that requests share."),
        _value_option(
            "factor",
            "5",
            "The noisy customer's load as a multiple of its rate.",
        ),
        _value_option(
            "row-factor",
            "1",
            "The noisy customer's row as a multiple of its rate.",
        ),
        _value_option("busy", "0", "Processes that only use processor time."),
        _value_option("seed", "1"),
        option(
            "daemon",
            description="A daemon setting as SETTING=VALUE, such as"
            " batch-yields=no.",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Runs the experiment, prints its figures and writes them as JSON.

        Raises:
            errors.UserError: An option is invalid.
        """
        profile = site_lib.PROFILES.get(self.option("profile"))
        if profile is None:
            raise errors.UserError(f"--profile must be one of {_PROFILES}.")
        pairs = [pair.partition("=") for pair in self.option("daemon")]
        if not all(equals for _, equals, _ in pairs):
            raise errors.UserError("--daemon must be SETTING=VALUE.")
        settings = {name: value for name, _, value in pairs}
        for name in _NUMERIC_OPTIONS:
            self.number(name)
        with (
            tempfile.TemporaryDirectory() as name,
            fleet_lib.Fleet(pathlib.Path(name)) as fleet,
        ):
            site = site_lib.Site(fleet, profile, settings)
            site.start(self.number("rate-per-s"))
            site.start_busy_processes(int(self.number("busy")))
            figures = codec.to_object(self.run_on(site))
        self.line("\n".join(_format_rows(figures)))
        flags = {row.name: self.option(row.name) for row in self.options}
        path = site_lib.results_folder() / f"{self.name}-{time.time():.0f}.json"
        path.write_text(json.dumps({"flags": flags, "found": figures}))
        return 0

    def number(self, name: str) -> float:
        """Returns the value of a numeric option.

        Raises:
            errors.UserError: The value is not a number.
        """
        try:
            return float(self.option(name))
        except ValueError as error:
            raise errors.UserError(f"--{name} must be a number.") from error

    def shape(self) -> load.Shape:
        """Returns the shape of the online requests."""
        return load.Shape(
            prefixes=int(self.number("prefixes")),
            burst_factor=self.number("burst-factor"),
        )

    def run_on(self, site: site_lib.Site) -> Any:
        """Runs the experiment on a started deployment.

        Returns:
            The figures as a `NamedTuple`.
        """
        raise NotImplementedError


class HarmCommand(ExperimentCommand):
    """Runs `harm`."""

    name = "harm"
    description = "Measure how batch work slows online requests."

    def run_on(self, site: site_lib.Site) -> Any:
        """See `ExperimentCommand`."""
        seed = int(self.number("seed"))
        return harm.run(site, self.shape(), self.number("seconds"), seed)


class NoisyCommand(ExperimentCommand):
    """Runs `noisy`."""

    name = "noisy"
    description = "Measure how one customer's excess load affects the others."

    def run_on(self, site: site_lib.Site) -> Any:
        """See `ExperimentCommand`."""
        return noisy.run(
            site,
            self.shape(),
            self.number("seconds"),
            int(self.number("seed")),
            self.number("factor"),
            self.number("row-factor"),
        )


class OnlineCommand(ExperimentCommand):
    """Runs `online`."""

    name = "online"
    description = "Measure the latency and cost of online requests."

    def run_on(self, site: site_lib.Site) -> Any:
        """See `ExperimentCommand`."""
        seed = int(self.number("seed"))
        return online.run(site, self.shape(), self.number("seconds"), seed)


def _format_rows(value: Any, name: str = "") -> list[str]:
    if isinstance(value, dict):
        rows = []
        for key, item in value.items():
            rows += _format_rows(item, f"{name}.{key}" if name else key)
        return rows
    shown = f"{value:.4g}" if isinstance(value, float) else str(value)
    return [f"{name:55} {shown}"]
