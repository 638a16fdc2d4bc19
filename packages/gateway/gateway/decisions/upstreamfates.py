"""What became of an upstream under which a run broke off.

A connection that breaks may mean that the upstream's process crashed, or only
that an answer was lost. The address does not always tell: a proxy or a
supervisor that starts the process again goes on accepting connections. The
platform's list tells within a few heartbeats.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Literal, NamedTuple

from gateway import records

# `lapsed`: its entry is missing. `restarted`: it has started again under its
# name. `replaced`: another upstream has its address. `excused`: it leaves
# as planned, or its failure domain explains what is seen. `listed`: nothing
# shows that it crashed.
Fate = Literal["lapsed", "restarted", "replaced", "excused", "listed"]
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
        was_silent: Whether its upstream had sent nothing for a while.
        was_given_up: Whether its caller gave it up, so that the upstream may
            have been about to answer.
        parts: The parts of its prompt, if it had written nothing.
    """

    fingerprint: str
    upstream: records.Upstream
    ran_s: float
    broke_s: float
    was_silent: bool = False
    was_given_up: bool = False
    parts: tuple[str, ...] = ()

    @property
    def began_s(self) -> float:
        """When it began, by the monotonic clock."""
        return self.broke_s - self.ran_s


def may_be_crash(run: BrokenRun, fate: Fate) -> bool:
    """Returns whether to watch the upstream of a run that has just broken.

    An entry that is missing by then was removed before. The upstream may have
    left as planned, which ends with breaks. It serves until then, so a run
    that was silent was on one that had crashed. What the list shows after a
    run was given up says nothing of it.
    """
    if run.was_given_up and fate == "listed":
        return False
    if fate == "lapsed":
        return run.was_silent
    return fate != "excused"


class Crash(NamedTuple):
    """A run on an upstream that crashed, and what showed it."""

    run: BrokenRun
    fate: Fate


class Answer(NamedTuple):
    """An answer of an upstream to a request.

    Attributes:
        instance: The upstream.
        began_s: When the request began, by the monotonic clock.
        at_s: When the answer came.
    """

    instance: str
    began_s: float
    at_s: float


def find_causes(
    crashes: Collection[Crash], answers: Collection[Answer]
) -> list[Crash]:
    """Returns the runs under which upstreams may have crashed.

    Left out are runs after which their upstream answered others, so that only
    their own answers were lost, and those that began after the first of the
    rest broke off: a proxy breaks them off for an upstream that has crashed.

    Args:
        crashes: Broken runs on upstreams that turned out to have crashed.
        answers: What upstreams answered lately.
    """
    last_break_s: dict[str, float] = {}
    for crash in crashes:
        instance, broke_s = crash.run.upstream.instance, crash.run.broke_s
        last_s = last_break_s.get(instance, broke_s)
        last_break_s[instance] = max(broke_s, last_s)
    alive_s = _last_alive_s(answers)
    # What has started again under its name answers as if it had lived on, so
    # only answers before the last break show that it had.
    alive_before_s = _last_alive_s(
        row for row in answers if row.at_s < last_break_s.get(row.instance, 0.0)
    )
    first_break_s: dict[tuple[str, int], float] = {}
    causes: list[Crash] = []
    for crash in sorted(crashes, key=lambda row: row.run.broke_s):
        run, upstream = crash.run, crash.run.upstream
        known_s = alive_before_s if crash.fate == "restarted" else alive_s
        if known_s.get(upstream.instance, 0.0) > run.broke_s:
            continue
        start = (upstream.instance, upstream.started_ms)
        if run.began_s <= first_break_s.setdefault(start, run.broke_s):
            causes.append(crash)
    return causes


def _last_alive_s(answers: Iterable[Answer]) -> dict[str, float]:
    """Returns when each upstream is known to have lived, by its instance."""
    alive_s: dict[str, float] = {}
    for row in answers:
        last_s = alive_s.get(row.instance, row.began_s)
        alive_s[row.instance] = max(row.began_s, last_s)
    return alive_s


def watch_s(heartbeat_s: float) -> float:
    """Returns how long a crash may take to show in the list, in seconds."""
    return _HEARTBEATS_TO_LAPSE * heartbeat_s + _LIST_DELAY_S


class Listing(NamedTuple):
    """What the platform lists.

    Attributes:
        by_instance: The upstreams by their names.
        by_address: The names of the upstreams at each address.
    """

    by_instance: Mapping[str, records.Upstream]
    by_address: Mapping[str, frozenset[str]]


def index(rows: Iterable[records.Upstream]) -> Listing:
    """Returns listed upstreams by their names and addresses."""
    by_address: dict[str, frozenset[str]] = {}
    by_instance: dict[str, records.Upstream] = {}
    for row in rows:
        by_instance[row.instance] = row
        others = by_address.get(row.address, frozenset())
        by_address[row.address] = others | {row.instance}
    return Listing(by_instance, by_address)


def find_fate(
    upstream: records.Upstream,
    listing: Listing,
    excused_domains: Collection[str],
) -> Fate:
    """Returns what the list shows of an upstream.

    Args:
        upstream: The upstream as it was listed when a run on it began.
        listing: All upstreams listed now.
        excused_domains: The failure domains whose upstreams may be stopped,
            or are cut off.
    """
    if upstream.failure_domain in excused_domains:
        return "excused"
    row = listing.by_instance.get(upstream.instance)
    if row is not None and row.is_draining:
        return "excused"
    at_address = listing.by_address.get(upstream.address, frozenset())
    if at_address - {upstream.instance}:
        return "replaced"
    if row is None:
        return "lapsed"
    # Both have to be known: an entry may come without a start.
    if 0 < upstream.started_ms != row.started_ms > 0:
        return "restarted"
    return "listed"
