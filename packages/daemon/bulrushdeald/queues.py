"""The order in which waiting requests get their turn."""

import collections
from collections.abc import Callable
import itertools
from typing import Generic, Protocol, TypeVar

from bulrushdeald import fairqueue

T = TypeVar("T")


class Queue(Protocol[T]):
    """Holds waiting items of several customers; not thread-safe by itself."""

    def __len__(self) -> int:
        """Returns the number of waiting items."""

    def turns(self, customer: str, weight: float) -> float:
        """Returns how many items leave until a customer's next one has."""

    def weight(self) -> float:
        """Returns the weight of the customers who wait, together."""

    def push(self, customer: str, weight: float, cost: float, item: T) -> int:
        """Adds an item and returns the ticket to remove it by."""

    def peek(self) -> T | None:
        """Returns the item whose turn it is, `None` if nothing waits."""

    def pop(self) -> T | None:
        """Takes out the item whose turn it is, `None` if nothing waits."""

    def remove(self, customer: str, ticket: int) -> None:
        """Takes out an item that still waits."""


class FifoQueue(Generic[T]):
    """One queue for all customers; the baseline for the fair one."""

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
        """See `Queue`; here each request counts as much as any other."""
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


def maker(name: str) -> Callable[[], Queue[T]]:
    """Returns what makes the queues that a setting names."""
    if name == "fifo":
        return FifoQueue
    return fairqueue.FairQueue
