"""The renewal of VMs' leases in small and large fleets."""

import pytest

from gateway.decisions import leases

# Timeout of a renewal.
_TIMEOUT_S = 0.5
# Checks come up to a fifth sooner than `CHECK_INTERVAL_S`.
_MIN_INTERVAL_FACTOR = 0.8


def _renewals_per_s(vms: int) -> float:
    interval_s = leases.CHECK_INTERVAL_S * _MIN_INTERVAL_FACTOR
    checks = 1
    while checks * interval_s < leases.renewal_age_s(vms):
        checks += 1
    return vms / (checks * interval_s)


def test_renewals_of_a_large_fleet_are_halved() -> None:
    """Renewed at each check, 165 leases cost 180 renewals a second."""
    assert _renewals_per_s(165) < 120
    assert _renewals_per_s(9) == pytest.approx(9 / 0.72)


@pytest.mark.parametrize("vms", [1, 9, 40, 165, 1200])
def test_a_lost_renewal_leaves_time_for_another(vms: int) -> None:
    """The answer to a renewal is lost.

    Without time for another renewal the VM loses its lease, and its jobs with
    it.
    """
    tried_s = leases.renewal_age_s(vms) + leases.CHECK_INTERVAL_S
    again_s = tried_s + _TIMEOUT_S + leases.CHECK_INTERVAL_S
    assert again_s < leases.LEASE_S
