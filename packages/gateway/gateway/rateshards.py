"""Holds shards of the customers' rates, under leases in the store.

The store decides who holds a shard, see `decisions.shardleases`. A holder keeps
the shard's buckets in memory only; whoever follows it begins with empty ones,
or with the few initial tokens that operators tolerate.
"""

import collections
from collections.abc import Mapping
import random
import threading
from typing import Any, NamedTuple

from bulrushdeal import clock
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import services
from gateway import dialect as dialect_lib
from gateway import members
from gateway import names
from gateway import records
from gateway import shardkeys
from gateway.decisions import shardleases
from gateway.decisions import tokens

_events = eventlog.Events("rateshards")

_CALL_TIMEOUT_S = 0.8
_STOP_TIMEOUT_S = 0.3
# How often the store's keys are read while all shards are held as they should
# be, and otherwise.
_CALM_INTERVAL_S = 4.0
_BUSY_INTERVAL_S = 1.0
_FIRST_INTERVAL_S = 0.1
# Shards are only given up for other VMs that have been there for this long:
# a list of VMs may be incomplete for a moment, and each move empties buckets.
_STABLE_S = 3.0
# The store takes no more than 32 conditions and writes in one commit.
_MAX_WRITES = 12
_MAX_BUCKETS = 20_000


class Holder(NamedTuple):
    """A VM that holds shards of a group, and how many."""

    vm: str
    shards: int


class _Held:
    """A shard that this VM holds.

    Attributes:
        revision: The store's revision of its key.
        until_s: Until when its tokens may be given.
        written_s: When its key was last written.
        begin_s: Since when it is held.
        has_initial: Whether its buckets begin with initial tokens.
        is_settled: Whether the store knows how long it has been held.
        buckets: The buckets that tokens were taken from, by customer.
    """

    def __init__(
        self, revision: int, written_s: float, *, has_initial: bool
    ) -> None:
        self.revision = revision
        self.written_s = written_s
        self.until_s = written_s + shardleases.LEASE_S
        self.begin_s = clock.boottime_s()
        self.has_initial = has_initial
        self.is_settled = False
        self.buckets: dict[str, tokens.ShardBucket] = {}

    def bucket(
        self, customer: str, allowance: tokens.Allowance
    ) -> tokens.ShardBucket:
        """Returns a customer's bucket; a new one has filled since `begin_s`."""
        found = self.buckets.get(customer)
        if found is None:
            initial = allowance.initial / tokens.SHARDS_PER_CUSTOMER
            found = tokens.ShardBucket(
                initial if self.has_initial else 0.0, self.begin_s
            )
            self.buckets[customer] = found
        return found


class RateShards:
    """Takes, renews and releases shards, and gives their tokens."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._address = settings.peers_address
        self._settle_s = settings.limit_window_s + tokens.MAX_KEEP_S
        self._lock = threading.Lock()
        self._held: dict[int, _Held] = {}
        self._given = {"bucket": 0.0, "reserve": 0.0}
        # Taken by whoever takes, renews or releases shards.
        self._update_lock = threading.Lock()
        self._surplus: tuple[int, ...] = ()
        self._surplus_since_s = 0.0
        self._stopping = threading.Event()
        # Set at first, as shards may be left from before a restart.
        self._update_requested = threading.Event()
        self._update_requested.set()

    def start(self) -> None:
        """Starts the thread that takes and renews shards."""
        self.connect()
        threads.start(self._run, "shards", is_vital=True)

    def connect(self) -> None:
        """Finds the services that this one uses."""
        find = self._kernel.find
        dialect = find(names.DIALECT, dialect_lib.Dialect)
        self._keys = shardkeys.ShardKeys(
            find(names.STORE, dialect_lib.Store), dialect.store_keys.own_prefix
        )
        self._members = find(services.MEMBERSHIP, members.Members)
        self._owner = shardkeys.Owner(
            self._vm, self._address, self._members.incarnation()
        )

    def stop(self, grace_s: float) -> None:
        """Releases all shards, so that others take them at once."""
        del grace_s
        self._stopping.set()
        self._update_requested.set()
        # An update may wait for the store; then the shards are left to the
        # next process of this VM, or to others once the lease has ended.
        if not self._update_lock.acquire(timeout=_STOP_TIMEOUT_S):
            return
        try:
            self._release(tuple(self._held), _STOP_TIMEOUT_S)
        finally:
            self._update_lock.release()

    def dump(self) -> Any:
        """Returns the shards held here and the tokens they gave."""
        with self._lock:
            return {"held": sorted(self._held), "given": dict(self._given)}

    def held(self) -> frozenset[int]:
        """Returns the shards that this VM holds."""
        with self._lock:
            return frozenset(self._held)

    def given(self) -> Mapping[str, float]:
        """Returns the tokens given so far, by source."""
        with self._lock:
            return dict(self._given)

    def holders(self, group: int) -> tuple[Holder, ...]:
        """Returns the VMs that hold shards of a group, this one first."""
        now_s = clock.boottime_s()
        with self._lock:
            if not self._keys.rows:
                self._update_requested.set()
            counts = collections.Counter(
                row.vm
                for shard in shardleases.shards_of_group(group)
                if (row := self._keys.rows.get(shard)) is not None
                and not shardleases.is_free(row, now_s)
            )
        found = [Holder(vm, shards) for vm, shards in counts.items()]
        return tuple(sorted(found, key=lambda row: row.vm != self._vm))

    def give(
        self,
        customer: str,
        allowance: tokens.Allowance,
        group: int,
        wanted: float,
        *,
        server: str,
        uses_reserve: bool,
    ) -> tokens.Given:
        """Gives tokens of a customer from the shards that this VM holds.

        Args:
            customer: The customer's name.
            allowance: What the VMs may grant of the customer's row.
            group: The customer's group.
            wanted: How many tokens to give at most.
            server: The VM that collects them.
            uses_reserve: Whether other shards cannot be reached.
        """
        now_s = clock.boottime_s()
        total = tokens.Given(0.0, 0.0)
        with self._lock:
            for shard in shardleases.shards_of_group(group):
                held = self._held.get(shard)
                if held is None or now_s >= held.until_s:
                    continue
                given = held.bucket(customer, allowance).give(
                    allowance,
                    wanted - total.tokens,
                    now_s,
                    server=server,
                    uses_reserve=uses_reserve,
                )
                total = tokens.Given(
                    total.tokens + given.tokens,
                    total.from_reserve + given.from_reserve,
                )
                self._bound_buckets(held, allowance, now_s)
            self._given["bucket"] += total.tokens - total.from_reserve
            self._given["reserve"] += total.from_reserve
        return total

    def _bound_buckets(
        self, held: _Held, allowance: tokens.Allowance, now_s: float
    ) -> None:
        if len(held.buckets) <= _MAX_BUCKETS:
            return
        # Without a bucket a customer has what the shard has gained since
        # `begin_s`, so nobody may gain by the loss of one.
        held.buckets.clear()
        held.begin_s = now_s
        held.has_initial = False
        _events.warning("buckets_cleared", most=_MAX_BUCKETS)

    def _run(self) -> None:
        has_read = False
        due_s = 0.0
        version = 0
        while not self._stopping.is_set():
            _, listed_version = self._members.snapshot()
            is_due = clock.boottime_s() >= due_s and self._leads()
            is_new = listed_version != version and self._leads()
            if is_due or is_new or self._update_requested.is_set():
                self._update_requested.clear()
                version = listed_version
                is_calm = self.update()
                has_read = has_read or is_calm is not None
                interval_s = _CALM_INTERVAL_S if is_calm else _BUSY_INTERVAL_S
                due_s = clock.boottime_s() + interval_s
            is_known = has_read and self._members.is_known()
            self._update_requested.wait(
                (_BUSY_INTERVAL_S if is_known else _FIRST_INTERVAL_S)
                * random.uniform(0.8, 1.0)
            )

    def _leads(self) -> bool:
        """Returns whether this VM holds shards or may hold some."""
        return bool(self._held) or self._vm in self._members.leader_domains()

    def update(self) -> bool | None:
        """Reads who holds the shards, and takes, renews or releases some.

        Returns:
            Whether all shards are held as they should be; `None` if the store
            did not answer.
        """
        with self._update_lock:
            if self._stopping.is_set() or not self._keys.read():
                return None
            self._drop_lost()
            moves = self._moves()
            self._take(moves.take)
            self._release_stable(moves.release)
            self._renew()
        now_s = clock.boottime_s()
        return not self._surplus and not any(
            shardleases.is_free(row, now_s) for row in self._keys.rows.values()
        )

    def _release_stable(self, surplus: tuple[int, ...]) -> None:
        now_s = clock.boottime_s()
        if surplus != self._surplus:
            self._surplus, self._surplus_since_s = surplus, now_s
        if surplus and now_s - self._surplus_since_s > _STABLE_S:
            self._release(surplus, _CALL_TIMEOUT_S)
            self._surplus = ()

    def _moves(self) -> shardleases.Moves:
        own = tuple(
            shard
            for shard, row in self._keys.rows.items()
            if shard not in self._held and self._is_own(row)
        )
        if own:
            # The process that held them ran on this VM, before this one could
            # listen on its address.
            return shardleases.Moves(own, ())
        if not self._members.is_known():
            return shardleases.Moves((), ())
        return shardleases.moves(
            self._vm,
            frozenset(self._held),
            self._keys.rows,
            self._members.leader_domains(),
            clock.boottime_s(),
        )

    def _is_own(self, row: shardleases.Row) -> bool:
        return row.vm == self._vm and row.address == self._address

    def _drop_lost(self) -> None:
        """Stops giving from shards that others hold, or whose lease is over."""
        now_s = clock.boottime_s()
        for shard, held in list(self._held.items()):
            row = self._keys.rows[shard]
            if row.vm and row.incarnation == self._owner.incarnation:
                # A write of this process whose answer was lost.
                held.revision = row.revision
            if row.revision <= held.revision and now_s < held.until_s:
                continue
            with self._lock:
                del self._held[shard]
            _events.warning("shard_lost", shard=shard, holder=row.vm)

    def _take(self, shards: tuple[int, ...]) -> None:
        for first in range(0, len(shards), _MAX_WRITES):
            part = shards[first : first + _MAX_WRITES]
            before = {shard: self._keys.rows[shard] for shard in part}
            written_s = clock.boottime_s()
            revision = self._write(part, is_settled=False)
            if revision is None:
                continue
            for shard, row in before.items():
                held = _Held(revision, written_s, has_initial=row.is_settled)
                with self._lock:
                    self._held[shard] = held
            _events.info(
                "shards_taken",
                shards=list(part),
                holders_before=[row.vm for row in before.values()],
                with_initial=[row.is_settled for row in before.values()],
            )

    def _release(self, shards: tuple[int, ...], timeout_s: float) -> None:
        for first in range(0, len(shards), _MAX_WRITES):
            part = shards[first : first + _MAX_WRITES]
            with self._lock:
                held = [self._held.pop(shard) for shard in part]
            settled = all(self._has_settled(row) for row in held)
            self._keys.write(
                part,
                self._owner._replace(vm=""),
                is_settled=settled,
                timeout_s=timeout_s,
            )
            _events.info("shards_released", shards=list(part))

    def _renew(self) -> None:
        now_s = clock.boottime_s()
        due = tuple(
            shard
            for shard, held in self._held.items()
            if now_s - held.written_s > shardleases.RENEW_AGE_S
            or (self._has_settled(held) and not held.is_settled)
        )
        for first in range(0, len(due), _MAX_WRITES):
            part = due[first : first + _MAX_WRITES]
            settled = all(self._has_settled(self._held[row]) for row in part)
            written_s = clock.boottime_s()
            revision = self._write(part, is_settled=settled)
            if revision is None:
                continue
            with self._lock:
                for shard in part:
                    held = self._held[shard]
                    held.revision = revision
                    held.written_s = written_s
                    held.until_s = written_s + shardleases.LEASE_S
                    held.is_settled = settled

    def _has_settled(self, held: _Held) -> bool:
        return clock.boottime_s() - held.begin_s > self._settle_s

    def _write(
        self, shards: tuple[int, ...], *, is_settled: bool
    ) -> int | None:
        return self._keys.write(
            shards,
            self._owner,
            is_settled=is_settled,
            timeout_s=_CALL_TIMEOUT_S,
        )
