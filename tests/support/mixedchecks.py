"""What has to hold in a mixed fleet, at any time or once all is well."""

from collections.abc import Mapping

import result

from bulrushdeald import config
from support import mixedclients
from support import mixedfleet
from support import mixedvm

_FINAL = {"answered", "outcome_unknown", "idempotency_key_reused"}
# The same as for the limits alone; the rest is in rounding and on the way.
_USED = 0.97


def check_withdrawn(
    fleet: mixedfleet.Fleet,
    vm: mixedvm.MixedVm,
    withdrawn_s: Mapping[str, float],
) -> None:
    """Holds at any time: what a VM calls confirmed is in force there."""
    age_s = vm.config.gossip.age_s()
    if age_s < 0:
        return
    known, since_s = vm.withdrawn(), fleet.world.now_s - age_s
    for secret, at_s in withdrawn_s.items():
        assert at_s >= since_s or config.hash_key(secret) in known


def check_booking(
    fleet: mixedfleet.Fleet,
    clients: mixedclients.Clients,
    booking: mixedclients.Booking,
) -> None:
    """Each VM gives the same final answer."""
    for variant in sorted(booking.tried):
        codes = set()
        for vm in fleet.vms.values():
            fleet.run(2)
            secret = fleet.secrets_of(booking.customer)[-1]
            code = clients.book(vm, secret, booking, variant)
            if clients.open:
                code = clients.finish(clients.open[0])
            codes.add(code)
        assert len(codes) == 1, codes
        assert codes <= _FINAL


def check_config(
    fleet: mixedfleet.Fleet, withdrawn_s: Mapping[str, float]
) -> None:
    """Each VM has the same pages, and no withdrawn key works."""
    vms = fleet.vms.values()
    revisions = {vm.config.revisions() for vm in vms}
    assert len(revisions) == 1, "a change is not in force everywhere"
    for secret in withdrawn_s:
        assert all(vm.config.authenticate(secret).is_err() for vm in vms)


def check_limits(fleet: mixedfleet.Fleet, customer: str) -> None:
    """The whole row can be used again."""
    vms = list(fleet.vms.values())
    row = vms[0].config.customer(customer)
    assert row is not None
    fleet.run(10)
    fleet.world.now_s += row.burst / row.rate_per_s + 1
    admitted = 0
    for vm in vms + vms:
        while isinstance(vm.counted.take(customer), result.Ok):
            admitted += 1
    assert admitted >= int(row.burst * _USED), "tokens were lost"
