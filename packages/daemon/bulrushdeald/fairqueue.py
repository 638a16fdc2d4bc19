"""A weighted fair queue between customers.

Each item has a cost in expected tokens. Items leave in the order of their
virtual start times (start-time fair queueing), so that a customer who sends
many times its share waits behind its own backlog and does not delay others.
"""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class _Entry(NamedTuple):
    start: float
    sequence: int


class FairQueue(Generic[T]):
    """Holds waiting items of several customers; not thread-safe."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_times: dict[str, float] = {}
        self._heap: list[tuple[_Entry, str, T]] = []
        self._removed_tickets: set[int] = set()
        self._queued_counts: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of waiting items."""
        return sum(self._queued_counts.values())

    def queued(self, customer: str) -> int:
        """Returns the number of waiting items of a customer."""
        return self._queued_counts.get(customer, 0)

    def share(self, customer: str, weight: float) -> float:
        """Returns a customer's share of the service, between 0 and 1.

        The other customers with waiting items get the rest.
        """
        others = sum(
            other
            for name, other in self._weights.items()
            if name != customer and self._queued_counts.get(name, 0) > 0
        )
        return weight / (weight + others)

    def turns(self, customer: str, weight: float) -> float:
        """Returns how many items leave, up to a new one of a customer.

        The number is an estimate and counts the new item itself.
        """
        return (self.queued(customer) + 1) / self.share(customer, weight)

    def weight(self) -> float:
        """Returns the total weight of the customers with waiting items."""
        return sum(self._weights.values())

    def push(self, customer: str, weight: float, cost: float, item: T) -> int:
        """Adds an item and returns a ticket that identifies it."""
        start = max(self._virtual_time, self._finish_times.get(customer, 0.0))
        self._finish_times[customer] = start + cost / weight
        self._weights[customer] = weight
        self._queued_counts[customer] = self.queued(customer) + 1
        ticket = next(self._sequence)
        heapq.heappush(self._heap, (_Entry(start, ticket), customer, item))
        return ticket

    def peek(self) -> T | None:
        """Returns the next item, or `None` if the queue is empty."""
        while self._heap:
            entry, _, item = self._heap[0]
            if entry.sequence not in self._removed_tickets:
                return item
            self._removed_tickets.discard(entry.sequence)
            heapq.heappop(self._heap)
        return None

    def pop(self) -> T | None:
        """Removes and returns the next item, `None` if the queue is empty."""
        if self.peek() is None:
            return None
        entry, customer, item = heapq.heappop(self._heap)
        self._virtual_time = max(self._virtual_time, entry.start)
        self._count_removal(customer)
        return item

    def remove(self, customer: str, ticket: int) -> None:
        """Removes an item that is still waiting, by its ticket."""
        self._removed_tickets.add(ticket)
        self._count_removal(customer)

    def _count_removal(self, customer: str) -> None:
        self._queued_counts[customer] -= 1
        if self._queued_counts[customer] == 0:
            # Dropping a customer without waiting items bounds the state by
            # the waiting customers. A finish time in the virtual past has no
            # effect: the next item starts at the current virtual time.
            del self._queued_counts[customer]
            del self._weights[customer]
            if self._finish_times[customer] <= self._virtual_time:
                del self._finish_times[customer]
        if not self._queued_counts:
            self._finish_times.clear()
