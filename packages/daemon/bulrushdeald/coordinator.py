"""Offers chunks of batch jobs to the VMs and ends jobs that are done."""

import functools
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
from bulrushdeald import jobtable
from bulrushdeald import jobview
from bulrushdeald import replicas
from bulrushdeald import retention
from bulrushdeald import services

_log = logs.Log("coordinator")

NAME = "coordinator"
_TICK_S = 0.5
_SWEEP_S = 10.0
_EXPIRY_S = 3600.0
_CALL_TIMEOUT_S = 1.0
# A holder that was not heard of for so long is asked, and loses the chunk
# if it does not say that it still runs it.
_SILENT_S = 6.0
# VMs report in turn, the whole fleet about so often; a holder may miss
# some reports before it counts as silent.
REPORTS_PER_S = 50.0
_MISSED_REPORTS = 3
_LOADS_A_ROUND = 50
# A cancelled chunk's holder has so long to seal what was answered. It is
# longer than `worker` goes on without a coordinator's word, so that a job
# that shows as cancelled runs nowhere.
_CANCEL_S = 12.0


class Coordinator:
    """Coordinates the jobs of the buckets that fall to this VM."""

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
        self._silent: set[str] = set()
        self._expired_s = self._clock.monotonic_s()
        self._expired = 0
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
        self._replicas = find(replicas.NAME, replicas.Replicas)
        self._retention = retention.Retention(
            self._keyvalue, self._clock, self._retention_s
        )
        self._finisher = finishing.Finisher(
            self._keyvalue, self._replicas, self._clock, self._retention
        )
        self._table = jobtable.JobTable(self._weight)
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
        return {
            "buckets": self._buckets,
            "jobs": self._table.dump(),
            "expired_records": self._expired,
        }

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
            # Which failure domains there are has to be known before the
            # first of them is lost.
            self._replicas.stores()
            self._ping_others()
            self._buckets = self.coordinators.own_buckets()
            self._sweep()
            if now_s - self._expired_s >= _EXPIRY_S:
                self._expired_s = now_s
                self._expired += sum(map(self._retention.sweep, self._buckets))
        self._load_some()
        self._silent.clear()
        for view in self._table.loaded():
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
        known = self._table.names()
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
        # Only what was known before: a notice may have come meanwhile.
        self._table.forget(known - set(found))
        for queued in found.values():
            self._table.add(queued)

    def _load_some(self) -> None:
        for view in self._table.to_load()[:_LOADS_A_ROUND]:
            if not self._load(view):
                # The platform's service is out; the next calls would each
                # wait for their timeout.
                return

    def _load(self, view: jobview.JobView) -> bool:
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

    # Messages.

    def _on_report(
        self, vm: str, report: batchmessages.WorkReport
    ) -> batchmessages.WorkOffers:
        offers = self._table.report(
            vm, report, self._clock.monotonic_s(), self._clock.wall_s()
        )
        if report.ended or offers.offers:
            # A job may have ended, or the customer's next has to be read.
            self._wake.set()
        return offers

    def _weight(self, customer: str) -> float:
        row = self._config.customer(customer)
        return row.batch_weight if row is not None else 1.0

    def _on_notice(
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

    # Watching holders.

    def _watch(self, view: jobview.JobView) -> None:
        now_s = self._clock.monotonic_s()
        vms = len(self._membership.entry_vms())
        silent_s = _SILENT_S + _MISSED_REPORTS * vms / REPORTS_PER_S
        self._table.change(view, lambda: view.expire_offers(now_s))
        running = self._table.change(view, view.running)
        for number, chunk in running:
            is_heard = now_s - chunk.since_s <= silent_s
            if is_heard and self._membership.is_listed(chunk.vm):
                continue
            if self._holds(view.entry.job, number, chunk):
                confirm = functools.partial(view.confirm, number, now_s)
                self._table.change(view, confirm)
                continue
            # It may be frozen and come back. Its seal then expects a
            # revision that the next claim, or this, has changed.
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

    def _holds(self, job: str, number: int, chunk: jobview.ChunkView) -> bool:
        if not self._membership.is_listed(chunk.vm):
            return False
        if chunk.vm in self._silent:
            return False
        query = batchmessages.HoldQuery(job, number, chunk.epoch)
        answer = self._peers.call(chunk.vm, query, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Err):
            # Each further question in this round would wait as long.
            self._silent.add(chunk.vm)
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
        if outcome == "ended":
            self._table.forget((view.entry.job,))
        elif outcome == "changed":
            self._table.change(view, view.reload)

    def _end_holders(self, view: jobview.JobView) -> None:
        # Holders were told to stop and seal what was answered. One that
        # does not in time is fenced off, so that the job can end.
        since_s = view.cancelled_since_s
        if since_s is None:
            return
        vms = len(self._membership.entry_vms())
        wait_s = _CANCEL_S + _MISSED_REPORTS * vms / REPORTS_PER_S
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


def _load_entry(entry: services.Entry) -> batchrecords.QueueEntry | None:
    try:
        return batchrecords.load(batchrecords.QueueEntry, entry.value)
    except codec.CodecError as error:
        _log.error("Queue entry %s is unreadable: %s.", entry.key, error)
        return None
