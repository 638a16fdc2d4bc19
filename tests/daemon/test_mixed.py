"""Tests all faults together on the whole request path, against oracles.

Guards that each work alone can depend on each other when two faults occur at
once or one occurs twice: a domain is cut off during an outage of the
platform, a VM is lost while it serves bookings, clients send them again to
other VMs, a key is withdrawn and a batch job runs. The test fails if a booking
runs twice, a client gets the answer to another request, a withdrawn key works
again, more is admitted than the customer's row allows, or a batch item never
completes.

Trials on scratch copies, each with one guard removed, gave these results.

The test failed without:
- the claim of an intent before sending ("a booking ran twice");
- the compare-and-swap of that claim (the same);
- the rule that only idempotent calls are retried (the same);
- "unknown" as a final outcome (VMs disagree);
- the end of open answers, or the refusal, of a withdrawn key;
- the leaving mark of upstreams ("a leaving upstream got a request");
- the removal of lent tokens from the owner's bucket ("admitted over the row");
- the rule that only later revisions are applied.

Depending on the seeds, it failed without:
- the record of whether earlier attempts ran;
- quarantine;
- new copies after the loss of a disk;
- the return of stalled chunks;
- the rule that a message about credit is applied only once.

It never failed without:
- the base of a change;
- the epoch of credit;
- the voiding of credit after a drop;
- the reports of holders;
- the room kept for a lost owner's credit;
- the revision of an older claim;
- the list of VMs that are asked before an intent is given up.
"""

from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import pageedits
from daemon import test_batchmachine
from support import machines
from support import mixedchecks
from support import mixedclients
from support import mixedfleet
from support import mixedupstreams
from support import mixedvm

CUSTOMERS = test_batchmachine.KEYS
IN_FLIGHT_ACTIONS = ("lose", "resend", "withdraw", "outage")
OCCURRENCES = st.sampled_from((*IN_FLIGHT_ACTIONS, *mixedupstreams.FAULTS))
RECOVERY_PERIOD_STEPS = 16
VMS = test_batchmachine.VMS
customers = st.sampled_from(CUSTOMERS)
variants = st.sampled_from(test_batchmachine.VARIANTS)
# Half of the draws cut off no domain.
domains = st.sampled_from(("", "", "", "d0", "d1", "d2"))
counts = st.integers(0, 2)


class MixedMachine(test_batchmachine.BatchMachine):
    """Adds online requests, operators' edits and more faults to batch jobs."""

    refused = (401, 429, 503)

    def __init__(self) -> None:
        self.bookings = [
            mixedclients.Booking(customer, key)
            for customer in CUSTOMERS
            for key in ("b1", "b2")
        ]
        self.steps = 0
        self.withdrawn_s: dict[str, float] = {}
        self.revisions: dict[Any, tuple[int, ...]] = {}
        super().__init__()
        self.clients = mixedclients.Clients(self.fleet)
        self.fleet.run(5)

    def make_fleet(self, patch: pytest.MonkeyPatch) -> mixedfleet.Fleet:
        mixedvm.make_deterministic(patch)
        rows = tuple(
            records.Customer(name, rate_per_s=20.0, burst=30.0)
            for name in CUSTOMERS
        )
        fleet = mixedfleet.Fleet(rows)
        fleet.store_pages(rows)
        return fleet

    def is_connected(self) -> bool:
        """Whether all VMs reach each other and the platform."""
        vms = self.fleet.vms.values()
        is_cut = self.fleet.cut_domains or any(vm.platform.is_cut for vm in vms)
        return not (is_cut or self.fleet.net.paused)

    def is_well(self) -> bool:
        net = self.fleet.net
        is_lossy = net.lose_next_answers or net.lose_next_messages
        is_late = net.delay_next_messages
        return (
            super().is_well()
            and self.is_connected()
            and not (is_lossy or is_late)
        )

    # Online client actions.

    @stateful.rule(
        number=VMS,
        index=st.integers(0, 3),
        is_keyed=st.sampled_from((True, True, False)),
        variant=variants,
        is_first=st.booleans(),
    )
    def book(
        self,
        number: int,
        index: int,
        is_keyed: bool,
        variant: str,
        is_first: bool,
    ) -> None:
        vm, booking = self.awake(number), self.bookings[index]
        if vm is None:
            return
        if not is_keyed:
            booking = mixedclients.Booking(booking.customer, "")
        secret = self.fleet.secrets_of(booking.customer)[0 if is_first else -1]
        self.clients.book(vm, secret, booking, variant)

    @stateful.precondition(lambda self: self.clients.open_answers)
    @stateful.rule(index=st.integers(0, 9))
    def finish(self, index: int) -> None:
        opened = self.clients.open_answers[
            index % len(self.clients.open_answers)
        ]
        if opened.vm in self.fleet.awake():
            self.clients.finish(opened)

    @stateful.rule(
        number=VMS,
        customer=customers,
        words=st.sampled_from(("hello", "hello", "poison")),
    )
    def complete(self, number: int, customer: str, words: str) -> None:
        vm, text = self.awake(number), f"{customer} {words}"
        if vm is None:
            return
        self.clients.complete(vm, customer, text)

    @stateful.rule(customer=customers, count=st.sampled_from((3, 30)))
    def demand(self, customer: str, count: int) -> None:
        """Takes tokens like requests that are counted and then refused."""
        for vm in self.fleet.awake():
            for _ in range(count):
                vm.counted_limits.take(customer)

    @stateful.rule(number=VMS, key=customers)
    def look(self, number: int, key: str) -> None:
        vm, secret = self.awake(number), self.fleet.secrets_of(key)[-1]
        # A new key takes time to be in force on all VMs.
        if vm is not None and vm.config.authenticate(secret).is_ok():
            super().look(number, key)

    # Operator actions.

    @stateful.rule(
        number=VMS,
        customer=customers,
        rate_per_s=st.sampled_from((2.0, 20.0)),
        burst=st.sampled_from((6.0, 30.0)),
    )
    def change_row(
        self, number: int, customer: str, rate_per_s: float, burst: float
    ) -> None:
        vm = self.awake(number)
        if vm is None:
            return
        row = records.Customer(customer, rate_per_s=rate_per_s, burst=burst)
        self.fleet.edit(vm, customer, pageedits.put_customer(row, None))

    @stateful.rule(number=VMS, customer=customers)
    def withdraw(self, number: int, customer: str) -> None:
        vm, old = self.awake(number), self.fleet.secrets_of(customer)[-1]
        if vm is None:
            return
        added = pageedits.add_key(self.fleet.new_key(customer))
        if self.fleet.edit(vm, customer, added) != "ok":
            self.fleet.customers_by_key.popitem()
            return
        withdrawn = pageedits.withdraw_key(config.hash_key(old))
        if self.fleet.edit(vm, customer, withdrawn) == "ok":
            self.withdrawn_s[old] = self.fleet.world.now_s

    # Faults, in addition to those of `BatchMachine`.

    @stateful.rule()
    def thaw(self) -> None:
        for name in list(self.fleet.net.paused):
            self.fleet.net.resume(name)

    @stateful.rule(number=VMS)
    def lose(self, number: int) -> None:
        super().lose(number)
        self.clients.drop_lost()

    @stateful.rule(number=VMS)
    def leave(self, number: int) -> None:
        vm = self.awake(number)
        if vm is None or vm.platform.is_cut:
            return
        for opened in [
            one for one in self.clients.open_answers if one.vm is vm
        ]:
            self.clients.finish(opened)
        super().leave(number)

    @stateful.rule()
    def unlist_dead(self) -> None:
        self.fleet.unlist_dead()

    @stateful.precondition(lambda self: self.is_connected())
    @stateful.rule()
    def repair(self) -> None:
        # A repair that loses messages would be incomplete, but the machine may
        # lose another disk right after it.
        self.lose_messages(0, 0, 0)
        super().repair()

    @stateful.rule(has_outage=st.sampled_from((False, False, True)))
    def outage(self, has_outage: bool) -> None:
        super().outage(has_outage)

    @stateful.rule(domain=domains, from_peers=st.booleans())
    def cut(self, domain: str, from_peers: bool) -> None:
        """Cuts off at most one domain, from the others or from the platform."""
        if from_peers:
            # The empty domain is for none, after which all is healthy.
            self.fleet.cut_domains = {domain} if domain else set()
            return
        for vm in self.fleet.vms.values():
            vm.platform.is_cut = vm.row.failure_domain == domain

    @stateful.invariant()
    def recover(self) -> None:
        """Ends all faults regularly, as little work gets done under them."""
        self.steps += 1
        if self.steps % RECOVERY_PERIOD_STEPS == 0:
            self.heal()
            self.fleet.run(5)

    @stateful.rule(answers=counts, messages=counts, late=counts)
    def lose_messages(self, answers: int, messages: int, late: int) -> None:
        self.fleet.net.lose_next_answers = answers
        self.fleet.net.lose_next_messages = messages
        self.fleet.net.delay_next_messages = late

    @stateful.precondition(lambda self: self.fleet.net.delayed)
    @stateful.rule()
    def deliver_late(self) -> None:
        self.fleet.net.deliver_late()

    @stateful.rule(vm=st.sampled_from(("up0", "up1")))
    def toggle_leaving(self, vm: str) -> None:
        self.fleet.upstreams.leaving ^= {vm}

    @stateful.rule(
        occurrence=OCCURRENCES,
        number=VMS,
        index=st.integers(0, 3),
        is_write=st.booleans(),
    )
    def inject_in_flight(
        self, occurrence: str, number: int, index: int, is_write: bool
    ) -> None:
        """Makes something happen during the next write or upstream request."""
        booking = self.bookings[index]
        if occurrence not in IN_FLIGHT_ACTIONS:
            self.fleet.upstreams.faults = [occurrence]
            return

        def act() -> None:
            if occurrence == "lose":
                self.lose_active()
            elif occurrence == "resend":
                self.resend(number, booking)
            elif occurrence == "withdraw":
                self.withdraw(number, booking.customer)
            else:
                self.fleet.keyvalue.has_outage = True

        service = self.fleet.keyvalue if is_write else self.fleet.upstreams
        service.in_flight_action = act

    @stateful.rule(
        occurrence=OCCURRENCES,
        numbers=st.permutations(range(4)),
        index=st.integers(0, 3),
        is_write=st.booleans(),
    )
    def book_and_inject(
        self, occurrence: str, numbers: list[int], index: int, is_write: bool
    ) -> None:
        self.inject_in_flight(occurrence, numbers[0], index, is_write)
        self.book(numbers[1], index, True, "a", False)

    def resend(self, number: int, other: mixedclients.Booking) -> None:
        """Sends the last booking again, or `other` if that one has no key."""
        vm, booking = self.awake(number), self.clients.last_booking
        if booking is None or not booking.key:
            booking = other
        if vm is not None:
            secret = self.fleet.secrets_of(booking.customer)[-1]
            self.clients.book(vm, secret, booking, "a")

    def lose_active(self) -> None:
        """Loses the active VM in the middle of its call."""
        vm = self.fleet.active
        if vm is None:
            return
        self.lose(self.names.index(vm.name))
        if vm.name not in self.fleet.vms:
            raise mixedupstreams.VmLostError

    @stateful.rule(number=VMS, items=st.integers(0, 4))
    def work(self, number: int, items: int) -> None:
        vm = self.awake(number)
        if vm is not None:
            vm.worker.ask()
            self.fleet.run_unless_lost(vm, lambda: vm.run_items(items))

    # Invariants.

    @stateful.invariant()
    def check_always(self) -> None:
        assert not self.fleet.upstreams.problems
        prompts = self.fleet.upstreams.prompts
        for booking in self.bookings:
            texts = {booking.text(v) for v in test_batchmachine.VARIANTS}
            runs = sum(text in texts for text in prompts)
            assert runs <= 1, "a booking ran twice"
        for vm in self.fleet.vms.values():
            held = vm.config.revisions()
            before = self.revisions.get(vm, held)
            assert all(a <= b for a, b in zip(before, held, strict=True))
            self.revisions[vm] = held
            mixedchecks.check_withdrawn(self.fleet, vm, self.withdrawn_s)

    # Final checks.

    def teardown(self) -> None:
        self.heal()
        self.fleet.run(60)
        for opened in list(self.clients.open_answers):
            self.clients.finish(opened)
        for booking in self.bookings:
            mixedchecks.check_booking(self.fleet, self.clients, booking)
        mixedchecks.check_config(self.fleet, self.withdrawn_s)
        for customer in CUSTOMERS:
            mixedchecks.check_limits(self.fleet, customer)
        super().teardown()
        for vm in self.fleet.vms.values():
            vm.close()

    def heal(self) -> None:
        self.fleet.heal()
        self.thaw()
        self.deliver_late()
        self.fleet.run(2)
        self.repair()

    def check_line(self, prompt: str, line: Any) -> None:
        if "poison" not in prompt and not line["error"]:
            super().check_line(prompt, line)
            return
        assert line["error"]["code"] in ("upstream_failed", "quarantined")
        assert self.fleet.upstreams.breaks[prompt] > 1


TestMixed = MixedMachine.TestCase
TestMixed.settings = machines.settings(examples=40, steps=80)
