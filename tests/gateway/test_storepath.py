"""The way to the platform's store, and around a part of it that is lost."""

import base64

from bulrushdeal import kernel as kernel_lib
from gateway import dialect
from gateway import members
from gateway import names
from gateway import storepath
from support import gatewayscene
from support import gatewaystore

_ITEM = {
    "id": "i0",
    "path": "/b/x",
    "headers": {},
    "body": base64.b64encode(b"body").decode(),
    "tokens": 10,
}


def _two_vms(
    scene: gatewayscene.Scene,
) -> tuple[gatewayscene.Vm, gatewayscene.Vm]:
    vms = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    for vm in vms:
        found = vm.kernel.find("membership", members.Members)
        gatewayscene.until(lambda found=found: found.count() == len(vms))
    return vms


def _path(vm: gatewayscene.Vm) -> storepath.StorePath:
    return vm.kernel.find(names.STORE, storepath.StorePath)


def test_a_vm_that_the_store_turns_away_accepts_and_finishes_jobs(
    scene: gatewayscene.Scene,
) -> None:
    """The store turns one VM away and serves the others; a job comes there.

    The VM would refuse it, and a caller whose next try meets another such VM
    loses the job. The VM's own lease would end as well.
    """
    engine = scene.add_engine()
    first, _ = _two_vms(scene)
    first.client.is_down = True
    assert first.submit("j1", [_ITEM]).status == 202
    gatewayscene.until(
        lambda: first.results("j1", wait_ms=500).json()["next"] == 1
    )
    assert len(engine.runs) == 1
    found = first.kernel.find("membership", members.Members)
    lease = found.lease()
    revision = scene.store.revision
    gatewayscene.until(lambda: _path(first).get("key", 1.0).is_ok())
    assert found.lease() == lease
    assert scene.store.revision >= revision


def test_a_vm_goes_its_own_way_again_when_the_store_is_back(
    scene: gatewayscene.Scene,
) -> None:
    first, _ = _two_vms(scene)
    first.client.is_down = True
    assert _path(first).get("key", 1.0).is_ok()
    assert _path(first).dump()["helper"] == "vm2"
    first.client.is_down = False
    gatewayscene.until(lambda: not _path(first).dump()["is_lost"])


def test_calls_to_a_store_that_is_away_for_all_cost_nothing(
    scene: gatewayscene.Scene,
) -> None:
    """The store is down, and all VMs go on asking for what they need.

    Each call would be made once by the VM itself and once by each helper, a
    load that grows with the VMs and meets the store as it comes back.
    """
    first, second = _two_vms(scene)
    for vm in (first, second):
        vm.client.is_down = True
    gatewayscene.until(lambda: _path(second).dump()["is_lost"])
    gatewayscene.until(lambda: _path(first).dump()["is_lost"])
    before = len(first.client.calls), len(second.client.calls)
    for _ in range(1000):
        got = _path(first).get("key", 1.0)
        assert got.unwrap_err().kind == "refused"
    made = len(first.client.calls) - before[0]
    made += len(second.client.calls) - before[1]
    # Only the probes, a few a second; the loop takes no second.
    assert made < 50


def test_one_lost_answer_does_not_lose_the_way(
    scene: gatewayscene.Scene,
) -> None:
    """Some answers of the store are lost although the change was made."""
    first, _ = _two_vms(scene)
    first.client.lost_commits = 1
    write = dialect.Write("key", b"value")
    made = _path(first).commit((dialect.Expected("key", 0),), (write,), (), 1.0)
    assert made.unwrap_err().kind == "unknown"
    assert not _path(first).dump()["is_lost"]


def test_a_way_that_is_silent_is_found_lost_after_one_call() -> None:
    """A VM is cut off from the store, silently, and makes few calls.

    A job comes to it two seconds later. It waits for an answer, once and
    again, and is accepted too late to count.
    """
    client = gatewaystore.StoreClient(gatewaystore.MemoryStore())
    path = storepath.StorePath(kernel_lib.Kernel(), client)
    client.is_silent = True
    assert path.get("key", 1.0).unwrap_err().kind == "unknown"
    gatewayscene.until(lambda: path.dump()["is_lost"])
    path.stop(0)


def test_a_change_that_another_vm_makes_has_its_conflict(
    scene: gatewayscene.Scene,
) -> None:
    """A change made by way of a peer must tell what its conditions met.

    A conflict taken for a success would put two results at one position.
    """
    first, _ = _two_vms(scene)
    scene.store.write("key", b"other")
    first.client.is_down = True
    expected = (dialect.Expected("key", 0),)
    write = dialect.Write("key", b"value")
    made = _path(first).commit(expected, (write,), (), 1.0).unwrap()
    assert isinstance(made, dialect.Conflict)
    assert made.entries[0].value == b"other"
    changed = (dialect.Expected("key", made.entries[0].revision),)
    made = _path(first).commit(changed, (write,), (), 1.0).unwrap()
    assert made == scene.store.rows["key"].revision
