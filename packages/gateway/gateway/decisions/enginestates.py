"""What a service's engines can take, by their known runs.

A prompt of 40,000 tokens fills half of an engine's memory, is read for as long
as hundreds of short ones, and is read at once where it is cached. Slots alone
do not tell which engine can begin it soonest.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from gateway import records
from gateway.decisions import batchorder
from gateway.decisions import enginechoice
from gateway.decisions import engineloads
from gateway.decisions import enginememory
from gateway.decisions import enginestarts
from gateway.decisions import memoryreservations
from gateway.decisions import paces
from gateway.decisions import placementfigures
from gateway.decisions import prefixindex
from gateway.decisions import requestcosts
from gateway.decisions import runtimes

# Runs that waited longer than this for other prompts to be read tell nothing
# about the time that their own work takes.
_MAX_TIMED_WAIT_S = 0.02
# Requests that need more than this multiple of the mean memory have it reserved
# when they are refused; smaller ones find room as it comes free.
_LARGE_RATIO = 1.25
# Of how many engines without room the start is computed, those with the least
# lower bounds. It limits the time that a decision takes.
_MAX_EXACT_STARTS = 16


class _Run(NamedTuple):
    """A run on an engine.

    Attributes:
        instance: The engine.
        since_s: When it was granted, by the monotonic clock.
        cost: What it costs.
        unread_tokens: The tokens of its prompt that the engine had to read.
        pace: The pace of the engine when it was granted.
        is_batch: Whether it is a batch item.
        is_timed: Whether its duration tells how long its work takes.
    """

    instance: str
    since_s: float
    cost: requestcosts.RequestCost
    unread_tokens: int
    pace: float
    is_batch: bool
    is_timed: bool = False


class Need(NamedTuple):
    """What a request needs of an engine.

    Attributes:
        cost: What the request costs.
        memory: The memory that it needs.
    """

    cost: requestcosts.RequestCost
    memory: enginememory.Demand


class EngineStates:
    """The slots, memory, caches and paces of the engines of one service.

    Args:
        run_times: Learns how long runs take.
        upstream_paces: Learns how fast the engines are.
    """

    def __init__(
        self,
        run_times: runtimes.RunTimes | None = None,
        upstream_paces: paces.Paces | None = None,
    ) -> None:
        self.loads = engineloads.EngineLoads()
        self.memory = enginememory.MemoryAccount()
        self.run_times = run_times or runtimes.RunTimes()
        self.paces = upstream_paces or paces.Paces()
        self._prefixes = prefixindex.PrefixIndex()
        self._starts = enginestarts.EngineStarts()
        self._reservations = memoryreservations.MemoryReservations()
        self._runs: dict[str, _Run] = {}
        self._own_tokens: dict[str, int] = {}
        self._slots: dict[str, int] = {}
        self._has_engine = True

    def set_engines(
        self,
        rows: Iterable[records.Upstream],
        engine: records.Engine | None,
    ) -> None:
        """Replaces the set of upstreams.

        Args:
            rows: The upstreams.
            engine: The capacity of each; `None` if they are no engines.
        """
        upstreams = tuple(rows)
        self._slots = {row.instance: row.slots for row in upstreams}
        self._has_engine = engine is not None
        memory_tokens = 0 if engine is None else engine.memory_tokens
        self.memory.set_capacity(memory_tokens)
        self._prefixes.set_engines(upstreams, memory_tokens)
        self.paces.retain(upstreams)

    def need(self, cost: requestcosts.RequestCost) -> Need:
        """Returns what a request needs."""
        return Need(cost, self.memory.demand(cost))

    def candidates(
        self, rows: Iterable[records.Upstream], need: Need, now_s: float
    ) -> list[enginechoice.Candidate]:
        """Returns some engines as a request finds them."""
        if self.memory.is_limited:
            prefills_s: dict[int, float] = {}
            return [
                self._candidate(row, need, prefills_s, now_s) for row in rows
            ]
        found = []
        for row in rows:
            load = self.loads.estimate(row.instance, now_s)
            pace = self.paces.pace(row.instance, now_s)
            has_room = load <= row.slots - 1
            found.append(enginechoice.Candidate(row, load, pace, has_room))
        return found

    def _candidate(
        self,
        row: records.Upstream,
        need: Need,
        prefills_s: dict[int, float],
        now_s: float,
    ) -> enginechoice.Candidate:
        """Returns an engine as a request finds it.

        Args:
            row: The engine.
            need: What the request needs.
            prefills_s: The times in which tokens are read at usual pace, as
                far as they were needed for other engines.
            now_s: The current time by the monotonic clock.
        """
        name, demand, cost = row.instance, need.memory, need.cost
        known = self.loads.known(name)
        load = self.loads.estimate(name, now_s)
        reserved_tokens = self._reservations.tokens_against(
            name, demand.tokens, now_s
        )
        if load > known:
            reserved_tokens += int((load - known) * self.memory.mean_tokens)
        has_room = load <= row.slots - 1 and self.memory.fits(
            name, demand, reserved_tokens
        )
        unread_tokens = cost.input_tokens
        if cost.parts:
            unread_tokens -= self._prefixes.cached_tokens(name, cost)
        if unread_tokens not in prefills_s:
            prefills_s[unread_tokens] = self.run_times.prefill_s(unread_tokens)
        pace = self.paces.pace(name, now_s)
        wait_s = self._starts.reading_s(name, now_s)
        return enginechoice.Candidate(
            row,
            load,
            pace,
            has_room,
            self.memory.fill(name, reserved_tokens) if has_room else 1.0,
            reserved_tokens,
            unread_tokens,
            wait_s,
            wait_s + prefills_s[unread_tokens] * pace,
        )

    def has_room(
        self,
        choice: enginechoice.Candidate,
        need: Need,
        ended: Sequence[str],
    ) -> bool:
        """Returns whether a request fits on an engine after some runs ended."""
        # A part of an unknown run must not cost one more run.
        load = int(choice.load) - len(ended)
        return load <= choice.row.slots - 1 and self.memory.fits(
            choice.row.instance,
            need.memory,
            choice.reserved_tokens,
            without=ended,
        )

    def queued(
        self,
        choices: Iterable[enginechoice.Candidate],
        need: Need,
        now_s: float,
        margin_s: float,
    ) -> list[enginechoice.Candidate]:
        """Returns engines without room with the times until they have room.

        Args:
            choices: The engines, at least one.
            need: What the request needs.
            now_s: The current time by the monotonic clock.
            margin_s: Engines that certainly start the request by more than
                this later than another one are left out.

        Returns:
            Some of the engines, with those that start the request first.
        """
        if not self.memory.is_limited:
            return [self._queued(row, now_s, None) for row in choices]
        bounds = sorted(
            (self._min_start_s(row, now_s), row.load, index, row)
            for index, row in enumerate(choices)
        )
        found: list[enginechoice.Candidate] = []
        latest_s = float("inf")
        for bound_s, _, _, row in bounds[:_MAX_EXACT_STARTS]:
            if bound_s > latest_s:
                break
            queued = self._queued(row, now_s, need)
            found.append(queued)
            latest_s = min(latest_s, queued.start_s + margin_s)
        return found

    def min_wait_s(self, instance: str, now_s: float) -> float:
        """Returns a time in seconds before which a full engine has no room."""
        return self._starts.min_room_s(instance, now_s)

    def _min_start_s(
        self, choice: enginechoice.Candidate, now_s: float
    ) -> float:
        wait_s = self._starts.min_room_s(choice.row.instance, now_s)
        prefill_s = choice.start_s - choice.wait_s
        return max(wait_s, choice.wait_s) + prefill_s

    def _queued(
        self, choice: enginechoice.Candidate, now_s: float, need: Need | None
    ) -> enginechoice.Candidate:
        wait_s = None
        if need is not None:
            wait_s = self._starts.room_s(
                choice.row.instance,
                now_s,
                lambda ended: self.has_room(choice, need, ended),
            )
        if wait_s is None:
            # The ends of its runs are not known, so they count as spread.
            run_s = self.run_times.mean_run_s * choice.pace
            slots = choice.row.slots
            places = choice.load - slots + 1
            if need is not None:
                # Unknown runs use the memory.
                slots = max(1, min(slots, int(choice.load)))
                places = max(1.0, places)
            wait_s = max(0.0, places) * run_s / slots
            # No end of a run makes reserved memory free.
            reserved_s = self._reservations.remaining_s(
                choice.row.instance, now_s
            )
            wait_s = max(wait_s, reserved_s)
        wait_s = max(wait_s, choice.wait_s)
        prefill_s = choice.start_s - choice.wait_s
        return choice._replace(wait_s=wait_s, start_s=wait_s + prefill_s)

    def reserve(
        self,
        choice: enginechoice.Candidate,
        need: Need,
        retry_s: float,
        now_s: float,
    ) -> bool:
        """Reserves memory for a large request that is refused now.

        Args:
            choice: The engine that has room for it first.
            need: What the request needs.
            retry_s: In how many seconds it is to be retried.
            now_s: The current time by the monotonic clock.

        Returns:
            Whether it was reserved.
        """
        tokens = need.memory.tokens
        least_tokens = self.memory.mean_tokens * _LARGE_RATIO
        if not self.memory.is_limited or tokens <= least_tokens:
            return False
        name = choice.row.instance
        return self._reservations.reserve(name, tokens, retry_s, now_s)

    def affinity(
        self,
        cost: requestcosts.RequestCost,
        choices: Iterable[enginechoice.Candidate],
    ) -> Callable[[str], float] | None:
        """Returns the order of engines for a prefix that none has cached.

        Args:
            cost: What the request costs.
            choices: The engines that it may use.

        Returns:
            The rank of an engine, the least first; `None` if the request has
            no such prefix.
        """
        if not self.memory.is_limited or not cost.parts:
            return None
        shared_tokens = sum(part.tokens for part in cost.parts[:-1])
        most_unread = cost.input_tokens - max(1, shared_tokens)
        if any(choice.unread_tokens <= most_unread for choice in choices):
            return None
        return lambda instance: self._prefixes.affinity(instance, cost)

    def grant(
        self,
        run: str,
        choice: enginechoice.Candidate,
        cost: requestcosts.RequestCost,
        now_s: float,
        priority: batchorder.ItemPriority | None = None,
    ) -> placementfigures.PlacementFigures:
        """Adds a run that is granted to an engine.

        Args:
            run: The run's name.
            choice: The engine.
            cost: What the run costs.
            now_s: The current time by the monotonic clock.
            priority: The priority of a batch item; `None` for an online
                request.

        Returns:
            What the engine was chosen by.
        """
        # An item that is resumed takes less than its whole cost.
        is_whole = priority is None or not priority.done_s
        has_waited = not choice.has_room or choice.wait_s > _MAX_TIMED_WAIT_S
        # The wait in a queue by slots follows from the mean duration with it.
        is_timed = is_whole and not (self.memory.is_limited and has_waited)
        added = _Run(
            choice.row.instance,
            now_s,
            cost,
            choice.unread_tokens,
            choice.pace,
            priority is not None,
            is_timed,
        )
        queued_for_s = None if choice.has_room else choice.wait_s
        tokens = self.memory.demand(cost).tokens
        self._reservations.use(choice.row.instance, tokens)
        self._add(run, added, queued_for_s)
        return self._figures(choice, cost, now_s)

    def _figures(
        self,
        choice: enginechoice.Candidate,
        cost: requestcosts.RequestCost,
        now_s: float,
    ) -> placementfigures.PlacementFigures:
        instance, pace = choice.row.instance, choice.pace
        age_s = self.paces.report_age_s(instance, now_s)
        if not self.memory.is_limited:
            return placementfigures.PlacementFigures(None, pace, age_s)
        return placementfigures.PlacementFigures(
            self.memory.left_tokens(instance),
            pace,
            age_s,
            max(0, cost.input_tokens - choice.unread_tokens),
            choice.start_s + self.run_times.first_event_s * pace,
        )

    def state(
        self, instance: str, now_s: float
    ) -> placementfigures.EngineState:
        """Returns what is known of an engine, for metrics."""
        return placementfigures.EngineState(
            self.loads.known(instance),
            self.memory.used_tokens(instance),
            self.paces.pace(instance, now_s),
        )

    def learn_of(
        self,
        run: str,
        instance: str,
        cost: requestcosts.RequestCost,
        now_s: float,
        *,
        is_batch: bool,
    ) -> None:
        """Adds a run that began before; its prompt counts as read."""
        pace = self.paces.pace(instance, now_s)
        self._add(run, _Run(instance, now_s, cost, 0, pace, is_batch))

    def remove(self, run: str, now_s: float) -> None:
        """Removes a run that has ended."""
        held = self._runs.pop(run)
        self.loads.remove(held.instance)
        self.memory.remove(run)
        self._use_own(held, -1)
        self._starts.remove(run, now_s)
        self._admit(held.instance, now_s)

    def record_success(
        self, run: str, now_s: float, first_event_s: float
    ) -> None:
        """Learns from a run that succeeds, before it is removed."""
        held = self._runs[run]
        if not held.is_timed:
            return
        took_s = now_s - held.since_s
        expected_s = self._run_s(held)
        self.run_times.record(
            held.cost,
            unread_tokens=held.unread_tokens,
            first_event_s=first_event_s,
            took_s=took_s,
            pace=held.pace,
            is_batch=held.is_batch,
        )
        is_stated = self.memory.is_limited and held.cost.output_tokens > 0
        if expected_s > 0 and (is_stated or not self._has_engine):
            ratio = took_s / expected_s
            self.paces.record_run(held.instance, ratio, now_s)

    def record_read(self, run: str, now_s: float) -> None:
        """Records that the prompt of a run has been read."""
        self._starts.record_read(run, now_s)

    def _add(
        self, run: str, added: _Run, queued_for_s: float | None = None
    ) -> None:
        self._runs[run] = added
        self.loads.add(added.instance)
        self.memory.add(run, added.instance, added.cost)
        self._use_own(added, 1)
        self._prefixes.record_read(added.instance, added.cost)
        prefill_s = self.run_times.prefill_s(added.unread_tokens)
        self._starts.add(
            run,
            added.instance,
            now_s=added.since_s,
            prefill_s=prefill_s * added.pace,
            run_s=self._run_s(added) * added.pace,
            queued_for_s=queued_for_s,
        )

    def _run_s(self, row: _Run) -> float:
        """Returns the expected duration of a run at usual pace."""
        return self.run_times.run_s(
            row.cost, row.unread_tokens, is_batch=row.is_batch
        )

    def _use_own(self, row: _Run, sign: int) -> None:
        """Counts the memory of a run that is not left for cached prompts."""
        tokens = self._own_tokens.get(row.instance, 0)
        tokens += sign * prefixindex.own_tokens(row.cost)
        if tokens:
            self._own_tokens[row.instance] = tokens
        else:
            self._own_tokens.pop(row.instance, None)
        self._prefixes.set_running_tokens(row.instance, tokens)

    def _admit(self, instance: str, now_s: float) -> None:
        """Begins queued runs in their order while there is room for them."""
        queued = self._starts.queued(instance)
        slots = self._slots.get(instance, 0)
        running = self.loads.known(instance) - len(queued)
        for index, run in enumerate(queued):
            has_memory = self.memory.fits(
                instance, self.memory.held(run), without=queued[index:]
            )
            if running >= slots or not has_memory:
                return
            self._starts.begin(run, now_s)
            running += 1
