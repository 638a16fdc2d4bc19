"""The configuration in force on this VM, fed by the platform and by peers."""

from collections.abc import Callable
from concurrent import futures
import hashlib
import random
import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import configfeed
from bulrushdeald import configgossip
from bulrushdeald import defaults
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import services
from bulrushdeald import watchers

# Each return confirms the configuration, so it bounds the age shown.
_WATCH_S = 10.0
_RETRY_S = 0.5
_COMPARE_S = 1.0
_PUSH_THREADS = 4
# Alone for so long, a VM watches the platform itself.
_ALONE_S = 5.0


class ConfigService:
    """See `services.Config`.

    Two VMs of each failure domain watch the platform and push what changed
    on to peers; each VM compares with a peer every second and pulls what is
    later there. A VM serves when it has every page, from the platform or
    from peers.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
        choice: random.Random | None = None,
        pool: futures.Executor | None = None,
    ) -> None:
        self._max_age_s = settings.config_max_age_s
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._random = choice or random.Random()
        self._pool = pool or futures.ThreadPoolExecutor(
            _PUSH_THREADS, "config push"
        )
        self._held = pageset.PageSet()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def attach(self) -> None:
        """Finds the other services and answers peers; starts no thread."""
        find = self._kernel.find
        self._membership = find(services.MEMBERSHIP, services.Membership)
        self.feed = configfeed.PlatformFeed(
            self._held,
            find(services.KEYVALUE, services.KeyValue),
            self._clock,
        )
        self.gossip = configgossip.PeerGossip(
            self._held,
            self._membership,
            find(services.PEERS, services.Peers),
            self._clock,
            self._random,
            self._pool,
        )
        self.gossip.attach()

    def start(self) -> None:
        """Begins to feed; serves as soon as every page has come."""
        self.attach()
        for target in (self._run_feed, self._run_gossip):
            thread = threading.Thread(target=target, name="config", daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self, grace_s: float) -> None:
        """Ends the comparisons; a watch that waits is left to its end."""
        self._stopping.set()
        self.gossip.stop()
        for thread in self._threads[1:]:
            thread.join(min(grace_s, _RETRY_S))

    def dump(self) -> Any:
        """Returns what is in force and how it comes."""
        return {
            "is_ready": self._held.is_ready,
            "revision": self.revision(),
            "age_s": round(self.gossip.age_s(), 3),
            "watched_revision": self.feed.watched_revision,
            "is_watcher": self.is_watcher(),
            "partners": [
                *self.gossip.near_partners(),
                *self.gossip.far_partners(),
            ],
            "customers": len(self._held.customers),
            "keys": len(self._held.keys),
            "upstreams": len(self._held.upstreams),
        }

    def is_ready(self) -> bool:
        """Tells whether this VM has every page."""
        return self._held.is_ready

    def revision(self) -> int:
        """See `services.Config`."""
        return max(self._held.revisions())

    def revisions(self) -> tuple[int, ...]:
        """Returns each page's revision, in the order of `pages.all_keys`."""
        return self._held.revisions()

    def page(self, key: str) -> pageset.PageAt | None:
        """Returns a page as it is in force here."""
        return self._held.at(key)

    def customer(self, customer: str) -> records.Customer | None:
        """See `services.Config`."""
        return self._held.customers.get(customer)

    def customers(self) -> tuple[records.Customer, ...]:
        """See `services.Config`."""
        rows = self._held.customers.copy()
        return tuple(rows[name] for name in sorted(rows))

    def customer_keys(self) -> tuple[records.Key, ...]:
        """Returns all keys by hash, withdrawn ones too."""
        rows = self._held.keys.copy()
        return tuple(rows[key_hash] for key_hash in sorted(rows))

    def upstreams(self) -> tuple[records.Upstream, ...]:
        """See `services.Config`."""
        return self._held.upstream_rows

    def models(self) -> frozenset[str]:
        """See `services.Config`."""
        return self._held.models

    def plain_services(self) -> frozenset[str]:
        """See `services.Config`."""
        return self._held.plain_services

    def authenticate(
        self, key: str
    ) -> result.Result[services.Principal, services.ConfigError]:
        """See `services.Config`."""
        if not self._held.is_ready:
            return result.Err(
                services.ConfigError("not_ready", "No configuration yet.")
            )
        if self._is_too_old():
            return result.Err(
                services.ConfigError("not_ready", "Cut off for too long.")
            )
        row = self._held.keys.get(hash_key(key))
        unknown = services.ConfigError("unknown_key", "The key is not valid.")
        if row is None or row.withdrawn:
            return result.Err(unknown)
        customer = self._held.customers.get(row.customer)
        if customer is None:
            return result.Err(unknown)
        return result.Ok(services.Principal(customer, row.key_hash))

    def _is_too_old(self) -> bool:
        if self._max_age_s <= 0:
            return False
        age_s = self.gossip.age_s()
        return age_s < 0 or age_s > self._max_age_s

    def opening(self, customer: str) -> records.Opening | None:
        """See `services.Config`."""
        return self._held.openings.get(customer)

    def is_withdrawn(self, key_hash: str) -> bool:
        """See `services.Config`; a key that is gone counts as withdrawn."""
        row = self._held.keys.get(key_hash)
        return row is None or row.withdrawn

    def on_change(self, callback: Callable[[], None]) -> None:
        """See `services.Config`."""
        self._held.on_change(callback)

    def adopt(self, key: str, revision: int, page: pages.Page) -> None:
        """Puts an edit in force that the platform accepted from here."""
        before = self._held.offer(key, revision, page)
        if before is None:
            return
        self._held.announce()
        change = pages.diff(key, before.page, before.revision, page, revision)
        self.gossip.push((change,))

    def is_watcher(self) -> bool:
        """Tells whether this VM is to watch the platform."""
        own = self._membership.own()
        chosen = watchers.choose(
            self._membership.entry_vms(), own.failure_domain
        )
        is_chosen = own.vm in chosen
        return is_chosen or self.gossip.alone_s() > _ALONE_S

    def watch(self, timeout_s: float) -> bool:
        """Watches the platform and pushes what changed on to peers."""
        changes = self.feed.watch(timeout_s)
        if changes:
            self.gossip.push(changes)
        return changes is not None

    def _run_feed(self) -> None:
        while not self._stopping.is_set():
            is_ok = False
            if not self.feed.has_read_all:
                is_ok = self.feed.read_all()
            elif self.is_watcher():
                is_ok = self.watch(_WATCH_S)
            if not is_ok:
                self._stopping.wait(_RETRY_S)

    def _run_gossip(self) -> None:
        while not self._stopping.is_set():
            if not self._held.is_ready:
                self.gossip.compare_with_many()
            else:
                self.gossip.compare_with_one()
            is_ready = self._held.is_ready
            self._stopping.wait(_COMPARE_S if is_ready else _RETRY_S)


def hash_key(key: str) -> str:
    """Returns what a caller's key is known by."""
    return hashlib.sha256(key.encode()).hexdigest()
