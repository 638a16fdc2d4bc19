"""Finds the places of requests on the upstreams of one service.

A place is an engine with room, an engine whose batch runs are preempted, or the
queue of an engine, in this order.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from gateway import records
from gateway.decisions import batchpreemption
from gateway.decisions import enginechoice
from gateway.decisions import enginelimits
from gateway.decisions import enginestates
from gateway.decisions import waitingrequests

Victims = Callable[
    [
        Iterable[enginechoice.Candidate],
        enginestates.Need,
        enginechoice.Wishes,
    ],
    tuple[str, ...],
]
# Starts that differ by less than this share of the target count as equal.
_START_STEP_SHARE = 0.05
# Engines at which memory for a large request may be reserved.
_MAX_RESERVATION_TRIES = 2
# The least retry time of refusals, in seconds.
MIN_RETRY_S = 0.15


class Place(NamedTuple):
    """Where a request can go.

    Attributes:
        choice: The engine; without `has_room` the request waits in its queue.
        victims: The batch runs to preempt there.
        queued: Engines with the times until they have room; empty if `choice`
            has room.
    """

    choice: enginechoice.Candidate
    victims: tuple[str, ...] = ()
    queued: tuple[enginechoice.Candidate, ...] = ()

    def begins_within(self, wait_s: float) -> bool:
        """Returns whether the request waits no longer than this there."""
        return self.choice.has_room or self.choice.wait_s <= wait_s


class PlaceFinder:
    """Chooses among the upstreams of one service.

    Args:
        states: What the upstreams can take.
        choice: Chooses among equal upstreams.
        batch: The batch runs.
        limits: What new or failing upstreams may get.
        victims: Returns the batch runs to preempt on one of some engines.
        instance_of: Returns the engine of a batch run.
    """

    def __init__(
        self,
        states: enginestates.EngineStates,
        choice: enginechoice.EngineChoice,
        batch: batchpreemption.BatchRuns,
        limits: enginelimits.EngineLimits,
        victims: Victims,
        instance_of: Callable[[str], str],
    ) -> None:
        self._states = states
        self._choice = choice
        self._batch = batch
        self._limits = limits
        self._victims = victims
        self._instance_of = instance_of
        self._engines: Mapping[str, records.Upstream] = {}
        self._has_engine = True

    def set_engines(
        self, engines: Mapping[str, records.Upstream], *, has_engine: bool
    ) -> None:
        """Replaces the upstreams.

        Args:
            engines: The upstreams by name.
            has_engine: Whether they are engines.
        """
        self._engines = engines
        self._has_engine = has_engine

    def candidates(
        self,
        left_out: frozenset[str],
        need: enginestates.Need,
        now_s: float,
        names: Iterable[str] | None = None,
    ) -> list[enginechoice.Candidate]:
        """Returns the engines that may get a request.

        Args:
            left_out: Engines that must not be used.
            need: What the request needs.
            now_s: The current time by the monotonic clock.
            names: The engines to choose from; `None` for all.
        """
        run_s = self._states.run_times.mean_run_s
        known, allows = self._states.loads.known, self._limits.allows
        engines = self._engines
        rows = (
            engines[name]
            for name in (engines if names is None else names)
            if name not in left_out
            and allows(engines[name], known(name), run_s, now_s)
        )
        return self._states.candidates(rows, need, now_s)

    def find(
        self,
        request: waitingrequests.Request,
        choices: Sequence[enginechoice.Candidate],
        need: enginestates.Need,
        now_s: float,
    ) -> Place:
        """Returns the best place for a request.

        Args:
            request: The request.
            choices: The engines that it may use, at least one.
            need: What it needs.
            now_s: The current time by the monotonic clock.
        """
        wishes = enginechoice.Wishes(
            request.vm,
            request.domain,
            request.target_s * _START_STEP_SHARE,
            self._states.affinity(request.cost, choices),
        )
        free = [choice for choice in choices if choice.has_room]
        earlier = _earlier(choices, free, wishes.start_step_s)
        victims = self._victims(earlier, need, wishes)
        if free and not victims:
            return Place(self._choice.best(free, wishes))
        if victims:
            instance = self._instance_of(victims[0])
            choice = next(
                row for row in choices if row.row.instance == instance
            )
            return Place(choice._replace(has_room=True), victims)
        if self._has_engine:
            wishes = wishes._replace(domain="")
        queued = self._states.queued(choices, need, now_s, wishes.start_step_s)
        best = self._choice.best(queued, wishes)
        return Place(best, queued=tuple(queued))

    def may_have_room(self, name: str, now_s: float, max_wait_s: float) -> bool:
        """Returns whether an engine may have room for some request.

        Args:
            name: The engine.
            now_s: The current time by the monotonic clock.
            max_wait_s: How long the request may wait in the engine's queue.
        """
        load = self._states.loads.estimate(name, now_s)
        slots = self._engines[name].slots
        if load <= slots - 1 or self._batch.has_runs(name):
            return True
        wait_s = self._states.min_wait_s(name, now_s)
        return load <= slots and wait_s <= max_wait_s

    def reserve(
        self,
        queued: Iterable[enginechoice.Candidate],
        need: enginestates.Need,
        now_s: float,
        factor: float = 1.0,
    ) -> float | None:
        """Reserves memory for a large request until an engine has room.

        Args:
            queued: Engines with the times until they have room.
            need: What the request needs.
            now_s: The current time by the monotonic clock.
            factor: By how much the times are lengthened.

        Returns:
            The time until then, in seconds; `None` if none was reserved.
        """
        soonest = sorted(queued, key=lambda choice: choice.wait_s)
        for choice in soonest[:_MAX_RESERVATION_TRIES]:
            wait_s = max(MIN_RETRY_S, choice.wait_s) * factor
            if self._states.reserve(choice, need, wait_s, now_s):
                return wait_s
        return None


def _earlier(
    choices: Sequence[enginechoice.Candidate],
    free: Sequence[enginechoice.Candidate],
    step_s: float,
) -> Sequence[enginechoice.Candidate]:
    """Returns the engines that would start a request before those with room.

    An engine may have its prompt cached, and be full of batch items that can
    run elsewhere. Without engines with room these are all.
    """
    first_s = min((row.start_s for row in free), default=float("inf"))
    return [
        row
        for row in choices
        if not row.has_room and row.start_s + step_s < first_s
    ]
