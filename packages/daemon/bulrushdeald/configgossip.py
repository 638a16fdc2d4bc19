"""Distributes configuration pages between VMs by push and comparison."""

from concurrent import futures
import hashlib
import math
import random
from typing import Any, NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeal import threads
from bulrushdeald import configsync
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import services

_CALL_TIMEOUT_S = 1.0
_NEAR_PARTNERS = 4
_FAR_PARTNERS = 3
_FAR_PROBABILITY = 0.25
# Partners are chosen again after this time, so that no VM is left out by all
# others for long.
_PARTNERS_PERIOD_S = 300.0
# The most peers that a VM asks in a round while it has no configuration.
_MAX_STARTUP_PEERS = 8
_MAX_ANSWER_BYTES = 1_000_000


class _Partners(NamedTuple):
    """The partners chosen from one list of VMs for one period.

    Attributes:
        rows: The list of entry VMs.
        period: The number of the period, counted from 0 on this VM's clock.
        near: Names of partners in this VM's failure domain.
        far: Names of partners in other failure domains.
    """

    rows: tuple[records.Vm, ...]
    period: int
    near: tuple[str, ...]
    far: tuple[str, ...]


class PeerGossip:
    """Compares and exchanges pages with a few partners.

    Each VM has up to four partners in its failure domain and three in
    others, so its connections do not grow with the fleet. It pushes every
    change that is new to it to its partners. Once a second it compares
    revisions with one partner, which makes up for lost pushes.
    """

    def __init__(
        self,
        page_set: pageset.PageSet,
        membership: services.Membership,
        peers: services.Peers,
        clock: clock_lib.Clock,
        rng: random.Random,
        pool: futures.Executor,
    ) -> None:
        self._page_set = page_set
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._last_contact_s = clock.monotonic_s()
        self._pool = pool
        self._is_stopped = False
        self._chosen = _Partners((), -1, (), ())

    def attach(self) -> None:
        """Registers the handlers of peer messages."""
        self._peers.register_handler(configsync.PushChanges, self._on_push)
        self._peers.register_handler(
            configsync.CompareRevisions,
            services.InlineHandler(self._on_compare),
        )
        self._peers.register_handler(configsync.FetchPages, self._on_fetch)
        self._peers.register_handler(configsync.ReadStatus, self._on_status)
        self._peers.register_answers(
            configsync.PushAnswer,
            configsync.PeerRevisions,
            configsync.FetchedPages,
            configsync.PeerStatus,
        )

    def stop(self) -> None:
        """Stops pushing and cancels the pushes not yet started."""
        self._is_stopped = True
        self._pool.shutdown(wait=False, cancel_futures=True)

    def peer_silence_s(self) -> float:
        """Returns the seconds since a peer last pushed or answered.

        Before the first contact, the time since this object was created.
        """
        return self._clock.monotonic_s() - self._last_contact_s

    def age_s(self) -> float:
        """Returns the greatest possible age of the configuration.

        Every change accepted more than this many seconds ago is in force
        here; negative if that was never confirmed.
        """
        confirmed_s = self._page_set.confirmed_s
        if math.isinf(confirmed_s):
            return -1.0
        return self._clock.monotonic_s() - confirmed_s

    def near_partners(self) -> tuple[str, ...]:
        """Returns the partners in this VM's failure domain."""
        return self._partners().near

    def far_partners(self) -> tuple[str, ...]:
        """Returns one partner in each of some other failure domains."""
        return self._partners().far

    def _partners(self) -> _Partners:
        """Returns the partners, chosen once for each VM list and period."""
        rows = self._membership.entry_vms()
        period = int(self._clock.monotonic_s() / _PARTNERS_PERIOD_S)
        chosen = self._chosen
        if rows is not chosen.rows or period != chosen.period:
            chosen = self._choose_partners(rows, period)
            self._chosen = chosen
        return chosen

    def _choose_partners(
        self, rows: tuple[records.Vm, ...], period: int
    ) -> _Partners:
        def rank(row: records.Vm) -> bytes:
            name = f"{self._membership.incarnation()}/{row.vm}/{period}"
            return hashlib.sha256(name.encode()).digest()

        domain = self._membership.own_vm().failure_domain
        near: list[str] = []
        far: dict[str, str] = {}
        for row in sorted(self._others(), key=rank):
            if row.failure_domain == domain:
                near.append(row.vm)
            else:
                far.setdefault(row.failure_domain, row.vm)
        return _Partners(
            rows,
            period,
            tuple(near[:_NEAR_PARTNERS]),
            tuple(far.values())[:_FAR_PARTNERS],
        )

    def _others(self) -> list[records.Vm]:
        own = self._membership.own_vm()
        return [row for row in self._membership.entry_vms() if row.vm != own.vm]

    def push(self, changes: tuple[pages.Change, ...], source: str = "") -> None:
        """Sends changes to the partners without waiting for answers.

        Failed pushes are not retried: later comparisons make up for them.

        Args:
            changes: The changes to send.
            source: The VM that the changes came from, which is left out.
        """
        message = configsync.PushChanges(changes)
        for vm in (*self.near_partners(), *self.far_partners()):
            if self._is_stopped:
                return
            if vm != source:
                threads.submit(
                    self._pool,
                    self._peers.call,
                    "config push",
                    vm,
                    message,
                    _CALL_TIMEOUT_S,
                )

    def compare_with_one(self) -> None:
        """Compares with a random partner, mostly in the same failure domain."""
        near, far = self.near_partners(), self.far_partners()
        is_far = self._rng.random() < _FAR_PROBABILITY
        partners = (far or near) if is_far else (near or far)
        if partners:
            self.compare(self._rng.choice(partners))

    def compare_with_many(self) -> bool:
        """Compares with several random peers while this VM is starting.

        A single peer may be slow or cut off and still accept a key that has
        been withdrawn. Asking several yields the newest pages among them.

        Returns:
            Whether a comparison with a peer that has every page succeeded.
        """
        others = self._others()
        self._rng.shuffle(others)
        compared = [self.compare(row.vm) for row in others[:_MAX_STARTUP_PEERS]]
        if not any(compared):
            return False
        self._page_set.mark_ready("peers")
        return True

    def compare(self, vm: str) -> bool:
        """Compares revisions with a peer and fetches its newer pages.

        Returns:
            Whether the peer has every page and this VM now has each page at
            the peer's revision or a newer one.
        """
        message = configsync.CompareRevisions(self._page_set.digest())
        started_s = self._clock.monotonic_s()
        answer = self._peers.call(vm, message, _CALL_TIMEOUT_S)
        if answer.is_err():
            return False
        self._last_contact_s = self._clock.monotonic_s()
        peer: configsync.PeerRevisions = answer.unwrap()
        if not peer.is_same and not self._fetch_newer(vm, peer.revisions):
            return False
        if peer.is_ready and peer.age_s >= 0:
            self._page_set.confirm(started_s - peer.age_s)
        return peer.is_ready

    def _fetch_newer(self, vm: str, revisions: tuple[int, ...]) -> bool:
        while older := self._page_set.keys_older_than(revisions):
            answer = self._peers.call(
                vm, configsync.FetchPages(older), _CALL_TIMEOUT_S
            )
            if answer.is_err():
                return False
            fetched: configsync.FetchedPages = answer.unwrap()
            for page in fetched.pages:
                self._page_set.put_if_newer(page.key, page.revision, page.page)
            if self._page_set.keys_older_than(revisions) == older:
                return False
            self._page_set.notify()
        return True

    def _on_push(self, vm: str, message: configsync.PushChanges) -> Any:
        self._last_contact_s = self._clock.monotonic_s()
        applied = tuple(
            change
            for change in message.changes
            if self._page_set.apply_change(change) is not None
        )
        if applied:
            self._page_set.notify()
            self.push(applied, vm)
        return configsync.PushAnswer(len(applied))

    def _on_compare(self, vm: str, message: configsync.CompareRevisions) -> Any:
        del vm
        is_same = message.digest == self._page_set.digest()
        revisions = () if is_same else self._page_set.revisions()
        return configsync.PeerRevisions(
            self._page_set.is_ready, is_same, revisions, self.age_s()
        )

    def _on_fetch(self, vm: str, message: configsync.FetchPages) -> Any:
        del vm
        found: list[pageset.VersionedPage] = []
        size_bytes = 0
        for key in message.keys:
            held = self._page_set.versioned_page(key)
            if held is None or size_bytes > _MAX_ANSWER_BYTES:
                continue
            size_bytes += len(pages.encode(held.page))
            found.append(held)
        return configsync.FetchedPages(tuple(found))

    def _on_status(self, vm: str, message: configsync.ReadStatus) -> Any:
        del vm, message
        return configsync.PeerStatus(
            self._page_set.is_ready, self._page_set.revisions(), self.age_s()
        )
