"""The duration and renewal of a VM's lease in the platform's store.

Of all calls to the store, renewals are the first to grow with the fleet.
"""

# Duration of a lease; the loss of a VM is noticed when its lease expires.
LEASE_S = 4.0
# Longest interval between a VM's checks of whether its lease needs renewal.
CHECK_INTERVAL_S = 0.9
# In a fleet of this size a lease is renewed at each check. In a larger fleet
# renewals become rarer with the square root of the size, but at least every
# second check renews the lease.
_VMS_AT_FULL_RATE = 12
_MIN_AGE_S = 0.65
_MAX_AGE_S = 1.3


def renewal_age_s(vms: int) -> float:
    """Returns the age of the last renewal at which the next one is due.

    Args:
        vms: The number of VMs in the fleet.

    Returns:
        The age in seconds.
    """
    factor: float = (vms / _VMS_AT_FULL_RATE) ** 0.5
    return min(_MIN_AGE_S * factor, _MAX_AGE_S)
