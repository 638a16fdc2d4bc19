"""The requests that wait at a service's leader for room on its engines.

Designed for bursts and for floods of one customer: engines admit requests in
the order of arrival, so what is queued inside them cannot be overtaken by a
request that is more urgent or of a customer that has had less.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
import heapq
import random
from typing import Any, NamedTuple, TypeVar

from gateway.decisions import fairshares
from gateway.decisions import rankturns

_Key = TypeVar("_Key")

MAX_WAITING = 512
_MAX_WAITING_PER_SLOT = 4
# Each customer may have this many waiting requests, however small its part.
_MIN_PER_CUSTOMER = 2
# Usages of one step count as equal, so that among them the earliest deadline
# goes first. A share is a whole number of steps: nobody beyond its share has
# the step of one below it.
_STEPS_PER_SHARE = 2
# A request that did not fit while later ones were granted this often needs an
# engine that is kept free for it.
_MAX_PASSED = 8
# A report sent before a grant arrived may list the request as waiting for this
# long after the grant.
_GRANT_DELIVERY_S = 1.0
# New requests need room as well: one room in this many goes to a retry of a
# customer that has more than its share.
_ROOMS_PER_RETRY = 3.0
# The least retry time of a refusal, unless the caller leaves soon.
_MIN_RETRY_S = 0.15
# Part of a caller's remaining time after which it retries at the latest, which
# leaves time for a second retry and for the answer.
_MAX_RETRY_PART = 1 / 3
_RETRY_SPREAD = 0.25
# Retry times that are remembered.
_MAX_PROMISES = 256
_NEVER_S = float("inf")


class Waiting(NamedTuple):
    """A request that found no room. Times are by the monotonic clock.

    Attributes:
        run: The unique name of its run.
        vm: The VM that sends it.
        customer: Its customer.
        rank: How urgent it is.
        latest_start_s: When it has to start so that its target is met.
        deadline_s: When its VM gives up.
        usage: What it is expected to use; see `fairshares.FairShares`.
    """

    run: str
    vm: str
    customer: str
    rank: rankturns.Rank
    latest_start_s: float
    deadline_s: float
    usage: float = 1.0


class Rooms(NamedTuple):
    """When engines will have room for a request.

    Attributes:
        slots: The slots of the engines that the request may use.
        first_s: Seconds until there is room for its cost if nobody waits.
        interval_s: The mean time between two rooms that come free, in seconds.
    """

    slots: int
    first_s: float
    interval_s: float


class Admission(NamedTuple):
    """A request may wait.

    Attributes:
        start_s: Seconds until its expected start.
        displaced: The waiting request that has to leave for it, as the line is
            full; empty for none.
    """

    start_s: float
    displaced: str = ""


class Refusal(NamedTuple):
    """A request may not wait.

    Attributes:
        retry_after_s: Seconds until its turn.
    """

    retry_after_s: float


class _Promise(NamedTuple):
    """A refused request that was told when to return.

    Attributes:
        due_s: When it returns.
        row: The request.
    """

    due_s: float
    row: Waiting


class WaitingLine:
    """The waiting requests of one service.

    Ranks have their turns by `rankturns`. Within a rank, those go first that
    can still meet their target, then those whose customer has used the least
    of its share, then those with the earliest deadline.

    Whoever grants charges the grant to `shares`, whether the request waited or
    not.

    Args:
        shares: The shares of the customers; the line tells it who waits.
        rng: The source of the spread of retry times.
    """

    def __init__(
        self,
        shares: fairshares.FairShares,
        rng: random.Random | None = None,
    ) -> None:
        self._shares = shares
        self._rng = rng or random.Random()
        self._rows: dict[str, Waiting] = {}
        self._by_vm: dict[str, set[str]] = {}
        self._by_customer: dict[str, int] = {}
        self._passed: dict[str, int] = {}
        # When requests were granted, oldest first.
        self._granted_s: dict[str, float] = {}
        self._by_rank: dict[rankturns.Rank, int] = {}
        self._turns = rankturns.RankTurns()
        self._promises: list[_Promise] = []

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._rows)

    def __contains__(self, run: str) -> bool:
        """Returns whether a request waits."""
        return run in self._rows

    def admits(
        self, row: Waiting, rooms: Rooms, now_s: float
    ) -> Admission | Refusal:
        """Returns whether a request may wait, or when it should return.

        It may wait if it is expected to start within its target, or before
        its deadline if the target is already missed. The caller then adds it,
        and removes the displaced request, whose VM it tells.

        Args:
            row: The request.
            rooms: When engines will have room for it.
            now_s: The current time by the monotonic clock.
        """
        limit = min(MAX_WAITING, _MAX_WAITING_PER_SLOT * rooms.slots)
        if self._is_over_part(row, limit, now_s):
            return self._refuse(row, rooms, now_s)
        ahead = self._count_ahead(row, self._rows.values(), now_s)
        start_s = rooms.first_s + ahead * rooms.interval_s
        end_s = row.deadline_s
        if row.latest_start_s >= now_s:
            end_s = min(end_s, row.latest_start_s)
        if now_s + start_s > end_s:
            return self._refuse(row, rooms, now_s)
        if len(self._rows) < limit:
            return Admission(start_s)
        worst = self._worst(now_s)
        if worst is None or self._key(row, now_s) >= self._key(worst, now_s):
            return self._refuse(row, rooms, now_s)
        return Admission(start_s, worst.run)

    def add(self, row: Waiting, now_s: float) -> bool:
        """Adds a request; returns false if it must not be added.

        That is if it waits already, if it was granted just now and a report
        repeats it, or if the line is full.
        """
        self._forget_granted(now_s)
        is_known = row.run in self._rows or row.run in self._granted_s
        if is_known or len(self._rows) >= MAX_WAITING:
            return False
        self._rows[row.run] = row
        self._by_vm.setdefault(row.vm, set()).add(row.run)
        _count(self._by_customer, row.customer, 1)
        _count(self._by_rank, row.rank, 1)
        self._shares.add_waiting(row.customer, now_s)
        return True

    def remove(self, run: str) -> Waiting | None:
        """Removes a request that left; `None` if it did not wait."""
        row = self._pop(run)
        if row is not None:
            self._turns.record_unserved(row.rank)
        return row

    def remove_vm(self, vm: str) -> tuple[Waiting, ...]:
        """Removes all requests of a VM and returns them."""
        return self._remove_all(tuple(self._by_vm.get(vm, ())))

    def expire(self, now_s: float) -> tuple[Waiting, ...]:
        """Removes the requests whose deadline has passed and returns them."""
        self._forget_granted(now_s)
        rows = self._rows.values()
        return self._remove_all(
            [row.run for row in rows if row.deadline_s <= now_s]
        )

    def next(
        self, fits: Callable[[Waiting], bool], now_s: float
    ) -> Waiting | None:
        """Removes and returns the request whose turn it is.

        Args:
            fits: Returns whether there is room for a request now.
            now_s: The current time by the monotonic clock.

        Returns:
            The first request that fits; `None` if none does.
        """
        by_rank: dict[rankturns.Rank, list[Waiting]] = {}
        for row in self._rows.values():
            if row.deadline_s > now_s:
                by_rank.setdefault(row.rank, []).append(row)
        steps = {name: self._step(name) for name in self._by_customer}
        passed: list[str] = []
        for rank in self._turns.order(self._by_rank):
            for row in _in_order(by_rank.get(rank, ()), steps, now_s):
                if fits(row):
                    self._record_grant(row, passed, now_s)
                    return row
                passed.append(row.run)
        return None

    def starving(self) -> Waiting | None:
        """Returns the request that later ones have passed the most often.

        It is too large for the rooms that come free one by one. An engine
        should get nothing else until it fits there.

        Returns:
            `None` if none was passed more than a few times.
        """
        run = max(self._passed, key=self._passed.__getitem__, default="")
        if self._passed.get(run, 0) < _MAX_PASSED:
            return None
        return self._rows[run]

    def _pop(self, run: str) -> Waiting | None:
        row = self._rows.pop(run, None)
        if row is None:
            return None
        self._passed.pop(run, None)
        runs = self._by_vm[row.vm]
        runs.remove(run)
        if not runs:
            del self._by_vm[row.vm]
        _count(self._by_customer, row.customer, -1)
        _count(self._by_rank, row.rank, -1)
        self._shares.remove_waiting(row.customer)
        return row

    def _remove_all(self, runs: Iterable[str]) -> tuple[Waiting, ...]:
        removed = (self.remove(run) for run in runs)
        return tuple(row for row in removed if row is not None)

    def _forget_granted(self, now_s: float) -> None:
        while self._granted_s:
            run = next(iter(self._granted_s))
            if now_s - self._granted_s[run] <= _GRANT_DELIVERY_S:
                return
            del self._granted_s[run]

    def _step(self, customer: str) -> int:
        """Returns a customer's usage in steps of its share, rounded down."""
        return int(self._shares.fill(customer) * _STEPS_PER_SHARE)

    def _key(self, row: Waiting, now_s: float) -> tuple[Any, ...]:
        """Returns a sort key among all requests; the least goes first."""
        is_late = row.latest_start_s < now_s
        return row.rank, is_late, self._step(row.customer), _tie_key(row)

    def _worst(self, now_s: float) -> Waiting | None:
        """Returns the request that would go last; `None` if none waits."""
        return max(
            self._rows.values(),
            key=lambda row: self._key(row, now_s),
            default=None,
        )

    def _record_grant(
        self, row: Waiting, passed: Iterable[str], now_s: float
    ) -> None:
        self._turns.record_grant(row.rank, self._by_rank)
        self._pop(row.run)
        self._forget_granted(now_s)
        self._granted_s[row.run] = now_s
        for run in passed:
            self._passed[run] = self._passed.get(run, 0) + 1

    def _is_over_part(self, row: Waiting, limit: int, now_s: float) -> bool:
        """Returns whether a customer has its part of the line."""
        part = self._shares.weight_part(row.customer, now_s)
        most = max(_MIN_PER_CUSTOMER, int(limit * part))
        return self._by_customer.get(row.customer, 0) >= most

    def _count_ahead(
        self, row: Waiting, others: Collection[Waiting], now_s: float
    ) -> int:
        """Returns how many requests go before a new one.

        Each request of a customer is taken to go when those before it have
        been charged.
        """
        shares, rank = self._shares, row.rank
        own = self._weighted_usage(row.customer, now_s)
        own += sum(
            other.usage for other in others if other.customer == row.customer
        ) / shares.weight(row.customer)
        is_late = row.latest_start_s < now_s
        usages: dict[str, float] = {}
        more_urgent = same = 0
        for other in others:
            if other.rank != rank:
                more_urgent += other.rank < rank
                continue
            if not is_late and other.latest_start_s < now_s:
                continue
            customer = other.customer
            usage = usages.get(customer)
            if usage is None:
                usage = self._weighted_usage(customer, now_s)
            if usage < own:
                same += 1
                usage += other.usage / shares.weight(customer)
            usages[customer] = usage
        if more_urgent and self._turns.is_owed(rank, self._by_rank):
            reserved = (same + 1) * rankturns.GRANTS_PER_RESERVED - 1
            return min(more_urgent + same, reserved)
        return more_urgent + same

    def _weighted_usage(self, customer: str, now_s: float) -> float:
        usage = self._shares.usage(customer, now_s)
        return usage / self._shares.weight(customer)

    def _refuse(self, row: Waiting, rooms: Rooms, now_s: float) -> Refusal:
        """Refuses a request and remembers when it is to return.

        Requests that were told to return count like waiting ones, so that
        refused requests do not all return together.
        """
        self._turns.record_unserved(row.rank)
        while self._promises and self._promises[0].due_s <= now_s:
            heapq.heappop(self._promises)
        others = [*self._rows.values(), *(one.row for one in self._promises)]
        rooms_before: float = self._count_ahead(row, others, now_s)
        if self._shares.excess(row.customer, now_s) > 0:
            rooms_before *= _ROOMS_PER_RETRY
        most_s = max(0.0, row.deadline_s - now_s) * _MAX_RETRY_PART
        turn_s = rooms.first_s + rooms_before * rooms.interval_s
        turn_s = max(_MIN_RETRY_S, turn_s)
        retry_s = turn_s * self._rng.uniform(1.0, 1.0 + _RETRY_SPREAD)
        if retry_s > most_s:
            retry_s = most_s * self._rng.uniform(1.0 - _RETRY_SPREAD, 1.0)
        if len(self._promises) < _MAX_PROMISES:
            # It counts as ahead although its target may pass until then.
            kept = row._replace(latest_start_s=_NEVER_S)
            heapq.heappush(self._promises, _Promise(now_s + retry_s, kept))
        return Refusal(retry_s)


def _tie_key(row: Waiting) -> tuple[float, str]:
    """Returns a sort key among requests of the same rank and share."""
    return row.deadline_s, row.run


def _in_order(
    rows: Iterable[Waiting], steps: Mapping[str, int], now_s: float
) -> Iterator[Waiting]:
    """Yields the requests of a rank, the next one first.

    Args:
        rows: The requests.
        steps: The usages of their customers, in steps of their shares.
        now_s: The current time by the monotonic clock.
    """
    groups: dict[tuple[bool, int], list[Waiting]] = {}
    for row in rows:
        key = (row.latest_start_s < now_s, steps[row.customer])
        groups.setdefault(key, []).append(row)
    for key in sorted(groups):
        yield from sorted(groups[key], key=_tie_key)


def _count(counts: dict[_Key, int], key: _Key, change: int) -> None:
    """Changes a count; counts of 0 are dropped."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        del counts[key]
