"""The pages in force on one VM, with indexes for lookups."""

from collections.abc import Callable
import math
import threading
from typing import NamedTuple

import cbor2

from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import pages

_log = logs.Log("config")


class VersionedPage(NamedTuple):
    """A page at a revision; revision 0 is a page that was never stored."""

    key: str
    revision: int
    page: pages.Page


class PageSet:
    """All pages and their indexes; a page's revision only ever increases.

    Lookups take no lock: each reads one dictionary once.

    Attributes:
        is_ready: Whether every page was received, so that this VM may serve.
        customers: Rows by name.
        keys: Keys by hash, including withdrawn ones.
        openings: The initial tokens of recently added customers, by name.
        upstreams: Rows by name.
        upstream_rows: The rows of `upstreams` in order of name.
        models: The names of all models that an upstream serves.
        plain_service_names: The names of all plain services.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._page_keys = pages.all_keys()
        self._pages = {
            key: VersionedPage(key, 0, pages.Page()) for key in self._page_keys
        }
        self._callbacks: list[Callable[[], None]] = []
        self._confirmed_s = -math.inf
        self.is_ready = False
        self.customers: dict[str, records.Customer] = {}
        self.keys: dict[str, records.Key] = {}
        self.openings: dict[str, records.InitialTokens] = {}
        self.upstreams: dict[str, records.Upstream] = {}
        self.upstream_rows: tuple[records.Upstream, ...] = ()
        self.models: frozenset[str] = frozenset()
        self.plain_service_names: frozenset[str] = frozenset()

    def put_if_newer(
        self, key: str, revision: int, page: pages.Page
    ) -> VersionedPage | None:
        """Puts a page in force if its revision is higher than the current one.

        Pages can arrive late, twice or out of order, and a slow peer can send
        an old one; putting it in force would undo an accepted change, such as
        a withdrawn key. The platform gives each stored page a higher revision
        than its predecessor, so a page whose revision is not higher is never
        newer.

        Returns:
            The page that was replaced; `None` if nothing was replaced.
        """
        with self._lock:
            held = self._pages.get(key)
            if held is None or revision <= held.revision:
                return None
            self._pages[key] = VersionedPage(key, revision, page)
            self._index(held.page, page)
            return held

    def _index(self, old: pages.Page, new: pages.Page) -> None:
        # New rows are added before old ones are removed, so that a concurrent
        # reader never misses a row that stays. Initial tokens are added before
        # customers, since a reader that finds a customer looks up its tokens.
        self.openings.update({row.customer: row for row in new.openings})
        self.customers.update({row.customer: row for row in new.customers})
        self.keys.update({row.key_hash: row for row in new.keys})
        self.upstreams.update({row.upstream: row for row in new.upstreams})
        kept_customers = {row.customer for row in new.customers}
        for customer in old.customers:
            if customer.customer not in kept_customers:
                self.customers.pop(customer.customer, None)
        kept_openings = {row.customer for row in new.openings}
        for initial_tokens in old.openings:
            if initial_tokens.customer not in kept_openings:
                self.openings.pop(initial_tokens.customer, None)
        kept_keys = {row.key_hash for row in new.keys}
        for key in old.keys:
            if key.key_hash not in kept_keys:
                self.keys.pop(key.key_hash, None)
        kept_upstreams = {row.upstream for row in new.upstreams}
        for upstream in old.upstreams:
            if upstream.upstream not in kept_upstreams:
                self.upstreams.pop(upstream.upstream, None)
        if old.upstreams != new.upstreams:
            self._index_upstreams()

    def _index_upstreams(self) -> None:
        # Sorted at each change, not at each request: there are thousands of
        # upstreams.
        rows = sorted(self.upstreams.items())
        self.upstream_rows = tuple(row for _, row in rows)
        self.models = frozenset(
            model for row in self.upstream_rows for model in row.models
        )
        self.plain_service_names = frozenset(
            row.service for row in self.upstream_rows if row.service
        )

    def apply_change(self, change: pages.Change) -> VersionedPage | None:
        """Applies a change if its base is the revision in force.

        Returns:
            The page that was replaced; `None` if nothing was applied.
        """
        held = self._pages.get(change.key)
        if held is None or held.revision != change.base_revision:
            return None
        page = pages.apply_change(held.page, change)
        # Without this check a wrong change would leave two VMs with different
        # rows at the same revision, which comparisons could never detect.
        if pages.digest(pages.encode(page)) != change.digest:
            return None
        return self.put_if_newer(change.key, change.revision, page)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback that each `notify` runs."""
        self._callbacks.append(callback)

    def notify(self) -> None:
        """Runs the callbacks, on the calling thread, after pages changed."""
        for callback in self._callbacks:
            try:
                callback()
            except Exception:  # noqa: BLE001 - the other callbacks must run.
                _log.exception("A callback failed.")

    def mark_ready(self, source: str) -> None:
        """Marks this VM as ready: every page was received.

        Args:
            source: Where the pages came from, for the log.
        """
        if self.is_ready:
            return
        self.is_ready = True
        _log.info("Received every page from %s.", source)
        self.notify()

    @property
    def confirmed_s(self) -> float:
        """The time up to which every accepted change is known to be in force.

        In seconds on this VM's monotonic clock; minus infinity if never.
        """
        return self._confirmed_s

    def confirm(self, at_s: float) -> None:
        """Records that all changes accepted before `at_s` are in force."""
        with self._lock:
            self._confirmed_s = max(self._confirmed_s, at_s)

    def versioned_page(self, key: str) -> VersionedPage | None:
        """Returns the page in force, `None` if `key` is not a page's key."""
        return self._pages.get(key)

    def revisions(self) -> tuple[int, ...]:
        """Returns each page's revision, in the order of `pages.all_keys`."""
        return tuple(self._pages[key].revision for key in self._page_keys)

    def digest(self) -> bytes:
        """Returns a digest of the revisions of all pages."""
        return pages.digest(cbor2.dumps(list(self.revisions())))

    def keys_older_than(self, revisions: tuple[int, ...]) -> tuple[str, ...]:
        """Returns the keys of pages whose revision here is lower.

        Args:
            revisions: The revisions to compare with, in the order of
                `pages.all_keys`.
        """
        own = self.revisions()
        return tuple(
            key
            for key, here, there in zip(
                self._page_keys, own, revisions, strict=False
            )
            if here < there
        )
