"""Tests that batch items without a place hold up no others."""

import random
import time
from typing import Any

import pytest

from gateway import heldslots
from gateway import itemrun
from gateway import names
from gateway import placement
from gateway import records
from gateway import runner
from gateway import upstreamlist
from gateway.decisions import batchorder
from gateway.decisions import enginestates
from gateway.decisions import slotledger
from gateway.decisions import slotrecords
from support import gatewayscene
from support import ledgerreplay

# More than the items that one request for slots may name.
_MANY = 20
_SMALL = 10
_UPDATE_S = 0.08
_STEPS = 120
_STEP_S = 0.1
_ENGINE = records.Engine(8, ledgerreplay.MEMORY_TOKENS)
_SOON = batchorder.ItemPriority(30.0)
_LATER = batchorder.ItemPriority(60.0)


def _items(stem: str, count: int, tokens: int) -> list[dict[str, Any]]:
    return [
        {
            **gatewayscene.item(f"{stem}{number}"),
            "headers": {
                "Bulrushdeal-Model": "m",
                "Bulrushdeal-Token-Usage": f"{tokens},400",
            },
        }
        for number in range(count)
    ]


def _is_finished(vm: gatewayscene.Vm, job: str) -> bool:
    answer = vm.results(job)
    return answer.status == 200 and answer.json()["next"] == _SMALL


def test_items_too_large_for_any_engine_hold_up_no_other(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against small items that wait behind what never gets a slot."""
    engine = scene.add_engine()
    vm = scene.add_vm()
    assert vm.submit("large", _items("l", _MANY, 80_000)).status == 202
    assert vm.submit("small", _items("s", _SMALL, 350)).status == 202
    gatewayscene.until(lambda: _is_finished(vm, "small"), 5.0)
    assert len(engine.runs) == _SMALL
    # Larger engines may come until the items' retention is over.
    assert vm.results("large").json()["results"] == []
    job_runner = vm.kernel.find("runner", runner.Runner)
    assert job_runner.dump()["large"]["too_large"] == _MANY


def test_items_that_were_too_large_run_on_larger_engines(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against items given up though a configuration brings memory."""
    scene.add_engine()
    vm = scene.add_vm()
    assert vm.submit("large", _items("l", _SMALL, 80_000)).status == 202
    time.sleep(0.3)
    services = gatewayscene.configuration()["services"]
    services[0]["engine"]["kv_capacity_tokens"] = 200_000
    scene.configure(gatewayscene.configuration(2, services=services))
    gatewayscene.until(lambda: _is_finished(vm, "large"))


def test_items_that_wait_for_memory_hold_up_no_smaller_ones(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against slots that stay idle behind a request's first items."""
    for _ in range(2):
        scene.add_engine(events=300).pause_s = 0.05
    vm = scene.add_vm()
    assert vm.submit("running", _items("r", 2, 40_000)).status == 202
    gatewayscene.until(lambda: all(row.open for row in scene.engines))
    for row in scene.engines:
        row.events = 5
    assert vm.submit("waiting", _items("w", _MANY, 60_000)).status == 202
    assert vm.submit("small", _items("s", _SMALL, 350)).status == 202
    gatewayscene.until(lambda: _is_finished(vm, "small"), 5.0)
    assert vm.results("running").json()["results"] == []


def _batch_runs(
    stem: str, tokens: int, priority: batchorder.ItemPriority
) -> list[slotrecords.BatchRun]:
    return [
        slotrecords.BatchRun(
            f"{stem}.{number}", priority, ledgerreplay.cost(stem, tokens)
        )
        for number in range(_MANY)
    ]


def test_items_that_wait_for_memory_keep_no_slots_from_other_vms() -> None:
    """Guards against free slots that are left for what cannot use them."""
    states = enginestates.EngineStates(ledgerreplay.KnownTimes())
    ledger = slotledger.Ledger(random.Random(1), states)
    ledger.set_engines(ledgerreplay.engines(2), None, _ENGINE)
    for number in range(2):
        cost = ledgerreplay.cost(f"o{number}", 20_000)
        ledger.take_online(f"o{number}", "vm3", 0.0, target_s=1.0, cost=cost)
    large = _batch_runs("large", 60_000, _SOON)
    assert set(ledger.take_batch("vm1", large, 0.1)) == {""}
    small = _batch_runs("small", 350, _LATER)
    placed = [row for row in ledger.take_batch("vm2", small, 0.15) if row]
    # One engine makes room for a large item; the other has seven slots left.
    assert len(placed) == 7


def test_an_engine_makes_room_for_a_limited_time() -> None:
    """Guards against small items kept out for memory that never comes free."""
    states = enginestates.EngineStates(ledgerreplay.KnownTimes())
    ledger = slotledger.Ledger(random.Random(1), states)
    ledger.set_engines(ledgerreplay.engines(1), None, _ENGINE)
    cost = ledgerreplay.cost("o", 20_000)
    ledger.take_online("o", "vm3", 0.0, target_s=1.0, cost=cost)
    online = slotrecords.ReportRow("o", "i-0", cost=cost)
    large = _batch_runs("large", 60_000, _SOON)[:1]
    placed: list[str] = []
    for step in range(_STEPS):
        now_s = step * _STEP_S
        ledger.report("vm3", [online], now_s)
        small = _batch_runs(f"small.{step}", 350, _LATER)[:2]
        ledger.take_batch("vm1", large, now_s)
        placed += filter(None, ledger.take_batch("vm2", small, now_s))
    assert placed


def test_an_engine_gone_here_that_the_leader_grants_is_left_out(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an item that is granted the same unusable engine ever."""
    for _ in range(2):
        scene.add_engine()
    vm = scene.add_vm()
    placed = vm.kernel.find(names.PLACEMENT, placement.Placement)
    listed = vm.kernel.find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
    find = listed.find_usable

    def find_other(service: str, instance: str) -> records.Upstream | None:
        return None if instance == "i-0" else find(service, instance)

    monkeypatch.setattr(listed, "find_usable", find_other)
    slots: list[heldslots.Slot | None] = []
    for _ in range(6):
        slots += placed.take_batch("llm", [batchorder.ItemPriority()])
        # The leader knows by then that the slot was given back.
        time.sleep(_UPDATE_S)
    assert slots.count(None) <= 1


def test_a_suspect_without_a_slot_holds_up_no_other(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against suspects that wait for one which never starts."""
    vm = scene.add_vm()
    placed = vm.kernel.find(names.PLACEMENT, placement.Placement)
    asked: list[int] = []

    def take(
        service: str, priorities: list[Any], scope: Any, costs: list[Any]
    ) -> list[Any]:
        asked.extend(cost.input_tokens for cost in costs)
        return [None] * len(priorities)

    monkeypatch.setattr(placed, "take_batch", take)
    monkeypatch.setattr(itemrun.ItemRun, "is_suspect", lambda *row: True)
    assert vm.submit("large", _items("l", 1, 60_000)).status == 202
    assert vm.submit("small", _items("s", 1, 350)).status == 202
    gatewayscene.until(lambda: 350 in asked, 5.0)
