"""Streams and items of services whose upstreams run several versions."""

import base64
import time
from typing import Any

import pytest

from bulrushdeal import clock
from bulrushdeald import peers
from bulrushplatform import operators
from gateway import configuration
from gateway import names
from gateway import records
from gateway import streamorigins
from gateway import upstreamlist
from gateway.decisions import routehistory
from support import gatewayengine
from support import gatewayscene

Fault = gatewayengine.Fault
_STREAMS = 8
# In place of ten seconds.
_TAKE_UP_S = 1.5
# How long ago a stream may have begun.
_SPAN_S = 1.0
_SUSPENDED_S = 20.0


def _add_engines(
    scene: gatewayscene.Scene, *versions: str
) -> list[gatewayengine.Engine]:
    return [scene.add_engine(version=version) for version in versions]


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


def test_a_broken_stream_goes_on_at_its_own_software_version(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against giving up streams that another upstream can continue."""
    versions = ("v1", "v2", "v1", "v2")
    engines = _add_engines(scene, *versions)
    vm = scene.add_vm()
    for number in range(40):
        for engine in engines[:2]:
            engine.faults = [Fault("cut", 2)]
        assert _begin(vm, f"a{number}").is_whole
        runs = _run_of(engines, f"a{number}")
        assert len({versions[at] for at, _ in runs}) == 1
        if len(runs) > 1:
            return
    raise AssertionError("no stream was resumed")


def test_a_stream_is_taken_up_at_its_version_after_its_vm_is_lost(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a version that only the VM knows that began the stream."""
    versions = ("v1", "v2", "v1", "v2")
    engines = _add_engines(scene, *versions)
    vms = scene.add_vms(4)
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


def test_an_item_whose_version_is_gone_begins_anew(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against an item that waits for upstreams that never come."""
    (first,) = _add_engines(scene, "v1")
    first.faults = [Fault("cut", 2)]
    first.on_crash = lambda: None
    vm = scene.add_vm()
    assert vm.submit("j", _job("i")).status == 202
    gatewayscene.until(lambda: first.runs)
    (second,) = _add_engines(scene, "v2")
    scene.list_engine(first, "draining")
    assert _output(vm, "j") == "\n".join(f"data {n}" for n in range(1, 6))
    for engine in (first, second):
        wholes = [run.last_event for run in engine.runs]
        assert wholes[:1] in ([], [0])


def _origins(vm: gatewayscene.Vm) -> streamorigins.StreamOrigins:
    return vm.kernel.find(names.STREAM_ORIGINS, streamorigins.StreamOrigins)


def test_a_stream_whose_beginning_nobody_knows_is_refused(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a guess at the version, with or without the attempt."""
    engines = _add_engines(scene, "v1", "v2")
    vms = scene.add_vms(2)
    for began in ("", "nobody"):
        answer = _take_up(vms[0], f"b{began}", began)
        assert answer.status == 503
        assert not _run_of(engines, f"b{began}")


def test_a_stream_of_a_service_that_has_run_one_version_goes_on(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against refusals where no other version can have begun it."""
    _add_engines(scene, "v1", "v1")
    vms = scene.add_vms(2)
    time.sleep(1.5)
    for span_s, version in ((0.5, "v1"), (60.0, "")):
        origin = _origins(vms[0]).find(
            "nobody", "llm", span_s, is_only_service=True
        )
        assert origin.software_version == version


def _cut_off(vm: gatewayscene.Vm) -> None:
    """Cuts a VM off from the others and the store; callers reach it."""
    vm.client.is_down = True
    vm.kernel.find("peers", peers.WebsocketPeers).stop(0.1)


def _find_version(vm: gatewayscene.Vm, attempt: str) -> str:
    found = _origins(vm).find(attempt, "llm", _SPAN_S, is_only_service=True)
    return found.software_version


def test_a_vm_that_is_cut_off_joins_no_stream_of_a_new_version(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a list from before a release that decides alone."""
    _add_engines(scene, "v1", "v1")
    vms = scene.add_vms(3)
    gatewayscene.until(lambda: _find_version(vms[2], "nobody") == "v1")
    _cut_off(vms[2])
    (joined,) = _add_engines(scene, "v2")
    gatewayscene.until(lambda: joined.instance in _listed(vms[0]))
    _origins(vms[0]).record(
        "a", records.StreamOrigin("llm", "v2"), _SPAN_S, is_only_service=True
    )
    # For as long as its list counts, and just after it.
    for _ in range(6):
        assert _find_version(vms[2], "a") == ""
        time.sleep(1.0)


def test_a_vm_that_others_know_better_than_joins_no_stream(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a late list, as the VM that began a stream is lost."""
    _add_engines(scene, "v1", "v1")
    vms = scene.add_vms(3)
    gatewayscene.until(lambda: _find_version(vms[2], "nobody") == "v1")
    late = vms[2].kernel.find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
    monkeypatch.setattr(late, "apply_received", lambda *row: None)
    monkeypatch.setattr(late, "read", lambda *row: False)
    (joined,) = _add_engines(scene, "v2")
    gatewayscene.until(lambda: joined.instance in _listed(vms[1]))
    vms[0].lose_power()
    assert _find_version(vms[2], "a") == ""


def test_a_vm_that_loses_its_others_concludes_from_a_list_read_now(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against refusals at the only VM that is left."""
    _add_engines(scene, "v1", "v1")
    vms = scene.add_vms(3)
    gatewayscene.until(lambda: _find_version(vms[2], "nobody") == "v1")
    for vm in vms[:2]:
        vm.lose_power()
    gatewayscene.until(lambda: _find_version(vms[2], "nobody") == "v1")


def test_a_list_grows_old_while_its_vm_is_suspended(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a list that looks new, as the usual clock stood still."""
    _add_engines(scene, "v1", "v1")
    vm = scene.add_vm()
    gatewayscene.until(lambda: _find_version(vm, "nobody") == "v1")
    now_s = clock.boottime_s
    monkeypatch.setattr(clock, "boottime_s", lambda: now_s() + _SUSPENDED_S)
    assert _find_version(vm, "nobody") == ""
    gatewayscene.until(lambda: _find_version(vm, "nobody") == "v1")


def _listed(vm: gatewayscene.Vm) -> frozenset[str]:
    found = vm.kernel.find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
    return found.instances()


def test_a_stream_is_found_while_one_of_the_asked_is_silent(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against knowledge that is lost with two VMs of four."""
    engines = _add_engines(scene, "v1", "v2")
    vms = scene.add_vms(4)
    for number in range(_STREAMS):
        for engine in engines:
            engine.faults = [Fault("cut", 2)]
        assert not _begin(vms[0], f"a{number}").is_whole
    for vm in vms[:2]:
        vm.lose_power()
    for number in range(_STREAMS):
        began, _ = _run_of(engines, f"a{number}")[0]
        found = _origins(vms[2 + number % 2]).find(f"a{number}", "llm", 60.0)
        assert found.software_version == ("v1", "v2")[began]


def test_a_stream_is_taken_up_more_than_once(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a third try that nobody knows the beginning of."""
    engines = _add_engines(scene, "v1", "v1", "v2", "v2")
    vms = scene.add_vms(3)
    for engine in engines:
        engine.faults = [Fault("cut", 1), Fault("cut", 0)]
    assert not _begin(vms[0], "a").is_whole
    began, _ = _run_of(engines, "a")[0]
    for number in range(2, 5):
        for engine in engines:
            engine.faults = [Fault("cut", 1), Fault("cut", 0)]
            engine.faults[0] = Fault("cut", number)
        _take_up(vms[number % 3], f"b{number}", "a", number - 1)
        runs = _run_of(engines, f"b{number}")
        assert runs
        assert all(at // 2 == began // 2 for at, _ in runs)


def test_an_upstream_without_a_version_continues_no_stream(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking two unknown versions for the same."""
    decode = operators.decode_upstream

    def decode_without(key: str, value: bytes) -> records.Upstream:
        # As a list from a VM of an older build.
        return decode(key, value)._replace(software_version="")

    monkeypatch.setattr(operators, "decode_upstream", decode_without)
    engines = _add_engines(scene, "v1", "v1")
    for engine in engines:
        engine.faults = [Fault("cut", 2)]
    assert not _begin(scene.add_vm(), "a").is_whole
    assert len(_run_of(engines, "a")) == 1


def test_an_item_goes_on_after_its_version_was_away_for_a_moment(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against work that is thrown away in a burst of crashes."""
    first, second = _add_engines(scene, "v1", "v2")
    first.faults = [Fault("cut", 3)]
    scene.list_engine(second, "draining", version="v2")
    vm = scene.add_vm()
    assert vm.submit("j", _job("i")).status == 202
    gatewayscene.until(lambda: first.runs)
    scene.list_engine(second, version="v2")
    scene.store.write(f"servers/{first.instance}", None)
    time.sleep(2.0)
    scene.list_engine(first, version="v1")
    assert _output(vm, "j") == "\n".join(f"data {n}" for n in range(1, 6))
    assert [run.last_event for run in first.runs] == [0, 3]
    assert not second.runs


def test_a_stream_does_not_go_on_at_another_service(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a route that moves while its streams are taken up."""
    engines = _add_engines(scene, "v1")
    vm = scene.add_vm()
    origin = records.StreamOrigin("before", "v1")
    _origins(vm).record("a", origin, 60.0)
    assert _take_up(vm, "b", "a").status == 503
    assert not _run_of(engines, "b")


def test_no_stream_is_joined_after_all_vms_were_killed(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against text of a version that left while no VM was there."""
    engines = _add_engines(scene, "v1", "v1", "v2")
    vms = scene.add_vms(3)
    for number in range(_STREAMS):
        for engine in engines:
            engine.faults = [Fault("cut", 2), Fault("cut", 0)]
        assert not _begin(vms[number % 3], f"a{number}").is_whole
    for vm in vms:
        vm.lose_power()
    for engine in engines[:2]:
        scene.store.write(f"servers/{engine.instance}", None)
        engine.faults = []
    engines[2].faults = []
    again = [scene.add_vm(f"vm{n}", f"d{n % 3}") for n in range(3)]
    time.sleep(1.5)
    for number in range(_STREAMS):
        # A caller may name an attempt or none, and try more than once.
        for began in (f"a{number}", "", f"b{number}"):
            answer = _take_up(again[number % 3], f"b{number}{began}", began)
            assert answer.status == 503
            assert not _run_of(engines, f"b{number}{began}")


def _configure_span(
    scene: gatewayscene.Scene, version: int, **row: Any
) -> None:
    """Puts a configuration in force whose resumed streams are as told."""
    value = gatewayscene.configuration(version)
    value["routes"][1].update(row)
    value["services"].append(value["services"][0] | {"name": "other"})
    scene.configure(value)


@pytest.mark.parametrize(
    "before",
    [
        {"service": "other"},
        {
            "traffic_split": [
                {"service": "llm", "weight": 1},
                {"service": "other", "weight": 1},
            ]
        },
    ],
    ids=["moved", "split"],
)
def test_no_stream_of_another_service_of_its_route_is_joined(
    scene: gatewayscene.Scene,
    monkeypatch: pytest.MonkeyPatch,
    before: dict[str, Any],
) -> None:
    """Guards against a stream that goes on where its route has moved to."""
    # So that what all VMs know is enough to conclude from.
    monkeypatch.setattr(routehistory, "_TAKE_UP_S", _TAKE_UP_S)
    _configure_span(scene, 2, timeout_ms=500, **before)
    engine = scene.add_engine(version="v1")
    vm = scene.add_vm()
    # Until the versions at the service are known for long enough.
    time.sleep(3.0)
    _configure_span(scene, 3, timeout_ms=500, service="llm")
    feed = vm.kernel.find(names.CONFIGURATION, configuration.Feed)
    gatewayscene.until(lambda: _version(feed) == 3)
    assert _take_up(vm, "b", "").status == 503
    assert not engine.runs
    time.sleep(3.0)
    assert _take_up(vm, "c", "").status == 200


def test_a_stream_of_a_route_with_one_service_is_taken_up(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals where nothing but one service was possible."""
    monkeypatch.setattr(routehistory, "_TAKE_UP_S", _TAKE_UP_S)
    _configure_span(scene, 2, timeout_ms=500)
    scene.add_engine(version="v1")
    vm = scene.add_vm()
    time.sleep(3.0)
    assert _take_up(vm, "b", "").status == 200


def test_a_shortened_timeout_does_not_shorten_what_is_looked_back_at(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a version that is forgotten before its streams end."""
    monkeypatch.setattr(routehistory, "_TAKE_UP_S", _TAKE_UP_S)
    _configure_span(scene, 2, timeout_ms=20_000)
    engines = _add_engines(scene, "v1", "v2")
    vm = scene.add_vm()
    feed = vm.kernel.find(names.CONFIGURATION, configuration.Feed)
    _configure_span(scene, 3, timeout_ms=500)
    gatewayscene.until(lambda: _version(feed) == 3)
    scene.store.write(f"servers/{engines[0].instance}", None)
    time.sleep(4.0)
    assert _take_up(vm, "b", "").status == 503
    assert not engines[1].runs


def _version(feed: configuration.Feed) -> int:
    active = feed.current()
    return 0 if active is None else active.version
