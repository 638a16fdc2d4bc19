"""Reports what is held for callers, and how often they were cut short."""

import collections
from collections.abc import Callable, Mapping
import threading
from typing import NamedTuple

from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeal import threads

_log = logs.Log("callers")


class Held(NamedTuple):
    """What is held for callers.

    Attributes:
        held_bytes: The memory that is held for all of them.
        limit_bytes: The most that may be.
        connections: Their open connections.
        cut_short: How often one was ended or refused, by why.
    """

    held_bytes: int
    limit_bytes: int
    connections: int
    cut_short: Mapping[str, int]


class HeldReports:
    """Sends metrics at intervals, and logs when callers were cut short.

    Args:
        held: Returns what is held now.
        statsd_address: Where metrics are sent; empty for nowhere.
        interval_s: The interval between reports, in seconds.
    """

    def __init__(
        self, held: Callable[[], Held], statsd_address: str, interval_s: float
    ) -> None:
        self._held = held
        self._metrics = metrics_lib.connect(statsd_address)
        self._interval_s = interval_s
        self._reported: collections.Counter[str] = collections.Counter()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts the thread that reports."""
        threads.start(self._run, "held reports")

    def stop(self) -> None:
        """Ends the thread."""
        self._stopping.set()

    def report(self) -> None:
        """Reports what is held now, and what happened since the last time."""
        held = self._held()
        self._metrics.gauge("callers.bytes", held.held_bytes)
        self._metrics.gauge("callers.connections", held.connections)
        counts = collections.Counter(held.cut_short)
        new = counts - self._reported
        self._reported = counts
        for why, count in new.items():
            self._metrics.increment(f"callers.cut_short.{why}", count)
        if new:
            _log.warning(
                "Callers were cut short: %s; %d bytes and %d connections held.",
                dict(new),
                held.held_bytes,
                held.connections,
            )

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            self.report()
