"""The configuration in force on this VM, read from the platform and peers."""

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
from bulrushdeal import threads
from bulrushdeald import configfeed
from bulrushdeald import configgossip
from bulrushdeald import defaults
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import services
from bulrushdeald import watcherchoice

# The age of the configuration is reset each time a watch returns, so this
# timeout bounds the age that a watcher reports.
_WATCH_TIMEOUT_S = 10.0
_RETRY_DELAY_S = 0.5
_COMPARE_INTERVAL_S = 1.0
_PUSH_THREADS = 4
# A VM that has had no contact with a peer for longer than this watches the
# platform itself.
_MAX_PEER_SILENCE_S = 5.0


class ConfigService:
    """See `services.Config`.

    Two VMs of each failure domain watch the platform and push changes to
    peers. Each VM compares revisions with a peer every second and fetches the
    pages that are newer there. A VM is ready to serve once it has received
    every page, from the platform or from peers.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
        rng: random.Random | None = None,
        pool: futures.Executor | None = None,
    ) -> None:
        self._max_age_s = settings.config_max_age_s
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._rng = rng or random.Random()
        self._pool = pool or futures.ThreadPoolExecutor(
            _PUSH_THREADS, "config push"
        )
        self._page_set = pageset.PageSet()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def attach(self) -> None:
        """Looks up the other services and registers the peer message handlers.

        Starts no thread.
        """
        find = self._kernel.find
        self._membership = find(services.MEMBERSHIP, services.Membership)
        self.feed = configfeed.PlatformFeed(
            self._page_set,
            find(services.KEYVALUE, services.KeyValue),
            self._clock,
        )
        self.gossip = configgossip.PeerGossip(
            self._page_set,
            self._membership,
            find(services.PEERS, services.Peers),
            self._clock,
            self._rng,
            self._pool,
        )
        self.gossip.attach()

    def start(self) -> None:
        """Starts the threads that read the platform and compare with peers."""
        self.attach()
        for target in (self._run_feed, self._run_gossip):
            self._threads.append(threads.start(target, "config"))

    def stop(self, grace_s: float) -> None:
        """Stops comparisons and pushes; does not wait for a pending watch."""
        self._stopping.set()
        self.gossip.stop()
        for thread in self._threads[1:]:
            thread.join(min(grace_s, _RETRY_DELAY_S))

    def dump(self) -> Any:
        """Returns the revision, the age, the partners and the row counts."""
        return {
            "is_ready": self._page_set.is_ready,
            "revision": self.revision(),
            "age_s": round(self.gossip.age_s(), 3),
            "watched_revision": self.feed.watched_revision,
            "is_watcher": self.is_watcher(),
            "partners": [
                *self.gossip.near_partners(),
                *self.gossip.far_partners(),
            ],
            "customers": len(self._page_set.customers),
            "keys": len(self._page_set.keys),
            "upstreams": len(self._page_set.upstreams),
        }

    def is_ready(self) -> bool:
        """Returns whether this VM has received every page."""
        return self._page_set.is_ready

    def revision(self) -> int:
        """See `services.Config`."""
        return max(self._page_set.revisions())

    def revisions(self) -> tuple[int, ...]:
        """Returns each page's revision, in the order of `pages.all_keys`."""
        return self._page_set.revisions()

    def page(self, key: str) -> pageset.VersionedPage | None:
        """Returns the page in force, `None` if `key` is not a page's key."""
        return self._page_set.versioned_page(key)

    def customer(self, customer: str) -> records.Customer | None:
        """See `services.Config`."""
        return self._page_set.customers.get(customer)

    def customers(self) -> tuple[records.Customer, ...]:
        """See `services.Config`."""
        rows = self._page_set.customers.copy()
        return tuple(rows[name] for name in sorted(rows))

    def customer_keys(self) -> tuple[records.Key, ...]:
        """Returns all customer keys in order of their hashes.

        Withdrawn keys are included.
        """
        rows = self._page_set.keys.copy()
        return tuple(rows[key_hash] for key_hash in sorted(rows))

    def upstreams(self) -> tuple[records.Upstream, ...]:
        """See `services.Config`."""
        return self._page_set.upstream_rows

    def models(self) -> frozenset[str]:
        """See `services.Config`."""
        return self._page_set.models

    def plain_service_names(self) -> frozenset[str]:
        """See `services.Config`."""
        return self._page_set.plain_service_names

    def authenticate(
        self, key: str
    ) -> result.Result[services.Principal, services.ConfigError]:
        """See `services.Config`."""
        if not self._page_set.is_ready:
            return result.Err(
                services.ConfigError(
                    "not_ready", "This VM has no configuration yet."
                )
            )
        if self._is_too_old():
            return result.Err(
                services.ConfigError(
                    "not_ready", "The configuration on this VM is too old."
                )
            )
        row = self._page_set.keys.get(hash_key(key))
        unknown = services.ConfigError("unknown_key", "The key is not valid.")
        if row is None or row.withdrawn:
            return result.Err(unknown)
        customer = self._page_set.customers.get(row.customer)
        if customer is None:
            return result.Err(unknown)
        return result.Ok(services.Principal(customer, row.key_hash))

    def _is_too_old(self) -> bool:
        if self._max_age_s <= 0:
            return False
        age_s = self.gossip.age_s()
        return age_s < 0 or age_s > self._max_age_s

    def initial_tokens(self, customer: str) -> records.InitialTokens | None:
        """See `services.Config`."""
        return self._page_set.openings.get(customer)

    def is_withdrawn(self, key_hash: str) -> bool:
        """See `services.Config`; an unknown key counts as withdrawn."""
        row = self._page_set.keys.get(key_hash)
        return row is None or row.withdrawn

    def on_change(self, callback: Callable[[], None]) -> None:
        """See `services.Config`."""
        self._page_set.on_change(callback)

    def put_written_page(
        self, key: str, revision: int, page: pages.Page
    ) -> None:
        """Puts a page in force that this VM has written to the platform.

        Also pushes the change to peers: when this VM's own watch returns the
        page, it is in force already and is not pushed.
        """
        before = self._page_set.put_if_newer(key, revision, page)
        if before is None:
            return
        self._page_set.notify()
        change = pages.diff(key, before.page, before.revision, page, revision)
        self.gossip.push((change,))

    def is_watcher(self) -> bool:
        """Returns whether this VM watches the platform.

        The VMs chosen in each failure domain do, and so does a VM that has
        had no contact with a peer for some seconds.
        """
        own = self._membership.own_vm()
        chosen = watcherchoice.choose_watchers(
            self._membership.entry_vms(), own.failure_domain
        )
        is_chosen = own.vm in chosen
        return is_chosen or self.gossip.peer_silence_s() > _MAX_PEER_SILENCE_S

    def watch(self, timeout_s: float) -> bool:
        """Watches the platform once and pushes the changes to peers.

        Returns:
            Whether the platform answered.
        """
        changes = self.feed.watch(timeout_s)
        if changes:
            self.gossip.push(changes)
        return changes is not None

    def _run_feed(self) -> None:
        while not self._stopping.is_set():
            has_succeeded = False
            if not self.feed.has_read_all:
                has_succeeded = self.feed.read_all()
            elif self.is_watcher():
                has_succeeded = self.watch(_WATCH_TIMEOUT_S)
            if not has_succeeded:
                self._stopping.wait(_RETRY_DELAY_S)

    def _run_gossip(self) -> None:
        while not self._stopping.is_set():
            if not self._page_set.is_ready:
                self.gossip.compare_with_many()
            else:
                self.gossip.compare_with_one()
            is_ready = self._page_set.is_ready
            self._stopping.wait(
                _COMPARE_INTERVAL_S if is_ready else _RETRY_DELAY_S
            )


def hash_key(key: str) -> str:
    """Returns the hash under which a caller's key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()
