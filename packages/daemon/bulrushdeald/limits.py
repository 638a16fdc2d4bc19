"""Enforces each customer's rate and burst over all VMs, by escrow.

Customers are grouped into pages by hash. Each page is split into one part
per failure domain, and each part has one owner VM, which grants the part's
tokens as credit to the VMs (holders) that ask for it. A token moves only
after its donor has given it up, and no grant expires: a network partition,
a paused VM or a lost answer can only leave tokens unused, never admit
requests above the limit. See docs/design/limits.md.
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
from bulrushdeal import threads
from bulrushdeald import admission
from bulrushdeald import collector
from bulrushdeald import credit
from bulrushdeald import creditclient
from bulrushdeald import creditholder
from bulrushdeald import defaults
from bulrushdeald import limitrecordfetch
from bulrushdeald import limitrecords
from bulrushdeald import limitrecordstore
from bulrushdeald import ownership
from bulrushdeald import pagerows
from bulrushdeald import rebalance
from bulrushdeald import services

_log = logs.Log("limits")

MAINTENANCE_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 0.1
_WATCH_TIMEOUT_S = 20.0
# Every VM watches the records, and each change ends all watches. The pause
# before the next watch grows with the number of VMs, so that all VMs together
# make at most this many calls per second, however often records change.
_MAX_WATCHES_PER_S = 100.0
_MIN_WATCH_PAUSE_S = 0.5
_WATCH_RETRY_S = 1.0
_PEER_QUERY_INTERVAL_S = 0.3
# How often the maintenance thread checks whether the records have been read
# for the first time; a check only reads a flag.
_LOAD_POLL_S = 0.05
# A starting VM reports ready after this time even if some part of its failure
# domain has no owner yet: the platform may be unavailable.
_READY_TIMEOUT_S = 5.0


class DumpedPart(NamedTuple):
    """State of one owned part, as written to the dump.

    Attributes:
        page: The page number.
        part: The part as stored in the page's record.
        customers: For each customer the tokens in the part's bucket, the
            tokens lent and the tokens borrowed.
    """

    page: int
    part: limitrecords.Part
    customers: dict[str, tuple[float, float, float]]


class Dump(NamedTuple):
    """The state of the limits on one VM.

    Attributes:
        owned: The parts that this VM owns.
        in_hand: Credit that this VM holds, in tokens by customer.
        pages: Number of pages whose record this VM has read.
    """

    owned: tuple[DumpedPart, ...]
    in_hand: dict[str, float]
    pages: int


class EscrowLimits:
    """The service `limits`.

    It depends on the services keyvalue, membership, peers and config.
    """

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
        self._collection_due = threading.Event()
        self._is_ready = False
        self._ready_by_s: float | None = None

    def attach(self) -> None:
        """Connects to the other services without starting any threads."""
        kernel = self._kernel
        keyvalue = kernel.find(services.KEYVALUE, services.KeyValue)
        members = kernel.find(services.MEMBERSHIP, services.Membership)
        peers = kernel.find(services.PEERS, services.Peers)
        self._config = kernel.find(services.CONFIG, services.Config)
        clock = self._clock
        self._members = members
        self._book = limitrecordstore.ShareBook(keyvalue)
        self._feed = limitrecordfetch.ShareFeed(self._book, peers, members)
        sender = creditclient.Sender(peers, clock, members.incarnation())
        self._holder = creditholder.Holder(
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
            self._config.initial_tokens,
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
        peers.register_answers(credit.CreditGrants, credit.CreditDropped)
        peers.register_handler(credit.CreditAsk, self._on_ask)
        peers.register_handler(credit.CreditDrop, self._on_drop)
        self._config.on_change(self._on_rows_changed)

    def start(self) -> None:
        """Attaches the service and starts its threads."""
        self.attach()
        self._start_thread("limits-watch", self._watch)
        self._start_thread("limits-feed", self._query_peers_until_loaded)
        self._start_thread("limits-tend", self._maintenance_loop)
        self._start_thread("limits-report", self._report_loop)
        self._start_thread("limits-collect", self._collect_loop)

    def _start_thread(self, name: str, target: Callable[[], None]) -> None:
        self._threads.append(threads.start(target, name))

    def stop(self, grace_s: float) -> None:
        """Returns all credit and gives up the parts that this VM owns."""
        del grace_s
        self._stopping.set()
        self._collection_due.set()
        self._holder.close()
        self._ownership.close()

    def dump(self) -> Any:
        """Returns the owned parts and the credit held, as a `Dump`."""
        owned = tuple(
            DumpedPart(part.page, part.part, dict(part.totals()))
            for part in self._ownership.owned()
        )
        pages = sum(
            self._book.get(number) is not None
            for number in range(limitrecords.PAGES)
        )
        return Dump(owned, self._holder.dump(), pages)

    def initial_tokens(
        self, row: records.Customer
    ) -> records.InitialTokens | None:
        """See `services.Limits`."""
        parts = self._ownership.parts_or_create(
            limitrecords.page_of(row.customer)
        )
        if not parts:
            return None
        # The next owner of a part without one has the next epoch, and only
        # that epoch may fill the part's bucket.
        initial_parts = tuple(
            records.InitialTokensPart(
                part.failure_domain,
                part.epoch if part.vm else part.epoch + 1,
                part.fraction,
            )
            for part in parts
        )
        return records.InitialTokens(
            row.customer, row.burst, self._clock.wall_s(), initial_parts
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
        if any(grant.retry_after_s > 0 for grant in grants.grants):
            self._collection_due.set()
        return grants

    def _on_drop(
        self, vm: str, drop: credit.CreditDrop
    ) -> credit.CreditDropped:
        del vm
        self._holder.drop_page(drop.page)
        is_clean = True
        for owned in self._ownership.owned_parts_of_page(drop.page):
            if not owned.write_off(drop.failure_domain, drop.epoch):
                is_clean = False
        return credit.CreditDropped(is_clean)

    def _on_rows_changed(self) -> None:
        self._holder.apply_rows()
        self._rows.reload(self._ownership.owned)

    def refresh(self) -> None:
        """Reads the records now and takes on the parts assigned to this VM.

        If the platform does not answer and no record is known, the records
        are requested from peers.
        """
        if not self._book.refresh() and self._book.is_empty():
            self._feed.fetch()
        self._ownership.apply_records()

    def run_maintenance(self) -> None:
        """Runs one pass of the periodic maintenance, due each second.

        Claims vacant parts, reclaims credit of lost holders, settles debts,
        rebalances fractions, returns idle credit, and asks all VMs to drop
        the credit of lost owners.
        """
        self._ownership.apply_records()
        self._ownership.claim()
        self._ownership.apply_records()
        self._ownership.sweep()
        for owned in self._ownership.owned():
            self._collector.settle(owned)
            self._rebalancer.move(owned)
        self._holder.announce(self._domain)
        self._holder.report(only_prompt=False)
        self._ownership.clear_takeovers()
        self._ownership.apply_records()

    def run_urgent_tasks(self) -> None:
        """Collects tokens for short parts, then runs the urgent tasks."""
        for owned in self._ownership.owned():
            self._collector.collect(owned)
        self._balance_and_report()

    def _balance_and_report(self) -> None:
        """Balances low buckets, repays loans and sends early reports."""
        for owned in self._ownership.owned():
            self._collector.balance(owned)
            if owned.has_repayable_debt():
                # Until the loan is repaid, the lender can grant that much
                # less to others.
                self._collector.settle(owned)
        self._holder.report(only_prompt=True)

    def _query_peers_until_loaded(self) -> None:
        """Queries peers for the records until some record is known.

        This runs in parallel with reading them from the platform, because
        an outage of the platform shows only after calls time out.
        """
        while self._book.is_empty() and not self._stopping.is_set():
            self._feed.fetch()
            self._stopping.wait(_PEER_QUERY_INTERVAL_S)

    def is_ready(self) -> bool:
        """See `services.Limits`.

        Once ready, the VM stays ready: an owner that is lost later is
        replaced, and leaving the load balancer until then would not help any
        caller.
        """
        if self._is_ready or self._book.is_empty():
            return self._is_ready
        now_s = self._clock.monotonic_s()
        if self._ready_by_s is None:
            self._ready_by_s = now_s + _READY_TIMEOUT_S
        # While a fleet starts, a VM whose failure domain has a part without
        # an owner would refuse its first callers. Each part gets an owner
        # within one or two seconds unless the platform is unavailable; in
        # that case the VM takes tokens from other failure domains' parts.
        self._is_ready = (
            self._book.is_owned(self._domain) or now_s >= self._ready_by_s
        )
        return self._is_ready

    def _watch(self) -> None:
        while not self._stopping.is_set():
            pause_s = _watch_pause_s(len(self._members.entry_vms()))
            if not self._book.watch(_WATCH_TIMEOUT_S):
                pause_s = max(pause_s, _WATCH_RETRY_S)
            self._stopping.wait(pause_s)

    def _maintenance_loop(self) -> None:
        polls_left = int(MAINTENANCE_INTERVAL_S / _LOAD_POLL_S)
        while polls_left and not self._book.is_loaded:
            self._stopping.wait(_LOAD_POLL_S)
            polls_left -= 1
        while not self._stopping.is_set():
            self._run_guarded(self.run_maintenance)
            self._stopping.wait(MAINTENANCE_INTERVAL_S)

    def _report_loop(self) -> None:
        while not self._stopping.wait(REPORT_INTERVAL_S):
            self._run_guarded(self._balance_and_report)

    def _collect_loop(self) -> None:
        while not self._stopping.is_set():
            self._collection_due.wait()
            self._collection_due.clear()
            for owned in self._ownership.owned():
                self._run_guarded(
                    functools.partial(self._collector.collect, owned)
                )

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:  # noqa: BLE001 - the thread must continue.
            _log.exception("A step failed; it is tried again.")


def _watch_pause_s(vms: int) -> float:
    return max(_MIN_WATCH_PAUSE_S, vms / _MAX_WATCHES_PER_S)
