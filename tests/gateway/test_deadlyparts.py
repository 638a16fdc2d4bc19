"""Requests that differ but share a part that crashes upstreams."""

from collections.abc import Mapping
import functools
import threading

from gateway import members
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
        engine.on_crash = functools.partial(_unlist_later, scene, engine)
    return engines


def _unlist_later(
    scene: gatewayscene.Scene, engine: gatewayengine.Engine
) -> None:
    key = f"servers/{engine.instance}"
    threading.Timer(_UNLISTED_S, scene.store.write, (key, None)).start()


def _add_vms(scene: gatewayscene.Scene, count: int) -> list[gatewayscene.Vm]:
    vms = [scene.add_vm(f"vm{n}", f"d{n % 3}") for n in range(count)]
    for vm in vms:
        found = vm.kernel.find("membership", members.Members)
        gatewayscene.until(lambda found=found: found.count() == count)
    return vms


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
    vms = _add_vms(scene, 3)
    for number in range(_SENDS):
        vm = vms[number % 3]
        assert _send(vm, f"p{number}", "first", _BAD).status in (502, 503)
        sound = _send(vm, f"s{number}", "first", f"session{number % 2}")
        assert sound.is_whole
    assert _count_crashed(engines) <= _MAX_CRASHES
