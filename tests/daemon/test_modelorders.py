"""Tests of orders to engines, each with what operators and callers see."""

import io
import json
from typing import Any

import pytest

from bulrushdeal import httpd
from bulrushdeal import records
from bulrushdeald import enginecalls
from bulrushdeald import modelorders
from bulrushdeald import modelrecords
from bulrushdeald import modelroutes
from bulrushdeald import orderer
from bulrushdeald import ordervms
from bulrushdeald import replies
from bulrushdeald import services
from bulrushdeald import upstreams
from standins import engine as engine_lib
from standins import orderdesk
from standins import weights
from support import batchfakes
from support import orderfakes
from support import pathfakes

LOAD = {"action": "load", "model": "a", "version": "1"}
UNLOAD = {"action": "unload", "model": "base"}
FLIGHT_S = orderer.FLIGHT_TIMEOUTS * orderfakes.TIMEOUT_S
PROMPTLY_S = 3 * orderer.RETRY_S


def numbers(engine: orderfakes.FakeEngine) -> list[int]:
    return [order.fence for order in engine.carried_out]


def freeze(vm: orderfakes.OrderVm, after: int) -> None:
    """Freezes a VM at a call, until `thaw`."""

    def stop() -> None:
        raise FrozenError

    vm.keyvalue.freeze = stop
    vm.keyvalue.freeze_after = after


class FrozenError(Exception):
    """Unwinds a step in the place of a VM that never comes back."""


class OneVm:
    """A kernel in which a VM that takes orders finds its services."""

    def __init__(
        self, site: orderfakes.Site, vm: orderfakes.OrderVm | None = None
    ) -> None:
        own = vm or site.vms[0]
        self._found: dict[str, Any] = {
            services.KEYVALUE: own.keyvalue,
            services.MEMBERSHIP: own.membership,
            services.CONFIG: orderfakes.FakeConfig(site),
            services.OPERATORS: batchfakes.FakeRest(),
        }

    def find(self, name: str, kind: Any) -> Any:
        return self._found.get(name)


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize(
    ("moment", "clock_stands"), [(9, False), (8, False), (8, True)]
)
def test_frozen_orderer_that_comes_back_sends_nothing(
    checks_fencing: bool, moment: int, clock_stands: bool
) -> None:
    # A VM is frozen just before it orders version 1, and goes off the list.
    # Another VM loads version 1, then version 2 at the operator's wish. The
    # first VM comes back; it must not order version 1 any more, though the
    # engine may have no check for that. Cause: it had read its turn before
    # (moment 9, only its clock tells), or its clock stood still (only
    # reading once more tells).
    site = orderfakes.Site(checks_fencing, 1, 2)
    engine = site.engines["e0"]
    site.accept("e0", **LOAD)
    frozen = site.picked_for("e0")
    states: list[tuple[str, str]] = []

    def others_go_on() -> None:
        began_s = site.clock.now_s
        site.unlist(frozen.name)
        site.run(PROMPTLY_S)
        states.append((site.last("e0").state, site.record("e0").vm))
        site.run(FLIGHT_S)
        site.accept("e0", **{**LOAD, "version": "2"})
        site.run(100.0)
        if clock_stands:
            frozen.clock.lost_s = site.clock.now_s - began_s

    # Its calls, with a moment before and after: the record, the permit's
    # two, the announcement, and the check of the turn.
    frozen.keyvalue.freeze = others_go_on
    frozen.keyvalue.freeze_after = moment
    frozen.step("e0")
    site.listed.add(frozen.name)
    site.run(100.0)
    assert [order.version for order in engine.carried_out] == ["1", "2"]
    assert site.last("e0").state == "done"
    # Only an engine that refuses old numbers may be ordered at once.
    waited = states[0] == ("sent", frozen.name)
    assert waited == (not checks_fencing)


def test_successor_waits_as_long_as_an_order_can_be_on_its_way() -> None:
    # An order to an engine without a check is on its way when its sender
    # dies; it lands two timeouts later. The successor sends nothing before,
    # or an old order could land after a newer one.
    site = orderfakes.Site(False, 1, 2)
    engine = site.engines["e0"]
    engine.fate = "late"
    engine.late_s = 2 * orderfakes.TIMEOUT_S
    site.accept("e0", **LOAD)
    sender = site.picked_for("e0")
    sender.step("e0")
    sender.is_frozen = True
    site.unlist(sender.name)
    site.accept("e0", **{**LOAD, "version": "2"})
    site.run(FLIGHT_S - 1)
    assert numbers(engine) == [1]
    assert site.record("e0").orders[0].state == "sent"
    site.run(60.0)
    assert numbers(engine) == [1, 2]
    assert site.last("e0").state == "done"


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_lost_answer_is_settled_by_reading_the_engine(
    checks_fencing: bool,
) -> None:
    # The engine loads the model and its answer is lost. The operator sees
    # `done` and the engine is ordered once: what happened is read back from
    # it, never guessed from the silence.
    site = orderfakes.Site(checks_fencing, 1, 1)
    site.engines["e0"].fate = "lost_after"
    site.accept("e0", **LOAD)
    site.run(PROMPTLY_S)
    promptly = site.last("e0").state
    assert promptly == ("done" if checks_fencing else "sent")
    site.run(FLIGHT_S + PROMPTLY_S)
    assert site.last("e0").state == "done"
    assert numbers(site.engines["e0"]) == [1]
    assert "a" in site.stored_row(site.engines["e0"].row).models


def test_order_that_never_arrived_is_sent_again() -> None:
    site = orderfakes.Site(False, 1, 1)
    site.engines["e0"].fate = "lost_before"
    site.accept("e0", **LOAD)
    site.run(FLIGHT_S + 2 * PROMPTLY_S)
    assert numbers(site.engines["e0"]) == [2]
    assert site.last("e0").state == "done"


def test_platform_outage_holds_orders_back_and_loses_none() -> None:
    # The platform's service goes out between an operator's order and its
    # sending. Nothing is ordered that could not be recorded; after the
    # outage the order is carried out once.
    site = orderfakes.Site(False, 1, 2)
    site.accept("e0", **LOAD)
    site.keyvalue.has_outage = True
    site.run(60.0)
    assert numbers(site.engines["e0"]) == []
    site.keyvalue.has_outage = False
    site.run(60.0)
    assert numbers(site.engines["e0"]) == [1]
    assert site.last("e0").state == "done"


def test_outage_after_the_sending_does_not_send_again() -> None:
    # The platform goes out while the engine loads, so the end cannot be
    # recorded. The engine is not ordered again meanwhile or after.
    site = orderfakes.Site(True, 1, 1)
    engine = site.engines["e0"]
    site.accept("e0", **LOAD)

    def fail_platform() -> None:
        site.keyvalue.has_outage = True

    engine.on_order = fail_platform
    site.run(60.0)
    assert site.last("e0").state == "sent"
    site.keyvalue.has_outage = False
    site.run(60.0)
    assert site.last("e0").state == "done"
    assert numbers(engine) == [1]


def test_engine_lost_in_the_middle_ends_with_the_reason() -> None:
    # The engine dies in the middle of a load and never comes back. The
    # operator sees a failed order that says it is unknown what happened, in
    # bounded time, and the permit for weights goes to other engines.
    site = orderfakes.Site(False, 2, 1)
    engine = site.engines["e0"]
    engine.fate = "lost_before"
    site.accept("e0", **LOAD)
    site.run(1.0)
    engine.is_up = False
    site.run(orderfakes.DEADLINE_S + FLIGHT_S)
    assert site.last("e0").state == "failed"
    assert "unknown" in site.last("e0").reason
    site.accept("e1", **LOAD)
    site.run(60.0)
    assert site.last("e1").state == "done"


def test_orders_of_a_removed_engine_fail() -> None:
    site = orderfakes.Site(True, 2, 1)
    site.engines["e0"].is_up = False
    site.accept("e0", **LOAD)
    site.run(10.0)
    assert site.last("e0").reason
    site.remove_row("e0")
    site.run(60.0)
    assert site.last("e0").state == "failed"
    assert "no such engine" in site.last("e0").reason


def test_removed_engine_keeps_its_permit_while_it_may_fetch() -> None:
    # An operator removes an engine in the middle of a load. It may still
    # fetch weights, so no other engine begins to before that is over.
    site = orderfakes.Site(True, 2, 1)
    site.engines["e0"].fate = "late"
    site.engines["e0"].late_s = orderfakes.TIMEOUT_S + 5
    site.accept("e0", **LOAD)
    site.vms[0].step("e0")
    site.remove_row("e0")
    site.accept("e1", **LOAD)
    site.run(10.0)
    assert site.permits() == ["e0"]
    site.run(FLIGHT_S + 2 * PROMPTLY_S)
    states = [site.last(name).state for name in ("e0", "e1")]
    assert states == ["failed", "done"]


def test_unload_takes_the_model_out_of_the_row_and_drains_first() -> None:
    # Readers stream from a model that an operator unloads. New requests go
    # elsewhere from the moment the row is in force, and the streams end
    # before the engine drops the model; a stream without end is cut at the
    # bound. Cause of cut streams: the engine was ordered at once.
    site = orderfakes.Site(True, 1, 1)
    engine = site.engines["e0"]
    engine.running = 3
    site.accept("e0", **UNLOAD)
    site.run(1.0)
    assert site.stored_row(engine.row).models == ()
    site.run(orderfakes.SETTLE_S + 2)
    assert site.last("e0").state == "draining"
    engine.running = 0
    site.run(6.0)
    assert site.last("e0").state == "done"
    site.accept("e0", action="load", model="base")
    site.run(60.0)
    assert site.stored_row(engine.row).models == ("base",)
    engine.running = 1
    site.accept("e0", **UNLOAD)
    site.run(2 * orderfakes.SETTLE_S - 2)
    assert site.last("e0").state == "draining"
    site.run(PROMPTLY_S)
    assert site.last("e0").state == "done"


def test_superseded_vm_does_not_hide_what_its_successor_sent() -> None:
    # The weight store refuses, and the VM is frozen before it stores that
    # the order waits. Its successor sends the order again, which is still
    # on its way when the first VM comes back. If that stored `waiting`, the
    # next sending would overlap with the one on its way.
    site = orderfakes.Site(False, 1, 2)
    engine = site.engines["e0"]
    engine.fate = "busy"
    site.accept("e0", **LOAD)
    frozen = site.picked_for("e0")

    def others_go_on() -> None:
        site.unlist(frozen.name)
        engine.fate = "late"
        engine.late_s = 2 * orderfakes.TIMEOUT_S
        while site.record("e0").fence == 1:
            site.run(1.0)
        assert engine.inbox

    # Its calls: the record, the permit's two, the announcement, the check,
    # the record again, the permit's two, and what waits.
    frozen.keyvalue.freeze = others_go_on
    frozen.keyvalue.freeze_after = 16
    frozen.step("e0")
    assert frozen.keyvalue.freeze is None
    assert (site.last("e0").state, site.last("e0").fence) == ("sent", 2)
    site.run(100.0)
    assert site.last("e0").state == "done"


def test_superseded_vm_does_not_serve_what_was_dropped_since() -> None:
    # A VM has ordered a load and is frozen before it puts the model into the
    # engine's row. Its successor does so, and then unloads the model at the
    # operator's wish. The first VM comes back; if it still edited the row,
    # callers would be sent to an engine without the model.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **LOAD)
    frozen = site.picked_for("e0")

    def others_go_on() -> None:
        site.unlist(frozen.name)
        site.run(10.0)
        site.accept("e0", action="unload", model="a")
        site.run(60.0)
        assert site.last("e0").state == "done"

    # As above, up to the record that is read again.
    frozen.keyvalue.freeze = others_go_on
    frozen.keyvalue.freeze_after = 12
    frozen.step("e0")
    assert frozen.keyvalue.freeze is None
    assert site.stored_row(site.engines["e0"].row).models == ("base",)


def test_order_does_not_fail_while_it_may_still_arrive() -> None:
    # An order is sent just before its deadline, and its answer is lost. The
    # engine takes it in after the deadline. Were the order failed at once,
    # the operator would be told so of a model that is loaded.
    site = orderfakes.Site(True, 1, 1)
    engine = site.engines["e0"]
    site.accept("e0", **LOAD)
    engine.is_up = False
    site.run(orderfakes.DEADLINE_S - 5)
    engine.is_up = True
    engine.fate = "late"
    engine.late_s = 2 * orderfakes.TIMEOUT_S
    site.run(3 * orderfakes.TIMEOUT_S)
    assert site.last("e0").state == "done"
    assert numbers(engine) == [1]


def test_successor_drains_too() -> None:
    # The VM that took the model out of the row is gone a moment later. The
    # VM after it finds the row without the model and must drain all the same.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **UNLOAD)
    first = site.picked_for("e0")
    first.step("e0")
    first.step("e0")
    assert site.stored_row(site.engines["e0"].row).models == ()
    first.is_frozen = True
    site.unlist(first.name)
    site.run(orderfakes.SETTLE_S - 1)
    assert site.last("e0").state == "draining"
    site.run(PROMPTLY_S)
    assert site.last("e0").state == "done"


def test_vm_that_drained_before_drains_again_after_another() -> None:
    # A VM has drained an engine when another takes over, which is put off,
    # so the model is served again. The first VM takes over in turn, while
    # the order is to be drained the second time. It must not think that it
    # has drained it: the engine would drop a model that callers use.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **UNLOAD)
    first = site.picked_for("e0")
    other = next(vm for vm in site.vms if vm is not first)
    first.step("e0")
    first.step("e0")
    first.is_frozen = True
    site.unlist(first.name)
    site.engines["e0"].fate = "busy"
    while not site.record("e0").fence or site.last("e0").state != "draining":
        site.advance(1.0)
        other.step("e0")
    assert site.stored_row(site.engines["e0"].row).models == ("base",)
    other.is_frozen = True
    first.is_frozen = False
    site.listed = {first.name}
    site.run(60.0)
    assert site.last("e0").state == "done"


def test_refused_unload_serves_the_model_again() -> None:
    site = orderfakes.Site(True, 1, 1)
    site.engines["e0"].fate = "refused"
    site.accept("e0", **UNLOAD)
    site.run(60.0)
    assert site.last("e0").state == "failed"
    assert site.last("e0").reason == "no such"
    assert site.stored_row(site.engines["e0"].row).models == ("base",)


@pytest.mark.parametrize("moment", range(0, 40, 2))
@pytest.mark.parametrize("fate", ["refused", "busy"])
def test_outage_at_any_moment_of_an_unload_that_is_not_done_at_once(
    fate: orderfakes.Fate, moment: int
) -> None:
    # The engine does not drop the model yet, so it is served again, and the
    # platform goes out for a while in between. Whenever the engine drops the
    # model after that, no row may name it (the fake engine checks that).
    # Causes found: the end was not stored before the row was changed, and an
    # order that was put off and drained once was not drained again.
    site = orderfakes.Site(True, 1, 1)
    site.engines["e0"].fate = fate
    site.accept("e0", **UNLOAD)
    site.run(orderfakes.SETTLE_S - 1)

    def lose_platform() -> None:
        site.keyvalue.has_outage = True

    site.vms[0].keyvalue.freeze = lose_platform
    site.vms[0].keyvalue.freeze_after = moment
    site.run(10.0)
    site.vms[0].keyvalue.freeze = None
    site.keyvalue.has_outage = False
    site.run(200.0)
    assert site.last("e0").state in ("done", "failed")
    held = [loaded.model for loaded in site.engines["e0"].state.models]
    assert list(site.stored_row(site.engines["e0"].row).models) == held


def test_permit_is_free_again_when_its_orderer_died() -> None:
    # A VM dies after it took the only permit for weights. The permit is the
    # engine's, so the next orderer uses it, and then others get it.
    site = orderfakes.Site(True, 2, 2)
    site.accept("e0", **LOAD)
    dying = site.picked_for("e0")
    freeze(dying, 6)
    with pytest.raises(FrozenError):
        dying.step("e0")
    dying.is_frozen = True
    assert site.permits() == ["e0"]
    site.accept("e1", **LOAD)
    site.unlist(dying.name)
    site.run(60.0)
    assert [site.last(name).state for name in ("e0", "e1")] == ["done"] * 2
    assert site.permits() == []


def test_refusal_of_the_weight_store_is_obeyed_by_all_vms() -> None:
    # The store tells one engine to come back in 30 s. No VM lets any engine
    # fetch before, and the version that the engine holds is served
    # meanwhile; then the orders go on by themselves.
    site = orderfakes.Site(True, 2, 2)
    site.engines["e0"].fate = "busy"
    site.accept("e0", action="load", model="base", version="2")
    site.run(orderfakes.SETTLE_S + PROMPTLY_S)
    assert site.last("e0").state == "waiting"
    assert site.stored_row(site.engines["e0"].row).models == ("base",)
    site.accept("e1", **LOAD)
    site.run(20.0)
    assert numbers(site.engines["e1"]) == []
    assert "weight store" in site.last("e1").reason
    site.run(100.0)
    assert [site.last(name).state for name in ("e0", "e1")] == ["done"] * 2


def test_engines_that_wait_for_weights_go_on_serving() -> None:
    # An operator orders another version on all engines. The weight store
    # serves few at once; were all drained first, nothing would be served
    # for the hours that the others take.
    site = orderfakes.Site(True, 3, 1)
    for name, engine in site.engines.items():
        site.accept(name, action="load", model="base", version="2")
        engine.running = 1
    site.run(orderfakes.SETTLE_S)
    rows = [site.stored_row(engine.row) for engine in site.engines.values()]
    assert sum(row.models == () for row in rows) == orderfakes.FETCHES
    site.run(200.0)
    rows = [site.stored_row(engine.row) for engine in site.engines.values()]
    assert [row.models for row in rows] == [("base",)] * 3
    assert all(site.last(name).state == "done" for name in site.engines)


def test_restarted_vm_settles_what_its_last_run_sent() -> None:
    # A VM is restarted while its order is out, and meanwhile others are
    # picked to order engines. It is listed all the time, so no other VM
    # takes its order over, and without looking once it would stay open.
    site = orderfakes.Site(True, 1, 9)
    site.accept("e0", **LOAD)
    names = ordervms.order_vms(site.vms[0].membership)
    outside = next(vm for vm in site.vms if vm.name not in names)
    site.hand_over("e0", outside.name)
    outside.restart()
    kernel: Any = OneVm(site, outside)
    service = modelorders.ModelOrders(kernel, pathfakes.settings(), site.clock)
    service.attach(orderfakes.FakeCalls(site))
    assert service.watch_once(0.0)
    assert service.take_due() == ["e0"]
    service.step("e0")
    assert site.last("e0").state == "done"
    # What is another's, it leaves alone until it is picked itself.
    site.accept("e0", **UNLOAD)
    service = modelorders.ModelOrders(kernel, pathfakes.settings(), site.clock)
    service.attach(orderfakes.FakeCalls(site))
    assert service.watch_once(0.0)
    assert service.take_due() == ["e0"]
    service.step("e0")
    assert service.take_due() == []
    site.listed = {outside.name}
    assert service.watch_once(0.0)
    assert service.take_due() == ["e0"]


def test_calls_at_the_platform_of_one_order() -> None:
    # The figure in docs/design/orders.md.
    site = orderfakes.Site(True, 1, 1)
    for asked, reads, writes in ((LOAD, 9, 5), (UNLOAD, 13, 4)):
        site.accept("e0", **asked)
        site.keyvalue.reads = site.keyvalue.writes = 0
        site.run(60.0)
        assert site.last("e0").state == "done"
        made = (site.keyvalue.reads, site.keyvalue.writes)
        assert made == (reads, writes)


def test_rollout_steps_few_engines_at_once_the_longest_due_first() -> None:
    # An operator loads a version on all engines. Each step reads at the
    # platform, which 6,400 engines stepped at once would overload.
    site = orderfakes.Site(True, 40, 1)
    kernel: Any = OneVm(site)
    settings = pathfakes.settings(order_threads=6)
    service = modelorders.ModelOrders(kernel, settings, site.clock)
    service.attach()
    for engine in site.engines:
        site.accept(engine, **LOAD)
    assert service.watch_once(0.0)
    first = service.take_due()
    assert len(first) == 4
    # No more than there are threads.
    assert len(service.take_due()) == 2
    assert service.take_due() == []
    assert len(service.dump()["open"]) == 40


def test_drained_engine_comes_before_those_that_wait() -> None:
    # In a rollout thousands of orders wait for weights, each of them due. An
    # engine whose model is out of service must not wait behind all of them.
    site = orderfakes.Site(True, 9, 1)
    kernel: Any = OneVm(site)
    service = modelorders.ModelOrders(kernel, pathfakes.settings(), site.clock)
    service.attach(orderfakes.FakeCalls(site))
    site.accept("e8", **UNLOAD)
    for _ in range(2):
        assert service.watch_once(0.0)
        assert service.take_due() == ["e8"]
        service.step("e8")
    for number in range(8):
        site.accept(f"e{number}", **LOAD)
    assert service.watch_once(0.0)
    site.advance(orderfakes.SETTLE_S)
    assert service.take_due()[0] == "e8"


def test_order_that_comes_during_a_step_is_not_forgotten() -> None:
    # An order ends, and the next one is accepted just after the VM has read
    # that nothing is open. The watch tells of it while the step still runs,
    # and the order waited until somebody ordered that engine again.
    site = orderfakes.Site(True, 1, 1)
    kernel: Any = OneVm(site)
    service = modelorders.ModelOrders(kernel, pathfakes.settings(), site.clock)
    service.attach()
    site.accept("e0", **LOAD)
    assert service.watch_once(0.0)
    site.run(60.0)
    assert service.take_due() == ["e0"]

    def accept_another() -> None:
        site.accept("e0", action="role", role="decode")
        assert service.watch_once(0.0)

    site.vms[0].keyvalue.freeze = accept_another
    site.vms[0].keyvalue.freeze_after = 1
    service.step("e0")
    assert service.take_due() == ["e0"]


def served(desk: orderdesk.DeskSettings) -> engine_lib.Engine:
    engine = engine_lib.Engine(models=("base",), desk=desk)
    engine.start()
    return engine


def row_of(engine: engine_lib.Engine) -> records.Upstream:
    return records.Upstream("e", "engine", engine.address, "v", "d")


def calls_over_http() -> enginecalls.EngineCalls:
    kernel: Any = None
    return enginecalls.EngineCalls(
        upstreams.HttpUpstreams(kernel, pathfakes.settings())
    )


@pytest.mark.parametrize("fencing", [1, 0])
def test_engine_over_http_refuses_old_numbers_only_if_it_checks(
    fencing: int,
) -> None:
    engine = served(orderdesk.DeskSettings(fencing=fencing))
    calls = calls_over_http()
    new = modelrecords.Order(2, "load", "a", "2", fence=7)
    held = calls.order(row_of(engine), new, 5.0).unwrap()
    assert modelrecords.shows(held, new)
    old = modelrecords.Order(1, "load", "a", "1", fence=6)
    answer = calls.order(row_of(engine), old, 5.0)
    if fencing:
        assert answer.unwrap_err().kind == "fenced"
    state = calls.state(row_of(engine)).unwrap()
    assert modelrecords.shows(state, new) == bool(fencing)
    assert calls.running(row_of(engine)) == 0
    engine.stop()


def test_engine_over_http_lost_slow_refused_and_store_busy() -> None:
    store = weights.WeightStore(limits=weights.Limits(0, 0.0, 2.0))
    store.start()
    engine = served(
        orderdesk.DeskSettings(
            weights=store.address, lose_answers=2, order_s=0.2
        )
    )
    calls = calls_over_http()
    row = row_of(engine)
    busy = calls.order(row, modelrecords.Order(1, "load", "a", fence=1), 5.0)
    assert busy.unwrap_err().kind == "later"
    assert busy.unwrap_err().retry_after_s == 2.0
    unload = modelrecords.Order(2, "unload", "base", fence=2)
    slow = calls.order(row, unload, 0.05)
    assert slow.unwrap_err().kind == "unknown"
    lost = calls.order(row, unload._replace(fence=3), 5.0)
    assert lost.unwrap_err().kind == "unknown"
    assert modelrecords.shows(calls.state(row).unwrap(), unload)
    orphan = modelrecords.Order(4, "load", "t", base="none", fence=4)
    assert calls.order(row, orphan, 5.0).unwrap_err().kind == "refused"
    engine.stop()
    gone = calls.order(row, orphan, 5.0)
    assert gone.unwrap_err().kind == "not_sent"
    store.stop()


class Operators:
    """Calls the routes as an operator would."""

    def __init__(self) -> None:
        self.site = orderfakes.Site(True, 1, 1)
        config: Any = orderfakes.FakeConfig(self.site)
        self.routes = modelroutes.ModelRoutes(
            self.site.keyvalue, config, self.site.clock
        )

    def call(
        self, method: str, upstream: str, body: Any = None
    ) -> tuple[int, Any]:
        data = json.dumps(body).encode()
        request = httpd.Request(
            method,
            f"/v1/upstreams/{upstream}/orders",
            "",
            {},
            io.BytesIO(data),
            len(data),
        )
        handler = self.routes.post if method == "POST" else self.routes.get
        answer = handler(request)
        return answer.status, json.loads(b"".join(answer.body))


def test_order_is_accepted_once_and_shown() -> None:
    operators = Operators()
    status, order = operators.call("POST", "e0", LOAD)
    assert (status, order["number"], order["state"]) == (200, 1, "waiting")
    # The answer was lost, and the operator sends it again.
    assert operators.call("POST", "e0", LOAD) == (status, order)
    _, shown = operators.call("GET", "e0")
    assert [row["number"] for row in shown["orders"]] == [1]
    assert shown["engines"][0]["wanted"]["models"][0]["model"] == "a"
    operators.site.run(60.0)
    _, shown = operators.call("GET", "e0")
    assert shown["orders"][0]["state"] == "done"
    assert len(shown["engines"][0]["holds"]["models"]) == 2
    assert operators.call("POST", "e0", LOAD)[1]["number"] == 2


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({}, "action"),
        ({"action": "melt"}, "action"),
        ({"action": "load"}, "model"),
        ({"action": "load", "model": "a b"}, "model"),
        ({"action": "load", "model": 3}, "model"),
        ({"action": "load", "model": "a", "base": "a"}, "base"),
        ({"action": "unload", "model": "a", "version": "1"}, "version"),
        ({"action": "role", "role": "cook"}, "role"),
    ],
)
def test_bad_order_names_the_field(body: Any, field: str) -> None:
    with pytest.raises(replies.BadRequestError) as caught:
        Operators().call("POST", "e0", body)
    assert caught.value.field == field


def test_orders_that_cannot_be_accepted_say_why() -> None:
    operators = Operators()
    assert operators.call("POST", "none", LOAD)[0] == 404
    for number in range(modelrecords.MAX_OPEN):
        body = {**LOAD, "version": str(number)}
        assert operators.call("POST", "e0", body)[0] == 200
    status, answer = operators.call("POST", "e0", UNLOAD)
    assert (status, answer["error"]["code"]) == (409, "full")
    operators.site.keyvalue.has_outage = True
    status, answer = operators.call("POST", "e0", UNLOAD)
    assert (status, answer["error"]["code"]) == (503, "unavailable")
