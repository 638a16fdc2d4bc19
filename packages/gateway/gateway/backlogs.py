"""Accepts batch jobs into the store while their customer's backlog has room.

Beside the jobs lies a count of tokens for each customer and route. A job adds
its own in the change that accepts it, on condition of the count's revision,
so VMs that accept jobs at once cannot pass the bound together. Nothing is
taken off as items end: the count is an upper bound, and only a VM that finds
no room by it adds up what waits, from the open jobs themselves.
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
from gateway import jobbook
from gateway import joblisting
from gateway import jobmessages
from gateway import jobrecords
from gateway import paging
from gateway import records
from gateway.decisions import backlog

_events = eventlog.Events("jobs")

_READ_S = 1.0
# Each conflict means that another VM's job came first.
_MAX_TRIES = 12
_MAX_PAUSE_S = 0.03
_MAX_REMEMBERED = 10_000


class Change(NamedTuple):
    """The change that accepts a job; `expected` fails if it is there."""

    meta: jobrecords.JobMeta
    expected: dialect_lib.Expected
    writes: tuple[dialect_lib.Write, ...]


class _Counted(NamedTuple):
    """A count as the store had it; revision 0 if it had none.

    Attributes:
        tokens: At most so many wait; `None` if that is not known.
        revision: Of the count.
    """

    tokens: int | None
    revision: int


def name(customer: str, route: records.Route) -> str:
    """Returns what a customer's backlog on a route is called in the store."""
    which = route.name or f"{route.host}{route.prefix}"
    # Keys are short, and names may be long.
    return hashlib.sha256(f"{customer}\n{which}".encode()).hexdigest()[:32]


class Backlogs:
    """Keeps each customer's waiting tokens on a route within the bound."""

    def __init__(
        self,
        store: dialect_lib.Store,
        book: jobbook.JobBook,
        listing: joblisting.JobListing,
    ) -> None:
        self._store = store
        self._book = book
        self._listing = listing
        self._lock = threading.Lock()
        self._counted: dict[str, _Counted] = {}

    def accept(
        self, change: Change, demand: backlog.Demand
    ) -> result.Result[int | dialect_lib.Conflict, jobmessages.JobError]:
        """Makes the change that accepts a job, if it fits.

        Returns:
            As `JobBook.commit`; a conflict means that the job is there.
        """
        key = self._book.keys.backlog(change.meta.backlog)
        if not demand.bound:
            # Whoever finds a bound later has to add up what waits.
            value = jobrecords.pack(jobrecords.Backlog(None))
            uncounted = dialect_lib.Write(key, value)
            return self._book.commit(
                (change.expected,), (*change.writes, uncounted), ()
            )
        for _ in range(_MAX_TRIES):
            room = self._room(change.meta.backlog, demand)
            if isinstance(room, result.Err):
                return room
            counted = room.ok_value
            tokens = (counted.tokens or 0) + demand.tokens
            made = self._commit(change, key, counted._replace(tokens=tokens))
            if isinstance(made, result.Err):
                self._forget(key)
                return made
            if isinstance(made.ok_value, int):
                self._learn(key, _Counted(tokens, made.ok_value))
                return made
            if _is_there(made.ok_value, change.expected.key):
                return made
            self._learn(key, _read(_find(made.ok_value, key)))
            time.sleep(random.uniform(0.0, _MAX_PAUSE_S))
        return result.Err(
            jobmessages.JobError("unavailable", "too many jobs at once")
        )

    def _commit(
        self, change: Change, key: str, counted: _Counted
    ) -> result.Result[int | dialect_lib.Conflict, jobmessages.JobError]:
        value = jobrecords.pack(jobrecords.Backlog(counted.tokens or 0))
        return self._book.commit(
            (change.expected, dialect_lib.Expected(key, counted.revision)),
            (*change.writes, dialect_lib.Write(key, value)),
            (),
        )

    def _room(
        self, backlog_name: str, demand: backlog.Demand
    ) -> result.Result[_Counted, jobmessages.JobError]:
        """Returns the count that a job may be added to."""
        held = self._remembered(backlog_name)
        if held.tokens is not None and demand.fits(held.tokens):
            return result.Ok(held)
        # The count's revision is older than this listing: a job that came
        # after the listing makes the change fail.
        listed = paging.read_all(self._store, self._book.keys.open, _READ_S)
        if listed.is_err():
            return jobbook.unavailable(listed.unwrap_err())
        rows = [
            row
            for row in map(_opened, listed.unwrap().entries)
            if row is not None and row.backlog == backlog_name
        ]
        waiting = backlog.count(rows)
        if demand.fits(waiting):
            return result.Ok(held._replace(tokens=waiting))
        now_ms = int(time.time() * 1000)
        return result.Err(
            jobmessages.JobError(
                "no_room",
                f"{waiting} tokens wait, {demand.tokens} more come to over "
                f"{demand.bound}",
                backlog.retry_after_s(rows, demand, now_ms),
            )
        )

    def _remembered(self, backlog_name: str) -> _Counted:
        """Returns the newest count known here, without a call.

        While the store is slow, a second call before the job's own would
        make its acceptance late.
        """
        key = self._book.keys.backlog(backlog_name)
        # A count that was never written misses no job.
        counted = self._counted.get(key, _Counted(0, 0))
        listed = self._listing.backlog(backlog_name)
        if listed is None or listed.revision < counted.revision:
            return counted
        return _Counted(listed.backlog.tokens, listed.revision)

    def _learn(self, key: str, counted: _Counted) -> None:
        with self._lock:
            if len(self._counted) >= _MAX_REMEMBERED:
                self._counted.clear()
            self._counted[key] = counted

    def _forget(self, key: str) -> None:
        with self._lock:
            self._counted.pop(key, None)


def _find(conflict: dialect_lib.Conflict, key: str) -> dialect_lib.Entry | None:
    for entry in conflict.entries:
        if entry.key == key:
            return entry
    return None


def _is_there(conflict: dialect_lib.Conflict, key: str) -> bool:
    entry = _find(conflict, key)
    return entry is not None and entry.value is not None


def _read(entry: dialect_lib.Entry | None) -> _Counted:
    if entry is None or entry.value is None:
        return _Counted(0, 0)
    return _Counted(jobrecords.backlog(entry.value).tokens, entry.revision)


def _opened(entry: dialect_lib.Entry) -> jobrecords.OpenJob | None:
    if entry.value is None:
        return None
    try:
        return jobrecords.unpack(jobrecords.OpenJob, entry.value)
    except codec.CodecError as error:
        _events.warning("bad_record", key=entry.key, why=str(error))
        return None
