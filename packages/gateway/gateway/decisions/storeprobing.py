"""The interval at which a VM probes the platform's store after losing it.

The store may be unreachable for a fleet of hundreds of VMs. Probes of all of
them several times a second cost money and load the store as it comes back.
"""

# Number of VMs that probe a store which no VM reaches; the others ask these.
PROBERS = 4
# Expired entries have to be restored two seconds after the store's return, so
# the return has to be noticed well before.
_PROBER_PAUSE_S = 0.4
_NON_PROBER_PAUSE_S = 2.0
# While other VMs pass on this VM's calls, its own connection is not urgent.
_MIN_HELPED_PAUSE_S = 1.0
_MAX_HELPED_PAUSE_S = 4.0


def pause_s(lost_s: float, *, is_outage: bool, is_prober: bool) -> float:
    """Returns how long to wait until the next probe.

    Args:
        lost_s: For how long this VM has not reached the store, in seconds.
        is_outage: Whether no other VM reaches the store either.
        is_prober: Whether this VM is one of those that probe for all.

    Returns:
        The pause in seconds.
    """
    if is_outage:
        return _PROBER_PAUSE_S if is_prober else _NON_PROBER_PAUSE_S
    return min(max(_MIN_HELPED_PAUSE_S, lost_s), _MAX_HELPED_PAUSE_S)
