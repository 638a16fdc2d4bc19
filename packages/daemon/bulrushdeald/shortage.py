"""Which tokens a part lacks, and when to request them from other parts."""

from typing import NamedTuple

from bulrushdeal import records

# How soon a holder asks again while this part collects from other parts.
ASK_AGAIN_S = 0.004
# The pause after a collection that brought too little, so that a customer
# over its rate does not cost a round of messages for each request. It doubles
# with each further collection that brings too little, since all parts are
# then collecting in the same way.
COLLECT_PAUSE_S = 0.1
_MAX_DOUBLINGS = 4
# A collection that asks more parts than this does not count as successful,
# even if it meets the shortage. Parts with a burst of less than two tokens
# always need to ask more; those with less than one token have no limit.
_MAX_ASKED = 2
_MAX_ASKED_SMALL_BURST = 6
_SMALL_BURST = 2.0
# A part with more room than this fraction of its capacity, after a request,
# takes tokens from other parts ahead of need.
_LOW_FRACTION = 0.25
# The least time between two rounds of balancing. It is short because a part
# that is full loses the tokens that its rate adds meanwhile.
BALANCE_S = 0.1
# The least time between two rounds for one customer, as a fraction of the
# time in which its bucket fills.
_BALANCE_FRACTION = 0.1
_EPSILON = 1e-9


class Shortage(NamedTuple):
    """The tokens that a part lacks for one customer.

    Attributes:
        customer: The customer.
        missing: The tokens that a waiting request lacks; 0 if none waits and
            the part only balances its level.
    """

    customer: str
    missing: float


class Shortages:
    """The shortages of one part, guarded by the part's lock."""

    def __init__(self) -> None:
        self._missing: dict[str, float] = {}
        self._collecting: frozenset[str] = frozenset()
        self._paused_until_s: dict[str, float] = {}
        self._doublings: dict[str, int] = {}
        self._low_customers: set[str] = set()
        self._next_balance_s: dict[str, float] = {}
        self._last_round_s = 0.0

    def add_missing(self, customer: str, missing: float, now_s: float) -> float:
        """Adds a shortage to the next collection.

        Args:
            customer: The customer.
            missing: The tokens that a waiting request lacks.
            now_s: The monotonic time.

        Returns:
            In how many seconds the holder is to ask again; 0 if nothing will
            be collected.
        """
        if customer in self._collecting:
            # The tokens may still arrive with the collection in progress.
            return ASK_AGAIN_S
        if now_s < self._paused_until_s.get(customer, 0.0):
            return 0.0
        before = self._missing.get(customer, 0.0)
        self._missing[customer] = max(before, missing)
        return ASK_AGAIN_S

    def begin_collection(self, now_s: float) -> tuple[Shortage, ...]:
        """Starts a collection and delays the next one.

        Returns:
            The shortages to meet.
        """
        found = []
        for name, missing in self._missing.items():
            doublings = self._doublings.get(name, 0)
            pause_s = COLLECT_PAUSE_S * 2**doublings
            self._paused_until_s[name] = now_s + pause_s
            self._doublings[name] = min(_MAX_DOUBLINGS, doublings + 1)
            found.append(Shortage(name, missing))
        self._collecting = frozenset(self._missing)
        self._missing.clear()
        return tuple(found)

    def end_collection(self) -> None:
        """Ends the collection in progress."""
        self._collecting = frozenset()

    def note_met(self, customer: str, asked: int, burst: float) -> None:
        """Records a met shortage, so that the next collection isn't delayed.

        Args:
            customer: The customer.
            asked: How many other parts were asked.
            burst: This part's share of the row's burst.
        """
        most = _MAX_ASKED_SMALL_BURST if burst < _SMALL_BURST else _MAX_ASKED
        if asked > most and burst >= 1:
            # All parts are nearly empty, and the tokens collected here are
            # now missing in another part.
            return
        self._paused_until_s.pop(customer, None)
        self._doublings.pop(customer, None)

    def note_room(
        self, row: records.Customer, room_fraction: float, now_s: float
    ) -> None:
        """Schedules balancing if a customer's bucket is low after a request.

        Args:
            row: The customer's row.
            room_fraction: The bucket's room divided by its capacity.
            now_s: The monotonic time.
        """
        if room_fraction <= _LOW_FRACTION:
            return
        if now_s < self._next_balance_s.get(row.customer, 0.0):
            return
        fill_s = row.burst / (row.rate_per_s or _EPSILON)
        due_s = now_s + _BALANCE_FRACTION * fill_s
        self._next_balance_s[row.customer] = due_s
        self._low_customers.add(row.customer)

    def take_low(self, now_s: float) -> tuple[Shortage, ...]:
        """Returns and clears the customers whose buckets are to be balanced.

        Returns:
            Shortages without missing tokens; empty if the last round was
            less than `BALANCE_S` ago.
        """
        if not self._low_customers or now_s - self._last_round_s < BALANCE_S:
            return ()
        self._last_round_s = now_s
        found = tuple(
            Shortage(name, 0.0) for name in sorted(self._low_customers)
        )
        self._low_customers.clear()
        return found
