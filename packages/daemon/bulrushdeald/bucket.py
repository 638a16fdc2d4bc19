"""The arithmetic of one customer's tokens in one part: no threads, no I/O.

What holds at all times, for the whole fleet: the sum over the parts of
`level` and of what holders have in hand is at most the row's burst, and it
grows only by the parts' accrual, which is at most the row's rate. So over
any interval at most burst + rate * interval is admitted. For each part:

    level + outstanding <= capacity + borrowed

where `outstanding` is at least what holders have in hand of this part, and
`borrowed` is at most what the lenders count as outstanding at this part.
"""

from collections.abc import Hashable
import math
from typing import NamedTuple

from bulrushdeald import shares

# Clocks may run fast by some hundred parts in a million, and intervals are
# measured by true time; accruing slower by more than that keeps the bound.
CLOCK_DRIFT = 0.0005
# Rounding of sums in floating point; far less than any token.
_EPSILON = 1e-9


class Terms(NamedTuple):
    """What one part may give of one customer's row.

    Attributes:
        rate_per_s: The part's rate.
        burst: The part's burst.
        takeovers: See `shares.Part`.
    """

    rate_per_s: float
    burst: float
    takeovers: int = 0


class Ledger:
    """A token bucket whose tokens may be in other hands for a while."""

    def __init__(self, terms: Terms, now_s: float) -> None:
        self.terms = terms
        self.capacity = shares.capacity(terms.burst, terms.takeovers)
        # An earlier owner may have granted everything just before; `fill`
        # is for what certainly nobody has granted.
        self.level = 0.0
        self.outstanding: dict[Hashable, float] = {}
        self.debts: dict[Hashable, float] = {}
        self.reserved = 0.0
        self._accrued_s = now_s

    @property
    def borrowed(self) -> float:
        """What came from other parts and still counts there."""
        return sum(self.debts.values())

    @property
    def lent(self) -> float:
        """What holders may have in hand."""
        return sum(self.outstanding.values())

    @property
    def room(self) -> float:
        """How much the level may still rise."""
        most = self.capacity + self.borrowed - self.reserved
        return most - self.level - self.lent

    @property
    def _lendable(self) -> float:
        # Bounded, so that the next owner knows what it may not see: what
        # is over its own bound counts as outstanding at the lenders.
        return shares.lendable(self.capacity) + self.borrowed - self.lent

    def accrue(self, now_s: float) -> None:
        """Adds what the rate gave since the last call."""
        elapsed_s = max(0.0, now_s - self._accrued_s)
        self._accrued_s = now_s
        gained = elapsed_s * self.terms.rate_per_s * (1 - CLOCK_DRIFT)
        self.level += max(0.0, min(gained, self.room))

    def fill(self, count: float) -> None:
        """Adds tokens that a new row begins with, as far as there is room."""
        self.level += max(0.0, min(count, self.room))

    def change(self, terms: Terms, now_s: float) -> None:
        """Puts other terms in force; tokens over them are dropped."""
        self.accrue(now_s)
        self.terms = terms
        self.capacity = shares.capacity(terms.burst, terms.takeovers)
        self._clamp()

    def _clamp(self) -> None:
        over = -self.room
        if over > 0:
            self.level = max(0.0, self.level - over)

    def report(
        self, holder: Hashable, held: float, returned: float = 0.0
    ) -> None:
        """Notes what a holder has in hand, by its newest message.

        Args:
            holder: Who.
            held: What it has in hand.
            returned: What it gave up unspent before it sent the message.
        """
        if held > _EPSILON:
            self.outstanding[holder] = held
        else:
            self.outstanding.pop(holder, None)
        self._clamp()
        self.level += max(0.0, min(returned, self.room))

    def grantable(self) -> float:
        """Returns the most that may be granted now."""
        return max(0.0, min(self.level, self._lendable))

    def grant(self, holder: Hashable, need: float, want: float) -> float:
        """Moves tokens into a holder's hand.

        Returns:
            From `need` to `want` tokens, or 0 if `need` is not there.
        """
        granted = min(want, self.grantable())
        if granted + _EPSILON < need or granted <= 0:
            return 0.0
        self.level -= granted
        self.outstanding[holder] = self.outstanding.get(holder, 0.0) + granted
        return granted

    def transfer(self, owner: Hashable, want: float, reserved: float) -> float:
        """Moves tokens to the owner of another part.

        Args:
            owner: Who.
            want: The most to move.
            reserved: How much the other part has kept room for: that goes
                over for good, the rest counts as outstanding here.

        Returns:
            The tokens moved.
        """
        lendable = max(0.0, self._lendable)
        moved = max(0.0, min(want, self.level, reserved + lendable))
        self.level -= moved
        loan = moved - reserved
        if loan > _EPSILON:
            self.outstanding[owner] = self.outstanding.get(owner, 0.0) + loan
        return moved

    def reserve(self) -> float:
        """Keeps all room for tokens under way; returns how much."""
        self.reserved = 0.0
        self.reserved = max(0.0, self.room)
        return self.reserved

    def receive(self, lender: Hashable, count: float, reserved: float) -> None:
        """Adds tokens of another part, in the room kept for them.

        What goes over the room counts as outstanding at the lender. An
        answer that never comes leaves the tokens unused.
        """
        self.reserved = 0.0
        self.level += count
        loan = count - reserved
        if loan > _EPSILON:
            self.debts[lender] = self.debts.get(lender, 0.0) + loan
        self._clamp()

    @property
    def can_repay(self) -> bool:
        """Whether a debt can be lowered now."""
        return bool(self.debts) and min(self.room, self._lendable) > _EPSILON

    def repay(self, lender: Hashable) -> float:
        """Lowers a debt by the room there is.

        Returns:
            What is still owed and has to be declared to the lender.
        """
        owed = self.debts.get(lender, 0.0)
        spare = max(0.0, min(self.room, self._lendable))
        left = max(0.0, owed - spare)
        self._set_debt(lender, left)
        return left

    def void(self, lender: Hashable) -> float:
        """Gives up tokens of a lender that is gone.

        Returns:
            What cannot be given up yet, as it may be in holders' hands.
        """
        owed = self.debts.get(lender, 0.0)
        self.level -= min(self.level, max(0.0, owed - max(0.0, self.room)))
        return self.repay(lender)

    def give_back(self, lender: Hashable) -> float:
        """Takes unspent borrowed tokens off, to be returned to a lender."""
        unspent = min(self.level, self.debts.get(lender, 0.0))
        self.level -= unspent
        return unspent

    def scale_debts(self, factor: float) -> None:
        """Drops a part of what was borrowed, as each holder does."""
        for lender in list(self.debts):
            self._set_debt(lender, self.debts[lender] * factor)
        self._clamp()

    def _set_debt(self, lender: Hashable, owed: float) -> None:
        if owed > _EPSILON:
            self.debts[lender] = owed
        else:
            self.debts.pop(lender, None)


class Demand:
    """How many tokens a second were asked for lately."""

    _WINDOW_S = 1.0

    def __init__(self) -> None:
        self._sum = 0.0
        self._at_s = 0.0

    def note(self, count: float, now_s: float) -> None:
        """Adds what was asked for now."""
        self._sum = self.rate_per_s(now_s) * self._WINDOW_S + count
        self._at_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Returns the recent rate, which fades within some seconds."""
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._sum * math.exp(-elapsed_s / self._WINDOW_S)
