"""Assigns chunks of batch jobs to VMs and completes finished jobs."""

import functools
import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import threads
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import coordinators
from bulrushdeald import defaults
from bulrushdeald import finishing
from bulrushdeald import jobtable
from bulrushdeald import jobview
from bulrushdeald import replicas
from bulrushdeald import retention
from bulrushdeald import services

_log = logs.Log("coordinator")

NAME = "coordinator"
_TICK_INTERVAL_S = 0.5
_QUEUE_SWEEP_INTERVAL_S = 10.0
_EXPIRY_SWEEP_INTERVAL_S = 3600.0
_CALL_TIMEOUT_S = 1.0
# After this time without a report, the coordinator queries a chunk's holder
# and takes the chunk back unless the holder confirms that it still runs it.
_HOLDER_SILENCE_S = 6.0
# The work reports that a coordinator receives per second from all VMs
# together. A fleet of more VMs than this makes each VM report less often.
REPORTS_PER_S = 50.0
# How many reports a holder may miss before it counts as silent.
_MAX_MISSED_REPORTS = 3
_MAX_LOADS_PER_TICK = 50
# How long the holder of a cancelled chunk has to seal the answers so far.
# This exceeds the time after which a worker without a coordinator's
# confirmation checks its claim, so a job shown as cancelled runs nowhere.
_CANCEL_GRACE_S = 12.0


class Coordinator:
    """Coordinates the batch jobs in the buckets assigned to this VM."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._retention_s = settings.batch_retention_s
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._wake = threading.Event()
        self._is_stopping = False
        self._unresponsive_vms: set[str] = set()
        self._expiry_swept_s = self._clock.monotonic_s()
        self._expired_count = 0
        self._queue_swept_s = float("-inf")
        self._buckets: list[int] = []

    def connect(self) -> None:
        """Looks up the other services and registers the message handlers."""
        find = self._kernel.find
        self._keyvalue = find(services.KEYVALUE, services.KeyValue)
        self._membership = find(services.MEMBERSHIP, services.Membership)
        self._peers = find(services.PEERS, services.Peers)
        self._config = find(services.CONFIG, services.Config)
        self.coordinators = coordinators.Coordinators(
            self._membership, self._clock
        )
        self._replicas = find(replicas.NAME, replicas.Replicas)
        self._retention = retention.Retention(
            self._keyvalue, self._clock, self._retention_s
        )
        self._finisher = finishing.Finisher(
            self._keyvalue, self._replicas, self._clock, self._retention
        )
        self._table = jobtable.JobTable(self._batch_weight)
        self._peers.register_answers(*batchmessages.ANSWERS)
        self._peers.register_handler(batchmessages.WorkReport, self._on_report)
        self._peers.register_handler(
            batchmessages.JobNotice, self._on_job_notice
        )
        self._peers.register_handler(
            batchmessages.CoordinatorPing, self._on_ping
        )

    def start(self) -> None:
        """Starts the coordinator thread."""
        self.connect()
        threads.start(self._loop, NAME)

    def stop(self, grace_s: float) -> None:
        """Stops at once; another VM takes over the buckets."""
        del grace_s
        self._is_stopping = True
        self._wake.set()

    def dump(self) -> Any:
        """Returns the state of the jobs that this VM coordinates."""
        return {
            "buckets": self._buckets,
            "jobs": self._table.dump(),
            "expired_records": self._expired_count,
        }

    def _loop(self) -> None:
        while not self._is_stopping:
            try:
                self.tick()
            except Exception:  # noqa: BLE001 - the loop must keep running.
                _log.exception("A round failed.")
            self._wake.wait(_TICK_INTERVAL_S)
            self._wake.clear()

    def tick(self) -> None:
        """Runs one round: finds and loads jobs, checks holders, ends jobs."""
        now_s = self._clock.monotonic_s()
        if now_s - self._queue_swept_s >= _QUEUE_SWEEP_INTERVAL_S:
            self._queue_swept_s = now_s
            # Records the failure domains seen so far. A domain that is lost
            # before it was seen would not count as one, and both copies of
            # an object could be placed in a single domain.
            self._replicas.stores()
            self._ping_candidates()
            self._buckets = self.coordinators.own_buckets()
            self._sweep_queues()
            if now_s - self._expiry_swept_s >= _EXPIRY_SWEEP_INTERVAL_S:
                self._expiry_swept_s = now_s
                self._expired_count += sum(
                    map(self._retention.sweep, self._buckets)
                )
        self._load_jobs()
        self._unresponsive_vms.clear()
        for view in self._table.loaded():
            self._check_holders(view)
            self._finish_if_ended(view)

    def _ping_candidates(self) -> None:
        own = self._membership.own_vm().vm
        ping = batchmessages.CoordinatorPing(self._membership.incarnation())
        for vm in self.coordinators.candidates():
            if vm == own:
                continue
            answer = self._peers.call(vm, ping, _CALL_TIMEOUT_S)
            if isinstance(answer, result.Err):
                self.coordinators.suspect(vm)

    # Finding and loading jobs.

    def _sweep_queues(self) -> None:
        # The notice of a new job can be lost, as can the coordinator that
        # received it. The queue in the key-value service is authoritative:
        # it lists every job that has not ended.
        known = self._table.names()
        found: dict[str, batchrecords.QueueEntry] = {}
        for bucket in self._buckets:
            entries = self._keyvalue.list(batchrecords.queue_prefix(bucket))
            if isinstance(entries, result.Err):
                _log.warning("Cannot read the queue: %s.", entries.err_value)
                return
            for entry in entries.ok_value:
                queued = _decode_queue_entry(entry)
                if queued is not None:
                    found[queued.job] = queued
        # Only forgets jobs known before the read: a notice may have added a
        # new job since.
        self._table.forget(known - set(found))
        for queued in found.values():
            self._table.add(queued)

    def _load_jobs(self) -> None:
        for view in self._table.to_load()[:_MAX_LOADS_PER_TICK]:
            if not self._load_job(view):
                # The key-value service is unavailable, and each further
                # call would block until its timeout.
                return

    def _load_job(self, view: jobview.JobView) -> bool:
        job = view.entry.job
        entry = self._keyvalue.get(batchrecords.job_key(job))
        if isinstance(entry, result.Err):
            return False
        if entry.ok_value is None:
            self._finisher.drop_orphan(view.entry)
            self._table.forget((job,))
            return True
        chunks = self._keyvalue.list(batchrecords.chunk_prefix(job))
        if isinstance(chunks, result.Err):
            return False
        try:
            record = batchrecords.load(
                batchrecords.JobRecord, entry.ok_value.value
            )
            known = {
                batchrecords.chunk_of(chunk.key): jobview.KnownRecord(
                    batchrecords.load(batchrecords.ChunkRecord, chunk.value),
                    chunk.revision,
                )
                for chunk in chunks.ok_value
            }
        except codec.CodecError as error:
            _log.error("Job %s has an unreadable record: %s.", job, error)
            self._table.forget((job,))
            return True
        now_s = self._clock.monotonic_s()
        revision = entry.ok_value.revision
        self._table.update(view, record, revision, known, now_s)
        return True

    # Message handlers.

    def _on_report(
        self, vm: str, report: batchmessages.WorkReport
    ) -> batchmessages.WorkOffers:
        offers = self._table.report(
            vm, report, self._clock.monotonic_s(), self._clock.wall_s()
        )
        if report.ended or offers.offers:
            # A job may have ended, or the customer's next job may have to be
            # loaded.
            self._wake.set()
        return offers

    def _batch_weight(self, customer: str) -> float:
        row = self._config.customer(customer)
        return row.batch_weight if row is not None else 1.0

    def _on_job_notice(
        self, vm: str, notice: batchmessages.JobNotice
    ) -> batchmessages.Noted:
        del vm
        self._table.add(notice.entry)
        self._wake.set()
        return batchmessages.Noted()

    def _on_ping(
        self, vm: str, ping: batchmessages.CoordinatorPing
    ) -> batchmessages.Noted:
        del vm, ping
        return batchmessages.Noted()

    # Checking holders.

    def _check_holders(self, view: jobview.JobView) -> None:
        now_s = self._clock.monotonic_s()
        vms = len(self._membership.entry_vms())
        silent_s = _HOLDER_SILENCE_S + _MAX_MISSED_REPORTS * vms / REPORTS_PER_S
        self._table.change(view, lambda: view.expire_offers(now_s))
        running = self._table.change(view, view.running)
        for number, chunk in running:
            is_recent = now_s - chunk.since_s <= silent_s
            if is_recent and self._membership.is_listed(chunk.vm):
                continue
            if self._confirms_hold(view.entry.job, number, chunk):
                confirm = functools.partial(view.confirm, number, now_s)
                self._table.change(view, confirm)
                continue
            # The holder may be frozen and resume later. Its seal then fails
            # with a revision conflict, since the next claim or `_void` has
            # changed the record.
            if view.is_cancelled:
                self._void(view, number, chunk)
            else:
                take_back = functools.partial(view.take_back, number, chunk)
                self._table.change(view, take_back)
            _log.info(
                "Chunk %s/%d lost its holder %s.",
                view.entry.job,
                number,
                chunk.vm,
            )

    def _confirms_hold(
        self, job: str, number: int, chunk: jobview.ChunkView
    ) -> bool:
        if not self._membership.is_listed(chunk.vm):
            return False
        if chunk.vm in self._unresponsive_vms:
            return False
        query = batchmessages.HoldQuery(job, number, chunk.epoch)
        answer = self._peers.call(chunk.vm, query, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Err):
            # Each further query to this VM would time out as well.
            self._unresponsive_vms.add(chunk.vm)
            return False
        is_same = answer.ok_value.incarnation == chunk.incarnation
        return is_same and bool(answer.ok_value.is_held)

    # Ending jobs.

    def _finish_if_ended(self, view: jobview.JobView) -> None:
        record = view.record
        if record is None or view.has_to_reload:
            return
        if view.is_cancelled and not view.has_ended():
            self._fence_holders(view)
        if not view.has_ended():
            return
        outcome = self._finisher.finish(view.entry, record, view.revision)
        if outcome == "ended":
            self._table.forget((view.entry.job,))
        elif outcome == "changed":
            self._table.change(view, view.reload)

    def _fence_holders(self, view: jobview.JobView) -> None:
        # Holders have been asked to stop and seal the answers so far. A
        # holder that does not do so in time is fenced, so that the job can
        # end.
        since_s = view.cancelled_since_s
        if since_s is None:
            return
        vms = len(self._membership.entry_vms())
        wait_s = _CANCEL_GRACE_S + _MAX_MISSED_REPORTS * vms / REPORTS_PER_S
        if self._clock.monotonic_s() - since_s < wait_s:
            return
        running = self._table.change(view, view.running)
        for number, chunk in running:
            self._void(view, number, chunk)

    def _void(
        self, view: jobview.JobView, number: int, chunk: jobview.ChunkView
    ) -> None:
        self._finisher.void(view.entry.job, number, chunk.epoch, chunk.revision)
        self._table.change(view, view.reload)


def _decode_queue_entry(
    entry: services.Entry,
) -> batchrecords.QueueEntry | None:
    try:
        return batchrecords.load(batchrecords.QueueEntry, entry.value)
    except codec.CodecError as error:
        _log.error("Queue entry %s is unreadable: %s.", entry.key, error)
        return None
