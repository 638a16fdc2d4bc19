"""Offers chunks of batch jobs to the VMs and ends jobs that are done."""

import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import coordinators
from bulrushdeald import defaults
from bulrushdeald import finishing
from bulrushdeald import jobview
from bulrushdeald import replicas
from bulrushdeald import services
from bulrushdeald import stride

_log = logs.Log("coordinator")

NAME = "coordinator"
_TICK_S = 0.5
_SWEEP_S = 10.0
_CALL_TIMEOUT_S = 1.0
# A holder that was not heard of for so long is asked, and loses the chunk
# if it does not say that it still runs it.
_SILENT_S = 6.0
# Reports come less often in a large fleet; see `worker`.
_REPORTS_PER_S = 50.0
# A cancelled chunk's holder has so long to seal what was answered.
_CANCEL_S = 8.0


class Coordinator:
    """Coordinates the jobs of the buckets that fall to this VM."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        del settings
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._is_stopping = False
        self._jobs: dict[str, jobview.JobView] = {}
        self._customers = stride.Shares()
        self._swept_s = float("-inf")
        self._buckets: list[int] = []

    def connect(self) -> None:
        """Looks the other services up and answers peers."""
        find = self._kernel.find
        self._keyvalue = find(services.KEYVALUE, services.KeyValue)
        self._membership = find(services.MEMBERSHIP, services.Membership)
        self._peers = find(services.PEERS, services.Peers)
        self._config = find(services.CONFIG, services.Config)
        self.coordinators = coordinators.Coordinators(
            self._membership, self._clock
        )
        self._finisher = finishing.Finisher(
            self._keyvalue,
            find(replicas.NAME, replicas.Replicas),
            self._clock,
        )
        self._peers.understand(*batchmessages.ANSWERS)
        self._peers.handle(batchmessages.WorkReport, self._on_report)
        self._peers.handle(batchmessages.JobNotice, self._on_notice)
        self._peers.handle(batchmessages.CoordinatorPing, self._on_ping)

    def start(self) -> None:
        """Begins to coordinate."""
        self.connect()
        threading.Thread(target=self._loop, name=NAME, daemon=True).start()

    def stop(self, grace_s: float) -> None:
        """Ends at once: another VM takes the buckets over."""
        del grace_s
        self._is_stopping = True
        self._wake.set()

    def dump(self) -> Any:
        """Returns the jobs coordinated here."""
        with self._lock:
            jobs = {
                job: {
                    "customer": view.entry.customer,
                    "cancelled": view.is_cancelled,
                    "states": [chunk.state for chunk in view.chunks],
                }
                for job, view in self._jobs.items()
            }
        return {"buckets": self._buckets, "jobs": jobs}

    def _loop(self) -> None:
        while not self._is_stopping:
            try:
                self.tick()
            except Exception:  # noqa: BLE001 - the loop has to live on.
                _log.exception("A round failed.")
            self._wake.wait(_TICK_S)
            self._wake.clear()

    def tick(self) -> None:
        """Does what is due: sweep, load, watch the holders, end jobs."""
        now_s = self._clock.monotonic_s()
        if now_s - self._swept_s >= _SWEEP_S:
            self._swept_s = now_s
            self._ping_others()
            self._buckets = self.coordinators.own_buckets()
            self._sweep()
        self._load_some()
        with self._lock:
            views = list(self._jobs.values())
        for view in views:
            self._watch(view)
            self._end(view)

    def _ping_others(self) -> None:
        own = self._membership.own().vm
        ping = batchmessages.CoordinatorPing(self._membership.incarnation())
        for vm in self.coordinators.candidates():
            if vm == own:
                continue
            answer = self._peers.call(vm, ping, _CALL_TIMEOUT_S)
            if isinstance(answer, result.Err):
                self.coordinators.suspect(vm)

    # Which jobs there are.

    def _sweep(self) -> None:
        # A job's notice may have been lost, or its coordinator with it: the
        # queue in the platform's service has each job that has not ended.
        found: dict[str, batchrecords.QueueEntry] = {}
        for bucket in self._buckets:
            entries = self._keyvalue.list(batchrecords.queue_prefix(bucket))
            if isinstance(entries, result.Err):
                _log.warning("Cannot read the queue: %s.", entries.err_value)
                return
            for entry in entries.ok_value:
                queued = _load_entry(entry)
                if queued is not None:
                    found[queued.job] = queued
        with self._lock:
            for job in set(self._jobs) - set(found):
                del self._jobs[job]
        for queued in found.values():
            self._add(queued)

    def _add(self, entry: batchrecords.QueueEntry) -> None:
        with self._lock:
            view = self._jobs.get(entry.job)
            if view is None:
                self._jobs[entry.job] = jobview.JobView(entry)
                return
            if entry.is_cancelled and not view.entry.is_cancelled:
                view.entry = entry
                view.has_to_reload = True

    def _load_some(self) -> None:
        # A job is loaded when it is the customer's next, not before: most
        # queued jobs wait, and their chunks would fill the memory.
        with self._lock:
            ready = {
                view.entry.customer
                for view in self._jobs.values()
                if view.has_free()
            }
            stale = [
                view
                for view in sorted(self._jobs.values(), key=_due)
                if view.has_to_reload
            ]
        for view in stale:
            is_next = view.entry.customer not in ready
            if (is_next or view.is_cancelled or view.record) and self._load(
                view
            ):
                ready.add(view.entry.customer)

    def _load(self, view: jobview.JobView) -> bool:
        job = view.entry.job
        entry = self._keyvalue.get(batchrecords.job_key(job))
        chunks = self._keyvalue.list(f"chunks/{job}/")
        if isinstance(entry, result.Err) or isinstance(chunks, result.Err):
            return False
        if entry.ok_value is None:
            self._finisher.drop_orphan(view.entry)
            return False
        known = {
            batchrecords.chunk_of(chunk.key): jobview.KnownRecord(
                batchrecords.load(batchrecords.ChunkRecord, chunk.value),
                chunk.revision,
            )
            for chunk in chunks.ok_value
        }
        now_s = self._clock.monotonic_s()
        with self._lock:
            view.record = batchrecords.load(
                batchrecords.JobRecord, entry.ok_value.value
            )
            view.revision = entry.ok_value.revision
            view.update(view.record, known, now_s)
            if view.is_cancelled and view.cancelled_since_s is None:
                view.cancelled_since_s = now_s
        return view.has_free()

    # Offering chunks.

    def _on_report(
        self, vm: str, report: batchmessages.WorkReport
    ) -> batchmessages.WorkOffers:
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._take_in(vm, report, now_s)
            offers = self._choose(report.wanted, now_s)
            held = {holding.job for holding in report.holding}
            stop = tuple(
                job
                for job in sorted(held)
                if job in self._jobs and self._jobs[job].is_cancelled
            )
            weight = sum(self._weight(customer) for customer in self._waiting())
        if report.ended:
            self._wake.set()
        return batchmessages.WorkOffers(offers, stop, weight)

    def _take_in(
        self, vm: str, report: batchmessages.WorkReport, now_s: float
    ) -> None:
        for holding in report.holding:
            view = self._jobs.get(holding.job)
            if view is not None:
                view.hold(holding, vm, report.incarnation, now_s)
        for ended in report.ended:
            view = self._jobs.get(ended.job)
            if view is not None:
                view.end(ended)

    def _choose(
        self, wanted: int, now_s: float
    ) -> tuple[batchmessages.Offer, ...]:
        offers: list[batchmessages.Offer] = []
        while len(offers) < wanted:
            offer = self._choose_one(now_s)
            if offer is None:
                break
            offers.append(offer)
        return tuple(offers)

    def _choose_one(self, now_s: float) -> batchmessages.Offer | None:
        waiting = self._waiting()
        for customer in waiting:
            self._customers.set_weight(customer, self._weight(customer))
        # Who had least for its weight goes first; of equals, who is due
        # first; of one customer's jobs, the one that is due first.
        for customer in self._customers.order(waiting):
            for view in waiting[customer]:
                offer = view.offer(now_s)
                if offer is None:
                    continue
                entry = view.entry
                self._customers.charge(
                    customer, entry.items / entry.chunk_count
                )
                if not view.has_free():
                    self._wake.set()
                return offer
        return None

    def _waiting(self) -> dict[str, list[jobview.JobView]]:
        waiting: dict[str, list[jobview.JobView]] = {}
        for view in sorted(self._jobs.values(), key=_due):
            if view.has_free():
                waiting.setdefault(view.entry.customer, []).append(view)
        return waiting

    def _weight(self, customer: str) -> float:
        row = self._config.customer(customer)
        return row.batch_weight if row is not None else 1.0

    def _on_notice(
        self, vm: str, notice: batchmessages.JobNotice
    ) -> batchmessages.Noted:
        del vm
        self._add(notice.entry)
        self._wake.set()
        return batchmessages.Noted()

    def _on_ping(
        self, vm: str, ping: batchmessages.CoordinatorPing
    ) -> batchmessages.Noted:
        del vm, ping
        return batchmessages.Noted()

    # Watching holders.

    def _watch(self, view: jobview.JobView) -> None:
        now_s = self._clock.monotonic_s()
        silent_s = _SILENT_S + len(self._membership.entry_vms()) / (
            _REPORTS_PER_S / 2
        )
        with self._lock:
            view.expire_offers(now_s)
            running = list(view.running())
        for number, chunk in running:
            is_heard = now_s - chunk.since_s <= silent_s
            if is_heard and self._membership.is_listed(chunk.vm):
                continue
            is_held = self._holds(view.entry.job, number, chunk)
            with self._lock:
                if is_held:
                    view.confirm(number, now_s)
                    continue
                # It may be frozen and come back. Its seal then expects a
                # revision that the next claim has changed.
                view.take_back(number, chunk)
            _log.info(
                "Chunk %s/%d lost its holder %s.",
                view.entry.job,
                number,
                chunk.vm,
            )

    def _holds(self, job: str, number: int, chunk: jobview.ChunkView) -> bool:
        if not self._membership.is_listed(chunk.vm):
            return False
        query = batchmessages.HoldQuery(job, number, chunk.epoch)
        answer = self._peers.call(chunk.vm, query, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Err):
            return False
        is_same = answer.ok_value.incarnation == chunk.incarnation
        return is_same and bool(answer.ok_value.is_held)

    # Ending jobs.

    def _end(self, view: jobview.JobView) -> None:
        record = view.record
        if record is None or view.has_to_reload:
            return
        if view.is_cancelled and not view.has_ended():
            self._end_holders(view)
        if not view.has_ended():
            return
        outcome = self._finisher.finish(view.entry, record, view.revision)
        with self._lock:
            if outcome == "ended":
                self._jobs.pop(view.entry.job, None)
            elif outcome == "changed":
                view.has_to_reload = True

    def _end_holders(self, view: jobview.JobView) -> None:
        # Holders were told to stop and seal what was answered. One that
        # does not in time is fenced off, so that the job can end.
        since_s = view.cancelled_since_s
        if since_s is None:
            return
        if self._clock.monotonic_s() - since_s < _CANCEL_S:
            return
        for number, chunk in view.running():
            self._finisher.void(
                view.entry.job, number, chunk.epoch, chunk.revision
            )
        with self._lock:
            view.has_to_reload = True


def _due(view: jobview.JobView) -> tuple[float, str]:
    return view.entry.deadline_wall_s, view.entry.job


def _load_entry(entry: services.Entry) -> batchrecords.QueueEntry | None:
    try:
        return batchrecords.load(batchrecords.QueueEntry, entry.value)
    except codec.CodecError as error:
        _log.error("Queue entry %s is unreadable: %s.", entry.key, error)
        return None
