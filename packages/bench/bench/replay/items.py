"""Batch items of a replay, at the VM that accepted their job."""

import collections
from typing import NamedTuple

from bench.replay import engine as engine_lib
from bench.replay import loads
from bench.replay import slots as slots_lib
from bench.replay import tally
from gateway import dialect
from gateway import jobrecords
from gateway import jobstate
from gateway.decisions import batchorder
from gateway.decisions import slotledger

# As the gateway's runner has them.
_FEED_S = 0.1
_MOST_ASKED = 16
_MOST_RUNS = 64
_FIRST_RUN_S = 5.0
_RUN_WEIGHT = 0.1
_RETENTION_S = 60.0
_MAX_ATTEMPTS = 3


class _Job(NamedTuple):
    spec: loads.Jobs
    came_s: float
    state: jobstate.JobState
    events: tuple[int, ...]


class _Asked(NamedTuple):
    """An item that asks for a slot."""

    job: _Job
    item: jobstate.ItemState
    priority: batchorder.ItemPriority


class ItemVm:
    """Runs the items of the jobs that it accepted.

    Args:
        vm: Its name.
        slots: Where it gets slots.
        has_late_last: Whether items that cannot be in time come last.
    """

    def __init__(
        self, vm: str, slots: slots_lib.Slots, *, has_late_last: bool
    ) -> None:
        self._vm = vm
        self._slots = slots
        self._timeline = slots.timeline
        self._has_late_last = has_late_last
        self._jobs: list[_Job] = []
        self._runs = 0
        self._run_s = _FIRST_RUN_S
        self._is_asking = False
        self._done: dict[str, tally.End] = {}
        self._cuts: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Begins to ask for slots."""
        self._timeline.after(_FEED_S, self._feed)

    def accept(
        self, spec: loads.Jobs, name: str, events: tuple[int, ...]
    ) -> None:
        """Accepts a job with an item for each answer's number of events."""
        now_s = self._timeline.now_s
        rows = tuple(
            dialect.JobItem(f"{name}/{row}", "/", {}, b"")
            for row in range(len(events))
        )
        meta = jobrecords.JobMeta(
            name,
            "customer",
            "host",
            "/",
            int(now_s * 1000),
            tuple(row.item for row in rows),
            1,
            _MAX_ATTEMPTS,
            _RETENTION_S,
            spec.due_s,
        )
        state = jobstate.JobState(meta, rows, jobstate.HeldClaim(1), ())
        self._jobs.append(_Job(spec, now_s, state, events))

    def ended(self) -> list[tally.Ended]:
        """Returns what came of each item."""
        return [
            self._ended(job, name)
            for job in self._jobs
            for name in job.state.meta.items
        ]

    def _ended(self, job: _Job, name: str) -> tally.Ended:
        spec = job.spec
        end = self._done.get(name, "unfinished")
        worth = {"in_time": spec.worth, "late": spec.late_worth}.get(end, 0.0)
        return tally.Ended(
            spec.name,
            job.came_s,
            end,
            worth,
            spec.worth,
            cuts=self._cuts[name],
        )

    def _feed(self) -> None:
        self._timeline.after(_FEED_S, self._feed)
        room = min(_MOST_ASKED, _MOST_RUNS - self._runs)
        rows = sorted(
            self._ready(), key=lambda row: batchorder.rank(row.priority)
        )[:room]
        if self._is_asking or not rows:
            return
        self._is_asking = True
        asked = [
            slotledger.BatchRun(self._slots.name(self._vm), row.priority)
            for row in rows
        ]

        def on_engines(engines: tuple[str, ...]) -> None:
            self._is_asking = False
            for instance, run, row in zip(engines, asked, rows, strict=False):
                self._begin(run.run, instance, row)

        self._slots.take_batch(self._vm, asked, on_engines)

    def _ready(self) -> list[_Asked]:
        now_s = self._timeline.now_s
        run_s = self._run_s if self._has_late_last else 0.0
        moment = jobstate.Moment(now_s, now_s, run_s)
        return [
            _Asked(job, item, job.state.priority(item, moment))
            for job in self._jobs
            for item in job.state.ready(moment)
        ]

    def _begin(self, run: str, instance: str, row: _Asked) -> None:
        job, item = row.job, row.item
        if not job.state.take(item):
            return
        self._runs += 1
        item.begin(self._timeline.now_s)
        held = slots_lib.Held(
            slotledger.ReportRow(run, instance, row.priority),
            self._vm,
            lambda: self._cut(run, instance, row),
        )
        self._slots.hold(run, held)
        index = job.state.meta.items.index(item.item.item)
        came = len(item.output)

        def hear() -> None:
            if self._slots.is_held(run):
                item.output.append("")

        def finish() -> None:
            if self._slots.is_held(run):
                self._finish(run, row)

        # What came before a cut is read like a part of the prompt.
        work = engine_lib.Work(
            job.spec.prompt_tokens + came * self._slots.tokens_per_event,
            job.events[index] - came,
            hear,
            finish,
        )
        self._slots.send(
            run, instance, work, lambda: self._cut(run, instance, row)
        )

    def _cut(self, run: str, instance: str, row: _Asked) -> None:
        if not self._slots.is_held(run):
            return
        self._cuts[row.item.item.item] += 1
        self._slots.cancel(run, instance)
        self._give_back(run, row, "unknown")
        row.job.state.put_back(row.item)

    def _finish(self, run: str, row: _Asked) -> None:
        now_s = self._timeline.now_s
        took_s = row.item.elapsed_s(now_s)
        self._run_s += (took_s - self._run_s) * _RUN_WEIGHT
        self._give_back(run, row, "ok")
        row.job.state.mark_listed(row.item)
        is_late = now_s > row.job.state.due_s
        self._done[row.item.item.item] = "late" if is_late else "in_time"

    def _give_back(
        self, run: str, row: _Asked, outcome: slotledger.Outcome
    ) -> None:
        self._runs -= 1
        row.item.end(self._timeline.now_s)
        self._slots.release(run, outcome)
