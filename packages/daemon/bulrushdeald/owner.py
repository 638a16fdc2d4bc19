"""The part of a page that this VM owns: it grants credit to holders.

Where its tokens are short it collects from the owners of the page's other
parts, and lends that on. Its own lock guards all of it; no call to a peer
is made under the lock.
"""

from collections.abc import Callable, Mapping
import threading
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import bucket
from bulrushdeald import credit
from bulrushdeald import holders
from bulrushdeald import shares
from bulrushdeald import shortage

# Credit ahead of need covers the demand of this long.
AHEAD_S = 0.2
# Above this fraction of a part's capacity in holders' hands the owner wants
# to hear soon what was spent, since its bucket cannot fill meanwhile.
_TIGHT_FRACTION = 0.2
# A slower part loses too little by a late report to be worth a message.
_TIGHT_PER_S = 0.25
_EPSILON = 1e-9


class Outflow(NamedTuple):
    """How much one other part took more than it gave.

    Attributes:
        failure_domain: Whose part; empty if none did.
        fraction: Of what the page's rows allow in the same time.
    """

    failure_domain: str
    fraction: float


OpeningOf = Callable[[str], records.Opening | None]


def _no_opening(customer: str) -> None:
    del customer


class OwnedPart:
    """The ledgers of one page in one failure domain."""

    def __init__(
        self,
        page: int,
        part: shares.Part,
        clock: clock_lib.Clock,
        opening_of: OpeningOf = _no_opening,
    ) -> None:
        self.page = page
        self.part = part
        self.is_closed = False
        # A donor lowers itself before the record says so.
        self.fraction_cap = part.fraction
        self._clock = clock
        self._opening_of = opening_of
        self._lock = threading.Lock()
        self._rows: Mapping[str, records.Customer] = {}
        self._ledgers: dict[str, bucket.Ledger] = {}
        self._demands: dict[str, bucket.Demand] = {}
        self._holders = holders.Holders(self._forget_credit)
        self._shortages = shortage.Shortages()
        # What a lender may believe to be out here, though it is not.
        self._unsure: dict[credit.Source, set[str]] = {}
        # Counts drops asked of this VM; an answer to what was asked before
        # one may bring credit of an owner that is gone, and is void.
        self.drops = 0
        # The revision that a move of fractions was written over, if any.
        self._moving_over = 0
        self._flows: dict[str, float] = {}
        self._flows_since_s = clock.monotonic_s()
        # Which part met a customer's shortage last; guarded by `exchange`.
        self.last_lender: dict[str, str] = {}
        # One exchange of this part with the other owners at a time.
        self.exchange = threading.Lock()

    @property
    def source(self) -> credit.Source:
        """Names this part's credit."""
        return credit.Source(self.part.failure_domain, self.part.epoch)

    def set_part(self, part: shares.Part) -> None:
        """Puts a newer record of the same epoch in force."""
        with self._lock:
            if part.fraction != self.part.fraction:
                self._moving_over = 0
            self.part = part
            if not self._moving_over:
                self.fraction_cap = part.fraction
            self._set_terms()

    def lower_fraction(self, fraction: float, revision: int) -> bool:
        """Gives up a part of the fraction before the record says so.

        Args:
            fraction: What to keep.
            revision: Of the record that the move is written over.

        Returns:
            Whether no customer has too much out for that now.
        """
        with self._lock:
            scale = fraction / self.part.fraction
            for ledger in self._ledgers.values():
                least = shares.capacity(
                    ledger.terms.burst * scale, self.part.takeovers
                )
                if ledger.lent > shares.lendable(least):
                    return False
            self.fraction_cap = fraction
            self._moving_over = revision
            self._set_terms()
            return True

    def is_moving(self, revision: int) -> bool:
        """Tells whether a move may still be written over a revision."""
        with self._lock:
            return self._moving_over == revision

    def end_move(self) -> None:
        """Takes back what a move gave up that was not and will not be."""
        with self._lock:
            if self._moving_over:
                self._moving_over = 0
                self.fraction_cap = self.part.fraction
                self._set_terms()

    def greatest_outflow(self) -> Outflow:
        """Returns which part took most since the last call."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            elapsed_s = now_s - self._flows_since_s
            flows, self._flows = self._flows, {}
            self._flows_since_s = now_s
            rate_per_s = sum(row.rate_per_s for row in self._rows.values())
            allowed = elapsed_s * rate_per_s
            if not flows or allowed <= 0:
                return Outflow("", 0.0)
            name = max(flows, key=lambda domain: flows[domain])
            return Outflow(name, flows[name] / allowed)

    def _note_flow(self, failure_domain: str, count: float) -> None:
        before = self._flows.get(failure_domain, 0.0)
        self._flows[failure_domain] = before + count

    def set_rows(self, rows: Mapping[str, records.Customer]) -> None:
        """Puts the page's rows in force."""
        with self._lock:
            for name, row in rows.items():
                before = self._rows.get(name)
                if before is not None and row.burst < before.burst:
                    factor = row.burst / before.burst
                    self._doubt_debts(name)
                    self._ledgers[name].scale_debts(factor)
            self._rows = dict(rows)
            self._set_terms()

    def _doubt_debts(self, customer: str) -> None:
        for source in self._ledgers[customer].debts:
            assert isinstance(source, credit.Source)
            self._unsure.setdefault(source, set()).add(customer)

    def _set_terms(self) -> None:
        now_s = self._clock.monotonic_s()
        # The ledger of a deleted row stays: a row of the same name, made
        # again at once, must not find a fresh bucket.
        for name in {**self._rows, **self._ledgers}:
            terms = self._terms(self._rows.get(name))
            ledger = self._ledgers.get(name)
            if ledger is None:
                ledger = self._ledgers[name] = bucket.Ledger(terms, now_s)
                ledger.fill(self._opening_tokens(name))
            elif ledger.terms != terms:
                ledger.change(terms, now_s)

    def _opening_tokens(self, customer: str) -> float:
        """Returns what this part of a new customer's row begins with.

        The failure: an owner takes a row that is not new to the fleet for a
        new one and fills its bucket, though others have granted its tokens.
        So the row says itself which epoch of each part may fill it, as of
        before it was made: an earlier owner was gone by then, a later one
        has another epoch, and this one fills only a ledger it never had.
        The fractions are those of one record, so all parts together begin
        with one burst at most, however fractions move meanwhile.
        """
        opening = self._opening_of(customer)
        row = self._rows.get(customer)
        if opening is None or row is None:
            return 0.0
        own = (self.part.failure_domain, self.part.epoch)
        for part in opening.parts:
            if (part.failure_domain, part.epoch) == own:
                return part.fraction * min(opening.burst, row.burst)
        return 0.0

    def _terms(self, row: records.Customer | None) -> bucket.Terms:
        if row is None:
            return bucket.Terms(0.0, 0.0)
        fraction = self.fraction_cap
        return bucket.Terms(
            fraction * row.rate_per_s,
            fraction * row.burst,
            self.part.takeovers,
        )

    def answer(self, vm: str, ask: credit.CreditAsk) -> credit.CreditGrants:
        """Answers a holder; never waits."""
        with self._lock:
            if self.is_closed or ask.epoch != self.part.epoch:
                return credit.CreditGrants(False)
            name = holders.HolderName(vm, ask.for_domain, ask.for_epoch)
            if not self._holders.accept(name, ask.incarnation, ask.seq):
                return credit.CreditGrants(False)
            grants = [self._grant(name, want) for want in ask.wants]
            return credit.CreditGrants(True, tuple(grants))

    def _grant(
        self, name: holders.HolderName, want: credit.Want
    ) -> credit.Grant:
        row = self._rows.get(want.customer)
        ledger = self._ledgers.get(want.customer)
        if row is None or ledger is None:
            return credit.Grant(0.0, 0.0)
        now_s = self._clock.monotonic_s()
        ledger.accrue(now_s)
        ledger.report(name, want.held, want.returned)
        if want.want <= 0:
            return credit.Grant(0, credit.compact(row.burst))
        if name.for_domain:
            return self._transfer(name, want, row, ledger)
        demand = self._demands.setdefault(want.customer, bucket.Demand())
        demand.note(want.need, now_s)
        # Half of what is left may go out ahead of need; the rest stays for
        # the other holders.
        spare = max(0.0, ledger.grantable() - want.need) / 2
        most = max(want.need, min(want.want, want.need + spare))
        granted = ledger.grant(name, want.need, most)
        left = ledger.grantable()
        again_s = 0.0
        wait_s = 0.0
        if granted <= 0:
            wait_s = (want.need - left) / (row.rate_per_s or _EPSILON)
            again_s = self._shortages.plan(
                want.customer, want.need - left, now_s
            )
        room_fraction = ledger.room / max(ledger.capacity, _EPSILON)
        self._shortages.note_room(row, room_fraction, now_s)
        tight = (
            ledger.lent > _TIGHT_FRACTION * ledger.capacity
            and ledger.terms.rate_per_s > _TIGHT_PER_S
        )
        return credit.Grant(
            credit.compact(granted),
            credit.compact(row.burst),
            again_s,
            wait_s,
            tight,
        )

    def _transfer(
        self,
        name: holders.HolderName,
        want: credit.Want,
        row: records.Customer,
        ledger: bucket.Ledger,
    ) -> credit.Grant:
        # What a waiting request lacks, or so much that both parts have the
        # same room left: a part that is full loses what its rate gives.
        even = (want.reserved - max(0.0, ledger.room)) / 2
        most = min(want.want, max(want.need, even))
        moved = ledger.transfer(name, most, want.reserved)
        self._note_flow(name.for_domain, moved)
        return credit.Grant(credit.compact(moved), credit.compact(row.burst))

    def shortages(self) -> tuple[shortage.Shortage, ...]:
        """Returns what waiting requests lack, and begins a collection."""
        with self._lock:
            return self._shortages.begin(self._clock.monotonic_s())

    def collection_ended(self) -> None:
        """Notes that what was found is there and the rest is not."""
        with self._lock:
            self._shortages.end()

    def collected(self, customer: str, asked: int) -> None:
        """Notes that a shortage was met by asking so many other parts."""
        with self._lock:
            burst = self._ledgers[customer].terms.burst
            self._shortages.met(customer, asked, burst)

    def low(self) -> tuple[shortage.Shortage, ...]:
        """Returns customers asked for lately whose level is low."""
        with self._lock:
            return self._shortages.low(self._clock.monotonic_s())

    def want(
        self, source: credit.Source, lacking: shortage.Shortage
    ) -> credit.Want:
        """Returns what to ask another part for, and keeps room for it."""
        with self._lock:
            ledger = self._ledgers[lacking.customer]
            ledger.accrue(self._clock.monotonic_s())
            held = ledger.repay(source)
            reserved = ledger.reserve()
            return credit.Want(
                lacking.customer,
                credit.compact(held),
                credit.compact(lacking.missing),
                credit.compact(max(lacking.missing, reserved)),
                reserved=credit.compact(reserved),
            )

    def receive(
        self,
        source: credit.Source,
        want: credit.Want,
        grant: credit.Grant | None,
        drops: int,
    ) -> float:
        """Adds what another part granted, unless it is void.

        Args:
            source: The other part.
            want: What was asked.
            grant: What its owner answered; `None` if there is no answer.
            drops: The count of drops when the owner was asked.

        Returns:
            How many tokens that is under the row known here.
        """
        with self._lock:
            ledger = self._ledgers[want.customer]
            row = self._rows.get(want.customer)
            count = 0.0
            if grant is not None and row is not None and drops == self.drops:
                factor = row.burst / grant.burst if grant.burst else 0.0
                count = grant.granted * min(1.0, factor)
            ledger.receive(source, count, want.reserved)
            self._note_flow(source.failure_domain, -count)
            if grant is None or grant.granted > want.reserved:
                # The lender counts a loan that is smaller here, or that a
                # lost answer never brought; it has to be told, or it keeps
                # its bucket that much emptier for good.
                self._unsure.setdefault(source, set()).add(want.customer)
            return count

    def owed(self, source: credit.Source, customer: str) -> float:
        """Lowers a debt as far as it goes; returns what is left."""
        with self._lock:
            ledger = self._ledgers.get(customer)
            return 0.0 if ledger is None else ledger.repay(source)

    def debts(self) -> dict[credit.Source, set[str]]:
        """Returns the customers to settle, by source."""
        with self._lock:
            found = {
                source: set(names) for source, names in self._unsure.items()
            }
            for name, ledger in self._ledgers.items():
                for source in ledger.debts:
                    assert isinstance(source, credit.Source)
                    found.setdefault(source, set()).add(name)
            return found

    def can_repay(self) -> bool:
        """Tells whether a lender counts what it need not any more."""
        with self._lock:
            return any(ledger.can_repay for ledger in self._ledgers.values())

    def settled(self, source: credit.Source) -> None:
        """Notes that a lender knows what is out here."""
        with self._lock:
            self._unsure.pop(source, None)

    def give_back(self, source: credit.Source, customer: str) -> float:
        """Takes off what is unspent of a debt, if demand has gone."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            demand = self._demands.get(customer)
            if demand is not None and demand.rate_per_s(now_s) >= 1:
                return 0.0
            return self._ledgers[customer].give_back(source)

    def void(self, failure_domain: str, epoch: int) -> bool:
        """Gives up credit of a part's epochs before `epoch`.

        Returns:
            Whether nothing of it is left, here or with holders.
        """
        with self._lock:
            self.drops += 1
            left = 0.0
            for ledger in self._ledgers.values():
                for source in list(ledger.debts):
                    assert isinstance(source, credit.Source)
                    if source.failure_domain != failure_domain:
                        continue
                    if source.epoch < epoch:
                        left += ledger.void(source)
            return left <= _EPSILON

    def sweep(self, is_gone: Callable[[str], bool], page: shares.Page) -> None:
        """Takes back what holders had that are gone for certain."""
        with self._lock:
            self._holders.sweep(is_gone, page)

    def _forget_credit(self, name: holders.HolderName) -> None:
        for ledger in self._ledgers.values():
            ledger.outstanding.pop(name, None)

    def close(self) -> bool:
        """Ends granting for good; tells whether holders have nothing."""
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
