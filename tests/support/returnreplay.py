"""Replays bursts of online requests whose callers come back once."""

import heapq
import random
from typing import NamedTuple

from gateway import records
from gateway.decisions import slotledger

_RUN_S = 0.75
_SLOTS = 8
# Callers wait no longer than this.
_PATIENCE_S = 1.6


class Outcome(NamedTuple):
    """Requests that came, and those that were refused twice."""

    asked: int
    lost: int


class _Event(NamedTuple):
    at_s: float
    number: int
    kind: str
    run: str


def _arrivals(rng: random.Random, per_s: float, length_s: float) -> list[float]:
    """Returns times at which requests come, in bursts of 2.8 s in 6.6 s."""
    times, now_s = [], 0.0
    while now_s < length_s:
        is_burst = now_s % 6.6 >= 3.8
        now_s += rng.expovariate(per_s * (1.84 if is_burst else 0.38))
        times.append(now_s)
    return times


def play(engines: int, per_s: float, seed: int) -> Outcome:
    """Plays 20 seconds.

    Args:
        engines: How many engines of eight slots there are.
        per_s: Requests a second on the mean.
        seed: Of the times of arrival.
    """
    rng = random.Random(seed)
    ledger = slotledger.Ledger(random.Random(seed))
    ledger.set_engines(
        records.Upstream(f"i-{row}", "llm", "h:1", "d", _SLOTS, False, 0)
        for row in range(engines)
    )
    events = [
        _Event(at_s, number, "first", f"r{number}")
        for number, at_s in enumerate(_arrivals(rng, per_s, 20.0))
    ]
    asked, lost, number = len(events), 0, len(events)
    heapq.heapify(events)
    while events:
        now_s, _, kind, run = heapq.heappop(events)
        number += 1
        if kind == "end":
            ledger.release(run, now_s, outcome="ok")
            continue
        taken = ledger.take_online(run, "vm", now_s, target_s=0.3)
        if isinstance(taken, slotledger.Grant):
            over = max(0, ledger.counts()[taken.instance] - _SLOTS)
            took_s = _RUN_S * (rng.uniform(0.7, 1.3) + over / _SLOTS)
            heapq.heappush(events, _Event(now_s + took_s, number, "end", run))
        elif kind == "first":
            back_s = now_s + min(taken.retry_after_s, _PATIENCE_S)
            heapq.heappush(events, _Event(back_s, number, "back", run))
        else:
            lost += 1
    return Outcome(asked, lost)
