"""Requests and jobs that may only be sent to some regions."""

from typing import Any

from gateway import records
from gateway import storepath
from gateway.decisions import regions
from support import gatewayscene

_REGIONS = {"d1": "north", "d2": "south"}


def _configure(scene: gatewayscene.Scene, **more: Any) -> None:
    value = gatewayscene.configuration(2)
    for row in value["routes"]:
        row.update(more)
    scene.configure(value)


def test_route_and_customer_bind_both() -> None:
    value = gatewayscene.configuration()
    customer = records.Customer("c", (), 0, 0.0, 0.0, ("north", "south"))
    assert regions.allowed(None, None) is None
    assert regions.allowed(None, customer) == frozenset({"north", "south"})
    route = _route(value["routes"][0]["prefix"], ("south", "east"))
    assert regions.allowed(route, customer) == frozenset({"south"})
    assert regions.allowed(route, None) == frozenset({"south", "east"})


def _route(prefix: str, allowed: tuple[str, ...]) -> records.Route:
    return records.Route(
        "r",
        "h",
        prefix,
        "safe",
        1.0,
        0.1,
        0,
        (),
        1,
        False,
        False,
        False,
        60.0,
        0.0,
        regions=allowed,
    )


def test_a_request_goes_to_no_upstream_beyond_its_regions(
    scene: gatewayscene.Scene,
) -> None:
    near, far = scene.add_engine(), scene.add_engine(domain="d2")
    _configure(scene, allowed_regions=["south"])
    vm = scene.add_vm(regions=_REGIONS)
    for number in range(6):
        answer = vm.call("POST", "/s/x", b"p", attempt=f"a{number}")
        assert answer.status == 200
    assert len(far.runs) == 6
    assert not near.runs


def test_a_request_without_an_upstream_in_its_regions_is_refused(
    scene: gatewayscene.Scene,
) -> None:
    engine = scene.add_engine()
    _configure(scene, allowed_regions=["south"])
    answer = scene.add_vm(regions=_REGIONS).call("POST", "/s/x", b"p")
    assert answer.status == 503
    assert "regions" in answer.json()["error"]
    assert not engine.runs


def test_an_unknown_region_is_refused_for_requests_and_jobs(
    scene: gatewayscene.Scene,
) -> None:
    scene.add_engine()
    _configure(scene, allowed_regions=["nowhere"])
    vm = scene.add_vm(regions=_REGIONS)
    for answer in (
        vm.call("POST", "/s/x", b"p"),
        vm.submit("j1", [gatewayscene.item()]),
    ):
        assert answer.status == 503
        assert "region" in answer.json()["error"]


def test_items_go_to_no_upstream_beyond_their_regions(
    scene: gatewayscene.Scene,
) -> None:
    near, far = scene.add_engine(), scene.add_engine(domain="d2")
    _configure(scene, allowed_regions=["south"])
    vm = scene.add_vm(regions=_REGIONS)
    assert vm.submit("j1", [gatewayscene.item()]).status == 202
    gatewayscene.until(lambda: vm.results("j1").json()["next"] == 1)
    assert far.runs
    assert not near.runs


def test_a_vm_beyond_the_regions_does_not_take_over_a_job(
    scene: gatewayscene.Scene,
) -> None:
    """The VM with the claim dies while a VM of another region is left."""
    engine = scene.add_engine(events=400, domain="d2")
    engine.pause_s = 0.05
    _configure(scene, allowed_regions=["south"])
    dying = scene.add_vm("vm1", "d2", regions=_REGIONS)
    other = scene.add_vm("vm2", "d1", regions=_REGIONS)
    assert dying.submit("j1", [gatewayscene.item()]).status == 202
    gatewayscene.until(lambda: engine.open == 1)
    dying.lose_power()
    scans = other.client.about("jobs/j1/meta")
    gatewayscene.until(lambda: other.client.about("jobs/j1/meta") > scans)
    assert not other.client.about("jobs/j1/input")
    last = scene.add_vm("vm3", "d2", regions=_REGIONS)
    gatewayscene.until(lambda: last.client.about("jobs/j1/input") > 0)


def test_a_peer_of_another_region_makes_no_call_to_the_store(
    scene: gatewayscene.Scene,
) -> None:
    scene.add_engine()
    lost = scene.add_vm("vm1", "d1", regions=_REGIONS)
    scene.add_vm("vm2", "d2", regions=_REGIONS)
    near = scene.add_vm("vm3", "d1", regions=_REGIONS)
    gatewayscene.until(
        lambda: len(lost.kernel.dump()["membership"]["vms"]) == 3,
    )
    path = lost.kernel.find("store path", storepath.FailoverStore)
    assert set(path._choose_helpers()) == {near.name}
