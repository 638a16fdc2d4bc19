"""Checks what callers got against what upstreams ran."""

import collections
from collections.abc import Iterable, Mapping
import re

from soak import callers as callers_lib
from soak import fleet as fleet_lib
from support import gatewayengine

# Statuses that promise that a request did not run and never will.
_PROMISES = (429, 503, 408, 421)
_WINDOW_S = 5.0
# (5 a second x 5 s + 5 at once) x 1.1 + 20, as the operators tolerate.
_MOST_IN_WINDOW = 53
# A withdrawn key: 2 s to be in force, 5 s more while the store is unstable,
# and what a pause of the VM holds up.
_REVOKE_S = 12.0
_EVENT = re.compile(rb"id: (\d+)\ndata: data (\d+)\n\n")
_ATTEMPTS = 3


def check(
    fleet: fleet_lib.Fleet,
    callers: callers_lib.Callers,
    revoked_s: Mapping[str, float],
) -> list[str]:
    """Returns what breaks a promise, a line each."""
    runs: dict[str, list[gatewayengine.Run]] = collections.defaultdict(list)
    for upstream in (*fleet.upstreams, *fleet.past_upstreams):
        for run in list(upstream.engine.runs):
            runs[run.attempt].append(run)
    problems = list(fleet.problems)
    known = {made.attempt for made in callers.attempts}
    known |= {item for job in callers.jobs for item in job.items}
    known |= callers.probes
    problems += [f"{name} ran unasked" for name in runs.keys() - known]
    for made in callers.attempts:
        problems += _check_attempt(made, runs.get(made.attempt, []), revoked_s)
    for job in callers.jobs:
        problems += _check_job(job, runs)
    problems += _check_rate(callers, runs)
    return problems


def _check_attempt(
    made: callers_lib.Attempt,
    runs: list[gatewayengine.Run],
    revoked_s: Mapping[str, float],
) -> Iterable[str]:
    name = f"{made.attempt} ({made.kind}, {made.status})"
    if made.kind in ("unsafe", "once"):
        if len(runs) > 1:
            yield f"{name} ran {len(runs)} times"
        if runs and made.status in _PROMISES:
            yield f"{name} ran though it was refused"
    if runs and made.key == "wrong":
        yield f"{name} ran for a key that never was"
    if runs and made.sent_s > revoked_s.get(made.key, 1e18) + _REVOKE_S:
        yield f"{name} ran for a key withdrawn long ago"
    customer = "limited" if made.key == "key-limited" else "school"
    for run in runs:
        if run.body != made.body or not run.path.endswith(made.attempt):
            yield f"{name} ran as {run.path} with another body"
        if run.headers.get("bulrushdeal-tenant") != customer:
            yield f"{name} ran for another customer"
        if "bulrushdeal-credential" in run.headers:
            yield f"{name} ran with its key"
    if made.status == 200:
        yield from _check_success(name, made)
    if made.status in (401, 404) and made.key in ("key-0", "key-limited"):
        yield f"{name} was denied"


def _check_success(name: str, made: callers_lib.Attempt) -> Iterable[str]:
    if not made.signed or made.echoed != made.attempt:
        yield f"{name} got an answer that is not its own"
    if made.kind in ("safe", "unsafe"):
        expected = f"answer to /{made.kind}/{made.attempt}".encode()
        if made.is_whole and made.answer != expected:
            yield f"{name} got {made.answer!r}"
        return
    found = [int(number) for number, _ in _EVENT.findall(made.answer)]
    if found != list(range(1, len(found) + 1)):
        yield f"{name} got events {found}"
    if made.is_whole and len(found) != fleet_lib.EVENTS:
        yield f"{name} ends as whole after {len(found)} events"


def _check_job(
    job: callers_lib.Job, runs: Mapping[str, list[gatewayengine.Run]]
) -> Iterable[str]:
    yield from job.problems
    if not job.accepted_s:
        ran = [item for item in job.items if item in runs]
        if ran and all(status in _PROMISES for status in job.statuses):
            yield f"job {job.job} was refused and ran"
        return
    names = [row["id"] for row in job.rows.values()]
    if len(set(names)) != len(names) or not set(names) <= set(job.items):
        yield f"job {job.job} lists {names}"
    missing = set(job.items) - set(names)
    if missing and not job.ended_s:
        yield f"job {job.job} misses {sorted(missing)}"
    output = "\n".join(f"data {n + 1}" for n in range(fleet_lib.EVENTS))
    for row in job.rows.values():
        if row["state"] == "completed" and row["output"] != output:
            yield f"item {row['id']} has another output"
        given_up = len(runs.get(row["id"], ())) >= _ATTEMPTS
        if row["state"] == "errored" and not given_up and not job.ended_s:
            yield f"item {row['id']} was given up early"
    if job.ended_s:
        late = [
            item
            for item in job.items
            for run in runs.get(item, ())
            if run.at_s > job.ended_s + _REVOKE_S / 2
        ]
        if late:
            yield f"job {job.job} was ended and runs {late}"


def _check_rate(
    callers: callers_lib.Callers,
    runs: Mapping[str, list[gatewayengine.Run]],
) -> Iterable[str]:
    spans = sorted(
        (made.sent_s, runs[made.attempt][0].at_s)
        for made in callers.attempts
        if made.key == "key-limited" and runs.get(made.attempt)
    )
    for sent_s, _ in spans:
        end_s = sent_s + _WINDOW_S
        count = sum(sent_s <= a_s and b_s <= end_s for a_s, b_s in spans)
        if count > _MOST_IN_WINDOW:
            yield f"{count} requests of one customer in {_WINDOW_S} s"
            return
