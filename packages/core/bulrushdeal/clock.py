"""Clocks, which tests replace by one that they control."""

import time
from typing import Protocol


def boottime_s() -> float:
    """Returns seconds since the boot, the time in suspend included.

    A lease, or anything that others count on to end, runs on while this VM is
    suspended; the monotonic clock does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """A source of time that can also sleep."""

    def monotonic_s(self) -> float:
        """Returns a time in seconds that never decreases, for intervals."""

    def wall_s(self) -> float:
        """Returns seconds since the Unix epoch, for records and logs."""

    def sleep_s(self, duration_s: float) -> None:
        """Blocks the calling thread for `duration_s` seconds."""


class SystemClock:
    """The system clock."""

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
    """A clock for tests that advances only by `sleep_s` or by hand.

    Attributes:
        now_s: The current time in seconds, which a test may set.
    """

    def __init__(self, start_s: float = 1000.0) -> None:
        self.now_s = start_s

    def monotonic_s(self) -> float:
        """See `Clock`."""
        return self.now_s

    def wall_s(self) -> float:
        """See `Clock`."""
        return self.now_s

    def sleep_s(self, duration_s: float) -> None:
        """Advances the clock without blocking."""
        self.now_s += duration_s
