"""The choice of the VMs that may become leaders.

Every VM asks the VM that leads a service, owns a customer's rate or reads the
store for all, several times a second. In a large fleet of mostly small VMs a
leader with half a core and a slow link answers too late, and each VM that asks
continues without it.
"""

from collections.abc import Mapping
from typing import NamedTuple

# The number of leaders is this factor times the square root of the number of
# VMs. Every VM has a connection, and a thread, for each leader that it asks.
_LEADERS_PER_ROOT = 2
_MIN_LEADERS = 16
# A VM with at least this share of the cores of the largest VM is large.
_LARGE_CORES_SHARE = 0.5
# With fewer large VMs than this any VM may lead. Otherwise the loss of one
# leader would move a large share of the leaderships to the others.
_MIN_LARGE_VMS = 8


class Candidates(NamedTuple):
    """The VMs that may lead.

    Attributes:
        vms: The VMs.
        max_leaders: How many of them are to lead at most.
    """

    vms: tuple[str, ...]
    max_leaders: int


def candidates(cores: Mapping[str, float]) -> Candidates:
    """Returns the VMs that may lead.

    The result depends on the argument alone, so that all VMs with the same list
    agree on it.

    Args:
        cores: The number of processor cores of each VM.
    """
    vms = tuple(cores)
    largest = max(cores.values(), default=0.0)
    large = tuple(vm for vm in vms if cores[vm] >= largest * _LARGE_CORES_SHARE)
    if len(large) >= _MIN_LARGE_VMS:
        vms = large
    leader_count = max(round(_LEADERS_PER_ROOT * len(vms) ** 0.5), _MIN_LEADERS)
    return Candidates(vms, leader_count)
