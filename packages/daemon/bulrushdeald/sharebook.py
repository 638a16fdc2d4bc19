"""The records of `limits/` as this VM has read them last."""

import threading
from typing import Literal, NamedTuple

import result

from bulrushdeal import logs
from bulrushdeald import services
from bulrushdeald import shares

_log = logs.Log("limits")


Written = Literal["yes", "no", "unknown"]


class Stored(NamedTuple):
    """A record and the revision that it was read with."""

    page: shares.Page
    revision: int


class ShareBook:
    """Reads, follows and writes the records.

    While the platform is out the records read last stay in force; nothing
    in them lapses.
    """

    def __init__(self, keyvalue: services.KeyValue) -> None:
        self._keyvalue = keyvalue
        self._lock = threading.Lock()
        self._stored: dict[int, Stored] = {}
        self.is_loaded = False

    def get(self, page: int) -> Stored | None:
        """Returns a page's record, `None` if none was read."""
        with self._lock:
            return self._stored.get(page)

    def part(self, page: int, failure_domain: str) -> shares.Part | None:
        """Returns one part, `None` if none was read."""
        stored = self.get(page)
        return None if stored is None else stored.page.part(failure_domain)

    def refresh(self) -> bool:
        """Reads all records; returns whether the platform answered."""
        entries = self._keyvalue.list(shares.PREFIX)
        if isinstance(entries, result.Err):
            return False
        self.note(entries.ok_value)
        self.is_loaded = True
        return True

    def follow(self, timeout_s: float) -> bool:
        """Waits for changes; returns whether the platform answered."""
        if not self.is_loaded:
            return self.refresh()
        with self._lock:
            newest = max((s.revision for s in self._stored.values()), default=0)
        entries = self._keyvalue.watch(shares.PREFIX, newest, timeout_s)
        if isinstance(entries, result.Err):
            # Changes may have been missed, and a record whose write had
            # no answer is settled by reading it.
            return self.refresh()
        self.note(entries.ok_value)
        return True

    def put(self, number: int, page: shares.Page, revision: int) -> Written:
        """Writes a page if its revision is as read.

        Returns:
            Whether it was written; if that is unknown, the next reading
            tells what the record holds.
        """
        value = shares.to_bytes(page)
        written = self._keyvalue.put(shares.key_of(number), value, revision)
        if isinstance(written, result.Ok):
            self._keep(number, Stored(page, written.ok_value))
            return "yes"
        error = written.err_value
        if error.kind == "conflict" and error.current is not None:
            self.note((error.current,))
            if error.current.value == value:
                # Our own write, sent twice after an answer was lost; the
                # nonce tells it from any other.
                return "yes"
        return "unknown" if error.kind == "unknown" else "no"

    def is_empty(self) -> bool:
        """Tells whether no record is known."""
        with self._lock:
            return not self._stored

    def is_owned(self, failure_domain: str) -> bool:
        """Tells whether a failure domain's part of each page has an owner."""
        return all(
            part is not None and bool(part.vm)
            for part in (
                self.part(number, failure_domain)
                for number in range(shares.PAGES)
            )
        )

    def entries(self) -> tuple[services.Entry, ...]:
        """Returns all records as the platform holds them."""
        with self._lock:
            return tuple(
                services.Entry(
                    shares.key_of(number),
                    shares.to_bytes(stored.page),
                    stored.revision,
                )
                for number, stored in sorted(self._stored.items())
            )

    def note(self, entries: tuple[services.Entry, ...]) -> None:
        """Takes records, each only if it is newer than the one known."""
        for entry in entries:
            try:
                number = shares.page_of_key(entry.key)
                before = self.get(number)
                if before is not None and before.revision >= entry.revision:
                    continue
                page = shares.from_bytes(entry.value)
            except (shares.ShareError, ValueError) as error:
                _log.error("Record %s is unreadable: %s", entry.key, error)
                continue
            self._keep(number, Stored(page, entry.revision))

    def _keep(self, number: int, stored: Stored) -> None:
        with self._lock:
            before = self._stored.get(number)
            # Answers may overtake each other; a record never goes back.
            if before is None or stored.revision > before.revision:
                self._stored[number] = stored
