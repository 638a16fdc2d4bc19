"""Measures online requests without batch work, and the cost of control."""

import time
from typing import NamedTuple

from bench import load
from bench import site as site_lib
from bench import spent


class Online(NamedTuple):
    """The figures of one run.

    Attributes:
        seen: Outcomes and latencies of the requests.
        messages_per_request: Messages between VMs per request, less those of
            the idle phase.
        bytes_per_request: Size of these messages without frames and headers.
        idle_messages_per_s: Messages per second that a VM sends when idle.
        idle_bytes_per_s: Size of these messages without frames and headers.
        idle_processor: Fraction of a core that a VM uses when idle.
        processor: Fraction of a core that a VM uses under load.
        platform_calls_per_s: Platform calls of all VMs together, under load.
        prefix_reuse: Fraction of the prompt tokens that engines had cached.
        busiest_engine: Requests of the busiest engine, relative to the mean
            of all engines.
        spent: Processor use of all processes, under load.
    """

    seen: load.Summary
    messages_per_request: float
    bytes_per_request: float
    idle_messages_per_s: float
    idle_bytes_per_s: float
    idle_processor: float
    processor: float
    platform_calls_per_s: float
    prefix_reuse: float
    busiest_engine: float
    spent: spent.ProcessorUse


class _Usage(NamedTuple):
    """What all VMs together use per second, and the measured time."""

    messages_per_s: float
    bytes_per_s: float
    processor: float
    platform_calls_per_s: float
    span_s: float


def run(
    site: site_lib.Site, shape: load.Shape, duration_s: float, seed: int
) -> Online:
    """Measures an idle phase and then a phase under load.

    Args:
        site: The deployment.
        shape: Shape of the requests.
        duration_s: Duration of the phase under load; the idle phase takes
            half of it.
        seed: Seed of the arrivals.
    """
    idle = _measure_usage(site, None, duration_s / 2)
    online_run = load.Run(
        load.plan(site.callers, site.addresses, shape, duration_s, seed)
    )
    before = site.totals_by_engine()
    meter = site.meter()
    loaded = _measure_usage(site, online_run, duration_s)
    processor = meter.read()
    after = site.totals_by_engine()
    summary = online_run.all.summary()
    requests_per_s = summary.requests / loaded.span_s
    vms = len(site.addresses)
    return Online(
        summary,
        (loaded.messages_per_s - idle.messages_per_s) / requests_per_s,
        (loaded.bytes_per_s - idle.bytes_per_s) / requests_per_s,
        idle.messages_per_s / vms,
        idle.bytes_per_s / vms,
        idle.processor / vms,
        loaded.processor / vms,
        loaded.platform_calls_per_s,
        _prefix_reuse(before, after),
        _busiest_to_mean(before, after),
        processor,
    )


def _prefix_reuse(
    before: list[site_lib.EngineTotals], after: list[site_lib.EngineTotals]
) -> float:
    cached = _sum_cached(after) - _sum_cached(before)
    prompts = _sum_prompts(after) - _sum_prompts(before)
    return cached / max(prompts, 1)


def _sum_cached(engines: list[site_lib.EngineTotals]) -> int:
    return sum(engine.cached_tokens for engine in engines)


def _sum_prompts(engines: list[site_lib.EngineTotals]) -> int:
    return sum(engine.prompt_tokens for engine in engines)


def _busiest_to_mean(
    before: list[site_lib.EngineTotals], after: list[site_lib.EngineTotals]
) -> float:
    started = [
        late.started - early.started
        for early, late in zip(before, after, strict=True)
    ]
    return max(started) * len(started) / max(sum(started), 1)


def _measure_usage(
    site: site_lib.Site, online_run: load.Run | None, duration_s: float
) -> _Usage:
    before = site.daemon_totals()
    start_s = time.monotonic()
    if online_run is None:
        time.sleep(duration_s)
    else:
        online_run.run()
    span_s = time.monotonic() - start_s
    after = site.daemon_totals()
    return _Usage(
        (after.messages - before.messages) / span_s,
        (after.size_bytes - before.size_bytes) / span_s,
        (after.processor_s - before.processor_s) / span_s,
        (after.platform_calls - before.platform_calls) / span_s,
        span_s,
    )
