"""A budget that keeps retries from doubling the load on a failing upstream."""

import threading

# Retries may add this share to what is sent to an upstream.
_SHARE = 0.1
# So that a quiet upstream's single failure can be retried as well.
_START = 3.0
_MAX = 30.0


class RetryBudget:
    """Grants retries for each upstream in proportion to its requests."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens: dict[str, float] = {}

    def note_request(self, upstream: str) -> None:
        """Counts a first try, which earns a part of a retry."""
        with self._lock:
            tokens = self._tokens.get(upstream, _START)
            self._tokens[upstream] = min(tokens + _SHARE, _MAX)

    def take(self, upstream: str) -> bool:
        """Tells whether a request that failed there may be sent again."""
        with self._lock:
            tokens = self._tokens.get(upstream, _START)
            if tokens < 1:
                return False
            self._tokens[upstream] = tokens - 1
            return True

    def state(self) -> dict[str, float]:
        """Returns the retries left for each upstream, for the dump."""
        with self._lock:
            return {name: round(left, 1) for name, left in self._tokens.items()}
