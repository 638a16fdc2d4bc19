"""The configuration's customer rows, grouped by page for the owned parts."""

from collections.abc import Callable
import threading

from bulrushdeal import records
from bulrushdeald import limitrecords
from bulrushdeald import ownedpart
from bulrushdeald import services

_Rows = dict[int, dict[str, records.Customer]]


class PageRows:
    """Supplies each owned part with the newest rows.

    One lock guards two steps: giving a new part its rows and publishing it,
    and reading changed rows and giving them to all published parts. Without
    it, a row could change after a new part's rows were read and before the
    part was published. The part would miss the change, and the customer would
    be refused until the table was next edited.
    """

    def __init__(self, config: services.Config) -> None:
        self._config = config
        self._lock = threading.Lock()
        self._rows: _Rows | None = None

    def add_part(
        self, part: ownedpart.OwnedPart, publish: Callable[[], None]
    ) -> None:
        """Gives a new part its rows and publishes it.

        Args:
            part: The new part.
            publish: Adds the part to those that `reload` updates.
        """
        with self._lock:
            if self._rows is None:
                self._rows = self._read()
            part.apply_rows(self._rows.get(part.page, {}))
            publish()

    def reload(
        self, published: Callable[[], tuple[ownedpart.OwnedPart, ...]]
    ) -> None:
        """Reads the rows again and gives them to all published parts.

        Args:
            published: Returns the published parts.
        """
        with self._lock:
            self._rows = self._read()
            for part in published():
                part.apply_rows(self._rows.get(part.page, {}))

    def _read(self) -> _Rows:
        rows: _Rows = {}
        for row in self._config.customers():
            page = rows.setdefault(limitrecords.page_of(row.customer), {})
            page[row.customer] = row
        return rows
