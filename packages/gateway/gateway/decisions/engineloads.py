"""How many requests each engine of a service has.

Runs of a VM that lost power continue on the engines, and no VM reports them.
Engines that counted as free would be sent more than they have slots.
"""

from collections.abc import Mapping
from typing import NamedTuple

# Load that an engine reports beyond the known runs counts with a weight that
# falls to zero over this time. Runs of a VM that lost power continue on the
# engine, and no VM reports them.
_OBSERVED_LOAD_S = 1.5


class _ObservedLoad(NamedTuple):
    """An engine's reported load beyond the known runs.

    Attributes:
        extra: The number of runs that were not known.
        at_s: When the engine reported it, by the monotonic clock.
    """

    extra: int
    at_s: float


class EngineLoads:
    """The numbers of runs on the engines of one service."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._observed: dict[str, _ObservedLoad] = {}

    def add(self, instance: str) -> None:
        """Counts a run on an engine."""
        self._counts[instance] = self._counts.get(instance, 0) + 1

    def remove(self, instance: str) -> None:
        """Stops to count a run on an engine."""
        self._counts[instance] -= 1
        if not self._counts[instance]:
            del self._counts[instance]

    def record(self, instance: str, busy: int, now_s: float) -> None:
        """Records the number of requests that an engine reports."""
        extra = max(0, busy - self.known(instance))
        self._observed[instance] = _ObservedLoad(extra, now_s)

    def known(self, instance: str) -> int:
        """Returns the number of known runs on an engine."""
        return self._counts.get(instance, 0)

    def estimate(self, instance: str, now_s: float) -> float:
        """Returns the estimated number of requests on an engine.

        The estimate is the number of known runs plus the reported load beyond
        them, which loses weight with age.
        """
        count = self._counts.get(instance, 0)
        observed = self._observed.get(instance)
        if observed is None or not observed.extra:
            return count
        left = 1.0 - (now_s - observed.at_s) / _OBSERVED_LOAD_S
        return count + observed.extra * max(0.0, left)

    def counts(self) -> Mapping[str, int]:
        """Returns the number of known runs of each engine that has any."""
        return dict(self._counts)
