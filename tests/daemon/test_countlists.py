"""Tests of count reports without names, and of the sums over many reports.

After an upstream is added, two VMs see different lists of upstreams for some
seconds. The tests guard against a report without names being applied to the
wrong upstreams: an engine full of online requests would count as free and be
filled up with batch items.
"""

from collections.abc import Iterable
import threading
from typing import Any

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies as st
import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import countlists
from bulrushdeald import inflight
from bulrushdeald import inflightreports
from bulrushdeald import router as router_lib
from bulrushdeald import services
from bulrushdeald import topology
from support import fakes

_LONG_S = 20.0
_NAMES = st.lists(st.text(max_size=3), unique=True, max_size=4).map(
    lambda names: tuple(sorted(names))
)
_COUNTS = st.dictionaries(st.text(max_size=3), st.integers(0, 9))


@given(_NAMES, _NAMES, _COUNTS)
def test_a_report_reaches_the_same_upstreams_or_none(
    here: tuple[str, ...], there: tuple[str, ...], online: dict[str, int]
) -> None:
    counts = inflight.Inflight(clock_lib.FakeClock())
    for name, count in online.items():
        counts.add_online(name, count)
    report = counts.own_report(here)
    taken = countlists.UpstreamNames(there).with_names(
        countlists.UpstreamNames(here).without_names(report)
    )
    assert taken == (report if here == there else None)


@given(_NAMES, _NAMES, _COUNTS)
def test_totals_are_of_the_same_upstreams_or_none(
    here: tuple[str, ...], there: tuple[str, ...], online: dict[str, int]
) -> None:
    counts = inflight.Inflight(clock_lib.FakeClock())
    for name, count in online.items():
        counts.add_online(name, count)
        counts.add_batch(name, count // 2)
    # The list may change between the report and its answer.
    totals = counts.totals(frozenset(there))
    listed = countlists.UpstreamNames(here).totals_without_names(totals)
    taken = countlists.UpstreamNames(here).totals_with_names(listed)
    assert taken == (totals if here == there else None)


class SumsOfReports(stateful.RuleBasedStateMachine):
    """Checks the owner's sums against the sum over the latest reports."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock_lib.FakeClock()
        self.counts = inflight.Inflight(self.clock)
        self.reports: dict[str, tuple[float, dict[str, int]]] = {}
        self.own: dict[str, int] = {}

    @stateful.rule(
        vm=st.sampled_from("xyz"),
        online=st.dictionaries(st.sampled_from("ab"), st.integers(0, 5)),
    )
    def report(self, vm: str, online: dict[str, int]) -> None:
        rows = tuple(inflight.Count(*row) for row in online.items())
        self.counts.store_report(vm, inflight.CountsReport(rows))
        self.reports[vm] = (self.clock.now_s, online)

    @stateful.rule(seconds=st.sampled_from((0.5, 2.5, 5.0, 7.5)))
    def wait(self, seconds: float) -> None:
        self.clock.sleep_s(seconds)

    @stateful.rule(upstream=st.sampled_from("ab"))
    def place(self, upstream: str) -> None:
        self.counts.add_online(upstream, 1)
        self.own[upstream] = self.own.get(upstream, 0) + 1

    @stateful.rule()
    def prune(self) -> None:
        self.counts.prune()

    @stateful.rule(expiry_s=st.sampled_from((3.0, 5.0, 8.0)))
    def set_pace(self, expiry_s: float) -> None:
        # Pruned before the change: a longer expiry does not restore a report
        # that has already expired.
        self.drop_expired()
        self.counts.prune()
        self.counts.expiry_s = expiry_s

    def drop_expired(self) -> None:
        since_s = self.clock.now_s - self.counts.expiry_s
        self.reports = {
            vm: report
            for vm, report in self.reports.items()
            if report[0] >= since_s
        }

    @stateful.invariant()
    def sums_are_right(self) -> None:
        self.drop_expired()
        for upstream in "ab":
            expected = self.own.get(upstream, 0) + sum(
                online.get(upstream, 0) for _, online in self.reports.values()
            )
            assert self.counts.known_online(upstream) == expected


TestSumsOfReports = SumsOfReports.TestCase


def test_a_report_of_zero_requests_can_be_replaced() -> None:
    # Two VMs report zero requests on an upstream. Replacing the first report
    # removed the upstream's sum, and replacing the second failed. The state
    # machine above found this.
    counts = inflight.Inflight(clock_lib.FakeClock())
    for online in (0, 0, 3):
        for vm in "xy":
            rows = (inflight.Count("a", online),)
            counts.store_report(vm, inflight.CountsReport(rows))
    assert counts.known_online("a") == 6


def test_vms_that_see_different_lists_report_by_name() -> None:
    vms = (records.Vm("vm-a", "d1", "entry"), records.Vm("vm-b", "d1", "entry"))
    names = [f"e{number}" for number in range(6)]
    rows = tuple(
        records.Upstream(name, "engine", "127.0.0.1:1", "host", "d1", ("m",))
        for name in names
    )
    network = fakes.Network()
    clock = clock_lib.FakeClock()
    routers: dict[str, router_lib.UpstreamRouter] = {}
    configs: dict[str, fakes.Config] = {}
    for vm in vms:
        # The last upstreams are new; vm-b does not see them yet.
        seen = rows if vm.vm == "vm-a" else rows[:3]
        configs[vm.vm] = fakes.Config(seen)
        kernel = fakes.kernel(
            fakes.Membership(vm, vms),
            fakes.Peers(network, vm.vm),
            configs[vm.vm],
        )
        router = router_lib.UpstreamRouter(
            kernel, fakes.settings(vm=vm.vm), clock
        )
        router.start()
        routers[vm.vm] = router
    reporting, owning = routers["vm-a"], routers["vm-b"]
    owned = reporting.topology().upstreams_by_owner["vm-b"]
    assert owned != owning.topology().upstreams_by_owner["vm-b"]

    for _ in range(12):
        work = services.PlacementRequest(
            "c", "online", "m", "", b"", 10, "", 0.0
        )
        assert reporting.acquire(work).is_ok()

    def differences() -> dict[str, int]:
        here = reporting.dump()["upstreams"]
        there = owning.dump()["upstreams"]
        return {
            name: here[name].online - there[name].online
            for name in owning.topology().owned
        }

    reporting.send_report_to("vm-b")
    assert any(name in owning.topology().owned for name in owned)
    assert not any(differences().values())
    # Now vm-b sees them; after a while reports omit the names again.
    configs["vm-b"].all_upstreams = rows
    for callback in configs["vm-b"].callbacks:
        callback()
    assert owning.topology().upstreams_by_owner["vm-b"] == owned
    clock.sleep_s(inflightreports.UNKNOWN_LIST_S)
    reporting.send_report_to("vm-b")
    assert not any(differences().values())
    for router in routers.values():
        router.stop(0)


class DelayingPeers:
    """Delivers the first report only when `may_deliver` is set."""

    def __init__(self) -> None:
        self.delivered: list[tuple[int, ...]] = []
        self.has_first_call = threading.Event()
        self.may_deliver = threading.Event()

    def register_handler(self, kind: type[Any], handler: Any) -> None:
        pass

    def register_answers(self, *kinds: type[Any]) -> None:
        pass

    def call(self, vm: str, message: Any, timeout_s: float) -> Any:
        del vm, timeout_s
        if not self.has_first_call.is_set():
            self.has_first_call.set()
            self.may_deliver.wait(_LONG_S)
        self.delivered.append(message.online)
        online = message.online
        return result.Ok(countlists.ListedTotals(True, online, (0,)))


class SingleOwnerRouter:
    """The router of a VM beside one that owns all upstreams."""

    def __init__(self) -> None:
        own = records.Vm("vm-a", "d1", "entry")
        owner = records.Vm("vm-b", "d1", "entry")
        row = records.Upstream("e", "engine", "", "up", "d1")
        self._topology = topology.build((row,), (owner,), own)

    def topology(self) -> topology.Topology:
        return self._topology

    def set_unresponsive(self, vm: str, is_unresponsive: bool) -> None:
        pass

    def is_unresponsive(self, vm: str) -> bool:
        return False

    def on_counts_changed(self, upstreams: Iterable[str]) -> None:
        pass


def test_an_older_report_does_not_come_after_a_newer_one() -> None:
    # Two threads report to an owner, and the older report arrives last. The
    # owner then counted a request that had ended, and kept its slot free of
    # batch items until the next report. The router's state machine found this
    # in 2 of 22 runs.
    network = DelayingPeers()
    counts = inflight.Inflight(clock_lib.FakeClock())
    reports = inflightreports.CountReports(
        network,
        counts,
        threading.Lock(),
        SingleOwnerRouter(),
        clock_lib.FakeClock(),
    )
    counts.add_online("e", 1)
    older = threading.Thread(target=reports.send, args=("vm-b",))
    older.start()
    assert network.has_first_call.wait(_LONG_S)
    counts.add_online("e", -1)
    newer = threading.Thread(target=reports.send, args=("vm-b",))
    newer.start()
    # Gives the newer report time to overtake the older one. If the time is too
    # short, the test still passes.
    newer.join(0.2)
    network.may_deliver.set()
    older.join(_LONG_S)
    newer.join(_LONG_S)
    assert network.delivered == [(1,), (0,)]
