"""Tests of the crash notices between VMs."""

import threading
import time
from typing import Any

import pytest
import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import crashnotifier
from bulrushdeald import quarantine
from support import fakes

_SLOW_S = 0.05
# Two in each domain, so that none asks the other one for lack of others.
_VMS = (
    records.Vm("n1", "north", "entry", "h:1"),
    records.Vm("n2", "north", "entry", "h:2"),
    records.Vm("s1", "south", "entry", "h:3"),
    records.Vm("s2", "south", "entry", "h:4"),
)


class _Peers:
    """Records the VMs that it delivers messages to, after a delay."""

    def __init__(self) -> None:
        self.notified: set[str] = set()

    def call(self, vm: str, message: Any, timeout_s: float) -> Any:
        time.sleep(min(_SLOW_S, timeout_s))
        self.notified.add(vm)
        return result.Ok(quarantine.CrashNotice(()))


class _Membership:
    def __init__(self, rows: tuple[records.Vm, ...]) -> None:
        self._rows = rows

    def own_vm(self) -> records.Vm:
        return self._rows[0]

    def incarnation(self) -> str:
        return "i"

    def entry_vms(self) -> tuple[records.Vm, ...]:
        return self._rows


@pytest.mark.parametrize("domain", ["north", "south"])
def test_a_crash_is_known_elsewhere_before_its_caller_is_answered(
    domain: str,
) -> None:
    """Guards against a caller that retries at once through another VM.

    If that VM has not received the crash notice yet, it runs the request.
    """
    peers: Any = _Peers()
    rows = (
        records.Vm("vm1", "north", "entry", "h:1"),
        records.Vm("vm2", domain, "entry", "h:2"),
    )
    membership: Any = _Membership(rows)
    notices = crashnotifier.CrashNotices(
        peers,
        membership,
        quarantine.Quarantine(clock_lib.FakeClock()),
        threading.Lock(),
    )
    notices.crashed("fingerprint", "upstream", 0.1).wait()
    assert peers.notified == {"vm2"}


class _Network(fakes.Network):
    """Records which VMs have asked others for crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: set[str] = set()

    def deliver(self, source: str, target: str, message: Any) -> Any:
        if isinstance(message, quarantine.CrashQuery):
            self.asked.add(source)
        return super().deliver(source, target, message)


class _Vm:
    """The notices of one VM and what it knows."""

    def __init__(self, network: fakes.Network, row: records.Vm) -> None:
        self.crashes = quarantine.Quarantine(clock_lib.SystemClock())
        membership: Any = fakes.Membership(row, _VMS)
        peers: Any = fakes.Peers(network, row.vm)
        self.notices = crashnotifier.CrashNotices(
            peers, membership, self.crashes, threading.Lock()
        )
        self.notices.start()

    def knows(self) -> bool:
        return self.crashes.is_suspect("fingerprint")


def _until(check: Any, timeout_s: float = 15.0) -> None:
    end_s = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < end_s, "the condition was not met in time"
        time.sleep(0.01)


def test_a_crash_during_a_cut_is_known_everywhere_after_it() -> None:
    """Guards against a domain that runs the request once a cut has healed."""
    network = _Network()
    vms = [_Vm(network, row) for row in _VMS]
    _until(lambda: len(network.asked) == len(vms))
    network.cuts = {
        frozenset((north, south))
        for north in ("n1", "n2")
        for south in ("s1", "s2")
    }
    vms[0].notices.crashed("fingerprint", "e1", 0.1).wait()
    assert [vm.knows() for vm in vms] == [True, True, False, False]
    network.cuts.clear()
    _until(lambda: all(vm.knows() for vm in vms), 3.0)
    for vm in vms:
        vm.notices.stop()


def test_a_vm_that_starts_asks_for_the_crashes_so_far() -> None:
    """Guards against a VM that runs the request after its own restart."""
    network = fakes.Network()
    first = _Vm(network, _VMS[0])
    first.notices.crashed("fingerprint", "e1", 0.1).wait()
    restarted = _Vm(network, _VMS[2])
    _until(restarted.knows, 3.0)
    for vm in (first, restarted):
        vm.notices.stop()


def test_a_run_to_the_end_clears_a_request_at_all_vms() -> None:
    """Guards against a request that stays suspect where it did not run."""
    network = fakes.Network()
    vms = [_Vm(network, row) for row in _VMS]
    vms[0].notices.crashed("fingerprint", "e1", 0.1).wait()
    assert vms[2].knows()
    vms[1].notices.completed("fingerprint")
    _until(lambda: not any(vm.knows() for vm in vms), 3.0)
    for vm in vms:
        vm.notices.stop()
