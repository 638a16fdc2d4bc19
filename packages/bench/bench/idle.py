"""Measures what daemons spend on nothing: `python -m bench.idle [flags]`.

Starts a deployment on loopback, leaves it alone, and prints what a VM spent
in a second: processor time, wakeups, messages and memory, and the same by
kind of thread. Without a request all of it is control's.
"""

import argparse
import json
import os
import pathlib
import re
import signal
import tempfile
import time
from typing import NamedTuple

from bench import site as site_lib
from bench import threadtimes
from standins import deployment as deployment_lib
from standins import fleet as fleet_lib

_PROGRAM = "from bench import threadtimes; threadtimes.main()"
_SETTLE_S = 15.0
_ANSWER_S = 10.0
_LEAST_SHOWN_MS = 0.005


class _Thread(NamedTuple):
    name: str
    processor_s: float
    wakeups: int


class _State(NamedTuple):
    """The counters of one daemon at one moment."""

    at_s: float
    processor_s: float
    messages: int
    size_bytes: int
    rss_kb: int
    threads: dict[int, _Thread]


class Kind(NamedTuple):
    """What the threads of one kind spent on a VM, in a second.

    Attributes:
        name: Their names without what differs.
        threads: How many a VM has.
        processor_ms: Processor time.
        wakeups: How often they ran again after a wait.
    """

    name: str
    threads: float
    processor_ms: float
    wakeups: float


class Idle(NamedTuple):
    """What a VM spent in a second.

    Attributes:
        processor_percent: Of one core.
        wakeups: Of all threads that lived throughout.
        messages: Sent to peers.
        size_bytes: Of these.
        rss_mb: Memory at the end.
        threads: At the end.
        kinds: The most expensive first.
    """

    processor_percent: float
    wakeups: float
    messages: float
    size_bytes: float
    rss_mb: float
    threads: float
    kinds: tuple[Kind, ...]


def _kind(name: str) -> str:
    return re.sub(r"[-_ ]?(entry|engine|domain|\d+).*$", "", name)


def _state(
    deployment: deployment_lib.Deployment, daemon: deployment_lib.Daemon
) -> _State:
    headers = deployment_lib.bearer(deployment_lib.OPERATOR_TOKEN)
    dump = deployment.call(
        "GET", daemon.operators, "/v1/dump", headers=headers
    ).value()
    pid = daemon.process.pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    rss_kb = next(
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith("VmRSS:")
    )
    threads = _threads(daemon.process)
    return _State(
        time.monotonic(),
        # The main thread of a daemon that has ended some others keeps their
        # time, which the sum over threads does not.
        daemon.process.processor_s(),
        dump["peers"]["sent_messages"],
        dump["peers"]["sent_bytes"],
        rss_kb,
        threads,
    )


def _threads(process: fleet_lib.Process) -> dict[int, _Thread]:
    seen = process.output().count(threadtimes.MARK)
    os.kill(process.pid, signal.SIGUSR2)

    def answer() -> str | None:
        lines = [
            line
            for line in process.output().splitlines()
            if line.startswith(threadtimes.MARK) and line.endswith("}")
        ]
        return lines[-1] if len(lines) > seen else None

    line = fleet_lib.poll(answer, _ANSWER_S, "a daemon tells its threads")
    found = json.loads(line.removeprefix(threadtimes.MARK))
    return {int(key): _Thread(*value) for key, value in found.items()}


def measure(deployment: deployment_lib.Deployment, duration_s: float) -> Idle:
    """Leaves a deployment alone for a while."""
    before = [_state(deployment, daemon) for daemon in deployment.daemons]
    time.sleep(duration_s)
    after = [_state(deployment, daemon) for daemon in deployment.daemons]
    vms = len(after)
    pairs = tuple(zip(before, after, strict=True))

    def rate(field: str) -> float:
        return float(
            sum(
                (getattr(end, field) - getattr(begin, field))
                / (end.at_s - begin.at_s)
                for begin, end in pairs
            )
            / vms
        )

    kinds = _kinds(pairs)
    return Idle(
        100 * rate("processor_s"),
        sum(kind.wakeups for kind in kinds),
        rate("messages"),
        rate("size_bytes"),
        sum(end.rss_kb for end in after) / vms / 1000,
        sum(len(end.threads) for end in after) / vms,
        kinds,
    )


def _kinds(pairs: tuple[tuple[_State, _State], ...]) -> tuple[Kind, ...]:
    sums: dict[str, Kind] = {}
    for begin, end in pairs:
        span_s = (end.at_s - begin.at_s) * len(pairs)
        for number, thread in end.threads.items():
            first = begin.threads.get(number)
            name = _kind(thread.name)
            so_far = sums.get(name, Kind(name, 0, 0, 0))
            spent_s = thread.processor_s - (first.processor_s if first else 0)
            wakeups = thread.wakeups - (first.wakeups if first else 0)
            sums[name] = Kind(
                name,
                so_far.threads + 1 / len(pairs),
                so_far.processor_ms + 1000 * spent_s / span_s,
                so_far.wakeups + wakeups / span_s,
            )
    by_cost = sorted(sums.values(), key=lambda kind: -kind.processor_ms)
    return tuple(by_cost)


def _print(idle: Idle) -> None:
    load = os.getloadavg()[0]
    print(f"load of the machine {load:.1f}")
    for name, value in zip(Idle._fields[:-1], idle[:-1], strict=True):
        print(f"{name:20} {value:.2f}")
    print("| kind of thread | threads | ms a second | wakeups a second |")
    print("|---|---|---|---|")
    for kind in idle.kinds:
        if kind.processor_ms >= _LEAST_SHOWN_MS:
            print(
                f"| {kind.name} | {kind.threads:.1f} |"
                f" {kind.processor_ms:.3f} | {kind.wakeups:.2f} |"
            )


def main() -> None:
    """Runs one deployment and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--profile", choices=sorted(site_lib.PROFILES), default="kenya"
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--daemon", action="append", default=[], metavar="SETTING=VALUE"
    )
    flags = parser.parse_args()
    settings = dict(pair.split("=", 1) for pair in flags.daemon)
    with (
        tempfile.TemporaryDirectory() as name,
        fleet_lib.Fleet(pathlib.Path(name)) as fleet,
    ):
        profile = site_lib.PROFILES[flags.profile]
        site = site_lib.Site(fleet, profile, settings)
        site.deployment.daemon_program = _PROGRAM
        site.start(1.0)
        time.sleep(_SETTLE_S)
        _print(measure(site.deployment, flags.seconds))


if __name__ == "__main__":
    main()
