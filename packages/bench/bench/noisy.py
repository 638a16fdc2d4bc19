"""What a customer at several times its rate does to the others.

Two phases on one deployment: all within their rates, and one large customer
at several times its own.
"""

from typing import NamedTuple

from bench import load
from bench import site as site_lib


class Noisy(NamedTuple):
    """The two phases and the ratios that count.

    Attributes:
        calm: What the other customers saw, by name, when all kept to theirs.
        noisy: The same while one sent several times its rate.
        worst_first_token_ratio: The worst of the others, noisy to calm, at
            the 95th percentile.
        worst_served_ratio: The least part of its requests that one of the
            others had answered while it was noisy.
        admitted: Requests of the noisy customer that were answered.
        allowed: What its row allows in that time.
        admitted_ratio: `admitted` to `allowed`.
    """

    calm: dict[str, load.Seen]
    noisy: dict[str, load.Seen]
    worst_first_token_ratio: float
    worst_served_ratio: float
    admitted: int
    allowed: float
    admitted_ratio: float


def run(
    site: site_lib.Site,
    shape: load.Shape,
    duration_s: float,
    seed: int,
    factor: float,
) -> Noisy:
    """Runs the two phases."""
    loud = site.callers[0]
    burst = loud.rate_per_s
    site.set_row(loud.customer, loud.rate_per_s, burst)
    calm = _seen(site, site.callers, shape, duration_s, seed, "calm")
    louder = loud._replace(rate_per_s=loud.rate_per_s * factor)
    callers = [louder, *site.callers[1:]]
    noisy = _seen(site, callers, shape, duration_s, seed, "noisy")
    others = [caller.customer for caller in site.callers[1:]]
    allowed = burst + loud.rate_per_s * duration_s
    admitted = noisy[loud.customer].ok
    return Noisy(
        calm,
        noisy,
        max(
            noisy[name].first_token_ms["p95"]
            / max(calm[name].first_token_ms["p95"], 0.001)
            for name in others
        ),
        min(noisy[name].ok / noisy[name].requests for name in others),
        admitted,
        allowed,
        admitted / allowed,
    )


def _seen(
    site: site_lib.Site,
    callers: list[load.Caller],
    shape: load.Shape,
    duration_s: float,
    seed: int,
    phase: str,
) -> dict[str, load.Seen]:
    run = load.Run(
        load.plan(callers, site.addresses, shape, duration_s, seed, phase)
    )
    run.run()
    return {name: recorder.seen() for name, recorder in run.customers.items()}
