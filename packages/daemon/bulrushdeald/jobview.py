"""What a coordinator knows of one job's chunks."""

from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords

# An offer that was not taken up in this time may be made to another VM.
_OFFER_S = 10.0


State = Literal["free", "offered", "running", "ended"]


class ChunkView(NamedTuple):
    """One chunk as last heard of.

    Attributes:
        state: `free` may be offered; `offered` was, and nothing heard since.
        epoch: Of the record; the next claim is under the one above.
        revision: Of the record; 0 if there is none.
        vm: Who runs it.
        incarnation: In which run of its process.
        since_s: When the state was last confirmed.
    """

    state: State = "free"
    epoch: int = 0
    revision: int = 0
    vm: str = ""
    incarnation: str = ""
    since_s: float = 0.0


_FREE = ChunkView()


class JobView:
    """One job; not safe for threads by itself."""

    def __init__(self, entry: batchrecords.QueueEntry) -> None:
        self.entry = entry
        # Made when the job is read: most jobs only wait in the queue.
        self.chunks: list[ChunkView] = []
        self._numbers: dict[State, set[int]] = {
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
        """Whether no chunk of it may be offered."""
        if self.record is None:
            return self.entry.is_cancelled
        return self.record.state != "in_progress"

    def update(
        self,
        record: batchrecords.JobRecord,
        revision: int,
        known: Mapping[int, "KnownRecord"],
        now_s: float,
    ) -> None:
        """Takes in the job's record and all chunk records there are."""
        self.record = record
        self.revision = revision
        if len(self.chunks) != record.chunk_count:
            # Two clients sent different jobs under one key at once: the
            # queue entry of one may stand beside the job of the other.
            self.entry = self.entry._replace(
                items=record.items, chunk_count=record.chunk_count
            )
            self.chunks = [_FREE] * record.chunk_count
            for numbers in self._numbers.values():
                numbers.clear()
            self._numbers["free"].update(range(record.chunk_count))
        for number, view in enumerate(self.chunks):
            chunk = known.get(number)
            # A VM may have reported something newer than what was read, and
            # a chunk taken back from its holder stays free; but of a
            # cancelled job nobody will claim it, so its record counts.
            if chunk is None or chunk.revision < view.revision:
                continue
            if chunk.revision > view.revision or self.is_cancelled:
                self._set(number, _view(chunk, now_s))
        self.has_to_reload = False
        if self.is_cancelled and self.cancelled_since_s is None:
            self.cancelled_since_s = now_s

    def reload(self) -> None:
        """Asks for the records to be read again."""
        self.has_to_reload = True

    def dump(self) -> Any:
        """Returns the states for people."""
        return {
            "customer": self.entry.customer,
            "cancelled": self.is_cancelled,
            "chunks": {
                state: len(numbers) for state, numbers in self._numbers.items()
            },
        }

    def offer(self, now_s: float) -> batchmessages.Offer | None:
        """Returns the first chunk that may be claimed."""
        if self.is_cancelled or self.has_to_reload:
            return None
        number = min(self._numbers["free"], default=None)
        if number is None:
            return None
        view = self.chunks[number]
        self._set(number, view._replace(state="offered", since_s=now_s))
        return batchmessages.Offer(
            self.entry.job, number, view.epoch + 1, view.revision
        )

    def has_free(self) -> bool:
        """Tells whether a chunk may be offered."""
        if self.is_cancelled or self.has_to_reload:
            return False
        return bool(self._numbers["free"])

    def has_ended(self) -> bool:
        """Tells whether each chunk is thought to have ended."""
        if self.record is not None and self.record.has_ended:
            return True
        if self.is_cancelled:
            return not self._numbers["running"]
        return len(self._numbers["ended"]) == len(self.chunks)

    def hold(
        self,
        holding: batchmessages.Holding,
        vm: str,
        incarnation: str,
        now_s: float,
    ) -> bool:
        """Notes that a VM says it runs a chunk.

        Returns:
            Whether it may: another VM's claim has a newer revision.
        """
        view = self._known(holding.chunk)
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
        self._set(holding.chunk, held)
        return True

    def end(self, ended: batchmessages.Ended) -> None:
        """Notes that a VM no longer runs a chunk."""
        view = self._known(ended.chunk)
        if view is None:
            return
        if ended.revision <= view.revision:
            self.has_to_reload |= ended.state == "unsure"
            return
        # A chunk is void for its holder only if the job was cancelled.
        self.has_to_reload |= ended.state == "void"
        state: Literal["free", "ended"] = (
            "free" if ended.state == "open" else "ended"
        )
        self._set(ended.chunk, ChunkView(state, ended.epoch, ended.revision))

    def _set(self, chunk: int, view: ChunkView) -> None:
        # Kept by state as well: most jobs have far more chunks than run.
        self._numbers[self.chunks[chunk].state].discard(chunk)
        self._numbers[view.state].add(chunk)
        self.chunks[chunk] = view

    def _known(self, chunk: int) -> ChunkView | None:
        if 0 <= chunk < len(self.chunks):
            return self.chunks[chunk]
        return None

    def expire_offers(self, now_s: float) -> None:
        """Asks for a reload if an offer was not taken up."""
        for number in tuple(self._numbers["offered"]):
            view = self.chunks[number]
            if now_s - view.since_s > _OFFER_S:
                self._set(number, view._replace(state="free"))
                self.has_to_reload = True

    def running(self) -> list[tuple[int, ChunkView]]:
        """Returns the chunks that are thought to run."""
        return [
            (number, self.chunks[number])
            for number in sorted(self._numbers["running"])
        ]

    def confirm(self, chunk: int, now_s: float) -> None:
        """Notes that the holder was asked and still runs a chunk."""
        self._set(chunk, self.chunks[chunk]._replace(since_s=now_s))

    def take_back(self, chunk: int, held: ChunkView) -> None:
        """Lets a chunk be claimed whose holder is gone."""
        if self.chunks[chunk]._replace(since_s=held.since_s) != held:
            return
        self._set(chunk, ChunkView("free", held.epoch, held.revision))


class KnownRecord(NamedTuple):
    """A chunk's record and its revision."""

    record: batchrecords.ChunkRecord
    revision: int


def _view(known: KnownRecord, now_s: float) -> ChunkView:
    record = known.record
    if record.state in ("done", "void"):
        return ChunkView("ended", record.epoch, known.revision)
    if record.state == "open":
        return ChunkView("free", record.epoch, known.revision)
    # The holder has yet to report.
    return ChunkView(
        "running",
        record.epoch,
        known.revision,
        record.vm,
        record.incarnation,
        now_s,
    )
