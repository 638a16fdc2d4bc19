"""This VM's copy of the `limits/` records in the key-value service."""

import threading
from typing import Literal, NamedTuple

import result

from bulrushdeal import logs
from bulrushdeald import limitrecords
from bulrushdeald import services

_log = logs.Log("limits")


Written = Literal["yes", "no", "unknown"]


class StoredPage(NamedTuple):
    """A record and its revision."""

    page: limitrecords.Page
    revision: int


class ShareBook:
    """Reads, watches and writes the records.

    While the platform is unavailable, the records that were read last stay
    in force, as nothing in them expires.

    Attributes:
        is_loaded: Whether all records have been read from the platform.
    """

    def __init__(self, keyvalue: services.KeyValue) -> None:
        self._keyvalue = keyvalue
        self._lock = threading.Lock()
        self._stored: dict[int, StoredPage] = {}
        self.is_loaded = False

    def get(self, page: int) -> StoredPage | None:
        """Returns a page's record; `None` if there is none."""
        with self._lock:
            return self._stored.get(page)

    def part(self, page: int, failure_domain: str) -> limitrecords.Part | None:
        """Returns one part of a page; `None` if there is none."""
        stored = self.get(page)
        return None if stored is None else stored.page.part(failure_domain)

    def refresh(self) -> bool:
        """Reads all records; returns whether the platform answered."""
        entries = self._keyvalue.list(limitrecords.PREFIX)
        if isinstance(entries, result.Err):
            return False
        self.merge(entries.ok_value)
        self.is_loaded = True
        return True

    def watch(self, timeout_s: float) -> bool:
        """Waits for changes and applies them.

        Args:
            timeout_s: How long to wait for a change.

        Returns:
            Whether the platform answered.
        """
        if not self.is_loaded:
            return self.refresh()
        with self._lock:
            newest = max((s.revision for s in self._stored.values()), default=0)
        entries = self._keyvalue.watch(limitrecords.PREFIX, newest, timeout_s)
        if isinstance(entries, result.Err):
            # Changes may have been missed. Reading all records also shows
            # whether a write that got no answer took effect.
            return self.refresh()
        self.merge(entries.ok_value)
        return True

    def put(
        self, number: int, page: limitrecords.Page, revision: int
    ) -> Written:
        """Writes a page's record if its revision is unchanged.

        Args:
            number: The number of the page.
            page: The new record.
            revision: The revision that the record replaces.

        Returns:
            Whether it was written. If that is unknown, the next read shows
            what the record contains.
        """
        value = limitrecords.to_bytes(page)
        written = self._keyvalue.put(
            limitrecords.key_of(number), value, revision
        )
        if isinstance(written, result.Ok):
            self._store_if_newer(number, StoredPage(page, written.ok_value))
            return "yes"
        error = written.err_value
        if error.kind == "conflict" and error.current is not None:
            self.merge((error.current,))
            if error.current.value == value:
                # This VM's own write, sent again after its answer was lost;
                # the nonce distinguishes it from any other write.
                return "yes"
        return "unknown" if error.kind == "unknown" else "no"

    def is_empty(self) -> bool:
        """Tells whether this VM has no records."""
        with self._lock:
            return not self._stored

    def is_owned(self, failure_domain: str) -> bool:
        """Tells whether a failure domain's part of each page has an owner."""
        return all(
            part is not None and bool(part.vm)
            for part in (
                self.part(number, failure_domain)
                for number in range(limitrecords.PAGES)
            )
        )

    def entries(self) -> tuple[services.Entry, ...]:
        """Returns all records in the form that the platform stores."""
        with self._lock:
            return tuple(
                services.Entry(
                    limitrecords.key_of(number),
                    limitrecords.to_bytes(stored.page),
                    stored.revision,
                )
                for number, stored in sorted(self._stored.items())
            )

    def merge(self, entries: tuple[services.Entry, ...]) -> None:
        """Stores each record that is newer than the copy here.

        Records that can't be decoded are logged and skipped.
        """
        for entry in entries:
            try:
                number = limitrecords.page_of_key(entry.key)
                before = self.get(number)
                if before is not None and before.revision >= entry.revision:
                    continue
                page = limitrecords.from_bytes(entry.value)
            except (limitrecords.ShareError, ValueError) as error:
                _log.error("Record %s is unreadable: %s", entry.key, error)
                continue
            self._store_if_newer(number, StoredPage(page, entry.revision))

    def _store_if_newer(self, number: int, stored: StoredPage) -> None:
        with self._lock:
            before = self._stored.get(number)
            # Answers may arrive out of order; an older revision must not
            # replace a newer one.
            if before is None or stored.revision > before.revision:
                self._stored[number] = stored
