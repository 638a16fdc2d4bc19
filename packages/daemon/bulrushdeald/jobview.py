"""A coordinator's view of one job and the states of its chunks."""

from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords

# A chunk that is not claimed within this time may be offered again.
_OFFER_TIMEOUT_S = 10.0


State = Literal["free", "offered", "running", "ended"]


class ChunkView(NamedTuple):
    """The last reported state of one chunk.

    Attributes:
        state: A `free` chunk may be offered. An `offered` chunk was offered
            to a VM that has not reported a claim yet.
        epoch: The record's epoch; the next claim uses the epoch above it.
        revision: The record's revision; 0 if there is no record.
        vm: The VM that runs the chunk, or empty.
        incarnation: The run of that VM's process.
        since_s: Monotonic time of the offer or of the holder's last
            confirmation.
    """

    state: State = "free"
    epoch: int = 0
    revision: int = 0
    vm: str = ""
    incarnation: str = ""
    since_s: float = 0.0


_FREE = ChunkView()


class JobView:
    """A job and its chunks; not thread-safe."""

    def __init__(self, entry: batchrecords.QueueEntry) -> None:
        self.entry = entry
        # Filled when the job is read: most jobs only wait in the queue.
        self.chunks: list[ChunkView] = []
        self._numbers_by_state: dict[State, set[int]] = {
            "free": set(),
            "offered": set(),
            "running": set(),
            "ended": set(),
        }
        self.has_to_reload = True
        self.record: batchrecords.JobRecord | None = None
        self.revision = 0
        self.cancelled_since_s: float | None = None

    @property
    def is_cancelled(self) -> bool:
        """Whether the job was cancelled or has ended; no chunk is offered."""
        if self.record is None:
            return self.entry.is_cancelled
        return self.record.state != "in_progress"

    def update(
        self,
        record: batchrecords.JobRecord,
        revision: int,
        chunk_records: Mapping[int, "KnownRecord"],
        now_s: float,
    ) -> None:
        """Updates the view from the job's record and its chunk records.

        Args:
            record: The job's record.
            revision: The revision of `record`.
            chunk_records: The existing chunk records by chunk number.
            now_s: Monotonic time.
        """
        self.record = record
        self.revision = revision
        if len(self.chunks) != record.chunk_count:
            # If two clients submit different jobs under one idempotency key
            # at once, the queue entry may be from one client and the job's
            # record from the other.
            self.entry = self.entry._replace(
                items=record.items, chunk_count=record.chunk_count
            )
            self.chunks = [_FREE] * record.chunk_count
            for numbers in self._numbers_by_state.values():
                numbers.clear()
            self._numbers_by_state["free"].update(range(record.chunk_count))
        for number, view in enumerate(self.chunks):
            chunk = chunk_records.get(number)
            # A VM may have reported a newer revision than the one read. At
            # the same revision, the state in memory wins: a chunk taken back
            # from a lost holder stays free although its record says
            # `running`. No VM claims a chunk of a cancelled job, so there
            # the record wins.
            if chunk is None or chunk.revision < view.revision:
                continue
            if chunk.revision > view.revision or self.is_cancelled:
                self._set_chunk(number, _chunk_view(chunk, now_s))
        self.has_to_reload = False
        if self.is_cancelled and self.cancelled_since_s is None:
            self.cancelled_since_s = now_s

    def reload(self) -> None:
        """Marks the job's records to be read again."""
        self.has_to_reload = True

    def dump(self) -> Any:
        """Returns the number of chunks in each state."""
        return {
            "customer": self.entry.customer,
            "cancelled": self.is_cancelled,
            "chunks": {
                state: len(numbers)
                for state, numbers in self._numbers_by_state.items()
            },
        }

    def offer(self, now_s: float) -> batchmessages.Offer | None:
        """Marks the first free chunk as offered and returns the offer."""
        if self.is_cancelled or self.has_to_reload:
            return None
        number = min(self._numbers_by_state["free"], default=None)
        if number is None:
            return None
        view = self.chunks[number]
        self._set_chunk(number, view._replace(state="offered", since_s=now_s))
        return batchmessages.Offer(
            self.entry.job, number, view.epoch + 1, view.revision
        )

    def has_free_chunk(self) -> bool:
        """Returns whether a chunk may be offered."""
        if self.is_cancelled or self.has_to_reload:
            return False
        return bool(self._numbers_by_state["free"])

    def has_ended(self) -> bool:
        """Returns whether no chunk is left to run, as far as is known.

        `finishing` checks the records before it ends the job: a chunk taken
        back from a silent holder counts as free here although its record
        still says `running`.
        """
        if self.record is not None and self.record.has_ended:
            return True
        if self.is_cancelled:
            return not self._numbers_by_state["running"]
        return len(self._numbers_by_state["ended"]) == len(self.chunks)

    def record_holding(
        self,
        holding: batchmessages.Holding,
        vm: str,
        incarnation: str,
        now_s: float,
    ) -> bool:
        """Records that a VM reports to run a chunk.

        Returns:
            Whether the VM may go on; False if the view has a newer revision
            of the chunk or the job has no such chunk.
        """
        view = self._find_chunk(holding.chunk)
        if view is None or holding.revision < view.revision:
            return False
        if view.state == "ended":
            return True
        held = ChunkView(
            "running",
            holding.epoch,
            holding.revision,
            vm,
            incarnation,
            now_s,
        )
        self._set_chunk(holding.chunk, held)
        return True

    def record_end(self, ended: batchmessages.Ended) -> None:
        """Records that a VM no longer runs a chunk."""
        view = self._find_chunk(ended.chunk)
        if view is None:
            return
        if ended.revision <= view.revision:
            self.has_to_reload |= ended.state == "unsure"
            return
        # A chunk is void only if its job was cancelled.
        self.has_to_reload |= ended.state == "void"
        state: Literal["free", "ended"] = (
            "free" if ended.state == "open" else "ended"
        )
        self._set_chunk(
            ended.chunk, ChunkView(state, ended.epoch, ended.revision)
        )

    def _set_chunk(self, number: int, view: ChunkView) -> None:
        # The index by state avoids scans: most jobs have far more chunks
        # than run at a time.
        self._numbers_by_state[self.chunks[number].state].discard(number)
        self._numbers_by_state[view.state].add(number)
        self.chunks[number] = view

    def _find_chunk(self, number: int) -> ChunkView | None:
        if 0 <= number < len(self.chunks):
            return self.chunks[number]
        return None

    def expire_offers(self, now_s: float) -> None:
        """Frees chunks whose offers were not claimed in time, and reloads."""
        for number in tuple(self._numbers_by_state["offered"]):
            view = self.chunks[number]
            if now_s - view.since_s > _OFFER_TIMEOUT_S:
                self._set_chunk(number, view._replace(state="free"))
                self.has_to_reload = True

    def running(self) -> list[tuple[int, ChunkView]]:
        """Returns the numbers and views of the chunks in state `running`."""
        return [
            (number, self.chunks[number])
            for number in sorted(self._numbers_by_state["running"])
        ]

    def confirm(self, chunk: int, now_s: float) -> None:
        """Records that the holder confirmed to run a chunk."""
        self._set_chunk(chunk, self.chunks[chunk]._replace(since_s=now_s))

    def take_back(self, chunk: int, held: ChunkView) -> None:
        """Frees a chunk whose holder is lost.

        Args:
            chunk: The chunk's number.
            held: The chunk as it was when the holder was found lost. If the
                chunk has changed since, it is left alone; a confirmation
                does not count as a change.
        """
        if self.chunks[chunk]._replace(since_s=held.since_s) != held:
            return
        self._set_chunk(chunk, ChunkView("free", held.epoch, held.revision))


class KnownRecord(NamedTuple):
    """A chunk's record and its revision in the key-value service."""

    record: batchrecords.ChunkRecord
    revision: int


def _chunk_view(stored: KnownRecord, now_s: float) -> ChunkView:
    record = stored.record
    if record.state in ("done", "void"):
        return ChunkView("ended", record.epoch, stored.revision)
    if record.state == "open":
        return ChunkView("free", record.epoch, stored.revision)
    # The coordinator has no report from the holder yet.
    return ChunkView(
        "running",
        record.epoch,
        stored.revision,
        record.vm,
        record.incarnation,
        now_s,
    )
