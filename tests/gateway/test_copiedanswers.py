"""Answers of upstreams that come twice, late, under the same request's id."""

import base64
from typing import Any

import pytest

from gateway import names
from gateway import upstreamlist
from support import gatewayengine
from support import gatewayscene

_RUN_S = 1.0


def _item(name: str) -> dict[str, Any]:
    body = base64.b64encode(name.encode()).decode()
    return gatewayscene.item(name) | {"body": body}


def _result(vm: gatewayscene.Vm) -> dict[str, Any]:
    def rows() -> list[dict[str, Any]]:
        answer = vm.results("job")
        return answer.json()["results"] if answer.status == 200 else []

    gatewayscene.until(lambda: bool(rows()))
    return rows()[0]


@pytest.mark.parametrize(("kind", "failed_runs"), [("busy", 0), ("error", 1)])
def test_a_second_copy_of_an_answer_is_not_that_of_an_items_next_run(
    scene: gatewayscene.Scene, kind: str, failed_runs: int
) -> None:
    """Guards against an item that begins elsewhere beside its run."""
    engine = scene.add_engine(events=5)
    engine.pause_s = _RUN_S / engine.events
    engine.faults = [gatewayengine.Fault(kind)]
    engine.copied = frozenset({500, 503})
    vm = scene.add_vm()
    assert vm.submit("job", [_item("i0")]).status == 202
    row = _result(vm)
    assert (row["state"], len(engine.runs)) == ("completed", 1 + failed_runs)
    assert all(work.left_s >= work.end_s for work in engine.work)


def test_a_second_copy_of_a_rejection_does_not_refuse_what_runs(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a refusal, or a second run, of what may run once."""
    engine = scene.add_engine()
    vm = scene.add_vm()
    listed = vm.kernel.find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
    engine.instance = "i-anew"
    engine.copied = frozenset({421})
    # Started anew at its address, it is listed under both names for a while.
    scene.list_engine(engine, domain="d2")
    gatewayscene.until(lambda: len(listed.usable("llm")) == 2)
    assert vm.call("POST", "/unsafe/x", attempt="a1").status == 200
    assert [run.attempt for run in engine.runs] == ["a1"]
