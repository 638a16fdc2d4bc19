"""The configuration in force on this VM, fed by the platform and by peers."""

from collections.abc import Callable
from concurrent import futures
import hashlib
import random
import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import configsync
from bulrushdeald import defaults
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import services

_log = logs.Log("config")
_WATCHERS_PER_DOMAIN = 2
_WATCH_S = 25.0
_RETRY_S = 0.5
_COMPARE_S = 1.0
_PEER_TIMEOUT_S = 1.0
# Alone for so long, a VM watches the platform itself.
_ALONE_S = 5.0
_OTHER_DOMAIN_SHARE = 0.25
# A VM that starts without the platform asks so many peers at most.
_START_PEERS = 8
_PUSH_THREADS = 8
_MAX_ANSWER_BYTES = 1_000_000


class ConfigService:
    """See `services.Config`.

    Two VMs of each failure domain watch the platform and push what changed
    to the domain's others; each VM compares revisions with a random peer
    every second and pulls what is later there. A VM serves when it has every
    page, from the platform or from peers.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
        choice: random.Random | None = None,
    ) -> None:
        del settings
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._random = choice or random.Random()
        self._set = pageset.PageSet()
        self._callbacks: list[Callable[[], None]] = []
        self._is_ready = False
        self._has_read_all = False
        # Everything stored up to this revision was read from the platform.
        self._watched_revision = 0
        self._heard_peer_s = self._clock.monotonic_s()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._pool = futures.ThreadPoolExecutor(_PUSH_THREADS, "config push")

    def attach(self) -> None:
        """Finds the other services and answers peers; starts no thread."""
        find = self._kernel.find
        self._keyvalue = find(services.KEYVALUE, services.KeyValue)
        self._membership = find(services.MEMBERSHIP, services.Membership)
        self._peers = find(services.PEERS, services.Peers)
        self._peers.handle(configsync.PushChanges, self._on_push)
        self._peers.handle(configsync.CompareRevisions, self._on_compare)
        self._peers.handle(configsync.FetchPages, self._on_fetch)
        self._peers.handle(configsync.ReadStatus, self._on_status)
        self._peers.understand(
            configsync.PushAnswer,
            configsync.PeerRevisions,
            configsync.FetchedPages,
            configsync.PeerStatus,
        )

    def start(self) -> None:
        """Begins to feed; serves as soon as every page has come."""
        self.attach()
        for target in (self._feed, self._gossip):
            thread = threading.Thread(target=target, name="config", daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self, grace_s: float) -> None:
        """Ends the threads; a watch that waits is left to its end."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)
        for thread in self._threads:
            thread.join(min(grace_s, _RETRY_S))

    def dump(self) -> Any:
        """Returns what is in force and how it comes."""
        return {
            "is_ready": self._is_ready,
            "revision": self.revision(),
            "watched_revision": self._watched_revision,
            "is_watcher": self.is_watcher(),
            "customers": len(self._set.customers),
            "keys": len(self._set.keys),
            "upstreams": len(self._set.upstreams),
        }

    def is_ready(self) -> bool:
        """Tells whether this VM has every page."""
        return self._is_ready

    def revision(self) -> int:
        """See `services.Config`."""
        return max(self._set.revisions())

    def revisions(self) -> tuple[int, ...]:
        """Returns each page's revision, in the order of `pages.all_keys`."""
        return self._set.revisions()

    def watched_revision(self) -> int:
        """Returns up to where all changes were read from the platform."""
        return self._watched_revision

    def customer(self, customer: str) -> records.Customer | None:
        """See `services.Config`."""
        return self._set.customers.get(customer)

    def customers(self) -> tuple[records.Customer, ...]:
        """See `services.Config`."""
        rows = self._set.customers.copy()
        return tuple(rows[name] for name in sorted(rows))

    def customer_keys(self) -> tuple[records.Key, ...]:
        """Returns all keys by hash, withdrawn ones too."""
        rows = self._set.keys.copy()
        return tuple(rows[key_hash] for key_hash in sorted(rows))

    def upstreams(self) -> tuple[records.Upstream, ...]:
        """See `services.Config`."""
        rows = self._set.upstreams.copy()
        return tuple(rows[name] for name in sorted(rows))

    def authenticate(
        self, key: str
    ) -> result.Result[services.Principal, services.ConfigError]:
        """See `services.Config`."""
        if not self._is_ready:
            return result.Err(
                services.ConfigError("not_ready", "No configuration yet.")
            )
        row = self._set.keys.get(hash_key(key))
        unknown = services.ConfigError("unknown_key", "The key is not valid.")
        if row is None or row.withdrawn:
            return result.Err(unknown)
        customer = self._set.customers.get(row.customer)
        if customer is None:
            return result.Err(unknown)
        return result.Ok(services.Principal(customer, row.key_hash))

    def is_withdrawn(self, key_hash: str) -> bool:
        """See `services.Config`; a key that is gone counts as withdrawn."""
        row = self._set.keys.get(key_hash)
        return row is None or row.withdrawn

    def on_change(self, callback: Callable[[], None]) -> None:
        """See `services.Config`."""
        self._callbacks.append(callback)

    def is_watcher(self) -> bool:
        """Tells whether this VM is to watch the platform."""
        own = self._membership.own()
        rows = [
            row
            for row in self._membership.entry_vms()
            if row.failure_domain == own.failure_domain
            and row.state != "leaving"
        ]
        rows.sort(key=lambda row: _rank(row.failure_domain, row.vm))
        watchers = {row.vm for row in rows[:_WATCHERS_PER_DOMAIN]}
        alone_s = self._clock.monotonic_s() - self._heard_peer_s
        return own.vm in watchers or alone_s > _ALONE_S

    def adopt(self, key: str, revision: int, page: pages.Page) -> None:
        """Puts an edit in force that the platform accepted from here."""
        if self._set.offer(key, revision, page) is not None:
            self._call_back()

    def page(self, key: str) -> pageset.PageAt | None:
        """Returns a page as it is in force here."""
        return self._set.at(key)

    def read_all(self) -> bool:
        """Reads all pages from the platform; false if it does not answer."""
        entries = self._keyvalue.list(pages.PREFIX)
        if entries.is_err():
            _log.debug("Could not read: %s", entries.unwrap_err().message)
            return False
        self._take_entries(entries.unwrap())
        self._has_read_all = True
        self._become_ready("the platform")
        return True

    def watch(self, timeout_s: float) -> bool:
        """Waits for changes at the platform; false if it does not answer."""
        entries = self._keyvalue.watch(
            pages.PREFIX, self._watched_revision, timeout_s
        )
        if entries.is_err():
            _log.debug("Could not watch: %s", entries.unwrap_err().message)
            return False
        changes = self._take_entries(entries.unwrap())
        if changes:
            self._push(changes)
        return True

    def compare(self, vm: str) -> bool:
        """Pulls what is later at a peer.

        Returns:
            Whether this VM now holds all that the peer held, and the peer
            every page.
        """
        answer = self._peers.call(
            vm,
            configsync.CompareRevisions(self._set.digest()),
            _PEER_TIMEOUT_S,
        )
        if answer.is_err():
            return False
        self._heard_peer_s = self._clock.monotonic_s()
        there: configsync.PeerRevisions = answer.unwrap()
        if not there.is_same and not self._pull(vm, there.revisions):
            return False
        return there.is_ready

    def compare_with_many(self) -> bool:
        """Compares with several peers, for a VM that starts.

        One peer alone may be slow or have been cut off, and know a key
        that was withdrawn since; the latest of several is taken.

        Returns:
            Whether any of them held every page.
        """
        others = self._others()
        self._random.shuffle(others)
        found = [self.compare(row.vm) for row in others[:_START_PEERS]]
        if not any(found):
            return False
        self._become_ready("peers")
        return True

    def _pull(self, vm: str, revisions: tuple[int, ...]) -> bool:
        while older := self._set.older_than(revisions):
            answer = self._peers.call(
                vm, configsync.FetchPages(older), _PEER_TIMEOUT_S
            )
            if answer.is_err():
                return False
            fetched: configsync.FetchedPages = answer.unwrap()
            for page in fetched.pages:
                self._set.offer(page.key, page.revision, page.page)
            if self._set.older_than(revisions) == older:
                return False
            self._call_back()
        return True

    def _take_entries(
        self, entries: tuple[services.Entry, ...]
    ) -> tuple[pages.Change, ...]:
        changes: list[pages.Change] = []
        for entry in entries:
            self._watched_revision = max(self._watched_revision, entry.revision)
            try:
                page = pages.decode(entry.value)
            except codec.CodecError as error:
                _log.error("Kept the last %s: %s", entry.key, error)
                continue
            before = self._set.offer(entry.key, entry.revision, page)
            if before is None:
                continue
            changes.append(
                pages.diff(
                    entry.key,
                    before.page,
                    before.revision,
                    page,
                    entry.revision,
                )
            )
        if changes:
            self._call_back()
        return tuple(changes)

    def _become_ready(self, source: str) -> None:
        if self._is_ready:
            return
        self._is_ready = True
        _log.info("Revision %d came from %s.", self.revision(), source)
        self._call_back()

    def _call_back(self) -> None:
        for callback in self._callbacks:
            try:
                callback()
            except Exception:  # noqa: BLE001 - the others must hear of it.
                _log.exception("A callback failed.")

    def _push(self, changes: tuple[pages.Change, ...]) -> None:
        own = self._membership.own()
        message = configsync.PushChanges(changes)
        for row in self._others():
            if self._stopping.is_set():
                return
            if row.failure_domain == own.failure_domain:
                self._pool.submit(self._push_to, row.vm, message)

    def _push_to(self, vm: str, message: configsync.PushChanges) -> None:
        # A push that fails is made up for by the comparisons.
        self._peers.call(vm, message, _PEER_TIMEOUT_S)

    def _others(self) -> list[records.Vm]:
        own = self._membership.own()
        return [row for row in self._membership.entry_vms() if row.vm != own.vm]

    def _feed(self) -> None:
        while not self._stopping.is_set():
            if not self._has_read_all:
                is_ok = self.read_all()
            elif self.is_watcher():
                is_ok = self.watch(_WATCH_S)
            else:
                is_ok = False
            if not is_ok:
                self._stopping.wait(_RETRY_S)

    def _gossip(self) -> None:
        while not self._stopping.is_set():
            if not self._is_ready:
                self.compare_with_many()
            else:
                self._compare_with_one()
            self._stopping.wait(_COMPARE_S if self._is_ready else _RETRY_S)

    def _compare_with_one(self) -> None:
        own = self._membership.own()
        near: list[str] = []
        far: list[str] = []
        for row in self._others():
            is_near = row.failure_domain == own.failure_domain
            (near if is_near else far).append(row.vm)
        is_far = self._random.random() < _OTHER_DOMAIN_SHARE
        vms = (far or near) if is_far else (near or far)
        if vms:
            self.compare(self._random.choice(vms))

    def _on_push(self, vm: str, message: configsync.PushChanges) -> Any:
        applied = [
            change
            for change in message.changes
            if self._set.change(change) is not None
        ]
        if applied:
            self._call_back()
        self._heard_peer_s = self._clock.monotonic_s()
        del vm
        is_up_to_date = all(
            (held := self._set.at(change.key)) is not None
            and held.revision >= change.revision
            for change in message.changes
        )
        return configsync.PushAnswer(is_up_to_date)

    def _on_compare(self, vm: str, message: configsync.CompareRevisions) -> Any:
        del vm
        is_same = message.digest == self._set.digest()
        revisions = () if is_same else self._set.revisions()
        return configsync.PeerRevisions(self._is_ready, is_same, revisions)

    def _on_fetch(self, vm: str, message: configsync.FetchPages) -> Any:
        del vm
        found: list[pageset.PageAt] = []
        size_bytes = 0
        for key in message.keys:
            held = self._set.at(key)
            if held is None or size_bytes > _MAX_ANSWER_BYTES:
                continue
            size_bytes += len(pages.encode(held.page))
            found.append(held)
        return configsync.FetchedPages(tuple(found))

    def _on_status(self, vm: str, message: configsync.ReadStatus) -> Any:
        del vm, message
        return configsync.PeerStatus(self._is_ready, self._set.revisions())


def hash_key(key: str) -> str:
    """Returns what a caller's key is known by."""
    return hashlib.sha256(key.encode()).hexdigest()


def _rank(failure_domain: str, vm: str) -> bytes:
    # Rendezvous hashing: when a VM comes or goes, the other watchers stay.
    return hashlib.sha256(f"{failure_domain}/{vm}".encode()).digest()
