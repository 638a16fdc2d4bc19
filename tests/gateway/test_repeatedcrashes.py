"""Tests with requests under which each upstream that runs them ends."""

import base64
import functools
import time
from typing import Any

from bulrushdeald import quarantine
from gateway import members
from support import gatewayengine
from support import gatewayscene

_POISON = b"poison"
_SENDS = 8
# Longer than an item waits after a failure.
_LONGEST_PAUSE_S = 5.0


def _add_engines(
    scene: gatewayscene.Scene, count: int
) -> list[gatewayengine.Engine]:
    engines = [scene.add_engine(domain=f"d{n % 2}") for n in range(count)]
    for engine in engines:
        engine.poisons.add(_POISON)
        engine.on_end = functools.partial(_unlist, scene, engine)
    return engines


def _unlist(scene: gatewayscene.Scene, engine: gatewayengine.Engine) -> None:
    scene.store.write(f"servers/{engine.instance}", None)


def _add_vms(scene: gatewayscene.Scene, count: int) -> list[gatewayscene.Vm]:
    vms = [scene.add_vm(f"vm{n}", f"d{n % 2}") for n in range(count)]
    for vm in vms:
        found = vm.kernel.find("membership", members.Members)
        gatewayscene.until(lambda found=found: found.count() == count)
    return vms


def _item(name: str, body: bytes) -> dict[str, Any]:
    encoded = base64.b64encode(body).decode()
    return gatewayscene.item(name) | {"body": encoded}


def _count_ended(engines: list[gatewayengine.Engine]) -> int:
    return sum(engine.has_ended for engine in engines)


def test_a_request_that_ends_upstreams_is_stopped_at_all_vms(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against one that ends an upstream each time it is sent again."""
    engines = _add_engines(scene, 6)
    vms = _add_vms(scene, 3)
    for number in range(_SENDS):
        vm = vms[number % len(vms)]
        answer = vm.call("POST", "/s/once/x", _POISON, attempt=f"p{number}")
        assert answer.status in (502, 503)
    assert _count_ended(engines) == quarantine.CRASHES_TO_REFUSE
    assert vms[0].call("POST", "/s/once/x", b"other", attempt="o").is_whole


def test_a_batch_item_that_ends_upstreams_is_held_back(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against an item that ends an upstream at each of its runs."""
    engines = _add_engines(scene, 6)
    (vm,) = _add_vms(scene, 1)
    poison = _item("bad", _POISON)
    rows = [_item(f"i{number}", b"%d" % number) for number in range(3)]
    assert vm.submit("job", [poison, *rows]).status == 202
    gatewayscene.until(
        lambda: len(vm.results("job").json()["results"]) == len(rows)
    )
    time.sleep(_LONGEST_PAUSE_S)
    assert _count_ended(engines) == quarantine.CRASHES_TO_REFUSE
    results = vm.results("job").json()["results"]
    assert {row["id"] for row in results} == {row["id"] for row in rows}
