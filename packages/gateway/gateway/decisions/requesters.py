"""Who asks for a slot, and how long the caller can wait for it."""

from typing import NamedTuple

from gateway.decisions import rankturns

# Greater priorities count as none. They come from other VMs.
_MAX_PRIORITY = 1_000_000
# Greater times make no sense, in seconds.
_MAX_TIME_S = 1e6
# No caller waits longer for a grant.
_MAX_PATIENCE_S = 60.0


class Requester(NamedTuple):
    """The customer and route of a request.

    Attributes:
        customer: The customer's name; empty if there is none.
        customer_priority: The customer's priority, 0 the highest.
        route_priority: The route's priority, 0 the highest.
        rate_per_s: The customer's rate limit; 0 if it has none.
        patience_s: How long the caller can wait for a grant, in seconds; 0 if
            it must be granted or refused at once.
    """

    customer: str = ""
    customer_priority: int = 0
    route_priority: int = 0
    rate_per_s: float = 0.0
    patience_s: float = 0.0

    @property
    def rank(self) -> rankturns.Rank:
        """How urgent the request is; priorities that make no sense are 0."""
        return rankturns.Rank(
            _priority(self.customer_priority), _priority(self.route_priority)
        )

    @property
    def wait_s(self) -> float:
        """The patience in seconds; 0 if it makes no sense."""
        return min(bounded_s(self.patience_s), _MAX_PATIENCE_S)


def bounded_s(stated_s: float) -> float:
    """Returns a time that another VM stated; 0 if it makes no sense."""
    return stated_s if 0 <= stated_s <= _MAX_TIME_S else 0.0


def _priority(stated: int) -> int:
    return stated if 0 <= stated <= _MAX_PRIORITY else 0


UNKNOWN = Requester()
