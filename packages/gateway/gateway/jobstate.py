"""One batch job as the VM that has claimed it runs it."""

import collections
import threading
import time
from typing import NamedTuple

from gateway import dialect
from gateway import jobrecords

# A failed or refused item waits so long before it runs again, twice as long
# each time: one that crashes its upstream must not take them all down.
_FIRST_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0


class Listed(NamedTuple):
    """A result and the position it takes."""

    position: int
    row: dialect.ItemResult


class ItemState:
    """An item that has no result yet.

    Attributes:
        item: What to run.
        output: The data of the events so far.
        last_event: The id of the last event; `None` before the first.
        failures: Failed attempts, of which there may be only so many.
        breaks: Runs in a row that broke without an answer.
        not_before_s: When it may run again, by the monotonic clock.
    """

    def __init__(self, item: dialect.JobItem) -> None:
        self.item = item
        self.output: list[str] = []
        self.last_event: int | None = None
        self.failures = 0
        self.breaks = 0
        self.not_before_s = 0.0

    def pause(self) -> None:
        """Keeps it from running for a while."""
        pause_s = min(_FIRST_PAUSE_S * 2**self.breaks, _MAX_PAUSE_S)
        self.breaks = min(self.breaks + 1, 10)
        self.not_before_s = time.monotonic() + pause_s

    def progress(self) -> jobrecords.Progress:
        """Returns how far it came."""
        last = -1 if self.last_event is None else self.last_event
        return jobrecords.Progress(
            self.item.item, tuple(self.output), last, self.failures
        )

    def go_on_from(self, row: jobrecords.Progress) -> None:
        """Takes over how far it came elsewhere."""
        self.output = list(row.output)
        self.last_event = None if row.last_event < 0 else row.last_event
        self.failures = row.failures

    def completed(self) -> dialect.ItemResult:
        """Returns the result of an item whose output is whole."""
        return dialect.ItemResult(self.item.item, True, "\n".join(self.output))

    def errored(self) -> dialect.ItemResult:
        """Returns the result of an item that is given up."""
        return dialect.ItemResult(self.item.item, False, "\n".join(self.output))


class JobState:
    """A claimed job; the runner's lock guards it.

    Attributes:
        meta: What is known of it.
        claim_revision: Of the claim; each change is made on condition of
            it, so that a VM which lost its claim changes nothing.
        is_dropped: Whether it was ended, or the claim lost.
    """

    def __init__(
        self,
        meta: jobrecords.JobMeta,
        items: tuple[dialect.JobItem, ...],
        claim_revision: int,
        listed: tuple[dialect.ItemResult, ...],
    ) -> None:
        self.meta = meta
        self.claim_revision = claim_revision
        self.is_dropped = False
        # Held while a result is written: a position is settled before the
        # next one is used, else an answer that was lost leaves a hole.
        self.list_lock = threading.Lock()
        self.next_position = len(listed)
        done = {row.item for row in listed}
        self.pending = collections.deque(
            ItemState(item) for item in items if item.item not in done
        )
        self.running: set[ItemState] = set()

    @property
    def due_s(self) -> float:
        """When it is due, in seconds of the epoch."""
        return self.meta.accepted_ms / 1000 + self.meta.due_s

    def is_given_up(self, wall_s: float) -> bool:
        """Tells whether its items may be given up by now."""
        kept_s = wall_s - self.meta.accepted_ms / 1000
        return kept_s > self.meta.retention_s

    def is_done(self) -> bool:
        """Tells whether every item has a result."""
        return not self.pending and not self.running

    def next_item(self, now_s: float) -> ItemState | None:
        """Takes an item that may run now."""
        for item in self.pending:
            if item.not_before_s <= now_s:
                self.pending.remove(item)
                self.running.add(item)
                return item
        return None

    def count_ready(self, now_s: float) -> int:
        """Returns how many items may run now."""
        return sum(item.not_before_s <= now_s for item in self.pending)

    def put_back(self, item: ItemState) -> None:
        """Makes an item wait for its next run, before the others."""
        self.running.discard(item)
        self.pending.appendleft(item)

    def go_on_from(self, rows: tuple[jobrecords.Progress, ...]) -> None:
        """Takes over how far the items came at another VM."""
        by_item = {row.item: row for row in rows}
        for item in self.pending:
            row = by_item.get(item.item.item)
            if row is not None:
                item.go_on_from(row)
