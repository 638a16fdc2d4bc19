"""Holds which failure domains the operators evacuate."""

from collections.abc import Callable, Iterable
import threading
from typing import Any, NamedTuple

from bulrushdeal import eventlog
from bulrushdeal import threads

_events = eventlog.Events("evacuations")


class Evacuated(NamedTuple):
    """The evacuated failure domains at one revision of the store.

    Attributes:
        revision: The revision; 0 if nothing is known.
        domains: The failure domains whose upstreams are to get nothing, in
            alphabetical order.
    """

    revision: int = 0
    domains: tuple[str, ...] = ()


class Event(NamedTuple):
    """A change of one failure domain.

    Attributes:
        domain: The failure domain.
        revision: The store's revision of the change.
        is_evacuated: Whether it is evacuated from now on.
    """

    domain: str
    revision: int
    is_evacuated: bool


class Evacuations:
    """Applies newer evacuations from the store and peers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._current = Evacuated()
        self._callbacks: list[Callable[[], None]] = []

    def start(self) -> None:
        """See `kernel.Service`."""

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns the evacuated failure domains and their revision."""
        return self._current._asdict()

    def current(self) -> Evacuated:
        """Returns the newest known evacuations."""
        return self._current

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after each change of the domains."""
        self._callbacks.append(callback)

    def apply(self, evacuated: Evacuated, source: str) -> None:
        """Applies evacuations unless those held are of the same age or newer.

        Args:
            evacuated: All evacuations at one revision.
            source: Where they came from, for the log.
        """
        with self._lock:
            before = self._current
            if evacuated.revision <= before.revision:
                return
            self._current = evacuated
        self._report_change(before, source)

    def apply_listing(self, domains: Iterable[str], revision: int) -> None:
        """Applies a complete listing of the store."""
        rows = tuple(sorted(set(domains)))
        self.apply(Evacuated(revision, rows), "store")

    def apply_events(self, events: Iterable[Event]) -> None:
        """Applies the changes of a watch that has missed no earlier one.

        The changes of one transaction share a revision, so each is compared
        with what was known before the first of them. They take effect together:
        other VMs would take a part of them for all that the revision holds.
        """
        with self._lock:
            before = self._current
            newer = [row for row in events if row.revision > before.revision]
            if not newer:
                return
            domains = set(before.domains)
            for row in newer:
                domains.discard(row.domain)
                if row.is_evacuated:
                    domains.add(row.domain)
            revision = max(row.revision for row in newer)
            self._current = Evacuated(revision, tuple(sorted(domains)))
        self._report_change(before, "store")

    def _report_change(self, before: Evacuated, source: str) -> None:
        now = self._current
        if now.domains == before.domains:
            return
        _events.warning(
            "changed",
            failure_domains=now.domains,
            before=before.domains,
            revision=now.revision,
            source=source,
        )
        threads.notify(self._callbacks, "evacuation callback")
