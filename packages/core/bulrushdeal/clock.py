"""Clocks, so that tests can move time by hand."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tells the time and sleeps."""

    def monotonic_s(self) -> float:
        """Returns seconds that never run backwards, for intervals."""

    def wall_s(self) -> float:
        """Returns seconds since the epoch, for records that people read."""

    def sleep_s(self, duration_s: float) -> None:
        """Blocks the calling thread for `duration_s` seconds."""


class SystemClock:
    """The clock of the machine."""

    def monotonic_s(self) -> float:
        """See `Clock`."""
        return time.monotonic()

    def wall_s(self) -> float:
        """See `Clock`."""
        return time.time()

    def sleep_s(self, duration_s: float) -> None:
        """See `Clock`."""
        time.sleep(duration_s)


class FakeClock:
    """A clock that stands still until it is moved."""

    def __init__(self, start_s: float = 1000.0) -> None:
        self.now_s = start_s

    def monotonic_s(self) -> float:
        """See `Clock`."""
        return self.now_s

    def wall_s(self) -> float:
        """See `Clock`."""
        return self.now_s

    def sleep_s(self, duration_s: float) -> None:
        """Moves the clock instead of blocking."""
        self.now_s += duration_s
