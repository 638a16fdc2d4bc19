"""Runs the items of claimed batch jobs in slots that online requests leave."""

from collections.abc import Iterable
from concurrent import futures
import threading
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import services
from gateway import configuration
from gateway import crashrecords
from gateway import dialect as dialect_lib
from gateway import heldslots
from gateway import itemrun
from gateway import jobclaims
from gateway import jobdirectory
from gateway import joblisting
from gateway import jobmessages
from gateway import jobs
from gateway import jobstate
from gateway import jobstore
from gateway import members
from gateway import names
from gateway import outputroom
from gateway import placement
from gateway import progresswriter
from gateway import records
from gateway import resultwriter
from gateway import takeover
from gateway import upstreamsender
from gateway.decisions import batchorder
from gateway.decisions import requestcosts

_events = eventlog.Events("runner")

# Interval between checks for slots that online requests leave free.
_SCHEDULE_INTERVAL_S = 0.1
_MAX_RUNS = 64
# What the items of the jobs that this VM runs may hold, as a part of what may
# be held for all callers. It comes on top of that.
_INPUT_SHARE = 0.35
# What the outputs of unfinished items may hold, alike.
_OUTPUT_SHARE = 0.25
# Items per request for slots; few slots become free between two requests.
_MAX_SLOTS_PER_REQUEST = 16
# How long an item waits for an upstream of its software version while others
# are listed; one that crashed is back by then.
_STRANDED_S = 4.0
# How long a shutdown waits for cancelled runs before it writes their progress.
_CANCEL_WAIT_S = 1.0


class _ReadyItem(NamedTuple):
    """An item that may run now, with its job, service, priority and cost.

    It may only be sent to the upstreams of `scope`.
    """

    service: str
    scope: placement.Scope
    state: jobstate.JobState
    item: jobstate.ItemState
    priority: batchorder.ItemPriority
    cost: requestcosts.RequestCost


class Runner:
    """Claims jobs, runs their items and writes the results."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._is_first_start = settings.is_first_start
        self._region = settings.regions.get(settings.failure_domain, "")
        self._value_bytes = int(
            settings.max_value_bytes * jobs.VALUE_PAYLOAD_SHARE
        )
        self._max_input_bytes = int(
            settings.callers_memory_bytes * _INPUT_SHARE
        )
        self._max_output_bytes = int(
            settings.callers_memory_bytes * _OUTPUT_SHARE
        )
        self._lock = threading.Lock()
        self._table = jobstate.JobTable()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(
            _MAX_RUNS, thread_name_prefix="items"
        )
        self._run_count = 0
        # The suspect that began last, as long as it runs.
        self._trial: jobstate.ItemState | None = None

    def start(self) -> None:
        """Starts the threads that find jobs, run items and write progress."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        self._configuration = find(names.CONFIGURATION, configuration.Feed)
        self._placement = find(names.PLACEMENT, placement.Placement)
        self._job_store = find(names.JOB_STORE, jobstore.JobStore)
        self._directory = find(names.JOB_DIRECTORY, jobdirectory.JobDirectory)
        self._progress = progresswriter.ProgressWriter(
            self._job_store, self._table, self._value_bytes
        )
        vms = self._members = find(services.MEMBERSHIP, members.Members)
        accepted_jobs = find(names.JOBS, jobs.Jobs)
        claims = jobclaims.Claims(self._store, self._job_store, vms)
        self._writer = resultwriter.ResultWriter(
            self._store, self._job_store, self._table, claims
        )
        self._dialect = find(names.DIALECT, dialect_lib.Dialect)
        self._item_run = itemrun.ItemRun(
            self._dialect,
            upstreamsender.Sender(self._kernel),
            self._placement,
            self._writer,
            find(names.CRASH_RECORDS, crashrecords.CrashRecords),
            self._progress.write_failures,
            outputroom.OutputRoom(self._table, self._max_output_bytes),
        )
        self._takeover = takeover.Takeover(
            self._store,
            self._job_store,
            find(names.JOB_LISTING, joblisting.JobListing),
            vms,
            takeover.Policy(
                self._may_hold, self._is_first_start, accepted_jobs.running_at
            ),
            self._table,
            claims,
            self._on_taken_over,
        )
        accepted_jobs.set_runner(self)
        threads.start(self._schedule_items, "runner")
        self._takeover.start()
        self._progress.start()

    def stop(self, grace_s: float) -> None:
        """Hands all jobs over to other VMs, with the progress of each item."""
        del grace_s
        self.hand_over()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> Any:
        """Returns the item counts of each job that this VM runs."""
        return {
            state.meta.job: {
                "pending": state.count_pending(),
                "running": state.count_running(),
                "too_large": state.count_too_large(),
                "listed": state.next_position,
            }
            for state in self._table.by_due_time()
        }

    def is_accepting(self) -> bool:
        """See `jobmessages.JobRunner`."""
        return not self._stopping.is_set() and self._has_memory()

    def _has_memory(self) -> bool:
        """Returns whether this VM may hold the items of one more job.

        A job that it leaves unclaimed is taken over by a VM that has memory,
        or by this one later.
        """
        held_bytes = self._table.input_bytes()
        if held_bytes <= self._max_input_bytes:
            return True
        _events.sampled_info(
            "no_memory",
            jobs=len(self._table.names()),
            held_bytes=held_bytes,
            limit_bytes=self._max_input_bytes,
        )
        return False

    def start_job(self, accepted: jobmessages.Accepted) -> None:
        """See `jobmessages.JobRunner`."""
        state = jobstate.JobState(
            accepted.meta, accepted.items, accepted.claim, ()
        )
        self._table.add(state)
        self._directory.announce(accepted.meta.job)
        self._wake.set()

    def _may_hold(self, job: str) -> bool:
        """Returns whether this VM may read a job's items from the store."""
        if not self._has_memory():
            return False
        active = self._configuration.current()
        if active is None or not active.has_regions:
            return True
        meta = self._job_store.meta(job)
        if isinstance(meta, result.Err):
            return False
        row = meta.ok_value
        allowed = active.job_regions(row.host, row.path, row.customer)
        return allowed is None or self._region in allowed

    def _on_taken_over(self, job: str) -> None:
        self._directory.announce(job)
        self._wake.set()

    def drop(self, job: str) -> None:
        """See `jobmessages.JobRunner`."""
        if self._table.remove(job):
            _events.info("dropped", job=job, why="it was ended")

    def running(self, jobs: Iterable[str]) -> frozenset[str]:
        """See `jobmessages.JobRunner`."""
        if self._stopping.is_set():
            return frozenset()
        return frozenset(self._table.names().intersection(jobs))

    def result_count(self, job: str) -> int | None:
        """See `jobmessages.JobRunner`."""
        state = self._table.get(job)
        if state is None or state.claim.lease != self._members.lease():
            # The store deletes a claim when its lease ends, so another VM may
            # have taken over the job and written results.
            return None
        return state.next_position

    def item_body(self, job: str, item: str) -> bytes | None:
        """See `jobmessages.JobRunner`."""
        state = self._table.get(job)
        return None if state is None else state.item_body(item)

    def holder(self, job: str) -> str:
        """See `jobmessages.JobRunner`."""
        return self._takeover.holder(job)

    def hand_over(self) -> None:
        """Stops all runs, writes their progress and releases the claims."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._takeover.stop()
        self._progress.stop()
        self._wake.set()
        self._placement.preempt_all_batch()
        self._wait_for_runs()
        for state in self._table.clear():
            self._hand_over(state)

    def _wait_for_runs(self) -> None:
        end_s = time.monotonic() + _CANCEL_WAIT_S
        while time.monotonic() < end_s:
            with self._lock:
                if not self._run_count:
                    return
            time.sleep(0.01)

    def _hand_over(self, state: jobstate.JobState) -> None:
        state.drop()
        items = len(state.without_result())
        ok = self._progress.hand_over(state)
        _events.info("handed_over", job=state.meta.job, items=items, ok=ok)

    def _schedule_items(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(_SCHEDULE_INTERVAL_S)
            self._wake.clear()
            self.schedule()

    def schedule(self) -> None:
        """Starts the items that may run now, in rank order per service."""
        times = self._item_run.times
        moment = jobstate.Moment(
            time.monotonic(), time.time(), times.mean_run_s, times.stretch
        )
        ready: dict[tuple[str, placement.Scope], list[_ReadyItem]] = {}
        for state in self._table.by_due_time():
            if self._stopping.is_set():
                return
            for row in self._try_find_ready(state, moment):
                key = (row.service, row.scope)
                ready.setdefault(key, []).append(row)
        for rows in ready.values():
            self._try_start_items(rows)

    def _try_find_ready(
        self, state: jobstate.JobState, moment: jobstate.Moment
    ) -> list["_ReadyItem"]:
        try:
            return self._find_ready(state, moment)
        except Exception as error:  # noqa: BLE001 - other jobs still run.
            _events.warning("not_fed", job=state.meta.job, why=repr(error))
            return []

    def _find_ready(
        self, state: jobstate.JobState, moment: jobstate.Moment
    ) -> list["_ReadyItem"]:
        items = state.ready(moment)
        if not items or state.is_dropped:
            return []
        if state.is_past_retention(moment.wall_s):
            self._write_expired_in_background(state)
            return []
        service = self._choose_service(state)
        if service is None:
            return []
        regions = self._regions(state)
        rows = [
            self._ready_item(state, item, service, regions, moment)
            for item in items
            if not self._item_run.is_held_back(state, item)
        ]
        return [row for row in rows if self._fits_an_engine(row)]

    def _fits_an_engine(self, row: "_ReadyItem") -> bool:
        """Returns whether an engine without runs has memory for an item.

        One that fits nowhere is not given up before its retention: a later
        configuration may bring larger engines.
        """
        item, needed_tokens = row.item, row.cost.peak_tokens
        memory_tokens = self._placement.memory_tokens(row.service)
        is_too_large = 0 < memory_tokens < needed_tokens
        if is_too_large and not item.is_too_large:
            _events.warning(
                "too_large",
                job=row.state.meta.job,
                item=item.item.item,
                service=row.service,
                needed_tokens=needed_tokens,
                memory_tokens=memory_tokens,
            )
        item.is_too_large = is_too_large
        return not is_too_large

    def _ready_item(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        service: str,
        regions: frozenset[str] | None,
        moment: jobstate.Moment,
    ) -> "_ReadyItem":
        """Returns an item with the upstreams that it may be sent to.

        Output that nothing can continue is discarded.
        """
        if item.origin is not None and self._must_begin_anew(
            state, item, item.origin, moment.now_s
        ):
            _events.info(
                "begins_anew",
                job=state.meta.job,
                item=item.item.item,
                software_version=item.origin.software_version,
                last_event=item.last_event,
            )
            item.discard_output()
        scope = placement.Scope(regions)
        if item.origin is not None:
            service, version = item.origin
            scope = placement.Scope(regions, version)
        return _ReadyItem(
            service,
            scope,
            state,
            item,
            state.priority(item, moment),
            self._cost(item),
        )

    def _must_begin_anew(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        origin: records.StreamOrigin,
        now_s: float,
    ) -> bool:
        """Returns whether nothing will continue an item's output."""
        service, version = origin
        if not item.may_go_on() or service not in self._services(state):
            return True
        scope = placement.Scope(None, version)
        is_served = self._placement.has_upstreams(service, scope)
        # While none is listed at all, the version may well come back.
        if is_served or not self._placement.has_upstreams(service):
            item.stranded_since_s = None
            return False
        if item.stranded_since_s is None:
            item.stranded_since_s = now_s
        return now_s - item.stranded_since_s >= _STRANDED_S

    def _cost(self, item: jobstate.ItemState) -> requestcosts.RequestCost:
        if item.cost is None:
            item.cost = self._dialect.item_cost(item.item)
        return item.cost

    def _regions(self, state: jobstate.JobState) -> frozenset[str] | None:
        active, meta = self._configuration.current(), state.meta
        if active is None:
            return None
        return active.job_regions(meta.host, meta.path, meta.customer)

    def _try_start_items(self, rows: list["_ReadyItem"]) -> None:
        """Starts items; an error must not end the scheduling thread."""
        try:
            self._start_items(rows)
        except Exception as error:  # noqa: BLE001 - tried again soon.
            _events.warning(
                "not_started", service=rows[0].service, why=repr(error)
            )

    def _start_items(self, rows: list["_ReadyItem"]) -> None:
        """Starts items of one service and scope in rank order.

        Ends when no slot is free. An item that gets none for another reason
        holds up no other: that may last until it is given up.
        """
        service, scope = rows[0].service, rows[0].scope
        rows.sort(key=lambda row: batchorder.rank(row.priority))
        while rows:
            with self._lock:
                count = min(_MAX_SLOTS_PER_REQUEST, _MAX_RUNS - self._run_count)
            if count <= 0:
                return
            asked, rows = self._choose_next(rows, count)
            if not asked:
                return
            slots = self._placement.take_batch(
                service,
                [row.priority for row in asked],
                scope,
                [row.cost for row in asked],
            )
            for row, slot in zip(asked, slots, strict=False):
                if slot is not None:
                    self._submit_run(row, slot)
            if len(slots) < len(asked):
                return
            rows = _smaller_than_unplaced(rows, asked, slots)

    def _choose_next(
        self, rows: list["_ReadyItem"], count: int
    ) -> tuple[list["_ReadyItem"], list["_ReadyItem"]]:
        """Returns the next items to ask slots for, and those left after them.

        At most one suspect is among them, and none is left while one runs
        that has not answered. If two ran together and their engine crashed
        again, they could not be told apart.
        """
        trial = self._trial
        may_try = trial is None or trial.is_answering
        asked: list[_ReadyItem] = []
        left: list[_ReadyItem] = []
        has_suspect = False
        for row in rows:
            is_suspect = self._item_run.is_suspect(row.state, row.item)
            if is_suspect and not may_try:
                continue
            if len(asked) >= count or (is_suspect and has_suspect):
                left.append(row)
                continue
            asked.append(row)
            has_suspect = has_suspect or is_suspect
        return asked, left

    def _submit_run(self, row: "_ReadyItem", slot: heldslots.Slot) -> None:
        if not row.state.take(row.item):
            slot.release()
            return
        if self._item_run.is_suspect(row.state, row.item):
            row.item.is_answering = False
            self._trial = row.item
            self._item_run.begin_trial(row.state, row.item)
        with self._lock:
            self._run_count += 1
        threads.submit(self._pool, self._run, "item", row.state, row.item, slot)

    def _choose_service(self, state: jobstate.JobState) -> str | None:
        route = self._route(state)
        return None if route is None else route.choose_service()

    def _services(self, state: jobstate.JobState) -> frozenset[str]:
        """Returns the services that may run a job's items."""
        route = self._route(state)
        rows = () if route is None else route.services
        return frozenset(row.service for row in rows if row.weight > 0)

    def _route(self, state: jobstate.JobState) -> records.Route | None:
        active = self._configuration.current()
        if active is None:
            return None
        route = active.route(state.meta.host, state.meta.path)
        if route is None or route.kind != "batch":
            return None
        return route

    def _write_expired_in_background(self, state: jobstate.JobState) -> None:
        """Writes error results for an expired job's items, on a pool thread.

        While the store is unavailable, a result cannot be written. The
        scheduling thread would wait for it and start no item of other jobs.
        """
        if not state.is_writing_expired:
            state.is_writing_expired = True
            threads.submit(self._pool, self._write_expired, "item", state)

    def _write_expired(self, state: jobstate.JobState) -> None:
        try:
            while (item := state.take_first_pending()) is not None:
                row = item.errored()
                self._writer.write(state, item, row, "too old")
                if state.is_dropped:
                    return
        finally:
            state.is_writing_expired = False

    def _run(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: heldslots.Slot,
    ) -> None:
        item.begin(time.monotonic())
        state.begin_run(item, slot.preempt)
        try:
            self._item_run.run(state, item, slot)
        except Exception as error:  # noqa: BLE001 - the item is retried.
            _events.warning("item_failed", item=item.item.item, why=repr(error))
        finally:
            state.end_run(item)
            slot.release()
            item.end(time.monotonic())
            # However the run ended, an item without a result waits for its
            # next run. Left among the running ones, it would never get one.
            state.put_back(item)
            if self._trial is item:
                self._trial = None
            with self._lock:
                self._run_count -= 1
            self._wake.set()


def _smaller_than_unplaced(
    rows: list[_ReadyItem],
    asked: list[_ReadyItem],
    slots: list[heldslots.Slot | None],
) -> list[_ReadyItem]:
    """Returns the items that need less memory than any that got no slot.

    Others would find none either, and each request takes time.
    """
    unplaced = [
        row.cost.peak_tokens
        for row, slot in zip(asked, slots, strict=True)
        if slot is None
    ]
    if not unplaced:
        return rows
    least_tokens = min(unplaced)
    return [row for row in rows if row.cost.peak_tokens < least_tokens]
