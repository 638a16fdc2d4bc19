"""Queue disciplines for waiting requests."""

import collections
from collections.abc import Callable
import itertools
from typing import Generic, Protocol, TypeVar

from bulrushdeald import fairqueue

T = TypeVar("T")


class Queue(Protocol[T]):
    """Holds waiting items of several customers; not thread-safe."""

    def __len__(self) -> int:
        """Returns the number of waiting items."""

    def turns(self, customer: str, weight: float) -> float:
        """Returns how many items leave, up to a new one of a customer.

        The number is an estimate and counts the new item itself.
        """

    def weight(self) -> float:
        """Returns the total weight of the customers with waiting items."""

    def push(self, customer: str, weight: float, cost: float, item: T) -> int:
        """Adds an item and returns a ticket that identifies it."""

    def peek(self) -> T | None:
        """Returns the next item, or `None` if the queue is empty."""

    def pop(self) -> T | None:
        """Removes and returns the next item, `None` if the queue is empty."""

    def remove(self, customer: str, ticket: int) -> None:
        """Removes an item that is still waiting, by its ticket."""


class FifoQueue(Generic[T]):
    """Serves items in order of arrival; the baseline for fair queueing."""

    def __init__(self) -> None:
        self._tickets = itertools.count()
        self._items: collections.OrderedDict[int, T] = collections.OrderedDict()

    def __len__(self) -> int:
        """See `Queue`."""
        return len(self._items)

    def turns(self, customer: str, weight: float) -> float:
        """See `Queue`."""
        del customer, weight
        return len(self._items) + 1.0

    def weight(self) -> float:
        """See `Queue`; each waiting item has weight 1 here."""
        return float(len(self._items))

    def push(self, customer: str, weight: float, cost: float, item: T) -> int:
        """See `Queue`."""
        del customer, weight, cost
        ticket = next(self._tickets)
        self._items[ticket] = item
        return ticket

    def peek(self) -> T | None:
        """See `Queue`."""
        return next(iter(self._items.values()), None)

    def pop(self) -> T | None:
        """See `Queue`."""
        if not self._items:
            return None
        return self._items.popitem(last=False)[1]

    def remove(self, customer: str, ticket: int) -> None:
        """See `Queue`."""
        del customer
        del self._items[ticket]


def queue_factory(name: str) -> Callable[[], Queue[T]]:
    """Returns the constructor of the queue discipline of that name."""
    if name == "fifo":
        return FifoQueue
    return fairqueue.FairQueue
