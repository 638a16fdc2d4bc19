"""Passes pages between VMs: changes are pushed on, the rest is compared."""

from concurrent import futures
import hashlib
import math
import random
from typing import Any, NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import configsync
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import services

_TIMEOUT_S = 1.0
_NEAR_PARTNERS = 4
_FAR_PARTNERS = 3
_FAR_SHARE = 0.25
# Partners are drawn anew so often, so that none is left out for long.
_PARTNERS_S = 300.0
# A VM that starts without the platform asks so many peers at most.
_START_PEERS = 8
_MAX_ANSWER_BYTES = 1_000_000


class _Partners(NamedTuple):
    """The partners drawn from one list of VMs for a period."""

    rows: tuple[records.Vm, ...]
    period: int
    near: tuple[str, ...]
    far: tuple[str, ...]


class PeerGossip:
    """Compares and exchanges pages with a few partners.

    Each VM has up to four partners in its failure domain and three in
    others, so its connections do not grow with the fleet. What it learns
    first it pushes on to them; once a second it compares with one, which
    makes up for pushes that were lost.
    """

    def __init__(
        self,
        held: pageset.PageSet,
        membership: services.Membership,
        peers: services.Peers,
        clock: clock_lib.Clock,
        choice: random.Random,
        pool: futures.Executor,
    ) -> None:
        self._held = held
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._random = choice
        self._heard_s = clock.monotonic_s()
        self._pool = pool
        self._is_stopped = False
        self._drawn = _Partners((), -1, (), ())

    def attach(self) -> None:
        """Answers peers from now on."""
        self._peers.handle(configsync.PushChanges, self._on_push)
        self._peers.handle(
            configsync.CompareRevisions,
            services.QuickHandler(self._on_compare),
        )
        self._peers.handle(configsync.FetchPages, self._on_fetch)
        self._peers.handle(configsync.ReadStatus, self._on_status)
        self._peers.understand(
            configsync.PushAnswer,
            configsync.PeerRevisions,
            configsync.FetchedPages,
            configsync.PeerStatus,
        )

    def stop(self) -> None:
        """Pushes nothing any more."""
        self._is_stopped = True
        self._pool.shutdown(wait=False, cancel_futures=True)

    def alone_s(self) -> float:
        """Returns for how long no peer was heard of."""
        return self._clock.monotonic_s() - self._heard_s

    def age_s(self) -> float:
        """Returns how old the configuration may be; below 0 if unknown."""
        confirmed_s = self._held.confirmed_s
        if math.isinf(confirmed_s):
            return -1.0
        return self._clock.monotonic_s() - confirmed_s

    def near_partners(self) -> tuple[str, ...]:
        """Returns the partners in the own failure domain."""
        return self._partners().near

    def far_partners(self) -> tuple[str, ...]:
        """Returns one partner in each of some other failure domains."""
        return self._partners().far

    def _partners(self) -> _Partners:
        """Returns the partners; drawn once for each list and period."""
        rows = self._membership.entry_vms()
        period = int(self._clock.monotonic_s() / _PARTNERS_S)
        drawn = self._drawn
        if rows is not drawn.rows or period != drawn.period:
            drawn = self._draw(rows, period)
            self._drawn = drawn
        return drawn

    def _draw(self, rows: tuple[records.Vm, ...], period: int) -> _Partners:
        def rank(row: records.Vm) -> bytes:
            name = f"{self._membership.incarnation()}/{row.vm}/{period}"
            return hashlib.sha256(name.encode()).digest()

        domain = self._membership.own().failure_domain
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
        own = self._membership.own()
        return [row for row in self._membership.entry_vms() if row.vm != own.vm]

    def push(self, changes: tuple[pages.Change, ...], source: str = "") -> None:
        """Sends changes to the partners, without waiting.

        A push that fails is made up for by the comparisons.
        """
        message = configsync.PushChanges(changes)
        for vm in (*self.near_partners(), *self.far_partners()):
            if self._is_stopped:
                return
            if vm != source:
                self._pool.submit(self._peers.call, vm, message, _TIMEOUT_S)

    def compare_with_one(self) -> None:
        """Compares with a random partner, mostly in the own domain."""
        near, far = self.near_partners(), self.far_partners()
        is_far = self._random.random() < _FAR_SHARE
        partners = (far or near) if is_far else (near or far)
        if partners:
            self.compare(self._random.choice(partners))

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
        self._held.become_ready("peers")
        return True

    def compare(self, vm: str) -> bool:
        """Pulls what is later at a peer.

        Returns:
            Whether this VM now holds all that the peer held, and the peer
            every page.
        """
        message = configsync.CompareRevisions(self._held.digest())
        began_s = self._clock.monotonic_s()
        answer = self._peers.call(vm, message, _TIMEOUT_S)
        if answer.is_err():
            return False
        self._heard_s = self._clock.monotonic_s()
        there: configsync.PeerRevisions = answer.unwrap()
        if not there.is_same and not self._pull(vm, there.revisions):
            return False
        if there.is_ready and there.age_s >= 0:
            self._held.confirm(began_s - there.age_s)
        return there.is_ready

    def _pull(self, vm: str, revisions: tuple[int, ...]) -> bool:
        while older := self._held.older_than(revisions):
            answer = self._peers.call(
                vm, configsync.FetchPages(older), _TIMEOUT_S
            )
            if answer.is_err():
                return False
            fetched: configsync.FetchedPages = answer.unwrap()
            for page in fetched.pages:
                self._held.offer(page.key, page.revision, page.page)
            if self._held.older_than(revisions) == older:
                return False
            self._held.announce()
        return True

    def _on_push(self, vm: str, message: configsync.PushChanges) -> Any:
        self._heard_s = self._clock.monotonic_s()
        applied = tuple(
            change
            for change in message.changes
            if self._held.change(change) is not None
        )
        if applied:
            self._held.announce()
            self.push(applied, vm)
        return configsync.PushAnswer(len(applied))

    def _on_compare(self, vm: str, message: configsync.CompareRevisions) -> Any:
        del vm
        is_same = message.digest == self._held.digest()
        revisions = () if is_same else self._held.revisions()
        return configsync.PeerRevisions(
            self._held.is_ready, is_same, revisions, self.age_s()
        )

    def _on_fetch(self, vm: str, message: configsync.FetchPages) -> Any:
        del vm
        found: list[pageset.PageAt] = []
        size_bytes = 0
        for key in message.keys:
            held = self._held.at(key)
            if held is None or size_bytes > _MAX_ANSWER_BYTES:
                continue
            size_bytes += len(pages.encode(held.page))
            found.append(held)
        return configsync.FetchedPages(tuple(found))

    def _on_status(self, vm: str, message: configsync.ReadStatus) -> Any:
        del vm, message
        return configsync.PeerStatus(
            self._held.is_ready, self._held.revisions(), self.age_s()
        )
