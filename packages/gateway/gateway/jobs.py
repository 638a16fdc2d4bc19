"""Submits, reads and ends batch jobs for callers."""

from collections.abc import Iterable
import time
from typing import Any

import result

from bulrushdeal import eventlog
from bulrushdeal import exchanges
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import services
from gateway import backlogs
from gateway import dialect as dialect_lib
from gateway import joblisting
from gateway import jobmessages
from gateway import jobpeers
from gateway import jobreads
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore
from gateway import members
from gateway import names
from gateway import records
from gateway.decisions import backlog

_events = eventlog.Events("jobs")

_READ_TIMEOUT_S = 1.0
_CALL_TIMEOUT_S = 0.3
# The rest of the store's limit is left for the key, JSON and base64 around a
# value.
VALUE_PAYLOAD_SHARE = 0.6
_MAX_INPUT_PARTS = 24
# The memory to read the items of a large job from the store, to find one.
_STORED_INPUT_BYTES = 8_000_000


class Jobs:
    """Accepts jobs into the platform's store and serves them from there."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._value_bytes = int(settings.max_value_bytes * VALUE_PAYLOAD_SHARE)
        self._store_reads = jobreads.of_store(settings.callers_memory_bytes)
        self._peer_reads = jobreads.of_peers()

    def start(self) -> None:
        """Looks up the services that it depends on."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        self._job_store = find(names.JOB_STORE, jobstore.JobStore)
        listing = find(names.JOB_LISTING, joblisting.JobListing)
        self._backlogs = backlogs.Backlogs(
            self._store, self._job_store, listing
        )
        self._members = find(services.MEMBERSHIP, members.Members)
        self._peers = find(services.PEERS, services.Peers)
        self._peers.register_handler(jobmessages.EndJob, self._on_end_job)
        self._peers.register_answers(jobmessages.Ended)
        self._job_peers = jobpeers.JobPeers(self._kernel)
        self._runner: jobmessages.JobRunner | None = None

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns an empty dump; `JobStore` dumps the cached jobs."""
        return {}

    def set_runner(self, runner: jobmessages.JobRunner) -> None:
        """Sets the runner of the jobs that this VM accepts."""
        self._runner = runner
        self._job_peers.set_runner(runner)

    def submit(
        self,
        job: str,
        customer: str,
        route: records.Route,
        path: str,
        submission: dialect_lib.Submission,
    ) -> result.Result[bool, jobmessages.JobError]:
        """Accepts a job; a resubmission of the same job has no effect.

        Returns:
            Whether the job is new.
        """
        cached = self._job_store.cached(job)
        if cached is not None:
            return self._resubmitted(cached.meta, customer)
        try:
            parts = jobrecords.pack_items(submission.items, self._value_bytes)
        except dialect_lib.BadInputError as error:
            return result.Err(jobmessages.JobError("too_large", str(error)))
        if len(parts) > _MAX_INPUT_PARTS:
            return result.Err(
                jobmessages.JobError("too_large", "the job is too large")
            )
        meta = jobrecords.JobMeta(
            job,
            customer,
            route.host,
            path,
            int(time.time() * 1000),
            tuple(item.item for item in submission.items),
            len(parts),
            route.max_attempts,
            route.retention_s,
            route.completion_target_s,
            backlogs.backlog_name(customer, route),
        )
        accepted = self._accept(
            meta, submission.items, parts, route.max_waiting_tokens
        )
        if isinstance(accepted, result.Err):
            return self._refuse_unless_accepted(meta, accepted.err_value)
        return accepted

    def _refuse_unless_accepted(
        self, meta: jobrecords.JobMeta, error: jobmessages.JobError
    ) -> result.Result[bool, jobmessages.JobError]:
        """Returns the error, unless the job has already been accepted.

        An accepted job counts towards the backlog. If its answer was lost and
        the caller submits it again, the job may find no room because of
        itself, and a refusal would say that no item of it runs.
        """
        if error.kind != "no_room":
            return result.Err(error)
        view = self._job_store.view(meta.job)
        if isinstance(view, result.Ok):
            return self._resubmitted(view.ok_value.meta, meta.customer)
        if view.err_value.kind != "missing":
            return view
        return result.Err(error)

    def _accept(
        self,
        meta: jobrecords.JobMeta,
        items: tuple[dialect_lib.JobItem, ...],
        parts: tuple[bytes, ...],
        max_waiting_tokens: int,
    ) -> result.Result[bool, jobmessages.JobError]:
        runner = self._runner
        lease = self._lease_for_claim()
        demand = backlog.Demand(
            sum(item.tokens for item in items), max_waiting_tokens
        )
        acceptance = backlogs.JobAcceptance(
            meta,
            dialect_lib.RevisionCondition(
                self._job_store.keys.meta(meta.job), 0
            ),
            self._acceptance_writes(meta, parts, demand.tokens, lease),
        )
        committed = self._backlogs.accept(acceptance, demand)
        if isinstance(committed, result.Err):
            return committed
        if isinstance(committed.ok_value, dialect_lib.Conflict):
            # The job exists: either an earlier try was committed and its
            # answer lost, or another VM accepted the job.
            return self._resolve_conflict(meta, items)
        self._log_accepted(meta, lease)
        self._job_store.cache(meta)
        if runner is not None and lease:
            runner.start_job(
                jobmessages.Accepted(
                    meta, items, jobstate.HeldClaim(committed.ok_value, lease)
                )
            )
        return result.Ok(True)

    def _lease_for_claim(self) -> int:
        """Returns the lease for a new job's claim; 0 to accept it unclaimed.

        If the store was unavailable for longer than a lease, this VM's lease
        has expired. A claim under it would make the store reject the whole
        job until this VM has a new lease.
        """
        if self._runner is None or not self._runner.is_accepting():
            return 0
        return self._members.lease() if self._members.has_valid_lease() else 0

    def _acceptance_writes(
        self,
        meta: jobrecords.JobMeta,
        parts: tuple[bytes, ...],
        tokens: int,
        lease: int,
    ) -> tuple[dialect_lib.Write, ...]:
        keys, write = self._job_store.keys, dialect_lib.Write
        rows = [
            write(keys.meta(meta.job), jobrecords.pack(meta)),
            write(
                keys.open_job(meta.job),
                jobrecords.pack(meta.open_record(tokens)),
            ),
        ]
        for number, part in enumerate(parts):
            rows.append(write(keys.part(meta.job, number), part))
        if lease:
            claim = jobrecords.pack(jobrecords.Claim(self._vm))
            rows.append(write(keys.claim(meta.job), claim, lease))
        return tuple(rows)

    def _resolve_conflict(
        self,
        meta: jobrecords.JobMeta,
        items: tuple[dialect_lib.JobItem, ...],
    ) -> result.Result[bool, jobmessages.JobError]:
        claim = self._store.get(
            self._job_store.keys.claim(meta.job), _READ_TIMEOUT_S
        )
        if claim.is_err():
            return result.Err(
                jobmessages.JobError("unknown", claim.unwrap_err().message)
            )
        entry = claim.unwrap()
        view = self._job_store.view(meta.job)
        if isinstance(view, result.Err):
            return result.Err(
                jobmessages.JobError("unknown", view.err_value.message)
            )
        if view.ok_value.meta == meta and self._is_claim_of_this_vm(entry):
            self._log_accepted(meta, 1)
            if self._runner is not None and entry is not None:
                self._runner.start_job(
                    jobmessages.Accepted(
                        meta, items, jobstate.HeldClaim(entry.revision)
                    )
                )
            return result.Ok(True)
        return self._resubmitted(view.ok_value.meta, meta.customer)

    def _is_claim_of_this_vm(self, entry: dialect_lib.Entry | None) -> bool:
        return entry is not None and jobrecords.is_held_by(
            entry.value, self._vm
        )

    def _log_accepted(self, meta: jobrecords.JobMeta, lease: int) -> None:
        _events.info(
            "accepted",
            job=meta.job,
            customer=meta.customer,
            items=len(meta.items),
            is_claimed=bool(lease),
        )

    def _resubmitted(
        self, meta: jobrecords.JobMeta, customer: str
    ) -> result.Result[bool, jobmessages.JobError]:
        if meta.customer != customer:
            return result.Err(jobmessages.JobError("missing", "no such job"))
        _events.info("repeated", job=meta.job)
        return result.Ok(False)

    def read(
        self,
        job: str,
        customer: str,
        after: int,
        wait_s: float,
        exchange: exchanges.Exchange,
    ) -> result.Result[dialect_lib.JobPage, jobmessages.JobError]:
        """Returns results from a position on, and may wait for the first.

        Results never change, so those read before are served from memory.
        Only the VM that holds the job's claim, or the store, can say that
        there are no more.

        Args:
            job: The job's id.
            customer: The customer that asks; other customers' jobs are
                reported as missing.
            after: The position of the first result to return.
            wait_s: How long to wait for a result if there is none, in seconds.
            exchange: The account of what is held meanwhile.
        """
        found = self._view_for_customer(job, customer, exchange)
        if isinstance(found, result.Err):
            return found
        view = found.ok_value
        is_known = (
            view.is_whole()
            or len(view.results) > after
            or self._job_peers.fetch_results(
                view, after, wait_s, lambda: self._peer_reads.begin(exchange)
            )
        )
        if is_known:
            return result.Ok(_page(view, after, view.results[after:]))
        return self._read_stored(view, after, wait_s, exchange)

    def _read_stored(
        self,
        view: jobstore.JobView,
        after: int,
        wait_s: float,
        exchange: exchanges.Exchange,
    ) -> result.Result[dialect_lib.JobPage, jobmessages.JobError]:
        """Returns results as the store has them; see `read`."""
        with self._store_reads.begin(exchange) as has_room:
            if not has_room:
                return result.Err(jobmessages.NO_MEMORY)
            read = self._job_store.read_page(view, after)
        if isinstance(read, result.Err):
            return read
        rows, revision = read.ok_value
        if not rows and after < len(view.meta.items):
            rows = self._wait_for_result(view, after, revision, wait_s)
        return result.Ok(_page(view, after, rows))

    def _wait_for_result(
        self, view: jobstore.JobView, after: int, revision: int, wait_s: float
    ) -> tuple[dialect_lib.ItemResult, ...]:
        if wait_s <= 0:
            return ()
        prefix = self._job_store.keys.results(view.meta.job)
        changed = self._store.watch(
            prefix, revision, wait_s, wait_s + _READ_TIMEOUT_S
        )
        if changed.is_err():
            # The caller gets no results, which is true of its last read.
            return ()
        entries = changed.unwrap().entries
        return self._job_store.add_entries(view, entries, after)

    def input(
        self,
        job: str,
        customer: str,
        item: str,
        exchange: exchanges.Exchange,
    ) -> result.Result[bytes, jobmessages.JobError]:
        """Returns the request body of a job's item.

        Args:
            job: The job's id.
            customer: The customer that asks; see `read`.
            item: The item's id.
            exchange: The account of what is held meanwhile.
        """
        found = self._view_for_customer(job, customer, exchange)
        if isinstance(found, result.Err):
            return found
        if item not in found.ok_value.meta.items:
            return result.Err(jobmessages.JobError("missing", "no such item"))
        with self._peer_reads.begin(exchange) as has_room:
            if not has_room:
                return result.Err(jobmessages.NO_MEMORY)
            body = self._job_peers.input(job, item)
        if body is not None:
            return result.Ok(body)
        if not exchange.grow(_STORED_INPUT_BYTES):
            return result.Err(jobmessages.NO_MEMORY)
        items = self._job_store.read_items(found.ok_value.meta)
        if isinstance(items, result.Err):
            return items
        for row in items.ok_value:
            if row.item == item:
                return result.Ok(row.body)
        return result.Err(jobmessages.JobError("missing", "no such item"))

    def end(
        self, job: str, customer: str
    ) -> result.Result[None, jobmessages.JobError]:
        """Ends a job; its items without a result run no more."""
        found = self._view_for_customer(job, customer, exchanges.detached())
        if isinstance(found, result.Err):
            return found
        keys = self._job_store.keys
        claim = self._store.get(keys.claim(job), _READ_TIMEOUT_S)
        committed = self._job_store.commit(
            (),
            (dialect_lib.Write(keys.ended(job), b"1"),),
            (keys.open_job(job), keys.claim(job)),
        )
        if isinstance(committed, result.Err):
            return committed
        _events.info("ended", job=job, customer=customer)
        if self._runner is not None:
            self._runner.drop(job)
        if claim.is_ok():
            self._notify_holder(job, claim.unwrap())
        return result.Ok(None)

    def _notify_holder(self, job: str, entry: dialect_lib.Entry | None) -> None:
        if (
            entry is None
            or entry.value is None
            or self._is_claim_of_this_vm(entry)
        ):
            return
        vm = jobrecords.unpack(jobrecords.Claim, entry.value).vm
        # If this message is lost, that VM notices with its next scan of the
        # open jobs.
        self._peers.call(vm, jobmessages.EndJob(job), _CALL_TIMEOUT_S)

    def _on_end_job(
        self, vm: str, message: jobmessages.EndJob
    ) -> jobmessages.Ended:
        del vm
        if self._runner is not None:
            self._runner.drop(message.job)
        return jobmessages.Ended()

    def running_at(self, vm: str, jobs: Iterable[str]) -> frozenset[str]:
        """Returns which of some jobs another VM runs; none if unknown."""
        return self._job_peers.running_at(vm, jobs)

    def _view_for_customer(
        self, job: str, customer: str, exchange: exchanges.Exchange
    ) -> result.Result[jobstore.JobView, jobmessages.JobError]:
        if self._job_store.cached(job) is None:
            # The store has it as well if there is no room to ask others.
            with self._peer_reads.begin(exchange) as has_room:
                if has_room:
                    self._job_peers.fetch_job(job)
        view = self._job_store.view(job)
        if isinstance(view, result.Err):
            return view
        if view.ok_value.meta.customer != customer:
            return result.Err(jobmessages.JobError("missing", "no such job"))
        return view


def _page(
    view: jobstore.JobView,
    after: int,
    results: Iterable[dialect_lib.ItemResult],
) -> dialect_lib.JobPage:
    rows = jobpeers.fit_page(results)
    return dialect_lib.JobPage(len(view.meta.items), after + len(rows), rows)
