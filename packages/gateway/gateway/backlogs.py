"""Accepts batch jobs into the store while the customer's backlog has room.

The store holds a count of waiting tokens for each customer and route. The
transaction that accepts a job adds the job's tokens to the count, on condition
of the count's revision, so VMs that accept jobs concurrently cannot exceed the
bound together. The count is not reduced as items end: it is an upper bound,
and a VM recomputes it from the open jobs only if it is unknown or a job does
not fit.
"""

import hashlib
import random
import threading
import time
from typing import NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import eventlog
from gateway import dialect as dialect_lib
from gateway import joblisting
from gateway import jobmessages
from gateway import jobrecords
from gateway import jobstore
from gateway import paging
from gateway import records
from gateway.decisions import backlog

_events = eventlog.Events("jobs")

_READ_TIMEOUT_S = 1.0
# Each conflict means that another job was counted first.
_MAX_TRIES = 12
_MAX_RETRY_PAUSE_S = 0.03
_MAX_CACHED_COUNTS = 10_000


class JobAcceptance(NamedTuple):
    """The store transaction that accepts a job.

    Attributes:
        meta: The job.
        expected: The condition that the job does not exist yet.
        writes: The entries that make up the job.
    """

    meta: jobrecords.JobMeta
    expected: dialect_lib.RevisionCondition
    writes: tuple[dialect_lib.Write, ...]


class _Count(NamedTuple):
    """The count of a backlog as last read from or written to the store.

    Attributes:
        tokens: Upper bound of the waiting tokens; `None` if unknown.
        revision: The revision of the count in the store; 0 if it has none.
    """

    tokens: int | None
    revision: int


def backlog_name(customer: str, route: records.Route) -> str:
    """Returns the name of a customer's backlog on a route in the store."""
    which = route.name or f"{route.host}{route.prefix}"
    # Hashed because keys are short and names may be long.
    return hashlib.sha256(f"{customer}\n{which}".encode()).hexdigest()[:32]


class Backlogs:
    """Keeps the waiting tokens of each customer and route within a bound."""

    def __init__(
        self,
        store: dialect_lib.Store,
        job_store: jobstore.JobStore,
        listing: joblisting.JobListing,
    ) -> None:
        self._store = store
        self._job_store = job_store
        self._listing = listing
        self._lock = threading.Lock()
        self._cached_counts: dict[str, _Count] = {}

    def accept(
        self, acceptance: JobAcceptance, demand: backlog.Demand
    ) -> result.Result[int | dialect_lib.Conflict, jobmessages.JobError]:
        """Commits the transaction that accepts a job, if the job fits.

        Args:
            acceptance: The transaction.
            demand: The job's tokens and the bound; a bound of 0 means none.

        Returns:
            As `JobStore.commit`; a conflict means that the job already exists.
            The error `no_room` means that the job does not fit.
        """
        key = self._job_store.keys.backlog(acceptance.meta.backlog)
        if not demand.bound:
            # An unknown count makes VMs add up the open jobs once a bound is
            # set.
            value = jobrecords.pack(jobrecords.Backlog(None))
            uncounted = dialect_lib.Write(key, value)
            return self._job_store.commit(
                (acceptance.expected,), (*acceptance.writes, uncounted), ()
            )
        for _ in range(_MAX_TRIES):
            found = self._find_count(acceptance.meta.backlog, demand)
            if isinstance(found, result.Err):
                return found
            backlog_count = found.ok_value
            tokens = (backlog_count.tokens or 0) + demand.tokens
            made = self._commit(
                acceptance, key, backlog_count._replace(tokens=tokens)
            )
            if isinstance(made, result.Err):
                self._discard_cached_count(key)
                return made
            if isinstance(made.ok_value, int):
                self._cache_count(key, _Count(tokens, made.ok_value))
                return made
            if _has_entry(made.ok_value, acceptance.expected.key):
                return made
            self._cache_count(
                key, _unpack_count(_find_entry(made.ok_value, key))
            )
            time.sleep(random.uniform(0.0, _MAX_RETRY_PAUSE_S))
        return result.Err(
            jobmessages.JobError("unavailable", "too many jobs at once")
        )

    def _commit(
        self, acceptance: JobAcceptance, key: str, backlog_count: _Count
    ) -> result.Result[int | dialect_lib.Conflict, jobmessages.JobError]:
        value = jobrecords.pack(jobrecords.Backlog(backlog_count.tokens or 0))
        return self._job_store.commit(
            (
                acceptance.expected,
                dialect_lib.RevisionCondition(key, backlog_count.revision),
            ),
            (*acceptance.writes, dialect_lib.Write(key, value)),
            (),
        )

    def _find_count(
        self, name: str, demand: backlog.Demand
    ) -> result.Result[_Count, jobmessages.JobError]:
        """Returns a count that the job fits on top of, or `no_room`."""
        latest = self._latest_count(name)
        if latest.tokens is not None and demand.fits(latest.tokens):
            return result.Ok(latest)
        # The count's revision is older than this listing, so a job that is
        # accepted after the listing makes the commit conflict.
        listed = paging.read_all(
            self._store, self._job_store.keys.open, _READ_TIMEOUT_S
        )
        if listed.is_err():
            return jobstore.job_error(listed.unwrap_err())
        rows = [
            row
            for row in map(_unpack_open_job, listed.unwrap().entries)
            if row is not None and row.backlog == name
        ]
        waiting = backlog.waiting_tokens(rows)
        if demand.fits(waiting):
            return result.Ok(latest._replace(tokens=waiting))
        now_ms = int(time.time() * 1000)
        return result.Err(
            jobmessages.JobError(
                "no_room",
                f"{waiting} tokens are waiting; {demand.tokens} more would "
                f"exceed the limit of {demand.bound}",
                backlog.retry_after_s(rows, demand, now_ms),
            )
        )

    def _latest_count(self, name: str) -> _Count:
        """Returns the newest count that this VM has, without a store call.

        While the store is slow, a second call before the one that accepts the
        job would delay the acceptance.
        """
        key = self._job_store.keys.backlog(name)
        # Assumes that a count missing here does not exist yet; if it does, the
        # commit conflicts and returns it.
        backlog_count = self._cached_counts.get(key, _Count(0, 0))
        listed = self._listing.backlog(name)
        if listed is None or listed.revision < backlog_count.revision:
            return backlog_count
        return _Count(listed.backlog.tokens, listed.revision)

    def _cache_count(self, key: str, backlog_count: _Count) -> None:
        with self._lock:
            if len(self._cached_counts) >= _MAX_CACHED_COUNTS:
                self._cached_counts.clear()
            self._cached_counts[key] = backlog_count

    def _discard_cached_count(self, key: str) -> None:
        with self._lock:
            self._cached_counts.pop(key, None)


def _find_entry(
    conflict: dialect_lib.Conflict, key: str
) -> dialect_lib.Entry | None:
    for entry in conflict.entries:
        if entry.key == key:
            return entry
    return None


def _has_entry(conflict: dialect_lib.Conflict, key: str) -> bool:
    entry = _find_entry(conflict, key)
    return entry is not None and entry.value is not None


def _unpack_count(entry: dialect_lib.Entry | None) -> _Count:
    if entry is None or entry.value is None:
        return _Count(0, 0)
    return _Count(jobrecords.unpack_backlog(entry.value).tokens, entry.revision)


def _unpack_open_job(entry: dialect_lib.Entry) -> jobrecords.OpenJob | None:
    if entry.value is None:
        return None
    try:
        return jobrecords.unpack(jobrecords.OpenJob, entry.value)
    except codec.CodecError as error:
        _events.warning("bad_record", key=entry.key, why=str(error))
        return None
