"""Reads the configuration pages from the platform, then watches them."""

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import services

_log = logs.Log("config")


class PlatformFeed:
    """Copies pages from the platform's key-value service to a `PageSet`."""

    def __init__(
        self,
        page_set: pageset.PageSet,
        keyvalue: services.KeyValue,
        clock: clock_lib.Clock,
    ) -> None:
        self._page_set = page_set
        self._keyvalue = keyvalue
        self._clock = clock
        self._has_read_all = False
        # Every change up to this revision was read from the platform. A page
        # that came from a peer does not raise it: pages changed before that
        # one may still be missing here.
        self._watched_revision = 0

    @property
    def has_read_all(self) -> bool:
        """Whether all pages were read once; `watch` is enough from then on."""
        return self._has_read_all

    @property
    def watched_revision(self) -> int:
        """The revision up to which all changes were read from the platform."""
        return self._watched_revision

    def read_all(self) -> bool:
        """Reads all pages.

        Returns:
            Whether the platform answered.
        """
        started_s = self._clock.monotonic_s()
        entries = self._keyvalue.list(pages.PREFIX)
        if entries.is_err():
            _log.debug(
                "Could not read the configuration: %s",
                entries.unwrap_err().message,
            )
            return False
        self._apply_entries(entries.unwrap())
        self._page_set.confirm(started_s)
        self._has_read_all = True
        self._page_set.mark_ready("the platform")
        return True

    def watch(self, timeout_s: float) -> tuple[pages.Change, ...] | None:
        """Waits for changes and puts them in force.

        Args:
            timeout_s: How long the platform waits for a change, in seconds.

        Returns:
            The changes put in force; `None` if the platform does not answer.
        """
        # The answer may be old when it is read, if this process was paused
        # meanwhile. It certainly covers every change that was accepted
        # before the call began, so that is the time to confirm.
        started_s = self._clock.monotonic_s()
        entries = self._keyvalue.watch(
            pages.PREFIX, self._watched_revision, timeout_s
        )
        if entries.is_err():
            _log.debug(
                "Could not watch the configuration: %s",
                entries.unwrap_err().message,
            )
            return None
        changes = self._apply_entries(entries.unwrap())
        self._page_set.confirm(started_s)
        return changes

    def _apply_entries(
        self, entries: tuple[services.Entry, ...]
    ) -> tuple[pages.Change, ...]:
        changes: list[pages.Change] = []
        for entry in entries:
            change = self._apply_entry(entry)
            if change is not None:
                changes.append(change)
            self._watched_revision = max(self._watched_revision, entry.revision)
        if changes:
            self._page_set.notify()
        return tuple(changes)

    def _apply_entry(self, entry: services.Entry) -> pages.Change | None:
        try:
            page = pages.decode(entry.value)
        except codec.CodecError as error:
            # A malformed or deleted page must not empty the table.
            _log.error("Kept the last %s: %s", entry.key, error)
            return None
        previous = self._page_set.put_if_newer(entry.key, entry.revision, page)
        if previous is None:
            return None
        return pages.diff(
            entry.key, previous.page, previous.revision, page, entry.revision
        )
