"""What became of an upstream under which a run broke off.

A connection that breaks may mean that the upstream's process crashed, or only
that an answer was lost. The address does not always tell: a proxy or a
supervisor that starts the process again goes on accepting connections. The
platform's list tells within a few heartbeats.
"""

from collections.abc import Collection, Iterable
from typing import Literal, NamedTuple

from gateway import records

# `lapsed`: its entry is missing. `restarted`: it has started again under its
# name. `replaced`: another upstream has its address. `leaving`: it leaves as
# planned. `listed`: nothing shows that it crashed.
Fate = Literal["lapsed", "restarted", "replaced", "leaving", "listed"]
CRASHES: frozenset[Fate] = frozenset({"lapsed", "restarted", "replaced"})

# An entry lapses after three heartbeats without a word.
_HEARTBEATS_TO_LAPSE = 3
# From a change of the list until a VM knows of it, by way of others at worst.
_LIST_DELAY_S = 2.0


class BrokenRun(NamedTuple):
    """A run that broke off, or whose upstream fell silent.

    Attributes:
        fingerprint: Identifies the request; see `fingerprints.fingerprint`.
        upstream: The upstream as it was listed when the run began.
        ran_s: How long it ran, in seconds.
        broke_s: When it broke off, by the monotonic clock.
    """

    fingerprint: str
    upstream: records.Upstream
    ran_s: float
    broke_s: float


def watch_s(heartbeat_s: float) -> float:
    """Returns how long a crash may take to show in the list, in seconds."""
    return _HEARTBEATS_TO_LAPSE * heartbeat_s + _LIST_DELAY_S


def find_fate(
    upstream: records.Upstream,
    listed: Iterable[records.Upstream],
    evacuated: Collection[str],
) -> Fate:
    """Returns what the list shows of an upstream.

    Args:
        upstream: The upstream as it was listed when a run on it began.
        listed: All upstreams listed now.
        evacuated: The failure domains whose upstreams may be stopped.
    """
    row: records.Upstream | None = None
    is_replaced = False
    for other in listed:
        if other.instance == upstream.instance:
            row = other
        elif other.address == upstream.address:
            is_replaced = True
    if upstream.failure_domain in evacuated:
        return "leaving"
    if row is not None and row.is_draining:
        return "leaving"
    if is_replaced:
        return "replaced"
    if row is None:
        return "lapsed"
    # Both have to be known: an entry may come without a start.
    if 0 < upstream.started_ms != row.started_ms > 0:
        return "restarted"
    return "listed"
