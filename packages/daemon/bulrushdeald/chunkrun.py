"""The items of one claimed chunk while they run, and their results."""

from collections.abc import Callable, Iterable
import threading
from typing import Any, NamedTuple

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import objects
from bulrushdeald import results
from bulrushdeald import services
from bulrushdeald import splitter


class Answer(NamedTuple):
    """How an item ended.

    Attributes:
        line: Its one result line.
        usage: What is counted for it, once the result counts.
    """

    line: results.Line
    usage: services.UsageEvent


class PartialLine(NamedTuple):
    """A result line kept for the chunk's next holder."""

    item: int
    is_success: bool
    text: str


class Partial(NamedTuple):
    """The results of a chunk that was given back unfinished."""

    lines: tuple[PartialLine, ...]

    def result_lines(self) -> list[results.Line]:
        """Returns the lines in item order."""
        return [
            results.Line(line.text.encode(), line.is_success)
            for line in sorted(self.lines)
        ]


class Sealed(NamedTuple):
    """A chunk's whole result before it is stored."""

    data: bytes
    output_bytes: int
    completed: int
    failed: int

    def chunk_result(self, ref: objects.ObjectRef) -> batchrecords.ChunkResult:
        """Returns the result once it is stored."""
        return batchrecords.ChunkResult(
            ref, self.output_bytes, self.completed, self.failed
        )


def seal(lines: Iterable[results.Line]) -> Sealed:
    """Joins result lines: successes, then the others, each in order."""
    good: list[bytes] = []
    bad: list[bytes] = []
    for line in lines:
        (good if line.is_success else bad).append(line.data + b"\n")
    output = b"".join(good)
    return Sealed(output + b"".join(bad), len(output), len(good), len(bad))


class ChunkRun:
    """Hands out the items of one chunk and gathers their answers."""

    def __init__(
        self,
        job: batchrecords.JobRecord,
        holding: batchmessages.Holding,
        items: tuple[splitter.Item, ...],
    ) -> None:
        self.job = job
        self.holding = holding
        self.items = items
        self.tries = [0] * len(items)
        # When a coordinator last spoke of the chunk as running here.
        self.confirmed_s = 0.0
        # When an item last ended, or ran at an upstream.
        self.progress_s = 0.0
        # Where an item yielded, so that it can go on from where it stood.
        self.yielded_at: dict[int, str] = {}
        self._lines: dict[int, results.Line] = {}
        self._usage: list[services.UsageEvent] = []
        self._pending = list(range(len(items)))[::-1]
        self._later: dict[int, float] = {}
        self._cancels: dict[int, Callable[[], None] | None] = {}
        self._lock = threading.Lock()
        self._is_stopped = False

    @property
    def is_stopped(self) -> bool:
        """Whether no further item is handed out."""
        return self._is_stopped

    def restore(self, partial: Partial) -> None:
        """Takes over the results of an earlier holder."""
        with self._lock:
            for line in partial.lines:
                self._lines[line.item] = results.Line(
                    line.text.encode(), line.is_success
                )
            self._pending = [
                item for item in self._pending if item not in self._lines
            ]

    def next(self, now_s: float) -> int | None:
        """Returns an item to run now; it ends by `finish` or `requeue`."""
        with self._lock:
            if self._is_stopped:
                return None
            item = self._pop(now_s)
            if item is not None:
                self._cancels[item] = None
            return item

    def _pop(self, now_s: float) -> int | None:
        if self._pending:
            return self._pending.pop()
        for item, due_s in self._later.items():
            if due_s <= now_s:
                del self._later[item]
                return item
        return None

    def on_cancel(self, item: int, cancel: Callable[[], None]) -> None:
        """Keeps how to end a running item; calls it if it has to end."""
        with self._lock:
            if not self._is_stopped:
                self._cancels[item] = cancel
                return
        cancel()

    def finish(self, item: int, answer: Answer) -> bool:
        """Keeps an item's one answer; returns whether all have ended."""
        with self._lock:
            self._cancels.pop(item, None)
            if item not in self._lines:
                self._lines[item] = answer.line
                self._usage.append(answer.usage)
            return self._has_ended()

    def requeue(self, item: int, due_s: float) -> bool:
        """Gives an item back unrun; returns whether all have ended."""
        with self._lock:
            self._cancels.pop(item, None)
            if item in self.yielded_at:
                self._pending.append(item)
            else:
                self._later[item] = due_s
            return self._has_ended()

    def stop(self, cancel_running: bool) -> bool:
        """Hands out no more items; returns whether all have ended."""
        with self._lock:
            self._is_stopped = True
            cancels: Iterable[Callable[[], None] | None] = ()
            if cancel_running:
                cancels = tuple(self._cancels.values())
            has_ended = self._has_ended()
        for cancel in cancels:
            if cancel is not None:
                cancel()
        return has_ended

    def _has_ended(self) -> bool:
        if self._cancels:
            return False
        return self._is_stopped or len(self._lines) == len(self.items)

    @property
    def is_complete(self) -> bool:
        """Whether each item has its answer."""
        with self._lock:
            return len(self._lines) == len(self.items)

    def waiting(self) -> int:
        """Returns how many items have not been handed out."""
        with self._lock:
            return len(self._pending)

    def running(self) -> int:
        """Returns how many items are handed out."""
        with self._lock:
            return len(self._cancels)

    def dump(self) -> Any:
        """Returns the state for people."""
        return {
            "chunk": self.holding,
            "waiting": self.waiting(),
            "running": self.running(),
        }

    def ended(self) -> int:
        """Returns how many items have their answer."""
        with self._lock:
            return len(self._lines)

    def placed(self) -> int:
        """Returns how many items run at an upstream."""
        with self._lock:
            return sum(1 for one in self._cancels.values() if one is not None)

    def usage(self) -> tuple[services.UsageEvent, ...]:
        """Returns what is to be counted when the result counts."""
        with self._lock:
            return tuple(self._usage)

    def partial(self) -> Partial:
        """Returns the answers so far."""
        with self._lock:
            return Partial(
                tuple(
                    PartialLine(item, line.is_success, line.data.decode())
                    for item, line in sorted(self._lines.items())
                )
            )

    def seal(self) -> Sealed:
        """Returns the result: successes, then the others, in item order."""
        with self._lock:
            lines = [line for _, line in sorted(self._lines.items())]
        return seal(lines)
