"""Borrows tokens for an owned part from the page's other owners."""

from bulrushdeald import credit
from bulrushdeald import creditclient
from bulrushdeald import limitrecordstore
from bulrushdeald import ownedpart
from bulrushdeald import shortage

_EPSILON = 1e-9
# How many lenders a part asks in one round of balancing. Each costs a message,
# but a full part loses the tokens that accrue to it until it is asked.
BALANCE_LENDERS = 2


class Collector:
    """Borrows tokens for owned parts and repays them.

    Borrowed tokens that exceed the borrower's free room still count as lent
    at the lender. Each part exchanges messages with other owners from one
    thread at a time, so its messages to an owner never overtake each other.
    """

    def __init__(
        self, book: limitrecordstore.ShareBook, sender: creditclient.Sender
    ) -> None:
        self._book = book
        self._sender = sender
        self._balance_offset = 0

    def collect(self, owned: ownedpart.OwnedPart) -> None:
        """Borrows what a part's waiting requests lack, as far as possible."""
        with owned.exchange:
            try:
                self._collect(owned)
            finally:
                owned.end_collection()

    def _collect(self, owned: ownedpart.OwnedPart) -> None:
        unmet = list(owned.begin_collection())
        if not unmet:
            return
        first = unmet[0].customer
        asked = 0
        for source, vm in _rotate_to(
            owned.last_lender.get(first, ""), self._lenders(owned)
        ):
            if not unmet:
                return
            if self._sender.is_silent(vm):
                continue
            names = {item.customer for item in unmet}
            unmet = self._collect_from(owned, source, vm, unmet)
            asked += 1
            for name in names - {item.customer for item in unmet}:
                owned.last_lender[name] = source.failure_domain
                owned.note_shortage_met(name, asked)

    def _collect_from(
        self,
        owned: ownedpart.OwnedPart,
        source: credit.Source,
        vm: str,
        shortages: list[shortage.Shortage],
    ) -> list[shortage.Shortage]:
        """Asks one lender and returns the shortages that remain."""
        drop_count = owned.drop_count
        wants = tuple(owned.prepare_want(source, item) for item in shortages)
        reply = self._sender.send(vm, owned.page, source, wants, owned.source)
        unmet: list[shortage.Shortage] = []
        for want, item in zip(wants, shortages, strict=True):
            grant = reply.grants.get(want.customer)
            count = owned.receive(source, want, grant, drop_count)
            left = item.missing - count
            if left > _EPSILON:
                unmet.append(item._replace(missing=left))
        return unmet

    def balance(self, owned: ownedpart.OwnedPart) -> None:
        """Evens out a part's low buckets with the next lenders, in rotation."""
        with owned.exchange:
            low = owned.take_low_customers()
            if not low:
                return
            lenders = self._lenders(owned)
            if not lenders:
                return
            self._balance_offset += 1
            offset = self._balance_offset % len(lenders)
            for source, vm in (lenders + lenders)[
                offset : offset + BALANCE_LENDERS
            ]:
                self._collect_from(owned, source, vm, list(low))

    def settle(self, owned: ownedpart.OwnedPart) -> None:
        """Repays a part's debts and returns idle borrowed tokens."""
        with owned.exchange:
            self._settle(owned)

    def _settle(self, owned: ownedpart.OwnedPart) -> None:
        for source, names in owned.debts().items():
            part = self._book.part(owned.page, source.failure_domain)
            if part is None or part.epoch != source.epoch:
                owned.write_off(source.failure_domain, source.epoch + 1)
                owned.mark_settled(source)
                continue
            wants = []
            for name in sorted(names):
                returned = owned.give_back(source, name)
                held = owned.repay(source, name)
                wants.append(credit.Want(name, held, returned=returned))
            reply = self._sender.send(
                part.vm, owned.page, source, tuple(wants), owned.source
            )
            if reply.is_answered:
                owned.mark_settled(source)

    def _lenders(
        self, owned: ownedpart.OwnedPart
    ) -> list[tuple[credit.Source, str]]:
        stored = self._book.get(owned.page)
        if stored is None:
            return []
        own = owned.part.failure_domain
        parts = [p for p in stored.page.parts if p.vm]
        # Each part begins with the next one by name, so that the parts do not
        # all ask the same lender first.
        after = [p for p in parts if p.failure_domain > own]
        before = [p for p in parts if p.failure_domain < own]
        return [
            (credit.Source(p.failure_domain, p.epoch), p.vm)
            for p in after + before
        ]


def _rotate_to(
    failure_domain: str, lenders: list[tuple[credit.Source, str]]
) -> list[tuple[credit.Source, str]]:
    # Begins with the lender that met the last shortage: those asked before
    # it had too few tokens.
    for index, (source, _) in enumerate(lenders):
        if source.failure_domain == failure_domain:
            return lenders[index:] + lenders[:index]
    return lenders
