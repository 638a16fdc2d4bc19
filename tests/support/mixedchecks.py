"""Checks of a mixed fleet, for any time or for after all faults ended."""

from collections.abc import Mapping

import result

from bulrushdeald import config
from support import mixedclients
from support import mixedfleet
from support import mixedvm

_FINAL_CODES = {"answered", "outcome_unknown", "idempotency_key_reused"}
# The fraction of the burst that must be usable, as in `test_limits_faults`.
# The rest may be lost to rounding or be in transit between VMs.
_USABLE_FRACTION = 0.97


def check_withdrawn(
    fleet: mixedfleet.Fleet,
    vm: mixedvm.MixedVm,
    withdrawn_s: Mapping[str, float],
) -> None:
    """Checks that a VM has all withdrawals that its age covers.

    This holds at any time: a VM states how old its configuration can be, and
    each key withdrawn before that must be withdrawn on the VM.

    Args:
        fleet: The fleet.
        vm: The VM to check.
        withdrawn_s: When each withdrawn key was withdrawn, in seconds of the
            true time.
    """
    age_s = vm.config.gossip.age_s()
    if age_s < 0:
        return
    hashes, covered_until_s = vm.withdrawn_hashes(), fleet.world.now_s - age_s
    for secret, at_s in withdrawn_s.items():
        assert at_s >= covered_until_s or config.hash_key(secret) in hashes


def check_booking(
    fleet: mixedfleet.Fleet,
    clients: mixedclients.Clients,
    booking: mixedclients.Booking,
) -> None:
    """Checks that each VM gives the same final answer to a booking."""
    for variant in sorted(booking.tried):
        codes = set()
        for vm in fleet.vms.values():
            fleet.run(2)
            secret = fleet.secrets_of(booking.customer)[-1]
            code = clients.book(vm, secret, booking, variant)
            if clients.open_answers:
                code = clients.finish(clients.open_answers[0])
            codes.add(code)
        assert len(codes) == 1, codes
        assert codes <= _FINAL_CODES


def check_config(
    fleet: mixedfleet.Fleet, withdrawn_s: Mapping[str, float]
) -> None:
    """Checks that all VMs have the same pages and refuse withdrawn keys."""
    vms = fleet.vms.values()
    revisions = {vm.config.revisions() for vm in vms}
    assert len(revisions) == 1, "a change is not in force everywhere"
    for secret in withdrawn_s:
        assert all(vm.config.authenticate(secret).is_err() for vm in vms)


def check_limits(fleet: mixedfleet.Fleet, customer: str) -> None:
    """Checks that a customer's burst is usable again, but for rounding."""
    vms = list(fleet.vms.values())
    row = vms[0].config.customer(customer)
    assert row is not None
    fleet.run(10)
    fleet.world.now_s += row.burst / row.rate_per_s + 1
    admitted = 0
    for vm in vms + vms:
        while isinstance(vm.counted_limits.take(customer), result.Ok):
            admitted += 1
    assert admitted >= int(row.burst * _USABLE_FRACTION), "tokens were lost"
