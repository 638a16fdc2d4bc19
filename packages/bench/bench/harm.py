"""Measures how batch work slows online requests, and its own throughput.

Runs three phases on one deployment: online requests alone, online requests
beside a full backlog of batch items, and batch items alone. All ratios
compare phases of the same run.
"""

import time
from typing import NamedTuple

from bench import load
from bench import site as site_lib
from bench import spent

ITEM_TOKENS = 40
_SETTLE_S = 3.0


class Phase(NamedTuple):
    """The figures of one phase.

    Attributes:
        online: What the online callers saw; `None` without online requests.
        batch_per_s: Batch items finished per second.
        cancelled_per_s: Requests per second that the engines cancelled.
        online_slots: Mean number of slots that online requests used.
        processor: Processor use of all processes.
    """

    online: load.Summary | None
    batch_per_s: float
    cancelled_per_s: float
    online_slots: float
    processor: spent.ProcessorUse


class Harm(NamedTuple):
    """The three phases and the ratios between them.

    Attributes:
        online_alone: The first phase.
        both: The second phase.
        batch_alone: The third phase.
        first_token_ratio: Time to the first token in `both`, relative to
            `online_alone`, by percentile.
        between_tokens_ratio: The same for the time between tokens.
        engines_pace_ratio: The same for the time between tokens that the
            engines' own pace explains.
        batch_ratio: Items per second in `both`, relative to those of
            `batch_alone` on as many slots as online requests leave free.
        ceiling_ratio: Items per second in `batch_alone`, relative to what
            the engines do with all slots always in use.
        lost_ratio: Fraction of the online requests in `both` that were not
            answered.
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
    """Runs the three phases.

    Args:
        site: The deployment.
        shape: Shape of the online requests.
        duration_s: Duration of each phase.
        seed: Seed of the arrivals.
    """

    def online(phase: str) -> load.Run:
        return load.Run(
            load.plan(
                site.callers, site.addresses, shape, duration_s, seed, phase
            )
        )

    alone = _run_phase(site, online("alone"), duration_s)
    backlog = int(site.slots * (3 * duration_s + 30) / _item_s(site))
    for caller in site.callers[:2]:
        site.submit(caller, backlog // 2, ITEM_TOKENS)
    _wait_until_slots_full(site)
    both = _run_phase(site, online("both"), duration_s)
    time.sleep(_SETTLE_S)
    batch = _run_phase(site, None, duration_s)
    return Harm(
        alone,
        both,
        batch,
        load.ratios(_first_token_ms(both), _first_token_ms(alone)),
        load.ratios(_between_tokens_ms(both), _between_tokens_ms(alone)),
        load.ratios(_engines_pace_ms(both), _engines_pace_ms(alone)),
        both.batch_per_s
        / (batch.batch_per_s * (1 - both.online_slots / site.slots)),
        batch.batch_per_s / (site.slots / _item_s(site)),
        1 - both.online.ok / both.online.requests if both.online else 0.0,
    )


def _item_s(site: site_lib.Site) -> float:
    """Returns how long an item runs on an engine with all slots in use."""
    return 0.005 + ITEM_TOKENS * (0.03 + 0.0005 * site.profile.slots)


def _wait_until_slots_full(site: site_lib.Site) -> None:
    deadline_s = time.monotonic() + 30
    while time.monotonic() < deadline_s:
        if site.engine_totals().running >= site.slots * 0.8:
            break
        time.sleep(0.2)
    time.sleep(_SETTLE_S)


def _run_phase(
    site: site_lib.Site, online: load.Run | None, duration_s: float
) -> Phase:
    meter = site.meter()
    before = site.engine_totals()
    start_s = time.monotonic()
    if online is None:
        time.sleep(duration_s)
    else:
        online.run()
    after = site.engine_totals()
    span_s = time.monotonic() - start_s
    processor = meter.read()
    summary = online.all.summary() if online else None
    finished = after.finished - before.finished - (summary.ok if summary else 0)
    return Phase(
        summary,
        finished / span_s,
        (after.cancelled - before.cancelled) / span_s,
        summary.busy_s / span_s if summary else 0.0,
        processor,
    )


def _first_token_ms(phase: Phase) -> dict[str, float]:
    return phase.online.first_token_ms if phase.online else {}


def _between_tokens_ms(phase: Phase) -> dict[str, float]:
    return phase.online.between_tokens_ms if phase.online else {}


def _engines_pace_ms(phase: Phase) -> dict[str, float]:
    return phase.online.engines_pace_ms if phase.online else {}
