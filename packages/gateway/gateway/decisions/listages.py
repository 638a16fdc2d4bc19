"""When VMs renew the list of upstreams, so that none in use is too old.

An upstream that leaves serves for a while after the store has its change. A
list travels in several ways from the store to the VM that sends a request;
on each, the sum of its steps must leave a request the time to get there.
"""

from collections.abc import Mapping
from typing import NamedTuple

# From the check of the list to the arrival of the request at its upstream,
# a new connection included.
WAY_S = 0.3
# A shorter bound would load the store with listings.
_MIN_BOUND_S = 0.7

# The parts of the bound that the steps take.
_READ_INTERVAL = 0.26
_READ_BUDGET = 0.21
_FOLLOW_INTERVAL = 0.17
_BACKUP_INTERVAL = 0.10
_FOLLOW_TIMEOUT = 0.13
_MAX_FOLLOW_AGE = 0.36
_MAX_BACKUP_AGE = 0.30
_RETRY_INTERVAL = 0.05


class Schedule(NamedTuple):
    """The steps of renewing a list; all in seconds.

    Attributes:
        bound_s: The greatest age of a list by which requests are sent.
        read_interval_s: A reader's pause between two reads of the store.
        read_budget_s: How long a read may take before others are asked.
        follow_interval_s: A follower's pause between two lists.
        backup_interval_s: The same for the reader's backup.
        follow_timeout_s: How long another VM may take to send its list.
        max_follow_age_s: An older list makes a follower ask the next VM.
        max_backup_age_s: The same for the reader's backup.
        retry_interval_s: A reader's pause after a read that was broken off.
        max_reader_age_s: With an older list a reader asks others before it
            reads.
    """

    bound_s: float
    read_interval_s: float
    read_budget_s: float
    follow_interval_s: float
    backup_interval_s: float
    follow_timeout_s: float
    max_follow_age_s: float
    max_backup_age_s: float
    retry_interval_s: float
    max_reader_age_s: float


def schedule(drain_timeout_s: float) -> Schedule:
    """Returns the steps for upstreams that serve so long after their word."""
    bound_s = max(drain_timeout_s - WAY_S, _MIN_BOUND_S)
    return Schedule(
        bound_s,
        read_interval_s=bound_s * _READ_INTERVAL,
        read_budget_s=bound_s * _READ_BUDGET,
        follow_interval_s=bound_s * _FOLLOW_INTERVAL,
        backup_interval_s=bound_s * _BACKUP_INTERVAL,
        follow_timeout_s=bound_s * _FOLLOW_TIMEOUT,
        max_follow_age_s=bound_s * _MAX_FOLLOW_AGE,
        max_backup_age_s=bound_s * _MAX_BACKUP_AGE,
        retry_interval_s=bound_s * _RETRY_INTERVAL,
        max_reader_age_s=bound_s * (_READ_INTERVAL + _READ_BUDGET),
    )


def greatest_ages_s(steps: Schedule) -> Mapping[str, float]:
    """Returns how old a list becomes at most, by the way it takes.

    The age counts from the start of the read. The store answers within the
    budget of a read; a VM that does not get a list by any of these ways knows
    that the store is away or slow, and goes on with the list that it has.
    """
    both_asked_s = 2 * steps.follow_timeout_s
    return {
        "reader": 2 * steps.read_budget_s + steps.read_interval_s,
        "reader that reads in vain and then asks others": (
            steps.max_reader_age_s
            + steps.read_budget_s
            + steps.retry_interval_s
            + both_asked_s
        ),
        "backup that reads itself": (
            steps.max_backup_age_s
            + steps.backup_interval_s
            + steps.follow_timeout_s
            + steps.read_budget_s
        ),
        "follower that asks both in vain and reads itself": (
            steps.max_follow_age_s
            + steps.follow_interval_s
            + both_asked_s
            + steps.read_budget_s
        ),
        "reader that asks others in vain and reads": (
            steps.max_follow_age_s
            + steps.follow_interval_s
            + both_asked_s
            + steps.read_budget_s
        ),
    }


def max_age_while_slow_s(steps: Schedule, read_took_s: float) -> float:
    """Returns up to which age a followed list is as good as an own read.

    Args:
        steps: The usual steps.
        read_took_s: How long this VM's last read took, in seconds. While the
            store is slow, a reader's list is older, and so would be one that
            each VM reads itself.
    """
    if read_took_s <= steps.read_budget_s:
        return steps.max_follow_age_s
    return 2 * read_took_s + steps.read_interval_s
