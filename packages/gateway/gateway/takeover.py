"""Finds open jobs that no VM runs, and claims them for this VM."""

import collections
from collections.abc import Callable, Iterable, Mapping
import random
import threading
import time
from typing import NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import eventlog
from bulrushdeal import threads
from gateway import dialect as dialect_lib
from gateway import jobclaims
from gateway import joblisting
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore
from gateway import members

_events = eventlog.Events("runner")

# Interval between scans: how soon a job is taken over once its VM has stopped,
# or has died and its lease has ended. An ended job must stop within 3 s even if
# the message about it is lost; a scan here, one on the VM that reads the store
# for this one and the transfer between them take at most 2.4 s.
_SCAN_INTERVAL_S = 0.8
_MAX_UNCLAIMED = 10_000
# For how many scans a job is left to the VM that had its claim and runs it. It
# needs one scan, and a lease if it has lost its own.
_MAX_DEFERRED_SCANS = 4
_START_RETRY_S = 0.1
# How long a VM that has started waits for a reader VM to send the listing.
# Shorter than a lease, because this VM's claims from before the restart must be
# renewed within one.
_LISTING_WAIT_S = 1.2
# The same at the first start of the whole system, before which there was none.
_FIRST_START_LISTING_WAIT_S = 4.0
_READ_TIMEOUT_S = 1.0


class _ClaimedJob(NamedTuple):
    """A job that this VM has claimed but does not run yet."""

    job: str
    claim: jobstate.HeldClaim


class Policy(NamedTuple):
    """Which jobs a VM takes over, and when it begins to.

    Attributes:
        may_hold: Returns whether this VM's region may have a job's items.
        is_first_start: Whether the whole system starts for the first time.
        running_at: Returns which of some jobs another VM runs.
    """

    may_hold: Callable[[str], bool]
    is_first_start: bool
    running_at: Callable[[str, Iterable[str]], frozenset[str]]


class Takeover:
    """Takes over unclaimed open jobs, and resumes those this VM has claimed.

    Args:
        policy: Which jobs to take over.
        on_job: Called with the id of each job that this VM starts to run.
    """

    def __init__(
        self,
        store: dialect_lib.Store,
        job_store: jobstore.JobStore,
        listing: joblisting.JobListing,
        vms: members.Members,
        policy: Policy,
        table: jobstate.JobTable,
        claims: jobclaims.Claims,
        on_job: Callable[[str], None],
    ) -> None:
        self._store = store
        self._job_store = job_store
        self._listing = listing
        self._members = vms
        self._may_hold = policy.may_hold
        self._running_at = policy.running_at
        self._vm = vms.own_vm().vm
        self._table = table
        self._claims = claims
        self._on_job = on_job
        self._listing_wait_s = (
            _FIRST_START_LISTING_WAIT_S
            if policy.is_first_start
            else _LISTING_WAIT_S
        )
        self._stopping = threading.Event()
        # Number of scans that found each job without a claim.
        self._unclaimed_scans: dict[str, int] = {}
        # The VM that was last seen with the claim of each open job.
        self._last_holders: dict[str, str] = {}

    def start(self) -> None:
        """Starts the thread that scans for jobs."""
        threads.start(self._run, "takeover")

    def stop(self) -> None:
        """Stops taking over jobs."""
        self._stopping.set()

    def holder(self, job: str) -> str:
        """Returns the last known VM with a job's claim; empty if unknown."""
        if self._table.get(job) is not None:
            return self._vm
        return self._listing.snapshot()[0].holders().get(job, "")

    def _run(self) -> None:
        threads.OWN.run_reported(self._resume_after_restart, "takeover")
        while not self._stopping.wait(
            _SCAN_INTERVAL_S * random.uniform(0.8, 1.2)
        ):
            try:
                self._scan()
            except Exception as error:  # noqa: BLE001 - the next scan may work.
                _events.warning("scan_failed", why=repr(error))

    def _scan(self) -> None:
        own = self._table.names()
        # Computed before the rows are fetched, which are at least as recent.
        read_s = time.monotonic() - self._listing.age_s()
        rows = self._listing.rows_or_read()
        if rows is None:
            return
        open_jobs = set(rows.open_jobs)
        for job in own - open_jobs:
            if self._table.added_at_s(job) < read_s:
                self._drop_if_closed(job)
        for claim in rows.claims:
            self._drop_if_lost(claim)
        holders = rows.holders()
        self._claim_again(open_jobs - holders.keys(), read_s)
        self._resume_forgotten(rows, open_jobs, read_s)
        self._record_holders(open_jobs, holders)
        free = {
            job
            for job in open_jobs - holders.keys() - own
            if self._should_take_over(job)
        }
        for job in free - self._run_elsewhere(free):
            if not self._stopping.is_set():
                self._try_take_over(job)

    def _record_holders(
        self, open_jobs: set[str], holders: Mapping[str, str]
    ) -> None:
        known = self._last_holders | dict(holders)
        self._last_holders = {
            job: known[job] for job in open_jobs & known.keys()
        }
        for job in self._unclaimed_scans.keys() & holders.keys():
            del self._unclaimed_scans[job]

    def _claim_again(self, unclaimed: set[str], read_s: float) -> None:
        """Claims jobs again that this VM runs and whose claims have ended.

        They end with the lease, in an outage that outlasts it for instance.
        Until a result is to be written nothing else would tell this VM, and
        another VM would take the jobs over and run their items beside it.

        Args:
            unclaimed: The open jobs without a claim.
            read_s: When the listing was read, by the monotonic clock.
        """
        lease = self._members.lease()
        if not lease:
            return
        for state in self._table.by_due_time():
            job = state.meta.job
            is_unclaimed = (
                job in unclaimed and self._table.added_at_s(job) < read_s
            )
            is_outdated = state.claim.lease not in (0, lease)
            if not is_unclaimed and not is_outdated:
                continue
            with state.list_lock:
                if state.is_dropped:
                    continue
                claimed = self._claims.take_again(state)
            if isinstance(claimed, result.Ok):
                _events.info("claimed_again", job=job)
            elif claimed.err_value.kind in ("unavailable", "unknown"):
                # The store would refuse the others as well.
                return
            elif self._table.remove(job):
                why = claimed.err_value.message
                _events.info("dropped", job=job, why=why)

    def _run_elsewhere(self, jobs: Iterable[str]) -> set[str]:
        """Returns the unclaimed jobs that the VMs that had them go on running.

        Those VMs claim them again. One that cannot do so in a few scans does
        not keep a job from the others.
        """
        by_holder: dict[str, list[str]] = collections.defaultdict(list)
        for job in jobs:
            holder = self._last_holders.get(job, "")
            if holder not in ("", self._vm) and (
                self._unclaimed_scans[job] <= _MAX_DEFERRED_SCANS
            ):
                by_holder[holder].append(job)
        found: set[str] = set()
        for holder, rows in by_holder.items():
            found |= self._running_at(holder, rows)
        return found

    def _drop_if_lost(self, claim: joblisting.ClaimRow) -> None:
        """Stops to run a job that another VM has claimed since.

        A VM whose claim ended, as in a pause, would go on running items beside
        the other VM until it has a result to write.
        """
        state = self._table.get(claim.job)
        if state is None or claim.vm == self._vm:
            return
        # A listing may be older than this VM's claim.
        if claim.revision > state.claim.revision and self._table.remove(
            claim.job
        ):
            _events.info("dropped", job=claim.job, why="another VM claimed it")

    def _resume_forgotten(
        self, rows: joblisting.JobRows, open_jobs: set[str], read_s: float
    ) -> None:
        """Resumes jobs that this VM has claimed but does not run.

        If the store fails between the claim and the read of the job, the lease
        is still renewed, so no other VM would ever take over the job.

        Args:
            rows: The listing of jobs.
            open_jobs: The ids of the jobs that the listing shows as open.
            read_s: When the listing was read, by the monotonic clock. A job
                that this VM removed after that is not resumed.
        """
        for claim in rows.held_by(self._vm):
            if claim.job not in open_jobs or self._table.get(claim.job):
                continue
            if self._table.removed_at_s(claim.job) < read_s:
                _events.warning("forgotten", job=claim.job)
                self._renew_and_run(claim)

    def _should_take_over(self, job: str) -> bool:
        """Returns whether this VM should take over an unclaimed job.

        Each job ranks the VMs in its own order, which spreads the jobs of a
        dead VM over the others. Each scan admits one more VM of that order.
        """
        count = self._unclaimed_scans.get(job, 0)
        if len(self._unclaimed_scans) > _MAX_UNCLAIMED:
            self._unclaimed_scans.clear()
        self._unclaimed_scans[job] = count + 1
        first = self._members.rank(f"job {job}")[: count + 1]
        return self._vm in first

    def _resume_after_restart(self) -> None:
        """Resumes the jobs that this VM ran before it restarted.

        The earlier process's claims last until its lease ends; until then no
        other VM takes over those jobs.
        """
        started_s = time.monotonic()
        while not self._stopping.wait(_START_RETRY_S):
            if not self._members.lease():
                continue
            rows = self._first_listing(time.monotonic() - started_s)
            if rows is None:
                continue
            for claim in rows.held_by(self._vm):
                self._renew_and_run(claim)
            return

    def _first_listing(self, waited_s: float) -> joblisting.JobRows | None:
        """Returns the listing from a reader VM, or from the store after a wait.

        Without the wait, VMs that are all started at once would all read the
        listing from the store.
        """
        if self._listing.is_received():
            return self._listing.rows_or_read()
        return self._listing.read() if waited_s > self._listing_wait_s else None

    def _renew_and_run(self, claim: joblisting.ClaimRow) -> None:
        renewed = self._claims.renew(claim)
        if renewed is not None:
            self._run_claimed_job(_ClaimedJob(claim.job, renewed))

    def _drop_if_closed(self, job: str) -> None:
        got = self._store.get(
            self._job_store.keys.open_job(job), _READ_TIMEOUT_S
        )
        is_ended = got.is_ok() and got.unwrap() is None
        if is_ended and self._table.remove(job):
            _events.info("dropped", job=job, why="it is not open any more")

    def _try_take_over(self, job: str) -> None:
        """Takes over a job; an error with one must not cost the others."""
        try:
            self._take_over(job)
        except Exception as error:  # noqa: BLE001 - the next scan may work.
            _events.warning("not_taken_over", job=job, why=repr(error))

    def _take_over(self, job: str) -> None:
        if not self._may_hold(job):
            return
        claimed = self._claims.take(job)
        if isinstance(claimed, result.Ok):
            self._run_claimed_job(_ClaimedJob(job, claimed.ok_value))

    def _run_claimed_job(self, claimed: _ClaimedJob) -> None:
        job = claimed.job
        try:
            state = self._read_job(claimed)
        except codec.CodecError as error:
            _events.warning("bad_record", job=job, why=str(error))
            return
        if state is None:
            # The next scan finds the claim and reads the job again.
            return
        self._unclaimed_scans.pop(job, None)
        if self._table.add(state) is not state:
            return
        _events.info(
            "taken_over",
            job=job,
            listed=state.next_position,
            left=state.count_pending(),
            failures=sum(state.failures().values()),
        )
        self._on_job(job)
        if state.is_done():
            self._close_finished(state)

    def _read_job(self, claimed: _ClaimedJob) -> jobstate.JobState | None:
        meta = self._job_store.meta(claimed.job)
        if meta.is_err():
            return None
        items = self._job_store.read_items(meta.unwrap())
        listed = self._job_store.read_results(claimed.job)
        key = self._job_store.keys.progress(claimed.job)
        progress = self._store.get(key, _READ_TIMEOUT_S)
        if items.is_err() or listed.is_err() or progress.is_err():
            return None
        state = jobstate.JobState(
            meta.unwrap(), items.unwrap(), claimed.claim, listed.unwrap()
        )
        entry = progress.unwrap()
        if entry is not None and entry.value is not None:
            _restore_progress(state, entry.value)
        return state

    def _close_finished(self, state: jobstate.JobState) -> None:
        """Closes a job whose results have all been written."""
        keys, job = self._job_store.keys, state.meta.job
        expected = dialect_lib.RevisionCondition(
            keys.claim(job), state.claim.revision
        )
        self._job_store.commit(
            (expected,), (), (keys.open_job(job), keys.claim(job))
        )
        self._table.remove(job)


def _restore_progress(state: jobstate.JobState, value: bytes) -> None:
    """Restores progress; if it is unreadable, items begin from their start."""
    try:
        state.restore_progress(jobrecords.unpack_progress(value))
    except codec.CodecError as error:
        _events.warning("bad_record", job=state.meta.job, why=str(error))
