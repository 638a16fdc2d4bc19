"""Which upstreams answer, as this VM has seen it.

An upstream that refused or broke a connection is left out for a while that
doubles with each failure in a row; then one request tries it again.
"""

from typing import NamedTuple

from bulrushdeal import clock as clock_lib

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 15.0


class _Failure(NamedTuple):
    failures: int
    until_s: float


class Health:
    """Remembers failures; not thread-safe by itself."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._failures: dict[str, _Failure] = {}

    def is_up(self, upstream: str) -> bool:
        """Tells whether a request may be sent there now."""
        failure = self._failures.get(upstream)
        return failure is None or failure.until_s <= self._clock.monotonic_s()

    def is_trial(self, upstream: str) -> bool:
        """Tells whether the next request there is the first after a pause."""
        return upstream in self._failures and self.is_up(upstream)

    def begin_trial(self, upstream: str) -> None:
        """Keeps others away while one request tries the upstream."""
        failure = self._failures[upstream]
        pause_s = _pause_s(failure.failures)
        until_s = self._clock.monotonic_s() + pause_s
        self._failures[upstream] = _Failure(failure.failures, until_s)

    def succeeded(self, upstream: str) -> None:
        """Notes that the upstream answered."""
        self._failures.pop(upstream, None)

    def failed(self, upstream: str) -> None:
        """Notes that the upstream refused or broke a connection."""
        old = self._failures.get(upstream, _Failure(0, 0.0))
        until_s = self._clock.monotonic_s() + _pause_s(old.failures)
        self._failures[upstream] = _Failure(old.failures + 1, until_s)

    def next_trial_s(self, upstreams: tuple[str, ...]) -> float:
        """Returns in how many seconds the first of these is tried again."""
        now_s = self._clock.monotonic_s()
        waits = [
            self._failures[name].until_s - now_s
            for name in upstreams
            if name in self._failures
        ]
        return max(0.0, min(waits, default=FIRST_PAUSE_S))

    def dump(self) -> dict[str, _Failure]:
        """Returns the upstreams that failed last."""
        return dict(self._failures)


def _pause_s(failures: int) -> float:
    return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(failures, 10))
