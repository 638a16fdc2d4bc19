"""Model test of the configuration under cuts, outages and lost answers.

Guards against an older page replacing a newer one, so that a withdrawn key
works again or a rate changes back. A VM can receive an old page from a slow
peer, in a late or duplicated message, on a restart during an outage or after
a lost answer.
"""

import random
from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import configsync
from bulrushdeald import pageeditor
from bulrushdeald import pageedits
from bulrushdeald import pages
from support import controlplane
from support import fakes
from support import machines
from support import platformfakes

VMS = ("a1", "a2", "b1", "b2")
# The first two customers are on the same page.
CUSTOMERS = ("customer-15", "customer-20", "customer-0")
PAGES = tuple(sorted({pages.customer_key(name) for name in CUSTOMERS}))
vms = st.sampled_from(VMS)
customers = st.sampled_from(CUSTOMERS)


class ConfigMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.store = platformfakes.Store()
        self.accepted_s: dict[tuple[str, int], float] = {}
        self.network = platformfakes.Network()
        self.clock = clock_lib.FakeClock()
        self.rows = [records.Vm(vm, vm[0], "entry", "x:1") for vm in VMS]
        self.clients = {vm: platformfakes.StoreClient(self.store) for vm in VMS}
        # The model holds the results that operators received: the possible
        # rates of each customer, `None` for no row. There are several after
        # an edit whose outcome is unknown.
        self.rates: dict[str, set[float | None]] = {
            name: {None} for name in CUSTOMERS
        }
        self.secrets: list[tuple[str, str]] = []
        self.withdrawn: set[str] = set()
        self.maybe_withdrawn: set[str] = set()
        self.seen: dict[tuple[str, str], int] = {}
        self.configs: dict[str, config.ConfigService] = {}
        for vm in VMS:
            self.start_vm(vm)
            self.configs[vm].feed.read_all()

    def start_vm(self, vm: str) -> None:
        kernel = platformfakes.kernel(
            keyvalue=self.clients[vm],
            membership=platformfakes.FixedMembership(vm, self.rows),
            peers=fakes.Peers(self.network, vm),
        )
        settings = controlplane.settings("x:1", vm=vm, failure_domain=vm[0])
        service = config.ConfigService(
            kernel,
            settings,
            self.clock,
            random.Random(1),
            platformfakes.InlineExecutor(),
        )
        service.attach()
        self.configs[vm] = service
        for key in PAGES:
            self.seen.pop((vm, key), None)

    def edit(self, vm: str, customer: str, rewrite: pageeditor.Rewrite) -> Any:
        editor = pageeditor.Editor(self.clients[vm], self.configs[vm])
        return editor.edit(pages.customer_key(customer), rewrite)

    def kind(self, edited: Any) -> str:
        return "ok" if edited.is_ok() else edited.unwrap_err().kind

    @stateful.rule(vm=vms, customer=customers, rate=st.integers(1, 5))
    def change_rate(self, vm: str, customer: str, rate: int) -> None:
        row = records.Customer(customer, rate_per_s=float(rate))
        kind = self.kind(
            self.edit(vm, customer, pageedits.put_customer(row, None))
        )
        if kind == "ok":
            self.rates[customer] = {row.rate_per_s}
        elif kind == "unknown":
            self.rates[customer] |= {row.rate_per_s}

    @stateful.rule(vm=vms, customer=customers)
    def add_key(self, vm: str, customer: str) -> None:
        secret = f"secret-{len(self.secrets)}"
        row = records.Key(config.hash_key(secret), customer, "")
        if self.kind(self.edit(vm, customer, pageedits.add_key(row))) == "ok":
            self.secrets.append((secret, customer))

    @stateful.precondition(lambda self: self.secrets)
    @stateful.rule(vm=vms, data=st.data())
    def withdraw(self, vm: str, data: Any) -> None:
        secret, customer = data.draw(st.sampled_from(self.secrets))
        rewrite = pageedits.withdraw_key(config.hash_key(secret))
        kind = self.kind(self.edit(vm, customer, rewrite))
        if kind == "ok":
            self.withdrawn.add(secret)
        elif kind == "unknown":
            self.maybe_withdrawn.add(secret)

    @stateful.rule(vm=vms, has_effect=st.booleans())
    def lose_next_answer(self, vm: str, has_effect: bool) -> None:
        self.clients[vm].next_is_lost = has_effect

    @stateful.rule(vm=vms, is_cut=st.booleans())
    def cut_from_platform(self, vm: str, is_cut: bool) -> None:
        self.clients[vm].is_cut = is_cut

    @stateful.rule(is_down=st.booleans())
    def outage(self, is_down: bool) -> None:
        self.store.is_down = is_down

    @stateful.rule(one=vms, other=vms)
    def toggle_cut(self, one: str, other: str) -> None:
        self.network.cuts ^= {frozenset((one, other))}

    @stateful.rule()
    def toggle_holding_of_pushes(self) -> None:
        holds = self.network.holds
        self.network.holds = () if holds else (configsync.PushChanges,)

    @stateful.precondition(lambda self: self.network.held)
    @stateful.rule(data=st.data(), again=st.booleans())
    def deliver_late(self, data: Any, again: bool) -> None:
        held = self.network.held
        index = data.draw(st.integers(0, len(held) - 1))
        self.network.deliver(*(held[index] if again else held.pop(index)))

    @stateful.rule(vm=vms)
    def watch(self, vm: str) -> None:
        self.configs[vm].watch(0.0)

    @stateful.rule(vm=vms, other=vms)
    def compare(self, vm: str, other: str) -> None:
        self.configs[vm].gossip.compare(other)

    @stateful.precondition(lambda self: self.store.history)
    @stateful.rule(vm=vms, data=st.data())
    def offer_an_old_page(self, vm: str, data: Any) -> None:
        """Offers a page that was stored some time ago."""
        key, revision = data.draw(st.sampled_from(sorted(self.store.history)))
        page = pages.decode(self.store.history[key, revision])
        self.configs[vm].put_written_page(key, revision, page)

    @stateful.rule(vm=vms)
    def restart(self, vm: str) -> None:
        self.start_vm(vm)
        service = self.configs[vm]
        if service.feed.read_all() or not service.gossip.compare_with_many():
            return
        # Without the platform each page is at least as new as at any peer that
        # this VM can reach.
        for other in VMS:
            if self.network.is_cut(vm, other) or other == vm:
                continue
            peer_revisions = self.configs[other].revisions()
            assert all(
                here >= held
                for here, held in zip(
                    service.revisions(), peer_revisions, strict=True
                )
            )

    @stateful.invariant()
    def pages_were_stored_and_never_revert(self) -> None:
        for vm, service in self.configs.items():
            for key in PAGES:
                held = service.page(key)
                assert held is not None
                assert held.revision >= self.seen.get((vm, key), 0)
                self.seen[vm, key] = held.revision
                if held.revision:
                    stored = self.store.history[key, held.revision]
                    assert held.page == pages.decode(stored)

    @stateful.invariant()
    def confirmed_changes_are_in_force(self) -> None:
        self.clock.now_s += 1.0
        for key, revision in self.store.history:
            at_s = self.accepted_s.setdefault((key, revision), self.clock.now_s)
            for service in self.configs.values():
                held = service.page(key)
                assert held is not None
                age_s = service.gossip.age_s()
                if age_s >= 0 and at_s <= self.clock.now_s - age_s:
                    assert held.revision >= revision

    @stateful.invariant()
    def lookups_follow_the_pages(self) -> None:
        for service in self.configs.values():
            for secret, customer in self.secrets:
                held = service.page(pages.customer_key(customer))
                assert held is not None
                live = {k.key_hash for k in held.page.keys if not k.withdrawn}
                is_ok = service.authenticate(secret).is_ok()
                is_live = config.hash_key(secret) in live
                assert is_ok == (is_live and service.is_ready())

    def teardown(self) -> None:
        self.store.is_down = False
        self.network.cuts.clear()
        self.network.holds = ()
        for vm in VMS:
            self.clients[vm].is_cut = False
        # One VM reads from the platform; the others compare with it only.
        first = self.configs["a1"]
        if first.feed.has_read_all:
            assert first.watch(0.0)
        else:
            assert first.feed.read_all()
        for vm in ("a2", "b1", "b2"):
            assert self.configs[vm].gossip.compare("a1")
        stored = self.store.revisions()
        for vm, service in self.configs.items():
            for key in PAGES:
                held = service.page(key)
                assert held is not None
                assert held.revision == stored.get(key, 0), (vm, key)
            for name, rates in self.rates.items():
                row = service.customer(name)
                assert (row.rate_per_s if row else None) in rates
            for secret, _ in self.secrets:
                is_ok = service.authenticate(secret).is_ok()
                if secret in self.withdrawn:
                    assert not is_ok
                elif secret not in self.maybe_withdrawn and service.is_ready():
                    assert is_ok


ConfigMachineTest = ConfigMachine.TestCase
ConfigMachineTest.settings = machines.settings(examples=150, steps=30)
