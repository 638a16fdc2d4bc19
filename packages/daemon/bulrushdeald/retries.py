"""A retry budget, so that retries cannot double a failing upstream's load."""

import threading

# Retries may add this fraction to the requests sent to an upstream.
_RETRIES_PER_REQUEST = 0.1
# Allows retries at an upstream that has had few requests so far.
_INITIAL_TOKENS = 3.0
_MAX_TOKENS = 30.0


class RetryBudget:
    """Grants retries for each upstream in proportion to its requests."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens: dict[str, float] = {}

    def note_request(self, upstream: str) -> None:
        """Counts a sent request, which earns a fraction of a retry."""
        with self._lock:
            tokens = self._tokens.get(upstream, _INITIAL_TOKENS)
            self._tokens[upstream] = min(
                tokens + _RETRIES_PER_REQUEST, _MAX_TOKENS
            )

    def take(self, upstream: str) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        with self._lock:
            tokens = self._tokens.get(upstream, _INITIAL_TOKENS)
            if tokens < 1:
                return False
            self._tokens[upstream] = tokens - 1
            return True

    def state(self) -> dict[str, float]:
        """Returns the retries left by upstream, for the state dump."""
        with self._lock:
            return {name: round(left, 1) for name, left in self._tokens.items()}
