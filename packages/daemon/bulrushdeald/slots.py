"""Slots on upstreams, and the requests that wait for one."""

from collections.abc import Callable
import threading
from typing import Protocol

from bulrushdeal import records
from bulrushdeald import batchslots
from bulrushdeald import queues
from bulrushdeald import services

# A first guess of how long a request holds a slot, until some have ended.
_FIRST_HOLD_S = 1.0
_HOLD_SMOOTHING = 0.1


class Holder(Protocol):
    """What a slot needs of the router."""

    def set_yield_callback(
        self, slot: "Slot", callback: Callable[[], None]
    ) -> None:
        """Remembers how a slot's stream is cancelled."""

    def release(self, slot: "Slot", outcome: services.Outcome) -> None:
        """Takes a slot back."""


class Slot:
    """A place on an upstream; see `services.Slot`.

    Attributes:
        work: The request that holds it.
        running: How it is made to yield, for a batch item.
        start_s: When it was taken, on the monotonic clock.
        is_suspect: Whether it ran when an upstream crashed before.
    """

    def __init__(
        self,
        holder: Holder,
        work: services.Work,
        upstream: records.Upstream,
        running: batchslots.Running | None,
        start_s: float,
        is_suspect: bool,
    ) -> None:
        self._holder = holder
        self._upstream = upstream
        self._is_released = False
        self.work = work
        self.running = running
        self.start_s = start_s
        self.is_suspect = is_suspect

    @property
    def upstream(self) -> records.Upstream:
        """Where the request is to be sent."""
        return self._upstream

    def on_yield(self, callback: Callable[[], None]) -> None:
        """Calls back once if this batch item has to yield."""
        self._holder.set_yield_callback(self, callback)

    def release(self, outcome: services.Outcome) -> None:
        """Gives the slot back; a second call does nothing."""
        if self._is_released:
            return
        self._is_released = True
        self._holder.release(self, outcome)


class Waiter:
    """A request that waits; what it gets is set under the router's lock."""

    def __init__(self, work: services.Work, lock: threading.Lock) -> None:
        self.work = work
        self.wakeup = threading.Condition(lock)
        self.slot: Slot | None = None
        self.refusal: services.Refusal | None = None


class Pool:
    """All that waits for one model or plain service.

    Attributes:
        online: Online requests.
        batch: Batch items that have not begun.
        resumed: Items that have yielded. They come before those that have
            not begun: an engine keeps what they have done only for a while.
        hold_s: How long an online request holds a slot, smoothed.
    """

    def __init__(self, make_queue: Callable[[], queues.Queue[Waiter]]) -> None:
        self.online = make_queue()
        self.batch = make_queue()
        self.resumed = make_queue()
        self.hold_s = _FIRST_HOLD_S

    def queue(self, work: services.Work) -> queues.Queue[Waiter]:
        """Returns the queue that a request waits in."""
        if work.work_class == "online":
            return self.online
        return self.resumed if work.resumes_at else self.batch

    def is_behind(self, work: services.Work) -> bool:
        """Tells whether others wait that come before a new request."""
        if work.work_class == "online":
            return bool(self.online)
        return bool(self.resumed or (self.batch and not work.resumes_at))

    def waiting_batch(self) -> int:
        """Returns how many batch items wait."""
        return len(self.batch) + len(self.resumed)

    def note_hold(self, held_s: float) -> None:
        """Learns from an online request that has ended."""
        self.hold_s += _HOLD_SMOOTHING * (held_s - self.hold_s)

    def expected_wait_s(
        self, customer: str, weight: float, slots: float
    ) -> float:
        """Returns how long a new online request of a customer would wait.

        Args:
            customer: Whose request it is.
            weight: Of the customer.
            slots: The part of all slots that this VM's queue gets.
        """
        per_s = max(1e-6, slots / self.hold_s)
        return self.online.turns(customer, weight) / per_s
