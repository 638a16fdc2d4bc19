"""Measures what idle daemons use: `python -m bench.idle [flags]`.

Starts a deployment on loopback, sends it no requests, and prints the
processor time, wakeups and messages per second and the memory of a VM, and
the processor time and wakeups by kind of thread. Without requests, all of it
is the cost of the control services.
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
_ANSWER_TIMEOUT_S = 10.0
_MIN_SHOWN_MS = 0.005


class _ThreadCounters(NamedTuple):
    name: str
    processor_s: float
    wakeups: int


class _DaemonCounters(NamedTuple):
    """The counters of one daemon at one time."""

    at_s: float
    processor_s: float
    messages: int
    size_bytes: int
    rss_kb: int
    threads: dict[int, _ThreadCounters]


class ThreadKind(NamedTuple):
    """What the threads of one kind use on a VM.

    Attributes:
        name: The common part of the threads' names.
        threads: Mean number of such threads per VM.
        processor_ms: Processor time per second.
        wakeups: Number of times per second that they ran again after a wait.
    """

    name: str
    threads: float
    processor_ms: float
    wakeups: float


class Idle(NamedTuple):
    """What an idle VM uses, as the mean of all VMs.

    Attributes:
        processor_percent: Processor time, in percent of one core.
        wakeups: Wakeups per second of the threads that exist at the end.
        messages: Messages sent to peers per second.
        size_bytes: Size of these messages per second.
        rss_mb: Resident memory at the end.
        threads: Number of threads at the end.
        kinds: Use by kind of thread, the most expensive first.
    """

    processor_percent: float
    wakeups: float
    messages: float
    size_bytes: float
    rss_mb: float
    threads: float
    kinds: tuple[ThreadKind, ...]


def _kind_of(name: str) -> str:
    return re.sub(r"[-_ ]?(entry|engine|domain|\d+).*$", "", name)


def _read_daemon(
    deployment: deployment_lib.Deployment, daemon: deployment_lib.Daemon
) -> _DaemonCounters:
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
    threads = _read_threads(daemon.process)
    return _DaemonCounters(
        time.monotonic(),
        # The process's total includes the time of threads that have ended;
        # the sum over the existing threads does not.
        daemon.process.processor_s(),
        dump["peers"]["sent_messages"],
        dump["peers"]["sent_bytes"],
        rss_kb,
        threads,
    )


def _read_threads(process: fleet_lib.Process) -> dict[int, _ThreadCounters]:
    seen = process.output().count(threadtimes.MARK)
    os.kill(process.pid, signal.SIGUSR2)

    def answer() -> str | None:
        lines = [
            line
            for line in process.output().splitlines()
            if line.startswith(threadtimes.MARK) and line.endswith("}")
        ]
        return lines[-1] if len(lines) > seen else None

    line = fleet_lib.poll(
        answer, _ANSWER_TIMEOUT_S, "a daemon prints its threads"
    )
    found = json.loads(line.removeprefix(threadtimes.MARK))
    return {int(key): _ThreadCounters(*value) for key, value in found.items()}


def measure(deployment: deployment_lib.Deployment, duration_s: float) -> Idle:
    """Measures a deployment that gets no requests.

    Args:
        deployment: The running deployment.
        duration_s: Measured time.
    """
    before = [_read_daemon(deployment, daemon) for daemon in deployment.daemons]
    time.sleep(duration_s)
    after = [_read_daemon(deployment, daemon) for daemon in deployment.daemons]
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

    kinds = _sum_by_kind(pairs)
    return Idle(
        100 * rate("processor_s"),
        sum(kind.wakeups for kind in kinds),
        rate("messages"),
        rate("size_bytes"),
        sum(end.rss_kb for end in after) / vms / 1000,
        sum(len(end.threads) for end in after) / vms,
        kinds,
    )


def _sum_by_kind(
    pairs: tuple[tuple[_DaemonCounters, _DaemonCounters], ...],
) -> tuple[ThreadKind, ...]:
    sums: dict[str, ThreadKind] = {}
    for begin, end in pairs:
        span_s = (end.at_s - begin.at_s) * len(pairs)
        for number, thread in end.threads.items():
            first = begin.threads.get(number)
            name = _kind_of(thread.name)
            so_far = sums.get(name, ThreadKind(name, 0, 0, 0))
            spent_s = thread.processor_s - (first.processor_s if first else 0)
            wakeups = thread.wakeups - (first.wakeups if first else 0)
            sums[name] = ThreadKind(
                name,
                so_far.threads + 1 / len(pairs),
                so_far.processor_ms + 1000 * spent_s / span_s,
                so_far.wakeups + wakeups / span_s,
            )
    by_cost = sorted(sums.values(), key=lambda kind: -kind.processor_ms)
    return tuple(by_cost)


def _print_report(idle: Idle) -> None:
    load = os.getloadavg()[0]
    print(f"load of the machine {load:.1f}")
    for name, value in zip(Idle._fields[:-1], idle[:-1], strict=True):
        print(f"{name:20} {value:.2f}")
    print("| kind of thread | threads | ms a second | wakeups a second |")
    print("|---|---|---|---|")
    for kind in idle.kinds:
        if kind.processor_ms >= _MIN_SHOWN_MS:
            print(
                f"| {kind.name} | {kind.threads:.1f} |"
                f" {kind.processor_ms:.3f} | {kind.wakeups:.2f} |"
            )


def main() -> None:
    """Measures one deployment and prints the results."""
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
        _print_report(measure(site.deployment, flags.seconds))


if __name__ == "__main__":
    main()
