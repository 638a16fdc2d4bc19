"""Checks that repeats stay within what the operators allow.

All is counted over all VMs. The bounds are those of the operators, or stricter
where the gateway holds stricter ones at all times.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from soak import callers as callers_lib
from soak import fleet as fleet_lib
from support import gatewayengine

_DEADLINE = "bulrushdeal-deadline-ms"
_MS_PER_S = 1000
# `max_attempts` of the routes for requests and for batch jobs in the
# configuration of `gatewayscene`.
_MAX_ATTEMPTS = 2
_MAX_ITEM_ATTEMPTS = 3
# The most answers of 500 to an item, in its `max_attempts`, and of 422.
_MAX_FAILURES = 3 * _MAX_ITEM_ATTEMPTS
_MAX_NEVER = 3
# A request that has crashed so many engines may be sent to so many more
# after the time in which VMs must know.
_MAX_CRASHES = 3
_MAX_LATE_RUNS = 3
_SETTLED_S = 3.0
# How much later than the first run and the caller's own deadline a repeat may
# end, and after which time a repeat is late at all.
_DEADLINE_TOLERANCE_S = 0.5


class Disturbance(NamedTuple):
    """A time in which a VM's process or its links were disturbed.

    Attributes:
        vm: The VM; empty for all.
        start_s: When it began, on the monotonic clock.
        end_s: When it ended.
    """

    vm: str
    start_s: float
    end_s: float


def check_max_attempts(
    attempt: callers_lib.Attempt, runs: Sequence[gatewayengine.Run]
) -> Iterable[str]:
    """Checks how many engines ran one attempt."""
    if len(runs) > _MAX_ATTEMPTS:
        yield f"{attempt.attempt_id} ran {len(runs)} times in one attempt"


def check_deadlines(
    attempt: callers_lib.Attempt,
    runs: Sequence[gatewayengine.Run],
    disturbances: Sequence[Disturbance],
) -> Iterable[str]:
    """Checks that no engine was told of more time than was left."""
    ordered = sorted(runs, key=lambda run: run.at_s)
    for run in ordered:
        stated_s = _deadline_s(run)
        if not 0 < stated_s <= callers_lib.DEADLINE_S:
            yield (
                f"{attempt.attempt_id} ran with a deadline of {stated_s} s, "
                f"{callers_lib.DEADLINE_S} s at its caller"
            )
    if not ordered:
        return
    first = ordered[0]
    end_s = max(
        first.at_s + _deadline_s(first), attempt.sent_s + callers_lib.DEADLINE_S
    )
    for run in ordered[1:]:
        excess_s = run.at_s + _deadline_s(run) - end_s
        is_late = run.at_s - first.at_s > _DEADLINE_TOLERANCE_S
        if not is_late or excess_s <= _DEADLINE_TOLERANCE_S:
            continue
        if not _is_disturbed(attempt.vm, first.at_s, run.at_s, disturbances):
            yield f"{attempt.attempt_id} ends {excess_s:.2f} s after its time"


def _deadline_s(run: gatewayengine.Run) -> float:
    """Returns the deadline that a run was sent with; 0 without one."""
    return int(run.headers.get(_DEADLINE, "0")) / _MS_PER_S


def _is_disturbed(
    vm: str, from_s: float, to_s: float, disturbances: Sequence[Disturbance]
) -> bool:
    return any(
        row.vm in (vm, "")
        and row.start_s <= to_s
        and row.end_s + _SETTLED_S >= from_s
        for row in disturbances
    )


def check_poisons(
    fleet: fleet_lib.Fleet,
    callers: callers_lib.Callers,
    runs: Mapping[str, list[gatewayengine.Run]],
) -> Iterable[str]:
    """Checks that a request that crashes engines is stopped at all VMs."""
    for body in fleet.poisons:
        ran_s = sorted(
            run.at_s
            for name, sent in callers.poisons.items()
            if sent == body
            for run in runs.get(name, ())
        )
        if len(ran_s) < _MAX_CRASHES:
            continue
        known_s = ran_s[_MAX_CRASHES - 1] + _SETTLED_S
        late = sum(at_s > known_s for at_s in ran_s)
        if late > _MAX_LATE_RUNS:
            yield f"{body.decode()} ran {len(ran_s)} times, {late} of them late"


def check_answers_500_and_422(
    job: callers_lib.Job, runs: Mapping[str, Sequence[gatewayengine.Run]]
) -> Iterable[str]:
    """Checks that items that fail at each run are stopped at all VMs."""
    for item in job.items:
        statuses = [run.status for run in runs.get(item, ())]
        failures, never = statuses.count(500), statuses.count(422)
        if failures > _MAX_FAILURES or never > _MAX_NEVER:
            yield f"item {item}: {failures} answers of 500, {never} of 422"


def may_be_given_up(runs: Sequence[gatewayengine.Run]) -> bool:
    """Returns whether an item may be given up after these runs."""
    statuses = [run.status for run in runs]
    return statuses.count(500) >= _MAX_ITEM_ATTEMPTS or 422 in statuses
