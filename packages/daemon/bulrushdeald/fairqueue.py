"""A weighted fair queue between customers.

Each item has a cost in expected tokens. Items leave in the order of their
virtual finish time (start-time fair queueing), so that a customer who sends
many times its share waits behind its own backlog and not in front of others.
"""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class _Entry(NamedTuple):
    start: float
    sequence: int


class FairQueue(Generic[T]):
    """Holds waiting items; not thread-safe by itself."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish: dict[str, float] = {}
        self._heap: list[tuple[_Entry, str, T]] = []
        self._removed: set[int] = set()
        self._queued: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of waiting items."""
        return sum(self._queued.values())

    def queued(self, customer: str) -> int:
        """Returns how many items of a customer wait."""
        return self._queued.get(customer, 0)

    def share(self, customer: str, weight: float) -> float:
        """Returns the fraction a customer gets beside those who wait."""
        others = sum(
            other
            for name, other in self._weights.items()
            if name != customer and self._queued.get(name, 0) > 0
        )
        return weight / (weight + others)

    def turns(self, customer: str, weight: float) -> float:
        """Returns how many items leave until a customer's next one has."""
        return (self.queued(customer) + 1) / self.share(customer, weight)

    def weight(self) -> float:
        """Returns the weight of the customers who wait, together."""
        return sum(self._weights.values())

    def push(self, customer: str, weight: float, cost: float, item: T) -> int:
        """Adds an item and returns the ticket to remove it by."""
        start = max(self._virtual_time, self._finish.get(customer, 0.0))
        self._finish[customer] = start + cost / weight
        self._weights[customer] = weight
        self._queued[customer] = self.queued(customer) + 1
        ticket = next(self._sequence)
        heapq.heappush(self._heap, (_Entry(start, ticket), customer, item))
        return ticket

    def peek(self) -> T | None:
        """Returns the item whose turn it is, `None` if nothing waits."""
        while self._heap:
            entry, _, item = self._heap[0]
            if entry.sequence not in self._removed:
                return item
            self._removed.discard(entry.sequence)
            heapq.heappop(self._heap)
        return None

    def pop(self) -> T | None:
        """Takes out the item whose turn it is, `None` if nothing waits."""
        if self.peek() is None:
            return None
        entry, customer, item = heapq.heappop(self._heap)
        self._virtual_time = max(self._virtual_time, entry.start)
        self._leave(customer)
        return item

    def remove(self, customer: str, ticket: int) -> None:
        """Takes out an item that still waits."""
        self._removed.add(ticket)
        self._leave(customer)

    def _leave(self, customer: str) -> None:
        self._queued[customer] -= 1
        if self._queued[customer] == 0:
            # Nothing of the customer waits; forgetting it bounds the state
            # by those who wait. Its next item starts at the present.
            del self._queued[customer]
            del self._weights[customer]
            if self._finish[customer] <= self._virtual_time:
                del self._finish[customer]
        if not self._queued:
            self._finish.clear()
