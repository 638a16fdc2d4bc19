"""Structured log lines: one JSON object a line, bounded, never blocking.

`logging` of the standard library carries the records from any thread to one
that writes. The formatter is ours because its fields are plain already.
"""

import collections
from collections.abc import Mapping
import json
import logging
import logging.handlers
import queue
import threading
import time
from typing import Any, TextIO

# A few seconds of lines at a busy VM's rate; some 2 MB.
_MAX_QUEUED = 4000
# Plain good ends a second that are written in full; the others are counted.
GOOD_ENDS_PER_S = 20.0
_LOGGER = "bulrushdeal.events"
# Of this process, by event, from its start on.
_lost: collections.Counter[str] = collections.Counter()


def lost() -> Mapping[str, int]:
    """Returns how many lines found no room, by event, since the start."""
    return dict(_lost)


class _Queue(logging.handlers.QueueHandler):
    """Drops and counts what finds no room, so that no request waits."""

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(lines)
        self._lock = threading.Lock()
        self._dropped: dict[str, int] = {}

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a line together with the count of those lost before it."""
        with self._lock:
            dropped = dict(self._dropped)
            if dropped:
                record.fields["dropped"] = dropped  # type: ignore[attr-defined]
            try:
                self.queue.put_nowait(record)
                self._dropped.clear()
            except queue.Full:
                count = self._dropped.get(record.msg, 0)
                self._dropped[record.msg] = count + 1
                _lost[record.msg] += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leaves the record as it is: its fields are plain values."""
        return record


class _Json(logging.Formatter):
    """Writes a record as one JSON object."""

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line."""
        row: dict[str, Any] = {
            "time_s": round(record.created, 3),
            "vm": self._vm,
            "level": record.levelname.lower(),
            "part": getattr(record, "part", ""),
            "event": record.msg,
            **getattr(record, "fields", {}),
        }
        return json.dumps(row, default=str)


class Sampler:
    """Lets some lines a second through and counts the others."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._lock = threading.Lock()
        self._tokens = per_s
        self._filled_s = time.monotonic()
        self._skipped = 0

    def take(self) -> int | None:
        """Returns how many were left out before; `None` leaves this out."""
        now_s = time.monotonic()
        with self._lock:
            refill = (now_s - self._filled_s) * self._per_s
            self._tokens = min(self._per_s, self._tokens + refill)
            self._filled_s = now_s
            if self._tokens < 1.0:
                self._skipped += 1
                return None
            self._tokens -= 1.0
            skipped, self._skipped = self._skipped, 0
            return skipped


class Events:
    """Writes the events of one part of the product."""

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = logging.getLogger(_LOGGER)
        self._good_ends = Sampler(GOOD_ENDS_PER_S)

    def info(self, event: str, **fields: Any) -> None:
        """Tells a decision or a change of what is believed."""
        self._emit(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Tells what the system copes with but people should know."""
        self._emit(logging.WARNING, event, fields)

    def good_end(self, event: str, **fields: Any) -> None:
        """Tells a plain good end, sampled under load."""
        skipped = self._good_ends.take()
        if skipped is None:
            return
        if skipped:
            fields["skipped"] = skipped
        self._emit(logging.INFO, event, fields)

    def _emit(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if not self._logger.isEnabledFor(level):
            return
        extra = {"part": self._part, "fields": fields}
        # Made by hand: the library's way looks through the whole stack.
        record = self._logger.makeRecord(
            _LOGGER, level, "", 0, event, (), None, extra=extra
        )
        self._logger.handle(record)


def configure(vm: str, stream: TextIO) -> logging.handlers.QueueListener:
    """Writes events to a stream from a thread of its own.

    Returns:
        What stops that thread, after it has written what is queued.
    """
    lines: queue.Queue[logging.LogRecord] = queue.Queue(_MAX_QUEUED)
    writer = logging.StreamHandler(stream)
    writer.setFormatter(_Json(vm))
    logger = logging.getLogger(_LOGGER)
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.handlers = [_Queue(lines)]
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    return listener
