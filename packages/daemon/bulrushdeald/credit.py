"""Messages between holders and owners of credit, and a holder's wallet."""

import math
from typing import NamedTuple

# A sum in floating point may miss a whole token by its rounding.
_EPSILON = 1e-9


def compact(count: float) -> float:
    """Returns a whole number as such: one byte on the wire, not nine."""
    return int(count) if count == int(count) else count


class Want(NamedTuple):
    """What a holder wants of one customer.

    Attributes:
        customer: The customer.
        held: What the holder has in hand of this part and epoch.
        need: Less than this is of no use.
        want: The most to grant.
        returned: Given up unspent since the last message.
        reserved: Room that an owner has kept in its own part: as much of
            the grant does not count as held.
    """

    customer: str
    held: float
    need: float = 0
    want: float = 0
    returned: float = 0
    reserved: float = 0


class CreditAsk(NamedTuple):
    """Asks the owner of a part for credit, and tells what is held.

    Attributes:
        page: The customers' page.
        failure_domain: Whose part.
        epoch: Of the owner that the holder means.
        incarnation: Which run of the holder's process.
        seq: Grows with each message of this holder about this part.
        wants: One for each customer.
        for_domain: Set if the holder lends on to its own part's holders.
        for_epoch: The epoch of that part.
    """

    page: int
    failure_domain: str
    epoch: int
    incarnation: str
    seq: int
    wants: tuple[Want, ...]
    for_domain: str = ""
    for_epoch: int = 0


class Grant(NamedTuple):
    """What the owner gives of one customer.

    Attributes:
        granted: Tokens; 0 if what was needed is not there.
        burst: The row's burst as the owner knows it.
        again_s: Above 0 if the owner now collects from other parts: when
            to ask again.
        wait_s: When the tokens will be there, if nobody else takes them.
        tight: Whether the owner soon needs to hear what was spent.
    """

    granted: float
    burst: float
    again_s: float = 0
    wait_s: float = 0
    tight: bool = False


class CreditGrants(NamedTuple):
    """The owner's answer.

    Attributes:
        is_owner: False if the part, in this epoch, is not this VM's.
        grants: One for each want.
    """

    is_owner: bool
    grants: tuple[Grant, ...] = ()


class CreditDrop(NamedTuple):
    """Asks a VM to drop all credit of a page.

    Attributes:
        page: The page.
        failure_domain: Whose part was taken over.
        epoch: The new owner's; what is older has to go.
    """

    page: int
    failure_domain: str
    epoch: int


class CreditDropped(NamedTuple):
    """Tells whether nothing of older epochs is left."""

    is_clean: bool


class Source(NamedTuple):
    """Where credit came from."""

    failure_domain: str
    epoch: int


class Wallet:
    """One customer's credit in this VM's hand, by source."""

    def __init__(self, burst: float) -> None:
        # The row's burst when what is in hand was last scaled to it.
        self.burst = burst
        self._held: dict[Source, float] = {}
        self._declared: dict[Source, float] = {}
        self.touched_s = 0.0
        self.is_tight = False

    def held(self, source: Source) -> float:
        """Returns what is in hand of one source."""
        return self._held.get(source, 0.0)

    def total(self) -> float:
        """Returns what is in hand of all sources."""
        return sum(self._held.values())

    def sources(self) -> tuple[Source, ...]:
        """Returns the sources that have or count something in hand."""
        return tuple({**self._held, **self._declared})

    def add(self, source: Source, count: float) -> None:
        """Adds what an owner granted."""
        self._held[source] = self.held(source) + count
        self._declared[source] = self._declared.get(source, 0.0) + count

    def spend(self, count: float, now_s: float) -> bool:
        """Takes `count` tokens, or none."""
        if self.total() + _EPSILON < count:
            return False
        self.touched_s = now_s
        left = count
        for source, held in list(self._held.items()):
            used = min(held, left)
            self._set(source, held - used)
            left -= used
        return True

    def give_up(self, source: Source) -> float:
        """Empties one source; returns what was in hand."""
        return self._held.pop(source, 0.0)

    def drop_all(self) -> None:
        """Empties every source."""
        self._held.clear()

    def scale(self, factor: float) -> None:
        """Drops the part of each source that an edited row took away."""
        for source, held in list(self._held.items()):
            self._set(source, held * factor)

    def declare(self, source: Source) -> float:
        """Returns what to tell the owner, and notes it as told."""
        held = self.held(source)
        if held > 0:
            self._declared[source] = held
        else:
            self._declared.pop(source, None)
        return held

    def distrust(self, source: Source) -> None:
        """Notes that the owner may not have heard what was told last."""
        self._declared[source] = math.inf

    def is_stale(self, source: Source) -> bool:
        """Tells whether the owner believes that more is in hand."""
        declared = self._declared.get(source, 0.0)
        return declared > self.held(source) + _EPSILON

    def forget(self, source: Source) -> None:
        """Forgets a source whose owner is gone."""
        self._held.pop(source, None)
        self._declared.pop(source, None)

    def _set(self, source: Source, held: float) -> None:
        if held > 0:
            self._held[source] = held
        else:
            self._held.pop(source, None)
