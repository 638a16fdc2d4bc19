"""Tests of fairness between customers whose requests wait on several VMs."""

import queue
import threading

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import router as router_lib
from bulrushdeald import services
from support import fakes

VMS = (records.Vm("vm-a", "d1", "entry"), records.Vm("vm-b", "d1", "entry"))
SLOTS = 4
# The longest possible queue: a request that would wait over 5 s is refused.
BACKLOG = 2 * SLOTS
_TIMEOUT_S = 10.0
ENGINE = records.Upstream(
    "e1", "engine", "127.0.0.1:1", "host", "d1", ("m",), slots=SLOTS
)


def test_a_quiet_customer_is_not_behind_another_vms_backlog() -> None:
    # One customer's requests hold all slots through VM A and more of them
    # wait there. Another customer's only request waits on VM B. If A gave
    # each freed slot to its own next request, before B is notified of the
    # slot, B's request would wait for A's whole backlog or be refused after
    # 5 s.
    network = fakes.Network()
    routers = [_router(network, vm) for vm in VMS]
    loud, quiet = routers
    held = [loud.acquire(_work("loud")).unwrap() for _ in range(SLOTS)]
    placed: queue.Queue[services.Slot | None] = queue.Queue()
    order: list[str] = []

    def ask(router: router_lib.UpstreamRouter, customer: str) -> None:
        answer = router.acquire(_work(customer))
        if isinstance(answer, result.Ok):
            order.append(customer)
        placed.put(answer.ok())

    threads = [
        threading.Thread(target=ask, args=(loud, "loud"), daemon=True)
        for _ in range(BACKLOG)
    ]
    threads.append(
        threading.Thread(target=ask, args=(quiet, "quiet"), daemon=True)
    )
    _report(routers)
    for thread in threads:
        thread.start()
    while _waiting(loud) < BACKLOG or _waiting(quiet) < 1:
        assert placed.empty()
    for _ in threads:
        held.pop(0).release("ok")
        _report(routers)
        slot = placed.get(timeout=_TIMEOUT_S)
        if slot is not None:
            held.append(slot)
    for thread in threads:
        thread.join()
    for router in routers:
        router.stop(0)
    assert "quiet" in order[:SLOTS]


def test_far_upstream_is_not_filled_before_its_owner_reports() -> None:
    # A burst fills a failure domain, and its VM sends its whole backlog to
    # an engine in another domain that is full as well. The engine then runs
    # twice its slots and answers every request late. The cause was that an
    # engine counted as idle until its owner had reported.
    far = records.Vm("vm-b", "d2", "entry")
    engine = ENGINE._replace(failure_domain="d2")
    network = fakes.Network()
    near = _router(network, VMS[0], (VMS[0], far), engine)
    owner = _router(network, far, (VMS[0], far), engine)
    network.cuts.add(frozenset(("vm-a", "vm-b")))
    held = [owner.acquire(_work("quiet")).unwrap() for _ in range(SLOTS)]
    short_deadline = _work("loud")._replace(deadline_s=0.01)
    placed = [near.acquire(short_deadline) for _ in range(SLOTS)]
    assert sum(isinstance(each, result.Ok) for each in placed) == 1
    network.cuts.clear()
    near.send_report_to("vm-b")
    held.pop().release("ok")
    near.send_report_to("vm-b")
    # All slots are taken again: three by the owner, one by the other VM.
    assert isinstance(near.acquire(short_deadline), result.Err)
    held.pop().release("ok")
    near.send_report_to("vm-b")
    assert isinstance(near.acquire(short_deadline), result.Ok)
    for router in (near, owner):
        router.stop(0)


def _router(
    network: fakes.Network,
    vm: records.Vm,
    vms: tuple[records.Vm, ...] = VMS,
    engine: records.Upstream = ENGINE,
) -> router_lib.UpstreamRouter:
    kernel = fakes.kernel(
        fakes.Membership(vm, vms),
        fakes.Peers(network, vm.vm),
        fakes.Config((engine,)),
    )
    router = router_lib.UpstreamRouter(
        kernel, fakes.settings(vm=vm.vm), clock_lib.SystemClock()
    )
    router.start()
    return router


def _report(routers: list[router_lib.UpstreamRouter]) -> None:
    for router in routers:
        router.send_reports()


def _waiting(router: router_lib.UpstreamRouter) -> int:
    queues = router.dump()["queues"]
    return int(queues["m"]["online"]) if "m" in queues else 0


def _work(customer: str) -> services.PlacementRequest:
    return services.PlacementRequest(
        customer, "online", "m", "", b"", 10, "", 30.0
    )
