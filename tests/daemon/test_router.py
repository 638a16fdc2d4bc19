"""Tests of the router: priority of online work, crashes, ownership."""

import threading
from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st
import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import inflightreports
from bulrushdeald import router as router_lib
from bulrushdeald import services
from bulrushdeald import slots
from support import fakes

SLOTS = 4
RESERVE = 1
VM_A = records.Vm("vm-a", "d1", "entry")
VM_B = records.Vm("vm-b", "d1", "entry")


def engine(name: str, **fields: Any) -> records.Upstream:
    return records.Upstream(
        name, "engine", "127.0.0.1:1", f"host-{name}", "d1", ("m",)
    )._replace(slots=SLOTS, **fields)


def work(
    work_class: records.WorkClass, fingerprint: str = "", customer: str = "c"
) -> services.PlacementRequest:
    return services.PlacementRequest(
        customer, work_class, "m", "", b"", 10, fingerprint, 0.0
    )


class Fleet:
    """The routers of two VMs that share two engines."""

    def __init__(self, manual_reports: bool = True) -> None:
        self.network = fakes.Network()
        self.leaving: set[str] = set()
        self.config = fakes.Config((engine("e1"), engine("e2")))
        self.memberships: list[fakes.Membership] = []
        self.clock = clock_lib.FakeClock()
        self.routers: dict[str, router_lib.UpstreamRouter] = {}
        for vm in (VM_A, VM_B):
            membership = fakes.Membership(vm, (VM_A, VM_B))
            membership.leaving = self.leaving
            self.memberships.append(membership)
            kernel = fakes.kernel(
                membership, fakes.Peers(self.network, vm.vm), self.config
            )
            router = router_lib.UpstreamRouter(
                kernel,
                fakes.settings(vm=vm.vm, batch_reserve_fraction="0.25"),
                self.clock,
            )
            router.start()
            if manual_reports:
                # Keeps the router from starting reporting threads: a thread
                # may build a report before the test sends a newer one, and
                # deliver the older report last.
                vars(router._inflight_reports)["_start_reporting"] = (
                    lambda owner: None
                )
            self.routers[vm.vm] = router

    def cut_owner_off(self, upstream: str) -> tuple[str, str]:
        """Cuts off an upstream's owner; returns it and the other VM."""
        owner = self.routers["vm-a"].topology().owners.of(upstream)
        other = "vm-b" if owner == "vm-a" else "vm-a"
        self.network.cuts.add(frozenset((owner, other)))
        return owner, other

    def report(self) -> None:
        for router in self.routers.values():
            router.send_reports()

    def stop(self) -> None:
        for router in self.routers.values():
            router.stop(0)


def take(
    router: router_lib.UpstreamRouter, wanted: services.PlacementRequest
) -> services.Slot | None:
    answer = router.acquire(wanted)
    return answer.unwrap() if isinstance(answer, result.Ok) else None


class OnlineBeforeBatch(stateful.RuleBasedStateMachine):
    """Compares online and batch placement on two VMs with a simple model.

    Guards against online requests that wait for batch items to end: a burst
    arrives while the engines are full of batch items. This happens if batch
    items do not yield or if they count against the room for online requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.online: list[services.Slot] = []
        self.batch: list[slots.Slot] = []
        self.yield_events: dict[int, threading.Event] = {}

    def running(self, upstream: str) -> int:
        return sum(s.upstream.upstream == upstream for s in self.online)

    def room(self, upstream: str) -> int:
        """Returns how many more batch items may run, at least 0."""
        batch = sum(s.upstream.upstream == upstream for s in self.batch)
        return max(0, SLOTS - RESERVE - self.running(upstream) - batch)

    @stateful.rule(vm=st.sampled_from(["vm-a", "vm-b"]))
    def start_online(self, vm: str) -> None:
        total = len(self.online)
        slot = take(self.fleet.routers[vm], work("online"))
        self.fleet.report()
        # Batch items never block an online request.
        assert (slot is not None) == (total < 2 * SLOTS)
        if slot is not None:
            self.online.append(slot)

    @stateful.rule(vm=st.sampled_from(["vm-a", "vm-b"]))
    def start_batch(self, vm: str) -> None:
        router = self.fleet.routers[vm]
        has_room = any(map(self.room, router.topology().owned))
        slot = take(router, work("batch"))
        # Free batch slots are used; otherwise batch work would be slow.
        assert (slot is not None) == has_room
        if not isinstance(slot, slots.Slot):
            return
        event = threading.Event()
        slot.on_yield(event.set)
        self.batch.append(slot)
        self.yield_events[id(slot)] = event

    @stateful.precondition(lambda self: self.online)
    @stateful.rule(data=st.data())
    def end_online(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.online) - 1))
        self.online.pop(index).release("ok")
        self.fleet.report()

    @stateful.precondition(lambda self: self.batch)
    @stateful.rule(data=st.data())
    def end_batch(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.batch) - 1))
        self.batch.pop(index).release("ok")

    @stateful.invariant()
    def batch_leaves_room(self) -> None:
        for name in ("e1", "e2"):
            items = [s for s in self.batch if s.upstream.upstream == name]
            allowed = max(0, SLOTS - RESERVE - self.running(name))
            yielding = [
                s for s in items if s.batch_item and s.batch_item.is_yielding
            ]
            assert all(self.yield_events[id(s)].wait(5.0) for s in yielding)
            assert len(items) - len(yielding) <= allowed

    def teardown(self) -> None:
        self.fleet.stop()


TestOnlineBeforeBatch = OnlineBeforeBatch.TestCase


def test_crashing_request_is_bounded_over_vms() -> None:
    # A request crashes each engine that runs it, and the caller retries it
    # through the other VM each time. Without crash notices between VMs, it
    # would crash two engines for each VM. With them it crashes two in all,
    # and then both VMs refuse it at once.
    fleet = Fleet()
    lost = 0
    for attempt in range(6):
        vm = ("vm-a", "vm-b")[attempt % 2]
        slot = take(fleet.routers[vm], work("online", "poison"))
        if slot is not None:
            slot.release("crashed")
            lost += 1
    answers = [
        r.acquire(work("online", "poison")) for r in fleet.routers.values()
    ]
    fleet.stop()
    assert lost == 2
    for answer in answers:
        refusal = answer.unwrap_err()
        assert (refusal.code, refusal.ran) == ("quarantined", "ran")


def test_bystander_of_a_crash_still_runs() -> None:
    # Two requests run on an engine when one of them crashes it. Both become
    # suspects and no longer run on the same engine, so the harmless one is
    # not involved in a second crash and is served.
    fleet = Fleet()
    router = fleet.routers["vm-a"]
    slots = [take(router, work("online", name)) for name in ("bad", "good")]
    for slot in slots:
        assert slot is not None
        slot.release("crashed")
    fleet.config.set_upstreams(engine("e3"))
    bad = take(router, work("online", "bad"))
    assert bad is not None
    refusal = router.acquire(work("online", "good")).unwrap_err()
    assert (refusal.code, refusal.ran) == ("overloaded", "not_run")
    assert refusal.retry_after_s > 0
    bad.release("crashed")
    fleet.config.set_upstreams(engine("e4"))
    assert router.acquire(work("online", "bad")).is_err()
    assert router.acquire(work("online", "good")).is_ok()
    fleet.stop()


def test_leaving_upstream_gets_nothing_new() -> None:
    fleet = Fleet()
    router = fleet.routers["vm-a"]
    fleet.leaving.add("host-e1")
    for _ in range(SLOTS):
        slot = take(router, work("online"))
        assert slot is not None
        assert slot.upstream.upstream == "e2"
    fleet.stop()


def test_own_failure_domain_comes_first_and_others_take_the_rest() -> None:
    # Guards against requests that go to another failure domain although an
    # engine in their own is idle.
    fleet = Fleet()
    far = engine("far")._replace(failure_domain="d2")
    fleet.config.set_upstreams(far, engine("near"))
    router = fleet.routers["vm-a"]
    # The far engine's owner has reported that nothing runs there.
    fleet.report()
    placed = [take(router, work("online")) for _ in range(2 * SLOTS)]
    names = [slot.upstream.upstream if slot else "" for slot in placed]
    assert names == ["near"] * SLOTS + ["far"] * SLOTS
    fleet.stop()


def test_resumed_item_returns_to_its_upstream_though_others_are_idle() -> None:
    # Guards against a yielded batch item that restarts on an idle engine
    # and loses the state that its earlier engine kept.
    fleet = Fleet()
    fleet.config.set_upstreams(*[engine(f"e{n}") for n in range(8)])
    router = fleet.routers["vm-a"]
    owned = sorted(router.topology().owned)
    assert len(owned) > 1
    for name in owned:
        resumed = take(router, work("batch")._replace(resume_upstream=name))
        assert resumed is not None
        assert resumed.upstream.upstream == name
        resumed.release("ok")
    fleet.stop()


def test_unknown_model_is_not_found_and_full_engines_say_when() -> None:
    fleet = Fleet()
    router = fleet.routers["vm-a"]
    unknown = router.acquire(work("online")._replace(model="x")).unwrap_err()
    assert (unknown.status, unknown.ran) == (404, "not_run")
    for _ in range(2 * SLOTS):
        assert take(router, work("online")) is not None
    full = router.acquire(work("online")).unwrap_err()
    assert (full.status, full.ran) == (503, "not_run")
    assert full.retry_after_s > 0
    fleet.stop()


def test_yielded_item_resumes_at_its_upstream_before_new_ones() -> None:
    # Online bursts make the same items yield repeatedly. An engine keeps the
    # state of a cancelled stream only for a while, so an item that restarts
    # on another engine or waits behind the backlog loses its work, and the
    # batch becomes slow.
    fleet = Fleet()
    owners = fleet.routers["vm-a"].topology().owners
    router = fleet.routers[owners.of("e1")]
    running = [take(router, work("batch")) for _ in range(2 * SLOTS)]
    on_e1 = [s for s in running if s and s.upstream.upstream == "e1"]
    assert len(on_e1) == SLOTS - RESERVE
    found: list[str] = []

    def wait_for_slot(name: str, wanted: services.PlacementRequest) -> None:
        answer = router.acquire(wanted._replace(deadline_s=30.0))
        found.append(f"{name} {answer.unwrap().upstream.upstream}")

    waits: tuple[tuple[str, services.PlacementRequest], ...] = (
        ("new", work("batch")),
        ("yielded", work("batch")._replace(resume_upstream="e1")),
    )
    threads = []
    for count, (name, wanted) in enumerate(waits, 1):
        thread = threading.Thread(target=wait_for_slot, args=(name, wanted))
        thread.start()
        threads.append(thread)
        while router.dump()["queues"]["m"]["batch"] < count:
            threads[-1].join(0.01)
    on_e1[0].release("ok")
    threads[1].join()
    on_e1[1].release("ok")
    threads[0].join()
    fleet.stop()
    assert found == ["yielded e1", "new e1"]


def test_batch_yields_to_requests_that_only_the_engine_reports() -> None:
    # A VM that is cut off from the owner of an engine goes on sending online
    # requests to the engine, which the owner has filled with batch items. The
    # owner finds these requests only in the engine's lagging load report.
    # Requests that the owner started after the report are not external.
    fleet = Fleet()
    owner = fleet.routers["vm-a"].topology().owners.of("e1")
    router = fleet.routers[owner]
    running = [take(router, work("batch")) for _ in range(2 * SLOTS)]
    on_e1 = [s for s in running if s and s.upstream.upstream == "e1"]
    yielded = threading.Semaphore(0)
    for slot in on_e1:
        slot.on_yield(yielded.release)
    router.update_engine_load("e1", 1)
    router.update_engine_load("e1", len(on_e1))
    assert not yielded.acquire(blocking=False)
    router.update_engine_load("e1", len(on_e1) + 2)
    assert yielded.acquire(timeout=5.0)
    assert yielded.acquire(timeout=5.0)
    assert not yielded.acquire(blocking=False)
    fleet.stop()


def test_owner_gets_reports_of_others_requests_and_batch_yields() -> None:
    # Guards against online requests on one VM that wait behind the batch
    # items of another: the other VM owns the engine and got no report.
    fleet = Fleet(manual_reports=False)
    owner = fleet.routers["vm-a"].topology().owners.of("e1")
    other = "vm-b" if owner == "vm-a" else "vm-a"
    yielded = threading.Semaphore(0)
    for _ in range(2 * SLOTS):
        slot = take(fleet.routers[owner], work("batch"))
        if slot is not None:
            slot.on_yield(yielded.release)
    for _ in range(2 * SLOTS):
        assert take(fleet.routers[other], work("online")) is not None
    for _ in range(SLOTS - RESERVE):
        assert yielded.acquire(timeout=5.0)
    fleet.stop()


def test_upstreams_of_a_frozen_owner_go_to_another_vm_and_back() -> None:
    # A VM freezes but stays on the platform's list. Ownership once followed
    # from the list alone, so no batch item ran on the engines of the frozen
    # VM until the list dropped it.
    fleet = Fleet()
    owner, other = fleet.cut_owner_off("e1")
    router = fleet.routers[other]
    router.send_reports()
    assert "e1" not in router.topology().owned
    fleet.clock.sleep_s(inflightreports.UNRESPONSIVE_AFTER_S)
    router.send_reports()
    assert "e1" in router.topology().owned
    placed = [take(router, work("batch")) for _ in range(2 * SLOTS)]
    assert any(s and s.upstream.upstream == "e1" for s in placed)
    fleet.network.cuts.clear()
    router.send_report_to(owner)
    assert "e1" not in router.topology().owned
    fleet.stop()


def test_removed_vm_leaves_no_state_behind() -> None:
    # VMs are replaced constantly under new names. Each removed VM left a
    # thread and its last report, until the daemon ran out of memory.
    fleet = Fleet()
    owner, other = fleet.cut_owner_off("e1")
    router = fleet.routers[other]
    router.send_reports()
    fleet.clock.sleep_s(inflightreports.UNRESPONSIVE_AFTER_S)
    router.send_reports()
    assert router.is_unresponsive(owner)
    for membership in fleet.memberships:
        membership.vms = tuple(vm for vm in membership.vms if vm.vm != owner)
    assert router.topology().peer_owners == frozenset()
    assert not router.is_unresponsive(owner)
    fleet.stop()
