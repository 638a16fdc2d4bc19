"""Allocation of a service's engine slots to online and batch requests.

One VM leads each service and holds its ledger. Engines have no priorities
and admit requests in the order of arrival, so the ledger puts online
requests ahead of batch items before anything is sent.
"""

from collections.abc import Iterable, Mapping, Sequence
import random

from gateway import records
from gateway.decisions import batchorder
from gateway.decisions import batchpreemption
from gateway.decisions import batchturns
from gateway.decisions import changedengines
from gateway.decisions import coldstarts
from gateway.decisions import enginechoice
from gateway.decisions import enginelimits
from gateway.decisions import enginestates
from gateway.decisions import placefinder
from gateway.decisions import placementfigures
from gateway.decisions import requestcosts
from gateway.decisions import requesters
from gateway.decisions import retryschedule
from gateway.decisions import slotrecords
from gateway.decisions import waitinglines
from gateway.decisions import waitingrequests

# How long a request that could wait at the leader may wait in an engine's
# queue, in seconds: an engine must not idle until a grant has reached the VM.
# In an engine's queue nothing more urgent can overtake it.
_MAX_ENGINE_WAIT_S = 0.02
# Starts of batch items that differ by less count as equal, in seconds.
_BATCH_START_STEP_S = 0.02
# A run this new may be missing from its VM's report, as its grant may still be
# on its way to the VM.
_GRANT_DELIVERY_S = 0.6
# A VM that has not reported for this long is taken to run nothing.
_VM_SILENCE_S = 3.5
# Engines of which nothing is stated but the slots on their entries.
_UNKNOWN_ENGINE = records.Engine(0, 0)


class Ledger:
    """The known runs on the upstreams of one service.

    The ledger is kept in memory only. A VM that becomes leader of a service
    rebuilds it from the reports of the other VMs within a second.

    Args:
        rng: Chooses among equal upstreams.
        states: What the upstreams can take.
    """

    def __init__(
        self,
        rng: random.Random | None = None,
        states: enginestates.EngineStates | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._engines: dict[str, records.Upstream] = {}
        self._has_engine = True
        self._runs: dict[str, slotrecords.Run] = {}
        self._last_report_s: dict[str, float] = {}
        self._states = states or enginestates.EngineStates()
        self._choice = enginechoice.EngineChoice(self._rng)
        self._batch = batchpreemption.BatchRuns()
        self._limits = enginelimits.EngineLimits()
        self._waiting = batchorder.WaitingItems()
        self._turns = batchturns.BatchTurns()
        self._retry_schedule = retryschedule.RetrySchedule()
        self._line = waitingrequests.WaitingRequests(self._rng)
        self._answers: list[slotrecords.Answer] = []
        self._changed = changedengines.ChangedEngines()
        self._places = placefinder.PlaceFinder(
            self._states,
            self._choice,
            self._batch,
            self._limits,
            self._preemption_victims,
            lambda run: self._runs[run].instance,
        )
        # The waiting request that memory is kept free for.
        self._starving = ""

    def set_engines(
        self,
        engines: Iterable[records.Upstream],
        cold_start: coldstarts.ColdStart | None = None,
        engine: records.Engine | None = _UNKNOWN_ENGINE,
    ) -> None:
        """Replaces the set of upstreams that may get requests.

        Args:
            engines: The upstreams.
            cold_start: Their cold start; `None` if they have none. Any of them
                may have restarted unseen.
            engine: The capacity of each engine; `None` if the upstreams are
                no engines.
        """
        self._engines = {row.instance: row for row in engines}
        self._has_engine = engine is not None
        self._states.set_engines(self._engines.values(), engine)
        self._choice.set_engines(self._engines)
        self._limits.configure(self._engines, cold_start)
        self._changed.set_engines(self._engines)
        self._places.set_engines(self._engines, has_engine=self._has_engine)

    def take_online(
        self,
        run: str,
        vm: str,
        now_s: float,
        *,
        target_s: float,
        excluded: Iterable[str] = (),
        domain: str = "",
        cost: requestcosts.RequestCost = requestcosts.UNKNOWN,
        requester: requesters.Requester = requesters.UNKNOWN,
    ) -> slotrecords.Grant | slotrecords.Refusal:
        """Grants a slot to an online request, lets it wait, or refuses it.

        The request gets a free slot where there is memory for it; else the
        room of batch runs, which are preempted; else a place in an engine's
        queue if its answer can still be on time. A longer queue would make
        every answer late, so the request is refused and told to retry when
        there is room for it. Upstreams that are no engines have long queues of
        their own, so nothing is refused there.

        A request with patience waits in the ledger's line in place of an
        engine's queue, where the most urgent goes first; see `pop_answers`.

        Args:
            run: The unique name of the run.
            vm: The VM that sends the request.
            now_s: The current time by the monotonic clock.
            target_s: The target latency of the answer, in seconds.
            excluded: Engines that must not be used.
            domain: The failure domain of the VM; empty for no preference.
            cost: What the request costs.
            requester: Who sends the request, and its patience.
        """
        need = self._states.need(cost)
        if not self._states.memory.can_fit(need.memory):
            return slotrecords.Refusal(
                0.0, slotrecords.Occupancy(0, 0), is_too_large=True
            )
        request = waitingrequests.Request(
            run,
            vm,
            now_s,
            requesters.bounded_s(target_s),
            frozenset(excluded),
            domain,
            cost,
            requester,
        )
        self._line.remove(run)
        self._line.shares.set_weight(
            requester.customer, requester.rate_per_s, now_s
        )
        may_wait = self._has_engine and requester.wait_s > 0
        if may_wait:
            self._drain(now_s)
        choices = self._places.candidates(request.excluded, need, now_s)
        if not choices:
            return self._refuse_without_choice(request.excluded, now_s)
        place = self._places.find(request, choices, need, now_s)
        if may_wait:
            return self._grant_or_wait(request, place, choices, need, now_s)
        max_wait_s = waitingrequests.START_SHARE * request.target_s
        if not self._has_engine or place.begins_within(max_wait_s):
            return self._grant_place(request, place, now_s)
        return self._refuse(choices, place.queued, need, now_s)

    def pop_answers(self, now_s: float) -> tuple[slotrecords.Answer, ...]:
        """Grants what has room now to waiting requests.

        To be called after all other changes of the ledger.

        Returns:
            What became of requests that waited, each once.
        """
        self._drain(now_s)
        answers, self._answers = tuple(self._answers), []
        return answers

    def waiting_count(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._line)

    def take_batch(
        self,
        vm: str,
        runs: Sequence[slotrecords.BatchRun],
        now_s: float,
        excluded: Iterable[str] = (),
    ) -> tuple[str, ...]:
        """Grants free slots to batch items of a VM.

        Slots are left for waiting items of other VMs that rank higher.

        Args:
            vm: The VM that runs the items.
            runs: The items in the order of their rank.
            now_s: The current time by the monotonic clock.
            excluded: Engines that must not be used.

        Returns:
            The engines for the first items of `runs`, in order; empty for an
            item that is too large for any engine, or has to wait for memory.
            Items behind one that finds no slot are left out.
        """
        # Batch items get nothing that a waiting request fits.
        self._drain(now_s)
        left_out = frozenset(excluded)
        engines: list[str] = []
        for row in runs:
            need = self._states.need(row.cost)
            if not self._states.memory.can_fit(need.memory):
                engines.append("")
                continue
            choice = self._batch_choice(vm, row, need, left_out, now_s)
            if choice is not None:
                held = slotrecords.Run(
                    vm, "", now_s, row.priority, cost=row.cost
                )
                engines.append(self._grant(row.run, held, choice).instance)
                self._turns.end(need.memory.tokens, choice.row.instance)
                continue
            if not self._wait_for_memory(vm, row, need, left_out, now_s):
                break
            engines.append("")
        # An item that waits for memory needs none of the slots that are free;
        # an engine makes room for the first of them.
        unplaced = [
            batchorder.rank(row.priority) for row in runs[len(engines) :]
        ]
        self._waiting.replace(vm, unplaced, left_out, now_s)
        return tuple(engines)

    def _wait_for_memory(
        self,
        vm: str,
        row: slotrecords.BatchRun,
        need: enginestates.Need,
        left_out: frozenset[str],
        now_s: float,
    ) -> bool:
        """Has an engine make room for an item that finds a slot, no memory.

        Returns:
            Whether that is what the item waits for.
        """
        with_slot = [
            choice
            for choice in self._places.candidates(left_out, need, now_s)
            if not choice.has_room and choice.load <= choice.row.slots - 1
        ]
        if not with_slot:
            return False
        best = max(
            with_slot,
            key=lambda choice: self._states.memory.left_tokens(
                choice.row.instance
            ),
        )
        rank = batchorder.rank(row.priority)
        instance, tokens = best.row.instance, need.memory.tokens
        self._turns.wait(vm, rank, tokens, instance, now_s)
        return True

    def release(
        self,
        run: str,
        now_s: float,
        *,
        outcome: slotrecords.Outcome = "unknown",
        first_event_s: float = 0.0,
    ) -> None:
        """Frees the slot of a run, or ends its wait for one.

        Args:
            run: The run's name.
            now_s: The current time by the monotonic clock.
            outcome: How the run ended.
            first_event_s: From the grant to the first event, in seconds; 0 if
                unknown.
        """
        self._line.remove(run)
        held = self._runs.pop(run, None)
        if held is None:
            return
        if held.priority is None:
            used_s = now_s - held.since_s - held.charged_s
            self._line.shares.charge(held.customer, used_s, now_s)
        if outcome == "ok":
            self._states.record_success(run, now_s, first_event_s)
        self._states.remove(run, now_s)
        self._changed.record(held.instance)
        self._batch.remove(run, held.instance)
        if outcome == "ok":
            self._limits.record_outcome(held.instance, now_s, has_failed=False)
        elif outcome == "failed" and not held.is_silent:
            self._limits.record_outcome(held.instance, now_s, has_failed=True)

    def report(
        self, vm: str, rows: Iterable[slotrecords.ReportRow], now_s: float
    ) -> None:
        """Replaces the runs of a VM by those that it reports.

        A release may be lost with its connection, and a new leader starts
        with an empty ledger. Without reports slots would stay taken forever,
        or count as free while they are in use.
        """
        self._last_report_s[vm] = now_s
        reported = {row.run: row for row in rows}
        for run, held in list(self._runs.items()):
            is_new = now_s - held.since_s < _GRANT_DELIVERY_S
            if held.vm == vm and run not in reported and not is_new:
                self.release(run, now_s)
        waiting = {row.run for row in reported.values() if row.waiting}
        self._line.retain(vm, waiting, now_s - _GRANT_DELIVERY_S)
        for run, row in reported.items():
            if row.waiting is not None:
                self._report_waiting(vm, row, row.waiting, now_s)
                continue
            known = self._runs.get(run)
            if known is not None and known.instance != row.instance:
                # The grant came too late, and the VM chose by itself.
                self.release(run, now_s)
            if run not in self._runs:
                self._line.remove(run)
                held = self._charged(
                    slotrecords.Run(
                        vm, row.instance, now_s, row.priority, cost=row.cost
                    ),
                    row.requester,
                    now_s,
                )
                self._states.learn_of(
                    run,
                    row.instance,
                    row.cost,
                    now_s,
                    is_batch=row.priority is not None,
                )
                self._add(run, held)
            if row.is_silent and not self._runs[run].is_silent:
                # The run may wait for seconds before it ends as failed, so
                # the failure is counted now.
                self._runs[run] = self._runs[run]._replace(is_silent=True)
                self._limits.record_outcome(
                    row.instance, now_s, has_failed=True
                )

    def record_load(self, load: slotrecords.Load, now_s: float) -> None:
        """Records the load and pace that an engine reports."""
        self._states.loads.record(load.instance, load.busy, now_s)
        self._changed.record(load.instance)
        if load.pace > 0:
            self._states.paces.record_report(load.instance, load.pace, now_s)

    def record_began(self, run: str, now_s: float) -> None:
        """Records that the prompt of a run has been read."""
        self._states.record_read(run, now_s)

    def expire(self, now_s: float) -> None:
        """Drops the runs and waiting requests of VMs that are silent."""
        for run, held in list(self._runs.items()):
            if self._is_silent(held.vm, held.since_s, now_s):
                self.release(run, now_s)
        self._line.expire(
            lambda row: self._is_silent(row.vm, row.since_s, now_s), now_s
        )

    def _is_silent(self, vm: str, since_s: float, now_s: float) -> bool:
        """Returns whether a VM has not reported since a given time or later."""
        last_report_s = self._last_report_s.get(vm, since_s)
        return now_s - max(last_report_s, since_s) > _VM_SILENCE_S

    def counts(self) -> Mapping[str, int]:
        """Returns the number of known runs of each engine that has any."""
        return self._states.loads.counts()

    def engine_states(
        self, now_s: float
    ) -> Mapping[str, placementfigures.EngineState]:
        """Returns what is known of each engine, for metrics."""
        return {name: self._states.state(name, now_s) for name in self._engines}

    def _grant_or_wait(
        self,
        request: waitingrequests.Request,
        place: placefinder.Place,
        choices: Sequence[enginechoice.Candidate],
        need: enginestates.Need,
        now_s: float,
    ) -> slotrecords.Grant | slotrecords.Refusal:
        """Grants a place, lets the request wait, or refuses it.

        A place is granted at once only if no waiting request fits it.
        """
        has_place = place.begins_within(_MAX_ENGINE_WAIT_S)
        if has_place and not len(self._line):
            return self._grant_place(request, place, now_s)
        run_s = self._states.run_times.run_s(request.cost)
        refusal = self._refusal(choices, request)
        if has_place:
            self._line.add(request, run_s, now_s)
            self._changed.record(place.choice.row.instance)
            self._drain(now_s)
            granted = self._pop_answer(request.run)
            if granted is not None or request.run in self._line:
                return granted or refusal
            # The line is full.
            return refusal._replace(wait_s=0.0)
        mean_s = self._states.run_times.mean_run_s
        slots = refusal.occupancy.slots
        rooms = waitinglines.Rooms(slots, place.choice.wait_s, mean_s / slots)
        decision = self._line.admit(request, run_s, rooms, now_s)
        if isinstance(decision, waitinglines.Refusal):
            wait_s = self._places.reserve(place.queued, need, now_s)
            if wait_s is None:
                wait_s = decision.retry_after_s
            return refusal._replace(retry_after_s=wait_s, wait_s=0.0)
        displaced = decision.displaced
        if displaced is not None:
            gone = self._refusal(choices, displaced)._replace(wait_s=0.0)
            self._answers.append(
                slotrecords.Answer(displaced.vm, displaced.run, gone)
            )
        return refusal

    def _refusal(
        self,
        choices: Iterable[enginechoice.Candidate],
        request: waitingrequests.Request,
    ) -> slotrecords.Refusal:
        """Returns the answer to a request that waits, or did so."""
        return slotrecords.Refusal(
            placefinder.MIN_RETRY_S * self._rng.uniform(1.0, 2.0),
            _occupancy(choices),
            wait_s=request.requester.wait_s,
            share_used=self._line.shares.fill(request.requester.customer),
        )

    def _pop_answer(
        self, run: str
    ) -> slotrecords.Grant | slotrecords.Refusal | None:
        for index, answer in enumerate(self._answers):
            if answer.run == run:
                return self._answers.pop(index).decision
        return None

    def _drain(self, now_s: float) -> None:
        """Grants what has room now to waiting requests in their order."""
        while len(self._line):
            names = self._changed.pop(
                lambda name: self._places.may_have_room(
                    name, now_s, _MAX_ENGINE_WAIT_S
                ),
                now_s,
            )
            places: dict[str, placefinder.Place] = {}

            def fits(
                request: waitingrequests.Request,
                names: Sequence[str] = names,
                places: dict[str, placefinder.Place] = places,
            ) -> bool:
                need = self._states.need(request.cost)
                choices = self._places.candidates(
                    request.excluded, need, now_s, names
                )
                if not choices:
                    return False
                place = self._places.find(request, choices, need, now_s)
                places[request.run] = place
                return place.begins_within(_MAX_ENGINE_WAIT_S)

            request = self._line.next(fits, now_s) if names else None
            if request is None:
                break
            grant = self._grant_place(request, places[request.run], now_s)
            self._answers.append(
                slotrecords.Answer(request.vm, request.run, grant)
            )
            self._changed.record(grant.instance)
        self._keep_free_for_starving(now_s)

    def _keep_free_for_starving(self, now_s: float) -> None:
        """Reserves memory for a request that smaller ones have passed."""
        request = self._line.starving()
        if request is None or request.run == self._starving:
            return
        self._starving = request.run
        need = self._states.need(request.cost)
        choices = self._places.candidates(request.excluded, need, now_s)
        if choices:
            place = self._places.find(request, choices, need, now_s)
            self._places.reserve(place.queued, need, now_s)

    def _report_waiting(
        self,
        vm: str,
        row: slotrecords.ReportRow,
        waiting: slotrecords.WaitingState,
        now_s: float,
    ) -> None:
        """Takes in a waiting request, or repeats a grant that was lost."""
        held = self._runs.get(row.run)
        if held is not None:
            if now_s - held.since_s >= _GRANT_DELIVERY_S:
                self._answers.append(
                    slotrecords.Answer(
                        vm, row.run, slotrecords.Grant(held.instance)
                    )
                )
            return
        request = waitingrequests.Request(
            row.run,
            vm,
            now_s - requesters.bounded_s(waiting.waited_s),
            requesters.bounded_s(waiting.target_s),
            frozenset(waiting.excluded),
            waiting.domain,
            row.cost,
            row.requester,
        )
        run_s = self._states.run_times.run_s(row.cost)
        self._line.add(request, run_s, now_s)

    def _preemption_victims(
        self,
        choices: Iterable[enginechoice.Candidate],
        need: enginestates.Need,
        wishes: enginechoice.Wishes,
    ) -> tuple[str, ...]:
        """Returns the batch runs to preempt; empty if that makes no room."""
        return self._batch.victims(
            choices,
            wishes.domain,
            lambda choice, ended: self._states.has_room(choice, need, ended),
            lambda rows: enginechoice.earliest(rows, wishes),
        )

    def _grant_place(
        self,
        request: waitingrequests.Request,
        place: placefinder.Place,
        now_s: float,
    ) -> slotrecords.Grant:
        for victim in place.victims:
            self.release(victim, now_s)
        held = self._charged(
            slotrecords.Run(request.vm, "", now_s, cost=request.cost),
            request.requester,
            now_s,
            place.choice,
        )
        grant = self._grant(request.run, held, place.choice)
        return grant._replace(preempted=place.victims)

    def _charged(
        self,
        held: slotrecords.Run,
        requester: requesters.Requester,
        now_s: float,
        choice: enginechoice.Candidate | None = None,
    ) -> slotrecords.Run:
        """Charges the customer of an online run with its expected duration."""
        if held.priority is not None:
            return held
        unread_tokens = 0 if choice is None else choice.unread_tokens
        run_s = self._states.run_times.run_s(held.cost, unread_tokens)
        run_s *= 1.0 if choice is None else choice.pace
        self._line.shares.charge(requester.customer, run_s, now_s)
        return held._replace(customer=requester.customer, charged_s=run_s)

    def _refuse_without_choice(
        self, left_out: frozenset[str], now_s: float
    ) -> slotrecords.Refusal:
        names = self._engines.keys() - left_out
        rows = [self._engines[name] for name in names]
        run_s = self._states.run_times.mean_run_s
        wait_s = self._limits.wait_s(rows, run_s, now_s)
        return slotrecords.Refusal(
            max(placefinder.MIN_RETRY_S, wait_s), slotrecords.Occupancy(0, 0)
        )

    def _refuse(
        self,
        choices: Iterable[enginechoice.Candidate],
        queued: Sequence[enginechoice.Candidate],
        need: enginestates.Need,
        now_s: float,
    ) -> slotrecords.Refusal:
        factor = self._rng.uniform(1.0, 1.5)
        occupancy = _occupancy(choices)
        wait_s = self._places.reserve(queued, need, now_s, factor)
        if wait_s is not None:
            return slotrecords.Refusal(wait_s, occupancy)
        soonest_s = min(choice.wait_s for choice in queued)
        wait_s = max(placefinder.MIN_RETRY_S, soonest_s) * factor
        slot_interval_s = self._states.run_times.mean_run_s / occupancy.slots
        reserved_s = self._retry_schedule.reserve(now_s, slot_interval_s)
        return slotrecords.Refusal(max(wait_s, reserved_s), occupancy)

    def _batch_choice(
        self,
        vm: str,
        row: slotrecords.BatchRun,
        need: enginestates.Need,
        left_out: frozenset[str],
        now_s: float,
    ) -> enginechoice.Candidate | None:
        """Returns the engine for a batch item; `None` if it has to wait."""
        choices = self._places.candidates(left_out, need, now_s)
        own_rank = batchorder.rank(row.priority)
        free = [
            choice
            for choice in choices
            if choice.has_room
            and not self._turns.is_barred(
                own_rank, need.memory.tokens, choice.row.instance, now_s
            )
        ]
        if not free:
            return None
        free_slots = sum(int(choice.row.slots - choice.load) for choice in free)
        names = frozenset(choice.row.instance for choice in free)
        if free_slots <= self._waiting.count_ahead(vm, own_rank, names, now_s):
            return None
        wishes = enginechoice.Wishes(
            vm,
            "",
            _BATCH_START_STEP_S,
            self._states.affinity(row.cost, choices),
            is_batch=True,
        )
        return self._choice.best(free, wishes)

    def _grant(
        self, run: str, held: slotrecords.Run, choice: enginechoice.Candidate
    ) -> slotrecords.Grant:
        """Grants a place on an engine, in its queue if it has no room."""
        instance, now_s = choice.row.instance, held.since_s
        self.release(run, now_s)
        figures = self._states.grant(
            run, choice, held.cost, now_s, held.priority
        )
        self._add(run, held._replace(instance=instance))
        self._limits.record_start(instance, now_s)
        return slotrecords.Grant(
            instance, is_queued=not choice.has_room, figures=figures
        )

    def _add(self, run: str, held: slotrecords.Run) -> None:
        self._runs[run] = held
        if held.priority is not None:
            self._batch.add(run, held.instance, held.priority, held.since_s)


def _occupancy(
    choices: Iterable[enginechoice.Candidate],
) -> slotrecords.Occupancy:
    rows = tuple(choices)
    taken = sum(row.load for row in rows)
    return slotrecords.Occupancy(
        round(taken, 1), sum(row.row.slots for row in rows)
    )
