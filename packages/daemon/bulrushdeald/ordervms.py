"""Assigns the engines to the VMs that order them.

The assignment only selects which VM acts on an order; the compare-and-swap of
the order's record decides which VM may send it.
"""

from bulrushdeald import modelrecords
from bulrushdeald import ordertasks
from bulrushdeald import rendezvous
from bulrushdeald import services

# The number of VMs among which the engines are divided.
MAX_ORDER_VMS = 4


def order_vms(membership: services.Membership) -> tuple[str, ...]:
    """Returns the VMs that order engines, by this VM's list of VMs."""
    names = [row.vm for row in membership.entry_vms() if row.state == "live"]
    return tuple(rendezvous.rank(modelrecords.PREFIX, names)[:MAX_ORDER_VMS])


def is_order_vm(membership: services.Membership) -> bool:
    """Returns whether this VM is one of those that order engines."""
    return membership.own_vm().vm in order_vms(membership)


def is_responsible(
    membership: services.Membership, task: ordertasks.Task
) -> bool:
    """Returns whether this VM should act on an engine's first open order."""
    own = membership.own_vm().vm
    key = modelrecords.key(task.record.upstream)
    is_picked = rendezvous.pick(key, order_vms(membership)) == own
    if task.order.state != "sent":
        return is_picked
    # While the sender of an order is listed, only the sender determines the
    # outcome. The list may lag behind the platform but never runs ahead of
    # it, so a VM is not missing from it too early.
    if task.record.vm == own:
        return True
    return is_picked and not membership.is_listed(task.record.vm)
