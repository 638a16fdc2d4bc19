"""A structured event log that writes one JSON object per line.

Any thread logs through `logging` of the standard library; a bounded queue
passes the records to a single writer thread, so logging never blocks. The
formatter is simple because all fields are plain values.
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

# A few seconds of lines at the rate of a busy VM; about 2 MB.
_MAX_QUEUED_LINES = 4000
# Successes per second and component that are written; others are counted.
_MAX_SUCCESSES_PER_S = 20.0
_LOGGER = "bulrushdeal.events"
# Lines lost by this process since its start, by event.
_lost_lines: collections.Counter[str] = collections.Counter()


def lost_lines() -> Mapping[str, int]:
    """Returns the lines dropped since the process started, by event."""
    return dict(_lost_lines)


class _DroppingQueueHandler(logging.handlers.QueueHandler):
    """Drops and counts lines if the queue is full, so that no request waits."""

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(lines)
        self._lock = threading.Lock()
        self._dropped: dict[str, int] = {}

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a line and adds the counts of lines dropped before it."""
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
                _lost_lines[record.msg] += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record unchanged, as its fields are plain values."""
        return record


class _JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
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
    """Limits the rate of log lines and counts those that are left out.

    It is a token bucket that holds up to one second's worth of lines.

    Args:
        per_s: The lines let through per second.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._lock = threading.Lock()
        self._tokens = per_s
        self._refilled_s = time.monotonic()
        self._skipped = 0

    def take(self) -> int | None:
        """Decides whether to write the current line.

        Returns:
            The number of lines left out since the last one written, or `None`
            if the current line is to be left out too.
        """
        now_s = time.monotonic()
        with self._lock:
            refill = (now_s - self._refilled_s) * self._per_s
            self._tokens = min(self._per_s, self._tokens + refill)
            self._refilled_s = now_s
            if self._tokens < 1.0:
                self._skipped += 1
                return None
            self._tokens -= 1.0
            skipped, self._skipped = self._skipped, 0
            return skipped


class Events:
    """Writes the events of one component.

    Args:
        part: The component's name, written with each event.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = logging.getLogger(_LOGGER)
        self._success_sampler = Sampler(_MAX_SUCCESSES_PER_S)

    def info(self, event: str, **fields: Any) -> None:
        """Logs a decision or a change of state."""
        self._emit(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs a problem that the system handles but operators should see."""
        self._emit(logging.WARNING, event, fields)

    def sampled_info(self, event: str, **fields: Any) -> None:
        """Logs a routine success; the rate of these lines is limited."""
        skipped = self._success_sampler.take()
        if skipped is None:
            return
        if skipped:
            fields["skipped"] = skipped
        self._emit(logging.INFO, event, fields)

    def _emit(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if not self._logger.isEnabledFor(level):
            return
        extra = {"part": self._part, "fields": fields}
        # `Logger.info` would search the call stack for the caller's line.
        record = self._logger.makeRecord(
            _LOGGER, level, "", 0, event, (), None, extra=extra
        )
        self._logger.handle(record)


def configure(vm: str, stream: TextIO) -> logging.handlers.QueueListener:
    """Starts a thread that writes all events to a stream.

    Args:
        vm: The name of this VM, written with each event.
        stream: The stream to write to.

    Returns:
        The listener, whose `stop` writes the queued lines and ends the thread.
    """
    lines: queue.Queue[logging.LogRecord] = queue.Queue(_MAX_QUEUED_LINES)
    writer = logging.StreamHandler(stream)
    writer.setFormatter(_JsonFormatter(vm))
    logger = logging.getLogger(_LOGGER)
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.handlers = [_DroppingQueueHandler(lines)]
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    return listener
