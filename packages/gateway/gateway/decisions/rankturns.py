"""Which rank of waiting requests has the next turn.

Designed for a flood of urgent requests that lasts for minutes. In the plain
order of ranks, no less urgent request would be served during all that time.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Of this many grants, one may go to a rank that is not the most urgent.
GRANTS_PER_RESERVED = 8
# Grants after which what a rank got before has lost most of its weight.
_SERVICE_GRANTS = 256
# Below this count a rank's service is forgotten.
_MIN_SERVICE = 0.01


class Rank(NamedTuple):
    """How urgent a request is; the least goes first.

    Attributes:
        customer_priority: The priority of its customer, 0 the highest.
        route_priority: The priority of its route, 0 the highest.
    """

    customer_priority: int = 0
    route_priority: int = 0


class _Service(NamedTuple):
    """How a rank was served lately; older requests count less.

    Attributes:
        granted: The requests that were granted.
        unserved: The requests that were refused or left before their turn.
    """

    granted: float = 0.0
    unserved: float = 0.0

    def decayed(self) -> "_Service":
        """Returns the counts after one more grant to any rank."""
        factor = 1.0 - 1.0 / _SERVICE_GRANTS
        return _Service(self.granted * factor, self.unserved * factor)


class RankTurns:
    """The turns of ranks while there is not room for all.

    Ranks go in their order. Less urgent ranks together get one grant in
    `GRANTS_PER_RESERVED`, but only while they are served worse than the more
    urgent ones.
    """

    def __init__(self) -> None:
        self._services: dict[Rank, _Service] = {}
        self._urgent_grants = 0

    def order(self, waiting: Mapping[Rank, int]) -> list[Rank]:
        """Returns the ranks that wait, the one with the next turn first.

        Args:
            waiting: The number of waiting requests of each rank.
        """
        ranks = sorted(waiting)
        is_due = self._urgent_grants >= GRANTS_PER_RESERVED - 1
        if not is_due or not ranks[1:]:
            return ranks
        worst = min(
            ranks[1:], key=lambda rank: self._served_part(rank, waiting)
        )
        if self.is_owed(worst, waiting):
            ranks.remove(worst)
            ranks.insert(0, worst)
        return ranks

    def is_owed(self, rank: Rank, waiting: Mapping[Rank, int]) -> bool:
        """Returns whether a rank is served no better than more urgent ones.

        Args:
            rank: The rank.
            waiting: The number of waiting requests of each rank.
        """
        part = self._served_part(rank, waiting)
        return all(
            part <= self._served_part(other, waiting)
            for other in waiting
            if other < rank
        )

    def record_unserved(self, rank: Rank) -> None:
        """Records a request that was refused or left before its turn."""
        service = self._services.get(rank, _Service())
        self._services[rank] = service._replace(unserved=service.unserved + 1)

    def record_grant(self, rank: Rank, waiting: Iterable[Rank]) -> None:
        """Records that a waiting request was granted.

        Args:
            rank: Its rank.
            waiting: The ranks of all that waited, this one among them.
        """
        if any(other < rank for other in waiting):
            self._urgent_grants = 0
        elif any(other != rank for other in waiting):
            self._urgent_grants += 1
        decayed = {
            other: service.decayed()
            for other, service in self._services.items()
        }
        granted = decayed.pop(rank, _Service())
        self._services = {
            other: service
            for other, service in decayed.items()
            if sum(service) >= _MIN_SERVICE
        }
        self._services[rank] = granted._replace(granted=granted.granted + 1)

    def _served_part(self, rank: Rank, waiting: Mapping[Rank, int]) -> float:
        """Returns the part of a rank's requests that were granted lately."""
        service = self._services.get(rank, _Service())
        total = sum(service) + waiting.get(rank, 0)
        return service.granted / total if total else 0.0
