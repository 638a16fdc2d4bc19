"""Chooses the VMs that watch the platform for their failure domain."""

import hashlib

from bulrushdeal import records

# The number of watchers in each failure domain.
PER_DOMAIN = 2


def choose_watchers(
    rows: tuple[records.Vm, ...], failure_domain: str
) -> list[str]:
    """Returns the names of a failure domain's watchers.

    The choice is by rendezvous hashing: most VMs keep their role when another
    VM joins or leaves, and all VMs with the same list choose the same
    watchers without communicating.

    Args:
        rows: All entry VMs.
        failure_domain: The failure domain of the watchers.

    Returns:
        At most `PER_DOMAIN` names; VMs that are leaving are left out.
    """
    vms = [
        row.vm
        for row in rows
        if row.failure_domain == failure_domain and row.state != "leaving"
    ]
    vms.sort(key=lambda vm: hashlib.sha256(vm.encode()).digest())
    return vms[:PER_DOMAIN]
