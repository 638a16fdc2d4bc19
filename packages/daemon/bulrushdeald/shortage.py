"""What a part lacks, and when to ask the other parts for it."""

from typing import NamedTuple

from bulrushdeal import records

# When a holder is to ask again while this part collects from others.
COLLECT_S = 0.004
# After a collection that brought too little, the next one waits, so that a
# customer over its rate does not cost a round of messages for each request;
# it doubles with each that follows, since all parts then do the same.
COLLECT_PAUSE_S = 0.1
_MAX_DOUBLINGS = 4
# Met by this many other parts, a collection was not vain; parts of less than
# two tokens always need more of them.
_FEW_ASKED = 2
_FEW_ASKED_SMALL = 6
_SMALL_BURST = 2.0
# Above this room, as a fraction of capacity, a part that is asked takes
# from the others ahead of need.
_LOW_FRACTION = 0.25
# How long a part waits between two such rounds, and for one customer as a
# fraction of the time in which its bucket fills: a part that is full loses
# what its rate gives meanwhile.
BALANCE_S = 0.1
_BALANCE_FRACTION = 0.1
_EPSILON = 1e-9


class Shortage(NamedTuple):
    """What a part lacks of one customer.

    Attributes:
        customer: The customer.
        missing: Tokens that a waiting request lacks.
    """

    customer: str
    missing: float


class Shortages:
    """The shortages of one part; the part's lock guards it."""

    def __init__(self) -> None:
        self._missing: dict[str, float] = {}
        self._collecting: frozenset[str] = frozenset()
        self._paused_until_s: dict[str, float] = {}
        self._vain: dict[str, int] = {}
        self._low: set[str] = set()
        self._balance_due_s: dict[str, float] = {}
        self._balanced_s = 0.0

    def plan(self, customer: str, missing: float, now_s: float) -> float:
        """Notes what a waiting request lacks.

        Returns:
            When it is to ask again; 0 if nothing will be collected.
        """
        if customer in self._collecting:
            # Not there yet, and not in vain either.
            return COLLECT_S
        if now_s < self._paused_until_s.get(customer, 0.0):
            return 0.0
        before = self._missing.get(customer, 0.0)
        self._missing[customer] = max(before, missing)
        return COLLECT_S

    def begin(self, now_s: float) -> tuple[Shortage, ...]:
        """Returns what to collect, and pauses the collection after it."""
        found = []
        for name, missing in self._missing.items():
            doublings = self._vain.get(name, 0)
            pause_s = COLLECT_PAUSE_S * 2**doublings
            self._paused_until_s[name] = now_s + pause_s
            self._vain[name] = min(_MAX_DOUBLINGS, doublings + 1)
            found.append(Shortage(name, missing))
        self._collecting = frozenset(self._missing)
        self._missing.clear()
        return tuple(found)

    def end(self) -> None:
        """Ends a collection."""
        self._collecting = frozenset()

    def met(self, customer: str, asked: int, burst: float) -> None:
        """Notes that a shortage was met, so the next is met at once too.

        Args:
            customer: The customer.
            asked: How many other parts it took.
            burst: This part's burst.
        """
        few = _FEW_ASKED_SMALL if burst < _SMALL_BURST else _FEW_ASKED
        if asked > few and burst >= 1:
            # All parts are nearly empty: this one took what the next would
            # have given out itself.
            return
        self._paused_until_s.pop(customer, None)
        self._vain.pop(customer, None)

    def note_room(
        self, row: records.Customer, room_fraction: float, now_s: float
    ) -> None:
        """Notes how empty a customer's bucket is after it was asked for.

        Args:
            row: The customer's row.
            room_fraction: Its room over its capacity.
            now_s: The time.
        """
        if room_fraction <= _LOW_FRACTION:
            return
        if now_s < self._balance_due_s.get(row.customer, 0.0):
            return
        fill_s = row.burst / (row.rate_per_s or _EPSILON)
        due_s = now_s + _BALANCE_FRACTION * fill_s
        self._balance_due_s[row.customer] = due_s
        self._low.add(row.customer)

    def low(self, now_s: float) -> tuple[Shortage, ...]:
        """Returns customers asked for lately whose bucket is low."""
        if not self._low or now_s - self._balanced_s < BALANCE_S:
            return ()
        self._balanced_s = now_s
        found = tuple(Shortage(name, 0.0) for name in sorted(self._low))
        self._low.clear()
        return found
