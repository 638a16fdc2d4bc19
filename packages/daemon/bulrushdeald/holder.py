"""This VM's credit in hand, and how it gets more."""

from collections.abc import Callable
import threading
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import asker
from bulrushdeald import bucket
from bulrushdeald import credit
from bulrushdeald import owner
from bulrushdeald import sharebook
from bulrushdeald import shares

# Credit that nobody used for this long goes back.
IDLE_S = 1.0


class Answer(NamedTuple):
    """What asking one owner brought for one customer.

    Attributes:
        is_answered: Whether the owner answered as the owner.
        grant: What it gave; `None` if it did not answer.
    """

    is_answered: bool
    grant: credit.Grant | None


class Holder:
    """The wallets of one VM.

    Its lock guards all wallets; no call to a peer is made under it.
    """

    def __init__(
        self,
        book: sharebook.ShareBook,
        sender: asker.Sender,
        clock: clock_lib.Clock,
        row_of: Callable[[str], records.Customer | None],
    ) -> None:
        self._book = book
        self._sender = sender
        self._clock = clock
        self._row_of = row_of
        self._lock = threading.Lock()
        self._wallets: dict[str, credit.Wallet] = {}
        self._by_page: dict[int, dict[str, credit.Wallet]] = {}
        self._demands: dict[str, bucket.Demand] = {}
        self._turnstiles: dict[tuple[int, str], asker.Turnstile] = {}
        # Counts the drops of a page: an answer to what was asked before a
        # drop brings credit of an owner that is gone, and is void.
        self._drops: dict[int, int] = {}
        self._is_closed = False
        # Pages whose owner may count credit of an earlier process here.
        self._unintroduced = set(range(shares.PAGES))

    def introduce(self, failure_domain: str) -> None:
        """Tells the owners of a failure domain's parts that this VM is new.

        The failure: a VM stops, the message that returns its credit is lost,
        and its next process has no customer of that page for long. It shows
        as a customer that never gets its whole burst, since the owner counts
        the credit as out. Any message of the new process ends that.
        """
        for page in sorted(self._unintroduced):
            part = self._book.part(page, failure_domain)
            if part is None or not part.vm:
                continue
            source = credit.Source(failure_domain, part.epoch)
            turnstile = self._turnstile(page, failure_domain)
            joined = turnstile.enter()
            asked = asker.Asked(False, {})
            try:
                asked = self._sender.send(part.vm, page, source, ())
            finally:
                # Its wants, if any, were not sent: they are asked again.
                turnstile.finish(joined, asked._replace(grants={}))
            if asked.is_answered:
                self._unintroduced.discard(page)

    def note_demand(self, customer: str, count: float) -> None:
        """Counts a request for the credit to get ahead."""
        with self._lock:
            demand = self._demands.setdefault(customer, bucket.Demand())
            demand.note(count, self._clock.monotonic_s())

    def spend(self, customer: str, count: float) -> bool:
        """Takes `count` tokens from what is in hand, or none."""
        with self._lock:
            wallet = self._wallets.get(customer)
            if wallet is None or self._is_closed:
                return False
            return wallet.spend(count, self._clock.monotonic_s())

    def in_hand(self, customer: str) -> float:
        """Returns what is in hand."""
        with self._lock:
            wallet = self._wallets.get(customer)
            return 0.0 if wallet is None else wallet.total()

    def ask(
        self, failure_domain: str, customer: str, need: float, ahead: bool
    ) -> Answer:
        """Asks the owner of a part for at least `need` tokens.

        Args:
            failure_domain: Whose part.
            customer: For whom.
            need: What a waiting request lacks; 0 takes whatever there is.
            ahead: Whether to ask for the demand to come as well.
        """
        page = shares.page_of(customer)
        want = max(need, self._missing(customer))
        if ahead:
            want += self._ahead(customer)
        turnstile = self._turnstile(page, failure_domain)
        joined = turnstile.join(customer, need, want)
        if joined.asked is not None:
            # Sent by another thread, which may have spent what it brought;
            # what the owner said tells whether to ask again.
            return _answer(joined.asked, customer)
        asked = asker.Asked(False, {})
        try:
            asked = self._send(page, failure_domain, joined)
        finally:
            turnstile.finish(joined, asked)
        return _answer(asked, customer)

    def _missing(self, customer: str) -> float:
        return max(0.0, 1.0 - self.in_hand(customer))

    def _ahead(self, customer: str) -> float:
        with self._lock:
            demand = self._demands.get(customer)
            if demand is None:
                return 0.0
            rate_per_s = demand.rate_per_s(self._clock.monotonic_s())
            ahead = rate_per_s * owner.AHEAD_S
            # Less than a whole request ahead would only lie idle here.
            return ahead if ahead >= 1 else 0.0

    def _turnstile(self, page: int, failure_domain: str) -> asker.Turnstile:
        with self._lock:
            return self._turnstiles.setdefault(
                (page, failure_domain), asker.Turnstile()
            )

    def _send(
        self,
        page: int,
        failure_domain: str,
        joined: asker.Round,
        returned: dict[str, float] | None = None,
    ) -> asker.Asked:
        part = self._book.part(page, failure_domain)
        if part is None or not part.vm:
            return asker.Asked(False, {})
        source = credit.Source(failure_domain, part.epoch)
        wants, drops = self._declare(page, source, joined, returned or {})
        if not wants:
            return asker.Asked(True, {})
        asked = self._sender.send(part.vm, page, source, wants)
        self._apply(page, source, wants, drops, asked)
        return asked

    def _declare(
        self,
        page: int,
        source: credit.Source,
        joined: asker.Round,
        returned: dict[str, float],
    ) -> tuple[tuple[credit.Want, ...], int]:
        with self._lock:
            names = set(joined.wants) | set(returned)
            for name, wallet in self._by_page.get(page, {}).items():
                if wallet.is_stale(source):
                    names.add(name)
            wants = []
            for name in sorted(names):
                wallet = self._wallet(page, name)
                wallet.is_tight = False
                want = credit.Want(
                    name,
                    credit.compact(wallet.declare(source)),
                    credit.compact(joined.needs.get(name, 0)),
                    credit.compact(joined.wants.get(name, 0)),
                    credit.compact(returned.get(name, 0)),
                )
                wants.append(want)
            return tuple(wants), self._drops.get(page, 0)

    def _wallet(self, page: int, customer: str) -> credit.Wallet:
        wallet = self._wallets.get(customer)
        if wallet is None:
            row = self._row_of(customer)
            wallet = credit.Wallet(0.0 if row is None else row.burst)
            self._wallets[customer] = wallet
            self._by_page.setdefault(page, {})[customer] = wallet
        return wallet

    def _apply(
        self,
        page: int,
        source: credit.Source,
        wants: tuple[credit.Want, ...],
        drops: int,
        asked: asker.Asked,
    ) -> None:
        with self._lock:
            for want in wants:
                wallet = self._wallet(page, want.customer)
                grant = asked.grants.get(want.customer)
                if grant is None:
                    # The owner may have granted, and the answer was lost:
                    # what it granted is never used, and the next message
                    # tells the owner what is really in hand.
                    wallet.distrust(source)
                    continue
                if self._is_closed or self._drops.get(page, 0) != drops:
                    wallet.distrust(source)
                    continue
                row = self._row_of(want.customer)
                if row is None or grant.granted <= 0:
                    continue
                factor = min(1.0, row.burst / grant.burst)
                if factor < 1:
                    # The owner has an older row and counts more as held.
                    wallet.distrust(source)
                wallet.add(source, grant.granted * factor)
                wallet.touched_s = self._clock.monotonic_s()
                wallet.is_tight = grant.tight

    def rows_changed(self) -> None:
        """Drops what an edited row took away."""
        with self._lock:
            for name, wallet in self._wallets.items():
                row = self._row_of(name)
                burst = 0.0 if row is None else row.burst
                if burst < wallet.burst:
                    wallet.scale(burst / wallet.burst)
                wallet.burst = burst

    def drop_page(self, page: int) -> None:
        """Drops all credit of a page, also what is under way."""
        with self._lock:
            self._drops[page] = self._drops.get(page, 0) + 1
            for wallet in self._by_page.get(page, {}).values():
                wallet.drop_all()

    def report(self, only_tight: bool) -> None:
        """Returns idle credit and tells owners what was spent.

        Args:
            only_tight: Only where the owner said that it needs to know
                soon.
        """
        for (page, failure_domain), returned in self._to_report(
            only_tight
        ).items():
            turnstile = self._turnstile(page, failure_domain)
            joined = turnstile.enter()
            asked = asker.Asked(False, {})
            try:
                asked = self._send(page, failure_domain, joined, returned)
            finally:
                turnstile.finish(joined, asked)

    def _to_report(
        self, only_tight: bool
    ) -> dict[tuple[int, str], dict[str, float]]:
        found: dict[tuple[int, str], dict[str, float]] = {}
        now_s = self._clock.monotonic_s()
        with self._lock:
            for name, wallet in list(self._wallets.items()):
                if only_tight and not wallet.is_tight:
                    continue
                page = shares.page_of(name)
                is_idle = now_s - wallet.touched_s > IDLE_S
                if is_idle and not wallet.sources():
                    self._forget(page, name)
                for source in wallet.sources():
                    part = self._book.part(page, source.failure_domain)
                    if part is None or part.epoch != source.epoch:
                        # The owner is gone, and with it its counts.
                        wallet.forget(source)
                        continue
                    # Given up before it is sent: if the message is lost,
                    # the tokens are, and nobody has them twice.
                    given = wallet.give_up(source) if is_idle else 0.0
                    if given or wallet.is_stale(source):
                        key = (page, source.failure_domain)
                        found.setdefault(key, {})[name] = given
        return found

    def _forget(self, page: int, customer: str) -> None:
        del self._wallets[customer]
        del self._by_page[page][customer]
        self._demands.pop(customer, None)

    def close(self) -> None:
        """Spends nothing any more and gives all credit back."""
        with self._lock:
            self._is_closed = True
            for wallet in self._wallets.values():
                wallet.touched_s = -IDLE_S
        self.report(only_tight=False)

    def dump(self) -> dict[str, float]:
        """Returns the tokens in hand by customer."""
        with self._lock:
            return {
                name: wallet.total()
                for name, wallet in self._wallets.items()
                if wallet.total() > 0
            }


def _answer(asked: asker.Asked, customer: str) -> Answer:
    return Answer(asked.is_answered, asked.grants.get(customer))
