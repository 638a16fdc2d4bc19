"""The configuration's rows by page of the limits, as owned parts need them."""

from collections.abc import Callable
import threading

from bulrushdeal import records
from bulrushdeald import owner
from bulrushdeald import services
from bulrushdeald import shares

_Rows = dict[int, dict[str, records.Customer]]


class PageRows:
    """Gives each owned part the newest rows.

    The failure: a row changes just as a part comes to be owned. It shows as
    a customer that is refused until the table is next edited: the part got
    rows that were read before, and the change met no part to tell. So a part
    gets its rows and is published under the lock under which a change reads
    the rows and tells all parts: one of the two comes after the other.
    """

    def __init__(self, config: services.Config) -> None:
        self._config = config
        self._lock = threading.Lock()
        self._rows: _Rows | None = None

    def publish(
        self, part: owner.OwnedPart, publish: Callable[[], None]
    ) -> None:
        """Gives a part its rows and calls `publish`."""
        with self._lock:
            if self._rows is None:
                self._rows = self._read()
            part.set_rows(self._rows.get(part.page, {}))
            publish()

    def change(
        self, published: Callable[[], tuple[owner.OwnedPart, ...]]
    ) -> None:
        """Reads the rows again and gives them to all published parts."""
        with self._lock:
            self._rows = self._read()
            for part in published():
                part.set_rows(self._rows.get(part.page, {}))

    def _read(self) -> _Rows:
        rows: _Rows = {}
        for row in self._config.customers():
            page = rows.setdefault(shares.page_of(row.customer), {})
            page[row.customer] = row
        return rows
