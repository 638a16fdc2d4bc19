"""Token buckets of customers, divided into shards over many VMs.

A customer's row is divided into `SHARDS_PER_CUSTOMER` equal shards, each with a
bucket of its own at one VM. A VM that serves the customer collects tokens from
the shards and spends them within a short time. However many VMs collect,
restart or are cut off, a shard gives no more than its part of the row, so that
all VMs together grant in any window at most

    capacity + rate * window + kept + reserve + initial
        <= (rate * window + burst) * (1 + overage) + slack

tokens; `Allowance` divides the excess so that this holds for any row.
"""

import collections
from typing import NamedTuple

from gateway.decisions import retryschedule

SHARDS_PER_CUSTOMER = 6
# All tokens go to callers that come back: most customers have one or two a
# second, and use less than that.
_TOKENS_PER_RETRY = 1.0
# For how long tokens that were collected may be spent. Longer, and a customer
# needs fewer messages; tokens that are kept count as excess.
_KEEP_S = 0.2
# Slow customers collect a token in parts, which are kept until it is whole.
_MIN_KEPT = 1.25
# The customers whose tokens are kept for longer get no initial tokens: holders
# that follow each other are known to have begun only so much apart.
MAX_KEEP_S = 3.0
# The part of the requests expected until tokens expire that is collected for.
_KEPT_SHARE = 0.4
# While several VMs collect, a shard gives multiples of this part of its
# capacity, or whole tokens: with a part of one each, none could serve.
_LEAST_PART = 0.5
_RIVALS_S = 1.0
# The part of the spare excess that new holders begin with. The rest is the
# reserve: while shards are lost the others' rate is most of what is needed.
_INITIAL_SHARE = 0.6
# Shortest time between two rounds to shards that had no token.
_MIN_PAUSE_S = 0.05
# Longest such time while some shards cannot be reached.
_MAX_SHORT_PAUSE_S = 0.5
# Parts of a token are added up, and must make a whole one despite rounding.
_WHOLE_TOKEN = 1.0 - 1e-9


class Denied(NamedTuple):
    """A refusal, as there is no token now.

    Attributes:
        retry_after_s: When there will be a token, in seconds from now.
    """

    retry_after_s: float


class Allowance(NamedTuple):
    """What the VMs may grant of a customer's row, all in tokens.

    Attributes:
        rate_per_s: The tokens per second.
        capacity: What the full buckets of all shards hold.
        kept: What the rate brings in `keep_s`, the longest time from the
            request for tokens to a shard until they are spent.
        reserve: What shards may give beyond their buckets in a window while
            other shards cannot be reached.
        initial: What the buckets of new holders of all shards hold.
        window_s: The length of the window, in seconds.
    """

    rate_per_s: float
    capacity: float
    kept: float
    reserve: float
    initial: float
    window_s: float

    @property
    def keep_s(self) -> float:
        """For how long tokens may be spent that were asked for, in seconds."""
        return self.kept / self.rate_per_s

    @property
    def span_s(self) -> float:
        """Within how long tokens may be given that are spent in a window."""
        return self.window_s + self.keep_s

    def most_in_window(self) -> float:
        """Returns the most tokens that all VMs together grant in a window."""
        rate = self.rate_per_s * self.window_s
        return self.capacity + rate + self.kept + self.reserve + self.initial


class Excess(NamedTuple):
    """The tokens beyond rate and burst that operators tolerate in a window.

    Attributes:
        slack: A number of tokens.
        overage: Besides, this part of rate and burst in the window.
        window_s: The length of the window, in seconds.
    """

    slack: float
    overage: float
    window_s: float

    def divide(self, rate_per_s: float, burst: float) -> Allowance:
        """Divides the excess of a row; `rate_per_s` is above 0.

        Without excess the tokens that are kept lessen the capacity.
        """
        limit = rate_per_s * self.window_s + burst
        excess = self.slack + self.overage * limit
        kept = max(rate_per_s * _KEEP_S, _MIN_KEPT)
        kept = min(kept, (excess + burst) / 2)
        spare = max(excess - kept, 0.0)
        capacity = burst - max(kept - excess, 0.0)
        has_initial = kept <= rate_per_s * MAX_KEEP_S
        initial = spare * _INITIAL_SHARE if has_initial else 0.0
        return Allowance(
            rate_per_s,
            capacity,
            kept,
            spare - initial,
            initial,
            self.window_s,
        )


class Given(NamedTuple):
    """Tokens that a shard gave: all of them, and those from its reserve."""

    tokens: float
    from_reserve: float


class ShardBucket:
    """A customer's bucket in one shard.

    Args:
        tokens: The tokens at the beginning.
        begin_s: When it began, by a clock that never goes back.
    """

    def __init__(self, tokens: float, begin_s: float) -> None:
        self._tokens = tokens
        self._begin_s = begin_s
        self._refilled_s = begin_s
        self._server = ""
        self._rivals_until_s = begin_s
        # What was given from the reserve, and when.
        self._reserve_given: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def give(
        self,
        allowance: Allowance,
        wanted: float,
        now_s: float,
        *,
        server: str,
        uses_reserve: bool,
    ) -> Given:
        """Gives at most the wanted tokens, or parts of one.

        Args:
            allowance: What the VMs may grant of the customer's row.
            wanted: How many tokens are wanted.
            now_s: The current time.
            server: The VM that collects.
            uses_reserve: Whether other shards cannot be reached.
        """
        self._refill(allowance, now_s)
        given = min(wanted, self._tokens)
        capacity = allowance.capacity / SHARDS_PER_CUSTOMER
        least = min(wanted, capacity * _LEAST_PART, 1.0)
        if self._has_rivals(server, now_s) and least > 0.0:
            given = given // least * least
        self._tokens -= given
        if not uses_reserve:
            return Given(given, 0.0)
        from_reserve = min(wanted - given, self._reserve_left(allowance, now_s))
        if from_reserve > 0.0:
            self._reserve_given.append((now_s, from_reserve))
        return Given(given + from_reserve, from_reserve)

    def _has_rivals(self, server: str, now_s: float) -> bool:
        if server != self._server:
            if self._server:
                self._rivals_until_s = now_s + _RIVALS_S
            self._server = server
        return now_s < self._rivals_until_s

    def _refill(self, allowance: Allowance, now_s: float) -> None:
        rate_per_s = allowance.rate_per_s / SHARDS_PER_CUSTOMER
        refill = max(0.0, now_s - self._refilled_s) * rate_per_s
        capacity = allowance.capacity / SHARDS_PER_CUSTOMER
        self._tokens = min(capacity, self._tokens + refill)
        self._refilled_s = max(now_s, self._refilled_s)

    def _reserve_left(self, allowance: Allowance, now_s: float) -> float:
        # The holder before may have given its reserve just now.
        if now_s - self._begin_s <= allowance.span_s:
            return 0.0
        self._forget_reserve(allowance, now_s)
        given = sum(tokens for _, tokens in self._reserve_given)
        return max(0.0, allowance.reserve / SHARDS_PER_CUSTOMER - given)

    def _forget_reserve(self, allowance: Allowance, now_s: float) -> None:
        rows = self._reserve_given
        while rows and now_s - rows[0][0] > allowance.span_s:
            rows.popleft()


class Pool:
    """The tokens that a VM has collected for a customer and not yet spent."""

    def __init__(self) -> None:
        # The tokens, and when each part was asked for, the oldest first.
        self._parts: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._empty_until_s = 0.0
        self._retry_schedule = retryschedule.RetrySchedule(_TOKENS_PER_RETRY)
        # Requests per second, a moving average.
        self._demand_per_s = 0.0
        self._asked_s = 0.0

    def left(self) -> float:
        """Returns how many tokens there were after the last change."""
        return sum(amount for _, amount in list(self._parts))

    def record_request(self, now_s: float) -> None:
        """Counts a request, to know how many tokens are needed."""
        pause_s = max(now_s - self._asked_s, 1e-3)
        self._asked_s = now_s
        # A customer's requests within a second count.
        weight = min(pause_s, 1.0)
        self._demand_per_s += weight * (1.0 / pause_s - self._demand_per_s)

    def take(self, allowance: Allowance, now_s: float) -> bool:
        """Takes a token, if one is left that may still be spent."""
        while self._parts and now_s - self._parts[0][0] > allowance.keep_s:
            self._parts.popleft()
        if self.left() < _WHOLE_TOKEN:
            return False
        missing = 1.0
        while self._parts and missing > 0.0:
            asked_s, amount = self._parts.popleft()
            if amount > missing:
                self._parts.appendleft((asked_s, amount - missing))
            missing -= amount
        return True

    def add(self, amount: float, asked_s: float) -> None:
        """Adds tokens.

        Args:
            amount: How many.
            asked_s: When they were asked for, which is before they were given.
        """
        if amount > 0.0:
            self._parts.append((asked_s, amount))

    def wanted(self, allowance: Allowance) -> float:
        """Returns how many tokens to collect."""
        expected = self._demand_per_s * allowance.keep_s * _KEPT_SHARE
        return max(1.0, min(expected, allowance.kept)) - self.left()

    def may_collect(self, now_s: float) -> bool:
        """Returns whether the shards may have a token by now."""
        return now_s >= self._empty_until_s

    def record_empty(
        self, allowance: Allowance, now_s: float, *, is_short: bool
    ) -> None:
        """Records that the shards had no token left.

        Args:
            allowance: What the VMs may grant of the customer's row.
            now_s: The current time.
            is_short: Whether some shards could not be reached.
        """
        missing_s = (1.0 - self.left()) / allowance.rate_per_s
        if is_short:
            missing_s = min(missing_s, _MAX_SHORT_PAUSE_S)
        self._empty_until_s = now_s + max(missing_s, _MIN_PAUSE_S)

    def deny(self, allowance: Allowance, now_s: float) -> Denied:
        """Returns when a request that gets no token is to be retried."""
        token_s = 1.0 / allowance.rate_per_s
        # Callers that were all told the time of the next token would meet
        # there, and all but one be refused again.
        reserved_s = self._retry_schedule.reserve(now_s, token_s)
        missing_s = (1.0 - self.left()) * token_s
        return Denied(max(missing_s, reserved_s))
