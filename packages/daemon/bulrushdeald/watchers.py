"""Chooses the VMs that speak to the platform for their failure domain."""

import hashlib

from bulrushdeal import records

PER_DOMAIN = 2


def choose(rows: tuple[records.Vm, ...], failure_domain: str) -> list[str]:
    """Returns the names of a failure domain's watchers.

    Rendezvous hashing: when another VM comes or goes, those that stay keep
    their part, and all VMs with the same list agree without asking.

    Args:
        rows: All entry VMs.
        failure_domain: Where the watchers stand.
    """
    vms = [
        row.vm
        for row in rows
        if row.failure_domain == failure_domain and row.state != "leaving"
    ]
    vms.sort(key=lambda vm: hashlib.sha256(vm.encode()).digest())
    return vms[:PER_DOMAIN]
