"""Online requests alone: what callers see, and what control costs."""

import time
from typing import NamedTuple

from bench import load
from bench import site as site_lib
from bench import spent


class Online(NamedTuple):
    """What one run showed.

    Attributes:
        seen: What callers saw.
        messages_per_request: Sent between VMs, the idle part taken off.
        bytes_per_request: Of these, without frames and headers.
        idle_messages_per_s: What a VM sends without any requests.
        idle_bytes_per_s: Of these, without frames and headers.
        idle_processor: Part of a core that a VM takes without requests.
        processor: Part of a core that a VM takes with them.
        platform_calls_per_s: Of all VMs together.
        prefix_reuse: Part of the prompts' tokens that engines had cached.
        busiest_engine: Requests of the engine that had most, to the mean.
        spent: Of all processes, under load.
    """

    seen: load.Seen
    messages_per_request: float
    bytes_per_request: float
    idle_messages_per_s: float
    idle_bytes_per_s: float
    idle_processor: float
    processor: float
    platform_calls_per_s: float
    prefix_reuse: float
    busiest_engine: float
    spent: spent.Processor


class _Spent(NamedTuple):
    """What was spent in a second by all VMs together."""

    messages_per_s: float
    bytes_per_s: float
    processor: float
    platform_calls_per_s: float
    span_s: float


def run(
    site: site_lib.Site, shape: load.Shape, duration_s: float, seed: int
) -> Online:
    """Measures an idle phase, then one under load."""
    idle = _spent(site, None, duration_s / 2)
    sent = load.Run(
        load.plan(site.callers, site.addresses, shape, duration_s, seed)
    )
    before = site.by_engine()
    meter = site.meter()
    loaded = _spent(site, sent, duration_s)
    processor = meter.read()
    after = site.by_engine()
    seen = sent.all.seen()
    per_s = seen.requests / loaded.span_s
    vms = len(site.addresses)
    return Online(
        seen,
        (loaded.messages_per_s - idle.messages_per_s) / per_s,
        (loaded.bytes_per_s - idle.bytes_per_s) / per_s,
        idle.messages_per_s / vms,
        idle.bytes_per_s / vms,
        idle.processor / vms,
        loaded.processor / vms,
        loaded.platform_calls_per_s,
        _reuse(before, after),
        _busiest(before, after),
        processor,
    )


def _reuse(
    before: list[site_lib.Totals], after: list[site_lib.Totals]
) -> float:
    cached = _sum_cached(after) - _sum_cached(before)
    prompts = _sum_prompts(after) - _sum_prompts(before)
    return cached / max(prompts, 1)


def _sum_cached(engines: list[site_lib.Totals]) -> int:
    return sum(engine.cached_tokens for engine in engines)


def _sum_prompts(engines: list[site_lib.Totals]) -> int:
    return sum(engine.prompt_tokens for engine in engines)


def _busiest(
    before: list[site_lib.Totals], after: list[site_lib.Totals]
) -> float:
    started = [
        late.started - early.started
        for early, late in zip(before, after, strict=True)
    ]
    return max(started) * len(started) / max(sum(started), 1)


def _spent(
    site: site_lib.Site, sent: load.Run | None, duration_s: float
) -> _Spent:
    before = site.control()
    start_s = time.monotonic()
    if sent is None:
        time.sleep(duration_s)
    else:
        sent.run()
    span_s = time.monotonic() - start_s
    after = site.control()
    return _Spent(
        (after.messages - before.messages) / span_s,
        (after.size_bytes - before.size_bytes) / span_s,
        (after.processor_s - before.processor_s) / span_s,
        (after.platform_calls - before.platform_calls) / span_s,
        span_s,
    )
