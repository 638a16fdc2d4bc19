"""Plays one seed from the start of the fleet to the last check."""

import pathlib
import random
import shutil
import tempfile
import time
from typing import NamedTuple

from soak import callers as callers_lib
from soak import faults
from soak import fleet as fleet_lib
from soak import oracle

# After the last fault: leases that lapsed, entries that come back, and items
# that have to be taken over and run.
_FINISH_S = 25.0
_SETTLE_S = 3.0
# Requests of which a VM has to serve one, when all is well again.
_PROBES = 3
_OK = 200


class Played(NamedTuple):
    """How a seed went.

    Attributes:
        problems: What broke a promise, a line each.
        sent: Requests that callers sent.
        served: Those with a whole success.
        accepted: Jobs that were accepted.
        listed: Their results that were read.
    """

    problems: list[str]
    sent: int
    served: int
    accepted: int
    listed: int


def play(seed: int, number: int, length_s: float, vms: int) -> Played:
    """Plays one seed; keeps its logs if a promise was broken.

    Args:
        seed: Draws the faults and what callers send.
        number: Keeps apart the addresses of soaks at the same time.
        length_s: For how long faults begin.
        vms: How many processes.

    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    rng = random.Random(seed)
    drawn = faults.draw(rng, length_s)
    fleet = fleet_lib.Fleet(folder, number, vms)
    callers = callers_lib.Callers(fleet, rng)
    player = faults.Player(fleet)
    try:
        fleet.start_all()
        callers.start()
        player.play(drawn)
        for vm in fleet.vms:
            fleet.note_end(vm)
            fleet.wait_ready(vm)
        time.sleep(_SETTLE_S)
        callers.stop()
        _finish(fleet, callers)
        problems = oracle.check(fleet, callers, player.revoked_s)
    finally:
        fleet.close()
    if not problems:
        shutil.rmtree(folder)
    else:
        text = "\n".join([*map(str, drawn), "", *problems])
        (folder / "faults.txt").write_text(text + "\n")
        problems.append(f"logs: {folder}")
    return Played(
        problems,
        len(callers.attempts),
        sum(row.status == _OK and row.is_whole for row in callers.attempts),
        sum(bool(job.accepted_s) for job in callers.jobs),
        sum(len(job.rows) for job in callers.jobs),
    )


def _finish(fleet: fleet_lib.Fleet, callers: callers_lib.Callers) -> None:
    """Reads all jobs to the end, from any VM; all is well by now."""
    rng = random.Random(1)
    end_s = time.monotonic() + _FINISH_S
    jobs = [row for row in callers.jobs if row.accepted_s and not row.ended_s]
    while jobs and time.monotonic() < end_s:
        jobs = [
            job for job in jobs if not callers.read(rng.choice(fleet.vms), job)
        ]
        time.sleep(0.2)
    for vm in fleet.vms:
        if not any(callers.probe(vm) for _ in range(_PROBES)):
            fleet.problems.append(f"{vm.name} serves nothing")
