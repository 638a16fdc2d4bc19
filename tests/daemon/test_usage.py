"""Tests of the usage sums against a plain counter.

No event may count twice, and only a lost VM may lose any.
"""

import collections
import json
import socket
from typing import Any, NamedTuple

from hypothesis import stateful
from hypothesis import strategies as st

from bulrushdeal import clock as clock_lib
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import defaults
from bulrushdeald import ledger
from bulrushdeald import report
from bulrushdeald import services
from bulrushdeald import usage
from support import fakes
from support import usagefakes

VMS = ("a", "b", "c")
START_S = 1_000_000.0
vms = st.sampled_from(VMS)
_NO_FAULT: usagefakes.Fault = ""
SETTINGS = fakes.settings(vm="a", failure_domain="north", usage_bucket_s="60")


class Vm(NamedTuple):
    usage: usage.UsageService
    peers: usagefakes.FakePeers


class World:
    """Three VMs of one failure domain, and the events recorded on each."""

    def __init__(self, settings: defaults.Settings = SETTINGS) -> None:
        self.settings = settings
        self.clock = clock_lib.FakeClock(START_S)
        self.keyvalue = usagefakes.FaultyKeyValue()
        self.network = usagefakes.Network()
        self.vms: dict[str, Vm] = {}
        self.started = 0
        self.recorded: collections.Counter[str] = collections.Counter()
        # By incarnation: the events that may or may not be durable.
        self.doubtful: collections.Counter[str] = collections.Counter()
        for name in VMS:
            self.start(name)

    def start(self, name: str) -> None:
        self.started += 1
        peers = usagefakes.FakePeers(self.network, name, f"run{self.started}")
        kernel = kernel_lib.Kernel()
        kernel.register(services.PEERS, peers)
        kernel.register(services.MEMBERSHIP, peers)
        kernel.register(services.KEYVALUE, self.keyvalue)  # type: ignore[arg-type]
        service = usage.UsageService(kernel, self.settings, self.clock)
        service.connect()
        self.vms[name] = Vm(service, peers)

    def record(self, name: str) -> None:
        run = self.vms[name].peers.name
        self.recorded[run] += 1
        self.vms[name].usage.record(
            services.UsageEvent(
                self.clock.wall_s(), "kisumu", "online", "e1", run, "ok", 3, 5
            )
        )

    def lose(self, name: str) -> None:
        """Replaces a VM; the sums that it had only in memory are lost."""
        vm = self.vms[name]
        left = vm.usage._sums.items()
        run = vm.peers.name
        self.recorded[run] -= sum(
            sums[0] for group, sums in left if group.kind == "customer"
        )
        batch = vm.usage._outstanding
        if batch is not None:
            self.doubtful[run] = sum(
                row.requests for row in batch.rows if row.kind == "customer"
            )
        self.start(name)

    def durable(self) -> collections.Counter[str]:
        """Returns the number of requests in a report, by incarnation."""
        peers = self.vms["a"].peers
        reader = report.Report(self.keyvalue, peers, self.clock)
        snapshot = reader.read(START_S - 3600, self.clock.wall_s() + 1).unwrap()
        assert snapshot.is_settled
        totals: collections.Counter[str] = collections.Counter()
        for row in snapshot.rows:
            assert row.prompt_tokens == 3 * row.requests
            assert row.completion_tokens == 5 * row.requests
            if row.kind == "customer":
                totals[row.model] += row.requests
        for row in snapshot.rows:
            if row.kind == "upstream":
                totals[row.model] -= row.requests
        assert not any(totals.values())
        for row in snapshot.rows:
            if row.kind == "customer":
                totals[row.model] += row.requests
        return totals

    def heal(self) -> None:
        self.keyvalue.faults.clear()
        self.network.faults.clear()
        for _ in range(6):
            for vm in self.vms.values():
                vm.usage.flush()


class UsageMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @stateful.rule(vm=vms, count=st.integers(1, 3))
    def record(self, vm: str, count: int) -> None:
        for _ in range(count):
            self.world.record(vm)

    @stateful.rule()
    def record_everywhere_and_flush(self) -> None:
        for name, vm in self.world.vms.items():
            self.world.record(name)
            vm.usage.flush()

    @stateful.rule(
        vm=vms,
        is_due=st.booleans(),
        at=st.integers(0, 12),
        fault=st.sampled_from(["applied", "dropped", "late", "unavailable"]),
        calls=st.lists(
            st.sampled_from(["", "unreachable", "timeout"]), max_size=2
        ),
    )
    def flush_with_a_fault(
        self, vm: str, is_due: bool, at: int, fault: Any, calls: list[Any]
    ) -> None:
        self._make_due(is_due)
        self.world.keyvalue.faults = [*[_NO_FAULT] * at, fault]
        self.world.network.faults = calls
        self.world.vms[vm].usage.flush()
        if is_due:
            # Any VM may close a head, so that the fault can hit its steps.
            for other in self.world.vms.values():
                other.usage.flush()
        self.world.keyvalue.faults = []
        self.world.network.faults = []

    @stateful.rule(
        vm=vms, other=vms, is_due=st.booleans(), at=st.integers(1, 12)
    )
    def flush_two_at_once(
        self, vm: str, other: str, is_due: bool, at: int
    ) -> None:
        if vm == other:
            return
        self._make_due(is_due)
        self._interleave(other, at)
        self.world.vms[vm].usage.flush()
        self.world.keyvalue.on_call = lambda: None

    @stateful.rule(vm=vms, is_due=st.booleans(), at=st.integers(1, 9))
    def report_during_flush(self, vm: str, is_due: bool, at: int) -> None:
        before = self.world.durable()
        self._make_due(is_due)
        self._interleave(vm, at)
        during = self.world.durable()
        assert all(during[run] >= count for run, count in before.items())
        self.check_at_most_once(during)
        self.world.keyvalue.on_call = lambda: None

    @stateful.rule(vm=vms, index=st.integers(0, 30))
    def deliver_again(self, vm: str, index: int) -> None:
        sent = self.world.network.sent
        if sent:
            self.world.network.deliver_again(vm, sent[index % len(sent)])

    @stateful.rule()
    def late_writes_arrive(self) -> None:
        self.world.keyvalue.arrive()

    @stateful.rule(vm=vms)
    def lose_vm(self, vm: str) -> None:
        self.world.lose(vm)

    @stateful.rule(vm=vms)
    def toggle_leaving(self, vm: str) -> None:
        self.world.network.leaving ^= {vm}

    @stateful.rule(duration_s=st.sampled_from([1.0, 61.0, 301.0]))
    def wait(self, duration_s: float) -> None:
        self.world.clock.sleep_s(duration_s)

    @stateful.invariant()
    def check(self) -> None:
        self.check_at_most_once(self.world.durable())

    def check_at_most_once(self, durable: collections.Counter[str]) -> None:
        for run, count in durable.items():
            assert count <= self.world.recorded[run]

    def teardown(self) -> None:
        world = self.world
        world.heal()
        durable = world.durable()
        for run, recorded in world.recorded.items():
            doubtful = world.doubtful[run]
            assert durable[run] in (recorded, recorded - doubtful)

    def _make_due(self, is_due: bool) -> None:
        if is_due:
            self.world.clock.sleep_s(301.0)

    def _interleave(self, vm: str, at: int) -> None:
        left = at

        def on_call() -> None:
            nonlocal left
            left -= 1
            if left == 0:
                self.world.vms[vm].usage.flush()

        self.world.keyvalue.on_call = on_call


TestUsage = UsageMachine.TestCase


def test_sums_move_into_pages_and_stay_the_same() -> None:
    world = World()
    for _ in range(5):
        for name in VMS:
            world.record(name)
            world.vms[name].usage.flush()
        world.clock.sleep_s(301.0)
    world.heal()
    keys = list(world.keyvalue.entries)
    assert any(key.startswith(ledger.PAGES_PREFIX) for key in keys)
    assert world.durable() == world.recorded


def test_forgotten_source_that_comes_back_is_not_counted_twice() -> None:
    # A VM is suspended for over a week and is no longer listed, so the head
    # forgets the number of its last batch. The VM then sends that batch again,
    # which must not be counted a second time.
    world = World()
    old = world.vms["c"]
    for _ in range(2):
        world.record("c")
        world.heal()
    last = world.network.sent[-1]
    world.clock.sleep_s(8 * 86_400.0)
    handlers = world.network.handlers.pop("c")
    del world.vms["c"]
    world.record("a")
    world.heal()
    world.clock.sleep_s(301.0)
    world.heal()
    assert "c" not in {key.split("/")[0] for key in _sources(world)}
    world.network.deliver_again("a", last)
    world.heal()
    assert world.network.deliver_again("a", last).is_refused
    assert world.durable() == world.recorded
    old.usage.record(
        services.UsageEvent(world.clock.wall_s(), "k", "online", "", "m", "ok")
    )
    world.network.handlers["c"] = handlers
    world.vms["c"] = old
    world.heal()
    assert world.durable()["m"] in (0, 1)


def test_batch_is_not_refused_by_an_old_copy_of_the_head() -> None:
    # A VM folds a batch, another VM folds the next ones, and then the first
    # VM folds again. It compared the new batch with its outdated copy of the
    # head and refused it, so that a minute of requests was missing from the
    # report although no VM was lost.
    world = World()
    others = set(VMS)
    for folder in ("b", "c", "c", "b"):
        world.network.leaving = others - {folder}
        world.record("a")
        world.heal()
    assert world.durable() == world.recorded


def test_rows_that_were_moved_count_once_while_others_are_closing() -> None:
    # One head's rows are already in their pages, but its closing has not ended
    # since an answer was lost; another head has no closing. The report compared
    # the closed rows of each head with the number of the head read last, and
    # showed requests twice for some seconds.
    for lost_at in range(12):
        world = World()
        for name in VMS:
            world.record(name)
            world.vms[name].usage.flush()
        world.clock.sleep_s(301.0)
        world.keyvalue.faults = [*[_NO_FAULT] * lost_at, "dropped"]
        for vm in world.vms.values():
            vm.usage.flush()
        assert world.durable() == world.recorded


def test_planned_stop_loses_nothing_even_without_grace() -> None:
    # Usage stops after the callers' server. If long streams use up the whole
    # grace period of a planned stop, the last requests must still be counted.
    world = World()
    for index in range(2 * ledger.MAX_BATCH_ROWS):
        world.record("a")
        world.vms["a"].usage.record(
            services.UsageEvent(
                world.clock.wall_s(), f"{index}", "online", "", "m", "ok"
            )
        )
    world.vms["a"].usage.stop(0.0)
    reader = report.Report(world.keyvalue, world.vms["a"].peers, world.clock)
    snapshot = reader.read(START_S - 3600, START_S + 1).unwrap()
    counted = [row for row in snapshot.rows if row.kind == "customer"]
    assert sum(row.requests for row in counted) == 4 * ledger.MAX_BATCH_ROWS


def test_metrics_are_sent_to_the_configured_address() -> None:
    # The setting for the address of a statsd server was validated but never
    # used, so that the server received nothing.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(30)
        port = server.getsockname()[1]
        world = World(SETTINGS._replace(statsd_address=f"127.0.0.1:{port}"))
        for _ in range(2):
            world.record("a")
        world.vms["a"].usage.flush()
        assert {server.recv(1000) for _ in range(3)} == {
            b"bulrushdeal.requests.online.ok:2|c",
            b"bulrushdeal.tokens.online.prompt:6|c",
            b"bulrushdeal.tokens.online.completion:10|c",
        }


def test_unknown_models_cannot_fill_the_memory() -> None:
    world = World()
    service = world.vms["a"].usage
    for index in range(101_000):
        service.record(
            services.UsageEvent(
                world.clock.wall_s(), "k", "online", "", f"{index}", "404"
            )
        )
    assert len(service._sums) <= 2 * usage._MAX_ROWS
    total = sum(sums[0] for sums in service._sums.values())
    assert total == 101_000


def test_report_is_grouped_and_states_its_age() -> None:
    world = World()
    world.record("a")
    world.record("b")
    world.heal()
    world.clock.sleep_s(10.0)
    value = _ask(world, "customer=kisumu")
    assert sum(row["requests"] for row in value["customers"]) == 2
    assert {row["vm"] for row in value["sources"]} == set(VMS)
    assert all(row["age_s"] == 10.0 for row in value["sources"])
    assert _ask(world, "customer=nobody")["customers"] == []
    assert "no number" in _ask(world, "from_s=soon")["error"]["message"]
    assert "not a range" in _ask(world, "from_s=9&to_s=3")["error"]["message"]


def _ask(world: World, query: str) -> Any:
    reader = report.Report(world.keyvalue, world.vms["a"].peers, world.clock)
    request = httpd.Request("GET", "/v1/usage", query, {}, None, -1)  # type: ignore[arg-type]
    return json.loads(b"".join(reader.serve(request).body))


def _sources(world: World) -> set[str]:
    return {
        source
        for key, entry in world.keyvalue.entries.items()
        if key.startswith(ledger.HEADS_PREFIX)
        for source in ledger.unpack_head(entry.value).sources
    }
