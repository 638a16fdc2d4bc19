"""Tests with requests that crash each upstream that runs them."""

import base64
from concurrent import futures
import contextlib
import functools
import itertools
import threading
import time
from typing import Any

import pytest

from bulrushdeald import quarantine
from gateway import crashrecords
from gateway import members
from gateway import names
from gateway import upstreamlist
from soak import links
from support import gatewayengine
from support import gatewayscene

_POISON = b"poison"
_SENDS = 8
# How long a crashed upstream stays on the list.
_SILENCE_S = 0.5
# From a request's third crash on, until when all VMs have to know.
_SETTLED_S = 3.0
_SEND_INTERVAL_S = 0.3
# Longer than an item waits after a failure.
_LONGEST_PAUSE_S = 5.0
# How long an item waits at least that has met several crashes.
_MIN_HOLD_S = 4.9
# How long an item that is owed may lie idle while there is room.
_MAX_IDLE_S = 20.0


def _add_engines(
    scene: gatewayscene.Scene, count: int
) -> list[gatewayengine.Engine]:
    engines = [scene.add_engine(domain=f"d{n % 2}") for n in range(count)]
    for engine in engines:
        engine.poisons.add(_POISON)
        engine.on_crash = functools.partial(
            scene.unlist_later, engine, _SILENCE_S
        )
    return engines


def _item(name: str, body: bytes) -> dict[str, Any]:
    encoded = base64.b64encode(body).decode()
    return gatewayscene.item(name) | {"body": encoded}


def _count_crashed(engines: list[gatewayengine.Engine]) -> int:
    return sum(engine.has_crashed for engine in engines)


def test_a_request_that_crashes_upstreams_is_stopped_at_all_vms(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against one that crashes an upstream whenever it is sent."""
    engines = _add_engines(scene, 6)
    vms = scene.add_vms(3, 2)
    for number in range(_SENDS):
        vm = vms[number % len(vms)]
        answer = vm.call("POST", "/s/once/x", _POISON, attempt=f"p{number}")
        assert answer.status in (502, 503)
    assert _count_crashed(engines) == quarantine.CRASHES_TO_REFUSE
    assert vms[0].call("POST", "/s/once/x", b"other", attempt="o").is_whole


def _send(vm: gatewayscene.Vm, path: str, attempt: str) -> int:
    return vm.call("POST", path, _POISON, attempt=attempt).status


@pytest.mark.parametrize("kind", ["once", "resumed", "safe", "unsafe"])
def test_requests_of_all_kinds_are_stopped(
    scene: gatewayscene.Scene, kind: str
) -> None:
    """Guards against a way to an upstream on which crashes are not counted."""
    engines = _add_engines(scene, 4)
    (vm,) = scene.add_vms(1, 2)
    path = {"once": "/s/once/x", "resumed": "/s/x"}.get(kind, f"/{kind}/x")
    for number in range(4):
        assert _send(vm, path, f"p{number}") in (502, 503)
    assert _count_crashed(engines) == quarantine.CRASHES_TO_REFUSE


def _add_streams(vms: list[gatewayscene.Vm], count: int) -> None:
    """Starts long streams, which upstreams send to while others crash them."""
    for number in range(count):
        call = functools.partial(
            vms[number % len(vms)].call,
            "POST",
            "/s/once/x",
            b"long",
            f"l{number}",
        )
        threading.Thread(target=call, daemon=True).start()
        time.sleep(0.03)


def _send_and_leave(vm: gatewayscene.Vm, attempt: str) -> None:
    """Sends a request and closes the connection soon after."""
    headers = {
        **gatewayscene.HEADERS,
        "Bulrushdeal-Request-Attempt-Id": attempt,
        "Bulrushdeal-Deadline-Ms": "4000",
    }
    with contextlib.closing(vm.connect()) as caller:
        caller.timeout = 0.15
        caller.request("POST", "/s/once/x", _POISON, headers)
        with contextlib.suppress(TimeoutError):
            caller.getresponse().read()


@pytest.mark.parametrize("vm_count", [1, 2])
def test_a_request_that_its_caller_leaves_is_stopped(
    scene: gatewayscene.Scene, vm_count: int
) -> None:
    """Guards against crashes that are seen by other requests only.

    The upstreams go on with a request whose caller has left, and send to
    others meanwhile, so no run of the request breaks off.
    """
    engines = _add_engines(scene, 5)
    for engine in engines:
        engine.events, engine.pause_s = 200, 0.05
        engine.watches, engine.poison_delay_s = False, 0.3
    vms = scene.add_vms(vm_count, 2)
    for number in range(4):
        _add_streams(vms, 20)
        before = _count_crashed(engines)
        _send_and_leave(vms[number % vm_count], f"p{number}")
        end_s = time.monotonic() + 2.0
        while _count_crashed(engines) == before and time.monotonic() < end_s:
            time.sleep(0.05)
        time.sleep(0.5)
    assert _count_crashed(engines) == quarantine.CRASHES_TO_REFUSE
    assert _send(vms[0], "/s/once/x", "last") == 503


def test_a_crash_in_the_middle_of_a_long_answer_counts(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against answers that are relayed before they are whole."""
    engines = _add_engines(scene, 4)
    for engine in engines:
        engine.long_answer_bytes = 2_000_000
    (vm,) = scene.add_vms(1, 2)
    for number in range(2):
        answer = vm.call("POST", "/unsafe/x", _POISON, f"p{number}")
        assert (answer.status, answer.is_whole) == (200, False)
    assert _send(vm, "/unsafe/x", "last") == 503
    assert vm.call("POST", "/unsafe/x", b"other", "other").is_whole
    assert _count_crashed(engines) == quarantine.CRASHES_TO_REFUSE


def test_a_break_at_an_upstream_that_lives_does_not_count(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against refusing a request because its answers were lost."""
    (engine,) = _add_engines(scene, 1)
    (vm,) = scene.add_vms(1, 2)
    engine.faults = [gatewayengine.Fault("cut")] * 3
    for number in range(3):
        assert vm.call("POST", "/s/once/x", b"p", f"a{number}").status == 502
    assert vm.call("POST", "/s/once/x", b"p", "last").is_whole


class _Forwarder:
    """An engine behind an address that accepts whether or not it runs.

    Attributes:
        crashes_s: When the engine crashed, on the monotonic clock.
    """

    def __init__(self, scene: gatewayscene.Scene, number: int) -> None:
        self._scene = scene
        self._domain = f"d{number % 2}"
        self._starts = 0
        self._engine = gatewayengine.Engine(f"i-{number}")
        scene.engines.append(self._engine)
        self._link = links.Link(self._engine_address)
        self.crashes_s: list[float] = []
        self._engine.poisons.add(_POISON)
        self._list()

    def close(self) -> None:
        self._link.close()

    def start_again_after_crashes(
        self, after_s: float, *, keeps_name: bool = False
    ) -> None:
        """Has a supervisor start the engine again after each crash."""

        def on_crash() -> None:
            self.crashes_s.append(time.monotonic())
            threading.Timer(after_s, self._start_again, [keeps_name]).start()

        self._engine.on_crash = on_crash

    def _engine_address(self) -> tuple[str, int]:
        host, _, port = self._engine.address.rpartition(":")
        return host, int(port)

    def _start_again(self, keeps_name: bool) -> None:
        old, name = self._engine.instance, self._engine.instance
        if not keeps_name:
            self._starts += 1
            name = f"{old.partition('.')[0]}.{self._starts}"
            self._scene.store.write(f"servers/{old}", None)
        self._engine.start_again(name)
        self._list()

    def _list(self) -> None:
        self._scene.list_engine(
            self._engine,
            domain=self._domain,
            address=self._link.host_port,
            born=int(time.time() * 1000),
        )


@pytest.mark.parametrize(
    ("after_s", "keeps_name"),
    [(0.05, False), (0.05, True), (1.0, False)],
    ids=["another-instance", "the-same-instance", "resets-meanwhile"],
)
def test_a_request_is_stopped_though_the_addresses_of_its_victims_accept(
    scene: gatewayscene.Scene, after_s: float, *, keeps_name: bool
) -> None:
    """Guards against taking a crash behind a proxy for a lost answer."""
    engines = [_Forwarder(scene, number) for number in range(6)]
    for engine in engines:
        engine.start_again_after_crashes(after_s, keeps_name=keeps_name)
    vms = scene.add_vms(3, 2)
    end_s = time.monotonic() + 3 * _SETTLED_S
    while time.monotonic() < end_s:
        for number, vm in enumerate(vms):
            assert _send(vm, "/s/once/x", f"p{number}") in (502, 503)
            time.sleep(_SEND_INTERVAL_S)
    crashes_s = sorted(at_s for row in engines for at_s in row.crashes_s)
    known_s = crashes_s[2] + _SETTLED_S if len(crashes_s) > 2 else end_s
    assert [at_s for at_s in crashes_s if at_s > known_s] == []
    assert vms[0].call("POST", "/s/once/x", b"other", attempt="o").is_whole
    for engine in engines:
        engine.close()


def test_a_crashed_upstream_whose_address_accepts_draws_few_requests(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against failing callers who could be served elsewhere."""
    # They stay listed after a crash; their addresses accept and reset.
    engines = [_Forwarder(scene, number) for number in range(3)]
    (vm,) = scene.add_vms(1, 2)
    assert _send(vm, "/s/once/x", "poison") == 502
    statuses = [
        vm.call("POST", "/s/once/x", b"other", f"o{number}").status
        for number in range(20)
    ]
    # One more finds out whether it is back.
    assert statuses.count(502) <= 1, statuses
    assert statuses.count(200) >= len(statuses) - 1
    for engine in engines:
        engine.close()


def test_copies_of_an_item_that_was_held_back_crash_one_upstream(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against VMs that all try again at the end of the same wait."""
    hold_s = 3.0
    monkeypatch.setattr(quarantine, "_FIRST_HOLD_S", hold_s)
    engines = [_Forwarder(scene, number) for number in range(6)]
    for engine in engines:
        engine.start_again_after_crashes(1.0)
    vms = scene.add_vms(3, 2)
    assert vms[0].submit("first", [_item("bad", _POISON)]).status == 202
    found = vms[0].kernel.find(names.CRASH_RECORDS, crashrecords.CrashRecords)
    gatewayscene.until(lambda: found.counts().refused == 1)
    for number, vm in enumerate(vms):
        rows = [_item(f"c{number}.{copy}", _POISON) for copy in range(3)]
        assert vm.submit(f"job{number}", rows).status == 202
    before = sum(len(row.crashes_s) for row in engines)
    time.sleep(2 * hold_s)
    after = sum(len(row.crashes_s) for row in engines)
    for engine in engines:
        engine.close()
    assert 1 <= after - before <= 2


def test_an_upstream_that_leaves_as_planned_does_not_count(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against holding back long items while upstreams are replaced."""
    engines = _add_engines(scene, 3)
    (vm,) = scene.add_vms(1, 2)
    for engine in engines:
        engine.events, engine.pause_s = 40, 0.1
    with futures.ThreadPoolExecutor() as pool:
        stream = pool.submit(vm.call, "POST", "/s/x", b"p")
        gatewayscene.until(lambda: any(row.open for row in engines))
        (engine,) = [row for row in engines if row.open]
        scene.list_engine(engine, "draining")
        gatewayscene.until(lambda: not _is_usable(vm, engine))
        engine.crash()
        stream.result()
    found = vm.kernel.find(names.CRASH_RECORDS, crashrecords.CrashRecords)
    assert found.is_empty()


def _lose_an_answer(
    scene: gatewayscene.Scene, **settings: Any
) -> tuple[gatewayengine.Engine, gatewayscene.Vm, crashrecords.CrashRecords]:
    """Returns an engine and a VM after a request whose answer was cut off."""
    (engine,) = _add_engines(scene, 1)
    vm = scene.add_vm(**settings)
    found = vm.kernel.find(names.CRASH_RECORDS, crashrecords.CrashRecords)
    engine.faults = [gatewayengine.Fault("cut", 2)]
    assert vm.call("POST", "/s/once/x", b"p", "a0").is_whole is False
    return engine, vm, found


def _leave(
    scene: gatewayscene.Scene,
    engine: gatewayengine.Engine,
    vm: gatewayscene.Vm,
) -> None:
    scene.store.write(f"servers/{engine.instance}", None)
    gatewayscene.until(lambda: not _is_usable(vm, engine))


def test_a_lost_answer_does_not_count_though_its_upstream_leaves_later(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against counting a break whose request has run to its end."""
    engine, vm, found = _lose_an_answer(scene)
    assert not found.is_empty()
    assert vm.call("POST", "/s/once/x", b"p", "a1").is_whole
    _leave(scene, engine, vm)
    assert found.is_empty()


def test_a_lost_answer_does_not_count_when_its_upstream_goes_much_later(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against comparing a break with a list of long after."""
    engine, vm, found = _lose_an_answer(scene, heartbeat_s=0.1)
    gatewayscene.until(found.is_empty)
    _leave(scene, engine, vm)
    assert found.counts().recorded == 0


def test_a_break_just_before_a_planned_end_does_not_count(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against counting breaks at upstreams that drain afterwards."""
    engine, vm, found = _lose_an_answer(scene)
    scene.list_engine(engine, "draining")
    gatewayscene.until(found.is_empty)
    _leave(scene, engine, vm)
    assert found.counts().recorded == 0


def _is_usable(vm: gatewayscene.Vm, engine: gatewayengine.Engine) -> bool:
    listed = vm.kernel.find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
    return listed.find_usable("llm", engine.instance) is not None


def test_a_request_is_stopped_at_an_address_that_is_used_again(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against counting by address, which others take over."""
    (engine,) = _add_engines(scene, 1)
    (vm,) = scene.add_vms(1, 2)
    for number in range(quarantine.CRASHES_TO_REFUSE):
        assert _send(vm, "/s/once/x", f"p{number}") == 502
        assert engine.has_crashed
        engine.start_again(f"again-{number}")
        scene.list_engine(engine)
        gatewayscene.until(
            lambda: vm.call("POST", "/safe/y", b"other", "o").status == 200
        )
    assert _send(vm, "/s/once/x", "last") == 503
    assert not engine.has_crashed


def test_a_request_is_stopped_though_its_leader_and_all_who_saw_it_are_gone(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against crashes that only the VMs that saw them remember."""
    engines = _add_engines(scene, 6)
    vms = scene.add_vms(3, 2)
    leaders = vms[0].kernel.find("membership", members.Members).leaders("llm")
    vms.sort(key=lambda vm: vm.name == leaders[-1])
    for number, vm in enumerate(vms[: quarantine.CRASHES_TO_REFUSE]):
        assert _send(vm, "/s/once/x", f"p{number}") == 502
        vm.lose_power()
    assert _send(vms[-1], "/s/once/x", "last") == 503
    assert _count_crashed(engines) == quarantine.CRASHES_TO_REFUSE


def test_a_request_is_stopped_after_all_vms_lost_power(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against crashes that are kept in memory only."""
    engines = _add_engines(scene, 6)
    vms = scene.add_vms(2, 2)
    for number, vm in enumerate(vms):
        assert _send(vm, "/s/once/x", f"p{number}") == 502
    gatewayscene.until(
        lambda: any("/crashes/" in key for key in scene.store.rows)
    )
    for vm in vms:
        vm.lose_power()
    started = scene.add_vm("vm2", "d0")
    found = started.kernel.find(names.CRASH_RECORDS, crashrecords.CrashRecords)
    gatewayscene.until(lambda: not found.is_empty())
    assert _send(started, "/s/once/x", "last") == 503
    assert _count_crashed(engines) == quarantine.CRASHES_TO_REFUSE


def test_a_batch_item_that_crashes_upstreams_is_held_back(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against an item that crashes an upstream at each of its runs."""
    engines = _add_engines(scene, 6)
    (vm,) = scene.add_vms(1, 2)
    poison = _item("bad", _POISON)
    rows = [_item(f"i{number}", b"%d" % number) for number in range(3)]
    assert vm.submit("job", [poison, *rows]).status == 202
    gatewayscene.until(
        lambda: len(vm.results("job").json()["results"]) == len(rows)
    )
    time.sleep(3 * _LONGEST_PAUSE_S)
    runs_s = _runs_s(engines, "bad")
    assert len(runs_s) <= 4
    pauses_s = [after - before for before, after in itertools.pairwise(runs_s)]
    assert min(pauses_s[1:]) >= _MIN_HOLD_S
    results = vm.results("job").json()["results"]
    assert {row["id"] for row in results} == {row["id"] for row in rows}


def _count_listed(vm: gatewayscene.Vm) -> int:
    """Returns how many results a job has, read page by page."""
    count = 0
    while rows := vm.results("job", count).json()["results"]:
        count += len(rows)
    return count


def _runs_s(engines: list[gatewayengine.Engine], attempt: str) -> list[float]:
    return sorted(
        run.at_s
        for engine in engines
        for run in engine.runs
        if run.attempt == attempt
    )


def test_an_item_under_which_upstreams_crashed_is_done_when_all_is_calm(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a sound item that bursts of crashes make a suspect."""
    vms = scene.add_vms(2, 2)
    rows = [_item(f"i{number}", b"%d" % number) for number in range(3)]
    engines = [scene.add_engine(events=40)]
    engines[0].pause_s = 0.1
    assert vms[0].submit("job", rows).status == 202
    for _ in range(8):
        engine = engines[-1]
        gatewayscene.until(lambda engine=engine: engine.open)
        scene.unlist_later(engine, _SILENCE_S)
        engine.crash()
        engines.append(scene.add_engine(events=40))
        engines[-1].pause_s = 0.1
    engines[-1].pause_s = 0.01
    calm_s = time.monotonic()
    gatewayscene.until(
        lambda: _count_listed(vms[1]) == len(rows), _MAX_IDLE_S + 5.0
    )
    assert time.monotonic() - calm_s < _MAX_IDLE_S
