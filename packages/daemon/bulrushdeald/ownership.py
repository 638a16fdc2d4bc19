"""Which parts this VM owns: claims, takeovers, hand-over, clearing."""

from collections.abc import Mapping
import itertools
import threading
from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import credit
from bulrushdeald import owner
from bulrushdeald import services
from bulrushdeald import sharebook
from bulrushdeald import shares

_log = logs.Log("limits")

# Lists of VMs that different VMs read may differ by a few readings: an owner
# must be missing for this long before it counts as gone.
MISSING_S = 6.0
# The next candidate claims this much later, if the first does not.
CLAIM_STEP_S = 2.0
_DROP_TIMEOUT_S = 0.5
_CLAIM_TRIES = 4


class Vacancy(NamedTuple):
    """A part whose owner is not there."""

    page: int
    part: shares.Part


class Ownership:
    """Follows the records and the platform's list of VMs."""

    def __init__(
        self,
        book: sharebook.ShareBook,
        membership: services.Membership,
        peers: services.Peers,
        clock: clock_lib.Clock,
        opening_of: owner.OpeningOf,
    ) -> None:
        self._book = book
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._opening_of = opening_of
        self._own = membership.own()
        self._incarnation = membership.incarnation()
        self._nonces = itertools.count(1)
        self._lock = threading.Lock()
        self._owned: dict[tuple[int, str], owner.OwnedPart] = {}
        self._since_s: dict[Vacancy, float] = {}
        self._seen: set[str] = set()
        self._unclean: dict[tuple[int, str], str] = {}
        self._is_closed = False
        # Failure domains that start together begin at different pages, so
        # that their claims seldom meet.
        first = shares.page_of(self._own.failure_domain)
        pages = list(range(shares.PAGES))
        self._order = pages[first:] + pages[:first]

    @property
    def failure_domain(self) -> str:
        """Where this VM stands."""
        return self._own.failure_domain

    def owned(self) -> tuple[owner.OwnedPart, ...]:
        """Returns the parts that this VM owns."""
        with self._lock:
            return tuple(self._owned.values())

    def find(self, page: int, failure_domain: str) -> owner.OwnedPart | None:
        """Returns a part if this VM owns it."""
        with self._lock:
            return self._owned.get((page, failure_domain))

    def of_page(self, page: int) -> list[owner.OwnedPart]:
        """Returns this VM's parts of a page."""
        return [owned for owned in self.owned() if owned.page == page]

    def adopt(self, rows: Mapping[int, Mapping[str, records.Customer]]) -> None:
        """Begins to own what the records say, and nothing else."""
        if self._is_closed:
            return
        for number in range(shares.PAGES):
            stored = self._book.get(number)
            for part in stored.page.parts if stored else ():
                self._adopt(number, part, rows.get(number, {}))

    def _adopt(
        self,
        number: int,
        part: shares.Part,
        rows: Mapping[str, records.Customer],
    ) -> None:
        key = (number, part.failure_domain)
        is_mine = (
            part.vm == self._own.vm and part.incarnation == self._incarnation
        )
        owned = self.find(*key)
        if not is_mine:
            if owned is not None and part.epoch >= owned.part.epoch:
                owned.close()
                with self._lock:
                    del self._owned[key]
            return
        if owned is None or owned.part.epoch < part.epoch:
            owned = owner.OwnedPart(number, part, self._clock, self._opening_of)
            owned.set_rows(rows)
            with self._lock:
                self._owned[key] = owned
            _log.info("Owns page %d for %s.", number, part.failure_domain)
        elif owned.part != part:
            owned.set_part(part)

    def claim(self) -> None:
        """Takes parts that nobody owns, and makes records that lack."""
        if not self._book.is_loaded or self._is_closed:
            return
        waiting: set[Vacancy] = set()
        for number in self._order:
            for vacancy in self._vacancies(number):
                waiting.add(vacancy)
                if self._is_due(vacancy):
                    self._claim_part(vacancy)
        for vacancy in set(self._since_s) - waiting:
            del self._since_s[vacancy]

    def _claim_part(self, vacancy: Vacancy) -> None:
        # Another failure domain's claim on the same page wins the write
        # when a fleet starts; to wait for the next round each time would
        # leave a part without an owner for as many seconds as domains.
        for _ in range(_CLAIM_TRIES):
            if self._claim(vacancy) != "no":
                return
            if vacancy not in self._vacancies(vacancy.page):
                return

    def _vacancies(self, number: int) -> list[Vacancy]:
        parts = self._stored(number).page.parts
        own = self._own.failure_domain
        if all(part.failure_domain != own for part in parts):
            # A failure domain that is new: it begins by borrowing.
            parts = (*parts, shares.Part(own, 0.0))
        return [Vacancy(number, p) for p in parts if self._is_vacant(p)]

    def _stored(self, number: int) -> sharebook.Stored:
        return self._book.get(number) or sharebook.Stored(self._first_page(), 0)

    def _is_vacant(self, part: shares.Part) -> bool:
        if part.vm == self._own.vm:
            # The peer port is bound exclusively, so an earlier process of
            # this VM is gone.
            return part.incarnation != self._incarnation
        return not part.vm or not self._membership.is_listed(part.vm)

    def _candidates(self, failure_domain: str) -> list[records.Vm]:
        return [
            vm
            for vm in self._membership.entry_vms()
            if failure_domain in ("", vm.failure_domain)
            and not self._membership.is_leaving(vm.vm)
        ]

    def _is_due(self, vacancy: Vacancy) -> bool:
        now_s = self._clock.monotonic_s()
        since_s = self._since_s.setdefault(vacancy, now_s)
        part = vacancy.part
        if part.vm == self._own.vm:
            return True
        candidates = self._candidates(part.failure_domain)
        # A failure domain without VMs is looked after by the others.
        names = [vm.vm for vm in candidates or self._candidates("")]
        order = shares.rank(f"{vacancy.page}/{part.failure_domain}", names)
        if self._own.vm not in order:
            return False
        delay_s = order.index(self._own.vm) * CLAIM_STEP_S
        if part.vm:
            delay_s += MISSING_S
        return now_s - since_s >= delay_s

    def _claim(self, vacancy: Vacancy) -> sharebook.Written:
        stored = self._stored(vacancy.page)
        part = vacancy.part
        name = part.failure_domain
        if (stored.page.part(name) or shares.Part(name, 0.0)) != part:
            # The record or the list of VMs changed since the part was seen
            # to be vacant. Its fraction as of then, written beside the
            # others as of now, could make them more than the row.
            return "no"
        mine = part._replace(
            vm=self._own.vm,
            incarnation=self._incarnation,
            epoch=part.epoch + 1,
            # What the lost owner had granted may still be in hands.
            takeovers=part.takeovers + (1 if part.vm else 0),
        )
        page = stored.page.with_part(mine, self.nonce())
        return self._book.put(vacancy.page, page, stored.revision)

    def _first_page(self) -> shares.Page:
        domains = {vm.failure_domain for vm in self._candidates("")}
        domains.add(self._own.failure_domain)
        parts = tuple(
            shares.Part(name, 1.0 / len(domains)) for name in sorted(domains)
        )
        return shares.Page(parts)

    def parts(self, number: int) -> tuple[shares.Part, ...]:
        """Returns a page's parts; makes its record if there is none.

        Returns:
            Nothing if there is no record and none can be written.
        """
        if self._book.get(number) is None:
            page = self._first_page()._replace(nonce=self.nonce())
            self._book.put(number, page, 0)
        stored = self._book.get(number)
        return () if stored is None else stored.page.parts

    def nonce(self) -> str:
        """Returns a name for one write."""
        return f"{self._incarnation}/{next(self._nonces)}"

    def is_gone(self, vm: str) -> bool:
        """Tells whether a VM was listed once and is not any more.

        It does not run then, and what still arrives from it is void. A VM
        too new for the lagging list was never seen there, and may run.
        """
        if self._membership.is_listed(vm):
            self._seen.add(vm)
            return False
        return vm in self._seen

    def sweep(self) -> None:
        """Takes back the credit of holders that are gone."""
        for vm in self._membership.entry_vms():
            self.is_gone(vm.vm)
        for owned in self.owned():
            stored = self._book.get(owned.page)
            if stored is not None:
                owned.sweep(self.is_gone, stored.page)

    def clear(self) -> None:
        """Asks all VMs to drop what lost owners granted."""
        for owned in self.owned():
            if owned.part.takeovers and self._all_dropped(owned):
                self._set_cleared(owned)

    def _all_dropped(self, owned: owner.OwnedPart) -> bool:
        part = owned.part
        key = (owned.page, part.failure_domain)
        drop = credit.CreditDrop(owned.page, part.failure_domain, part.epoch)
        names = [vm.vm for vm in self._membership.entry_vms()]
        # All are asked again in each round: one that was not clean, or is
        # lost during the round, may have lent on credit to one asked before.
        # The one that failed last goes first: the round is likely vain.
        names.sort(key=lambda vm: vm != self._unclean.get(key, ""))
        for vm in names:
            answer = self._peers.call(vm, drop, _DROP_TIMEOUT_S)
            if isinstance(answer, result.Err) or not answer.ok_value.is_clean:
                self._unclean[key] = vm
                return False
        return True

    def _set_cleared(self, owned: owner.OwnedPart) -> None:
        stored = self._book.get(owned.page)
        part = owned.part
        if stored is None or stored.page.part(part.failure_domain) != part:
            return
        cleared = part._replace(takeovers=0)
        page = stored.page.with_part(cleared, self.nonce())
        self._book.put(owned.page, page, stored.revision)

    def close(self) -> None:
        """Hands all parts over to nobody in particular."""
        self._is_closed = True
        for owned in self.owned():
            is_empty = owned.close()
            stored = self._book.get(owned.page)
            if stored is None:
                continue
            part = owned.part
            free = part._replace(
                vm="",
                incarnation="",
                takeovers=part.takeovers + (0 if is_empty else 1),
            )
            page = stored.page.with_part(free, self.nonce())
            self._book.put(owned.page, page, stored.revision)
