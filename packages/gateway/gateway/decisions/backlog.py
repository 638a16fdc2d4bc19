"""The bound on the tokens that a customer may have waiting on a route.

The bound limits floods of batch jobs that arrive at many VMs at once.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gateway import jobrecords

_MS_PER_S = 1000.0
# Least remaining time assumed for an open job, as a late job may end at any
# moment.
_MIN_LEFT_S = 1.0
_MIN_RETRY_S = 0.3
_MAX_RETRY_S = 30.0


class Demand(NamedTuple):
    """The room that a new job needs in a backlog.

    Attributes:
        tokens: The tokens of all its items.
        bound: The most tokens that may wait, including those of the job.
    """

    tokens: int
    bound: int

    def fits(self, waiting_tokens: int) -> bool:
        """Returns whether the job fits beside the waiting tokens."""
        return waiting_tokens + self.tokens <= self.bound


def waiting_tokens(open_jobs: Iterable[jobrecords.OpenJob]) -> int:
    """Returns the total tokens of open jobs' items that have no result."""
    return sum(row.tokens for row in open_jobs)


def retry_after_s(
    open_jobs: Iterable[jobrecords.OpenJob], demand: Demand, now_ms: int
) -> float:
    """Returns the time until a job is likely to fit, in seconds.

    The estimate assumes that the tokens of each open job are processed at an
    even rate until the job is due.

    Args:
        open_jobs: The customer's open jobs on the route.
        demand: The job that does not fit beside them.
        now_ms: The current time, in milliseconds since the epoch.

    Returns:
        The time; 0 if the job can never fit.
    """
    rows = list(open_jobs)
    excess = waiting_tokens(rows) + demand.tokens - demand.bound
    rate_per_s = sum(
        row.tokens / max(_MIN_LEFT_S, (row.due_ms - now_ms) / _MS_PER_S)
        for row in rows
    )
    if demand.tokens > demand.bound or rate_per_s <= 0:
        return 0.0
    return min(max(_MIN_RETRY_S, excess / rate_per_s), _MAX_RETRY_S)
