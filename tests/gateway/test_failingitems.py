"""Tests items that fail at each run, with what the VMs remember of that."""

import base64
import time
from typing import Any

import pytest

from gateway import runner
from support import gatewayengine
from support import gatewayscene

_MAX_ATTEMPTS = 3
# How often an item may be answered 500, as a multiple of its attempts.
_TOLERANCE = 3
_VMS = 7
# How often an item may be answered 422.
_MAX_NEVER = 3
_UNSIGNED_S = 8.0


def _item(name: str) -> dict[str, Any]:
    body = base64.b64encode(name.encode()).decode()
    return gatewayscene.item(name) | {"body": body}


def _is_listed(vm: gatewayscene.Vm) -> bool:
    answer = vm.results("job")
    return answer.status == 200 and bool(answer.json()["next"])


def _has_job(vm: gatewayscene.Vm) -> bool:
    return "job" in vm.kernel.find("runner", runner.Runner).dump()


def _lose_power(vm: gatewayscene.Vm) -> None:
    # Its process goes on here, so its runs are ended as well.
    vm.kernel.find("runner", runner.Runner).drop("job")
    vm.lose_power()


def _await_failures(engine: gatewayengine.Engine, vm: gatewayscene.Vm) -> bool:
    """Waits for two more failed runs; returns whether the item ended first."""
    runs = len(engine.runs) + 2
    gatewayscene.until(lambda: len(engine.runs) >= runs or _is_listed(vm))
    return len(engine.runs) < runs


def test_the_failures_of_an_item_outlive_the_vms_that_saw_them(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against counts that are lost with each VM that runs the item."""
    engine = scene.add_engine()
    engine.faults = [gatewayengine.Fault("error")] * 100
    vms = [scene.add_vm(f"vm{number}") for number in range(_VMS)]
    assert vms[0].submit("job", [_item("bad")]).status == 202
    while len(vms) > 1 and not _await_failures(engine, vms[-1]):
        for vm in [row for row in vms if _has_job(row)]:
            vms.remove(vm)
            _lose_power(vm)
    gatewayscene.until(lambda: _is_listed(vms[-1]))
    assert len(engine.runs) <= _TOLERANCE * _MAX_ATTEMPTS
    (row,) = vms[-1].results("job").json()["results"]
    assert row["state"] == "errored"


@pytest.mark.parametrize("kind", ["unsigned-error", "unsigned-never"])
def test_failures_without_a_signature_do_not_go_on_and_on(
    scene: gatewayscene.Scene, kind: str
) -> None:
    """Guards against taking each of them for a run that only broke off."""
    engine = scene.add_engine()
    engine.faults = [gatewayengine.Fault(kind)] * 100
    vm = scene.add_vm()
    assert vm.submit("job", [_item("bad")]).status == 202
    time.sleep(_UNSIGNED_S)
    assert 0 < len(engine.runs) <= _MAX_NEVER
    assert not _is_listed(vm)
