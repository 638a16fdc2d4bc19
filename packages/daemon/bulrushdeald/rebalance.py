"""Moves fractions of a page between failure domains, after demand.

An owner that gave another part many more tokens than it got back moves a
piece of its fraction there. It lowers itself first; one write then changes
both parts in the record.
"""

from collections.abc import Callable
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeald import owner
from bulrushdeald import sharebook
from bulrushdeald import shares

# How often one part may move: at 1,024 parts at most 34 writes a second.
REBALANCE_S = 30.0
# Less than this of a page is not worth a write.
_LEAST_MOVE = 0.02
_GREATEST_MOVE = 0.1
# Each part keeps this much of an even split, to serve from when cut off.
_FLOOR = 0.5


class _Move(NamedTuple):
    """How much of a page goes to which part."""

    receiver: shares.Part
    fraction: float


def _needy(own: shares.Part, page: shares.Page) -> _Move | None:
    """Returns what a part above an even split gives one below its floor.

    The failure: a failure domain that is new begins with nothing and lives
    on loans; cut off from the others it would refuse all its callers. So it
    gets its floor at once, without waiting for demand to show.
    """
    even = 1.0 / len(page.parts)
    poorest = min(page.parts, key=lambda part: part.fraction)
    lacking = _FLOOR * even - poorest.fraction
    moved = min(lacking, own.fraction - even)
    if not poorest.vm or moved < _LEAST_MOVE * even:
        return None
    return _Move(poorest, moved)


class Rebalancer:
    """Moves fractions from this VM's parts."""

    def __init__(
        self,
        book: sharebook.ShareBook,
        clock: clock_lib.Clock,
        nonce: Callable[[], str],
    ) -> None:
        self._book = book
        self._clock = clock
        self._nonce = nonce
        self._due_s: dict[tuple[int, str], float] = {}

    def move(self, owned: owner.OwnedPart) -> None:
        """Settles a move under way, or begins one that is due."""
        stored = self._book.get(owned.page)
        if stored is None or stored.page.part(owned.source[0]) != owned.part:
            return
        if owned.is_moving(stored.revision):
            # The write had no answer and may still arrive. Only a record
            # of a newer revision shows that it can take no effect: until
            # then the fraction stays low, and the same is tried again.
            self._book.put(
                owned.page,
                stored.page._replace(nonce=self._nonce()),
                stored.revision,
            )
            return
        owned.end_move()
        needy = _needy(owned.part, stored.page)
        if needy is not None:
            self._write(owned, stored, needy)
            return
        now_s = self._clock.monotonic_s()
        key = (owned.page, owned.part.failure_domain)
        if now_s < self._due_s.setdefault(key, now_s + REBALANCE_S):
            return
        self._due_s[key] = now_s + REBALANCE_S
        self._begin(owned, stored)

    def _begin(self, owned: owner.OwnedPart, stored: sharebook.Stored) -> None:
        found = owned.greatest_outflow()
        receiver = stored.page.part(found.failure_domain)
        if receiver is None:
            return
        floor = _FLOOR / len(stored.page.parts)
        spare = owned.part.fraction - floor
        moved = min(found.fraction, _GREATEST_MOVE, spare)
        if moved < _LEAST_MOVE:
            return
        self._write(owned, stored, _Move(receiver, moved))

    def _write(
        self, owned: owner.OwnedPart, stored: sharebook.Stored, move: "_Move"
    ) -> None:
        receiver, moved = move
        lowered = owned.part._replace(fraction=owned.part.fraction - moved)
        if not owned.lower_fraction(lowered.fraction, stored.revision):
            return
        raised = receiver._replace(fraction=receiver.fraction + moved)
        nonce = self._nonce()
        page = stored.page.with_part(lowered, nonce).with_part(raised, nonce)
        if self._book.put(owned.page, page, stored.revision) == "no":
            owned.end_move()
