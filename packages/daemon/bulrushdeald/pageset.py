"""The pages in force on one VM, and what is looked up in them."""

from collections.abc import Callable
import math
import threading
from typing import NamedTuple

import cbor2

from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import pages

_log = logs.Log("config")


class PageAt(NamedTuple):
    """A page as of a revision; 0 if nothing was ever stored."""

    key: str
    revision: int
    page: pages.Page


class PageSet:
    """All pages with an index; a page only ever moves to a later revision.

    Lookups take no lock: each reads one dictionary once.

    Attributes:
        is_ready: Whether every page has come, so that this VM may serve.
        customers: Rows by name.
        keys: Keys by hash, withdrawn ones too.
        openings: Of customers made lately, by name.
        upstreams: Rows by name.
        upstream_rows: The same rows in the order of their names.
        models: What some engine serves.
        plain_services: The plain services that there are.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._order = pages.all_keys()
        self._pages = {key: PageAt(key, 0, pages.Page()) for key in self._order}
        self._callbacks: list[Callable[[], None]] = []
        self._confirmed_s = -math.inf
        self.is_ready = False
        self.customers: dict[str, records.Customer] = {}
        self.keys: dict[str, records.Key] = {}
        self.openings: dict[str, records.Opening] = {}
        self.upstreams: dict[str, records.Upstream] = {}
        self.upstream_rows: tuple[records.Upstream, ...] = ()
        self.models: frozenset[str] = frozenset()
        self.plain_services: frozenset[str] = frozenset()

    def offer(self, key: str, revision: int, page: pages.Page) -> PageAt | None:
        """Puts a page in force if it is later than the one held.

        The failure: a change comes late, twice or out of order, or a slow
        peer offers what it held before; an accepted change, such as a
        withdrawn key, would be undone here. The platform gives each stored
        page a higher revision than the one before, so what is not higher
        than what is held is never newer.

        Returns:
            What was held before, `None` if the offer is no later.
        """
        with self._lock:
            held = self._pages.get(key)
            if held is None or revision <= held.revision:
                return None
            self._pages[key] = PageAt(key, revision, page)
            self._index(held.page, page)
            return held

    def _index(self, old: pages.Page, new: pages.Page) -> None:
        # New rows first: a reader in between never misses a row that stays.
        # An opening comes before its row: who sees the row looks for it.
        self.openings.update({row.customer: row for row in new.openings})
        self.customers.update({row.customer: row for row in new.customers})
        self.keys.update({row.key_hash: row for row in new.keys})
        self.upstreams.update({row.upstream: row for row in new.upstreams})
        kept_customers = {row.customer for row in new.customers}
        for customer in old.customers:
            if customer.customer not in kept_customers:
                self.customers.pop(customer.customer, None)
        kept_openings = {row.customer for row in new.openings}
        for opening in old.openings:
            if opening.customer not in kept_openings:
                self.openings.pop(opening.customer, None)
        kept_keys = {row.key_hash for row in new.keys}
        for key in old.keys:
            if key.key_hash not in kept_keys:
                self.keys.pop(key.key_hash, None)
        kept_upstreams = {row.upstream for row in new.upstreams}
        for upstream in old.upstreams:
            if upstream.upstream not in kept_upstreams:
                self.upstreams.pop(upstream.upstream, None)
        if old.upstreams != new.upstreams:
            self._order_upstreams()

    def _order_upstreams(self) -> None:
        # Once a change and not once a request: there are thousands.
        rows = sorted(self.upstreams.items())
        self.upstream_rows = tuple(row for _, row in rows)
        self.models = frozenset(
            model for row in self.upstream_rows for model in row.models
        )
        self.plain_services = frozenset(
            row.service for row in self.upstream_rows if row.service
        )

    def change(self, change: pages.Change) -> PageAt | None:
        """Applies a change if it is later and fits what is held.

        Returns:
            What was held before, `None` if nothing was applied.
        """
        held = self._pages.get(change.key)
        if held is None or held.revision != change.base_revision:
            return None
        page = pages.apply(held.page, change)
        # A change that was made wrongly would leave two VMs with the same
        # revision and other rows, which no comparison would ever find.
        if pages.digest(pages.encode(page)) != change.digest:
            return None
        return self.offer(change.key, change.revision, page)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back at each `announce`."""
        self._callbacks.append(callback)

    def announce(self) -> None:
        """Tells that pages changed; on the thread that changed them."""
        for callback in self._callbacks:
            try:
                callback()
            except Exception:  # noqa: BLE001 - the others must hear of it.
                _log.exception("A callback failed.")

    def become_ready(self, source: str) -> None:
        """Tells that every page has come."""
        if self.is_ready:
            return
        self.is_ready = True
        _log.info("Every page has come from %s.", source)
        self.announce()

    @property
    def confirmed_s(self) -> float:
        """Until when every accepted change is surely in force here.

        On this VM's monotonic clock; minus infinity if never.
        """
        return self._confirmed_s

    def confirm(self, at_s: float) -> None:
        """Notes that all changes accepted before a moment are in force."""
        with self._lock:
            self._confirmed_s = max(self._confirmed_s, at_s)

    def at(self, key: str) -> PageAt | None:
        """Returns the page held under a key, `None` for no page's key."""
        return self._pages.get(key)

    def revisions(self) -> tuple[int, ...]:
        """Returns each page's revision, in the order of `all_keys`."""
        return tuple(self._pages[key].revision for key in self._order)

    def digest(self) -> bytes:
        """Returns a short name of all revisions held."""
        return pages.digest(cbor2.dumps(list(self.revisions())))

    def older_than(self, revisions: tuple[int, ...]) -> tuple[str, ...]:
        """Returns the keys of pages that are older here than elsewhere."""
        own = self.revisions()
        return tuple(
            key
            for key, here, there in zip(
                self._order, own, revisions, strict=False
            )
            if here < there
        )
