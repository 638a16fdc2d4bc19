"""How much a customer's batch items that wait leave room for.

The load: floods of batch jobs, at many VMs at once, against a bound on the
tokens that one customer may have waiting on a route.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gateway import jobrecords

_MS_PER_S = 1000.0
# A job that is late may end at any moment.
_MIN_LEFT_S = 1.0
_MIN_RETRY_S = 0.3
_MAX_RETRY_S = 30.0


class Demand(NamedTuple):
    """A job that asks for room.

    Attributes:
        tokens: Of all its items.
        bound: Tokens that may wait, with the job's own.
    """

    tokens: int
    bound: int

    def fits(self, waiting_tokens: int) -> bool:
        """Tells whether there is room beside what waits."""
        return waiting_tokens + self.tokens <= self.bound


def count(opened: Iterable[jobrecords.OpenJob]) -> int:
    """Returns the tokens of open jobs' items that have no result."""
    return sum(row.tokens for row in opened)


def retry_after_s(
    opened: Iterable[jobrecords.OpenJob], demand: Demand, now_ms: int
) -> float:
    """Returns when there is likely to be room; 0 if there will be none.

    Jobs are taken to end evenly until they are due.

    Args:
        opened: The customer's open jobs on the route.
        demand: What does not fit beside them.
        now_ms: By the time of day, in milliseconds of the epoch.
    """
    rows = list(opened)
    excess = count(rows) + demand.tokens - demand.bound
    rate_per_s = sum(
        row.tokens / max(_MIN_LEFT_S, (row.due_ms - now_ms) / _MS_PER_S)
        for row in rows
    )
    if demand.tokens > demand.bound or rate_per_s <= 0:
        return 0.0
    return min(max(_MIN_RETRY_S, excess / rate_per_s), _MAX_RETRY_S)
