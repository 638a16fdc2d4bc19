"""A token bucket whose rate and burst may change while it is in use."""

from typing import Literal, NamedTuple

# `owner`: leads when all VMs reach each other. `stand_in`: the owner is beyond
# a cut, each side of which gives its part. `doubtful`: this VM does not reach
# the owner, and others may.
Role = Literal["owner", "stand_in", "doubtful"]
# Of the rate, for one that may have an owner beside it.
_DOUBTFUL_SHARE = 0.5


class Denied(NamedTuple):
    """No token now, and when there will be one."""

    retry_after_s: float


class Bucket:
    """Lets `rate_per_s` through, and `burst` at once after a pause."""

    def __init__(self, tokens: float, now_s: float) -> None:
        self._tokens = tokens
        self._filled_s = now_s

    def left(self) -> float:
        """Returns how many tokens there were after the last one taken."""
        return self._tokens

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


class OwnedBucket:
    """A bucket of which several VMs have one, and one at a time gives out.

    The failure: VMs are killed or cut off, and for some seconds two of them
    give out a customer's tokens, each the whole rate. A VM that stands in for
    the owner begins with few tokens; as long as the owner may only seem to be
    gone, it gives half of the rate, until the window that operators look at
    has passed. Customers use less than two thirds of their rate, so the tokens
    of the opening last for the rest. An owner that was started again has no
    other beside it and gives the whole rate.

    Args:
        opening: Tokens at the beginning, at most the burst.
        window_s: The window in which tokens are counted.
    """

    def __init__(self, opening: float, window_s: float) -> None:
        self._opening = opening
        self._window_s = window_s
        self._bucket: Bucket | None = None
        self._begun_s = 0.0
        self._used_s = 0.0

    def left(self) -> float:
        """Returns how many tokens there were after the last one taken."""
        return 0.0 if self._bucket is None else self._bucket.left()

    def take(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        role: Role,
    ) -> Denied | None:
        """Takes one token; returns when to come back if there is none.

        Args:
            rate_per_s: The customer's.
            burst: The customer's.
            now_s: By the monotonic clock.
            role: Of this VM for the customer, just now.
        """
        was_idle = now_s - self._used_s > self._window_s
        if self._bucket is None or (role != "owner" and was_idle):
            self._bucket = Bucket(min(burst, self._opening), now_s)
            self._begun_s = now_s
        self._used_s = now_s
        if role == "doubtful" and now_s - self._begun_s < self._window_s:
            rate_per_s *= _DOUBTFUL_SHARE
        return self._bucket.take(rate_per_s, burst, now_s)
