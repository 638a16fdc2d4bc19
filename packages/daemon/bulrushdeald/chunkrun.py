"""The state of one claimed chunk: its items and their results."""

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
    """The outcome of an item.

    Attributes:
        line: The item's only result line.
        usage: The usage event to record when the chunk ends.
    """

    line: results.Line
    usage: services.UsageEvent


class PartialLine(NamedTuple):
    """A result line stored for the chunk's next holder.

    Attributes:
        item: The item's index in the chunk.
        is_success: Whether the line belongs to the output file.
        text: The line as JSON, without a line end.
    """

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


class EncodedResult(NamedTuple):
    """A chunk's complete result, encoded for the stores.

    Attributes:
        data: The lines of items that succeeded, then those of the others.
        output_bytes: The length of the first part.
        completed: The number of items that succeeded.
        failed: The number of items that ended otherwise.
    """

    data: bytes
    output_bytes: int
    completed: int
    failed: int

    def chunk_result(self, ref: objects.ObjectRef) -> batchrecords.ChunkResult:
        """Returns the result's record, given where `data` is stored."""
        return batchrecords.ChunkResult(
            ref, self.output_bytes, self.completed, self.failed
        )


def encode_lines(lines: Iterable[results.Line]) -> EncodedResult:
    """Joins result lines: successes first, each part in the given order."""
    successes: list[bytes] = []
    failures: list[bytes] = []
    for line in lines:
        (successes if line.is_success else failures).append(line.data + b"\n")
    output = b"".join(successes)
    return EncodedResult(
        output + b"".join(failures), len(output), len(successes), len(failures)
    )


class ChunkRun:
    """Hands out the items of one chunk and collects their answers.

    Safe for threads, except for the public attributes.

    Attributes:
        job: The chunk's job.
        holding: The claim that the chunk runs under.
        items: The chunk's items.
        tries: The number of failed tries of each item.
        confirmed_s: When a coordinator last confirmed that the chunk runs
            here, on the monotonic clock.
        progress_s: When an item last ended or was seen at an upstream, on the
            monotonic clock.
        yielded_at: For each item that yielded to online work, the upstream on
            which it can resume.
    """

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
        self.confirmed_s = 0.0
        self.progress_s = 0.0
        self.yielded_at: dict[int, str] = {}
        self._lines: dict[int, results.Line] = {}
        self._usage: list[services.UsageEvent] = []
        self._pending = list(range(len(items)))[::-1]
        self._delayed: dict[int, float] = {}
        self._cancels: dict[int, Callable[[], None] | None] = {}
        self._lock = threading.Lock()
        self._is_stopped = False

    @property
    def is_stopped(self) -> bool:
        """Whether `stop` was called, so that no more items are handed out."""
        return self._is_stopped

    def restore(self, partial: Partial) -> None:
        """Adds the results that an earlier holder stored."""
        with self._lock:
            for line in partial.lines:
                self._lines[line.item] = results.Line(
                    line.text.encode(), line.is_success
                )
            self._pending = [
                item for item in self._pending if item not in self._lines
            ]

    def next(self, now_s: float) -> int | None:
        """Hands out an item that is due, if there is one.

        The caller must pass the item to `finish` or `requeue` afterwards.
        """
        with self._lock:
            if self._is_stopped:
                return None
            item = self._pop_due(now_s)
            if item is not None:
                self._cancels[item] = None
            return item

    def _pop_due(self, now_s: float) -> int | None:
        if self._pending:
            return self._pending.pop()
        for item, due_s in self._delayed.items():
            if due_s <= now_s:
                del self._delayed[item]
                return item
        return None

    def on_cancel(self, item: int, cancel: Callable[[], None]) -> None:
        """Sets how to cancel a running item; cancels at once after `stop`."""
        with self._lock:
            if not self._is_stopped:
                self._cancels[item] = cancel
                return
        cancel()

    def finish(self, item: int, answer: Answer) -> bool:
        """Records an item's answer, unless it has one already.

        Returns:
            Whether the chunk has ended.
        """
        with self._lock:
            self._cancels.pop(item, None)
            if item not in self._lines:
                self._lines[item] = answer.line
                self._usage.append(answer.usage)
            return self._has_ended()

    def requeue(self, item: int, due_s: float) -> bool:
        """Puts an item back to be run again.

        Args:
            item: The item.
            due_s: When it may run, on the monotonic clock. An item that
                yielded is due at once.

        Returns:
            Whether the chunk has ended.
        """
        with self._lock:
            self._cancels.pop(item, None)
            if item in self.yielded_at:
                self._pending.append(item)
            else:
                self._delayed[item] = due_s
            return self._has_ended()

    def stop(self, cancel_running: bool) -> bool:
        """Stops handing out items.

        Args:
            cancel_running: Whether to cancel the items that run.

        Returns:
            Whether the chunk has ended.
        """
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
        """Whether each item has an answer."""
        with self._lock:
            return len(self._lines) == len(self.items)

    def waiting(self) -> int:
        """Returns how many items are due and not handed out."""
        with self._lock:
            return len(self._pending)

    def running(self) -> int:
        """Returns how many items are handed out and have not ended."""
        with self._lock:
            return len(self._cancels)

    def dump(self) -> Any:
        """Returns the state for operators."""
        return {
            "chunk": self.holding,
            "waiting": self.waiting(),
            "running": self.running(),
        }

    def ended(self) -> int:
        """Returns how many items have an answer."""
        with self._lock:
            return len(self._lines)

    def placed(self) -> int:
        """Returns how many items have an open connection to an upstream."""
        with self._lock:
            return sum(
                1 for cancel in self._cancels.values() if cancel is not None
            )

    def usage(self) -> tuple[services.UsageEvent, ...]:
        """Returns the usage events of the answers."""
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

    def encode_result(self) -> EncodedResult:
        """Returns the result: successes first, each part in item order."""
        with self._lock:
            lines = [line for _, line in sorted(self._lines.items())]
        return encode_lines(lines)
