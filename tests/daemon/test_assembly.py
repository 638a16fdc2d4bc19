"""Tests of the assembled daemon, against the stand-in platform."""

from bulrushdeal import records
from bulrushdeald import assembly
from bulrushdeald import services
from bulrushdeald import sweeper
from standins import platform
from support import controlplane


def test_a_running_daemon_sees_a_new_vm() -> None:
    """A VM is replaced while a daemon runs.

    The daemon kept calling the old VM and never called the new one. It read
    the list of VMs only at the start, because the service that updates the
    list was not registered.
    """
    served = platform.Platform()
    served.start()
    kernel = assembly.assemble(controlplane.settings(served.address))
    kernel.start()
    try:
        membership = kernel.find(services.MEMBERSHIP, services.Membership)
        served.set_vm(records.Vm("late", "d", "entry", "h:1", "leaving"))
        controlplane.wait_until(lambda: membership.is_leaving("late"))
    finally:
        kernel.stop(0.5)
        served.stop(0.2)


def test_idempotency_keys_are_swept() -> None:
    # Keys of requests answered long ago filled the platform's key-value
    # service, because the sweeper was not registered.
    kernel = assembly.assemble(controlplane.settings("127.0.0.1:1"))
    assert kernel.has(sweeper.SWEEPER)
