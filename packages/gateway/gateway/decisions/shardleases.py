"""Which VM holds which shard of the customers' rates.

A shard is held by one process at a time, by the store's word: its holder wrote
the shard's key under the condition that nobody else had. A holder may give
tokens for `LEASE_S` from before its last write. Others take the shard when the
key has not changed for longer than that, so that two never give its tokens at
the same time. The lease is long: while the store is away nobody can renew one,
and a shard whose holder is lost is a small part of each row.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gateway.decisions import tokens

GROUPS = 4
SHARDS = GROUPS * tokens.SHARDS_PER_CUSTOMER
LEASE_S = 120.0
RENEW_AGE_S = 25.0
# Clocks that run at different speeds, and a write on its way.
_MARGIN_S = 5.0
# A free shard waits for the VM that is to take it for this long, and then for
# any VM of its failure domain.
_ORPHAN_S = 3.0
_FAR_ORPHAN_S = 10.0


class Row(NamedTuple):
    """What the store says of a shard.

    Attributes:
        vm: The VM that holds it; empty if it was released.
        address: The address for peers of that VM.
        incarnation: The process of that VM.
        is_settled: Whether no holder began with initial tokens within the
            last window.
        revision: The store's revision of the key; 0 if there is none.
        seen_s: Since when this VM has seen that revision, by the clock that
            includes the time in suspend.
    """

    vm: str
    address: str
    incarnation: str
    is_settled: bool
    revision: int
    seen_s: float


class Moves(NamedTuple):
    """The shards that a VM is to take and to release."""

    take: tuple[int, ...]
    release: tuple[int, ...]


def shards_of_group(group: int) -> range:
    """Returns the shards of a group of customers."""
    first = group * tokens.SHARDS_PER_CUSTOMER
    return range(first, first + tokens.SHARDS_PER_CUSTOMER)


def is_free(row: Row, now_s: float) -> bool:
    """Returns whether nobody can hold a shard any more."""
    return not row.vm or now_s - row.seen_s > LEASE_S + _MARGIN_S


def preferred_domain(shard: int, domains: Iterable[str]) -> str:
    """Returns the failure domain that a shard should be held in.

    The shards of a group are spread evenly over the failure domains, so that
    each side of a cut has its part of each customer's row.
    """
    listed = sorted(domains)
    group, index = divmod(shard, tokens.SHARDS_PER_CUSTOMER)
    return listed[(group + index) % len(listed)]


def moves(
    own: str,
    held: frozenset[int],
    rows: Mapping[int, Row],
    vms: Mapping[str, str],
    now_s: float,
) -> Moves:
    """Returns what a VM is to take and to release.

    Args:
        own: The name of this VM.
        held: The shards that it holds.
        rows: What the store says of each shard.
        vms: The failure domain of each VM that may hold shards.
        now_s: The current time, by the clock of `Row.seen_s`.
    """
    if own not in vms:
        return Moves((), tuple(sorted(held)))
    domains = frozenset(vms.values())
    near = [
        shard
        for shard in range(SHARDS)
        if preferred_domain(shard, domains) == vms[own]
    ]
    peers = sorted(vm for vm in vms if vms[vm] == vms[own])
    # Rounded up.
    most = -(-len(near) // len(peers))
    free = [shard for shard in range(SHARDS) if is_free(rows[shard], now_s)]
    room = max(most - len(held.intersection(near)), 0)
    # Each VM of a failure domain has shards of its own to take first, since
    # one that another VM takes at the same time fails the whole commit.
    first = near[peers.index(own) :: len(peers)]
    take = [shard for shard in first if shard in free][:room]
    if not take:
        take = [
            shard
            for shard in free
            if now_s - rows[shard].seen_s
            > (_ORPHAN_S if shard in near else _FAR_ORPHAN_S)
        ][: max(room, 1)]
    kept = sorted(held.intersection(near))
    surplus = [*kept[max(most, 1) :], *sorted(held.difference(near))]
    return Moves(tuple(take), tuple(surplus))
