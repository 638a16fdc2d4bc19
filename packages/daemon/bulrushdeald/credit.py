"""Messages between holders and owners of credit, and a holder's wallet.

Credit is tokens of a customer's rate limit that the owner of a part has
granted to a holder: a VM, or the owner of another part.
"""

import math
from typing import NamedTuple

# Floating-point rounding may leave a sum just under a whole token.
_EPSILON = 1e-9


def int_if_whole(count: float) -> float:
    """Returns whole numbers as `int`: one byte on the wire, not nine."""
    return int(count) if count == int(count) else count


class Want(NamedTuple):
    """What a holder reports and requests for one customer, in tokens.

    Attributes:
        customer: The customer.
        held: The credit of this part and epoch that the holder has.
        need: The least grant that is useful.
        want: The most to grant.
        returned: Credit given back unspent since the last message.
        reserved: If the holder is an owner, the room that it has reserved in
            its own part. That much of the grant does not count as held.
    """

    customer: str
    held: float
    need: float = 0
    want: float = 0
    returned: float = 0
    reserved: float = 0


class CreditAsk(NamedTuple):
    """Asks the owner of a part for credit, and reports what is held.

    Attributes:
        page: The customers' page.
        failure_domain: The failure domain of the part.
        epoch: The owner's epoch as the holder has read it.
        incarnation: Identifies the run of the holder's process.
        seq: Increases with each message of this holder about this part.
        wants: One for each customer.
        for_domain: The failure domain of the holder's own part, if it lends
            the credit on to that part's holders; else empty.
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
    """What the owner grants for one customer.

    Attributes:
        granted: Tokens; 0 if fewer than `need` are available.
        burst: The burst in the owner's copy of the row.
        retry_after_s: In how many seconds to ask again, if the owner is
            collecting tokens from other parts; else 0.
        wait_s: In how many seconds the tokens will be available, if no other
            holder takes them.
        needs_prompt_report: Whether the owner needs a prompt report of what
            was spent.
    """

    granted: float
    burst: float
    retry_after_s: float = 0
    wait_s: float = 0
    needs_prompt_report: bool = False


class CreditGrants(NamedTuple):
    """The owner's answer to a `CreditAsk`.

    Attributes:
        is_owner: Whether this VM accepted the message as the part's owner in
            this epoch. If not, the message had no effect.
        grants: One for each want, in the same order.
    """

    is_owner: bool
    grants: tuple[Grant, ...] = ()


class CreditDrop(NamedTuple):
    """Asks a VM to drop all credit of a page.

    Attributes:
        page: The page.
        failure_domain: The failure domain whose part was taken over.
        epoch: The new owner's epoch; credit of older epochs is void.
    """

    page: int
    failure_domain: str
    epoch: int


class CreditDropped(NamedTuple):
    """The answer to a `CreditDrop`.

    Attributes:
        is_clean: Whether the VM has no credit of older epochs left.
    """

    is_clean: bool


class Source(NamedTuple):
    """Identifies the part and epoch that granted credit."""

    failure_domain: str
    epoch: int


class Wallet:
    """One customer's credit on this VM, by source.

    Attributes:
        burst: The row's burst to which the credit was last scaled.
        touched_s: When credit was last added or spent, in monotonic time.
        needs_prompt_report: Whether an owner asked for a prompt report.
    """

    def __init__(self, burst: float) -> None:
        self.burst = burst
        self._held: dict[Source, float] = {}
        # What each owner may count as held here; infinite if unknown.
        self._reported: dict[Source, float] = {}
        self.touched_s = 0.0
        self.needs_prompt_report = False

    def held(self, source: Source) -> float:
        """Returns the credit of one source."""
        return self._held.get(source, 0.0)

    def total(self) -> float:
        """Returns the credit of all sources together."""
        return sum(self._held.values())

    def sources(self) -> tuple[Source, ...]:
        """Returns sources whose credit is held here or counted as held."""
        return tuple({**self._held, **self._reported})

    def add(self, source: Source, count: float) -> None:
        """Adds what an owner granted."""
        self._held[source] = self.held(source) + count
        self._reported[source] = self._reported.get(source, 0.0) + count

    def spend(self, count: float, now_s: float) -> bool:
        """Spends `count` tokens, or none; returns whether they were spent."""
        if self.total() + _EPSILON < count:
            return False
        self.touched_s = now_s
        left = count
        for source, held in list(self._held.items()):
            used = min(held, left)
            self._set(source, held - used)
            left -= used
        return True

    def empty_source(self, source: Source) -> float:
        """Drops the credit of one source; returns how much it was."""
        return self._held.pop(source, 0.0)

    def drop_all(self) -> None:
        """Drops the credit of every source."""
        self._held.clear()

    def scale(self, factor: float) -> None:
        """Scales the credit of each source to an edited row's burst."""
        for source, held in list(self._held.items()):
            self._set(source, held * factor)

    def take_report(self, source: Source) -> float:
        """Returns the credit to report to the owner, recorded as reported."""
        held = self.held(source)
        if held > 0:
            self._reported[source] = held
        else:
            self._reported.pop(source, None)
        return held

    def mark_report_unknown(self, source: Source) -> None:
        """Marks the owner's count of this wallet's credit as unknown."""
        self._reported[source] = math.inf

    def needs_report(self, source: Source) -> bool:
        """Tells whether the owner may count more credit than is held."""
        reported = self._reported.get(source, 0.0)
        return reported > self.held(source) + _EPSILON

    def forget(self, source: Source) -> None:
        """Forgets a source whose owner is gone."""
        self._held.pop(source, None)
        self._reported.pop(source, None)

    def _set(self, source: Source, held: float) -> None:
        if held > 0:
            self._held[source] = held
        else:
            self._held.pop(source, None)
