"""The lagging list of VMs, over outages and with few calls.

Story: a VM has just started and serves; the list lags and another VM reads
one without it. The others take it for gone, hand its share of a customer's
rate to somebody else, and the customer gets more than its row allows.
"""

import functools

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import membership
from standins import platform
from support import controlplane

LAG_S = 10.0


def entry(vm: str, state: records.VmState = "live") -> records.Vm:
    return records.Vm(vm, "d", "entry", "h:1", state)


def knows_vms(held: membership.PlatformMembership, count: int) -> bool:
    return len(held.entry_vms()) == count


def make(
    address: str,
) -> tuple[membership.PlatformMembership, clock_lib.FakeClock]:
    clock = clock_lib.FakeClock()
    settings = controlplane.settings(address, vm="a", vm_list_lag_s=LAG_S)
    made = membership.PlatformMembership(kernel_lib.Kernel(), settings, clock)
    return made, clock


def test_one_read_without_a_vm_does_not_make_it_gone() -> None:
    held, clock = make("127.0.0.1:1")
    held.learn((entry("a"), entry("b")), 0.0)
    held.learn((entry("a"),), 0.0)
    assert held.is_listed("b")
    assert held.is_listed("new")
    clock.now_s += LAG_S - 1
    held.confirm(0.0)
    assert held.is_listed("b")
    # An earlier list still came through, so the count begins anew.
    held.learn((entry("a"), entry("b")), 0.0)
    held.learn((entry("a"),), 0.0)
    clock.now_s += LAG_S - 1
    held.confirm(0.0)
    assert held.is_listed("b")
    clock.now_s += 1
    # Without a read there is nothing new to go by.
    assert held.is_listed("b")
    held.confirm(0.0)
    assert not held.is_listed("b")
    assert held.is_listed("a")


def test_an_old_answer_of_a_peer_does_not_count_as_a_read_now() -> None:
    """The peer that tells was cut off from the platform for long."""
    held, clock = make("127.0.0.1:1")
    held.learn((entry("a"),), 0.0)
    assert held.is_listed("b")
    clock.now_s += 3 * LAG_S
    held.confirm(2.5 * LAG_S)
    assert held.is_listed("b")
    held.confirm(1.5 * LAG_S)
    assert not held.is_listed("b")


def test_the_list_outlives_an_outage_and_every_vm_counts_before_it() -> None:
    served = platform.Platform()
    served.start()
    served.fault(outage=True)
    held, _ = make(served.address)
    assert not held.poll()
    assert held.is_listed("anybody")
    assert [row.vm for row in held.entry_vms()] == ["a"]
    served.set_vm(entry("b", "leaving"))
    served.set_vm(records.Vm("gpu-1", "d", "upstream"))
    served.fault(outage=False)
    assert held.poll()
    served.fault(outage=True)
    assert not held.poll()
    assert [row.vm for row in held.entry_vms()] == ["a", "b"]
    assert held.is_leaving("b")
    assert [row.vm for row in held.rows()] == ["b", "gpu-1"]
    served.stop(0.1)


def test_only_two_vms_of_a_domain_read_the_platforms_list() -> None:
    """Each VM's reads would be counted: 1,200 VMs would need 600 a second."""
    with controlplane.Fleet() as fleet:
        for number in range(5):
            fleet.add(f"vm-{number}", "d")
        for vm in fleet.vms:
            controlplane.wait_until(
                functools.partial(knows_vms, vm.membership, 5)
            )
        before = [vm.membership.dump()["calls"]["vms"] for vm in fleet.vms]
        for vm in fleet.vms:
            for _ in range(10):
                assert vm.vmlist.update()
        readers = [
            vm.settings.vm
            for vm, count in zip(fleet.vms, before, strict=True)
            if vm.membership.dump()["calls"]["vms"] >= count + 10
        ]
        assert readers == sorted(fleet.vms[0].vmlist.dump()["sources"])
        assert len(readers) == 2
        # A change reaches those that do not read.
        fleet.platform.remove_vm("vm-0")
        fleet.platform.set_vm(entry("extra", "leaving"))
        for vm in fleet.vms:
            controlplane.wait_until(
                functools.partial(vm.membership.is_leaving, "extra")
            )
