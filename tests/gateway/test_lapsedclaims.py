"""Jobs whose claims have ended while the VMs that run them go on."""

import base64
import itertools
import math
import time
from typing import Any

from gateway import runner
from support import gatewayengine
from support import gatewayscene

# How long a run may go on beside the next one of the same item.
_MAX_OVERLAP_S = 0.4
_RUN_S = 6.0
_ITEMS = 4


def _items() -> list[dict[str, Any]]:
    return [
        gatewayscene.item(f"i{number}")
        | {"body": base64.b64encode(b"p%d" % number).decode()}
        for number in range(_ITEMS)
    ]


def _end_leases(scene: gatewayscene.Scene) -> None:
    """Ends all leases, as an outage of the store that outlasts them does."""
    for lease in list(scene.store.leases):
        scene.store.end_lease(lease)


def _has_all(vm: gatewayscene.Vm, job: str) -> bool:
    # A page may end before results that its reader has not asked for.
    answer = vm.results(job, after=_ITEMS - 1)
    return answer.status == 200 and answer.json()["next"] == _ITEMS


def _overlaps(engines: list[gatewayengine.Engine]) -> list[float]:
    """Returns for how long runs of an item went on beside its next run."""
    work = sorted(
        (row for engine in engines for row in engine.work),
        key=lambda row: (row.attempt, row.at_s),
    )
    return [
        round(min(before.end_s, before.left_s) - after.at_s, 2)
        for before, after in itertools.pairwise(work)
        if before.attempt == after.attempt
    ]


def test_a_job_whose_claim_has_ended_stays_with_the_vm_that_runs_it(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against items that run at two VMs after an outage."""
    engines = [scene.add_engine(events=30) for _ in range(3)]
    for engine in engines:
        engine.pause_s = _RUN_S / engine.events
    vms = scene.add_vms(3)
    jobs = {f"job{number}": vms[number % 3] for number in range(6)}
    for job, vm in jobs.items():
        items = [row | {"id": f"{job}-{row['id']}"} for row in _items()]
        assert vm.submit(job, items).status == 202
    gatewayscene.until(lambda: sum(len(row.work) for row in engines) >= 20)
    _end_leases(scene)
    for job, vm in jobs.items():
        gatewayscene.until(lambda job=job, vm=vm: _has_all(vm, job), 40.0)
    assert [row for row in _overlaps(engines) if row > _MAX_OVERLAP_S] == []
    for job, vm in jobs.items():
        found = vm.kernel.find("runner", runner.Runner)
        assert job not in found.dump()


def test_the_runs_of_a_job_that_ends_do_not_go_on_in_silence(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against runs that end only as their upstreams write."""
    engine = scene.add_engine()
    engine.faults = [gatewayengine.Fault("hang")]
    vm = scene.add_vm()
    assert vm.submit("job", _items()[:1]).status == 202
    gatewayscene.until(lambda: bool(engine.work))
    ended_s = time.monotonic()
    assert vm.call("DELETE", "/lots/job").status == 200
    gatewayscene.until(lambda: engine.work[0].left_s < math.inf)
    assert engine.work[0].left_s - ended_s < _MAX_OVERLAP_S
