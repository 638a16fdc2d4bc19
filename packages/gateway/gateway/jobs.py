"""Batch jobs as callers see them: submit, read results and input, end."""

import collections
import threading
import time
from typing import Any, Literal, NamedTuple, Protocol

import result

from bulrushdeal import codec
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import services
from gateway import dialect as dialect_lib
from gateway import jobrecords
from gateway import members
from gateway import names
from gateway import paging
from gateway import records

_events = eventlog.Events("jobs")

_READ_S = 1.0
_WRITE_S = 1.2
_TELL_S = 0.3
# Tries of a write that the store may have done without saying so; each is
# conditional, so that a late one finds the key there and does nothing.
_COMMIT_TRIES = 3
# What is left for the key, JSON and base64 around a value.
_VALUE_SHARE = 0.6
_MAX_PARTS = 24
_MAX_PAGE_BYTES = 900_000
_MAX_CACHED_JOBS = 64
# How often a waiting read asks the VM that runs the job.
_ASK_S = 0.4

ErrorKind = Literal["missing", "unavailable", "unknown", "too_large"]


class JobError(NamedTuple):
    """A call about a job that did not succeed.

    Attributes:
        kind: `missing`: there is no such job or item. `unavailable`:
            nothing was done, come back. `unknown`: the store may have taken
            the change. `too_large`: the job fits no store.
        message: For the caller and the log.
    """

    kind: ErrorKind
    message: str


class Accepted(NamedTuple):
    """A job that this VM accepted and runs, with its claim's revision."""

    meta: jobrecords.JobMeta
    items: tuple[dialect_lib.JobItem, ...]
    claim_revision: int


class EndJob(NamedTuple):
    """Tells the VM that runs a job that it was ended."""

    job: str


class Ended(NamedTuple):
    """The answer to `EndJob`."""


class ReadJob(NamedTuple):
    """Asks the VM that runs a job for its results."""

    job: str
    after: int


class JobRead(NamedTuple):
    """Results of a job that a VM runs.

    Attributes:
        is_held: Whether the VM runs the job; else the store has to be read.
        rows: The results from the position asked for, some of them.
    """

    is_held: bool
    rows: tuple[dialect_lib.ItemResult, ...]


class JobRunner(Protocol):
    """Runs the jobs that this VM has claimed."""

    def adopt(self, accepted: Accepted) -> None:
        """Begins to run a job whose claim this VM holds."""

    def drop(self, job: str) -> None:
        """Stops running a job that was ended; idempotent."""

    def is_accepting(self) -> bool:
        """Tells whether this VM may run jobs that it accepts."""

    def listed(self, job: str) -> int | None:
        """Returns how many results a job has that this VM runs.

        `None` if this VM does not have the job's claim.
        """

    def holder(self, job: str) -> str:
        """Returns the VM that had a job's claim lately; empty if unknown."""


class _View:
    """What this VM has read of a job's results, which never change."""

    def __init__(self, meta: jobrecords.JobMeta) -> None:
        self.meta = meta
        self.results: list[dialect_lib.ItemResult] = []


class Jobs:
    """Keeps jobs in the platform's store and serves them from there."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._value_bytes = int(settings.value_bytes * _VALUE_SHARE)
        self._lock = threading.Lock()
        self._views: collections.OrderedDict[str, _View] = (
            collections.OrderedDict()
        )

    def start(self) -> None:
        """Finds the services that it needs."""
        find = self._kernel.find
        self._store = find(names.STORE, dialect_lib.Store)
        dialect = find(names.DIALECT, dialect_lib.Dialect)
        self._members = find(services.MEMBERSHIP, members.Members)
        self._peers = find(services.PEERS, services.Peers)
        self._peers.handle(EndJob, self._on_end_job)
        self._peers.handle(ReadJob, services.QuickHandler(self._on_read))
        self._peers.understand(Ended, JobRead)
        self.keys = jobrecords.Keys(dialect.names.own)
        self._runner: JobRunner | None = None

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """Returns how many jobs are remembered."""
        return {"remembered": len(self._views)}

    def run_with(self, runner: JobRunner) -> None:
        """Hands jobs that this VM accepts to a runner."""
        self._runner = runner

    def submit(
        self,
        job: str,
        customer: str,
        route: records.Route,
        path: str,
        submission: dialect_lib.Submission,
    ) -> result.Result[bool, JobError]:
        """Accepts a job, once however often it is submitted.

        Returns:
            Whether it is new.
        """
        known = self._view(job)
        if isinstance(known, result.Ok):
            return self._repeated(known.ok_value.meta, customer)
        try:
            parts = jobrecords.pack_items(submission.items, self._value_bytes)
        except dialect_lib.BadInputError as error:
            return result.Err(JobError("too_large", str(error)))
        if len(parts) > _MAX_PARTS:
            return result.Err(JobError("too_large", "the job is too large"))
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
        )
        return self._accept(meta, submission.items, parts)

    def _accept(
        self,
        meta: jobrecords.JobMeta,
        items: tuple[dialect_lib.JobItem, ...],
        parts: tuple[bytes, ...],
    ) -> result.Result[bool, JobError]:
        runner = self._runner
        lease = 0
        if runner is not None and runner.is_accepting():
            lease = self._members.lease()
        made = self.commit(
            (dialect_lib.Expected(self.keys.meta(meta.job), 0),),
            self._writes(meta, parts, lease),
            (),
        )
        if isinstance(made, result.Err):
            return made
        if isinstance(made.ok_value, dialect_lib.Conflict):
            # A try whose answer was lost, or another VM's; read which.
            return self._settle(meta, items)
        self._note_accepted(meta, lease)
        self._remember(meta)
        if runner is not None and lease:
            runner.adopt(Accepted(meta, items, made.ok_value))
        return result.Ok(True)

    def _writes(
        self, meta: jobrecords.JobMeta, parts: tuple[bytes, ...], lease: int
    ) -> tuple[dialect_lib.Write, ...]:
        keys, write = self.keys, dialect_lib.Write
        due_ms = meta.accepted_ms + int(meta.due_s * 1000)
        rows = [
            write(keys.meta(meta.job), jobrecords.pack(meta)),
            write(
                keys.open_job(meta.job),
                jobrecords.pack(jobrecords.OpenJob(due_ms)),
            ),
        ]
        for number, part in enumerate(parts):
            rows.append(write(keys.part(meta.job, number), part))
        if lease:
            claim = jobrecords.pack(jobrecords.Claim(self._vm))
            rows.append(write(keys.claim(meta.job), claim, lease))
        return tuple(rows)

    def _settle(
        self,
        meta: jobrecords.JobMeta,
        items: tuple[dialect_lib.JobItem, ...],
    ) -> result.Result[bool, JobError]:
        claim = self._store.get(self.keys.claim(meta.job), _READ_S)
        if claim.is_err():
            return result.Err(JobError("unknown", claim.unwrap_err().message))
        entry = claim.unwrap()
        view = self._view(meta.job)
        if isinstance(view, result.Err):
            return result.Err(JobError("unknown", view.err_value.message))
        if view.ok_value.meta == meta and self._is_own(entry):
            self._note_accepted(meta, 1)
            if self._runner is not None and entry is not None:
                self._runner.adopt(Accepted(meta, items, entry.revision))
            return result.Ok(True)
        return self._repeated(view.ok_value.meta, meta.customer)

    def _is_own(self, entry: dialect_lib.Entry | None) -> bool:
        return entry is not None and jobrecords.is_held_by(
            entry.value, self._vm
        )

    def _note_accepted(self, meta: jobrecords.JobMeta, lease: int) -> None:
        _events.info(
            "accepted",
            job=meta.job,
            customer=meta.customer,
            items=len(meta.items),
            is_claimed=bool(lease),
        )

    def _repeated(
        self, meta: jobrecords.JobMeta, customer: str
    ) -> result.Result[bool, JobError]:
        if meta.customer != customer:
            return result.Err(JobError("missing", "no such job"))
        _events.info("repeated", job=meta.job)
        return result.Ok(False)

    def read(
        self, job: str, customer: str, after: int, wait_s: float
    ) -> result.Result[dialect_lib.JobPage, JobError]:
        """Returns results from a position on, and may wait for the first.

        What was read once never changes and is served from memory; that
        there is nothing more is said only by the VM that holds the job's
        claim, or by the store.
        """
        found = self._own_view(job, customer)
        if isinstance(found, result.Err):
            return found
        view = found.ok_value
        if len(view.results) <= after and not self._ask(view, after, wait_s):
            read = self._extend(view, min(after, len(view.results)))
            if isinstance(read, result.Err):
                return read
            if len(view.results) <= after < len(view.meta.items):
                self._wait(view, read.ok_value, wait_s)
        return result.Ok(_page(view, after))

    def _ask(self, view: _View, after: int, wait_s: float) -> bool:
        """Asks the VM that runs the job; false if none says it does.

        Each read at the store has its price there, and most reads find
        nothing new.
        """
        if self._runner is None or len(view.results) < after:
            return False
        job, end_s = view.meta.job, time.monotonic() + wait_s
        while True:
            vm = self._runner.holder(job)
            if not vm:
                return False
            answer = self._peers.call(vm, ReadJob(job, after), _TELL_S)
            if answer.is_err() or not answer.unwrap().is_held:
                return False
            with self._lock:
                if len(view.results) == after:
                    view.results.extend(answer.unwrap().rows)
            left_s = end_s - time.monotonic()
            if len(view.results) > after or left_s <= 0:
                return True
            time.sleep(min(_ASK_S, left_s))

    def _on_read(self, vm: str, message: ReadJob) -> JobRead:
        del vm
        runner = self._runner
        view = self._views.get(message.job)
        if runner is None or view is None:
            return JobRead(False, ())
        # All results are written under the claim, and that goes with the
        # lease: while both last, nobody else can have listed any. What is
        # remembered may have been forgotten and read again in part.
        is_whole = runner.listed(message.job) == len(view.results)
        if not is_whole or not self._members.has_valid_lease():
            return JobRead(False, ())
        return JobRead(True, _bounded(view, message.after))

    def _wait(self, view: _View, revision: int, wait_s: float) -> None:
        if wait_s <= 0:
            return
        prefix = self.keys.results(view.meta.job)
        changed = self._store.watch(prefix, revision, wait_s, wait_s + _READ_S)
        # An error only means that the answer has nothing new.
        if changed.is_ok():
            self._learn(view, changed.unwrap().entries)

    def _extend(self, view: _View, known: int) -> result.Result[int, JobError]:
        """Reads what follows the results known; returns the revision."""
        job = view.meta.job
        after = self.keys.result(job, known - 1) if known else ""
        prefix = self.keys.results(job)
        listed = paging.read_all(self._store, prefix, _READ_S, after=after)
        if listed.is_err():
            return _unavailable(listed.unwrap_err())
        self._learn(view, listed.unwrap().entries)
        return result.Ok(listed.unwrap().revision)

    def _learn(
        self, view: _View, entries: tuple[dialect_lib.Entry, ...]
    ) -> None:
        prefix = self.keys.results(view.meta.job)
        rows = sorted(
            (int(entry.key.removeprefix(prefix)), entry.value)
            for entry in entries
            if entry.value is not None
        )
        with self._lock:
            for position, value in rows:
                if position == len(view.results):
                    view.results.append(
                        jobrecords.unpack(dialect_lib.ItemResult, value)
                    )

    def input(
        self, job: str, customer: str, item: str
    ) -> result.Result[bytes, JobError]:
        """Returns the body of an item that has no result yet."""
        found = self._own_view(job, customer)
        if isinstance(found, result.Err):
            return found
        if item not in found.ok_value.meta.items:
            return result.Err(JobError("missing", "no such item"))
        items = self.read_items(found.ok_value.meta)
        if isinstance(items, result.Err):
            return items
        for row in items.ok_value:
            if row.item == item:
                return result.Ok(row.body)
        return result.Err(JobError("missing", "no such item"))

    def end(self, job: str, customer: str) -> result.Result[None, JobError]:
        """Ends a job; what has no result will not run any more."""
        found = self._own_view(job, customer)
        if isinstance(found, result.Err):
            return found
        keys = self.keys
        claim = self._store.get(keys.claim(job), _READ_S)
        made = self.commit(
            (),
            (dialect_lib.Write(keys.ended(job), b"1"),),
            (keys.open_job(job), keys.claim(job)),
        )
        if isinstance(made, result.Err):
            return made
        _events.info("ended", job=job, customer=customer)
        if self._runner is not None:
            self._runner.drop(job)
        if claim.is_ok():
            self._tell_end(job, claim.unwrap())
        return result.Ok(None)

    def _tell_end(self, job: str, entry: dialect_lib.Entry | None) -> None:
        if entry is None or entry.value is None or self._is_own(entry):
            return
        vm = jobrecords.unpack(jobrecords.Claim, entry.value).vm
        # Its own look at the claims finds it out later if this is lost.
        self._peers.call(vm, EndJob(job), _TELL_S)

    def _on_end_job(self, vm: str, message: EndJob) -> Ended:
        del vm
        if self._runner is not None:
            self._runner.drop(message.job)
        return Ended()

    def meta(self, job: str) -> result.Result[jobrecords.JobMeta, JobError]:
        """Returns what is known of a job."""
        view = self._view(job)
        if isinstance(view, result.Err):
            return view
        return result.Ok(view.ok_value.meta)

    def results(
        self, job: str
    ) -> result.Result[tuple[dialect_lib.ItemResult, ...], JobError]:
        """Returns all results that the store has now."""
        view = self._view(job)
        if isinstance(view, result.Err):
            return view
        read = self._extend(view.ok_value, len(view.ok_value.results))
        if isinstance(read, result.Err):
            return read
        return result.Ok(tuple(view.ok_value.results))

    def listed(
        self, job: str, position: int, row: dialect_lib.ItemResult
    ) -> None:
        """Remembers a result that this VM has written."""
        with self._lock:
            view = self._views.get(job)
            if view is not None and len(view.results) == position:
                view.results.append(row)

    def read_items(
        self, meta: jobrecords.JobMeta
    ) -> result.Result[tuple[dialect_lib.JobItem, ...], JobError]:
        """Returns a job's input."""
        items: list[dialect_lib.JobItem] = []
        for number in range(meta.parts):
            key = self.keys.part(meta.job, number)
            got = self._store.get(key, _READ_S)
            if got.is_err():
                return _unavailable(got.unwrap_err())
            entry = got.unwrap()
            if entry is None or entry.value is None:
                return result.Err(JobError("missing", "no input"))
            items.extend(jobrecords.unpack_items(entry.value))
        return result.Ok(tuple(items))

    def commit(
        self,
        expected: tuple[dialect_lib.Expected, ...],
        writes: tuple[dialect_lib.Write, ...],
        deletes: tuple[str, ...],
    ) -> result.Result[int | dialect_lib.Conflict, JobError]:
        """Makes a change whose repetition does no harm, a few times.

        A change that may have been made is made again: its conditions no
        longer hold then, and the conflict tells. `unknown` is the error if
        any try may still take effect.
        """
        is_unknown = False
        message = ""
        for _ in range(_COMMIT_TRIES):
            made = self._store.commit(expected, writes, deletes, _WRITE_S)
            if made.is_ok():
                return result.Ok(made.unwrap())
            error = made.unwrap_err()
            message = error.message
            if error.kind == "no_lease":
                break
            is_unknown = is_unknown or error.kind == "unknown"
        kind: ErrorKind = "unknown" if is_unknown else "unavailable"
        return result.Err(JobError(kind, message))

    def _own_view(
        self, job: str, customer: str
    ) -> result.Result[_View, JobError]:
        view = self._view(job)
        if isinstance(view, result.Err):
            return view
        if view.ok_value.meta.customer != customer:
            return result.Err(JobError("missing", "no such job"))
        return view

    def _view(self, job: str) -> result.Result[_View, JobError]:
        with self._lock:
            view = self._views.get(job)
            if view is not None:
                self._views.move_to_end(job)
                return result.Ok(view)
        got = self._store.get(self.keys.meta(job), _READ_S)
        if got.is_err():
            return _unavailable(got.unwrap_err())
        entry = got.unwrap()
        if entry is None or entry.value is None:
            return result.Err(JobError("missing", "no such job"))
        try:
            meta = jobrecords.unpack(jobrecords.JobMeta, entry.value)
        except codec.CodecError as error:
            _events.warning("bad_record", job=job, why=str(error))
            return result.Err(JobError("unavailable", str(error)))
        return result.Ok(self._remember(meta))

    def _remember(self, meta: jobrecords.JobMeta) -> _View:
        with self._lock:
            view = self._views.setdefault(meta.job, _View(meta))
            while len(self._views) > _MAX_CACHED_JOBS:
                self._views.popitem(last=False)
            return view


def _unavailable(
    error: dialect_lib.StoreError,
) -> result.Err[JobError]:
    return result.Err(JobError("unavailable", error.message))


def _page(view: _View, after: int) -> dialect_lib.JobPage:
    rows = _bounded(view, after)
    return dialect_lib.JobPage(len(view.meta.items), after + len(rows), rows)


def _bounded(view: _View, after: int) -> tuple[dialect_lib.ItemResult, ...]:
    """Returns the results from a position on that fit one answer."""
    rows: list[dialect_lib.ItemResult] = []
    size_bytes = 0
    for row in view.results[after:]:
        size_bytes += len(row.output)
        if rows and size_bytes > _MAX_PAGE_BYTES:
            break
        rows.append(row)
    return tuple(rows)
