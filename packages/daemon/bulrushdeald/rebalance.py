"""Moves fractions of a page between failure domains to follow demand.

An owner that lent another part many more tokens than it received back moves
some of its fraction to that part. It lowers its own fraction first; one write
then changes both parts in the record.
"""

from collections.abc import Callable
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeald import limitrecords
from bulrushdeald import limitrecordstore
from bulrushdeald import ownedpart

# How often a part may move some of its fraction: with 1,024 parts that is at
# most 34 writes per second.
REBALANCE_INTERVAL_S = 30.0
# A smaller fraction of a page is not worth a write.
_MIN_MOVE = 0.02
_MAX_MOVE = 0.1
# Each part keeps this fraction of an even split, so that its failure domain can
# admit requests while it is cut off from the others.
_FLOOR_FRACTION = 0.5


class _Move(NamedTuple):
    """A fraction of a page to move, and the part that receives it."""

    receiver: limitrecords.Part
    fraction: float


def _floor_move(
    own: limitrecords.Part, page: limitrecords.Page
) -> _Move | None:
    """Returns a move to a part below its floor from one above an even split.

    A new failure domain starts with a fraction of zero and depends on loans:
    if it were cut off from the others, it would refuse all its callers. It
    therefore receives its floor at once, before any demand is measured.

    Returns:
        The move; `None` if none is needed or possible.
    """
    even = 1.0 / len(page.parts)
    poorest = min(page.parts, key=lambda part: part.fraction)
    lacking = _FLOOR_FRACTION * even - poorest.fraction
    moved = min(lacking, own.fraction - even)
    if not poorest.vm or moved < _MIN_MOVE * even:
        return None
    return _Move(poorest, moved)


class Rebalancer:
    """Moves fractions from the parts that this VM owns."""

    def __init__(
        self,
        book: limitrecordstore.ShareBook,
        clock: clock_lib.Clock,
        nonce: Callable[[], str],
    ) -> None:
        self._book = book
        self._clock = clock
        self._nonce = nonce
        self._due_s: dict[tuple[int, str], float] = {}

    def move(self, owned: ownedpart.OwnedPart) -> None:
        """Resolves a move whose write is unconfirmed, or begins one if due."""
        stored = self._book.get(owned.page)
        if stored is None or stored.page.part(owned.source[0]) != owned.part:
            return
        if owned.is_moving(stored.revision):
            # The write had no answer and may still take effect until the
            # record has a newer revision. Until then the fraction stays
            # lowered, and each pass rewrites the record with only a new
            # nonce, to raise its revision.
            self._book.put(
                owned.page,
                stored.page._replace(nonce=self._nonce()),
                stored.revision,
            )
            return
        owned.abandon_move()
        floor_move = _floor_move(owned.part, stored.page)
        if floor_move is not None:
            self._write(owned, stored, floor_move)
            return
        now_s = self._clock.monotonic_s()
        key = (owned.page, owned.part.failure_domain)
        if now_s < self._due_s.setdefault(key, now_s + REBALANCE_INTERVAL_S):
            return
        self._due_s[key] = now_s + REBALANCE_INTERVAL_S
        self._begin(owned, stored)

    def _begin(
        self, owned: ownedpart.OwnedPart, stored: limitrecordstore.StoredPage
    ) -> None:
        found = owned.greatest_outflow()
        receiver = stored.page.part(found.failure_domain)
        if receiver is None:
            return
        floor = _FLOOR_FRACTION / len(stored.page.parts)
        spare = owned.part.fraction - floor
        moved = min(found.fraction, _MAX_MOVE, spare)
        if moved < _MIN_MOVE:
            return
        self._write(owned, stored, _Move(receiver, moved))

    def _write(
        self,
        owned: ownedpart.OwnedPart,
        stored: limitrecordstore.StoredPage,
        move: "_Move",
    ) -> None:
        receiver, moved = move
        lowered = owned.part._replace(fraction=owned.part.fraction - moved)
        if not owned.lower_fraction(lowered.fraction, stored.revision):
            return
        raised = receiver._replace(fraction=receiver.fraction + moved)
        nonce = self._nonce()
        page = stored.page.with_part(lowered, nonce).with_part(raised, nonce)
        if self._book.put(owned.page, page, stored.revision) == "no":
            owned.abandon_move()
