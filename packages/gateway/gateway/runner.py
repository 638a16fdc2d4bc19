"""Runs the batch jobs that this VM has claimed, in slots that are free."""

from concurrent import futures
import random
import threading
import time
from typing import Any

import result

from bulrushdeal import codec
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import services
from gateway import configuration
from gateway import dialect as dialect_lib
from gateway import eventstream
from gateway import jobrecords
from gateway import jobs
from gateway import jobstate
from gateway import members
from gateway import names
from gateway import paging
from gateway import placement
from gateway import records
from gateway import sending

_events = eventlog.Events("runner")

# How soon a slot that online requests leave is taken.
_FEED_S = 0.1
# How soon a job whose VM died, after its lease, or stopped is taken over.
_SCAN_S = 1.0
_MAX_RUNS = 64
_MAX_UNCLAIMED = 10_000
_START_RETRY_S = 0.1
# An engine that sends nothing for so long was cut off or has crashed.
_SILENCE_S = 2.0
_READ_S = 1.0
_HTTP_OK = 200
_CANNOT_BE_DONE = 422
_SERVER_ERROR = 500


class Runner:
    """Claims jobs, runs their items and lists the results."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._lock = threading.RLock()
        self._jobs: dict[str, jobstate.JobState] = {}
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(
            _MAX_RUNS, thread_name_prefix="items"
        )
        self._runs = 0
        # Scans in a row that found a job without a claim.
        self._unclaimed: dict[str, int] = {}
        # Whose claims the last scan saw.
        self._holders: dict[str, str] = {}

    def start(self) -> None:
        """Begins to look for jobs."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        self._dialect = find(names.DIALECT, dialect_lib.Dialect)
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._members = find(services.MEMBERSHIP, members.Members)
        self._placement = find(names.PLACEMENT, placement.Placement)
        self._book = find(names.JOBS, jobs.Jobs)
        self._sender = sending.Sender(self._kernel)
        self._book.run_with(self)
        for target in (self._feed_items, self._scan):
            threading.Thread(target=target, name="runner", daemon=True).start()

    def stop(self, grace_s: float) -> None:
        """Hands its jobs to other VMs, with how far each item came."""
        del grace_s
        self.hand_over()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> Any:
        """Returns the jobs that run here."""
        with self._lock:
            return {
                job: {
                    "pending": len(state.pending),
                    "running": len(state.running),
                    "listed": state.next_position,
                }
                for job, state in self._jobs.items()
            }

    def is_accepting(self) -> bool:
        """See `jobs.JobRunner`."""
        return not self._stopping.is_set()

    def adopt(self, accepted: jobs.Accepted) -> None:
        """See `jobs.JobRunner`."""
        state = jobstate.JobState(
            accepted.meta, accepted.items, accepted.claim_revision, ()
        )
        with self._lock:
            self._jobs[accepted.meta.job] = state
        self._wake.set()

    def drop(self, job: str) -> None:
        """See `jobs.JobRunner`."""
        with self._lock:
            state = self._jobs.pop(job, None)
            if state is None:
                return
            state.is_dropped = True
        _events.info("dropped", job=job)

    def listed(self, job: str) -> int | None:
        """See `jobs.JobRunner`."""
        state = self._jobs.get(job)
        return None if state is None else state.next_position

    def holder(self, job: str) -> str:
        """See `jobs.JobRunner`."""
        if job in self._jobs:
            return self._vm
        return self._holders.get(job, "")

    def hand_over(self) -> None:
        """Stops all runs, writes how far they came and gives up claims."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._wake.set()
        self._placement.yield_all()
        self._wait_for_runs()
        with self._lock:
            states = list(self._jobs.values())
            self._jobs.clear()
        for state in states:
            self._hand_over(state)

    def _wait_for_runs(self) -> None:
        end_s = time.monotonic() + _READ_S
        while time.monotonic() < end_s:
            with self._lock:
                if not self._runs:
                    return
            time.sleep(0.01)

    def _hand_over(self, state: jobstate.JobState) -> None:
        job = state.meta.job
        with self._lock:
            state.is_dropped = True
            rows = tuple(
                item.progress() for item in (*state.pending, *state.running)
            )
        keys = self._book.keys
        expected = dialect_lib.Expected(keys.claim(job), state.claim_revision)
        write = dialect_lib.Write(
            keys.progress(job), jobrecords.pack_progress(rows)
        )
        made = self._book.commit((expected,), (write,), (keys.claim(job),))
        _events.info("handed_over", job=job, items=len(rows), ok=made.is_ok())

    # Running items.

    def _feed_items(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(_FEED_S)
            self._wake.clear()
            with self._lock:
                states = sorted(
                    self._jobs.values(), key=lambda state: state.due_s
                )
            for state in states:
                if not self._stopping.is_set():
                    self._feed_safely(state)

    def _feed_safely(self, state: jobstate.JobState) -> None:
        try:
            self._feed_job(state)
        except Exception as error:  # noqa: BLE001 - other jobs are fed.
            _events.warning("not_fed", job=state.meta.job, why=repr(error))

    def _feed_job(self, state: jobstate.JobState) -> None:
        with self._lock:
            count = state.count_ready(time.monotonic())
            count = min(count, _MAX_RUNS - self._runs)
        if count <= 0 or state.is_dropped:
            return
        if state.is_given_up(time.time()):
            self._give_up(state)
            return
        service = self._service(state)
        if service is None:
            return
        for slot in self._placement.take_batch(service, count):
            with self._lock:
                item = state.next_item(time.monotonic())
                if item is not None:
                    self._runs += 1
            if item is None:
                slot.release()
                continue
            self._pool.submit(self._run, state, item, slot)

    def _service(self, state: jobstate.JobState) -> str | None:
        held = self._feed.current()
        if held is None:
            return None
        route = held.route(state.meta.host, state.meta.path)
        if route is None or route.kind != "batch":
            return None
        weights = [share.weight for share in route.services]
        names_ = [share.service for share in route.services]
        if sum(weights) <= 0:
            return None
        return random.choices(names_, weights)[0]

    def _give_up(self, state: jobstate.JobState) -> None:
        with self._lock:
            item = state.next_item(time.monotonic())
        if item is not None:
            self._list(state, item, item.errored(), "too old")

    def _run(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: placement.Slot,
    ) -> None:
        try:
            self._run_item(state, item, slot)
        except Exception as error:  # noqa: BLE001 - the item runs again.
            _events.warning("item_failed", item=item.item.item, why=repr(error))
        finally:
            slot.release()
            # Whatever ended the run, an item without a result runs again:
            # one that stayed behind would never be listed.
            self._put_back(state, item)
            with self._lock:
                self._runs -= 1
            self._wake.set()

    def _run_item(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: placement.Slot,
    ) -> None:
        outgoing = sending.Outgoing(
            item.item.item,
            "POST",
            item.item.path,
            self._dialect.item_headers(item.item, state.meta.host),
            item.item.body,
            state.meta.customer,
        )
        sent = self._sender.send(
            outgoing,
            slot.upstream,
            left_s=-1.0,
            silence_s=_SILENCE_S,
            last_event=item.last_event,
            on_open=slot.on_yield,
        )
        if isinstance(sent, result.Err):
            failure = sent.err_value
            if not slot.has_yielded:
                item.pause()
            self._note_break(state, item, slot, failure.why)
            return
        answer = sent.ok_value.answer
        try:
            if answer.status == _HTTP_OK:
                self._read(state, item, slot, answer)
            else:
                self._failed(state, item, answer)
        finally:
            answer.cancel()
            answer.close()

    def _read(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: placement.Slot,
        answer: services.UpstreamAnswer,
    ) -> None:
        splitter = eventstream.Splitter()
        why = ""
        for piece in answer.chunks():
            if isinstance(piece, result.Err):
                why = piece.err_value.message
                break
            for event in eventstream.parse(splitter.feed(piece.ok_value)):
                if event.number is not None:
                    item.last_event = event.number
                if event.data is not None:
                    item.output.append(event.data)
            item.breaks = 0
            self._placement.health.heard(slot.upstream.instance)
            if state.is_dropped:
                return
        if why or splitter.has_part:
            if not slot.has_yielded:
                item.pause()
            self._note_break(state, item, slot, why or "cut in an event")
            return
        answer.close()
        slot.release()
        self._list(state, item, item.completed(), "")

    def _failed(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        answer: services.UpstreamAnswer,
    ) -> None:
        if answer.status == _CANNOT_BE_DONE:
            self._list(state, item, item.errored(), "cannot be done")
            return
        if answer.status == _SERVER_ERROR:
            item.failures += 1
        if item.failures >= state.meta.max_attempts:
            self._list(state, item, item.errored(), "attempts used up")
            return
        _events.warning(
            "item_refused",
            job=state.meta.job,
            item=item.item.item,
            status=answer.status,
            failures=item.failures,
        )
        item.pause()

    def _note_break(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: placement.Slot,
        why: str,
    ) -> None:
        _events.info(
            "yielded" if slot.has_yielded else "broke_off",
            job=state.meta.job,
            item=item.item.item,
            upstream=slot.upstream.instance,
            last_event=item.last_event,
            why=why,
        )

    def _put_back(
        self, state: jobstate.JobState, item: jobstate.ItemState
    ) -> None:
        with self._lock:
            if item in state.running:
                state.put_back(item)

    # Listing results.

    def _list(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        row: dialect_lib.ItemResult,
        why: str,
    ) -> None:
        """Writes a result at the next position, until that is settled."""
        while not state.is_dropped:
            with state.list_lock:
                is_settled = self._write(state, item, row)
            if is_settled:
                break
            time.sleep(random.uniform(0.1, 0.3))
        _events.good_end(
            "listed",
            job=state.meta.job,
            item=row.item,
            is_completed=row.is_completed,
            why=why,
        )

    def _write(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        row: dialect_lib.ItemResult,
    ) -> bool:
        if state.is_dropped:
            return True
        keys, job = self._book.keys, state.meta.job
        position = state.next_position
        with self._lock:
            is_last = len(state.running) == 1 and not state.pending
        key = keys.result(job, position)
        made = self._book.commit(
            (
                dialect_lib.Expected(key, 0),
                dialect_lib.Expected(keys.claim(job), state.claim_revision),
            ),
            (dialect_lib.Write(key, jobrecords.pack(row)),),
            (keys.open_job(job), keys.claim(job)) if is_last else (),
        )
        if isinstance(made, result.Err):
            if made.err_value.kind != "unknown":
                return False
            return self._is_written(state, item, key, row, is_last)
        if isinstance(made.ok_value, dialect_lib.Conflict):
            if self._is_written(state, item, key, row, is_last):
                return True
            return self._reclaim(state)
        self._note_written(state, item, row, is_last)
        return True

    def _is_written(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        key: str,
        row: dialect_lib.ItemResult,
        is_last: bool,
    ) -> bool:
        """Tells whether a try whose answer was lost has written it."""
        got = self._store.get(key, _READ_S)
        if got.is_err():
            return False
        entry = got.unwrap()
        if entry is None or entry.value != jobrecords.pack(row):
            return False
        self._note_written(state, item, row, is_last)
        return True

    def _note_written(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        row: dialect_lib.ItemResult,
        is_last: bool,
    ) -> None:
        self._book.listed(state.meta.job, state.next_position, row)
        state.next_position += 1
        with self._lock:
            state.running.discard(item)
            if is_last:
                state.is_dropped = True
                self._jobs.pop(state.meta.job, None)
        if is_last:
            _events.info("finished", job=state.meta.job)

    def _reclaim(self, state: jobstate.JobState) -> bool:
        """Takes the claim again whose lease lapsed, or drops the job."""
        revision = self._claim(state.meta.job)
        if isinstance(revision, result.Err):
            if revision.err_value.kind in ("unavailable", "unknown"):
                return False
            self.drop(state.meta.job)
            return True
        listed = self._book.results(state.meta.job)
        if listed.is_err():
            return False
        if len(listed.unwrap()) != state.next_position:
            # Another VM ran it meanwhile and gave its claim up again; the
            # next scan begins anew with what that one listed.
            self.drop(state.meta.job)
            return True
        state.claim_revision = revision.ok_value
        return False

    # Taking over jobs.

    def _scan(self) -> None:
        self._reclaim_all()
        while not self._stopping.wait(_SCAN_S * random.uniform(0.8, 1.2)):
            with self._lock:
                own = set(self._jobs)
            claimed = self._claims()
            # Jobs that run here are looked at strictly: an end that was not
            # told has to be found within seconds.
            opened = self._open_jobs(stale=not own)
            if claimed is None or opened is None:
                continue
            for job in own - opened:
                self._check_open(job)
            self._run_forgotten(claimed, opened)
            for job in opened - claimed.keys() - own:
                if not self._stopping.is_set() and self._is_next(job):
                    self._take_over(job)

    def _run_forgotten(
        self, claimed: dict[str, dialect_lib.Entry], opened: set[str]
    ) -> None:
        """Runs jobs whose claims are this VM's but that it does not run.

        The failure: the store fails between a claim and the reading of the
        job. The lease is renewed, so no other VM ever takes the job over.
        """
        for job, entry in claimed.items():
            is_own = jobrecords.is_held_by(entry.value, self._vm)
            if is_own and job in opened and job not in self._jobs:
                _events.warning("forgotten", job=job)
                self._renew_claim(job, entry)

    def _is_next(self, job: str) -> bool:
        """Tells whether this VM should take over a job that nobody runs.

        Each job has its own order of VMs, so that jobs of a VM that died
        are spread over the others; after some scans any VM takes it.
        """
        count = self._unclaimed.get(job, 0)
        if len(self._unclaimed) > _MAX_UNCLAIMED:
            self._unclaimed.clear()
        self._unclaimed[job] = count + 1
        first = self._members.rank(f"job {job}")[: count + 1]
        return self._vm in first

    def _reclaim_all(self) -> None:
        """Goes on with what this VM ran before it was started again.

        The claims of the run before last as long as its lease; until then
        no other VM takes its jobs over.
        """
        while not self._stopping.is_set():
            claimed = self._claims()
            if claimed is not None and self._members.lease():
                break
            self._stopping.wait(_START_RETRY_S)
        else:
            return
        for job, entry in claimed.items():
            if jobrecords.is_held_by(entry.value, self._vm):
                self._renew_claim(job, entry)

    def _renew_claim(self, job: str, entry: dialect_lib.Entry) -> None:
        claim = jobrecords.pack(jobrecords.Claim(self._vm))
        key = self._book.keys.claim(job)
        made = self._book.commit(
            (dialect_lib.Expected(key, entry.revision),),
            (dialect_lib.Write(key, claim, self._members.lease()),),
            (),
        )
        if isinstance(made, result.Ok) and isinstance(made.ok_value, int):
            self._run_claimed(job, made.ok_value)

    def _open_jobs(self, *, stale: bool) -> set[str] | None:
        prefix = self._book.keys.open
        listed = paging.read_all(self._store, prefix, _READ_S, stale=stale)
        if listed.is_err():
            return None
        entries = listed.unwrap().entries
        return {row.key.removeprefix(prefix) for row in entries}

    def _claims(self) -> dict[str, dialect_lib.Entry] | None:
        prefix = self._book.keys.claims
        listed = paging.read_all(self._store, prefix, _READ_S, stale=True)
        if listed.is_err():
            return None
        claimed = {
            row.key.removeprefix(prefix): row for row in listed.unwrap().entries
        }
        self._holders = {
            job: jobrecords.holder(row.value) for job, row in claimed.items()
        }
        return claimed

    def _check_open(self, job: str) -> None:
        got = self._store.get(self._book.keys.open_job(job), _READ_S)
        if got.is_ok() and got.unwrap() is None:
            self.drop(job)

    def _claim(self, job: str) -> result.Result[int, jobs.JobError]:
        """Claims a job that is open and that no VM runs."""
        keys, lease = self._book.keys, self._members.lease()
        if not lease:
            return result.Err(jobs.JobError("unavailable", "no lease"))
        opened = self._store.get(keys.open_job(job), _READ_S)
        if opened.is_err():
            message = opened.unwrap_err().message
            return result.Err(jobs.JobError("unavailable", message))
        entry = opened.unwrap()
        if entry is None:
            return result.Err(jobs.JobError("missing", "not open"))
        claim = jobrecords.pack(jobrecords.Claim(self._vm))
        made = self._book.commit(
            (
                dialect_lib.Expected(keys.claim(job), 0),
                dialect_lib.Expected(keys.open_job(job), entry.revision),
            ),
            (dialect_lib.Write(keys.claim(job), claim, lease),),
            (),
        )
        if isinstance(made, result.Err):
            return made
        if isinstance(made.ok_value, dialect_lib.Conflict):
            return self._own_claim(job)
        return result.Ok(made.ok_value)

    def _own_claim(self, job: str) -> result.Result[int, jobs.JobError]:
        """Returns the claim if it is this VM's, whose answer was lost."""
        got = self._store.get(self._book.keys.claim(job), _READ_S)
        if got.is_err():
            message = got.unwrap_err().message
            return result.Err(jobs.JobError("unavailable", message))
        entry = got.unwrap()
        if entry is None or entry.value is None:
            return result.Err(jobs.JobError("missing", "not claimed"))
        if not jobrecords.is_held_by(entry.value, self._vm):
            return result.Err(jobs.JobError("missing", "claimed elsewhere"))
        return result.Ok(entry.revision)

    def _take_over(self, job: str) -> None:
        claimed = self._claim(job)
        if isinstance(claimed, result.Ok):
            self._run_claimed(job, claimed.ok_value)

    def _run_claimed(self, job: str, claim_revision: int) -> None:
        try:
            state = self._read_job(job, claim_revision)
        except codec.CodecError as error:
            _events.warning("bad_record", job=job, why=str(error))
            return
        if state is None:
            # The next scan finds the claim and reads the job again.
            return
        with self._lock:
            self._jobs[job] = state
            self._unclaimed.pop(job, None)
        _events.info(
            "taken_over",
            job=job,
            listed=state.next_position,
            left=len(state.pending),
        )
        self._wake.set()
        if state.is_done():
            self._close(state)

    def _read_job(
        self, job: str, claim_revision: int
    ) -> jobstate.JobState | None:
        meta = self._book.meta(job)
        if meta.is_err():
            return None
        items = self._book.read_items(meta.unwrap())
        listed = self._book.results(job)
        progress = self._store.get(self._book.keys.progress(job), _READ_S)
        if items.is_err() or listed.is_err() or progress.is_err():
            return None
        state = jobstate.JobState(
            meta.unwrap(), items.unwrap(), claim_revision, listed.unwrap()
        )
        entry = progress.unwrap()
        if entry is not None and entry.value is not None:
            state.go_on_from(jobrecords.unpack_progress(entry.value))
        return state

    def _close(self, state: jobstate.JobState) -> None:
        """Closes a job whose last result is there already."""
        keys, job = self._book.keys, state.meta.job
        expected = dialect_lib.Expected(keys.claim(job), state.claim_revision)
        self._book.commit(
            (expected,), (), (keys.open_job(job), keys.claim(job))
        )
        self.drop(job)
