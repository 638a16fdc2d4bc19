"""Holds one VM's credit, and requests and returns it."""

from collections.abc import Callable
import threading
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import credit
from bulrushdeald import creditclient
from bulrushdeald import limitrecords
from bulrushdeald import limitrecordstore
from bulrushdeald import ownedpart
from bulrushdeald import tokenledger

# Credit that is not used for this long is returned to its owner.
IDLE_TIMEOUT_S = 1.0


class CustomerReply(NamedTuple):
    """The result of asking one owner for one customer's tokens.

    Attributes:
        is_answered: Whether the VM answered and owns the part.
        grant: The owner's grant; `None` if there is none.
    """

    is_answered: bool
    grant: credit.Grant | None


class Holder:
    """The credit that one VM holds, in one wallet per customer.

    One lock guards all wallets; no call to a peer is made under it.
    """

    def __init__(
        self,
        book: limitrecordstore.ShareBook,
        sender: creditclient.Sender,
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
        self._demands: dict[str, tokenledger.Demand] = {}
        self._coalescers: dict[tuple[int, str], creditclient.Coalescer] = {}
        # Number of drops by page. The answer to a message sent before a
        # drop may grant credit of an owner that has been replaced, and is void.
        self._drop_counts: dict[int, int] = {}
        self._is_closed = False
        # Pages whose owner may still count credit held by an earlier process
        # of this VM.
        self._unannounced = set(range(limitrecords.PAGES))

    def announce(self, failure_domain: str) -> None:
        """Announces this process to the owners of a failure domain's parts.

        If a VM stops and the message that returns its credit is lost, the
        owner counts that credit as held until it receives a message of the
        VM's next process. Without an announcement, a customer may be refused
        its whole burst for as long as the new process has no request of a
        customer on that page.
        """
        for page in sorted(self._unannounced):
            part = self._book.part(page, failure_domain)
            if part is None or not part.vm:
                continue
            source = credit.Source(failure_domain, part.epoch)
            coalescer = self._coalescer(page, failure_domain)
            pending = coalescer.enter()
            reply = creditclient.OwnerReply(False, {})
            try:
                reply = self._sender.send(part.vm, page, source, ())
            finally:
                # Requests in the pending message were not sent: without a
                # grant, their threads ask again.
                coalescer.finish(pending, reply._replace(grants={}))
            if reply.is_answered:
                self._unannounced.discard(page)

    def note_demand(self, customer: str, count: float) -> None:
        """Records a request in the demand that sizes prefetched credit."""
        with self._lock:
            demand = self._demands.setdefault(customer, tokenledger.Demand())
            demand.note(count, self._clock.monotonic_s())

    def spend(self, customer: str, count: float) -> bool:
        """Takes `count` tokens from the credit held, or none.

        Returns:
            Whether the tokens were taken.
        """
        with self._lock:
            wallet = self._wallets.get(customer)
            if wallet is None or self._is_closed:
                return False
            return wallet.spend(count, self._clock.monotonic_s())

    def available(self, customer: str) -> float:
        """Returns how many of a customer's tokens this VM holds."""
        with self._lock:
            wallet = self._wallets.get(customer)
            return 0.0 if wallet is None else wallet.total()

    def ask(
        self, failure_domain: str, customer: str, need: float, prefetch: bool
    ) -> CustomerReply:
        """Asks the owner of a part for at least `need` tokens.

        Args:
            failure_domain: The failure domain of the part.
            customer: The customer.
            need: Tokens that a waiting request lacks; 0 accepts any number.
            prefetch: Whether to ask for credit for expected requests as well.
        """
        page = limitrecords.page_of(customer)
        want = max(need, self._shortfall(customer))
        if prefetch:
            want += self._prefetch_count(customer)
        coalescer = self._coalescer(page, failure_domain)
        pending = coalescer.join(customer, need, want)
        if pending.reply is not None:
            # Another thread sent the message and may have spent the tokens
            # granted; from the grant the caller decides whether to ask again.
            return _customer_reply(pending.reply, customer)
        reply = creditclient.OwnerReply(False, {})
        try:
            reply = self._send(page, failure_domain, pending)
        finally:
            coalescer.finish(pending, reply)
        return _customer_reply(reply, customer)

    def _shortfall(self, customer: str) -> float:
        return max(0.0, 1.0 - self.available(customer))

    def _prefetch_count(self, customer: str) -> float:
        with self._lock:
            demand = self._demands.get(customer)
            if demand is None:
                return 0.0
            rate_per_s = demand.rate_per_s(self._clock.monotonic_s())
            count = rate_per_s * ownedpart.PREFETCH_S
            # Less than one token admits no request and would lie idle here.
            return count if count >= 1 else 0.0

    def _coalescer(
        self, page: int, failure_domain: str
    ) -> creditclient.Coalescer:
        with self._lock:
            return self._coalescers.setdefault(
                (page, failure_domain), creditclient.Coalescer()
            )

    def _send(
        self,
        page: int,
        failure_domain: str,
        pending: creditclient.PendingAsk,
        returned: dict[str, float] | None = None,
    ) -> creditclient.OwnerReply:
        part = self._book.part(page, failure_domain)
        if part is None or not part.vm:
            return creditclient.OwnerReply(False, {})
        source = credit.Source(failure_domain, part.epoch)
        wants, drop_count = self._build_wants(
            page, source, pending, returned or {}
        )
        if not wants:
            return creditclient.OwnerReply(True, {})
        reply = self._sender.send(part.vm, page, source, wants)
        self._apply_grants(page, source, wants, drop_count, reply)
        return reply

    def _build_wants(
        self,
        page: int,
        source: credit.Source,
        pending: creditclient.PendingAsk,
        returned: dict[str, float],
    ) -> tuple[tuple[credit.Want, ...], int]:
        with self._lock:
            names = set(pending.wants) | set(returned)
            for name, wallet in self._by_page.get(page, {}).items():
                if wallet.needs_report(source):
                    names.add(name)
            wants = []
            for name in sorted(names):
                wallet = self._wallet(page, name)
                wallet.needs_prompt_report = False
                want = credit.Want(
                    name,
                    credit.int_if_whole(wallet.take_report(source)),
                    credit.int_if_whole(pending.needs.get(name, 0)),
                    credit.int_if_whole(pending.wants.get(name, 0)),
                    credit.int_if_whole(returned.get(name, 0)),
                )
                wants.append(want)
            return tuple(wants), self._drop_counts.get(page, 0)

    def _wallet(self, page: int, customer: str) -> credit.Wallet:
        wallet = self._wallets.get(customer)
        if wallet is None:
            row = self._row_of(customer)
            wallet = credit.Wallet(0.0 if row is None else row.burst)
            self._wallets[customer] = wallet
            self._by_page.setdefault(page, {})[customer] = wallet
        return wallet

    def _apply_grants(
        self,
        page: int,
        source: credit.Source,
        wants: tuple[credit.Want, ...],
        drop_count: int,
        reply: creditclient.OwnerReply,
    ) -> None:
        with self._lock:
            for want in wants:
                wallet = self._wallet(page, want.customer)
                grant = reply.grants.get(want.customer)
                if grant is None:
                    # The owner may have granted tokens in an answer that
                    # was lost. They are never used, and the next message
                    # reports to the owner how many are really held.
                    wallet.mark_report_unknown(source)
                    continue
                if (
                    self._is_closed
                    or self._drop_counts.get(page, 0) != drop_count
                ):
                    wallet.mark_report_unknown(source)
                    continue
                row = self._row_of(want.customer)
                if row is None or grant.granted <= 0:
                    continue
                factor = min(1.0, row.burst / grant.burst)
                if factor < 1:
                    # The owner has an older row with a higher burst and
                    # counts more tokens as held.
                    wallet.mark_report_unknown(source)
                wallet.add(source, grant.granted * factor)
                wallet.touched_s = self._clock.monotonic_s()
                wallet.needs_prompt_report = grant.needs_prompt_report

    def apply_rows(self) -> None:
        """Scales down the credit of each customer whose burst was lowered."""
        with self._lock:
            for name, wallet in self._wallets.items():
                row = self._row_of(name)
                burst = 0.0 if row is None else row.burst
                if burst < wallet.burst:
                    wallet.scale(burst / wallet.burst)
                wallet.burst = burst

    def drop_page(self, page: int) -> None:
        """Drops all credit of a page, also grants still in flight."""
        with self._lock:
            self._drop_counts[page] = self._drop_counts.get(page, 0) + 1
            for wallet in self._by_page.get(page, {}).values():
                wallet.drop_all()

    def report(self, only_prompt: bool) -> None:
        """Returns idle credit and reports spent credit to the owners.

        Args:
            only_prompt: Whether to report only for customers whose owner
                requested early reports.
        """
        for (page, failure_domain), returned in self._due_reports(
            only_prompt
        ).items():
            coalescer = self._coalescer(page, failure_domain)
            pending = coalescer.enter()
            reply = creditclient.OwnerReply(False, {})
            try:
                reply = self._send(page, failure_domain, pending, returned)
            finally:
                coalescer.finish(pending, reply)

    def _due_reports(
        self, only_prompt: bool
    ) -> dict[tuple[int, str], dict[str, float]]:
        due: dict[tuple[int, str], dict[str, float]] = {}
        now_s = self._clock.monotonic_s()
        with self._lock:
            for name, wallet in list(self._wallets.items()):
                if only_prompt and not wallet.needs_prompt_report:
                    continue
                page = limitrecords.page_of(name)
                is_idle = now_s - wallet.touched_s > IDLE_TIMEOUT_S
                if is_idle and not wallet.sources():
                    self._delete_wallet(page, name)
                for source in wallet.sources():
                    part = self._book.part(page, source.failure_domain)
                    if part is None or part.epoch != source.epoch:
                        # The owner was replaced, and its counts are lost.
                        wallet.forget(source)
                        continue
                    # The tokens leave the wallet before the message is sent:
                    # a lost message loses them, but they never exist twice.
                    returned = wallet.empty_source(source) if is_idle else 0.0
                    if returned or wallet.needs_report(source):
                        key = (page, source.failure_domain)
                        due.setdefault(key, {})[name] = returned
        return due

    def _delete_wallet(self, page: int, customer: str) -> None:
        del self._wallets[customer]
        del self._by_page[page][customer]
        self._demands.pop(customer, None)

    def close(self) -> None:
        """Stops spending and returns all credit to its owners."""
        with self._lock:
            self._is_closed = True
            for wallet in self._wallets.values():
                wallet.touched_s = -IDLE_TIMEOUT_S
        self.report(only_prompt=False)

    def dump(self) -> dict[str, float]:
        """Returns the tokens held, by customer."""
        with self._lock:
            return {
                name: wallet.total()
                for name, wallet in self._wallets.items()
                if wallet.total() > 0
            }


def _customer_reply(
    reply: creditclient.OwnerReply, customer: str
) -> CustomerReply:
    return CustomerReply(reply.is_answered, reply.grants.get(customer))
