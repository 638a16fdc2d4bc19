"""The requests of one service that wait for a slot, and their customers.

Designed for one customer at eight times its usual load among eighty on full
engines: what it asks for beyond its share waits behind all others or is
refused.
"""

from collections.abc import Callable, Collection
import random
from typing import NamedTuple

from gateway.decisions import fairshares
from gateway.decisions import requestcosts
from gateway.decisions import requesters
from gateway.decisions import waitinglines

# Share of the target latency by which a request has to start; the rest is for
# its prompt and the network.
START_SHARE = 0.7
# The most requests that are compared with engines at once. It limits the time
# that a decision takes.
_MAX_COMPARED = 16


class Request(NamedTuple):
    """An online request that asks for a slot.

    Attributes:
        run: The unique name of its run.
        vm: The VM that sends it.
        since_s: When it asked first, by the monotonic clock.
        target_s: The target latency of its answer, in seconds.
        excluded: Engines that must not be used.
        domain: The failure domain of the VM; empty for no preference.
        cost: What it costs.
        requester: Who sends it.
    """

    run: str
    vm: str
    since_s: float
    target_s: float
    excluded: frozenset[str] = frozenset()
    domain: str = ""
    cost: requestcosts.RequestCost = requestcosts.UNKNOWN
    requester: requesters.Requester = requesters.UNKNOWN


class Admission(NamedTuple):
    """A request waits.

    Attributes:
        displaced: The request that had to leave for it; `None` if none had to.
    """

    displaced: Request | None


class WaitingRequests:
    """The line of waiting requests with what the ledger needs to place them.

    Args:
        rng: The source of the spread of retry times.

    Attributes:
        shares: The usage of the customers, in slots times seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self.shares = fairshares.FairShares()
        self._line = waitinglines.WaitingLine(self.shares, rng)
        self._requests: dict[str, Request] = {}

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._line)

    def __contains__(self, run: str) -> bool:
        """Returns whether a request waits."""
        return run in self._requests

    def admit(
        self,
        request: Request,
        usage_s: float,
        rooms: waitinglines.Rooms,
        now_s: float,
    ) -> Admission | waitinglines.Refusal:
        """Lets a request wait, or refuses it.

        Args:
            request: The request.
            usage_s: The slot time that it is expected to use.
            rooms: When engines will have room for it.
            now_s: The current time by the monotonic clock.
        """
        row = _row(request, usage_s, now_s)
        decision = self._line.admits(row, rooms, now_s)
        if isinstance(decision, waitinglines.Refusal):
            return decision
        displaced = self.remove(decision.displaced)
        self._add(request, row, now_s)
        return Admission(displaced)

    def add(self, request: Request, usage_s: float, now_s: float) -> None:
        """Adds a request that has room now or waited at another leader."""
        self._add(request, _row(request, usage_s, now_s), now_s)

    def remove(self, run: str) -> Request | None:
        """Removes a request that left; `None` if it does not wait."""
        self._line.remove(run)
        return self._requests.pop(run, None)

    def retain(self, vm: str, runs: Collection[str], before_s: float) -> None:
        """Removes requests that their VM no longer reports.

        Args:
            vm: The VM.
            runs: The runs that it reports.
            before_s: Only requests that asked before this time are removed.
        """
        for request in list(self._requests.values()):
            is_old = request.since_s < before_s
            if request.vm == vm and is_old and request.run not in runs:
                self.remove(request.run)

    def expire(self, is_lost: Callable[[Request], bool], now_s: float) -> None:
        """Removes the requests that are over.

        Args:
            is_lost: Returns whether a request's VM has stopped reporting.
            now_s: The current time by the monotonic clock.
        """
        for row in self._line.expire(now_s):
            self._requests.pop(row.run, None)
        for request in list(self._requests.values()):
            if is_lost(request):
                self.remove(request.run)

    def next(
        self, fits: Callable[[Request], bool], now_s: float
    ) -> Request | None:
        """Removes and returns the request whose turn it is.

        Args:
            fits: Returns whether there is room for a request now.
            now_s: The current time by the monotonic clock.

        Returns:
            The first request that fits; `None` if none does.
        """
        unfit: set[tuple[requestcosts.RequestCost, frozenset[str]]] = set()

        def compare(row: waitinglines.Waiting) -> bool:
            request = self._requests[row.run]
            key = (request.cost, request.excluded)
            if key in unfit or len(unfit) >= _MAX_COMPARED:
                return False
            if fits(request):
                return True
            unfit.add(key)
            return False

        row = self._line.next(compare, now_s)
        return None if row is None else self._requests.pop(row.run)

    def starving(self) -> Request | None:
        """Returns a request that is too large for single rooms, if any."""
        row = self._line.starving()
        return None if row is None else self._requests[row.run]

    def _add(
        self, request: Request, row: waitinglines.Waiting, now_s: float
    ) -> None:
        if self._line.add(row, now_s):
            self._requests[request.run] = request


def _row(
    request: Request, usage_s: float, now_s: float
) -> waitinglines.Waiting:
    """Returns a request as the line knows it."""
    return waitinglines.Waiting(
        request.run,
        request.vm,
        request.requester.customer,
        request.requester.rank,
        request.since_s + START_SHARE * request.target_s,
        now_s + request.requester.wait_s,
        usage_s,
    )
