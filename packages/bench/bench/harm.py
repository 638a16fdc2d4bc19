"""What batch work does to online requests, and what it gets itself.

Three phases on one deployment: online alone, online beside a full backlog of
batch items, and batch alone. The ratios are between phases of the same run.
"""

import time
from typing import NamedTuple

from bench import load
from bench import site as site_lib
from bench import spent

ITEM_TOKENS = 40
_SETTLE_S = 3.0


class Phase(NamedTuple):
    """One phase: what online callers saw and what the engines did."""

    online: load.Seen | None
    batch_per_s: float
    cancelled_per_s: float
    online_slots: float
    processor: spent.Processor


class Harm(NamedTuple):
    """The three phases and the ratios that count.

    Attributes:
        online_alone: First phase.
        both: Second phase.
        batch_alone: Third phase.
        first_token_ratio: `both` to `online_alone`, by percentile.
        between_tokens_ratio: The same for the time between tokens.
        engines_pace_ratio: The part of it that is the engines' own pace.
        batch_ratio: Items a second in `both`, to what batch alone gets
            from as many slots as online leaves.
        ceiling_ratio: Items a second of batch alone, to the ceiling of the
            engines with all slots always full.
        lost_ratio: Online requests not answered, of all in `both`.
    """

    online_alone: Phase
    both: Phase
    batch_alone: Phase
    first_token_ratio: dict[str, float]
    between_tokens_ratio: dict[str, float]
    engines_pace_ratio: dict[str, float]
    batch_ratio: float
    ceiling_ratio: float
    lost_ratio: float


def run(
    site: site_lib.Site, shape: load.Shape, duration_s: float, seed: int
) -> Harm:
    """Runs the three phases."""

    def online(phase: str) -> load.Run:
        return load.Run(
            load.plan(
                site.callers, site.addresses, shape, duration_s, seed, phase
            )
        )

    alone = _phase(site, online("alone"), duration_s)
    backlog = int(site.slots * (3 * duration_s + 30) / _item_s(site))
    for caller in site.callers[:2]:
        site.submit(caller, backlog // 2, ITEM_TOKENS)
    _wait_full(site)
    both = _phase(site, online("both"), duration_s)
    time.sleep(_SETTLE_S)
    batch = _phase(site, None, duration_s)
    return Harm(
        alone,
        both,
        batch,
        load.ratios(_first(both), _first(alone)),
        load.ratios(_between(both), _between(alone)),
        load.ratios(_pace(both), _pace(alone)),
        both.batch_per_s
        / (batch.batch_per_s * (1 - both.online_slots / site.slots)),
        batch.batch_per_s / (site.slots / _item_s(site)),
        1 - both.online.ok / both.online.requests if both.online else 0.0,
    )


def _item_s(site: site_lib.Site) -> float:
    """Returns how long an item runs on an engine with all slots full."""
    return 0.005 + ITEM_TOKENS * (0.03 + 0.0005 * site.profile.slots)


def _wait_full(site: site_lib.Site) -> None:
    deadline_s = time.monotonic() + 30
    while time.monotonic() < deadline_s:
        if site.totals().running >= site.slots * 0.8:
            break
        time.sleep(0.2)
    time.sleep(_SETTLE_S)


def _phase(
    site: site_lib.Site, online: load.Run | None, duration_s: float
) -> Phase:
    meter = site.meter()
    before = site.totals()
    start_s = time.monotonic()
    if online is None:
        time.sleep(duration_s)
    else:
        online.run()
    after = site.totals()
    span_s = time.monotonic() - start_s
    processor = meter.read()
    seen = online.all.seen() if online else None
    finished = after.finished - before.finished - (seen.ok if seen else 0)
    return Phase(
        seen,
        finished / span_s,
        (after.cancelled - before.cancelled) / span_s,
        seen.busy_s / span_s if seen else 0.0,
        processor,
    )


def _first(phase: Phase) -> dict[str, float]:
    return phase.online.first_token_ms if phase.online else {}


def _between(phase: Phase) -> dict[str, float]:
    return phase.online.between_tokens_ms if phase.online else {}


def _pace(phase: Phase) -> dict[str, float]:
    return phase.online.engines_pace_ms if phase.online else {}
