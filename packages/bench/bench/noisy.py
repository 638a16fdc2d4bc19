"""What a customer at several times its rate does to the others.

Two phases on one deployment: all within their rates, and one large customer
at several times its own.
"""

from typing import NamedTuple

from bench import load
from bench import site as site_lib


class Phase(NamedTuple):
    """What callers saw in one phase.

    Attributes:
        others: All customers but the loud one.
        loud: The customer that is noisy in the second phase.
        worst_served_ratio: The least part of its requests that one of the
            others had answered.
        worst_first_token_ms: The slowest of the others, by percentile.
        vms_first_token_ms: What the others saw at 95 in 100, by the VM that
            they came to.
        ideal: Requests of the loud customer that one bucket over the whole
            fleet would have admitted.
        refused_inside: How many fewer were admitted.
    """

    others: load.Seen
    loud: load.Seen
    worst_served_ratio: float
    worst_first_token_ms: dict[str, float]
    vms_first_token_ms: dict[str, float]
    ideal: int
    refused_inside: int


class Noisy(NamedTuple):
    """The two phases and the ratios that count.

    Attributes:
        calm: All customers about within their rates.
        noisy: One customer at several times its rate.
        first_token_ratio: What the others saw, noisy to calm.
        between_tokens_ratio: The same for the time between tokens.
        allowed: What the loud customer's row allows in the noisy phase.
        admitted_ratio: Its answered requests to `allowed`.
    """

    calm: Phase
    noisy: Phase
    first_token_ratio: dict[str, float]
    between_tokens_ratio: dict[str, float]
    allowed: float
    admitted_ratio: float


def run(
    site: site_lib.Site,
    shape: load.Shape,
    duration_s: float,
    seed: int,
    factor: float,
    row_factor: float,
) -> Noisy:
    """Runs the two phases.

    Args:
        site: The deployment.
        shape: Of the requests.
        duration_s: Of each phase.
        seed: Of the arrivals.
        factor: How many times its rate the loud customer sends.
        row_factor: How many times its rate its row allows. With as much as
            `factor` nothing but the queue protects the others.
    """
    loud = site.callers[0]
    row_per_s = loud.rate_per_s * row_factor
    site.set_row(loud.customer, row_per_s, row_per_s)
    louder = loud._replace(rate_per_s=loud.rate_per_s * factor)

    def phase(name: str, first: load.Caller) -> Phase:
        arrivals = load.plan(
            [first, *site.callers[1:]],
            site.addresses,
            shape,
            duration_s,
            seed,
            name,
        )
        return _phase(arrivals, loud.customer, row_per_s)

    calm = phase("calm", loud)
    noisy = phase("noisy", louder)
    allowed = row_per_s * (1 + duration_s)
    return Noisy(
        calm,
        noisy,
        load.ratios(noisy.others.first_token_ms, calm.others.first_token_ms),
        load.ratios(
            noisy.others.between_tokens_ms, calm.others.between_tokens_ms
        ),
        allowed,
        noisy.loud.ok / allowed,
    )


def _phase(arrivals: list[load.Arrival], loud: str, row_per_s: float) -> Phase:
    run = load.Run(arrivals, loud)
    run.run()
    seen = {name: part.seen() for name, part in run.customers.items()}
    mine = seen.pop(loud)
    ideal = load.admitted_by_one_bucket(arrivals, loud, row_per_s, row_per_s)
    return Phase(
        run.others.seen(),
        mine,
        min(part.ok / part.requests for part in seen.values()),
        _worst([part.first_token_ms for part in seen.values()]),
        {
            address: part.seen().first_token_ms["p95"]
            for address, part in sorted(run.vms.items())
        },
        ideal,
        max(0, ideal - mine.ok),
    )


def _worst(percentiles: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: max(one[name] for one in percentiles) for name in percentiles[0]
    }
