"""Tests of the list of VMs, which lags and must survive outages.

They guard against taking a running VM for gone. A VM that has just started
may be missing from a lagging list; if its share of a customer's rate went to
another VM, the customer would get more than its row allows.
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


def lists_vms(held: membership.PlatformMembership, count: int) -> bool:
    return len(held.entry_vms()) == count


def make(
    address: str,
) -> tuple[membership.PlatformMembership, clock_lib.FakeClock]:
    clock = clock_lib.FakeClock()
    settings = controlplane.settings(address, vm="a", vm_list_lag_s=LAG_S)
    made = membership.PlatformMembership(kernel_lib.Kernel(), settings, clock)
    return made, clock


def test_a_vm_missing_from_one_read_still_counts_as_listed() -> None:
    held, clock = make("127.0.0.1:1")
    held.replace_list((entry("a"), entry("b")), 0.0)
    held.replace_list((entry("a"),), 0.0)
    assert held.is_listed("b")
    assert held.is_listed("new")
    clock.now_s += LAG_S - 1
    held.confirm_list(0.0)
    assert held.is_listed("b")
    # An earlier list with the VM still arrives, so the lag starts anew.
    held.replace_list((entry("a"), entry("b")), 0.0)
    held.replace_list((entry("a"),), 0.0)
    clock.now_s += LAG_S - 1
    held.confirm_list(0.0)
    assert held.is_listed("b")
    clock.now_s += 1
    # Without a new read, the VM still counts as listed.
    assert held.is_listed("b")
    held.confirm_list(0.0)
    assert not held.is_listed("b")
    assert held.is_listed("a")


def test_an_old_list_from_a_peer_is_not_a_current_read() -> None:
    """The answering peer was cut off from the platform for a long time."""
    held, clock = make("127.0.0.1:1")
    held.replace_list((entry("a"),), 0.0)
    assert held.is_listed("b")
    clock.now_s += 3 * LAG_S
    held.confirm_list(2.5 * LAG_S)
    assert held.is_listed("b")
    held.confirm_list(1.5 * LAG_S)
    assert not held.is_listed("b")


def test_the_list_survives_outages_and_every_vm_is_listed_before_it() -> None:
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
    """If every VM read the list, 1,200 VMs would make 600 calls a second."""
    with controlplane.Fleet() as fleet:
        for number in range(5):
            fleet.add(f"vm-{number}", "d")
        for vm in fleet.vms:
            controlplane.wait_until(
                functools.partial(lists_vms, vm.membership, 5)
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
        # Changes reach the VMs that do not read the platform.
        fleet.platform.remove_vm("vm-0")
        fleet.platform.set_vm(entry("extra", "leaving"))
        for vm in fleet.vms:
            controlplane.wait_until(
                functools.partial(vm.membership.is_leaving, "extra")
            )
