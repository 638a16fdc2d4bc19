"""Who else waits for an upstream's slots, so that a VM leaves them theirs.

Each VM has a fair queue of its own. The failure: a VM with a backlog fills
each slot that it gives back with its own next request, before another VM can
hear that the slot is free. It shows as a quiet customer, whose only request
waits at a VM that holds few slots, behind the whole backlog of a loud one
elsewhere. So VMs tell the owners of upstreams what waits, and one that holds
its part of an upstream's slots leaves a free one to the others. The guard
holds because the parts of those that wait add up to all slots: while one is
free, some VM that waits is below its part.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records

# What a VM said longer ago counts no more: it may be lost or cut off.
EXPIRY_S = 3.0


class Waiting(NamedTuple):
    """Online requests that wait for a model or plain service.

    Attributes:
        pool: The model or service.
        requests: How many wait.
        weight: Of the customers who wait, each counted once for a VM.
    """

    pool: str
    requests: int
    weight: float


class WaitingReport(NamedTuple):
    """What waits at one VM, for the owner of upstreams."""

    waiting: tuple[Waiting, ...]


class WaitingTotals(NamedTuple):
    """The owner's answer: what waits at all VMs but the asker."""

    waiting: tuple[Waiting, ...]


class _Heard(NamedTuple):
    at_s: float
    waiting: tuple[Waiting, ...]


class Waits:
    """What waits here and elsewhere; the router's lock guards it."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        own: Callable[[], tuple[Waiting, ...]],
    ) -> None:
        """Begins with nobody else waiting.

        Args:
            clock: For the age of what was heard.
            own: Returns what waits here.
        """
        self._clock = clock
        self.own = own
        self._reports: dict[str, _Heard] = {}
        self._totals: dict[str, _Heard] = {}

    def take_report(self, vm: str, report: WaitingReport) -> None:
        """Notes, as owner, what waits at a VM."""
        if report.waiting:
            self._reports[vm] = self._heard(report.waiting)
        else:
            self._reports.pop(vm, None)

    def totals(self, asker: str) -> WaitingTotals:
        """Returns, as owner, the answer to a report."""
        return WaitingTotals(_sum((*self._reported(asker), *self.own())))

    def take_totals(self, owner: str, totals: WaitingTotals) -> None:
        """Notes an owner's answer."""
        if totals.waiting:
            self._totals[owner] = self._heard(totals.waiting)
        else:
            self._totals.pop(owner, None)

    def others(self, owner: str, own_vm: str, pool: str) -> Waiting:
        """Returns what waits at other VMs, as an upstream's owner knows."""
        if owner == own_vm:
            known = self._reported("")
        else:
            heard = self._totals.get(owner)
            known = heard.waiting if heard and not self._is_old(heard) else ()
        for waiting in _sum(known):
            if waiting.pool == pool:
                return waiting
        return Waiting(pool, 0, 0.0)

    def _heard(self, waiting: tuple[Waiting, ...]) -> _Heard:
        return _Heard(self._clock.monotonic_s(), waiting)

    def _is_old(self, heard: _Heard) -> bool:
        return heard.at_s < self._clock.monotonic_s() - EXPIRY_S

    def _reported(self, but: str) -> tuple[Waiting, ...]:
        for vm, heard in list(self._reports.items()):
            if self._is_old(heard):
                del self._reports[vm]
        return tuple(
            waiting
            for vm, heard in self._reports.items()
            if vm != but
            for waiting in heard.waiting
        )


def is_left(
    upstream: records.Upstream,
    running: int,
    free: int,
    own: float,
    others: Waiting,
) -> bool:
    """Tells whether a VM leaves a free slot to others that wait.

    Args:
        upstream: Whose slot.
        running: Online requests that this VM runs there.
        free: Slots that no online request takes.
        own: The weight of the customers who wait here, or ask now.
        others: What waits at other VMs.
    """
    if not others.requests or free > others.requests:
        return False
    part = upstream.slots * own / (own + others.weight)
    return running >= part


def _sum(found: Iterable[Waiting]) -> tuple[Waiting, ...]:
    sums: dict[str, Waiting] = {}
    for waiting in found:
        pool = waiting.pool
        before = sums.get(pool, Waiting(pool, 0, 0.0))
        sums[pool] = Waiting(
            pool,
            before.requests + waiting.requests,
            before.weight + waiting.weight,
        )
    return tuple(sums.values())
