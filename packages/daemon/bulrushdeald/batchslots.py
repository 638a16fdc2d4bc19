"""Tracks the batch items that run on the upstreams that this VM owns.

Batch work uses only slots that online work leaves free. A reserve also stays
free, so that an online request finds room before any batch item has yielded.
When online work grows into the reserve, the items that started last yield,
because they lose the least work.
"""

from collections.abc import Callable
import math

from bulrushdeal import records


class RunningItem:
    """A batch item that runs on an upstream.

    Attributes:
        is_yielding: Whether the item has been chosen to yield.
        yield_callback: Cancels the item's stream.
    """

    def __init__(self) -> None:
        self.is_yielding = False
        self.yield_callback: Callable[[], None] | None = None


class BatchSlots:
    """The running items by upstream; not thread-safe.

    Attributes:
        yielded: Number of items that have been made to yield.
    """

    def __init__(self, reserve_fraction: float, yields: bool = True) -> None:
        self._reserve_fraction = reserve_fraction
        self._yields = yields
        self._running: dict[str, list[RunningItem]] = {}
        self.yielded = 0

    def allowed(self, upstream: records.Upstream, online: int) -> int:
        """Returns how many items may run beside some online requests.

        Args:
            upstream: The upstream.
            online: Number of online requests that run on it.
        """
        reserve = math.ceil(upstream.slots * self._reserve_fraction)
        return max(0, upstream.slots - reserve - online)

    def running(self, upstream: str) -> int:
        """Returns the number of items that hold a slot on an upstream."""
        return len(self._running.get(upstream, ()))

    def add(self, upstream: str) -> RunningItem:
        """Adds an item that starts on an upstream."""
        item = RunningItem()
        self._running.setdefault(upstream, []).append(item)
        return item

    def remove(self, upstream: str, item: RunningItem) -> None:
        """Removes an item that has ended."""
        self._running[upstream].remove(item)

    def mark_yielding(
        self, upstream: records.Upstream, online: int
    ) -> list[RunningItem]:
        """Marks and returns the surplus items, which have to yield now."""
        if not self._yields:
            return []
        items = self._running.get(upstream.upstream, [])
        staying = [item for item in items if not item.is_yielding]
        excess = len(staying) - self.allowed(upstream, online)
        if excess <= 0:
            return []
        chosen = staying[-excess:]
        for item in chosen:
            item.is_yielding = True
        self.yielded += len(chosen)
        return chosen
