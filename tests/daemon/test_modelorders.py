"""Tests of orders to engines, each with what operators and callers see."""

import pytest

from support import orderfakes
from support import orderscene


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
    site.accept("e0", **orderscene.LOAD)
    frozen = site.picked_for("e0")
    states: list[tuple[str, str]] = []

    def others_go_on() -> None:
        began_s = site.clock.now_s
        site.unlist(frozen.name)
        site.run(orderscene.PROMPTLY_S)
        states.append((site.last("e0").state, site.record("e0").vm))
        site.run(orderscene.FLIGHT_S)
        site.accept("e0", **{**orderscene.LOAD, "version": "2"})
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
    # Only an engine that refuses old orderscene.numbers may be ordered at once.
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
    site.accept("e0", **orderscene.LOAD)
    sender = site.picked_for("e0")
    sender.step("e0")
    sender.is_frozen = True
    site.unlist(sender.name)
    site.accept("e0", **{**orderscene.LOAD, "version": "2"})
    site.run(orderscene.FLIGHT_S - 1)
    assert orderscene.numbers(engine) == [1]
    assert site.record("e0").orders[0].state == "sent"
    site.run(60.0)
    assert orderscene.numbers(engine) == [1, 2]
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
    site.accept("e0", **orderscene.LOAD)
    site.run(orderscene.PROMPTLY_S)
    promptly = site.last("e0").state
    assert promptly == ("done" if checks_fencing else "sent")
    site.run(orderscene.FLIGHT_S + orderscene.PROMPTLY_S)
    assert site.last("e0").state == "done"
    assert orderscene.numbers(site.engines["e0"]) == [1]
    assert "a" in site.stored_row(site.engines["e0"].row).models


def test_order_that_never_arrived_is_sent_again() -> None:
    site = orderfakes.Site(False, 1, 1)
    site.engines["e0"].fate = "lost_before"
    site.accept("e0", **orderscene.LOAD)
    site.run(orderscene.FLIGHT_S + 2 * orderscene.PROMPTLY_S)
    assert orderscene.numbers(site.engines["e0"]) == [2]
    assert site.last("e0").state == "done"


def test_platform_outage_holds_orders_back_and_loses_none() -> None:
    # The platform's service goes out between an operator's order and its
    # sending. Nothing is ordered that could not be recorded; after the
    # outage the order is carried out once.
    site = orderfakes.Site(False, 1, 2)
    site.accept("e0", **orderscene.LOAD)
    site.keyvalue.has_outage = True
    site.run(60.0)
    assert orderscene.numbers(site.engines["e0"]) == []
    site.keyvalue.has_outage = False
    site.run(60.0)
    assert orderscene.numbers(site.engines["e0"]) == [1]
    assert site.last("e0").state == "done"


def test_outage_after_the_sending_does_not_send_again() -> None:
    # The platform goes out while the engine loads, so the end cannot be
    # recorded. The engine is not ordered again meanwhile or after.
    site = orderfakes.Site(True, 1, 1)
    engine = site.engines["e0"]
    site.accept("e0", **orderscene.LOAD)

    def fail_platform() -> None:
        site.keyvalue.has_outage = True

    engine.on_order = fail_platform
    site.run(60.0)
    assert site.last("e0").state == "sent"
    site.keyvalue.has_outage = False
    site.run(60.0)
    assert site.last("e0").state == "done"
    assert orderscene.numbers(engine) == [1]


def test_engine_lost_in_the_middle_ends_with_the_reason() -> None:
    # The engine dies in the middle of a load and never comes back. The
    # operator sees a failed order that says it is unknown what happened, in
    # bounded time, and the permit for weights goes to other engines.
    site = orderfakes.Site(False, 2, 1)
    engine = site.engines["e0"]
    engine.fate = "lost_before"
    site.accept("e0", **orderscene.LOAD)
    site.run(1.0)
    engine.is_up = False
    site.run(orderfakes.DEADLINE_S + orderscene.FLIGHT_S)
    assert site.last("e0").state == "failed"
    assert "unknown" in site.last("e0").reason
    site.accept("e1", **orderscene.LOAD)
    site.run(60.0)
    assert site.last("e1").state == "done"


def test_orders_of_a_removed_engine_fail() -> None:
    site = orderfakes.Site(True, 2, 1)
    site.engines["e0"].is_up = False
    site.accept("e0", **orderscene.LOAD)
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
    site.accept("e0", **orderscene.LOAD)
    site.vms[0].step("e0")
    site.remove_row("e0")
    site.accept("e1", **orderscene.LOAD)
    site.run(10.0)
    assert site.permits() == ["e0"]
    site.run(orderscene.FLIGHT_S + 2 * orderscene.PROMPTLY_S)
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
    site.accept("e0", **orderscene.UNLOAD)
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
    site.accept("e0", **orderscene.UNLOAD)
    site.run(2 * orderfakes.SETTLE_S - 2)
    assert site.last("e0").state == "draining"
    site.run(orderscene.PROMPTLY_S)
    assert site.last("e0").state == "done"


def test_superseded_vm_does_not_hide_what_its_successor_sent() -> None:
    # The weight store refuses, and the VM is frozen before it stores that
    # the order waits. Its successor sends the order again, which is still
    # on its way when the first VM comes back. If that stored `waiting`, the
    # next sending would overlap with the one on its way.
    site = orderfakes.Site(False, 1, 2)
    engine = site.engines["e0"]
    engine.fate = "busy"
    site.accept("e0", **orderscene.LOAD)
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
    site.accept("e0", **orderscene.LOAD)
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
    site.accept("e0", **orderscene.LOAD)
    engine.is_up = False
    site.run(orderfakes.DEADLINE_S - 5)
    engine.is_up = True
    engine.fate = "late"
    engine.late_s = 2 * orderfakes.TIMEOUT_S
    site.run(3 * orderfakes.TIMEOUT_S)
    assert site.last("e0").state == "done"
    assert orderscene.numbers(engine) == [1]


def test_successor_drains_too() -> None:
    # The VM that took the model out of the row is gone a moment later. The
    # VM after it finds the row without the model and must drain all the same.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **orderscene.UNLOAD)
    first = site.picked_for("e0")
    first.step("e0")
    first.step("e0")
    assert site.stored_row(site.engines["e0"].row).models == ()
    first.is_frozen = True
    site.unlist(first.name)
    site.run(orderfakes.SETTLE_S - 1)
    assert site.last("e0").state == "draining"
    site.run(orderscene.PROMPTLY_S)
    assert site.last("e0").state == "done"


def test_vm_that_drained_before_drains_again_after_another() -> None:
    # A VM has drained an engine when another takes over, which is put off,
    # so the model is served again. The first VM takes over in turn, while
    # the order is to be drained the second time. It must not think that it
    # has drained it: the engine would drop a model that callers use.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **orderscene.UNLOAD)
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
    site.accept("e0", **orderscene.UNLOAD)
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
    site.accept("e0", **orderscene.UNLOAD)
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
