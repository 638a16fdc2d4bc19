"""Tests of memory for large batch items."""

import random

from gateway import records
from gateway.decisions import batchorder
from gateway.decisions import enginestates
from gateway.decisions import slotledger
from gateway.decisions import slotrecords
from support import ledgerreplay

_ENGINES = 2
_ENGINE = records.Engine(8, ledgerreplay.MEMORY_TOKENS)
_LARGE_TOKENS = 60_000
_SMALL_TOKENS = 15_000
_RUN_S = 5.0
_STEP_S = 0.1
_LENGTH_S = 20.0
_SOON = batchorder.ItemPriority(30.0)
_LATER = batchorder.ItemPriority(60.0)


def _ledger() -> slotledger.Ledger:
    states = enginestates.EngineStates(ledgerreplay.KnownTimes())
    ledger = slotledger.Ledger(random.Random(1), states)
    rows = ledgerreplay.engines(_ENGINES)
    ledger.set_engines(rows, None, _ENGINE)
    return ledger


def _batch_run(
    name: str, tokens: int, priority: batchorder.ItemPriority
) -> slotrecords.BatchRun:
    cost = ledgerreplay.cost(name, tokens)
    return slotrecords.BatchRun(name, priority, cost)


def _replay(ledger: slotledger.Ledger) -> dict[str, float]:
    """Two VMs ask for slots, one of them for a large item first.

    Returns:
        When each item began, in seconds.
    """
    begun_s: dict[str, float] = {}
    large = [_batch_run("large", _LARGE_TOKENS, _SOON)]
    for step in range(int(_LENGTH_S / _STEP_S)):
        now_s = step * _STEP_S
        for run, began_s in begun_s.items():
            if 0 <= now_s - began_s - _RUN_S < _STEP_S:
                ledger.release(run, now_s, outcome="ok", first_event_s=0.1)
        # Either may come first.
        for vm in ("vm2", "vm1")[:: 1 if step % 2 else -1]:
            runs = [
                _batch_run(f"{vm}.{step}.{number}", _SMALL_TOKENS, _LATER)
                for number in range(2)
            ]
            if vm == "vm1" and now_s > 1.0 and "large" not in begun_s:
                runs = large + runs
            engines = ledger.take_batch(vm, runs, now_s)
            for row, instance in zip(runs, engines, strict=False):
                if instance:
                    begun_s[row.run] = now_s
    return begun_s


def test_a_large_item_that_is_due_first_gets_memory() -> None:
    """Guards against small items of other VMs that take what comes free."""
    begun_s = _replay(_ledger())
    assert begun_s.get("large", _LENGTH_S) <= 1.0 + 2 * _RUN_S


def test_small_items_go_on_while_a_large_one_waits() -> None:
    """Guards against a large item that holds up the items of its VM."""
    ledger = _ledger()
    full = [
        _batch_run(f"full.{number}", _SMALL_TOKENS, _LATER)
        for number in range(2 * _ENGINES)
    ]
    assert set(ledger.take_batch("vm2", full, 0.0)) == {"i-0", "i-1"}
    large = _batch_run("large", _LARGE_TOKENS, _SOON)
    rows = [
        _batch_run(f"small.{number}", _SMALL_TOKENS, _LATER)
        for number in range(4)
    ]
    placed = ledger.take_batch("vm1", [large, *rows], 0.1)
    assert placed[0] == ""
    # One engine makes room for the large item, the other one goes on.
    assert placed[1] in ("i-0", "i-1")
    assert placed[1:] == (placed[1], placed[1], "", "")
