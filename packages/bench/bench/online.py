"""Online requests alone: what callers see, and what control costs."""

import time
from typing import NamedTuple

from bench import load
from bench import site as site_lib


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
    """

    seen: load.Seen
    messages_per_request: float
    bytes_per_request: float
    idle_messages_per_s: float
    idle_bytes_per_s: float
    idle_processor: float
    processor: float
    platform_calls_per_s: float


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
    loaded = _spent(site, sent, duration_s)
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
    )


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
