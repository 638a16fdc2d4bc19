"""Tests of the number and sequence of concurrent orders, and of permits."""

from typing import Any

import pytest

from bulrushdeald import modelorders
from bulrushdeald import ordervms
from support import orderfakes
from support import orderscene
from support import pathfakes


def test_permit_is_free_again_when_its_orderer_died() -> None:
    # A VM dies after it acquired the only permit. The permit belongs to the
    # engine, so the next VM uses and releases it, and other engines get it.
    site = orderfakes.Site(True, 2, 2)
    site.accept("e0", **orderscene.LOAD)
    dying = site.assigned_vm("e0")
    orderscene.freeze(dying, 6)
    with pytest.raises(orderscene.FrozenError):
        dying.step("e0")
    dying.is_frozen = True
    assert site.permits() == ["e0"]
    site.accept("e1", **orderscene.LOAD)
    site.unlist(dying.name)
    site.run(60.0)
    assert [site.last(name).state for name in ("e0", "e1")] == ["done"] * 2
    assert site.permits() == []


def test_refusal_of_the_weight_store_is_obeyed_by_all_vms() -> None:
    # The store refuses one engine for 30 s. Until then no VM lets any engine
    # fetch, and the version that the engine holds is served; afterwards the
    # orders continue without intervention.
    site = orderfakes.Site(True, 2, 2)
    site.engines["e0"].outcome = "busy"
    site.accept("e0", action="load", model="base", version="2")
    site.run(orderfakes.SETTLE_S + orderscene.PROMPTLY_S)
    assert site.last("e0").state == "waiting"
    assert site.stored_row(site.engines["e0"].row).models == ("base",)
    site.accept("e1", **orderscene.LOAD)
    site.run(20.0)
    assert orderscene.fences(site.engines["e1"]) == []
    assert "weight store" in site.last("e1").reason
    site.run(100.0)
    assert [site.last(name).state for name in ("e0", "e1")] == ["done"] * 2


def test_engines_that_wait_for_weights_go_on_serving() -> None:
    # An operator orders another version on all engines, and the weight store
    # serves few at once. If all engines were drained first, the model would
    # not be served for the hours that the fetches take.
    site = orderfakes.Site(True, 3, 1)
    for name, engine in site.engines.items():
        site.accept(name, action="load", model="base", version="2")
        engine.running = 1
    site.run(orderfakes.SETTLE_S)
    rows = [site.stored_row(engine.row) for engine in site.engines.values()]
    assert sum(row.models == () for row in rows) == orderfakes.MAX_FETCHES
    site.run(200.0)
    rows = [site.stored_row(engine.row) for engine in site.engines.values()]
    assert [row.models for row in rows] == [("base",)] * 3
    assert all(site.last(name).state == "done" for name in site.engines)


def test_restarted_vm_resolves_orders_of_its_previous_run() -> None:
    # A VM restarts while its order is in flight, and meanwhile other VMs are
    # chosen to order engines. It stays listed, so no other VM takes its order
    # over; if it did not list the records once, the order would stay open.
    site = orderfakes.Site(True, 1, 9)
    site.accept("e0", **orderscene.LOAD)
    names = ordervms.order_vms(site.vms[0].membership)
    outside = next(vm for vm in site.vms if vm.name not in names)
    site.mark_sent_by("e0", outside.name)
    outside.restart()
    kernel: Any = orderscene.FakeKernel(site, outside)
    service = modelorders.ModelOrders(kernel, pathfakes.settings(), site.clock)
    service.attach(orderfakes.FakeCalls(site))
    assert service.watch_once(0.0)
    assert service.take_due() == ["e0"]
    service.step("e0")
    assert site.last("e0").state == "done"
    # It ignores the orders of other VMs until it is chosen itself.
    site.accept("e0", **orderscene.UNLOAD)
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
    # docs/design/orders.md states these numbers of calls.
    site = orderfakes.Site(True, 1, 1)
    for asked, reads, writes in (
        (orderscene.LOAD, 9, 5),
        (orderscene.UNLOAD, 13, 4),
    ):
        site.accept("e0", **asked)
        site.keyvalue.reads = site.keyvalue.writes = 0
        site.run(60.0)
        assert site.last("e0").state == "done"
        made = (site.keyvalue.reads, site.keyvalue.writes)
        assert made == (reads, writes)


def test_rollout_steps_few_engines_at_once_the_longest_due_first() -> None:
    # An operator loads a version on all engines. Each step reads from the
    # platform, which 6,400 concurrent steps would overload.
    site = orderfakes.Site(True, 40, 1)
    kernel: Any = orderscene.FakeKernel(site)
    settings = pathfakes.settings(order_threads=6)
    service = modelorders.ModelOrders(kernel, settings, site.clock)
    service.attach()
    for engine in site.engines:
        site.accept(engine, **orderscene.LOAD)
    assert service.watch_once(0.0)
    first = service.take_due()
    assert len(first) == 4
    # Only two of the six threads are left.
    assert len(service.take_due()) == 2
    assert service.take_due() == []
    assert len(service.dump()["open"]) == 40


def test_drained_engine_comes_before_those_that_wait() -> None:
    # In a rollout thousands of due orders wait for weights. An engine whose
    # model is out of service must not wait behind all of them.
    site = orderfakes.Site(True, 9, 1)
    kernel: Any = orderscene.FakeKernel(site)
    service = modelorders.ModelOrders(kernel, pathfakes.settings(), site.clock)
    service.attach(orderfakes.FakeCalls(site))
    site.accept("e8", **orderscene.UNLOAD)
    for _ in range(2):
        assert service.watch_once(0.0)
        assert service.take_due() == ["e8"]
        service.step("e8")
    for number in range(8):
        site.accept(f"e{number}", **orderscene.LOAD)
    assert service.watch_once(0.0)
    site.advance(orderfakes.SETTLE_S)
    assert service.take_due()[0] == "e8"


def test_order_that_comes_during_a_step_is_not_forgotten() -> None:
    # An order ends, and the next one is accepted just after the VM has read
    # that none is open. The watch returns it while that step still runs. The
    # end of the step unscheduled the engine, so the order waited until the
    # next order to that engine.
    site = orderfakes.Site(True, 1, 1)
    kernel: Any = orderscene.FakeKernel(site)
    service = modelorders.ModelOrders(kernel, pathfakes.settings(), site.clock)
    service.attach()
    site.accept("e0", **orderscene.LOAD)
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
