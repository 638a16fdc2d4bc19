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

_SLOW_S = 0.05


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
    notices.crashed("fingerprint")
    assert peers.notified == {"vm2"}
