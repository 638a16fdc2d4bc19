"""The accounting of one customer's tokens in one part, without I/O or locks.

Invariant over the whole fleet: the levels of all parts plus the credit of
all holders are at most the row's burst. That sum grows only as the parts
accrue tokens, together at most at the row's rate. So at most
burst + rate * interval tokens are admitted over any interval.

Invariant of each part:

    level + outstanding <= capacity + borrowed

where `outstanding` is at least the credit that holders have of this part,
and `borrowed` is at most what the lenders count as outstanding at this part.
"""

from collections.abc import Hashable
import math
from typing import NamedTuple

from bulrushdeald import limitrecords

# A clock may run fast by a few hundred parts per million, and the bound is
# over true time. Accruing more slowly by a larger factor keeps the bound.
CLOCK_DRIFT = 0.0005
# Absorbs the rounding of floating-point sums; far below one token.
_EPSILON = 1e-9


class Terms(NamedTuple):
    """What one part may grant of one customer's row.

    Attributes:
        rate_per_s: The part's share of the row's rate, in tokens/s.
        burst: The part's share of the row's burst, in tokens.
        takeovers: See `limitrecords.Part`.
    """

    rate_per_s: float
    burst: float
    takeovers: int = 0


class Ledger:
    """A token bucket that lends tokens to holders and borrows from lenders.

    Attributes:
        terms: The terms in force.
        capacity: The most tokens that the part may have, unless it borrows.
        level: The tokens available here.
        outstanding: By holder, the credit that it may have.
        debts: By lender, the tokens that it counts as lent to this part.
        reserved: Room kept for tokens that another part was asked for.
    """

    def __init__(self, terms: Terms, now_s: float) -> None:
        self.terms = terms
        self.capacity = limitrecords.remaining_capacity(
            terms.burst, terms.takeovers
        )
        # Starts empty, as an earlier owner may have granted the whole burst
        # just before. `fill` adds tokens that certainly nobody has granted.
        self.level = 0.0
        self.outstanding: dict[Hashable, float] = {}
        self.debts: dict[Hashable, float] = {}
        self.reserved = 0.0
        self._accrued_s = now_s

    @property
    def borrowed(self) -> float:
        """Borrowed tokens that the lenders still count as outstanding."""
        return sum(self.debts.values())

    @property
    def lent(self) -> float:
        """The credit that all holders together may have."""
        return sum(self.outstanding.values())

    @property
    def room(self) -> float:
        """How much the level may rise; below 0 if it is too high."""
        most = self.capacity + self.borrowed - self.reserved
        return most - self.level - self.lent

    @property
    def _lendable(self) -> float:
        # Bounded so that the next owner of the part can allow for credit it
        # has no record of. Borrowed tokens may exceed the bound, since the
        # lenders count them as outstanding.
        return limitrecords.lendable(self.capacity) + self.borrowed - self.lent

    def accrue(self, now_s: float) -> None:
        """Adds the tokens accrued since the last call, up to the capacity."""
        elapsed_s = max(0.0, now_s - self._accrued_s)
        self._accrued_s = now_s
        gained = elapsed_s * self.terms.rate_per_s * (1 - CLOCK_DRIFT)
        self.level += max(0.0, min(gained, self.room))

    def fill(self, count: float) -> None:
        """Adds the tokens that a new row starts with, as room permits."""
        self.level += max(0.0, min(count, self.room))

    def change(self, terms: Terms, now_s: float) -> None:
        """Applies new terms and drops available tokens beyond them."""
        self.accrue(now_s)
        self.terms = terms
        self.capacity = limitrecords.remaining_capacity(
            terms.burst, terms.takeovers
        )
        self._drop_excess()

    def _drop_excess(self) -> None:
        over = -self.room
        if over > 0:
            self.level = max(0.0, self.level - over)

    def report(
        self, holder: Hashable, held: float, returned: float = 0.0
    ) -> None:
        """Records the credit that a holder's newest message reports.

        Args:
            holder: The holder.
            held: The credit that it has.
            returned: Credit that it gave up unspent before it sent the
                message.
        """
        if held > _EPSILON:
            self.outstanding[holder] = held
        else:
            self.outstanding.pop(holder, None)
        self._drop_excess()
        self.level += max(0.0, min(returned, self.room))

    def grantable(self) -> float:
        """Returns the most tokens that may be granted now."""
        return max(0.0, min(self.level, self._lendable))

    def grant(self, holder: Hashable, need: float, want: float) -> float:
        """Grants tokens to a holder.

        Returns:
            Between `need` and `want` tokens; 0 if fewer than `need` may be
            granted.
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
            owner: The owner of the other part.
            want: The most to move.
            reserved: The room that the other part has reserved. That many
                tokens are moved for good; the rest is a loan that counts as
                outstanding here.

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
        """Reserves all room for requested tokens; returns how much."""
        self.reserved = 0.0
        self.reserved = max(0.0, self.room)
        return self.reserved

    def receive(self, lender: Hashable, count: float, reserved: float) -> None:
        """Adds tokens of another part and ends the reservation for them.

        Tokens beyond the reserved room are a debt, which the lender counts
        as outstanding. If an answer is lost, its tokens stay unused.

        Args:
            lender: The other part.
            count: The tokens received; 0 if there was no answer.
            reserved: The room that was reserved for them.
        """
        self.reserved = 0.0
        self.level += count
        loan = count - reserved
        if loan > _EPSILON:
            self.debts[lender] = self.debts.get(lender, 0.0) + loan
        self._drop_excess()

    @property
    def can_repay(self) -> bool:
        """Whether `repay` can lower a debt now."""
        return bool(self.debts) and min(self.room, self._lendable) > _EPSILON

    def repay(self, lender: Hashable) -> float:
        """Lowers a debt as far as room and the bound on loans permit.

        Returns:
            The tokens still owed, which must be reported to the lender.
        """
        owed = self.debts.get(lender, 0.0)
        spare = max(0.0, min(self.room, self._lendable))
        left = max(0.0, owed - spare)
        self._set_debt(lender, left)
        return left

    def write_off(self, lender: Hashable) -> float:
        """Writes off tokens borrowed from a lender that is gone.

        Returns:
            The tokens that can't be written off yet, as holders may have
            them.
        """
        owed = self.debts.get(lender, 0.0)
        self.level -= min(self.level, max(0.0, owed - max(0.0, self.room)))
        return self.repay(lender)

    def give_back(self, lender: Hashable) -> float:
        """Takes out unspent borrowed tokens to be returned to a lender."""
        unspent = min(self.level, self.debts.get(lender, 0.0))
        self.level -= unspent
        return unspent

    def scale_debts(self, factor: float) -> None:
        """Scales all debts to a lowered burst, as holders scale credit."""
        for lender in list(self.debts):
            self._set_debt(lender, self.debts[lender] * factor)
        self._drop_excess()

    def _set_debt(self, lender: Hashable, owed: float) -> None:
        if owed > _EPSILON:
            self.debts[lender] = owed
        else:
            self.debts.pop(lender, None)


class Demand:
    """An exponentially decaying estimate of tokens requested per second."""

    _WINDOW_S = 1.0

    def __init__(self) -> None:
        self._sum = 0.0
        self._at_s = 0.0

    def note(self, count: float, now_s: float) -> None:
        """Adds `count` tokens requested at `now_s`."""
        self._sum = self.rate_per_s(now_s) * self._WINDOW_S + count
        self._at_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Returns the recent rate, which decays within a few seconds."""
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._sum * math.exp(-elapsed_s / self._WINDOW_S)
