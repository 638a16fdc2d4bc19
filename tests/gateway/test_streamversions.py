"""Streams and items of services whose upstreams run several versions."""

import base64
import time
from typing import Any

from gateway import members
from support import gatewayengine
from support import gatewayscene

Fault = gatewayengine.Fault
_STREAMS = 8


def _add_engines(
    scene: gatewayscene.Scene, *versions: str
) -> list[gatewayengine.Engine]:
    return [scene.add_engine(version=version) for version in versions]


def _add_vms(scene: gatewayscene.Scene, count: int) -> list[gatewayscene.Vm]:
    vms = [scene.add_vm(f"vm{n}", f"d{n % 3}") for n in range(count)]
    for vm in vms:
        found = vm.kernel.find("membership", members.Members)
        gatewayscene.until(lambda found=found: found.count() == count)
    return vms


def _begin(vm: gatewayscene.Vm, attempt: str) -> gatewayscene.Answer:
    """Begins a stream that breaks off, with all upstreams that may go on."""
    return vm.call("POST", "/s/x", b"p", attempt=attempt)


def _take_up(
    vm: gatewayscene.Vm, attempt: str, began: str, last_event: int = 2
) -> gatewayscene.Answer:
    """Takes up a stream as a caller does."""
    headers = {"Last-Event-Id": str(last_event), "Resumes": began}
    return vm.call("POST", "/s/x", b"p", attempt=attempt, headers=headers)


def _run_of(
    engines: list[gatewayengine.Engine], attempt: str
) -> list[tuple[int, int]]:
    """Returns the runs of an attempt: the engine's number and last event."""
    found = [
        (run.at_s, number, run.last_event)
        for number, engine in enumerate(engines)
        for run in engine.runs
        if run.attempt == attempt
    ]
    return [(number, last) for _, number, last in sorted(found)]


def test_a_broken_stream_does_not_go_on_at_another_software_version(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against an answer with events of two versions."""
    engines = _add_engines(scene, "v1", "v2")
    vm = scene.add_vm()
    for number in range(_STREAMS):
        for engine in engines:
            engine.faults = [Fault("cut", 2)]
        answer = _begin(vm, f"a{number}")
        assert not answer.is_whole
        assert len(_run_of(engines, f"a{number}")) == 1


def test_a_stream_is_taken_up_at_its_version_after_its_vm_is_lost(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a version that only the VM knows that began the stream."""
    versions = ("v1", "v2", "v1", "v2")
    engines = _add_engines(scene, *versions)
    vms = _add_vms(scene, 4)
    for number in range(_STREAMS):
        for engine in engines:
            engine.faults = [Fault("cut", 2), Fault("cut", 0)]
        assert not _begin(vms[0], f"a{number}").is_whole
    for engine in engines:
        engine.faults = []
    vms[0].lose_power()
    for number in range(_STREAMS):
        answer = _take_up(vms[1 + number % 3], f"b{number}", f"a{number}")
        assert (answer.status, answer.is_whole) == (200, True)
        ((resumed, last_event),) = _run_of(engines, f"b{number}")
        began, _ = _run_of(engines, f"a{number}")[0]
        assert last_event == 2
        assert versions[resumed] == versions[began]


def _job(name: str) -> list[dict[str, Any]]:
    body = base64.b64encode(name.encode()).decode()
    return [gatewayscene.item(name) | {"body": body}]


def _output(vm: gatewayscene.Vm, job: str) -> Any:
    end_s = time.monotonic() + 20.0
    while time.monotonic() < end_s:
        answer = vm.results(job, wait_ms=300)
        if answer.status == 200 and answer.json()["results"]:
            return answer.json()["results"][0]["output"]
    raise AssertionError("the item was not done in time")


def test_an_item_does_not_go_on_at_another_software_version(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against an item's text that two versions wrote."""
    engines = _add_engines(scene, "v1", "v2")
    vm = scene.add_vm()
    for number in range(_STREAMS):
        for engine in engines:
            engine.faults = [Fault("cut", 2)]
        assert vm.submit(f"j{number}", _job(f"i{number}")).status == 202
        expected = "\n".join(f"data {event}" for event in range(1, 6))
        assert _output(vm, f"j{number}") == expected
        runs = _run_of(engines, f"i{number}")
        whole = max(at for at, last in enumerate(runs) if last[1] == 0)
        assert len({at for at, _ in runs[whole:]}) == 1
