"""The state of batch jobs on the VM that has claimed them."""

import collections
from collections.abc import Callable
import math
import threading
import time
from typing import NamedTuple

from gateway import dialect
from gateway import jobrecords
from gateway import records
from gateway.decisions import batchorder
from gateway.decisions import requestcosts

# A failed or refused item is retried after a pause that doubles each time, so
# that an item that crashes its upstream does not take all upstreams down.
_FIRST_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0
# An item whose failures are not certain is neither given up nor run often.
_FIRST_HOLD_S = 15.0
_HOLD_GROWTH = 4
# Texts of an output up to this length together are kept as one. A text of two
# characters takes thirty times its size.
_OUTPUT_BLOCK_CHARACTERS = 1024


# How many removed jobs keep their time of removal.
_MAX_REMOVED_JOBS = 1000


class Moment(NamedTuple):
    """A point in time, and the estimated length of a run at that time.

    Attributes:
        now_s: The monotonic clock, in seconds.
        wall_s: The wall clock, in seconds of the epoch.
        run_s: The estimated length of a whole run, in seconds.
        stretch: The estimated time from an item's first run to its end, as a
            multiple of the length of its runs.
    """

    now_s: float
    wall_s: float
    run_s: float
    stretch: float = 1.0

    def time_to_finish_s(self, done_s: float = 0.0) -> float:
        """Returns the time to an item's end after it ran for `done_s`."""
        return (self.run_s - done_s) * self.stretch


class ItemState:
    """An item that has no result yet.

    Attributes:
        item: The request to run.
        output: The data of the events received so far, which is joined by
            line feeds.
        output_bytes: About what it holds.
        checked_bytes: What it held when it was last compared with what all
            outputs may hold.
        last_event: The id of the last event; `None` before the first.
        failures: The number of failed attempts; `JobMeta.max_attempts` bounds
            it.
        unsigned_failures: The number of answers that said that it failed, but
            lacked the signature of an upstream.
        consecutive_pauses: The number of pauses since an upstream last sent
            data, at most 10; sets the length of the next pause.
        not_before_s: The earliest time of the next run, by the monotonic
            clock.
        ran_s: How long the runs so far took, in seconds, without runs whose
            output was lost.
        running_since_s: When the current run began, by the monotonic clock;
            `None` while the item waits.
        first_began_s: When the first run began, by the monotonic clock; `None`
            before it or if it was on another VM.
        cost: What a run costs; `None` until it is decoded.
        fingerprint: Identifies the request however often it comes; empty until
            it is needed.
        is_answering: Whether the current run has sent an event.
        origin: Where the output began; `None` without output. Only there may
            it go on.
        is_too_large: Whether it needed more memory than any engine has when it
            was last to run.
        stranded_since_s: Since when no upstream can continue the output, by
            the monotonic clock; `None` if one can.
    """

    def __init__(self, item: dialect.JobItem) -> None:
        self.item = item
        self.output: list[str] = []
        self.output_bytes = 0
        self.checked_bytes = 0
        self.last_event: int | None = None
        self.failures = 0
        self.unsigned_failures = 0
        self.consecutive_pauses = 0
        self.not_before_s = 0.0
        self.ran_s = 0.0
        self.running_since_s: float | None = None
        self.first_began_s: float | None = None
        self.cost: requestcosts.RequestCost | None = None
        self.fingerprint = ""
        self.is_answering = False
        self.origin: records.StreamOrigin | None = None
        self.is_too_large = False
        self.stranded_since_s: float | None = None

    def elapsed_s(self, now_s: float) -> float:
        """Returns how long the output so far took, in seconds."""
        if not self.output:
            return 0.0
        if self.running_since_s is None:
            return self.ran_s
        return self.ran_s + now_s - self.running_since_s

    def begin(self, now_s: float) -> None:
        """Marks the item as running."""
        self.running_since_s = now_s
        self.is_answering = False
        if self.first_began_s is None and not self.output:
            self.first_began_s = now_s

    def span_s(self, now_s: float) -> float:
        """Returns the time since the first run began, in seconds.

        An item that first ran on another VM has no known beginning here, so
        its run time is returned.
        """
        if self.first_began_s is None:
            return self.elapsed_s(now_s)
        return now_s - self.first_began_s

    def end(self, now_s: float) -> None:
        """Marks the item's run as over."""
        self.ran_s = self.elapsed_s(now_s)
        self.running_since_s = None

    def may_go_on(self) -> bool:
        """Returns whether it is known where and after which event to go on."""
        origin = self.origin
        return (
            origin is not None
            and bool(origin.software_version)
            and self.last_event is not None
        )

    def add_output(self, data: str) -> None:
        """Adds the data of one more event."""
        self.output_bytes += _size_bytes(data)
        joined = f"{self.output[-1]}\n{data}" if self.output else data
        if self.output and len(joined) <= _OUTPUT_BLOCK_CHARACTERS:
            self.output[-1] = joined
            return
        self.output.append(data)

    def discard_output(self) -> None:
        """Makes the next run begin anew."""
        self.output = []
        self.output_bytes = 0
        self.checked_bytes = 0
        self.last_event = None
        self.origin = None
        self.stranded_since_s = None
        self.ran_s = 0.0

    def pause(self) -> None:
        """Delays the next run; the pause doubles with each call."""
        pause_s = min(_FIRST_PAUSE_S * 2**self.consecutive_pauses, _MAX_PAUSE_S)
        self.consecutive_pauses = min(self.consecutive_pauses + 1, 10)
        self.not_before_s = time.monotonic() + pause_s

    def pause_after_unsigned_failure(self) -> None:
        """Delays the next run, from the second such failure on for long."""
        self.unsigned_failures += 1
        if self.unsigned_failures == 1:
            self.pause()
            return
        growth = _HOLD_GROWTH ** (self.unsigned_failures - 2)
        self.not_before_s = time.monotonic() + _FIRST_HOLD_S * growth

    def progress(self) -> jobrecords.Progress:
        """Returns the progress to store for another VM."""
        last_event = -1 if self.last_event is None else self.last_event
        return jobrecords.Progress(
            self.item.item,
            tuple(self.output),
            last_event,
            self.failures,
            self.elapsed_s(time.monotonic()),
            "" if self.origin is None else self.origin.service,
            "" if self.origin is None else self.origin.software_version,
        )

    def restore_progress(self, row: jobrecords.Progress) -> None:
        """Restores the progress that the item made on another VM."""
        self.output = list(row.output)
        self.output_bytes = sum(map(_size_bytes, self.output))
        self.last_event = None if row.last_event < 0 else row.last_event
        self.failures = row.failures
        self.ran_s = row.ran_s
        if row.output:
            self.origin = records.StreamOrigin(
                row.service, row.software_version
            )

    def completed(self) -> dialect.ItemResult:
        """Returns the result of an item with complete output."""
        return dialect.ItemResult(self.item.item, True, "\n".join(self.output))

    def errored(self) -> dialect.ItemResult:
        """Returns the result of an item that is given up."""
        return dialect.ItemResult(self.item.item, False, "\n".join(self.output))


def _size_bytes(text: str) -> int:
    return len(text) if text.isascii() else len(text.encode())


class Outputs(NamedTuple):
    """The outputs of unfinished items.

    Attributes:
        items: How many items have any.
        size_bytes: About what they hold together.
    """

    items: int
    size_bytes: int


class FinishedItem(NamedTuple):
    """An item that has ended, and its result, which is still to be written."""

    item: ItemState
    row: dialect.ItemResult


class HeldClaim(NamedTuple):
    """This VM's claim of a job.

    Attributes:
        revision: The revision of the claim's key in the store.
        lease: The lease that the claim was written under; 0 if unknown.
    """

    revision: int
    lease: int = 0


class JobState:
    """A job that this VM has claimed; thread-safe.

    Attributes:
        meta: The job's metadata.
        claim: This VM's claim. Every write is conditional on its revision, so
            a VM that lost the claim changes nothing.
        is_dropped: Whether this VM no longer runs the job because it was
            ended, finished or handed over, or its claim was lost.
        is_writing_expired: Whether a thread is writing the error results of
            a job that is past its retention.
        next_position: The position of the next result.
        input_bytes: The length of the bodies that are held for its items.
        list_lock: Held while a result is written. The write at a position
            must be confirmed before the next position is used; otherwise a
            write whose answer was lost could leave a gap.
    """

    def __init__(
        self,
        meta: jobrecords.JobMeta,
        items: tuple[dialect.JobItem, ...],
        claim: HeldClaim,
        listed: tuple[dialect.ItemResult, ...],
    ) -> None:
        self.meta = meta
        self.claim = claim
        self.is_dropped = False
        self.is_writing_expired = False
        self.list_lock = threading.Lock()
        self.next_position = len(listed)
        self.input_bytes = sum(len(item.body) for item in items)
        self._lock = threading.Lock()
        done = {row.item for row in listed}
        self._pending = collections.deque(
            ItemState(item) for item in items if item.item not in done
        )
        self._running: set[ItemState] = set()
        # What ends the open run of each item.
        self._run_ends: dict[ItemState, Callable[[], None]] = {}
        # In the order in which their results are to be listed.
        self._finished: list[FinishedItem] = []

    @property
    def due_s(self) -> float:
        """The time when all results are due, in seconds of the epoch."""
        return self.meta.accepted_ms / 1000 + self.meta.due_s

    def is_past_retention(self, wall_s: float) -> bool:
        """Returns whether the job's items are past their retention."""
        age_s = wall_s - self.meta.accepted_ms / 1000
        return age_s > self.meta.retention_s

    def begin_run(self, item: ItemState, end: Callable[[], None]) -> None:
        """Records what ends an item's run, which is called if it may not run.

        Args:
            item: The item.
            end: Ends the run, from any thread.
        """
        with self._lock:
            self._run_ends[item] = end
            is_dropped = self.is_dropped
        if is_dropped:
            end()

    def end_run(self, item: ItemState) -> None:
        """Records that an item's run is over."""
        with self._lock:
            self._run_ends.pop(item, None)

    def drop(self) -> int:
        """Stops running the job, and ends its open runs.

        A run that went on until its upstream's next byte would go on beside
        that of the VM which runs the job now.

        Returns:
            The number of open runs.
        """
        with self._lock:
            self.is_dropped = True
            ends = tuple(self._run_ends.values())
        for end in ends:
            end()
        return len(ends)

    def is_done(self) -> bool:
        """Returns whether every item has a result."""
        with self._lock:
            return not self._pending and not self._running

    def add_finished(self, item: ItemState, row: dialect.ItemResult) -> None:
        """Records the result of a running item, which is to be written."""
        with self._lock:
            self._finished.append(FinishedItem(item, row))

    def finished(self, limit: int) -> list[FinishedItem]:
        """Returns the first results to be written, at most `limit`."""
        with self._lock:
            return self._finished[:limit]

    def is_running(self, item: ItemState) -> bool:
        """Returns whether an item runs or has a result still to be written."""
        with self._lock:
            return item in self._running

    def are_last(self, rows: list[FinishedItem]) -> bool:
        """Returns whether all other items have a result."""
        with self._lock:
            return not self._pending and len(self._running) == len(rows)

    def without_result(self) -> list[ItemState]:
        """Returns the items without a result, waiting ones first."""
        with self._lock:
            return [*self._pending, *self._running]

    def tokens(self) -> int:
        """Returns the total tokens of the items without a result."""
        return sum(row.item.tokens for row in self.without_result())

    def item_body(self, item: str) -> bytes | None:
        """Returns the body of an item without a result; `None` otherwise."""
        for row in self.without_result():
            if row.item.item == item:
                return row.item.body
        return None

    def count_pending(self) -> int:
        """Returns how many items wait to run."""
        return len(self._pending)

    def count_too_large(self) -> int:
        """Returns how many items no engine has memory for."""
        return sum(item.is_too_large for item in self.without_result())

    def count_running(self) -> int:
        """Returns how many items run or have a result still to be written."""
        return len(self._running)

    def failures(self) -> dict[str, int]:
        """Returns the failed runs of each item without a result, if any."""
        return {
            item.item.item: item.failures
            for item in self.without_result()
            if item.failures
        }

    def ready(self, moment: Moment) -> list[ItemState]:
        """Returns the items that may run now."""
        with self._lock:
            return [
                item
                for item in self._pending
                if item.not_before_s <= moment.now_s
            ]

    def priority(
        self, item: ItemState, moment: Moment
    ) -> batchorder.ItemPriority:
        """Returns the values that decide the item's place in the order."""
        done_s = item.elapsed_s(moment.now_s)
        is_late = self._is_late(moment, done_s)
        return batchorder.ItemPriority(self.due_s, done_s, is_late)

    def take(self, item: ItemState) -> bool:
        """Marks a waiting item as running; false if it is not waiting."""
        with self._lock:
            if item not in self._pending:
                return False
            self._move_to_running(item)
            return True

    def take_first_pending(self) -> ItemState | None:
        """Marks the first waiting item, paused or not, as running; returns it.

        `None` if no item waits.
        """
        with self._lock:
            if not self._pending:
                return None
            item = self._pending[0]
            self._move_to_running(item)
            return item

    def _move_to_running(self, item: ItemState) -> None:
        self._pending.remove(item)
        self._running.add(item)

    def _is_late(self, moment: Moment, done_s: float) -> bool:
        """Returns whether an item would miss its due time if it ran now."""
        age_s = moment.wall_s - self.meta.accepted_ms / 1000
        # Late items run last, but the time to wait for a slot and to finish is
        # left to them before they are given up.
        reserve_s = moment.run_s + moment.time_to_finish_s()
        if not self.meta.due_s or self.meta.retention_s - age_s < reserve_s:
            return False
        return self.meta.due_s - age_s < moment.time_to_finish_s(done_s)

    def put_back(self, item: ItemState) -> None:
        """Puts a running item back at the head of the waiting ones.

        Does nothing if the item already has a result.
        """
        with self._lock:
            if item in self._running:
                self._running.discard(item)
                self._pending.appendleft(item)

    def mark_listed(self, item: ItemState) -> None:
        """Records that an item's result was written at `next_position`."""
        with self._lock:
            self.next_position += 1
            self._running.discard(item)
            self._finished = [
                row for row in self._finished if row.item is not item
            ]

    def restore_progress(self, rows: tuple[jobrecords.Progress, ...]) -> None:
        """Restores the progress that items made on another VM."""
        by_item = {row.item: row for row in rows}
        with self._lock:
            for item in self._pending:
                row = by_item.get(item.item.item)
                if row is not None:
                    item.restore_progress(row)


class JobTable:
    """The jobs whose claims this VM holds, by their ids."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs: dict[str, JobState] = {}
        # When jobs were added and removed, by the monotonic clock.
        self._added_at_s: dict[str, float] = {}
        self._removed_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, state: JobState) -> JobState:
        """Adds a job and returns the state to run it from.

        A scan may find the claim of a job that is just being accepted, and
        both add the job. With two states each item would run twice, so the
        first state is kept, with the newer of the two claims.
        """
        with self._lock:
            kept = self._jobs.setdefault(state.meta.job, state)
            kept.claim = max(kept.claim, state.claim)
            self._added_at_s.setdefault(state.meta.job, time.monotonic())
            return kept

    def get(self, job: str) -> JobState | None:
        """Returns a job's state; `None` if it is not in the table."""
        return self._jobs.get(job)

    def added_at_s(self, job: str) -> float:
        """Returns when a job was added, by the monotonic clock.

        A listing that was read earlier may lack the job. Minus infinity if
        the job is not in the table.
        """
        return self._added_at_s.get(job, -math.inf)

    def removed_at_s(self, job: str) -> float:
        """Returns when a job was removed, by the monotonic clock.

        A listing that was read earlier may still have the job. Minus infinity
        if no removal is recorded.
        """
        return self._removed_at_s.get(job, -math.inf)

    def names(self) -> set[str]:
        """Returns the ids of all jobs."""
        with self._lock:
            return set(self._jobs)

    def input_bytes(self) -> int:
        """Returns the length of the bodies that are held for all jobs."""
        with self._lock:
            return sum(row.input_bytes for row in self._jobs.values())

    def outputs(self) -> Outputs:
        """Returns what the outputs of all unfinished items hold."""
        with self._lock:
            states = list(self._jobs.values())
        sizes = [
            item.output_bytes
            for state in states
            for item in state.without_result()
            if item.output_bytes
        ]
        return Outputs(len(sizes), sum(sizes))

    def by_due_time(self) -> list[JobState]:
        """Returns all jobs, the earliest due time first."""
        with self._lock:
            return sorted(self._jobs.values(), key=lambda row: row.due_s)

    def remove(self, job: str) -> bool:
        """Removes and drops a job; false if it is not in the table."""
        with self._lock:
            state = self._jobs.pop(job, None)
            if state is None:
                return False
            self._added_at_s.pop(job, None)
            self._removed_at_s[job] = time.monotonic()
            if len(self._removed_at_s) > _MAX_REMOVED_JOBS:
                self._removed_at_s.popitem(last=False)
        state.drop()
        return True

    def clear(self) -> list[JobState]:
        """Removes all jobs and returns them."""
        with self._lock:
            states = list(self._jobs.values())
            self._jobs.clear()
            self._added_at_s.clear()
        return states
