"""Claims, takes over, releases and clears the parts that this VM owns."""

import functools
import itertools
import threading
from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import credit
from bulrushdeald import limitrecords
from bulrushdeald import limitrecordstore
from bulrushdeald import ownedpart
from bulrushdeald import pagerows
from bulrushdeald import services

_log = logs.Log("limits")

# An owner counts as gone after it has been missing from the list of VMs for
# this long, since the lists of different VMs may be a few polls apart.
MISSING_S = 6.0
# How much later each further candidate claims a part that is still vacant.
CLAIM_STEP_S = 2.0
_DROP_TIMEOUT_S = 0.5
_CLAIM_TRIES = 4


class Vacancy(NamedTuple):
    """A part that has no running owner, and its page."""

    page: int
    part: limitrecords.Part


class Ownership:
    """Keeps the parts this VM owns in line with the records.

    It claims parts without a running owner, by the platform's list of VMs.
    """

    def __init__(
        self,
        book: limitrecordstore.ShareBook,
        membership: services.Membership,
        peers: services.Peers,
        clock: clock_lib.Clock,
        rows: pagerows.PageRows,
        initial_tokens_of: ownedpart.InitialTokensOf,
    ) -> None:
        self._book = book
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._rows = rows
        self._initial_tokens_of = initial_tokens_of
        self._own = membership.own_vm()
        self._incarnation = membership.incarnation()
        self._nonces = itertools.count(1)
        self._lock = threading.Lock()
        self._owned: dict[tuple[int, str], ownedpart.OwnedPart] = {}
        self._vacant_since_s: dict[Vacancy, float] = {}
        self._ever_listed: set[str] = set()
        self._last_unclean_vm: dict[tuple[int, str], str] = {}
        self._is_closed = False
        self._logged_part_count = 0
        # Each failure domain claims pages from a different first page, so
        # that domains that start together seldom write the same record.
        first = limitrecords.page_of(self._own.failure_domain)
        pages = list(range(limitrecords.PAGES))
        self._page_order = pages[first:] + pages[:first]

    @property
    def failure_domain(self) -> str:
        """The failure domain of this VM."""
        return self._own.failure_domain

    def owned(self) -> tuple[ownedpart.OwnedPart, ...]:
        """Returns the parts that this VM owns."""
        with self._lock:
            return tuple(self._owned.values())

    def find(
        self, page: int, failure_domain: str
    ) -> ownedpart.OwnedPart | None:
        """Returns a part if this VM owns it."""
        with self._lock:
            return self._owned.get((page, failure_domain))

    def owned_parts_of_page(self, page: int) -> list[ownedpart.OwnedPart]:
        """Returns this VM's parts of a page."""
        return [owned for owned in self.owned() if owned.page == page]

    def apply_records(self) -> None:
        """Makes this VM own exactly the parts that the records give it."""
        if self._is_closed:
            return
        for number in range(limitrecords.PAGES):
            stored = self._book.get(number)
            for part in stored.page.parts if stored else ():
                self._apply_record(number, part)
        parts = len(self.owned())
        if parts != self._logged_part_count:
            self._logged_part_count = parts
            _log.info("Owns %d parts.", parts)

    def _apply_record(self, number: int, part: limitrecords.Part) -> None:
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
            owned = ownedpart.OwnedPart(
                number, part, self._clock, self._initial_tokens_of
            )
            self._rows.add_part(
                owned, functools.partial(self._add_owned, owned)
            )
        elif owned.part != part:
            owned.apply_part(part)

    def _add_owned(self, owned: ownedpart.OwnedPart) -> None:
        part = owned.part
        with self._lock:
            self._owned[(owned.page, part.failure_domain)] = owned

    def claim(self) -> None:
        """Claims vacant parts, and creates the records that are missing."""
        if not self._book.is_loaded or self._is_closed:
            return
        waiting: set[Vacancy] = set()
        for number in self._page_order:
            for vacancy in self._vacancies(number):
                waiting.add(vacancy)
                if self._is_due(vacancy):
                    self._claim_with_retries(vacancy)
        for vacancy in set(self._vacant_since_s) - waiting:
            del self._vacant_since_s[vacancy]

    def _claim_with_retries(self, vacancy: Vacancy) -> None:
        # When a fleet starts, another failure domain's claim on the same page
        # may win the write. Waiting for the next round (1 s) after each lost
        # write would leave a part without an owner for as many seconds as
        # there are failure domains.
        for _ in range(_CLAIM_TRIES):
            if self._write_claim(vacancy) != "no":
                return
            if vacancy not in self._vacancies(vacancy.page):
                return

    def _vacancies(self, number: int) -> list[Vacancy]:
        parts = self._record_or_first(number).page.parts
        own = self._own.failure_domain
        if all(part.failure_domain != own for part in parts):
            # The part of a new failure domain starts with no fraction of
            # its own and borrows all its tokens.
            parts = (*parts, limitrecords.Part(own, 0.0))
        return [Vacancy(number, p) for p in parts if self._is_vacant(p)]

    def _record_or_first(self, number: int) -> limitrecordstore.StoredPage:
        return self._book.get(number) or limitrecordstore.StoredPage(
            self._first_page(), 0
        )

    def _is_vacant(self, part: limitrecords.Part) -> bool:
        if part.vm == self._own.vm:
            # This process has bound the VM's peer port exclusively, so any
            # earlier process of the VM is gone.
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
        since_s = self._vacant_since_s.setdefault(vacancy, now_s)
        part = vacancy.part
        if part.vm == self._own.vm:
            return True
        candidates = self._candidates(part.failure_domain)
        # VMs of other failure domains own the part of a domain without VMs.
        names = [vm.vm for vm in candidates or self._candidates("")]
        order = limitrecords.rank(
            f"{vacancy.page}/{part.failure_domain}", names
        )
        if self._own.vm not in order:
            return False
        delay_s = order.index(self._own.vm) * CLAIM_STEP_S
        if part.vm:
            delay_s += MISSING_S
        return now_s - since_s >= delay_s

    def _write_claim(self, vacancy: Vacancy) -> limitrecordstore.Written:
        stored = self._record_or_first(vacancy.page)
        part = vacancy.part
        name = part.failure_domain
        if (stored.page.part(name) or limitrecords.Part(name, 0.0)) != part:
            # The record or the list of VMs has changed since the part was
            # found vacant. Writing its old fraction beside the other parts'
            # new ones could make the fractions add up to more than 1.
            return "no"
        mine = part._replace(
            vm=self._own.vm,
            incarnation=self._incarnation,
            epoch=part.epoch + 1,
            # Holders may still have credit that the lost owner granted.
            takeovers=part.takeovers + (1 if part.vm else 0),
        )
        page = stored.page.with_part(mine, self.nonce())
        return self._book.put(vacancy.page, page, stored.revision)

    def _first_page(self) -> limitrecords.Page:
        domains = {vm.failure_domain for vm in self._candidates("")}
        domains.add(self._own.failure_domain)
        parts = tuple(
            limitrecords.Part(name, 1.0 / len(domains))
            for name in sorted(domains)
        )
        return limitrecords.Page(parts)

    def parts_or_create(self, number: int) -> tuple[limitrecords.Part, ...]:
        """Returns a page's parts; creates its record if there is none.

        Returns:
            The parts; empty if there is no record and none could be written.
        """
        if self._book.get(number) is None:
            page = self._first_page()._replace(nonce=self.nonce())
            self._book.put(number, page, 0)
        stored = self._book.get(number)
        return () if stored is None else stored.page.parts

    def nonce(self) -> str:
        """Returns a unique identifier for one write of a record."""
        return f"{self._incarnation}/{next(self._nonces)}"

    def is_gone(self, vm: str) -> bool:
        """Tells whether a VM was listed before and no longer is.

        Such a VM has stopped, and messages that still arrive from it are
        ignored. A VM that was never listed may be running: the list lags
        behind and may not contain it yet.
        """
        if self._membership.is_listed(vm):
            self._ever_listed.add(vm)
            return False
        return vm in self._ever_listed

    def sweep(self) -> None:
        """Stops counting the credit of holders that are gone."""
        for vm in self._membership.entry_vms():
            self.is_gone(vm.vm)
        for owned in self.owned():
            stored = self._book.get(owned.page)
            if stored is not None:
                owned.sweep(self.is_gone, stored.page)

    def clear_takeovers(self) -> None:
        """Asks all VMs to drop the credit that lost owners granted.

        Once all have, the part counts no takeovers and has its full capacity.
        """
        for owned in self.owned():
            if owned.part.takeovers and self._is_dropped_everywhere(owned):
                self._set_cleared(owned)

    def _is_dropped_everywhere(self, owned: ownedpart.OwnedPart) -> bool:
        part = owned.part
        key = (owned.page, part.failure_domain)
        drop = credit.CreditDrop(owned.page, part.failure_domain, part.epoch)
        names = [vm.vm for vm in self._membership.entry_vms()]
        # Every round asks all VMs again: one that still had such credit, or
        # is lost during the round, may have lent it on to one asked earlier.
        # The VM that failed the last round goes first, as it is the most
        # likely to fail this one.
        names.sort(key=lambda vm: vm != self._last_unclean_vm.get(key, ""))
        for vm in names:
            answer = self._peers.call(vm, drop, _DROP_TIMEOUT_S)
            if isinstance(answer, result.Err) or not answer.ok_value.is_clean:
                self._last_unclean_vm[key] = vm
                return False
        return True

    def _set_cleared(self, owned: ownedpart.OwnedPart) -> None:
        stored = self._book.get(owned.page)
        part = owned.part
        if stored is None or stored.page.part(part.failure_domain) != part:
            return
        cleared = part._replace(takeovers=0)
        page = stored.page.with_part(cleared, self.nonce())
        self._book.put(owned.page, page, stored.revision)

    def close(self) -> None:
        """Stops granting and marks all owned parts as vacant."""
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
