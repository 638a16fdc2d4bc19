"""Runs an experiment: `python -m bench EXPERIMENT [flags]`."""

import argparse
import json
import pathlib
import tempfile
import time
from typing import Any

from bench import harm
from bench import load
from bench import noisy
from bench import online
from bench import site as site_lib
from bulrushdeal import codec
from standins import fleet as fleet_lib


def _flags() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", choices=("harm", "noisy", "online"))
    parser.add_argument(
        "--profile", choices=sorted(site_lib.PROFILES), default="kenya"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate-per-s", type=float, default=25.0)
    parser.add_argument("--burst-factor", type=float, default=2.0)
    parser.add_argument("--prefixes", type=int, default=0)
    parser.add_argument("--factor", type=float, default=5.0)
    parser.add_argument("--row-factor", type=float, default=1.0)
    parser.add_argument(
        "--busy",
        type=int,
        default=0,
        help="processes that only take the machine's processors",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--daemon",
        action="append",
        default=[],
        metavar="SETTING=VALUE",
        help="a setting of the daemons, such as batch-yields=no",
    )
    return parser.parse_args()


def _run(flags: argparse.Namespace, site: site_lib.Site) -> Any:
    shape = load.Shape(prefixes=flags.prefixes, burst_factor=flags.burst_factor)
    site.start(flags.rate_per_s)
    site.keep_busy(flags.busy)
    if flags.experiment == "harm":
        return harm.run(site, shape, flags.seconds, flags.seed)
    if flags.experiment == "noisy":
        return noisy.run(
            site,
            shape,
            flags.seconds,
            flags.seed,
            flags.factor,
            flags.row_factor,
        )
    return online.run(site, shape, flags.seconds, flags.seed)


def _rows(value: Any, name: str = "") -> list[str]:
    if isinstance(value, dict):
        rows = []
        for key, item in value.items():
            rows += _rows(item, f"{name}.{key}" if name else key)
        return rows
    shown = f"{value:.4g}" if isinstance(value, float) else str(value)
    return [f"{name:55} {shown}"]


def main() -> None:
    """Runs, prints a table and writes the figures as JSON."""
    flags = _flags()
    settings = dict(pair.split("=", 1) for pair in flags.daemon)
    with (
        tempfile.TemporaryDirectory() as name,
        fleet_lib.Fleet(pathlib.Path(name)) as fleet,
    ):
        profile = site_lib.PROFILES[flags.profile]
        site = site_lib.Site(fleet, profile, settings)
        found = codec.to_object(_run(flags, site))
    print("\n".join(_rows(found)))
    path = site_lib.run_folder() / f"{flags.experiment}-{time.time():.0f}.json"
    path.write_text(json.dumps({"flags": vars(flags), "found": found}))


if __name__ == "__main__":
    main()
