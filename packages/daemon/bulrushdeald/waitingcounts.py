"""Online requests that wait at other VMs, and the slots left free for them.

Each VM has its own fair queue. On its own, a VM with a backlog would fill
each slot that it frees with its own next request, before another VM can learn
that the slot is free. A customer whose only request waits at a VM that holds
few slots would then be served after the whole backlog of a busy customer
elsewhere. So each VM reports its waiting requests to the owners of upstreams,
and a VM that holds its share of an upstream's slots leaves a free slot to the
others. At least one VM takes the slot: the shares of the waiting VMs add up to
all slots, so while a slot is free, some waiting VM holds less than its share.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records

# A message older than this is ignored: its sender may be lost or cut off.
EXPIRY_S = 3.0


class Waiting(NamedTuple):
    """Online requests that wait for a model or plain service.

    Attributes:
        pool: The model or service.
        requests: Number of waiting requests.
        weight: Sum of the weights of the customers who wait, each counted
            once for each VM.
    """

    pool: str
    requests: int
    weight: float


class WaitingReport(NamedTuple):
    """The requests that wait at one VM, sent to an owner of upstreams."""

    waiting: tuple[Waiting, ...]


class WaitingTotals(NamedTuple):
    """The owner's answer: what waits at all VMs except the caller."""

    waiting: tuple[Waiting, ...]


class _Received(NamedTuple):
    at_s: float
    waiting: tuple[Waiting, ...]


class Waits:
    """Requests that wait at this and other VMs, under the router's lock."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        own_waiting: Callable[[], tuple[Waiting, ...]],
    ) -> None:
        """Initializes the state with no requests at other VMs.

        Args:
            clock: Measures the age of reports and totals.
            own_waiting: Returns the requests that wait at this VM.
        """
        self._clock = clock
        self.own_waiting = own_waiting
        self._reports: dict[str, _Received] = {}
        self._totals: dict[str, _Received] = {}

    def store_report(self, vm: str, report: WaitingReport) -> None:
        """Stores a VM's report; called on the owner."""
        if report.waiting:
            self._reports[vm] = self._received(report.waiting)
        else:
            self._reports.pop(vm, None)

    def totals(self, caller: str) -> WaitingTotals:
        """Returns the owner's answer to a report."""
        return WaitingTotals(
            _sum_by_pool((*self._reported(caller), *self.own_waiting()))
        )

    def store_totals(self, owner: str, totals: WaitingTotals) -> None:
        """Stores an owner's answer."""
        if totals.waiting:
            self._totals[owner] = self._received(totals.waiting)
        else:
            self._totals.pop(owner, None)

    def waiting_elsewhere(self, owner: str, own_vm: str, pool: str) -> Waiting:
        """Returns the requests that wait at other VMs, as known to an owner."""
        if owner == own_vm:
            known = self._reported("")
        else:
            received = self._totals.get(owner)
            known = (
                received.waiting
                if received and not self._is_expired(received)
                else ()
            )
        for waiting in _sum_by_pool(known):
            if waiting.pool == pool:
                return waiting
        return Waiting(pool, 0, 0.0)

    def _received(self, waiting: tuple[Waiting, ...]) -> _Received:
        return _Received(self._clock.monotonic_s(), waiting)

    def _is_expired(self, received: _Received) -> bool:
        return received.at_s < self._clock.monotonic_s() - EXPIRY_S

    def _reported(self, excluded_vm: str) -> tuple[Waiting, ...]:
        """Returns the unexpired reports of all VMs except one."""
        for vm, received in list(self._reports.items()):
            if self._is_expired(received):
                del self._reports[vm]
        return tuple(
            waiting
            for vm, received in self._reports.items()
            if vm != excluded_vm
            for waiting in received.waiting
        )


def leaves_slot_to_others(
    upstream: records.Upstream,
    running: int,
    free: int,
    own_weight: float,
    others: Waiting,
) -> bool:
    """Returns whether this VM leaves a free slot to waiting VMs.

    Args:
        upstream: The upstream that has the free slot.
        running: Number of online requests that this VM runs there.
        free: Number of slots without an online request.
        own_weight: Sum of the weights of the customers who wait at this VM;
            at least that of the customer whose request is being placed.
        others: The requests that wait at other VMs.
    """
    if not others.requests or free > others.requests:
        return False
    share = upstream.slots * own_weight / (own_weight + others.weight)
    return running >= share


def _sum_by_pool(found: Iterable[Waiting]) -> tuple[Waiting, ...]:
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
