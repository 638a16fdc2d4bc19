"""Feeds pages from the platform: by reading all, then by watching."""

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import services

_log = logs.Log("config")


class PlatformFeed:
    """Takes pages from the platform's key-value service."""

    def __init__(
        self,
        held: pageset.PageSet,
        keyvalue: services.KeyValue,
        clock: clock_lib.Clock,
    ) -> None:
        self._held = held
        self._keyvalue = keyvalue
        self._clock = clock
        self._has_read_all = False
        # Every change up to this revision was read here; a page that came
        # from a peer does not raise it, for it says nothing of the others.
        self._watched_revision = 0

    @property
    def has_read_all(self) -> bool:
        """Whether all pages were read once, so that watching suffices."""
        return self._has_read_all

    @property
    def watched_revision(self) -> int:
        """Up to where all changes were read from the platform."""
        return self._watched_revision

    def read_all(self) -> bool:
        """Reads all pages; false if the platform does not answer."""
        began_s = self._clock.monotonic_s()
        entries = self._keyvalue.list(pages.PREFIX)
        if entries.is_err():
            _log.debug("Could not read: %s", entries.unwrap_err().message)
            return False
        self._take(entries.unwrap())
        self._held.confirm(began_s)
        self._has_read_all = True
        self._held.become_ready("the platform")
        return True

    def watch(self, timeout_s: float) -> tuple[pages.Change, ...] | None:
        """Waits for changes.

        Returns:
            What changed here; `None` if the platform does not answer.
        """
        # The answer may have waited for this process, paused meanwhile; it
        # surely tells of all that was accepted before the call began.
        began_s = self._clock.monotonic_s()
        entries = self._keyvalue.watch(
            pages.PREFIX, self._watched_revision, timeout_s
        )
        if entries.is_err():
            _log.debug("Could not watch: %s", entries.unwrap_err().message)
            return None
        changes = self._take(entries.unwrap())
        self._held.confirm(began_s)
        return changes

    def _take(
        self, entries: tuple[services.Entry, ...]
    ) -> tuple[pages.Change, ...]:
        changes: list[pages.Change] = []
        for entry in entries:
            change = self._take_one(entry)
            if change is not None:
                changes.append(change)
            self._watched_revision = max(self._watched_revision, entry.revision)
        if changes:
            self._held.announce()
        return tuple(changes)

    def _take_one(self, entry: services.Entry) -> pages.Change | None:
        try:
            page = pages.decode(entry.value)
        except codec.CodecError as error:
            # A page written wrongly, or deleted, must not empty the table.
            _log.error("Kept the last %s: %s", entry.key, error)
            return None
        before = self._held.offer(entry.key, entry.revision, page)
        if before is None:
            return None
        return pages.diff(
            entry.key, before.page, before.revision, page, entry.revision
        )
