"""The upstreams that the platform lists, kept over the store's outages."""

from collections.abc import Callable
import time
from typing import Any

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from gateway import dialect as dialect_lib
from gateway import listing
from gateway import names
from gateway import paging
from gateway import records

_events = eventlog.Events("upstreams")

_CALL_S = 0.8


class UpstreamList:
    """Holds the list; between reads, and without the store, it stays.

    One thread reads or follows.
    """

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        # One that was leaving has no reason to come back.
        self._listing: listing.Listing[records.Upstream] = listing.Listing(
            lambda row: not row.is_draining
        )
        self._by_service: dict[str, tuple[records.Upstream, ...]] = {}
        self._by_instance: dict[str, records.Upstream] = {}
        self._read_s: float | None = None
        self._bad: dict[str, bytes] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._was_refused = False
        self._number = 0

    def start(self) -> None:
        """Finds the services that it needs."""
        self._store = self._kernel.find(names.STORE, dialect_lib.Store)
        self._dialect = self._kernel.find(names.DIALECT, dialect_lib.Dialect)

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns the list and its age."""
        return {
            "age_s": round(self.age_s(), 3),
            "upstreams": sorted(self._by_instance),
        }

    def age_s(self) -> float:
        """Returns how long ago the list was read; -1 if never."""
        if self._read_s is None:
            return -1.0
        return time.monotonic() - self._read_s

    def is_known(self) -> bool:
        """Tells whether the list was ever read."""
        return self._read_s is not None

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back after each change."""
        self._callbacks.append(callback)

    def usable(self, service: str) -> tuple[records.Upstream, ...]:
        """Returns the upstreams of a service that may get requests."""
        return self._by_service.get(service, ())

    def instances(self) -> frozenset[str]:
        """Returns the names of all upstreams listed."""
        return frozenset(self._by_instance)

    def find(self, instance: str) -> records.Upstream | None:
        """Returns an upstream by its name."""
        return self._by_instance.get(instance)

    def all(self) -> tuple[tuple[records.Upstream, ...], int]:
        """Returns all upstreams, leaving ones too, and the list's number.

        The number is another after each change. The failure: the list changes
        between the two; under the newer number a VM would go by the older list
        for as long as nothing else changes. So the number is read first.
        """
        number = self._number
        return tuple(self._by_instance.values()), number

    def read(self) -> bool:
        """Reads the list from the store; false if that fails."""
        rows = self._read()
        if rows is not None:
            now_s = time.monotonic()
            self._apply(self._listing.learn(rows, now_s, self._was_refused))
            self._read_s = now_s
        elif not self._was_refused:
            _events.warning("list_lost", age_s=round(self.age_s(), 3))
        self._was_refused = rows is None
        return rows is not None

    def follow(
        self, rows: tuple[records.Upstream, ...] | None, age_s: float
    ) -> None:
        """Takes the list of a VM that read it `age_s` ago.

        Args:
            rows: All upstreams; `None` if the list is the one held here.
            age_s: In seconds.
        """
        found = self._by_instance
        if rows is not None:
            found = {row.instance: row for row in rows}
        now_s = time.monotonic()
        # What lapsed in an outage is kept in what is followed already.
        self._apply(self._listing.learn(found, now_s, was_refused=False))
        self._read_s = now_s - age_s
        self._was_refused = False

    def _read(self) -> dict[str, records.Upstream] | None:
        prefix = self._dialect.names.upstreams
        listed = paging.read_all(self._store, prefix, _CALL_S)
        if listed.is_err():
            return None
        decoded = map(self._decode, listed.unwrap().entries)
        return {row.instance: row for row in decoded if row is not None}

    def _decode(self, entry: dialect_lib.Entry) -> records.Upstream | None:
        if entry.value is None:
            return None
        try:
            row = self._dialect.upstream(entry.key, entry.value)
        except dialect_lib.BadInputError as error:
            if self._bad.get(entry.key) != entry.value:
                self._bad[entry.key] = entry.value
                _events.warning("bad_entry", key=entry.key, why=str(error))
            return None
        return row

    def _apply(self, rows: dict[str, records.Upstream]) -> None:
        before = self._by_instance
        if rows == before:
            return
        by_service: dict[str, list[records.Upstream]] = {}
        for instance in sorted(rows):
            row = rows[instance]
            if not row.is_draining:
                by_service.setdefault(row.service, []).append(row)
        self._by_service = {
            name: tuple(found) for name, found in by_service.items()
        }
        self._by_instance = rows
        self._number += 1
        _note_changes(before, rows)
        for callback in self._callbacks:
            callback()


def _note_changes(
    before: dict[str, records.Upstream], after: dict[str, records.Upstream]
) -> None:
    for instance in sorted(before.keys() | after.keys()):
        old, new = before.get(instance), after.get(instance)
        if old == new:
            continue
        if new is None:
            _events.info("gone", upstream=instance)
            continue
        _events.info(
            "draining" if new.is_draining else "listed",
            upstream=instance,
            service=new.service,
            address=new.address,
            slots=new.slots,
        )
