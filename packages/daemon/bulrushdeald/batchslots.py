"""Which batch items run on the upstreams that this VM owns.

Batch work takes only slots that online work leaves, and a reserve stays
free, so that an online request finds room before any item has yielded. When
online work grows into the reserve, the items that started last yield, since
they lose the least.
"""

from collections.abc import Callable
import math

from bulrushdeal import records


class Running:
    """One batch item on an upstream, and how to make it yield."""

    def __init__(self) -> None:
        self.is_yielding = False
        self.yield_callback: Callable[[], None] | None = None


class BatchSlots:
    """The running items by upstream; not thread-safe by itself."""

    def __init__(self, reserve_fraction: float, yields: bool = True) -> None:
        self._reserve_fraction = reserve_fraction
        self._yields = yields
        self._running: dict[str, list[Running]] = {}
        self.yielded = 0

    def allowed(self, upstream: records.Upstream, online: int) -> int:
        """Returns how many items may run beside `online` requests."""
        reserve = math.ceil(upstream.slots * self._reserve_fraction)
        return max(0, upstream.slots - reserve - online)

    def running(self, upstream: str) -> int:
        """Returns how many items hold a slot."""
        return len(self._running.get(upstream, ()))

    def add(self, upstream: str) -> Running:
        """Notes that an item starts."""
        item = Running()
        self._running.setdefault(upstream, []).append(item)
        return item

    def remove(self, upstream: str, item: Running) -> None:
        """Notes that an item has ended."""
        self._running[upstream].remove(item)

    def to_yield(
        self, upstream: records.Upstream, online: int
    ) -> list[Running]:
        """Marks and returns the items that have to yield now."""
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
