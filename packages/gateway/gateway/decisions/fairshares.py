"""Max-min fair shares of customers in the engines of a service.

Designed for full engines of which one customer of eighty suddenly asks for
eight times its usual load. In the order of arrival it would get eight times as
much as before, and all others less.
"""

import collections
from typing import NamedTuple

# Usage counts half after this time: longer than most runs, so that a customer
# does not lose its usage while it runs, and no longer than callers wait.
_HALF_LIFE_S = 5.0
# A customer that neither used anything nor waits for this many half-lives is
# dropped. Its usage has fallen below half a percent by then.
_KEPT_HALF_LIVES = 8
_MAX_CUSTOMERS = 4096
# Usages are held in a unit that grows as they decay; it is set back after this
# many half-lives, long before floats overflow.
_MAX_UNIT_HALF_LIVES = 64
# Rate limits outside of this range count as none.
_MIN_WEIGHT = 1e-3
_MAX_WEIGHT = 1e9

_MAX_FILL = 1e6
# Larger amounts would make sums infinite.
_MAX_AMOUNT = 1e12


class _Customer:
    """A customer that is active.

    Attributes:
        usage: Its decayed usage, in the unit of the table.
        weight: Its weight; 0 if it has no rate limit.
        waiting: The number of its waiting requests.
        used_s: When it last used something or waited.
    """

    __slots__ = ("usage", "used_s", "waiting", "weight")

    def __init__(self) -> None:
        self.usage = 0.0
        self.weight = 0.0
        self.waiting = 0
        self.used_s = 0.0


class _Balance(NamedTuple):
    """What follows from the usages and weights of all active customers.

    Attributes:
        level: The share of a customer of weight 1, in the unit of the table.
        mean_weight: The weight of customers without a rate limit.
        total_weight: The weight of all active customers.
    """

    level: float
    mean_weight: float
    total_weight: float


class FairShares:
    """The decayed usage and the shares of the customers of one service.

    A customer is active if it used something lately or waits. A customer that
    waits for nothing has all that it asks for. What it leaves of its share is
    lent to those that wait, in proportion to their weights.

    Usage is in any unit that is the same for all, such as slots times seconds.

    Args:
        half_life_s: The time after which usage counts half, in seconds.
    """

    def __init__(self, half_life_s: float = _HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        # Least recently used first.
        self._customers: collections.OrderedDict[str, _Customer] = (
            collections.OrderedDict()
        )
        self._base_s = 0.0
        self._now_s = 0.0
        self._unit = 1.0
        self._balance: _Balance | None = None

    def __len__(self) -> int:
        """Returns the number of customers that are kept."""
        return len(self._customers)

    def set_weight(
        self, customer: str, rate_per_s: float, now_s: float
    ) -> None:
        """Sets a customer's weight to its rate limit.

        Args:
            customer: The customer.
            rate_per_s: Its rate limit; 0 if it has none. Negative values,
                values that are not numbers and absurdly large ones count as
                none.
            now_s: The current time by the monotonic clock.
        """
        is_usable = _MIN_WEIGHT <= rate_per_s <= _MAX_WEIGHT
        weight = rate_per_s if is_usable else 0.0
        row = self._touch(customer, now_s)
        if row.weight != weight:
            row.weight = weight
            self._balance = None

    def charge(self, customer: str, amount: float, now_s: float) -> None:
        """Adds to a customer's usage.

        A run is charged with its expected usage when it is granted, so that
        the next grant already counts it. At its end the difference to its
        actual usage is charged.

        Args:
            customer: The customer.
            amount: The usage; a negative one is given back. Values that are
                not numbers or absurdly large are ignored.
            now_s: The current time by the monotonic clock.
        """
        if not -_MAX_AMOUNT <= amount <= _MAX_AMOUNT:
            return
        row = self._touch(customer, now_s)
        row.usage = max(0.0, row.usage + amount * self._unit)
        self._balance = None

    def add_waiting(self, customer: str, now_s: float) -> None:
        """Counts one more waiting request of a customer."""
        self._touch(customer, now_s).waiting += 1
        self._balance = None

    def remove_waiting(self, customer: str) -> None:
        """Counts one waiting request of a customer less."""
        row = self._customers.get(customer)
        if row is not None and row.waiting:
            row.waiting -= 1
            self._balance = None

    def usage(self, customer: str, now_s: float) -> float:
        """Returns the decayed usage of a customer."""
        self._advance(now_s)
        row = self._customers.get(customer)
        return 0.0 if row is None else row.usage / self._unit

    def share(self, customer: str, now_s: float) -> float:
        """Returns the usage that a customer is entitled to now."""
        self._advance(now_s)
        level = self._current_balance().level / self._unit
        return self.weight(customer) * level

    def excess(self, customer: str, now_s: float) -> float:
        """Returns a customer's usage beyond its share; negative if below."""
        return self.usage(customer, now_s) - self.share(customer, now_s)

    def fill(self, customer: str) -> float:
        """Returns a customer's usage in parts of its share.

        It does not depend on the time, as all usages decay alike.

        Returns:
            1.0 for a customer that has just its share.
        """
        row = self._customers.get(customer)
        if row is None or not row.usage:
            return 0.0
        share = self.weight(customer) * self._current_balance().level
        return min(_MAX_FILL, row.usage / share) if share else 0.0

    def weight(self, customer: str) -> float:
        """Returns a customer's weight."""
        row = self._customers.get(customer)
        if row is not None and row.weight:
            return row.weight
        return self._current_balance().mean_weight

    def weight_part(self, customer: str, now_s: float) -> float:
        """Returns a customer's part of the weight of all active ones."""
        self._advance(now_s)
        total = self._current_balance().total_weight
        weight = self.weight(customer)
        if customer not in self._customers:
            total += weight
        return weight / total

    def _current_balance(self) -> _Balance:
        if self._balance is None:
            self._balance = _balance(list(self._customers.values()))
        return self._balance

    def _advance(self, now_s: float) -> None:
        if not self._customers:
            self._base_s = self._now_s = now_s
            self._unit = 1.0
            return
        if now_s <= self._now_s:
            return
        self._now_s = now_s
        half_lives = (now_s - self._base_s) / self._half_life_s
        if half_lives < _MAX_UNIT_HALF_LIVES:
            self._unit = 2.0**half_lives
            return
        for row in self._customers.values():
            row.usage *= 2.0**-half_lives
        self._base_s = now_s
        self._unit = 1.0
        self._balance = None

    def _touch(self, customer: str, now_s: float) -> _Customer:
        """Returns a customer's row, as the most recently used."""
        self._advance(now_s)
        row = self._customers.get(customer)
        if row is None:
            row = self._customers[customer] = _Customer()
            self._balance = None
        row.used_s = self._now_s
        self._customers.move_to_end(customer)
        self._drop_idle()
        return row

    def _drop_idle(self) -> None:
        kept_s = _KEPT_HALF_LIVES * self._half_life_s
        for _ in range(len(self._customers) - 1):
            customer, row = next(iter(self._customers.items()))
            is_idle = self._now_s - row.used_s > kept_s
            if not is_idle and len(self._customers) <= _MAX_CUSTOMERS:
                return
            if row.waiting:
                row.used_s = self._now_s
                self._customers.move_to_end(customer)
                continue
            del self._customers[customer]
            self._balance = None


def _balance(rows: list[_Customer]) -> _Balance:
    """Returns the max-min fair level of customers' usages.

    A customer that waits would take any share. One that does not wait wants
    what it uses; it counts only if that is more than its share.
    """
    rated = [row.weight for row in rows if row.weight]
    mean_weight = sum(rated) / len(rated) if rated else 1.0
    total = usage = weight = 0.0
    ratios: list[tuple[float, float]] = []
    for row in rows:
        own = row.weight or mean_weight
        total += own
        if row.waiting:
            usage += row.usage
            weight += own
        else:
            ratios.append((row.usage / own, own))
    if not weight:
        # Nobody waits, so nobody has more than its share.
        level = max(ratios, default=(0.0, 0.0))[0]
        return _Balance(level, mean_weight, total)
    level = usage / weight
    for ratio, own in sorted(
        (one for one in ratios if one[0] > level), reverse=True
    ):
        if ratio <= level:
            break
        usage += ratio * own
        weight += own
        level = usage / weight
    return _Balance(level, mean_weight, total)
