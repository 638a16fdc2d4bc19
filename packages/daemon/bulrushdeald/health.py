"""Tracks which upstreams are available, as observed by this VM.

An upstream that refused or broke a connection gets no requests for a pause
that doubles with each consecutive failure. Then one request tries it again.
"""

from typing import NamedTuple

from bulrushdeal import clock as clock_lib

INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 15.0


class _Failure(NamedTuple):
    failures: int
    until_s: float


class Health:
    """Records consecutive failures by upstream; not thread-safe."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._failures: dict[str, _Failure] = {}

    def is_up(self, upstream: str) -> bool:
        """Returns whether a request may be sent to the upstream now."""
        failure = self._failures.get(upstream)
        return failure is None or failure.until_s <= self._clock.monotonic_s()

    def is_trial(self, upstream: str) -> bool:
        """Returns whether the next request is the first after a pause."""
        return upstream in self._failures and self.is_up(upstream)

    def begin_trial(self, upstream: str) -> None:
        """Starts a new pause for other requests while one tries it."""
        failure = self._failures[upstream]
        pause_s = _pause_s(failure.failures)
        until_s = self._clock.monotonic_s() + pause_s
        self._failures[upstream] = _Failure(failure.failures, until_s)

    def succeeded(self, upstream: str) -> None:
        """Records that the upstream answered."""
        self._failures.pop(upstream, None)

    def failed(self, upstream: str) -> None:
        """Records that the upstream refused or broke a connection."""
        old = self._failures.get(upstream, _Failure(0, 0.0))
        until_s = self._clock.monotonic_s() + _pause_s(old.failures)
        self._failures[upstream] = _Failure(old.failures + 1, until_s)

    def next_trial_s(self, upstreams: tuple[str, ...]) -> float:
        """Returns the seconds until the first of these is tried again."""
        now_s = self._clock.monotonic_s()
        pauses_s = [
            self._failures[name].until_s - now_s
            for name in upstreams
            if name in self._failures
        ]
        return max(0.0, min(pauses_s, default=INITIAL_PAUSE_S))

    def dump(self) -> dict[str, _Failure]:
        """Returns the upstreams whose last request failed."""
        return dict(self._failures)


def _pause_s(failures: int) -> float:
    return min(MAX_PAUSE_S, INITIAL_PAUSE_S * 2.0 ** min(failures, 10))
