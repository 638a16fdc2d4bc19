"""The latest listing of open batch jobs, their claims and the backlogs."""

from collections.abc import Mapping
import threading
import time
from typing import Any, NamedTuple

from bulrushdeal import kernel as kernel_lib
from gateway import dialect as dialect_lib
from gateway import jobrecords
from gateway import jobstore
from gateway import names
from gateway import paging

_READ_TIMEOUT_S = 1.0
# How old a listing from a reader VM may be before this VM reads the store
# itself. A reader reads each second, or retries for another second.
_MAX_RECEIVED_AGE_S = 2.0


class ClaimRow(NamedTuple):
    """A job's claim.

    Attributes:
        job: The job's id.
        vm: The VM that holds the claim; empty if the claim cannot be decoded.
        revision: The revision of the claim's key in the store.
    """

    job: str
    vm: str
    revision: int


class BacklogRow(NamedTuple):
    """A customer's backlog on a route.

    Attributes:
        name: The backlog's name in the store.
        backlog: The count of waiting tokens.
        revision: The revision of the count's key in the store.
    """

    name: str
    backlog: jobrecords.Backlog
    revision: int


class JobRows(NamedTuple):
    """All jobs that have items to run.

    Attributes:
        open_jobs: The ids of all jobs that were open when they were read.
        claims: The claims of jobs, read after the ids.
        backlogs: The backlogs of all customers, read with the ids.
    """

    open_jobs: tuple[str, ...]
    claims: tuple[ClaimRow, ...]
    backlogs: tuple[BacklogRow, ...] = ()

    def holders(self) -> dict[str, str]:
        """Returns the VM that has claimed each job, by the job's id."""
        return {row.job: row.vm for row in self.claims}

    def rows_by_key(self) -> dict[str, str | ClaimRow | BacklogRow]:
        """Returns all rows, each under a unique key."""
        rows: dict[str, str | ClaimRow | BacklogRow] = {}
        rows.update((f"open {job}", job) for job in self.open_jobs)
        rows.update((f"claim {row.job}", row) for row in self.claims)
        rows.update((f"backlog {row.name}", row) for row in self.backlogs)
        return rows

    def held_by(self, vm: str) -> list[ClaimRow]:
        """Returns the claims that a VM holds."""
        return [row for row in self.claims if row.vm == vm]


def from_rows_by_key(rows_by_key: Mapping[str, Any]) -> JobRows:
    """Rebuilds `JobRows` from `JobRows.rows_by_key`, in key order."""
    rows = [rows_by_key[key] for key in sorted(rows_by_key)]
    return JobRows(
        tuple(row for row in rows if isinstance(row, str)),
        tuple(row for row in rows if isinstance(row, ClaimRow)),
        tuple(row for row in rows if isinstance(row, BacklogRow)),
    )


class JobListing:
    """Holds the listing, received from a reader VM or read from the store."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._lock = threading.Lock()
        self._rows = JobRows((), ())
        self._read_at_s: float | None = None
        self._is_from_reader = False
        self._version = 0

    def start(self) -> None:
        """Looks up the services that it depends on."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        self._keys = find(names.JOB_STORE, jobstore.JobStore).keys

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns the number of open jobs and the age of the listing."""
        return {
            "open": len(self._rows.open_jobs),
            "age_s": round(self.age_s(), 3),
        }

    def age_s(self) -> float:
        """Returns how long ago the rows were read, in seconds; -1 if never."""
        if self._read_at_s is None:
            return -1.0
        return time.monotonic() - self._read_at_s

    def snapshot(self) -> tuple[JobRows, int]:
        """Returns the rows and their version, which each change increments."""
        with self._lock:
            return self._rows, self._version

    def backlog(self, name: str) -> BacklogRow | None:
        """Returns a backlog of the listing; `None` if it has none."""
        for row in self._rows.backlogs:
            if row.name == name:
                return row
        return None

    def apply_received(self, rows: JobRows | None, age_s: float) -> None:
        """Takes over the listing of a reader VM, unless it is older.

        A follower asks the reader and then its backup, which is behind.

        Args:
            rows: The reader's rows; `None` if they equal those held here.
            age_s: How long ago the reader read them, in seconds.
        """
        read_at_s = time.monotonic() - age_s
        if self._read_at_s is not None and read_at_s < self._read_at_s:
            return
        self._update(rows, read_at_s)
        self._is_from_reader = True

    def is_received(self) -> bool:
        """Returns whether the rows come from a reader VM and are recent."""
        return self._is_from_reader and self.age_s() <= _MAX_RECEIVED_AGE_S

    def rows_or_read(self) -> JobRows | None:
        """Returns a reader's recent rows, or else reads them from the store.

        Returns:
            The rows; `None` if the store cannot be read either.
        """
        if self.is_received():
            return self._rows
        return self.read()

    def read(self) -> JobRows | None:
        """Reads the rows; `None` if the store cannot be read."""
        started_at_s = time.monotonic()
        rows = self._read_store()
        if rows is not None:
            self._update(rows, started_at_s)
            self._is_from_reader = False
        return rows

    def _update(self, rows: JobRows | None, read_at_s: float) -> None:
        with self._lock:
            self._read_at_s = read_at_s
            if rows is None or rows == self._rows:
                return
            self._rows = rows
            self._version += 1

    def _read_store(self) -> JobRows | None:
        keys = self._keys
        # Not a stale read: from this listing a VM learns within seconds that
        # a job was ended.
        listed = paging.read_all(self._store, keys.listing, _READ_TIMEOUT_S)
        if listed.is_err():
            return None
        # Read after the open jobs, and not stale either. Otherwise a job that
        # is opened and claimed between the two reads would seem unclaimed, and
        # VMs would try to take it over.
        claims = self._read_claims()
        if claims is None:
            return None
        entries = listed.unwrap().entries
        return JobRows(
            tuple(
                row.key.removeprefix(keys.open)
                for row in entries
                if row.key.startswith(keys.open)
            ),
            claims,
            tuple(
                _backlog_row(row, keys.backlogs)
                for row in entries
                if row.key.startswith(keys.backlogs)
            ),
        )

    def _read_claims(self) -> tuple[ClaimRow, ...] | None:
        prefix = self._keys.claims
        listed = paging.read_all(self._store, prefix, _READ_TIMEOUT_S)
        if listed.is_err():
            return None
        return tuple(
            ClaimRow(
                row.key.removeprefix(prefix),
                jobrecords.claim_holder(row.value),
                row.revision,
            )
            for row in listed.unwrap().entries
        )


def _backlog_row(entry: dialect_lib.Entry, prefix: str) -> BacklogRow:
    name = entry.key.removeprefix(prefix)
    return BacklogRow(
        name, jobrecords.unpack_backlog(entry.value), entry.revision
    )
