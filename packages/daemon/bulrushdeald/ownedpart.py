"""The part of a page that this VM owns, from which it grants credit.

A part that runs short of tokens borrows from the owners of the page's other
parts and lends those tokens on to its holders. One lock guards the whole
part, and no call to a peer is made while it is held.
"""

from collections.abc import Callable, Mapping
import threading
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import credit
from bulrushdeald import holdertable
from bulrushdeald import limitrecords
from bulrushdeald import shortage
from bulrushdeald import tokenledger

# A holder prefetches credit for the expected demand of this many seconds.
PREFETCH_S = 0.2
# An owner that has lent more than this fraction of its capacity asks its
# holders for prompt reports: its bucket cannot refill until it learns what
# they have spent.
_PROMPT_REPORT_FRACTION = 0.2
# A part with a lower rate loses too few tokens by a late report to be worth
# a message.
_PROMPT_REPORT_MIN_RATE_PER_S = 0.25
_EPSILON = 1e-9


class Outflow(NamedTuple):
    """The other part that received the most tokens, net of what it gave.

    Attributes:
        failure_domain: The failure domain of that part; empty if no tokens
            were moved.
        fraction: The net tokens moved, as a fraction of what the page's rows
            allow in the same time.
    """

    failure_domain: str
    fraction: float


InitialTokensOf = Callable[[str], records.InitialTokens | None]


def _no_initial_tokens(customer: str) -> None:
    del customer


class OwnedPart:
    """The token ledgers of one page in one failure domain.

    Attributes:
        page: The number of the page.
        part: The part as the page's record describes it.
        is_closed: Whether this VM has stopped granting from the part.
        fraction_cap: The fraction of each row that this part uses; below
            `part.fraction` while a move to another part is being written.
        drop_count: The number of calls of `write_off`. A grant that was
            requested before the latest call may come from an owner that is
            gone, so `receive` discards it.
        last_lender: By customer, the failure domain whose part met its last
            shortage; guarded by `exchange`.
        exchange: Held while this part exchanges tokens with another owner,
            so that it does so with one at a time.
    """

    def __init__(
        self,
        page: int,
        part: limitrecords.Part,
        clock: clock_lib.Clock,
        initial_tokens_of: InitialTokensOf = _no_initial_tokens,
    ) -> None:
        self.page = page
        self.part = part
        self.is_closed = False
        self.fraction_cap = part.fraction
        self._clock = clock
        self._initial_tokens_of = initial_tokens_of
        self._lock = threading.Lock()
        self._rows: Mapping[str, records.Customer] = {}
        self._ledgers: dict[str, tokenledger.Ledger] = {}
        self._demands: dict[str, tokenledger.Demand] = {}
        self._holders = holdertable.Holders(self._clear_outstanding)
        self._shortages = shortage.Shortages()
        # By lender, the customers for which it may count more tokens as lent
        # than this part owes.
        self._unsettled: dict[credit.Source, set[str]] = {}
        self.drop_count = 0
        # The revision of the record that an unfinished move of fractions
        # replaces; 0 if there is none.
        self._move_base_revision = 0
        # Tokens moved to each other part less those received from it.
        self._net_outflows: dict[str, float] = {}
        self._net_outflows_since_s = clock.monotonic_s()
        self.last_lender: dict[str, str] = {}
        self.exchange = threading.Lock()

    @property
    def source(self) -> credit.Source:
        """The source that identifies credit granted by this part."""
        return credit.Source(self.part.failure_domain, self.part.epoch)

    def apply_part(self, part: limitrecords.Part) -> None:
        """Applies a newer record of the same epoch."""
        with self._lock:
            if part.fraction != self.part.fraction:
                self._move_base_revision = 0
            self.part = part
            if not self._move_base_revision:
                self.fraction_cap = part.fraction
            self._set_terms()

    def lower_fraction(self, fraction: float, revision: int) -> bool:
        """Lowers this part's fraction before the record is changed.

        Args:
            fraction: The fraction to keep.
            revision: The revision of the record that the move replaces.

        Returns:
            Whether the fraction was lowered; it is not while more of a
            customer's tokens are lent than the lower fraction allows.
        """
        with self._lock:
            scale = fraction / self.part.fraction
            for ledger in self._ledgers.values():
                least = limitrecords.remaining_capacity(
                    ledger.terms.burst * scale, self.part.takeovers
                )
                if ledger.lent > limitrecords.lendable(least):
                    return False
            self.fraction_cap = fraction
            self._move_base_revision = revision
            self._set_terms()
            return True

    def is_moving(self, revision: int) -> bool:
        """Tells whether a move that replaces `revision` is unfinished."""
        with self._lock:
            return self._move_base_revision == revision

    def abandon_move(self) -> None:
        """Abandons an unfinished move, if any, and restores the fraction."""
        with self._lock:
            if self._move_base_revision:
                self._move_base_revision = 0
                self.fraction_cap = self.part.fraction
                self._set_terms()

    def greatest_outflow(self) -> Outflow:
        """Returns the greatest net outflow since the last call."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            elapsed_s = now_s - self._net_outflows_since_s
            flows, self._net_outflows = self._net_outflows, {}
            self._net_outflows_since_s = now_s
            rate_per_s = sum(row.rate_per_s for row in self._rows.values())
            allowed = elapsed_s * rate_per_s
            if not flows or allowed <= 0:
                return Outflow("", 0.0)
            name = max(flows, key=lambda domain: flows[domain])
            return Outflow(name, flows[name] / allowed)

    def _add_outflow(self, failure_domain: str, count: float) -> None:
        before = self._net_outflows.get(failure_domain, 0.0)
        self._net_outflows[failure_domain] = before + count

    def apply_rows(self, rows: Mapping[str, records.Customer]) -> None:
        """Applies the page's customer rows."""
        with self._lock:
            for name, row in rows.items():
                before = self._rows.get(name)
                if before is not None and row.burst < before.burst:
                    factor = row.burst / before.burst
                    self._mark_debts_unsettled(name)
                    self._ledgers[name].scale_debts(factor)
            self._rows = dict(rows)
            self._set_terms()

    def _mark_debts_unsettled(self, customer: str) -> None:
        for source in self._ledgers[customer].debts:
            assert isinstance(source, credit.Source)
            self._unsettled.setdefault(source, set()).add(customer)

    def _set_terms(self) -> None:
        now_s = self._clock.monotonic_s()
        # The ledger of a deleted row stays: a customer that is deleted and
        # created again at once must not start with a fresh bucket.
        for name in {**self._rows, **self._ledgers}:
            terms = self._terms(self._rows.get(name))
            ledger = self._ledgers.get(name)
            if ledger is None:
                ledger = self._ledgers[name] = tokenledger.Ledger(terms, now_s)
                ledger.fill(self._starting_tokens(name))
            elif ledger.terms != terms:
                ledger.change(terms, now_s)

    def _starting_tokens(self, customer: str) -> float:
        """Returns the tokens that a new customer's bucket starts with here.

        An owner that takes an older row for a new one would fill its bucket
        although other owners have granted those tokens already. The record
        therefore names, for each part, the one epoch that may fill the
        bucket, as of just before the row was created. Earlier owners were
        gone by then, later owners have another epoch, and the named owner
        fills only a ledger that it has just created. All fractions come from
        one record, so all parts together start with at most one burst, even
        if fractions move in the meantime.
        """
        initial_tokens = self._initial_tokens_of(customer)
        row = self._rows.get(customer)
        if initial_tokens is None or row is None:
            return 0.0
        own = (self.part.failure_domain, self.part.epoch)
        for part in initial_tokens.parts:
            if (part.failure_domain, part.epoch) == own:
                return part.fraction * min(initial_tokens.burst, row.burst)
        return 0.0

    def _terms(self, row: records.Customer | None) -> tokenledger.Terms:
        if row is None:
            return tokenledger.Terms(0.0, 0.0)
        fraction = self.fraction_cap
        return tokenledger.Terms(
            fraction * row.rate_per_s,
            fraction * row.burst,
            self.part.takeovers,
        )

    def answer(self, vm: str, ask: credit.CreditAsk) -> credit.CreditGrants:
        """Answers a holder's request for credit without blocking on I/O."""
        with self._lock:
            if self.is_closed or ask.epoch != self.part.epoch:
                return credit.CreditGrants(False)
            name = holdertable.HolderId(vm, ask.for_domain, ask.for_epoch)
            if not self._holders.accept(name, ask.incarnation, ask.seq):
                return credit.CreditGrants(False)
            grants = [self._grant(name, want) for want in ask.wants]
            return credit.CreditGrants(True, tuple(grants))

    def _grant(
        self, name: holdertable.HolderId, want: credit.Want
    ) -> credit.Grant:
        row = self._rows.get(want.customer)
        ledger = self._ledgers.get(want.customer)
        if row is None or ledger is None:
            return credit.Grant(0.0, 0.0)
        now_s = self._clock.monotonic_s()
        ledger.accrue(now_s)
        ledger.report(name, want.held, want.returned)
        if want.want <= 0:
            return credit.Grant(0, credit.int_if_whole(row.burst))
        if name.for_domain:
            return self._transfer(name, want, row, ledger)
        demand = self._demands.setdefault(want.customer, tokenledger.Demand())
        demand.note(want.need, now_s)
        # At most half of what remains is granted in advance; the rest stays
        # for the other holders.
        spare = max(0.0, ledger.grantable() - want.need) / 2
        most = max(want.need, min(want.want, want.need + spare))
        granted = ledger.grant(name, want.need, most)
        left = ledger.grantable()
        retry_after_s = 0.0
        wait_s = 0.0
        if granted <= 0:
            wait_s = (want.need - left) / (row.rate_per_s or _EPSILON)
            retry_after_s = self._shortages.add_missing(
                want.customer, want.need - left, now_s
            )
        room_fraction = ledger.room / max(ledger.capacity, _EPSILON)
        self._shortages.note_room(row, room_fraction, now_s)
        needs_prompt_report = (
            ledger.lent > _PROMPT_REPORT_FRACTION * ledger.capacity
            and ledger.terms.rate_per_s > _PROMPT_REPORT_MIN_RATE_PER_S
        )
        return credit.Grant(
            credit.int_if_whole(granted),
            credit.int_if_whole(row.burst),
            retry_after_s,
            wait_s,
            needs_prompt_report,
        )

    def _transfer(
        self,
        name: holdertable.HolderId,
        want: credit.Want,
        row: records.Customer,
        ledger: tokenledger.Ledger,
    ) -> credit.Grant:
        # Moves what a waiting request lacks, or enough to leave equal room
        # in both parts: a full part loses the tokens that its rate adds.
        equalizing = (want.reserved - max(0.0, ledger.room)) / 2
        most = min(want.want, max(want.need, equalizing))
        moved = ledger.transfer(name, most, want.reserved)
        self._add_outflow(name.for_domain, moved)
        return credit.Grant(
            credit.int_if_whole(moved), credit.int_if_whole(row.burst)
        )

    def begin_collection(self) -> tuple[shortage.Shortage, ...]:
        """Starts a collection; returns what waiting requests lack."""
        with self._lock:
            return self._shortages.begin_collection(self._clock.monotonic_s())

    def end_collection(self) -> None:
        """Ends the collection that `begin_collection` started."""
        with self._lock:
            self._shortages.end_collection()

    def note_shortage_met(self, customer: str, asked: int) -> None:
        """Records that a collection met a customer's shortage.

        Args:
            customer: The customer.
            asked: How many other parts were asked for tokens.
        """
        with self._lock:
            burst = self._ledgers[customer].terms.burst
            self._shortages.note_met(customer, asked, burst)

    def take_low_customers(self) -> tuple[shortage.Shortage, ...]:
        """Returns customers with recent requests and a low level."""
        with self._lock:
            return self._shortages.take_low(self._clock.monotonic_s())

    def prepare_want(
        self, source: credit.Source, lacking: shortage.Shortage
    ) -> credit.Want:
        """Returns a request to another part and reserves room for the answer.

        Args:
            source: The part to ask.
            lacking: The customer and the tokens that it lacks.
        """
        with self._lock:
            ledger = self._ledgers[lacking.customer]
            ledger.accrue(self._clock.monotonic_s())
            held = ledger.repay(source)
            reserved = ledger.reserve()
            return credit.Want(
                lacking.customer,
                credit.int_if_whole(held),
                credit.int_if_whole(lacking.missing),
                credit.int_if_whole(max(lacking.missing, reserved)),
                reserved=credit.int_if_whole(reserved),
            )

    def receive(
        self,
        source: credit.Source,
        want: credit.Want,
        grant: credit.Grant | None,
        drop_count: int,
    ) -> float:
        """Adds the tokens that another part granted.

        Args:
            source: The other part.
            want: What was requested.
            grant: The other owner's answer; `None` if there was none.
            drop_count: The value of `drop_count` when the request was sent. If
                it has changed since, the grant is discarded.

        Returns:
            The tokens added, scaled down if this VM's row has a lower burst
            than the lender's.
        """
        with self._lock:
            ledger = self._ledgers[want.customer]
            row = self._rows.get(want.customer)
            count = 0.0
            if (
                grant is not None
                and row is not None
                and drop_count == self.drop_count
            ):
                factor = row.burst / grant.burst if grant.burst else 0.0
                count = grant.granted * min(1.0, factor)
            ledger.receive(source, count, want.reserved)
            self._add_outflow(source.failure_domain, -count)
            if grant is None or grant.granted > want.reserved:
                # The lender may count a larger loan than this part has: the
                # answer was lost or the loan scaled down. Unless this part
                # reports the true figure, the lender's bucket stays short
                # of those tokens for good.
                self._unsettled.setdefault(source, set()).add(want.customer)
            return count

    def repay(self, source: credit.Source, customer: str) -> float:
        """Repays a debt as far as possible; returns the tokens still owed."""
        with self._lock:
            ledger = self._ledgers.get(customer)
            return 0.0 if ledger is None else ledger.repay(source)

    def debts(self) -> dict[credit.Source, set[str]]:
        """Returns, by lender, the customers whose debts to report to it."""
        with self._lock:
            found = {
                source: set(names) for source, names in self._unsettled.items()
            }
            for name, ledger in self._ledgers.items():
                for source in ledger.debts:
                    assert isinstance(source, credit.Source)
                    found.setdefault(source, set()).add(name)
            return found

    def has_repayable_debt(self) -> bool:
        """Tells whether any debt can be lowered now."""
        with self._lock:
            return any(ledger.can_repay for ledger in self._ledgers.values())

    def mark_settled(self, source: credit.Source) -> None:
        """Records that a lender has received this part's current debts."""
        with self._lock:
            self._unsettled.pop(source, None)

    def give_back(self, source: credit.Source, customer: str) -> float:
        """Takes unspent borrowed tokens out, if demand is under 1 token/s.

        Returns:
            The tokens to return to the lender.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            demand = self._demands.get(customer)
            if demand is not None and demand.rate_per_s(now_s) >= 1:
                return 0.0
            return self._ledgers[customer].give_back(source)

    def write_off(self, failure_domain: str, epoch: int) -> bool:
        """Writes off tokens borrowed from earlier epochs of another part.

        Args:
            failure_domain: The failure domain of the other part.
            epoch: Tokens borrowed in epochs before this one are written off.

        Returns:
            Whether none of those tokens are left here or with holders.
        """
        with self._lock:
            self.drop_count += 1
            left = 0.0
            for ledger in self._ledgers.values():
                for source in list(ledger.debts):
                    assert isinstance(source, credit.Source)
                    if source.failure_domain != failure_domain:
                        continue
                    if source.epoch < epoch:
                        left += ledger.write_off(source)
            return left <= _EPSILON

    def sweep(
        self, is_gone: Callable[[str], bool], page: limitrecords.Page
    ) -> None:
        """Stops counting the credit of holders that are certainly gone."""
        with self._lock:
            self._holders.reclaim(is_gone, page)

    def _clear_outstanding(self, name: holdertable.HolderId) -> None:
        for ledger in self._ledgers.values():
            ledger.outstanding.pop(name, None)

    def close(self) -> bool:
        """Stops granting for good; tells whether no credit is lent."""
        with self._lock:
            self.is_closed = True
            return all(
                ledger.lent <= _EPSILON for ledger in self._ledgers.values()
            )

    def totals(self) -> Mapping[str, tuple[float, float, float]]:
        """Returns each customer's level, lent and borrowed tokens."""
        with self._lock:
            return {
                name: (ledger.level, ledger.lent, ledger.borrowed)
                for name, ledger in self._ledgers.items()
            }
