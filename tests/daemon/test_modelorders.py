"""Tests of orders to engines under faults of VMs, engines and the store."""

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
    # A VM is frozen just before it orders version 1, and is unlisted. Another
    # VM loads version 1 and then, as ordered, version 2. The first VM resumes
    # and must not send version 1, even to an engine that would execute it.
    # At moment 9 it has already read the record again, so only its clock
    # shows the freeze; if its clock stopped, only reading the record does.
    site = orderfakes.Site(checks_fencing, 1, 2)
    engine = site.engines["e0"]
    site.accept("e0", **orderscene.LOAD)
    frozen = site.assigned_vm("e0")
    states: list[tuple[str, str]] = []

    def run_others() -> None:
        began_s = site.clock.now_s
        site.unlist(frozen.name)
        site.run(orderscene.PROMPTLY_S)
        states.append((site.last("e0").state, site.record("e0").vm))
        site.run(orderscene.FLIGHT_S)
        site.accept("e0", **{**orderscene.LOAD, "version": "2"})
        site.run(100.0)
        if clock_stands:
            frozen.clock.stopped_s = site.clock.now_s - began_s

    # The VM's calls, each with a moment before and after: read the record,
    # read and write the permits, mark the order sent, read the record again.
    frozen.keyvalue.freeze = run_others
    frozen.keyvalue.freeze_after = moment
    frozen.step("e0")
    site.listed.add(frozen.name)
    site.run(100.0)
    assert [order.version for order in engine.carried_out] == ["1", "2"]
    assert site.last("e0").state == "done"
    # Only an engine that refuses old fencing numbers may be ordered at once.
    waited = states[0] == ("sent", frozen.name)
    assert waited == (not checks_fencing)


def test_successor_waits_as_long_as_an_order_can_be_on_its_way() -> None:
    # The sender dies while its order to an engine that does not check fencing
    # numbers is in flight; the order arrives two timeouts later. If the
    # successor sent before that, an old order could arrive after a newer one.
    site = orderfakes.Site(False, 1, 2)
    engine = site.engines["e0"]
    engine.outcome = "late"
    engine.delay_s = 2 * orderfakes.TIMEOUT_S
    site.accept("e0", **orderscene.LOAD)
    sender = site.assigned_vm("e0")
    sender.step("e0")
    sender.is_frozen = True
    site.unlist(sender.name)
    site.accept("e0", **{**orderscene.LOAD, "version": "2"})
    site.run(orderscene.FLIGHT_S - 1)
    assert orderscene.fences(engine) == [1]
    assert site.record("e0").orders[0].state == "sent"
    site.run(60.0)
    assert orderscene.fences(engine) == [1, 2]
    assert site.last("e0").state == "done"


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_outcome_of_lost_answer_is_read_from_the_engine(
    checks_fencing: bool,
) -> None:
    # The engine loads the model and its answer is lost. The outcome is read
    # from the engine's state and not inferred from the missing answer, so
    # the operator sees `done` and the engine is ordered once.
    site = orderfakes.Site(checks_fencing, 1, 1)
    site.engines["e0"].outcome = "lost_after"
    site.accept("e0", **orderscene.LOAD)
    site.run(orderscene.PROMPTLY_S)
    promptly = site.last("e0").state
    assert promptly == ("done" if checks_fencing else "sent")
    site.run(orderscene.FLIGHT_S + orderscene.PROMPTLY_S)
    assert site.last("e0").state == "done"
    assert orderscene.fences(site.engines["e0"]) == [1]
    assert "a" in site.stored_row(site.engines["e0"].row).models


def test_order_that_never_arrived_is_sent_again() -> None:
    site = orderfakes.Site(False, 1, 1)
    site.engines["e0"].outcome = "lost_before"
    site.accept("e0", **orderscene.LOAD)
    site.run(orderscene.FLIGHT_S + 2 * orderscene.PROMPTLY_S)
    assert orderscene.fences(site.engines["e0"]) == [2]
    assert site.last("e0").state == "done"


def test_platform_outage_holds_orders_back_and_loses_none() -> None:
    # The platform's store fails between the acceptance of an order and its
    # sending. No order is sent that cannot be recorded; after the outage the
    # order is carried out once.
    site = orderfakes.Site(False, 1, 2)
    site.accept("e0", **orderscene.LOAD)
    site.keyvalue.has_outage = True
    site.run(60.0)
    assert orderscene.fences(site.engines["e0"]) == []
    site.keyvalue.has_outage = False
    site.run(60.0)
    assert orderscene.fences(site.engines["e0"]) == [1]
    assert site.last("e0").state == "done"


def test_outage_after_the_sending_does_not_send_again() -> None:
    # The platform fails while the engine loads, so the end cannot be
    # recorded. The engine is not ordered again during or after the outage.
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
    assert orderscene.fences(engine) == [1]


def test_engine_lost_in_the_middle_ends_with_the_reason() -> None:
    # The engine dies during a load and never returns. Within a bounded time
    # the order fails with the reason that its outcome is unknown, and the
    # permit to fetch weights goes to other engines.
    site = orderfakes.Site(False, 2, 1)
    engine = site.engines["e0"]
    engine.outcome = "lost_before"
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
    # An operator removes an engine during a load. It may still fetch weights,
    # so no other engine starts to fetch before that load is over.
    site = orderfakes.Site(True, 2, 1)
    site.engines["e0"].outcome = "late"
    site.engines["e0"].delay_s = orderfakes.TIMEOUT_S + 5
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
    # An operator unloads a model that callers stream from. Ordering the engine
    # at once cut their streams. So the row stops naming the model, and the
    # engine drops it after the streams end or the drain time is over.
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
    # the order waits. Its successor sends the order again, which is still in
    # flight when the first VM resumes. If the first VM then stored `waiting`,
    # the next sending would overlap with the one in flight.
    site = orderfakes.Site(False, 1, 2)
    engine = site.engines["e0"]
    engine.outcome = "busy"
    site.accept("e0", **orderscene.LOAD)
    frozen = site.assigned_vm("e0")

    def run_others() -> None:
        site.unlist(frozen.name)
        engine.outcome = "late"
        engine.delay_s = 2 * orderfakes.TIMEOUT_S
        while site.record("e0").fence == 1:
            site.run(1.0)
        assert engine.delayed

    # The VM's calls: read the record, read and write the permits, mark the
    # order sent, read the record twice, read and write the permits, store
    # the waiting order.
    frozen.keyvalue.freeze = run_others
    frozen.keyvalue.freeze_after = 16
    frozen.step("e0")
    assert frozen.keyvalue.freeze is None
    assert (site.last("e0").state, site.last("e0").fence) == ("sent", 2)
    site.run(100.0)
    assert site.last("e0").state == "done"


def test_superseded_vm_does_not_serve_what_was_dropped_since() -> None:
    # A VM has ordered a load and is frozen before it adds the model to the
    # engine's row. Its successor adds it and then, as ordered, unloads the
    # model. If the first VM resumed and still edited the row, callers would
    # be sent to an engine without the model.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **orderscene.LOAD)
    frozen = site.assigned_vm("e0")

    def run_others() -> None:
        site.unlist(frozen.name)
        site.run(10.0)
        site.accept("e0", action="unload", model="a")
        site.run(60.0)
        assert site.last("e0").state == "done"

    # The same calls as above, up to the second repeated read of the record.
    frozen.keyvalue.freeze = run_others
    frozen.keyvalue.freeze_after = 12
    frozen.step("e0")
    assert frozen.keyvalue.freeze is None
    assert site.stored_row(site.engines["e0"].row).models == ("base",)


def test_order_does_not_fail_while_it_may_still_arrive() -> None:
    # An order is sent just before its deadline, its answer is lost, and the
    # engine executes it after the deadline. If the order failed at the
    # deadline, the operator would see `failed` for a model that is loaded.
    site = orderfakes.Site(True, 1, 1)
    engine = site.engines["e0"]
    site.accept("e0", **orderscene.LOAD)
    engine.is_up = False
    site.run(orderfakes.DEADLINE_S - 5)
    engine.is_up = True
    engine.outcome = "late"
    engine.delay_s = 2 * orderfakes.TIMEOUT_S
    site.run(3 * orderfakes.TIMEOUT_S)
    assert site.last("e0").state == "done"
    assert orderscene.fences(engine) == [1]


def test_successor_drains_too() -> None:
    # A VM removes the model from the row and dies. Its successor finds the
    # row without the model and must still drain the engine.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **orderscene.UNLOAD)
    first = site.assigned_vm("e0")
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
    # A VM has drained an engine when another VM takes the order over. That
    # sending is postponed, so the model is served again. The first VM then
    # takes the order back. If it counted its own earlier drain, the engine
    # would drop a model that callers use.
    site = orderfakes.Site(True, 1, 2)
    site.accept("e0", **orderscene.UNLOAD)
    first = site.assigned_vm("e0")
    other = next(vm for vm in site.vms if vm is not first)
    first.step("e0")
    first.step("e0")
    first.is_frozen = True
    site.unlist(first.name)
    site.engines["e0"].outcome = "busy"
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
    site.engines["e0"].outcome = "refused"
    site.accept("e0", **orderscene.UNLOAD)
    site.run(60.0)
    assert site.last("e0").state == "failed"
    assert site.last("e0").reason == "no such"
    assert site.stored_row(site.engines["e0"].row).models == ("base",)


@pytest.mark.parametrize("moment", range(0, 40, 2))
@pytest.mark.parametrize("outcome", ["refused", "busy"])
def test_outage_at_any_moment_of_an_unload_that_is_not_done_at_once(
    outcome: orderfakes.SendOutcome, moment: int
) -> None:
    # The engine does not drop the model yet, so it is served again, and the
    # platform fails for a while at any moment of this. When the engine drops
    # the model later, no row may name it (the fake engine checks that). It
    # did when the failure was not stored before the row was changed, and when
    # a postponed order was not drained a second time.
    site = orderfakes.Site(True, 1, 1)
    site.engines["e0"].outcome = outcome
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
