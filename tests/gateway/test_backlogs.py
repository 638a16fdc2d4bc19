"""Tests the bound on a customer's waiting batch tokens over several VMs."""

from collections.abc import Callable
from concurrent import futures
from typing import Any

from hypothesis import stateful
from hypothesis import strategies
import result

from bulrushdeal import kernel as kernel_lib
from bulrushplatform import wire
from gateway import backlogs
from gateway import configuration
from gateway import dialect
from gateway import joblisting
from gateway import jobmessages
from gateway import jobrecords
from gateway import jobstore
from gateway import names
from gateway.decisions import backlog
from support import gatewayengine
from support import gatewayscene
from support import gatewaystore

_BOUND = 100
_PREFIX = wire.Dialect().store_keys.own_prefix
_KEYS = jobrecords.Keys(_PREFIX)


class _RacingClient(gatewaystore.StoreClient):
    """A VM's store client that can run a callback before its next commit."""

    def __init__(self, store: gatewaystore.MemoryStore) -> None:
        super().__init__(store)
        self.before_commit: Callable[[], None] | None = None

    def commit(
        self,
        expected: tuple[dialect.RevisionCondition, ...],
        writes: tuple[dialect.Write, ...],
        deletes: tuple[str, ...],
        timeout_s: float,
    ) -> Any:
        race, self.before_commit = self.before_commit, None
        if race is not None:
            race()
        return super().commit(expected, writes, deletes, timeout_s)


class _Vm:
    """The parts of one VM that track the backlogs."""

    def __init__(self, store: gatewaystore.MemoryStore) -> None:
        self.client = _RacingClient(store)
        kernel = kernel_lib.Kernel()
        kernel.register_object(names.STORE, self.client)
        kernel.register_object(names.DIALECT, wire.Dialect())
        job_store = jobstore.JobStore(kernel)
        job_store.start()
        kernel.register_object(names.JOB_STORE, job_store)
        self.listing = joblisting.JobListing(kernel)
        self.listing.start()
        self._backlogs = backlogs.Backlogs(self.client, job_store, self.listing)

    def accept(
        self, job: str, tokens: int, bound: int = _BOUND
    ) -> result.Result[int | dialect.Conflict, jobmessages.JobError]:
        meta = jobrecords.JobMeta(
            job, "c", "h", "/b/", 1, ("i",), 1, 3, 60.0, 18.0, "backlog"
        )
        acceptance = backlogs.JobAcceptance(
            meta,
            dialect.RevisionCondition(_KEYS.meta(job), 0),
            (
                dialect.Write(_KEYS.meta(job), jobrecords.pack(meta)),
                dialect.Write(
                    _KEYS.open_job(job),
                    jobrecords.pack(meta.open_record(tokens)),
                ),
            ),
        )
        return self._backlogs.accept(acceptance, backlog.Demand(tokens, bound))


def _waiting_tokens(store: gatewaystore.MemoryStore) -> int:
    return sum(
        jobrecords.unpack(jobrecords.OpenJob, row.value or b"").tokens
        for key, row in store.rows.items()
        if key.startswith(_KEYS.open)
    )


def _is_accepted(made: Any) -> bool:
    return isinstance(made, result.Ok) and isinstance(made.ok_value, int)


def _error_kind(made: Any) -> str:
    return made.err_value.kind if isinstance(made, result.Err) else ""


class BacklogMachine(stateful.RuleBasedStateMachine):
    """Several VMs accept jobs; the waiting tokens in the store are checked."""

    def __init__(self) -> None:
        super().__init__()
        self.store = gatewaystore.MemoryStore()
        self.vms = [_Vm(self.store) for _ in range(3)]
        self.bound = _BOUND
        self.jobs = 0

    vm_numbers = strategies.integers(0, 2)
    sizes = strategies.integers(1, 60)

    def _submit(self, vm: int, tokens: int) -> None:
        self.jobs += 1
        made = self.vms[vm].accept(f"j{self.jobs}", tokens, self.bound)
        if _is_accepted(made):
            assert not self.bound or _waiting_tokens(self.store) <= self.bound
        elif _error_kind(made) == "no_room":
            assert _waiting_tokens(self.store) + tokens > self.bound

    @stateful.rule(vm=vm_numbers, tokens=sizes)
    def submit(self, vm: int, tokens: int) -> None:
        self._submit(vm, tokens)

    @stateful.rule(vm=vm_numbers, tokens=sizes, other=vm_numbers, more=sizes)
    def submit_two_at_once(
        self, vm: int, tokens: int, other: int, more: int
    ) -> None:
        self.jobs += 1
        racing = f"racing{self.jobs}"
        self.vms[vm].client.before_commit = lambda: self._race(
            other, racing, more
        )
        self._submit(vm, tokens)
        self.vms[vm].client.before_commit = None

    def _race(self, vm: int, job: str, tokens: int) -> None:
        self.vms[vm].accept(job, tokens, self.bound)

    @stateful.rule(vm=vm_numbers, tokens=sizes)
    def submit_and_lose_the_answer(self, vm: int, tokens: int) -> None:
        self.vms[vm].client.lost_commits = 1
        self._submit(vm, tokens)
        self.vms[vm].client.lost_commits = 0

    @stateful.rule(vm=vm_numbers, tokens=sizes)
    def submit_while_the_store_is_away(self, vm: int, tokens: int) -> None:
        self.vms[vm].client.is_down = True
        self.jobs += 1
        made = self.vms[vm].accept(f"j{self.jobs}", tokens, self.bound)
        # A VM must not refuse a job by its cached count alone.
        assert _error_kind(made) == "unavailable"
        self.vms[vm].client.is_down = False

    @stateful.rule(left=strategies.integers(0, 30))
    def items_end(self, left: int) -> None:
        for key, row in list(self.store.rows.items()):
            if not key.startswith(_KEYS.open):
                continue
            held = jobrecords.unpack(jobrecords.OpenJob, row.value or b"")
            if held.tokens > left:
                kept = held._replace(tokens=left)
                self.store.write(key, jobrecords.pack(kept))
            return

    @stateful.rule()
    def a_job_ends(self) -> None:
        for key in list(self.store.rows):
            if key.startswith(_KEYS.open):
                self.store.write(key, None)
                return

    @stateful.rule(vm=vm_numbers)
    def read_the_listing(self, vm: int) -> None:
        self.vms[vm].listing.read()

    @stateful.rule(vm=vm_numbers)
    def restart(self, vm: int) -> None:
        self.vms[vm] = _Vm(self.store)

    @stateful.rule(bound=strategies.sampled_from([0, 40, _BOUND]))
    def configure(self, bound: int) -> None:
        self.bound = bound


TestBacklogMachine = BacklogMachine.TestCase


def test_two_vms_do_not_exceed_the_bound_together() -> None:
    """Both VMs find that a job fits, and commit one after the other."""
    store = gatewaystore.MemoryStore()
    first, second = _Vm(store), _Vm(store)
    assert _is_accepted(first.accept("j1", 10))
    first.client.before_commit = lambda: _expect_accepted(
        second.accept("j2", 60)
    )
    assert _error_kind(first.accept("j3", 60)) == "no_room"
    assert _waiting_tokens(store) == 70


def _expect_accepted(made: Any) -> None:
    assert _is_accepted(made)


def test_a_restored_bound_counts_jobs_accepted_without_it() -> None:
    """Jobs accepted while there was no bound are missing from the count."""
    store = gatewaystore.MemoryStore()
    vm = _Vm(store)
    assert _is_accepted(vm.accept("j1", 10))
    assert _is_accepted(vm.accept("j2", 80, bound=0))
    assert _error_kind(vm.accept("j3", 60)) == "no_room"


def test_a_job_that_fits_needs_one_store_call() -> None:
    """While the store is slow, a second call delays the acceptance."""
    store = gatewaystore.MemoryStore()
    vm, other = _Vm(store), _Vm(store)
    assert _is_accepted(vm.accept("j1", 10))
    assert vm.client.calls == ["commit"]
    other.listing.read()
    other.client.calls.clear()
    assert _is_accepted(other.accept("j2", 10))
    assert other.client.calls == ["commit"]


def test_retry_after_is_when_enough_tokens_will_have_ended() -> None:
    opened = [jobrecords.OpenJob(10_000, "b", 80)]
    # 80 tokens end within 10 s, and 30 of them must end first.
    demand = backlog.Demand(50, _BOUND)
    assert backlog.retry_after_s(opened, demand, 0) == 30 / 8


def test_a_job_over_the_bound_gets_no_retry_after() -> None:
    opened = [jobrecords.OpenJob(10_000, "b", 80)]
    demand = backlog.Demand(_BOUND + 1, _BOUND)
    assert backlog.retry_after_s(opened, demand, 0) == 0.0


# Tests with whole gateways.


def _items(count: int, stem: str, tokens: int = 10) -> list[dict[str, Any]]:
    return [
        {
            "id": f"{stem}{number}",
            "path": f"/b/{stem}/{number}",
            "headers": {"Bulrushdeal-Model": "m"},
            "body": "",
            "tokens": tokens,
        }
        for number in range(count)
    ]


def _configure_bound(
    scene: gatewayscene.Scene, bound: int, version: int = 2
) -> None:
    value = gatewayscene.configuration(version)
    for row in value["routes"]:
        if row["kind"] == "batch":
            row["cap"] = bound
    scene.configure(value)


def _busy_scene(scene: gatewayscene.Scene, bound: int) -> gatewayscene.Vm:
    """Returns a VM whose only engine takes at least 10 s per item."""
    scene.add_engine(events=200).pause_s = 0.05
    _configure_bound(scene, bound)
    return scene.add_vm()


def test_a_job_beyond_the_bound_is_refused_until_one_is_ended(
    scene: gatewayscene.Scene,
) -> None:
    """One customer submits more batch jobs than the bound allows."""
    vm = _busy_scene(scene, 100)
    assert vm.submit("j1", _items(6, "a")).status == 202
    refused = vm.submit("j2", _items(6, "b"))
    assert refused.status == 429
    assert float(refused.headers["retry-after"]) > 0
    assert vm.submit("j3", _items(4, "c")).status == 202
    vm.call("DELETE", "/lots/j1")
    assert vm.submit("j2", _items(6, "b")).status == 202


def test_a_repeat_of_an_accepted_job_is_accepted_when_nothing_fits(
    scene: gatewayscene.Scene,
) -> None:
    """The 202 is lost, and the caller retries at a VM that has no room."""
    vm = _busy_scene(scene, 100)
    other = scene.add_vm("vm2", "d2")
    assert vm.submit("j1", _items(6, "a")).status == 202
    assert other.submit("j1", _items(6, "a")).status == 202


def test_ended_items_make_room_before_their_job_ends(
    scene: gatewayscene.Scene,
) -> None:
    engine = scene.add_engine(events=2000)
    engine.pause_s = 0.05
    engine.faults = [gatewayengine.Fault("never")] * 3
    _configure_bound(scene, 100)
    vm = scene.add_vm()
    assert vm.submit("j1", _items(6, "a")).status == 202
    gatewayscene.until(lambda: vm.submit("j2", _items(6, "b")).status == 202)


def test_ended_jobs_make_room(scene: gatewayscene.Scene) -> None:
    scene.add_engine()
    _configure_bound(scene, 100)
    vm = scene.add_vm()
    for number in range(4):
        job = f"j{number}"
        gatewayscene.until(
            lambda job=job: vm.submit(job, _items(8, job)).status == 202
        )


def _version(feed: configuration.Feed) -> int:
    held = feed.current()
    return 0 if held is None else held.version


def test_a_bound_lowered_below_what_waits_drops_nothing(
    scene: gatewayscene.Scene,
) -> None:
    vm = _busy_scene(scene, 100)
    assert vm.submit("j1", _items(6, "a")).status == 202
    _configure_bound(scene, 30, version=3)
    feed = vm.kernel.find(names.CONFIGURATION, configuration.Feed)
    gatewayscene.until(lambda: _version(feed) == 3)
    assert vm.submit("j2", _items(1, "b")).status == 429
    assert vm.results("j1").json()["total"] == 6


def test_concurrent_jobs_at_several_vms_keep_the_bound(
    scene: gatewayscene.Scene,
) -> None:
    vms = [_busy_scene(scene, 100), scene.add_vm("vm2", "d2")]

    def submit(number: int) -> int:
        return (
            vms[number % 2].submit(f"j{number}", _items(3, f"{number}_")).status
        )

    with futures.ThreadPoolExecutor(6) as pool:
        statuses = list(pool.map(submit, range(6)))
    assert sorted(statuses) == [202, 202, 202, 429, 429, 429]


def test_a_vm_whose_store_calls_are_refused_keeps_the_bound(
    scene: gatewayscene.Scene,
) -> None:
    first = _busy_scene(scene, 100)
    second = scene.add_vm("vm2", "d2")
    gatewayscene.until(lambda: first.submit("j1", _items(6, "a")).status == 202)
    second.client.is_down = True
    gatewayscene.until(
        lambda: second.submit("j2", _items(6, "b")).status == 429
    )
    gatewayscene.until(
        lambda: second.submit("j3", _items(3, "c")).status == 202
    )
