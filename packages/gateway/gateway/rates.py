"""Limits each customer's rate and burst over all VMs together.

A customer's row is divided into shards, which VMs hold under leases in the
store, see `rateshards`. One VM serves a customer: the others ask it for a token
for each request, and it collects tokens from the shards' holders. It holds no
right of its own: if several VMs serve a customer, during a cut or because their
lists of VMs differ, they share what the shards give.
"""

import collections
import heapq
import itertools
import random
import threading
from typing import Any, Literal, NamedTuple
import zlib

import result

from bulrushdeal import clock
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import services
from gateway import configuration
from gateway import members
from gateway import names
from gateway import rateshards
from gateway import records
from gateway import timedcalls
from gateway.decisions import shardleases
from gateway.decisions import tokens

_events = eventlog.Events("rates")

# A holder answers within a few milliseconds. The VM that asks this one for a
# token waits for 0.12 s at least, so that two silent holders fit.
_COLLECT_TIMEOUT_S = 0.05
# For how long a holder that did not answer is not asked again.
_SILENT_S = 0.5
# How long a request waits for another one that collects for its customer.
_MAX_COLLECT_S = 0.3
_MAX_SERVERS = 2
# A VM that reaches no shard tells callers to come back this soon: holders
# start again within a second, or others take their place.
_NO_SHARD_RETRY_S = 0.4
_MAX_POOLS = 20_000


# Where a VM that serves a customer took a token from: what it had kept, the
# shards, the shards of which some could not be reached, or none of them.
Source = Literal["kept", "shards", "some_shards", "no_shard"]


class TokenCount(NamedTuple):
    """How many tokens a VM granted or refused from one source."""

    source: Source
    is_granted: bool
    tokens: int


class Spend(NamedTuple):
    """Asks the VM that serves a customer for a token."""

    customer: str


class Spent(NamedTuple):
    """The answer to `Spend`.

    Attributes:
        is_allowed: Whether a token was taken.
        retry_after_s: Seconds until the next token, if none was left.
        has_shards: Whether the VM reached any shard of the customer.
    """

    is_allowed: bool
    retry_after_s: float
    has_shards: bool = True


class Collect(NamedTuple):
    """Asks the holder of shards for tokens of a customer.

    Attributes:
        customer: The customer's name.
        tokens: How many tokens to give at most.
        uses_reserve: Whether some shards of the customer cannot be reached.
    """

    customer: str
    tokens: float
    uses_reserve: bool


class Collected(NamedTuple):
    """The tokens that a holder gave, and those of them from its reserve."""

    tokens: float
    from_reserve: float = 0.0


class TokensLeft(NamedTuple):
    """The tokens left of a customer on the VM that serves it."""

    customer: str
    tokens: float


class _Served:
    """A customer that this VM serves.

    Attributes:
        pool: Its tokens; guarded by the limiter's lock.
        collecting: Held while tokens are collected, so that requests that
            come together do not all ask the shards.
        asked_s: When each holder was last asked for tokens.
    """

    def __init__(self) -> None:
        self.pool = tokens.Pool()
        self.collecting = threading.Lock()
        self.asked_s: dict[str, float] = {}


class RateLimiter:
    """Takes tokens for requests and serves some customers to other VMs."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._excess = tokens.Excess(
            settings.limit_slack,
            settings.limit_overage,
            settings.limit_window_s,
        )
        self._lock = threading.Lock()
        self._served: dict[str, _Served] = {}
        self._silent_until_s: dict[str, float] = {}
        self._token_counts: collections.Counter[tuple[Source, bool]] = (
            collections.Counter()
        )

    def start(self) -> None:
        """Starts to answer other VMs."""
        find = self._kernel.find
        self._members = find(services.MEMBERSHIP, members.Members)
        self._peers = find(services.PEERS, services.Peers)
        self._shards = find(names.RATE_SHARDS, rateshards.RateShards)
        self._timed_calls = timedcalls.TimedCalls(self._peers)
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._peers.register_handler(Spend, self._on_spend)
        self._peers.register_handler(
            Collect, services.InlineHandler(self._on_collect)
        )
        self._peers.register_answers(Spent, Collected)

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns the number of customers served and tokens by source."""
        return {
            "served": len(self._served),
            "tokens": [tuple(row) for row in self.token_counts()],
        }

    def lowest_balances(self, limit: int) -> list[TokensLeft]:
        """Returns the customers with the fewest tokens left on this VM."""
        with self._lock:
            rows = [
                TokensLeft(name, served.pool.left())
                for name, served in self._served.items()
            ]
        return heapq.nsmallest(limit, rows, key=lambda row: row.tokens)

    def refused(self) -> int:
        """Returns how many tokens this VM refused for others and itself."""
        return sum(
            row.tokens for row in self.token_counts() if not row.is_granted
        )

    def token_counts(self) -> tuple[TokenCount, ...]:
        """Returns the tokens granted and refused on this VM, by source."""
        with self._lock:
            counts = dict(self._token_counts)
        return tuple(
            TokenCount(source, is_granted, count)
            for (source, is_granted), count in sorted(counts.items())
        )

    def take(
        self, customer: records.Customer
    ) -> result.Result[None, tokens.Denied]:
        """Takes a token for a request, or returns when to retry."""
        if customer.rate_per_s <= 0:
            return result.Ok(None)
        message = Spend(customer.name)
        errors: dict[str, str] = {}
        spent = Spent(False, _NO_SHARD_RETRY_S, has_shards=False)
        for vm in self._servers(customer.name):
            answer = self._timed_calls.call(vm, message)
            if answer.is_err():
                errors[vm] = answer.unwrap_err().kind
                self._members.suspect(vm, answer.unwrap_err())
                continue
            spent = answer.unwrap()
            if spent.has_shards:
                return _to_result(spent)
            # Such as one that has just started.
            errors[vm] = "no_shard"
        if self._vm in errors:
            return _to_result(spent)
        _events.sampled_info(
            "served_here", customer=customer.name, errors=errors
        )
        return _to_result(self._spend(customer))

    def _servers(self, customer: str) -> list[str]:
        """Returns the VMs to ask for a token, in order.

        The last one is in this VM's failure domain: the others may be beyond
        a cut that nobody has noticed yet.
        """
        ranked = self._members.leaders(_key(customer))
        domain = self._members.domain(self._vm)
        near = (
            vm
            for vm in ranked[_MAX_SERVERS:]
            if self._members.domain(vm) == domain
        )
        return [*ranked[:_MAX_SERVERS], *itertools.islice(near, 1)]

    def _on_spend(self, vm: str, message: Spend) -> Spent:
        del vm
        held = self._feed.current()
        row = None if held is None else held.customers.get(message.customer)
        if row is None:
            # The calling VM has a newer configuration. Without the customer's
            # row this VM refuses requests until it has that version, too.
            if held is None:
                return Spent(False, _NO_SHARD_RETRY_S)
            return Spent(False, configuration.WATCH_WAIT_S)
        if row.rate_per_s <= 0:
            return Spent(True, 0.0)
        return self._spend(row)

    def _on_collect(self, vm: str, message: Collect) -> Collected:
        held = self._feed.current()
        row = None if held is None else held.customers.get(message.customer)
        if row is None or row.rate_per_s <= 0:
            return Collected(0.0)
        given = self._shards.give(
            row.name,
            self._excess.divide(row.rate_per_s, row.burst),
            _group(row.name),
            message.tokens,
            server=vm,
            uses_reserve=message.uses_reserve,
        )
        return Collected(given.tokens, given.from_reserve)

    def _spend(self, row: records.Customer) -> Spent:
        """Takes a token of a customer that this VM serves."""
        allowance = self._excess.divide(row.rate_per_s, row.burst)
        served = self._find_served(row.name)
        if self._take_kept(served, allowance, is_request=True):
            return self._grant("kept")
        source: Source = "shards"
        if served.collecting.acquire(timeout=_MAX_COLLECT_S):
            try:
                if self._take_kept(served, allowance):
                    return self._grant("kept")
                source = self._collect(row.name, served, allowance)
                if self._take_kept(served, allowance):
                    return self._grant(source)
            finally:
                served.collecting.release()
        with self._lock:
            self._token_counts[source, False] += 1
            denied = served.pool.deny(allowance, clock.boottime_s())
        if source == "no_shard":
            retry_s = _NO_SHARD_RETRY_S * random.uniform(0.5, 1.0)
            retry_s = min(denied.retry_after_s, retry_s)
            return Spent(False, retry_s, has_shards=False)
        return Spent(False, denied.retry_after_s)

    def _grant(self, source: Source) -> Spent:
        with self._lock:
            self._token_counts[source, True] += 1
        return Spent(True, 0.0)

    def _take_kept(
        self,
        served: _Served,
        allowance: tokens.Allowance,
        *,
        is_request: bool = False,
    ) -> bool:
        now_s = clock.boottime_s()
        with self._lock:
            if is_request:
                served.pool.record_request(now_s)
            return served.pool.take(allowance, now_s)

    def _find_served(self, customer: str) -> _Served:
        with self._lock:
            served = self._served.get(customer)
            if served is None:
                if len(self._served) >= _MAX_POOLS:
                    # Tokens that were kept are lost, none are won.
                    self._served.clear()
                    _events.warning("pools_cleared", most=_MAX_POOLS)
                served = self._served[customer] = _Served()
        return served

    def _collect(
        self, customer: str, served: _Served, allowance: tokens.Allowance
    ) -> Source:
        """Collects tokens from the shards until there is a whole one.

        Returns:
            Whether all shards were reached, some or none.
        """
        begin_s = clock.boottime_s()
        if not served.pool.may_collect(begin_s):
            return "shards"
        holders = self._shards.holders(_group(customer))
        reached = self._ask_holders(
            holders, customer, served, allowance, uses_reserve=False
        )
        shards = sum(holder.shards for holder in reached)
        if not shards:
            # Other VMs may reach some: the next request is to try them, too.
            return "no_shard"
        is_short = shards < tokens.SHARDS_PER_CUSTOMER
        if is_short and served.pool.wanted(allowance) > 0:
            self._ask_holders(
                reached, customer, served, allowance, uses_reserve=True
            )
        now_s = clock.boottime_s()
        with self._lock:
            if served.pool.left() < 1.0:
                served.pool.record_empty(allowance, now_s, is_short=is_short)
        return "some_shards" if is_short else "shards"

    def _ask_holders(
        self,
        holders: tuple[rateshards.Holder, ...],
        customer: str,
        served: _Served,
        allowance: tokens.Allowance,
        *,
        uses_reserve: bool,
    ) -> tuple[rateshards.Holder, ...]:
        """Asks holders until there are enough tokens.

        Returns:
            The holders that answered or were not needed.
        """
        silent = set()
        from_reserve = 0.0
        # In turn, since a shard that stays full gains nothing: with some full
        # and some empty, less is left for a burst.
        ordered = sorted(
            holders, key=lambda row: served.asked_s.get(row.vm, 0.0)
        )
        for holder in ordered:
            with self._lock:
                wanted = served.pool.wanted(allowance)
            if wanted <= 0.0:
                break
            asked_s = clock.boottime_s()
            if self._silent_until_s.get(holder.vm, 0.0) > asked_s:
                silent.add(holder)
                continue
            served.asked_s[holder.vm] = asked_s
            answer = self._peers.call(
                holder.vm,
                Collect(customer, wanted, uses_reserve),
                _COLLECT_TIMEOUT_S,
            )
            if answer.is_err():
                self._silent_until_s[holder.vm] = asked_s + _SILENT_S
                silent.add(holder)
                continue
            collected: Collected = answer.unwrap()
            from_reserve += collected.from_reserve
            with self._lock:
                served.pool.add(collected.tokens, asked_s)
        if from_reserve > 0.0:
            _events.sampled_info(
                "reserve_used",
                customer=customer,
                tokens=round(from_reserve, 2),
                holders=[holder.vm for holder in holders],
            )
        return tuple(holder for holder in holders if holder not in silent)


def _to_result(spent: Spent) -> result.Result[None, tokens.Denied]:
    if spent.is_allowed:
        return result.Ok(None)
    return result.Err(tokens.Denied(spent.retry_after_s))


def _key(customer: str) -> str:
    return f"rate {customer}"


def _group(customer: str) -> int:
    return zlib.crc32(customer.encode()) % shardleases.GROUPS
