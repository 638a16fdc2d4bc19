"""Requests that differ but share a part that crashes upstreams."""

from collections.abc import Mapping
import functools

from gateway import crashrecords
from gateway import names
from support import gatewayengine
from support import gatewayscene

_BAD = "bad"
# What may crash before the part is refused.
_MAX_CRASHES = 5
_SENDS = 14
_UNLISTED_S = 0.3


def _add_engines(
    scene: gatewayscene.Scene, count: int
) -> list[gatewayengine.Engine]:
    engines = [scene.add_engine(domain=f"d{n % 3}") for n in range(count)]
    for engine in engines:
        engine.deadly_parts.add(_BAD)
        engine.on_crash = functools.partial(
            scene.unlist_later, engine, _UNLISTED_S
        )
    return engines


def _prompt(*parts: str) -> Mapping[str, str]:
    return {
        "Bulrushdeal-Model": "m",
        "Bulrushdeal-Token-Usage": f"{100 * len(parts)},20",
        "Bulrushdeal-Prompt-Prefix": ",".join(f"{row}:100" for row in parts),
    }


def _send(
    vm: gatewayscene.Vm, attempt: str, *parts: str
) -> gatewayscene.Answer:
    """Sends a request that no other request is like."""
    return vm.call(
        "POST",
        f"/s/once/{attempt}",
        attempt.encode(),
        attempt,
        _prompt(*parts, f"own-{attempt}"),
    )


def _count_crashed(engines: list[gatewayengine.Engine]) -> int:
    return sum(engine.has_crashed for engine in engines)


def test_a_part_that_crashes_upstreams_is_refused_at_all_vms(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against requests that differ and crash one after the other."""
    engines = _add_engines(scene, 9)
    vms = scene.add_vms(3)
    for number in range(_SENDS):
        vm = vms[number % 3]
        assert _send(vm, f"p{number}", "first", _BAD).status in (502, 503)
        sound = _send(vm, f"s{number}", "first", f"session{number % 2}")
        assert sound.is_whole
    assert _count_crashed(engines) <= _MAX_CRASHES


def _crash_until_refused(
    vms: list[gatewayscene.Vm], engines: list[gatewayengine.Engine]
) -> int:
    """Returns how many upstreams crashed before the part was refused."""
    for number in range(_MAX_CRASHES):
        _send(vms[number % len(vms)], f"p{number}", "first", _BAD)
        _send(vms[number % len(vms)], f"s{number}", "first", "fine")
    return _count_crashed(engines)


def _is_refused(records: crashrecords.CrashRecords) -> bool:
    return records.parts.judge(("first", _BAD)).verdict == "refused"


def test_a_refused_part_is_known_after_a_restart_of_all_vms(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a verdict that is lost with the VMs that made it."""
    engines = _add_engines(scene, 9)
    vms = scene.add_vms(3)
    crashed = _crash_until_refused(vms, engines)
    gatewayscene.until(
        lambda: any("crashes/part-" in key for key in scene.store.rows)
    )
    for vm in vms:
        vm.lose_power()
    after = scene.add_vm("vm9", "d1")
    records = after.kernel.find(names.CRASH_RECORDS, crashrecords.CrashRecords)
    gatewayscene.until(lambda: _is_refused(records))
    for number in range(4):
        assert _send(after, f"q{number}", "first", _BAD).status == 503
    assert _send(after, "fine", "first", "fine").is_whole
    assert _count_crashed(engines) == crashed


def test_a_refused_part_is_known_at_a_vm_that_comes_later(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a VM that was added, or cut off, after the crashes."""
    engines = _add_engines(scene, 9)
    vms = scene.add_vms(2)
    crashed = _crash_until_refused(vms, engines)
    later = scene.add_vm("vm9", "d2")
    records = later.kernel.find(names.CRASH_RECORDS, crashrecords.CrashRecords)
    gatewayscene.until(lambda: _is_refused(records))
    assert _send(later, "q", "first", _BAD).status == 503
    assert _count_crashed(engines) == crashed


def test_one_vm_alone_may_try_a_part(scene: gatewayscene.Scene) -> None:
    """Guards against a trial at each VM as soon as it is due."""
    vms = scene.add_vms(3)
    found = [
        vm.kernel.find(names.CRASH_RECORDS, crashrecords.CrashRecords)
        for vm in vms
    ]
    assert sum(row.parts.may_try("part", ("part",)) for row in found) == 1


def test_an_item_with_a_deadly_part_is_held_back_and_others_are_done(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against items that crash what online requests no longer may."""
    engines = _add_engines(scene, 9)
    vms = scene.add_vms(2)
    crashed = _crash_until_refused(vms, engines)
    bad = gatewayscene.item("bad") | {"headers": _prompt("first", _BAD, "b")}
    good = gatewayscene.item("good") | {
        "headers": _prompt("first", "fine", "g")
    }
    assert vms[0].submit("job", [bad, good]).status == 202
    gatewayscene.until(lambda: _listed(vms[1]) == ["good"])
    assert _count_crashed(engines) == crashed


def _listed(vm: gatewayscene.Vm) -> list[str]:
    answer = vm.results("job")
    if answer.status != 200:
        return []
    return [row["id"] for row in answer.json()["results"]]
