"""A token bucket whose rate and burst may change while it is in use."""

from typing import NamedTuple


class Denied(NamedTuple):
    """No token now, and when there will be one."""

    retry_after_s: float


class Bucket:
    """Lets `rate_per_s` through, and `burst` at once after a pause."""

    def __init__(self, tokens: float, now_s: float) -> None:
        self._tokens = tokens
        self._filled_s = now_s

    def take(
        self, rate_per_s: float, burst: float, now_s: float
    ) -> Denied | None:
        """Takes one token; returns when to come back if there is none."""
        # A burst below one would never let anything through.
        most = max(burst, 1.0)
        refill = max(0.0, now_s - self._filled_s) * rate_per_s
        self._tokens = min(most, self._tokens + refill)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return Denied((1.0 - self._tokens) / max(rate_per_s, 0.01))
        self._tokens -= 1.0
        return None
