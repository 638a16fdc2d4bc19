"""What a coordinator knows of one job's chunks."""

from collections.abc import Iterable
from typing import Literal, NamedTuple

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


class JobView:
    """One job; not safe for threads by itself."""

    def __init__(self, entry: batchrecords.QueueEntry) -> None:
        self.entry = entry
        self.chunks = [ChunkView() for _ in range(entry.chunk_count)]
        self.has_to_reload = True
        self.record: batchrecords.JobRecord | None = None
        self.revision = 0
        self.cancelled_since_s: float | None = None

    @property
    def is_cancelled(self) -> bool:
        """Whether no chunk of it may be offered."""
        return self.entry.is_cancelled or (
            self.record is not None and self.record.state != "in_progress"
        )

    def update(
        self,
        job: batchrecords.JobRecord,
        records: dict[int, "KnownRecord"],
        now_s: float,
    ) -> None:
        """Takes in all records that the platform holds."""
        if len(self.chunks) != job.chunk_count:
            # Two clients sent different jobs under one key at once: the
            # queue entry of one stands beside the job of the other.
            self.entry = self.entry._replace(
                items=job.items, chunk_count=job.chunk_count
            )
            self.chunks = [ChunkView() for _ in range(job.chunk_count)]
        for number, view in enumerate(self.chunks):
            known = records.get(number)
            if known is None:
                is_new = view.state == "offered"
                self.chunks[number] = view if is_new else ChunkView()
                continue
            self.chunks[number] = _view(known, view, now_s)
        self.has_to_reload = False

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
        if self.is_cancelled:
            return all(view.state != "running" for view in self.chunks)
        return all(view.state == "ended" for view in self.chunks)

    def hold(
        self,
        holding: batchmessages.Holding,
        vm: str,
        incarnation: str,
        now_s: float,
    ) -> None:
        """Notes that a VM says it runs a chunk."""
        view = self._known(holding.chunk)
        if view is None or view.state == "ended":
            return
        if holding.epoch < view.epoch:
            return
        self.chunks[holding.chunk] = ChunkView(
            "running",
            holding.epoch,
            holding.revision,
            vm,
            incarnation,
            now_s,
        )

    def end(self, ended: batchmessages.Ended) -> None:
        """Notes that a VM no longer runs a chunk."""
        view = self._known(ended.chunk)
        if view is None:
            return
        if ended.state == "unsure" or ended.epoch < view.epoch:
            self.has_to_reload = True
            return
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

    def running(self) -> Iterable[tuple[int, ChunkView]]:
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


def _view(known: KnownRecord, view: ChunkView, now_s: float) -> ChunkView:
    record = known.record
    if record.state in ("done", "void"):
        return ChunkView("ended", record.epoch, known.revision)
    if record.state == "open":
        is_offered = view.state == "offered" and view.revision == known.revision
        if is_offered:
            return view
        return ChunkView("free", record.epoch, known.revision)
    # A holder last heard of keeps the time of it, a new one gets the time
    # of now: it has yet to report.
    is_same = view.state == "running" and view.revision == known.revision
    return ChunkView(
        "running",
        record.epoch,
        known.revision,
        record.vm,
        record.incarnation,
        view.since_s if is_same else now_s,
    )
