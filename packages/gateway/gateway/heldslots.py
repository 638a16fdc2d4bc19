"""The places on upstreams that this VM holds, and what runs on them."""

from collections.abc import Callable, Iterable, Mapping
import threading
import time

from gateway import records
from gateway.decisions import batchorder
from gateway.decisions import slotledger


class Slot:
    """A place on one upstream, held while a request runs there."""

    def __init__(
        self,
        run: str,
        upstream: records.Upstream,
        standing: batchorder.Standing | None,
        on_release: Callable[["Slot"], None],
    ) -> None:
        self.run = run
        self.upstream = upstream
        # Of a batch item; `None` for an online request.
        self.standing = standing
        # Whether what runs here begins at once, by the engines' leader.
        self.is_free = False
        self.has_yielded = False
        # What came of it so far.
        self.outcome: slotledger.Outcome = "unknown"
        self.since_s = time.monotonic()
        self._on_release = on_release
        self._lock = threading.Lock()
        self._is_released = False
        self._cancel: Callable[[], None] | None = None

    @property
    def is_batch(self) -> bool:
        """Whether a batch item runs here."""
        return self.standing is not None

    def on_yield(self, cancel: Callable[[], None]) -> None:
        """Calls `cancel` once the slot has to be given up."""
        with self._lock:
            self._cancel = cancel
            has_yielded = self.has_yielded
        if has_yielded:
            cancel()

    def give_up(self) -> None:
        """Ends what runs here, on another thread than the run's."""
        with self._lock:
            self.has_yielded = True
            cancel = self._cancel
        if cancel is not None:
            cancel()

    def release(self) -> None:
        """Gives the slot back; idempotent."""
        with self._lock:
            if self._is_released:
                return
            self._is_released = True
        self._on_release(self)


class HeldSlots:
    """All slots that this VM holds; any thread may call it.

    Args:
        on_release: Is told of each slot that was given back, and its service.
    """

    def __init__(self, on_release: Callable[[str, Slot], None]) -> None:
        self._on_release = on_release
        self._lock = threading.Lock()
        self._held: dict[str, dict[str, Slot]] = {}
        self._counts: dict[str, int] = {}

    def hold(
        self,
        service: str,
        run: str,
        upstream: records.Upstream,
        standing: batchorder.Standing | None = None,
    ) -> Slot:
        """Holds a slot from now on.

        Args:
            service: The upstream's service.
            run: Names what runs there.
            upstream: The upstream.
            standing: Of the batch item that runs there, if it is one.
        """
        slot = Slot(
            run,
            upstream,
            standing,
            lambda slot: self._drop(service, slot),
        )
        with self._lock:
            self._held.setdefault(service, {})[run] = slot
            count = self._counts.get(upstream.instance, 0)
            self._counts[upstream.instance] = count + 1
        return slot

    def _drop(self, service: str, slot: Slot) -> None:
        instance = slot.upstream.instance
        with self._lock:
            self._held.get(service, {}).pop(slot.run, None)
            left = self._counts.get(instance, 1) - 1
            if left > 0:
                self._counts[instance] = left
            else:
                self._counts.pop(instance, None)
        self._on_release(service, slot)

    def counts(self) -> Mapping[str, int]:
        """Returns how many slots are held on each upstream that has any."""
        with self._lock:
            return dict(self._counts)

    def all(self) -> list[Slot]:
        """Returns all slots."""
        with self._lock:
            return [
                slot for held in self._held.values() for slot in held.values()
            ]

    def of_service(self, service: str) -> list[Slot]:
        """Returns the slots on a service's upstreams."""
        with self._lock:
            return list(self._held.get(service, {}).values())

    def services(self) -> set[str]:
        """Returns the services on whose upstreams any slot is held."""
        with self._lock:
            return {name for name, held in self._held.items() if held}

    def find(self, runs: Iterable[str]) -> list[Slot]:
        """Returns the slots of some runs, as far as they are held here."""
        with self._lock:
            return [
                held[run]
                for run in runs
                for held in self._held.values()
                if run in held
            ]
