"""Holds the upstreams that the store lists, also through its outages."""

import collections
from collections.abc import Callable, Iterable, Mapping
import itertools
import math
import threading
from typing import Any, NamedTuple

from bulrushdeal import clock
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from gateway import dialect as dialect_lib
from gateway import evacuations
from gateway import names
from gateway import paging
from gateway import records
from gateway import retainedlist
from gateway.decisions import listages
from gateway.decisions import upstreamlives
from gateway.decisions import versionhistory

_events = eventlog.Events("upstreams")

_CALL_TIMEOUT_S = 0.8
# The most upstreams that one line of the log names.
_MAX_LOGGED = 10
# The longest wait of a request for a new list. Renewing one takes less, unless
# the store is away or slow.
_MAX_WAIT_S = 0.5
# An upstream's entry expires after three intervals without a renewal, and the
# last renewal may be one interval old when an outage begins.
_MIN_OUTAGE_HEARTBEATS = 2.0


class Snapshot(NamedTuple):
    """What one VM tells another of its list.

    Attributes:
        rows: All known upstreams, draining ones and those that are gone too.
        version: Grows with each change of the rows.
        age_s: The age of the list in seconds; -1 if it was never read.
        kept_for_s: For how long upstreams that an outage of the store may have
            removed are still kept, in seconds; 0 if there are none.
    """

    rows: tuple[records.Upstream, ...]
    version: int
    age_s: float
    kept_for_s: float


class UpstreamList:
    """Holds the last known list, also while the store is unavailable.

    Upstreams in failure domains that are evacuated are listed but not usable.
    All times are seconds since the boot: a list grows old while the VM is
    suspended.

    Only one thread may call `read` and `apply_received`.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._evacuations = kernel.find(
            names.EVACUATIONS, evacuations.Evacuations
        )
        self._evacuations.on_change(self._on_evacuations)
        # A missing entry that was draining is not kept: its upstream leaves.
        self._listing: retainedlist.Listing[records.Upstream] = (
            retainedlist.Listing(
                lambda row: not row.is_draining,
                settings.heartbeat_s * _MIN_OUTAGE_HEARTBEATS,
            )
        )
        self._lives = upstreamlives.Lives()
        self._steps = listages.schedule(settings.drain_timeout_s)
        # Whether the store is known to be away or slow, so that no newer list
        # is to be expected.
        self._is_store_late = False
        self._lock = threading.Lock()
        self._renewed = threading.Condition(self._lock)
        self._by_service: dict[str, tuple[records.Upstream, ...]] = {}
        self._by_instance: dict[str, records.Upstream] = {}
        self._read_s: float | None = None
        self._rejected: dict[str, bytes] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._last_read_failed = False
        self._version = 0
        self._software_versions = versionhistory.VersionHistory()
        self._counts: collections.Counter[str] = collections.Counter()
        self._logged_kept: frozenset[str] = frozenset()
        # The older reports that the last list had, by name and number.
        self._older: frozenset[tuple[str, int]] = frozenset()

    def start(self) -> None:
        """Finds the services that the list needs."""
        self._store = self._kernel.find(names.STORE, dialect_lib.Store)
        self._dialect = self._kernel.find(names.DIALECT, dialect_lib.Dialect)

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns the age of the list and the names of its upstreams."""
        return {
            "age_s": round(self.age_s(), 3),
            "upstreams": sorted(self._by_instance),
        }

    def age_s(self) -> float:
        """Returns the age of the list in seconds; -1 if it was never read."""
        if self._read_s is None:
            return -1.0
        return clock.boottime_s() - self._read_s

    def is_known(self) -> bool:
        """Returns whether the list was ever read."""
        return self._read_s is not None

    def keeps_any(self) -> bool:
        """Returns whether upstreams are kept over an outage of the store."""
        return bool(self._listing.kept().until_s)

    def counts(self) -> Mapping[str, int]:
        """Returns how often entries were used against the store's listing.

        Returns:
            `kept`: upstreams that the store no longer listed. `went_back`:
            upstreams without numbered reports that were listed as ready after
            they were draining. `older_report`: reports that did not count,
            since a newer one was known. `overdue`: requests for which no newer
            list came in time.
        """
        return dict(self._counts)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after each change of the list."""
        self._callbacks.append(callback)

    def usable(self, service: str) -> tuple[records.Upstream, ...]:
        """Returns the upstreams of a service that may get requests."""
        return self._by_service.get(service, ())

    def why_none(self, service: str) -> str:
        """Returns why a service has no usable upstream, for callers."""
        evacuated = self._evacuations.current().domains
        is_evacuated = any(
            row.service == service and row.failure_domain in evacuated
            for row in self._by_instance.values()
        )
        if is_evacuated:
            return "all upstreams are in evacuated failure domains"
        return "no upstream is listed"

    def instances(self) -> frozenset[str]:
        """Returns the names of all upstreams listed."""
        return frozenset(self._by_instance)

    def find_usable(
        self, service: str, instance: str
    ) -> records.Upstream | None:
        """Returns an upstream of a service, if it may get requests."""
        row = self._by_instance.get(instance)
        return row if row in self.usable(service) else None

    def only_version(self, service: str, span_s: float) -> str:
        """See `versionhistory.VersionHistory`."""
        with self._lock:
            return self._software_versions.only_version(
                service, span_s, clock.boottime_s()
            )

    def has_several_versions(self, service: str, span_s: float) -> bool:
        """See `versionhistory.VersionHistory.has_several`."""
        with self._lock:
            return self._software_versions.has_several(
                service, span_s, clock.boottime_s()
            )

    def await_read(self) -> bool:
        """Waits for a list that is read from now on; returns whether one came.

        Does not wait if the store is known to be away or slow.
        """
        asked_s = clock.boottime_s()
        with self._renewed:
            self._renewed.wait_for(
                lambda: self._is_store_late or self._is_read_since(asked_s),
                _MAX_WAIT_S,
            )
            return self._is_read_since(asked_s)

    def _is_read_since(self, at_s: float) -> bool:
        return self._read_s is not None and self._read_s >= at_s

    def listed(self) -> tuple[records.Upstream, ...]:
        """Returns all listed upstreams, draining ones too."""
        return tuple(self._by_instance.values())

    def snapshot(self) -> Snapshot:
        """Returns what other VMs are told of the list."""
        with self._lock:
            rows = tuple(self._lives.rows.values())
            ends_s = self._listing.kept().until_s.values()
            kept_for_s = max(0.0, min(ends_s, default=0.0) - clock.boottime_s())
            return Snapshot(rows, self._version, self.age_s(), kept_for_s)

    def read(self, budget_s: float = math.inf) -> bool:
        """Reads the list from the store; returns whether that succeeded.

        The list is as old as the start of the read: what changes while later
        pages are read may be missing in the first.

        Args:
            budget_s: How long the read may take, in seconds. A read that takes
                longer is no sign of an outage.
        """
        started_s = clock.boottime_s()
        rows = self._read(budget_s)
        if rows is None:
            self._record_failure(is_outage=budget_s == math.inf)
            return False
        with self._lock:
            found = self._listing.update(rows, started_s)
            kept = self._listing.kept().until_s
            self._last_read_failed = False
            took_s = clock.boottime_s() - started_s
            self._is_store_late = took_s > self._steps.read_budget_s
        self._apply(
            lambda: self._lives.apply_listing(found, kept, started_s),
            started_s,
        )
        return True

    def apply_received(
        self,
        rows: tuple[records.Upstream, ...],
        age_s: float,
        kept_for_s: float = 0.0,
    ) -> None:
        """Applies the list of another VM.

        Of a list that was read before the one held here, only what cannot go
        back counts: which upstreams drain or are gone.

        Args:
            rows: All upstreams that the other VM knows.
            age_s: How long ago it was read from the store, in seconds.
            kept_for_s: For how long those among them that are kept over an
                outage stay, in seconds.
        """
        now_s = clock.boottime_s()
        read_s = now_s - age_s
        if self._read_s is not None and read_s <= self._read_s:
            self._apply(lambda: self._lives.join(rows, now_s), self._read_s)
            return
        in_use = {
            row.instance: row for row in rows if upstreamlives.is_in_use(row)
        }
        until_s = {
            name: now_s + kept_for_s
            for name, row in in_use.items()
            if row.presence == "kept"
        }
        with self._lock:
            self._listing.adopt(in_use, read_s, until_s)
            self._last_read_failed = False
            self._is_store_late = age_s > self._steps.max_follow_age_s
        self._apply(lambda: self._lives.apply_received(rows, now_s), read_s)

    def await_current(self) -> None:
        """Waits until the list is new enough to send a request by it.

        After a pause of this VM an upstream may have left that the list still
        has. If the store is known to be away or slow there is no better list,
        and the one at hand is used.
        """
        if self._is_current():
            return
        with self._renewed:
            is_current = self._renewed.wait_for(self._is_current, _MAX_WAIT_S)
        if not is_current:
            self._counts["overdue"] += 1
            _events.sampled_info("overdue", age_s=round(self.age_s(), 3))

    def _is_current(self) -> bool:
        if self._read_s is None or self._is_store_late:
            return True
        return clock.boottime_s() - self._read_s <= self._steps.bound_s

    def _record_failure(self, *, is_outage: bool) -> None:
        with self._renewed:
            self._is_store_late = True
            self._renewed.notify_all()
        if not is_outage:
            return
        if not self._last_read_failed:
            _events.warning("list_lost", age_s=round(self.age_s(), 3))
        self._last_read_failed = True
        self._listing.record_failure()

    def _read(self, budget_s: float) -> dict[str, records.Upstream] | None:
        prefix = self._dialect.store_keys.upstreams_prefix
        listed = paging.read_all(
            self._store, prefix, _CALL_TIMEOUT_S, budget_s=budget_s
        )
        if listed.is_err():
            return None
        decoded = map(self._decode, listed.unwrap().entries)
        return {row.instance: row for row in decoded if row is not None}

    def _decode(self, entry: dialect_lib.Entry) -> records.Upstream | None:
        if entry.value is None:
            return None
        try:
            row = self._dialect.decode_upstream(entry.key, entry.value)
        except dialect_lib.BadInputError as error:
            if self._rejected.get(entry.key) != entry.value:
                self._rejected[entry.key] = entry.value
                _events.warning("bad_entry", key=entry.key, why=str(error))
            return None
        return row

    def _apply(
        self, merge: Callable[[], list[records.Upstream]], read_s: float
    ) -> None:
        """Merges a list into what is known, and reports what changed.

        Args:
            merge: Merges the list; returns reports that are too old to count.
            read_s: When the list was read, in seconds since the boot.
        """
        before = self._by_instance
        self._log_kept()
        with self._lock:
            known = dict(self._lives.rows)
            older = merge()
            if self._lives.rows != known:
                self._version += 1
                self._by_instance = _listed(self._lives.rows)
                self._software_versions.change(self._by_instance.values())
                self._index()
            self._read_s = read_s
            self._software_versions.record_read(read_s)
            self._renewed.notify_all()
        self._log_older(older)
        if self._by_instance == before:
            return
        _log_changes(before, self._by_instance)
        self._log_returned(before, self._by_instance)
        self._report_change()

    def _log_older(self, older: Iterable[records.Upstream]) -> None:
        """Logs reports that are listed after newer ones, each once."""
        found = {(row.instance, row.sequence): row for row in older}
        for key in found.keys() - self._older:
            known = self._lives.rows[key[0]]
            self._counts["older_report"] += 1
            _events.sampled_info(
                "older_report",
                upstream=known.instance,
                sequence=key[1],
                known_sequence=known.sequence,
                known_presence=known.presence,
                is_draining=known.is_draining,
            )
        self._older = frozenset(found)

    def _log_kept(self) -> None:
        """Logs the upstreams that are kept from now on."""
        kept = self._listing.kept()
        added = kept.until_s.keys() - self._logged_kept
        self._logged_kept = frozenset(kept.until_s)
        if not added:
            return
        until_s = min(kept.until_s[name] for name in added)
        self._counts["kept"] += len(added)
        _events.warning(
            "kept",
            upstreams=sorted(added)[:_MAX_LOGGED],
            count=len(added),
            outage_s=round(kept.outage_s, 3),
            for_s=round(until_s - clock.boottime_s(), 3),
        )

    def _log_returned(
        self,
        before: Mapping[str, records.Upstream],
        after: Mapping[str, records.Upstream],
    ) -> None:
        """Logs the upstreams that are no longer listed as draining."""
        returned = [
            row
            for row in after.values()
            if not row.is_draining
            and (old := before.get(row.instance)) is not None
            and old.is_draining
            and old.started_ms == row.started_ms
        ]
        self._counts["went_back"] += len(returned)
        for row in itertools.islice(returned, _MAX_LOGGED):
            _events.warning(
                "went_back", upstream=row.instance, started_ms=row.started_ms
            )

    def _on_evacuations(self) -> None:
        with self._lock:
            self._index()
        self._report_change()

    def _index(self) -> None:
        """Sorts the usable upstreams by service."""
        evacuated = self._evacuations.current().domains
        by_service: dict[str, list[records.Upstream]] = {}
        for instance in sorted(self._by_instance):
            row = self._by_instance[instance]
            if not row.is_draining and row.failure_domain not in evacuated:
                by_service.setdefault(row.service, []).append(row)
        self._by_service = {
            name: tuple(found) for name, found in by_service.items()
        }

    def _report_change(self) -> None:
        threads.notify(self._callbacks, "upstreams callback")


def _listed(
    rows: Mapping[str, records.Upstream],
) -> dict[str, records.Upstream]:
    """Returns the rows in use, without what may change with each report."""
    return {
        name: row._replace(sequence=0, presence="listed")
        for name, row in rows.items()
        if upstreamlives.is_in_use(row)
    }


def _log_changes(
    before: dict[str, records.Upstream], after: dict[str, records.Upstream]
) -> None:
    for instance in sorted(before.keys() | after.keys()):
        old, new = before.get(instance), after.get(instance)
        if old == new or _is_warmer(old, new):
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
            started_ms=new.started_ms,
            software_version=new.software_version,
        )


def _is_warmer(
    old: records.Upstream | None, new: records.Upstream | None
) -> bool:
    """Returns whether an entry differs only in how long it is cold."""
    if old is None or new is None:
        return False
    return old._replace(cold_remaining_s=new.cold_remaining_s) == new
