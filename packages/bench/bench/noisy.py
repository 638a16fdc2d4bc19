"""Measures how a customer that exceeds its rate affects the others.

Runs two phases on one deployment: first all customers send at their rates,
then one large customer, the noisy one, sends at several times its rate.
"""

from typing import NamedTuple

from bench import load
from bench import site as site_lib


class Phase(NamedTuple):
    """The figures of one phase.

    Attributes:
        others: All customers but the noisy one.
        loud: The noisy customer.
        worst_served_ratio: Smallest fraction of answered requests of any of
            the other customers.
        worst_first_token_ms: Longest time to the first token of any of the
            other customers, by percentile.
        vms_first_token_ms: 95th percentile of the other customers' time to
            the first token, by address of the VM.
        ideal: Requests of the noisy customer that a single bucket for the
            whole fleet would have admitted.
        refused_inside: How many fewer were answered.
    """

    others: load.Summary
    loud: load.Summary
    worst_served_ratio: float
    worst_first_token_ms: dict[str, float]
    vms_first_token_ms: dict[str, float]
    ideal: int
    refused_inside: int


class Noisy(NamedTuple):
    """The two phases and the ratios between them.

    Attributes:
        calm: The phase with all customers at their rates.
        noisy: The phase with one customer at several times its rate.
        first_token_ratio: The other customers' time to the first token in
            `noisy`, relative to `calm`, by percentile.
        between_tokens_ratio: The same for the time between tokens.
        allowed: Requests that the noisy customer's row allows in a phase.
        admitted_ratio: Its answered requests in `noisy`, relative to
            `allowed`.
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
        shape: Shape of the requests.
        duration_s: Duration of each phase.
        seed: Seed of the arrivals.
        factor: How many times its rate the noisy customer sends.
        row_factor: How many times its rate the noisy customer's row allows.
            If this equals `factor`, only the queue protects the others.
    """
    at_rate = site.callers[0]
    row_per_s = at_rate.rate_per_s * row_factor
    site.set_row(at_rate.customer, row_per_s, row_per_s)
    above_rate = at_rate._replace(rate_per_s=at_rate.rate_per_s * factor)

    def phase(name: str, first: load.Caller) -> Phase:
        arrivals = load.plan(
            [first, *site.callers[1:]],
            site.addresses,
            shape,
            duration_s,
            seed,
            name,
        )
        return _run_phase(arrivals, at_rate.customer, row_per_s)

    calm = phase("calm", at_rate)
    noisy = phase("noisy", above_rate)
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


def _run_phase(
    arrivals: list[load.Arrival], noisy_customer: str, row_per_s: float
) -> Phase:
    run = load.Run(arrivals, noisy_customer)
    run.run()
    summaries = {
        name: recorder.summary() for name, recorder in run.customers.items()
    }
    noisy_summary = summaries.pop(noisy_customer)
    ideal = load.admitted_by_one_bucket(
        arrivals, noisy_customer, row_per_s, row_per_s
    )
    return Phase(
        run.others.summary(),
        noisy_summary,
        min(part.ok / part.requests for part in summaries.values()),
        _worst([part.first_token_ms for part in summaries.values()]),
        {
            address: recorder.summary().first_token_ms["p95"]
            for address, recorder in sorted(run.vms.items())
        },
        ideal,
        max(0, ideal - noisy_summary.ok),
    )


def _worst(percentiles: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: max(one[name] for one in percentiles) for name in percentiles[0]
    }
