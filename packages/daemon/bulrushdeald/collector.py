"""Collects tokens from a page's other owners when an owned part is short."""

from bulrushdeald import asker
from bulrushdeald import credit
from bulrushdeald import owner
from bulrushdeald import sharebook
from bulrushdeald import shortage

_EPSILON = 1e-9
# With how many other parts a part evens its levels in one round: one round
# costs a message to each, and a part that stays full meanwhile loses what
# its rate gives.
BALANCE_WITH = 2


class Collector:
    """Borrows for owned parts; the borrowed tokens still count there.

    Each part has one collection at a time, so messages from it to another
    owner never overtake each other.
    """

    def __init__(self, book: sharebook.ShareBook, sender: asker.Sender) -> None:
        self._book = book
        self._sender = sender
        self._turn = 0

    def collect(self, owned: owner.OwnedPart) -> None:
        """Meets the shortages of a part as far as the others can."""
        with owned.exchange:
            try:
                self._collect(owned)
            finally:
                owned.collection_ended()

    def _collect(self, owned: owner.OwnedPart) -> None:
        missing = list(owned.shortages())
        if not missing:
            return
        first = missing[0].customer
        asked = 0
        for source, vm in _begin_at(
            owned.last_lender.get(first, ""), self._lenders(owned)
        ):
            if not missing:
                return
            if self._sender.is_silent(vm):
                continue
            names = {lacking.customer for lacking in missing}
            missing = self._collect_from(owned, source, vm, missing)
            asked += 1
            for name in names - {lacking.customer for lacking in missing}:
                owned.last_lender[name] = source.failure_domain
                owned.collected(name, asked)

    def _collect_from(
        self,
        owned: owner.OwnedPart,
        source: credit.Source,
        vm: str,
        missing: list[shortage.Shortage],
    ) -> list[shortage.Shortage]:
        drops = owned.drops
        wants = tuple(owned.want(source, lacking) for lacking in missing)
        asked = self._sender.send(vm, owned.page, source, wants, owned.source)
        still: list[shortage.Shortage] = []
        for want, lacking in zip(wants, missing, strict=True):
            grant = asked.grants.get(want.customer)
            count = owned.receive(source, want, grant, drops)
            left = lacking.missing - count
            if left > _EPSILON:
                still.append(lacking._replace(missing=left))
        return still

    def balance(self, owned: owner.OwnedPart) -> None:
        """Evens a part's levels with one other part's, by turns."""
        with owned.exchange:
            low = owned.low()
            if not low:
                return
            lenders = self._lenders(owned)
            if not lenders:
                return
            self._turn += 1
            turn = self._turn % len(lenders)
            for source, vm in (lenders + lenders)[turn : turn + BALANCE_WITH]:
                self._collect_from(owned, source, vm, list(low))

    def settle(self, owned: owner.OwnedPart) -> None:
        """Lowers debts, and gives back what is idle."""
        with owned.exchange:
            self._settle(owned)

    def _settle(self, owned: owner.OwnedPart) -> None:
        for source, names in owned.debts().items():
            part = self._book.part(owned.page, source.failure_domain)
            if part is None or part.epoch != source.epoch:
                owned.void(source.failure_domain, source.epoch + 1)
                owned.settled(source)
                continue
            wants = []
            for name in sorted(names):
                returned = owned.give_back(source, name)
                held = owned.owed(source, name)
                wants.append(credit.Want(name, held, returned=returned))
            asked = self._sender.send(
                part.vm, owned.page, source, tuple(wants), owned.source
            )
            if asked.is_answered:
                owned.settled(source)

    def _lenders(
        self, owned: owner.OwnedPart
    ) -> list[tuple[credit.Source, str]]:
        stored = self._book.get(owned.page)
        if stored is None:
            return []
        own = owned.part.failure_domain
        parts = [p for p in stored.page.parts if p.vm]
        # Each part begins with its neighbour, so that they do not all ask
        # the same one first.
        after = [p for p in parts if p.failure_domain > own]
        before = [p for p in parts if p.failure_domain < own]
        return [
            (credit.Source(p.failure_domain, p.epoch), p.vm)
            for p in after + before
        ]


def _begin_at(
    failure_domain: str, lenders: list[tuple[credit.Source, str]]
) -> list[tuple[credit.Source, str]]:
    # The one that had enough the last time; those before it were drained.
    for index, (source, _) in enumerate(lenders):
        if source.failure_domain == failure_domain:
            return lenders[index:] + lenders[:index]
    return lenders
