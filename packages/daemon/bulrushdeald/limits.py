"""Each customer's rate and burst over all VMs together, by escrow.

The tokens of a row are split between failure domains, and within one lent
to the VMs that ask. Tokens move only by their donor giving them up first,
and nothing lapses: a cut, a pause or a lost answer can only leave tokens
unused. See docs/design/limits.md.
"""

from collections.abc import Callable
import functools
import threading
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import admission
from bulrushdeald import asker
from bulrushdeald import collector
from bulrushdeald import credit
from bulrushdeald import defaults
from bulrushdeald import holder
from bulrushdeald import ownership
from bulrushdeald import pagerows
from bulrushdeald import rebalance
from bulrushdeald import services
from bulrushdeald import sharebook
from bulrushdeald import sharefeed
from bulrushdeald import shares

_log = logs.Log("limits")

TEND_S = 1.0
REPORT_S = 0.1
_WATCH_S = 20.0
# Every VM watches the records, and each change ends all watches. The pause
# before the next one grows with the fleet, so that all VMs together make at
# most this many calls a second, however often records change.
_WATCHES_PER_S = 100.0
_LEAST_PAUSE_S = 0.5
_RETRY_S = 1.0
_FEED_S = 0.3
# Until the records are read for the first time, each look costs nothing.
_FIRST_LOOK_S = 0.05
# A VM that starts says that it is ready without its part of each page, if
# nobody comes to own them in this time: the platform may be out.
_READY_S = 5.0


class DumpedPart(NamedTuple):
    """A part that this VM owns, for the dump.

    Attributes:
        page: The page.
        part: As the record says.
        customers: Level, lent and borrowed tokens by customer.
    """

    page: int
    part: shares.Part
    customers: dict[str, tuple[float, float, float]]


class Dump(NamedTuple):
    """The state of the limits on one VM.

    Attributes:
        owned: The parts that this VM owns.
        in_hand: Tokens in hand by customer.
        pages: Pages whose record is known.
    """

    owned: tuple[DumpedPart, ...]
    in_hand: dict[str, float]
    pages: int


class EscrowLimits:
    """The service `limits`; needs keyvalue, membership, peers and config."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._domain = settings.failure_domain
        self._clock = clock or clock_lib.SystemClock()
        self._threads: list[threading.Thread] = []
        self._stopping = threading.Event()
        self._short = threading.Event()
        self._is_ready = False
        self._ready_by_s: float | None = None

    def attach(self) -> None:
        """Finds the other services; `start` runs the threads as well."""
        kernel = self._kernel
        keyvalue = kernel.find(services.KEYVALUE, services.KeyValue)
        members = kernel.find(services.MEMBERSHIP, services.Membership)
        peers = kernel.find(services.PEERS, services.Peers)
        self._config = kernel.find(services.CONFIG, services.Config)
        clock = self._clock
        self._members = members
        self._book = sharebook.ShareBook(keyvalue)
        self._feed = sharefeed.ShareFeed(self._book, peers, members)
        sender = asker.Sender(peers, clock, members.incarnation())
        self._holder = holder.Holder(
            self._book, sender, clock, self._config.customer
        )
        self._collector = collector.Collector(self._book, sender)
        self._rows = pagerows.PageRows(self._config)
        self._ownership = ownership.Ownership(
            self._book,
            members,
            peers,
            clock,
            self._rows,
            self._config.opening,
        )
        self._admission = admission.Admission(
            self._config,
            self._book,
            self._holder,
            self._collector,
            self._ownership,
            clock,
        )
        self._rebalancer = rebalance.Rebalancer(
            self._book, clock, self._ownership.nonce
        )
        peers.understand(credit.CreditGrants, credit.CreditDropped)
        peers.handle(credit.CreditAsk, self._on_ask)
        peers.handle(credit.CreditDrop, self._on_drop)
        self._config.on_change(self._on_rows)

    def start(self) -> None:
        """Begins to follow the records and to own parts."""
        self.attach()
        self._run("limits-watch", self._watch)
        self._run("limits-feed", self._ask_until_known)
        self._run("limits-tend", self._tend_loop)
        self._run("limits-report", self._report_loop)
        self._run("limits-collect", self._collect_loop)

    def _run(self, name: str, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, name=name, daemon=True)
        thread.start()
        self._threads.append(thread)

    def stop(self, grace_s: float) -> None:
        """Gives back all credit and hands over what this VM owns."""
        del grace_s
        self._stopping.set()
        self._short.set()
        self._holder.close()
        self._ownership.close()

    def dump(self) -> Any:
        """Returns what this VM owns and has in hand."""
        owned = tuple(
            DumpedPart(part.page, part.part, dict(part.totals()))
            for part in self._ownership.owned()
        )
        pages = sum(
            self._book.get(number) is not None for number in range(shares.PAGES)
        )
        return Dump(owned, self._holder.dump(), pages)

    def opening(self, row: records.Customer) -> records.Opening | None:
        """See `services.Limits`."""
        parts = self._ownership.parts(shares.page_of(row.customer))
        if not parts:
            return None
        # A part without an owner is given by its next one.
        given = tuple(
            records.OpeningPart(
                part.failure_domain,
                part.epoch if part.vm else part.epoch + 1,
                part.fraction,
            )
            for part in parts
        )
        return records.Opening(
            row.customer, row.burst, self._clock.wall_s(), given
        )

    def take(
        self, customer: str, count: float = 1.0
    ) -> result.Result[None, services.Refusal]:
        """See `services.Limits`."""
        return self._admission.take(customer, count)

    def _on_ask(self, vm: str, ask: credit.CreditAsk) -> credit.CreditGrants:
        owned = self._ownership.find(ask.page, ask.failure_domain)
        if owned is None or self._ownership.is_gone(vm):
            return credit.CreditGrants(False)
        grants = owned.answer(vm, ask)
        if any(grant.again_s > 0 for grant in grants.grants):
            self._short.set()
        return grants

    def _on_drop(
        self, vm: str, drop: credit.CreditDrop
    ) -> credit.CreditDropped:
        del vm
        self._holder.drop_page(drop.page)
        is_clean = True
        for owned in self._ownership.of_page(drop.page):
            if not owned.void(drop.failure_domain, drop.epoch):
                is_clean = False
        return credit.CreditDropped(is_clean)

    def _on_rows(self) -> None:
        self._holder.rows_changed()
        self._rows.change(self._ownership.owned)

    def refresh(self) -> None:
        """Reads the records now."""
        if not self._book.refresh() and self._book.is_empty():
            self._feed.ask()
        self._ownership.adopt()

    def tend(self) -> None:
        """Does what is due about once a second."""
        self._ownership.adopt()
        self._ownership.claim()
        self._ownership.adopt()
        self._ownership.sweep()
        for owned in self._ownership.owned():
            self._collector.settle(owned)
            self._rebalancer.move(owned)
        self._holder.introduce(self._domain)
        self._holder.report(only_tight=False)
        self._ownership.clear()
        self._ownership.adopt()

    def work(self) -> None:
        """Does what is due at once: collections and urgent reports."""
        for owned in self._ownership.owned():
            self._collector.collect(owned)
        self._hurry()

    def _hurry(self) -> None:
        for owned in self._ownership.owned():
            self._collector.balance(owned)
            if owned.can_repay():
                # A loan keeps the lender from granting as much to others.
                self._collector.settle(owned)
        self._holder.report(only_tight=True)

    def _ask_until_known(self) -> None:
        """Asks peers beside the platform: an outage shows only by time-outs."""
        while self._book.is_empty() and not self._stopping.is_set():
            self._feed.ask()
            self._stopping.wait(_FEED_S)

    def is_ready(self) -> bool:
        """See `services.Limits`.

        Once ready it stays so: an owner that is lost later is replaced, and
        to leave the balancer meanwhile would help nobody.
        """
        if self._is_ready or self._book.is_empty():
            return self._is_ready
        now_s = self._clock.monotonic_s()
        if self._ready_by_s is None:
            self._ready_by_s = now_s + _READY_S
        # The failure: a fleet starts, and a VM that has no part to take from
        # refuses its first callers. Each part has an owner within a second
        # or two, unless the platform is out; then other parts have to do.
        self._is_ready = (
            self._book.is_owned(self._domain) or now_s >= self._ready_by_s
        )
        return self._is_ready

    def _watch(self) -> None:
        while not self._stopping.is_set():
            pause_s = _watch_pause_s(len(self._members.entry_vms()))
            if not self._book.follow(_WATCH_S):
                pause_s = max(pause_s, _RETRY_S)
            self._stopping.wait(pause_s)

    def _tend_loop(self) -> None:
        looks = int(TEND_S / _FIRST_LOOK_S)
        while looks and not self._book.is_loaded:
            self._stopping.wait(_FIRST_LOOK_S)
            looks -= 1
        while not self._stopping.is_set():
            self._guarded(self.tend)
            self._stopping.wait(TEND_S)

    def _report_loop(self) -> None:
        while not self._stopping.wait(REPORT_S):
            self._guarded(self._hurry)

    def _collect_loop(self) -> None:
        while not self._stopping.is_set():
            self._short.wait()
            self._short.clear()
            for owned in self._ownership.owned():
                self._guarded(functools.partial(self._collector.collect, owned))

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:  # noqa: BLE001 - the thread has to go on.
            _log.exception("A step failed; it is tried again.")


def _watch_pause_s(vms: int) -> float:
    return max(_LEAST_PAUSE_S, vms / _WATCHES_PER_S)
