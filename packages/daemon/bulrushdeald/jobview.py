"""What a coordinator knows of one job's chunks."""

import collections
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords

# An offer that was not taken up in this time may be made to another VM.
_OFFER_S = 10.0


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

    state: Literal["free", "offered", "running", "ended"] = "free"
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
        for number, view in enumerate(self.chunks):
            chunk = known.get(number)
            # A VM may have reported something newer than what was read, and
            # a chunk taken back from its holder stays free.
            if chunk is not None and chunk.revision > view.revision:
                self.chunks[number] = _view(chunk, now_s)
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
            "chunks": collections.Counter(view.state for view in self.chunks),
        }

    def offer(self, now_s: float) -> batchmessages.Offer | None:
        """Returns the first chunk that may be claimed."""
        if self.is_cancelled or self.has_to_reload:
            return None
        for number, view in enumerate(self.chunks):
            if view.state != "free":
                continue
            self.chunks[number] = view._replace(state="offered", since_s=now_s)
            return batchmessages.Offer(
                self.entry.job, number, view.epoch + 1, view.revision
            )
        return None

    def has_free(self) -> bool:
        """Tells whether a chunk may be offered."""
        if self.is_cancelled or self.has_to_reload:
            return False
        return any(view.state == "free" for view in self.chunks)

    def has_ended(self) -> bool:
        """Tells whether each chunk is thought to have ended."""
        if self.record is not None and self.record.has_ended:
            return True
        if self.is_cancelled:
            return all(view.state != "running" for view in self.chunks)
        return all(view.state == "ended" for view in self.chunks)

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
        self.chunks[holding.chunk] = ChunkView(
            "running",
            holding.epoch,
            holding.revision,
            vm,
            incarnation,
            now_s,
        )
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
        self.chunks[ended.chunk] = ChunkView(state, ended.epoch, ended.revision)

    def _known(self, chunk: int) -> ChunkView | None:
        if 0 <= chunk < len(self.chunks):
            return self.chunks[chunk]
        return None

    def expire_offers(self, now_s: float) -> None:
        """Asks for a reload if an offer was not taken up."""
        for number, view in enumerate(self.chunks):
            if view.state == "offered" and now_s - view.since_s > _OFFER_S:
                self.chunks[number] = view._replace(state="free")
                self.has_to_reload = True

    def running(self) -> list[tuple[int, ChunkView]]:
        """Returns the chunks that are thought to run."""
        return [
            (number, view)
            for number, view in enumerate(self.chunks)
            if view.state == "running"
        ]

    def confirm(self, chunk: int, now_s: float) -> None:
        """Notes that the holder was asked and still runs a chunk."""
        self.chunks[chunk] = self.chunks[chunk]._replace(since_s=now_s)

    def take_back(self, chunk: int, held: ChunkView) -> None:
        """Lets a chunk be claimed whose holder is gone."""
        if self.chunks[chunk]._replace(since_s=held.since_s) != held:
            return
        self.chunks[chunk] = ChunkView("free", held.epoch, held.revision)


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
