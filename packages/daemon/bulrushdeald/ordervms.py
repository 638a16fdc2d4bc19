"""Shares the engines out among the VMs that order them.

This only says who should look; the compare-and-swap of an order's record
decides who may send.
"""

from bulrushdeald import modelrecords
from bulrushdeald import ordertasks
from bulrushdeald import rendezvous
from bulrushdeald import services

# Among so many VMs the engines are shared out.
ORDER_VMS = 4


def order_vms(membership: services.Membership) -> tuple[str, ...]:
    """Returns the VMs that order engines, as this VM sees them."""
    names = [row.vm for row in membership.entry_vms() if row.state == "live"]
    return tuple(rendezvous.rank(modelrecords.PREFIX, names)[:ORDER_VMS])


def is_order_vm(membership: services.Membership) -> bool:
    """Tells whether this VM is one of those that order engines."""
    return membership.own().vm in order_vms(membership)


def is_own(membership: services.Membership, task: ordertasks.Task) -> bool:
    """Tells whether this VM should act on an engine's first open order."""
    own = membership.own().vm
    key = modelrecords.key(task.record.upstream)
    is_picked = rendezvous.pick(key, order_vms(membership)) == own
    if task.order.state != "sent":
        return is_picked
    # An order that may be on its way is its sender's to settle, as long as
    # that VM is listed: the list may lag, but never runs ahead.
    if task.record.vm == own:
        return True
    return is_picked and not membership.is_listed(task.record.vm)
