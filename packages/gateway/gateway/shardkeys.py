"""Reads and writes the store's keys that say who holds which shard."""

import json
from typing import NamedTuple

import result

from bulrushdeal import clock
from bulrushdeal import codec
from bulrushdeal import eventlog
from bulrushdeal import jsontext
from gateway import dialect as dialect_lib
from gateway import paging
from gateway.decisions import shardleases

_events = eventlog.Events("rateshards")

_READ_TIMEOUT_S = 0.8


class Owner(NamedTuple):
    """The process that holds shards.

    Attributes:
        vm: Its VM; empty for shards that are released.
        address: Its address for peers.
        incarnation: Tells it from other processes of its VM.
    """

    vm: str
    address: str
    incarnation: str


class _Held(NamedTuple):
    """What a shard's key holds; see `Owner` and `shardleases.Row`."""

    vm: str
    address: str
    incarnation: str
    is_settled: bool


class ShardKeys:
    """The keys of all shards, and what this VM has read of them.

    Args:
        store: The platform's store.
        own_prefix: The prefix of the keys that this system writes.
    """

    def __init__(self, store: dialect_lib.Store, own_prefix: str) -> None:
        self._store = store
        self._prefix = f"{own_prefix}rates/shards/"
        self.rows: dict[int, shardleases.Row] = {}

    def read(self) -> bool:
        """Reads all keys; returns whether the store answered."""
        # The listing may be out of date: each write has its condition.
        listed = paging.read_all(
            self._store, self._prefix, _READ_TIMEOUT_S, stale=True
        )
        if listed.is_err():
            return False
        entries = listed.unwrap().entries
        self._update(tuple(range(shardleases.SHARDS)), entries)
        return True

    def write(
        self,
        shards: tuple[int, ...],
        owner: Owner,
        *,
        is_settled: bool,
        timeout_s: float,
    ) -> int | None:
        """Writes who holds some shards, if nobody else has written meanwhile.

        Args:
            shards: The shards.
            owner: Who holds them.
            is_settled: See `shardleases.Row`.
            timeout_s: How long the call may take.

        Returns:
            The store's new revision; `None` if nothing is known to be written.
        """
        value = json.dumps({**owner._asdict(), "is_settled": is_settled})
        expected = tuple(
            dialect_lib.RevisionCondition(
                self._key(shard), self.rows[shard].revision
            )
            for shard in shards
        )
        writes = tuple(
            dialect_lib.Write(self._key(shard), value.encode())
            for shard in shards
        )
        made = self._store.commit(expected, writes, (), timeout_s)
        if isinstance(made, result.Err):
            _events.warning(
                "shards_not_written",
                shards=list(shards),
                why=made.err_value.kind,
            )
            return None
        outcome = made.unwrap()
        if isinstance(outcome, dialect_lib.Conflict):
            self._update(shards, outcome.entries)
            return None
        row = shardleases.Row(*owner, is_settled, outcome, clock.boottime_s())
        self.rows.update(dict.fromkeys(shards, row))
        return outcome

    def _key(self, shard: int) -> str:
        return f"{self._prefix}{shard:03d}"

    def _update(
        self, shards: tuple[int, ...], entries: tuple[dialect_lib.Entry, ...]
    ) -> None:
        by_key = {entry.key: entry for entry in entries}
        for shard in shards:
            entry = by_key.get(self._key(shard))
            known = self.rows.get(shard)
            revision = 0 if entry is None else entry.revision
            # A listing may be older than what this VM knows.
            if known is None or revision > known.revision:
                self.rows[shard] = _decode(entry, clock.boottime_s())


def _decode(entry: dialect_lib.Entry | None, seen_s: float) -> shardleases.Row:
    """Returns what the store says of a shard; an absent key is free."""
    if entry is None or not entry.value:
        return shardleases.Row("", "", "", True, 0, seen_s)
    try:
        held = codec.from_plain(_Held, jsontext.parse(entry.value))
        return shardleases.Row(*held, entry.revision, seen_s)
    except (ValueError, codec.CodecError) as error:
        _events.warning("bad_entry", key=entry.key, why=repr(error))
        # Somebody may hold it: it is free once it has not changed for long.
        return shardleases.Row("?", "", "", False, entry.revision, seen_s)
