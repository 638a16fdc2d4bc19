"""Fake engines, VMs and a manual clock for the tests of orders."""

from collections.abc import Callable
import json
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import metrics as metrics_lib
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import enginecalls
from bulrushdeald import fetchpermits
from bulrushdeald import modelorders
from bulrushdeald import modelrecords
from bulrushdeald import orderer
from bulrushdeald import ordervms
from bulrushdeald import pageeditor
from bulrushdeald import pages
from bulrushdeald import rendezvous
from bulrushdeald import servedmodels
from support import batchfakes
from support import pathfakes

TIMEOUT_S = 10.0
SETTLE_S = 12.0
DEADLINE_S = 2000.0
MAX_FETCHES = 1

SendOutcome = Literal[
    "", "lost_before", "lost_after", "late", "busy", "refused"
]


class DelayedOrder(NamedTuple):
    """An order in flight that reaches the engine later."""

    at_s: float
    order: modelrecords.Order


class FakeEngine:
    """The state of an engine, and the orders in flight to it.

    Attributes:
        outcome: What happens to the next order that is sent; empty if it is
            carried out and answered.
        delay_s: The seconds after which an order with the outcome `late`
            reaches the engine.
        unlists_sender: Whether the sender of a late order leaves the list of
            VMs until it gives up.
        on_order: Called when an order is sent, before anything else.
        delayed: The orders in flight.
    """

    def __init__(self, site: "Site", name: str, checks_fencing: bool) -> None:
        self.site = site
        self.row = records.Upstream(
            name,
            "engine",
            f"{name}:1",
            f"vm-{name}",
            "d0",
            ("base",),
            checks_fencing=checks_fencing,
        )
        self.state = modelrecords.EngineState(
            (modelrecords.Loaded("base"),), "mixed"
        )
        self.is_up = True
        self.running = 0
        self.outcome: SendOutcome = ""
        self.delay_s = 0.0
        self.unlists_sender = False
        self.on_order: Callable[[], None] = lambda: None
        self.delayed: list[DelayedOrder] = []
        self.seen_fence = 0
        self.carried_out: list[modelrecords.Order] = []

    def deliver_due(self) -> None:
        """Carries out the delayed orders that are due."""
        now_s = self.site.clock.now_s
        due = sorted(item for item in self.delayed if item.at_s <= now_s)
        self.delayed = [item for item in self.delayed if item.at_s > now_s]
        for item in due:
            if self.is_up:
                self.carry_out(item.order)

    def carry_out(self, order: modelrecords.Order) -> bool:
        """Carries out an order; false if its number is checked and too old."""
        if self.row.checks_fencing and order.fence < self.seen_fence:
            return False
        self.seen_fence = max(order.fence, self.seen_fence)
        # An engine's state never reverts to that of an older order.
        if self.carried_out:
            assert order.number >= self.carried_out[-1].number
        self.carried_out.append(order)
        if order.action == "unload":
            assert order.model not in self.site.stored_row(self.row).models
        if order.action == "load":
            assert len(self.site.fetching(self)) <= MAX_FETCHES
        self.state = modelrecords.apply_order(self.state, order)
        return True


class FakeCalls(enginecalls.EngineCalls):
    """The engines' protocol for orders without HTTP."""

    def __init__(self, site: "Site") -> None:
        self._site = site

    def read_state(self, upstream: records.Upstream) -> Any:
        engine = self._site.engines[upstream.upstream]
        if not engine.is_up:
            return result.Err(enginecalls.EngineError("not_sent", "down"))
        return result.Ok(engine.state)

    def count_requests(self, upstream: records.Upstream) -> int | None:
        return self._site.engines[upstream.upstream].running

    def send_order(
        self,
        upstream: records.Upstream,
        order: modelrecords.Order,
        timeout_s: float,
    ) -> Any:
        engine = self._site.engines[upstream.upstream]
        engine.on_order()
        if not engine.is_up:
            return result.Err(enginecalls.EngineError("not_sent", "down"))
        if not upstream.checks_fencing:
            # Orders to an engine that does not check fencing numbers must
            # not overlap, as the engine would execute a superseded one.
            assert engine.delayed == []
            assert order.fence == self._site.record(upstream.upstream).fence
        outcome, engine.outcome = engine.outcome, ""
        lost = result.Err(enginecalls.EngineError("unknown", "lost"))
        if outcome == "lost_before":
            return lost
        if outcome in ("busy", "refused"):
            # An engine that checks fencing numbers also records the number
            # of an order that it refuses.
            engine.seen_fence = max(order.fence, engine.seen_fence)
        if outcome == "busy":
            later = enginecalls.EngineError("later", "weights", 30.0)
            return result.Err(later)
        if outcome == "refused":
            return result.Err(enginecalls.EngineError("refused", "no such"))
        if outcome == "late":
            at_s = self._site.clock.now_s + engine.delay_s
            engine.delayed.append(DelayedOrder(at_s, order))
            sender = self._site.record(upstream.upstream).vm
            if engine.unlists_sender:
                self._site.unlist(sender)
            # The sender is blocked in this call, so it is not stepped.
            self._site.run(timeout_s)
            self._site.listed.add(sender)
            return lost
        if not engine.carry_out(order):
            return result.Err(enginecalls.EngineError("fenced", "old"))
        return lost if outcome == "lost_after" else result.Ok(engine.state)


class FakeConfig:
    """A configuration whose rows are always those that are stored."""

    def __init__(self, site: "Site") -> None:
        self._site = site

    def upstreams(self) -> tuple[records.Upstream, ...]:
        return self._site.page().upstreams

    def put_written_page(
        self, key: str, revision: int, page: pages.Page
    ) -> None: ...


class VmClock:
    """A VM's clock, which may stop while the VM is frozen."""

    def __init__(self, clock: clock_lib.FakeClock) -> None:
        self._clock = clock
        self.stopped_s = 0.0

    def monotonic_s(self) -> float:
        return self._clock.now_s - self.stopped_s

    def wall_s(self) -> float:
        return self._clock.now_s

    def sleep_s(self, duration_s: float) -> None:
        raise NotImplementedError


class VmKeyValue:
    """A VM's client of the shared store, whose calls may freeze the VM."""

    def __init__(self, shared: batchfakes.FakeKeyValue) -> None:
        self._shared = shared
        # Called once, after `freeze_after` more moments; each call to the
        # store has one moment before and one after it.
        self.freeze: Callable[[], None] | None = None
        self.freeze_after = 0

    def get(self, key: str) -> Any:
        self._maybe_freeze()
        answer = self._shared.get(key)
        self._maybe_freeze()
        return answer

    def list(self, prefix: str) -> Any:
        return self._shared.list(prefix)

    def put(self, key: str, value: bytes, expected_revision: int) -> Any:
        self._maybe_freeze()
        answer = self._shared.put(key, value, expected_revision)
        self._maybe_freeze()
        return answer

    def delete(self, key: str, expected_revision: int) -> Any:
        return self._shared.delete(key, expected_revision)

    def watch(self, prefix: str, after: int, timeout_s: float) -> Any:
        listed = self._shared.list(prefix)
        return listed.map(
            lambda held: tuple(e for e in held if e.revision > after)
        )

    def _maybe_freeze(self) -> None:
        if self.freeze is None:
            return
        self.freeze_after -= 1
        if self.freeze_after < 0:
            freeze, self.freeze = self.freeze, None
            freeze()


class FakeMembership:
    """The list of VMs as seen by one of them, which is always listed."""

    def __init__(self, site: "Site", vm: str) -> None:
        self._site = site
        self._own = records.Vm(vm, "d0", "entry")
        self.run = 1

    def own_vm(self) -> records.Vm:
        return self._own

    def incarnation(self) -> str:
        return f"run-{self.run}"

    def entry_vms(self) -> tuple[records.Vm, ...]:
        names = sorted({*self._site.listed, self._own.vm})
        return tuple(records.Vm(name, "d0", "entry") for name in names)

    def is_listed(self, vm: str) -> bool:
        return vm in self._site.listed or vm == self._own.vm

    def is_leaving(self, vm: str) -> bool:
        return False


class OrderVm:
    """One VM that orders engines."""

    def __init__(self, site: "Site", name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.clock = VmClock(site.clock)
        self.keyvalue = VmKeyValue(site.keyvalue)
        self.membership = FakeMembership(site, name)
        self._site = site
        self.restart()

    def restart(self) -> None:
        """Starts a new run of the process, with no memory of the last."""
        site = self._site
        self.membership.run += 1
        config: Any = FakeConfig(site)
        self.orderer: orderer.Orderer = modelorders.build_orderer(
            site.settings,
            self.keyvalue,
            self.membership,
            config,
            FakeCalls(site),
            servedmodels.ServedModels(pageeditor.Editor(self.keyvalue, config)),
            metrics_lib.NoMetrics(),
            self.clock,
        )

    def step(self, engine: str) -> float | None:
        # A frozen VM does nothing, and a VM runs one step at a time.
        if self.is_frozen:
            return 1.0
        self.is_frozen = True
        try:
            return self.orderer.step(engine)
        finally:
            self.is_frozen = False


class Site:
    """Simulates engines, VMs, the platform's store and a shared clock."""

    def __init__(self, checks_fencing: bool, engines: int, vms: int) -> None:
        self.clock = clock_lib.FakeClock()
        self.keyvalue = batchfakes.FakeKeyValue()
        self.settings: defaults.Settings = pathfakes.settings(
            order_timeout_s=TIMEOUT_S,
            order_settle_s=SETTLE_S,
            order_drain_s=2 * SETTLE_S,
            order_deadline_s=DEADLINE_S,
            weight_fetches=MAX_FETCHES,
        )
        names = [f"e{number}" for number in range(engines)]
        self.engines = {
            name: FakeEngine(self, name, checks_fencing) for name in names
        }
        rows = tuple(engine.row for engine in self.engines.values())
        page = pages.encode(pages.Page(upstreams=rows))
        self.keyvalue.put(pages.UPSTREAMS_KEY, page, 0)
        self.listed = {f"v{number}" for number in range(vms)}
        self.vms = [OrderVm(self, name) for name in sorted(self.listed)]

    def page(self) -> pages.Page:
        return pages.decode(self.keyvalue.entries[pages.UPSTREAMS_KEY].value)

    def stored_row(self, row: records.Upstream) -> records.Upstream:
        rows = {held.upstream: held for held in self.page().upstreams}
        return rows[row.upstream]

    def advance(self, duration_s: float) -> None:
        """Advances the clock and delivers delayed orders at their times."""
        end_s = self.clock.now_s + duration_s
        delivery_times = [
            item.at_s
            for engine in self.engines.values()
            for item in engine.delayed
            if item.at_s <= end_s
        ]
        for at_s in (*sorted(delivery_times), end_s):
            self.clock.now_s = max(at_s, self.clock.now_s)
            for engine in self.engines.values():
                engine.deliver_due()

    def fetching(self, beginning: FakeEngine) -> set[str]:
        """Returns the engines that load now, including `beginning`."""
        names = {beginning.row.upstream}
        for name, engine in self.engines.items():
            for item in engine.delayed:
                is_old = item.order.fence < engine.seen_fence
                if item.order.action == "load" and not is_old:
                    names.add(name)
        return names

    def record(self, engine: str) -> modelrecords.EngineOrders:
        entry = self.keyvalue.entries.get(modelrecords.key(engine))
        if entry is None:
            return modelrecords.EngineOrders(engine)
        return modelrecords.load(entry.value)

    def accept(self, engine: str, **fields: Any) -> None:
        """Accepts an order as the operators' route does."""
        record = self.record(engine)
        entry = self.keyvalue.entries.get(modelrecords.key(engine))
        asked = modelrecords.Order(
            0, **fields, accepted_wall_s=self.clock.now_s
        )
        changed = modelrecords.append_order(record, asked)
        put = self.keyvalue.put(
            modelrecords.key(engine),
            modelrecords.dump(changed),
            entry.revision if entry else 0,
        )
        # A write whose answer is lost has taken effect.
        assert put.is_ok() or put.unwrap_err().kind == "unknown"

    def run(self, seconds: float) -> None:
        """Steps all VMs for a duration, as their threads would.

        A step that waits for its engine also advances the clock.
        """
        end_s = self.clock.now_s + seconds
        while True:
            waits = [
                wait_s
                for vm in self.vms
                for engine in self.engines
                if (wait_s := vm.step(engine)) is not None
            ]
            left_s = end_s - self.clock.now_s
            if left_s <= 0:
                return
            wait_s = min(max(min(waits), 0.5), 5.0) if waits else left_s
            self.advance(min(wait_s, left_s))

    def has_open(self) -> bool:
        return any(self.record(name).first_open for name in self.engines)

    def unlist(self, vm: str) -> None:
        """Removes a VM from the list unless it is the only one."""
        if len(self.listed) > 1:
            self.listed.discard(vm)

    def last(self, engine: str) -> modelrecords.Order:
        return self.record(engine).orders[-1]

    def assigned_vm(self, engine: str) -> OrderVm:
        """Returns the VM that orders an engine while all VMs are listed."""
        names = ordervms.order_vms(self.vms[0].membership)
        name = rendezvous.pick(modelrecords.key(engine), names)
        return next(vm for vm in self.vms if vm.name == name)

    def mark_sent_by(self, engine: str, vm: str) -> None:
        """Marks the first open order as sent by a VM."""
        record = self.record(engine)
        assert record.first_open is not None
        sent = record.first_open._replace(state="sent")
        changed = modelrecords.replace_order(record, sent)._replace(vm=vm)
        key = modelrecords.key(engine)
        revision = self.keyvalue.entries[key].revision
        put = self.keyvalue.put(key, modelrecords.dump(changed), revision)
        assert put.is_ok()

    def remove_row(self, engine: str) -> None:
        """Removes an engine's row, as an operator would."""
        held = self.keyvalue.entries[pages.UPSTREAMS_KEY]
        page = pages.decode(held.value)
        rows = tuple(row for row in page.upstreams if row.upstream != engine)
        data = pages.encode(pages.Page(upstreams=rows))
        assert self.keyvalue.put(held.key, data, held.revision).is_ok()

    def permits(self) -> list[str]:
        """Returns the engines that hold a permit to fetch weights."""
        held = self.keyvalue.entries[fetchpermits.KEY]
        return list(json.loads(held.value)["upstreams"])
