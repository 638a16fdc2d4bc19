"""The daemon as it is put together, against the stand-in platform."""

from bulrushdeal import records
from bulrushdeald import assembly
from bulrushdeald import services
from bulrushdeald import sweeper
from standins import platform
from support import controlplane


def test_a_vm_that_comes_later_is_seen_by_a_running_daemon() -> None:
    """A VM is replaced while a daemon runs.

    The daemon went on calling the old VM and never called the new one. The
    list of VMs was read at the start only: the service that reads it again
    was written, but not registered.
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
    # Keys of requests long answered filled the platform's service. The
    # sweeper was written and tested but not registered.
    kernel = assembly.assemble(controlplane.settings("127.0.0.1:1"))
    assert kernel.has(sweeper.SWEEPER)
