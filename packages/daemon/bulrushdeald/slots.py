"""Slots on upstreams, and the requests that wait for them."""

from collections.abc import Callable
import threading
from typing import Protocol

from bulrushdeal import records
from bulrushdeald import batchslots
from bulrushdeald import queues
from bulrushdeald import services

# The estimated time that a request holds a slot, until some have ended.
_INITIAL_HOLD_S = 1.0
_HOLD_SMOOTHING = 0.1


class Router(Protocol):
    """The part of the router that a slot uses."""

    def set_yield_callback(
        self, slot: "Slot", callback: Callable[[], None]
    ) -> None:
        """Sets the callback that cancels a batch item's stream."""

    def release(self, slot: "Slot", outcome: services.Outcome) -> None:
        """Frees a slot."""


class Slot:
    """A slot on an upstream; see `services.Slot`.

    Attributes:
        work: The request that holds the slot.
        batch_item: The running batch item; `None` for an online request.
        start_s: When the slot was taken, in seconds on the monotonic clock.
        is_suspect: Whether the request was running when an upstream crashed
            earlier.
    """

    def __init__(
        self,
        router: Router,
        work: services.PlacementRequest,
        upstream: records.Upstream,
        batch_item: batchslots.RunningItem | None,
        start_s: float,
        is_suspect: bool,
    ) -> None:
        self._router = router
        self._upstream = upstream
        self._is_released = False
        self.work = work
        self.batch_item = batch_item
        self.start_s = start_s
        self.is_suspect = is_suspect

    @property
    def upstream(self) -> records.Upstream:
        """The upstream to send the request to."""
        return self._upstream

    def on_yield(self, callback: Callable[[], None]) -> None:
        """Sets a callback that is called once if this batch item must yield."""
        self._router.set_yield_callback(self, callback)

    def release(self, outcome: services.Outcome) -> None:
        """Frees the slot; a second call does nothing."""
        if self._is_released:
            return
        self._is_released = True
        self._router.release(self, outcome)


class Waiter:
    """A waiting request.

    Attributes:
        work: The request.
        wakeup: Notified, under the router's lock, when `slot` or `refusal`
            has been set.
        slot: The slot that the request was given.
        refusal: The refusal that ends its wait.
    """

    def __init__(
        self, work: services.PlacementRequest, lock: threading.Lock
    ) -> None:
        self.work = work
        self.wakeup = threading.Condition(lock)
        self.slot: Slot | None = None
        self.refusal: services.Refusal | None = None


class Pool:
    """The requests that wait for one model or plain service.

    Attributes:
        online: Online requests.
        batch: Batch items that have not started.
        resumed: Batch items that have yielded. They are served before items
            that have not started, because an engine keeps their state only
            for a while.
        hold_s: Smoothed time in seconds that an online request holds a slot.
    """

    def __init__(self, make_queue: Callable[[], queues.Queue[Waiter]]) -> None:
        self.online = make_queue()
        self.batch = make_queue()
        self.resumed = make_queue()
        self.hold_s = _INITIAL_HOLD_S

    def queue(self, work: services.PlacementRequest) -> queues.Queue[Waiter]:
        """Returns the queue for a request."""
        if work.work_class == "online":
            return self.online
        return self.resumed if work.resume_upstream else self.batch

    def must_wait(self, work: services.PlacementRequest) -> bool:
        """Returns whether waiting requests come before a new one."""
        if work.work_class == "online":
            return bool(self.online)
        return bool(self.resumed or (self.batch and not work.resume_upstream))

    def waiting_batch(self) -> int:
        """Returns the number of waiting batch items."""
        return len(self.batch) + len(self.resumed)

    def record_hold(self, held_s: float) -> None:
        """Updates `hold_s` with the hold time of an ended online request."""
        self.hold_s += _HOLD_SMOOTHING * (held_s - self.hold_s)

    def expected_wait_s(
        self, customer: str, weight: float, slots: float
    ) -> float:
        """Returns the expected wait in seconds of a new online request.

        Args:
            customer: The customer that sends the request.
            weight: The customer's weight.
            slots: This VM's share of the slots, which may be fractional.
        """
        per_s = max(1e-6, slots / self.hold_s)
        return self.online.turns(customer, weight) / per_s
