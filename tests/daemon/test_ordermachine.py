"""Injects random faults into orders to engines.

`orderfakes.FakeEngine.carry_out` and `FakeCalls.send_order` assert that an
engine's state never reverts to an older order, that orders to an engine
without a check of fencing numbers do not overlap, that no model is dropped
while a row names it, and that no more engines fetch weights than allowed.
This module asserts that every accepted order ends, and that a row names only
models that its engine holds.
"""

from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st

from bulrushdeald import modelrecords
from support import orderfakes

ENGINES = 2
VMS = 3
engines = st.integers(0, ENGINES - 1).map(lambda number: f"e{number}")
vms = st.integers(0, VMS - 1)
ASKED: tuple[dict[str, Any], ...] = (
    {"action": "load", "model": "a", "version": "1"},
    {"action": "load", "model": "a", "version": "2"},
    {"action": "load", "model": "tuned", "base": "base"},
    {"action": "unload", "model": "a"},
    {"action": "unload", "model": "base"},
    {"action": "role", "role": "decode"},
    {"action": "role", "role": "mixed"},
)
SEND_OUTCOMES = (
    "",
    "late",
    "late",
    "lost_before",
    "lost_after",
    "busy",
    "refused",
)


class _Orders(stateful.RuleBasedStateMachine):
    checks_fencing = True
    # One timeout until the connection is closed and one in the engine. An
    # engine that checks fencing numbers may be reached at any time.
    max_delay_s = 2 * orderfakes.TIMEOUT_S

    def __init__(self) -> None:
        super().__init__()
        self.site = orderfakes.Site(self.checks_fencing, ENGINES, VMS)

    @stateful.rule(
        engine=engines,
        asked=st.sampled_from(ASKED),
        outcome=st.sampled_from(SEND_OUTCOMES),
        late=st.floats(0, 1),
        unlists_sender=st.booleans(),
    )
    def accept(
        self,
        engine: str,
        asked: dict[str, Any],
        outcome: orderfakes.SendOutcome,
        late: float,
        unlists_sender: bool,
    ) -> None:
        record = self.site.record(engine)
        if sum(order.is_open for order in record.orders) < 4:
            self.site.accept(engine, **asked)
        self.site.engines[engine].outcome = outcome
        self.site.engines[engine].delay_s = late * self.max_delay_s
        self.site.engines[engine].unlists_sender = unlists_sender

    @stateful.rule(seconds=st.sampled_from((1, 4, 15, 40, 100)))
    def go_on(self, seconds: int) -> None:
        self.site.run(seconds)

    @stateful.rule(
        engine=engines,
        moments=st.integers(0, 14),
        seconds=st.sampled_from((2, 9, 35, 120)),
        is_unlisted=st.booleans(),
    )
    def freeze(
        self, engine: str, moments: int, seconds: int, is_unlisted: bool
    ) -> None:
        """Freezes the engine's VM before or after a call to the store."""
        site = self.site
        frozen = site.assigned_vm(engine)

        def run_others() -> None:
            if is_unlisted:
                site.unlist(frozen.name)
            site.run(seconds)

        frozen.keyvalue.freeze = run_others
        frozen.keyvalue.freeze_after = moments
        for _ in range(3):
            frozen.step(engine)
        frozen.keyvalue.freeze = None
        site.listed.add(frozen.name)

    @stateful.rule(vm=vms, seconds=st.sampled_from((0, 35)))
    def restart(self, vm: int, seconds: int) -> None:
        """Restarts a VM's process; the VM is unlisted for a while."""
        self.site.vms[vm].restart()
        self.site.unlist(f"v{vm}")
        self.site.vms[vm].is_frozen = True
        self.site.run(seconds)
        self.site.vms[vm].is_frozen = False
        self.site.listed.add(f"v{vm}")

    @stateful.rule(engine=engines, seconds=st.sampled_from((2, 20)))
    def lose_engine(self, engine: str, seconds: int) -> None:
        self.site.engines[engine].is_up = False
        self.site.run(seconds)
        self.site.engines[engine].is_up = True

    @stateful.rule(seconds=st.sampled_from((2, 20)))
    def lose_platform(self, seconds: int) -> None:
        self.site.keyvalue.has_outage = True
        self.site.run(seconds)
        self.site.keyvalue.has_outage = False

    @stateful.rule(seconds=st.sampled_from((1, 20)))
    def lose_answer(self, seconds: int) -> None:
        self.site.keyvalue.lose_answers = 1
        self.site.run(seconds)
        self.site.keyvalue.lose_answers = 0

    def teardown(self) -> None:
        site = self.site
        end_s = site.clock.now_s + 4 * orderfakes.DEADLINE_S
        while site.has_open() and site.clock.now_s < end_s:
            site.run(50)
        # A delayed order may still arrive and must cause no fault.
        site.run(20 * orderfakes.TIMEOUT_S)
        for name, engine in site.engines.items():
            self._check(name, engine)

    def _check(self, name: str, engine: orderfakes.FakeEngine) -> None:
        record = self.site.record(name)
        for order in record.orders:
            assert order.state in ("done", "failed")
            assert order.state == "done" or order.reason
        if record.orders and record.orders[-1].state == "done":
            assert modelrecords.satisfies(engine.state, record.orders[-1])
        held = {loaded.model for loaded in engine.state.models}
        assert set(self.site.stored_row(engine.row).models) <= held


class FencingOrders(_Orders):
    checks_fencing = True
    max_delay_s = 15 * orderfakes.TIMEOUT_S

    @stateful.rule(
        engine=engines, seconds=st.sampled_from((5, 60)), vm_goes=st.booleans()
    )
    def freeze_sending(self, engine: str, seconds: int, vm_goes: bool) -> None:
        """Freezes a VM after its last check, before it sends the order."""
        site = self.site

        def run_others() -> None:
            site.engines[engine].on_order = lambda: None
            if vm_goes:
                site.unlist(site.record(engine).vm)
            site.run(seconds)

        site.engines[engine].on_order = run_others
        site.run(15)
        site.engines[engine].on_order = lambda: None
        site.listed.update(vm.name for vm in site.vms)


class PlainOrders(_Orders):
    checks_fencing = False


TestFencingOrders = FencingOrders.TestCase
TestPlainOrders = PlainOrders.TestCase
