"""The slots on upstreams that this VM holds, and the runs that use them."""

from collections.abc import Callable, Iterable, Mapping
import threading
import time

from gateway import records
from gateway.decisions import batchorder
from gateway.decisions import placementfigures
from gateway.decisions import requestcosts
from gateway.decisions import requesters
from gateway.decisions import slotrecords


class Slot:
    """A place for one request on an upstream, held until it is released.

    Attributes:
        run: The name of the run that uses the slot.
        upstream: The upstream.
        priority: The batch item's priority; `None` for an online request.
        starts_at_once: Whether the run begins at once, according to the
            service's leader; false if that is not known.
        is_granted_by_leader: Whether the leader chose the upstream, and not
            this VM.
        is_queued: Whether the leader put the run into the engine's queue.
        figures: What the leader chose the engine by, if it is known.
        is_preempted: Whether the slot was preempted.
        outcome: How the run ended, as far as known.
        held_since_s: When the slot was taken, by the monotonic clock.
        list_age_s: The age of the list of upstreams at that time, in seconds;
            -1 if it is not known.
        first_event_s: From then to the run's first event, in seconds; 0 if
            it has sent none.
        cost: What the request costs.
        requester: Who sends an online request.
    """

    def __init__(
        self,
        run: str,
        upstream: records.Upstream,
        priority: batchorder.ItemPriority | None,
        cost: requestcosts.RequestCost,
        on_release: Callable[["Slot"], None],
    ) -> None:
        self.run = run
        self.upstream = upstream
        self.priority = priority
        self.cost = cost
        self.requester = requesters.UNKNOWN
        self.starts_at_once = False
        self.is_granted_by_leader = False
        self.is_queued = False
        self.figures: placementfigures.PlacementFigures | None = None
        self.is_preempted = False
        self.outcome: slotrecords.Outcome = "unknown"
        self.held_since_s = time.monotonic()
        self.list_age_s = -1.0
        self.first_event_s = 0.0
        self._on_release = on_release
        self._lock = threading.Lock()
        self._is_released = False
        self._cancel: Callable[[], None] | None = None

    @property
    def is_batch(self) -> bool:
        """Whether a batch item uses the slot."""
        return self.priority is not None

    def record_first_event(self) -> bool:
        """Records that an event of the run has come.

        Returns:
            Whether it is the run's first.
        """
        if self.first_event_s:
            return False
        self.first_event_s = time.monotonic() - self.held_since_s
        return True

    def set_cancel_callback(self, cancel: Callable[[], None]) -> None:
        """Sets the callback that ends the run when the slot is preempted.

        If it is already preempted, `cancel` is called at once.
        """
        with self._lock:
            self._cancel = cancel
            is_preempted = self.is_preempted
        if is_preempted:
            cancel()

    def preempt(self) -> None:
        """Marks the slot as preempted and ends its run.

        Called from a thread other than the run's own.
        """
        with self._lock:
            self.is_preempted = True
            cancel = self._cancel
        if cancel is not None:
            cancel()

    def release(self) -> None:
        """Releases the slot; idempotent."""
        with self._lock:
            if self._is_released:
                return
            self._is_released = True
        self._on_release(self)


class HeldSlots:
    """All slots that this VM holds; thread-safe.

    Args:
        on_release: Called with the service and the slot after each release.
    """

    def __init__(self, on_release: Callable[[str, Slot], None]) -> None:
        self._on_release = on_release
        self._lock = threading.Lock()
        self._by_service: dict[str, dict[str, Slot]] = {}
        self._counts: dict[str, int] = {}

    def hold(
        self,
        service: str,
        run: str,
        upstream: records.Upstream,
        priority: batchorder.ItemPriority | None = None,
        cost: requestcosts.RequestCost = requestcosts.UNKNOWN,
    ) -> Slot:
        """Adds a slot and returns it.

        Args:
            service: The upstream's service.
            run: The name of the run that uses the slot.
            upstream: The upstream.
            priority: The batch item's priority; `None` for an online request.
            cost: What the request costs.
        """
        slot = Slot(
            run,
            upstream,
            priority,
            cost,
            lambda slot: self._remove(service, slot),
        )
        with self._lock:
            self._by_service.setdefault(service, {})[run] = slot
            count = self._counts.get(upstream.instance, 0)
            self._counts[upstream.instance] = count + 1
        return slot

    def _remove(self, service: str, slot: Slot) -> None:
        instance = slot.upstream.instance
        with self._lock:
            self._by_service.get(service, {}).pop(slot.run, None)
            left = self._counts.get(instance, 1) - 1
            if left > 0:
                self._counts[instance] = left
            else:
                self._counts.pop(instance, None)
        self._on_release(service, slot)

    def counts(self) -> Mapping[str, int]:
        """Returns the number of held slots per upstream, without zeros."""
        with self._lock:
            return dict(self._counts)

    def all(self) -> list[Slot]:
        """Returns all slots."""
        with self._lock:
            return [
                slot
                for held in self._by_service.values()
                for slot in held.values()
            ]

    def of_service(self, service: str) -> list[Slot]:
        """Returns the slots on a service's upstreams."""
        with self._lock:
            return list(self._by_service.get(service, {}).values())

    def services(self) -> set[str]:
        """Returns the services with at least one held slot."""
        with self._lock:
            return {name for name, held in self._by_service.items() if held}

    def find(self, runs: Iterable[str]) -> list[Slot]:
        """Returns the slots of some runs; runs without a slot are skipped."""
        with self._lock:
            return [
                held[run]
                for run in runs
                for held in self._by_service.values()
                if run in held
            ]
