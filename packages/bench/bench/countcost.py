"""Measures reports of in-flight counts: `python -m bench.countcost [flags]`.

One VM of a failure domain reports its request counts to the owners of all
upstreams, with the code of the daemon and fake peers that answer in memory
and count bytes. Requests begin and end at random, at the peak load of a VM.
In a real domain the VM receives as much from its peers as it sends, so one
row covers both directions.
"""

import argparse
from collections.abc import Iterable
import heapq
import os
import random
import threading
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import countlists
from bulrushdeald import inflight
from bulrushdeald import inflightreports
from bulrushdeald import services
from bulrushdeald import topology as topology_lib
from bulrushdeald import wire

_UPSTREAMS_PER_VM = 16 / 3
# Requests that run at once on a VM at the peak of 37.5 requests per second.
_RUNNING_PER_VM = 665
_DOMAIN = "domain-0"
_SETTLE_S = 3.0


class Row(NamedTuple):
    """One line of the table.

    Attributes:
        vms: VMs in the failure domain.
        upstreams: Upstreams in the failure domain.
        requests_per_s: Requests per second that began on the VM.
        calls_per_s: Reports per second that the VM sent.
        calls_a_request: Reports sent per request.
        report_bytes: Mean size of a report's frame.
        answer_bytes: Mean size of an answer's frame.
        bytes_per_s: Bytes per second of reports and answers, as sent by a VM
            that answers as many reports as it sends.
        end_lag_ms: Mean time from the end of a request until its owner
            receives the report.
        begin_lag_ms: The same from the beginning of a request.
        ms_a_call: Processor time of one report and its answer, without the
            connection between the VMs.
    """

    vms: int
    upstreams: int
    requests_per_s: float
    calls_per_s: float
    calls_a_request: float
    report_bytes: float
    answer_bytes: float
    bytes_per_s: float
    end_lag_ms: float
    begin_lag_ms: float
    ms_a_call: float


class _Change(NamedTuple):
    at_s: float
    is_end: bool


class _Owner(NamedTuple):
    """The state of the owner of some upstreams.

    Attributes:
        counts: The in-flight counts of its upstreams.
        names: The names of its upstreams.
    """

    counts: inflight.Inflight
    names: countlists.UpstreamNames

    def answer(self, message: Any) -> Any:
        """Takes a report in either form and returns the owner's totals."""
        owned = frozenset(self.names.names)
        if isinstance(message, inflight.CountsReport):
            self.counts.store_report("vm-0", message)
            return self.counts.totals(owned)
        report = self.names.with_names(message)
        assert report is not None
        self.counts.store_report("vm-0", report)
        return self.names.totals_without_names(self.counts.totals(owned))


class CountingPeers:
    """Fake peers that answer each report as its owner and count the bytes.

    Attributes:
        calls: Reports received.
        report_bytes: Size of their frames.
        answer_bytes: Size of the answers' frames.
        lags_s: Times from a change to the report of it; the key is whether
            a request ended.
        waiting: Changes not reported yet, by owner.
    """

    def __init__(self, router: "Router", choice: random.Random) -> None:
        self._router = router
        self._random = choice
        self._lock = threading.Lock()
        self._owners: dict[str, _Owner] = {}
        self.calls = 0
        self.report_bytes = 0
        self.answer_bytes = 0
        self.lags_s: dict[bool, list[float]] = {True: [], False: []}
        self.waiting: dict[str, list[_Change]] = {}

    def register_handler(self, kind: type[Any], handler: Any) -> None:
        """See `services.Peers`."""

    def register_answers(self, *kinds: type[Any]) -> None:
        """See `services.Peers`."""

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        """See `services.Peers`."""
        del timeout_s
        now_s = time.monotonic()
        with self._lock:
            if vm not in self._owners:
                names = tuple(sorted(self._router.owned_by(vm)))
                self._owners[vm] = _Owner(
                    self._random_counts(names), countlists.UpstreamNames(names)
                )
            answer = self._owners[vm].answer(message)
            self.calls += 1
            self.report_bytes += len(wire.pack(self.calls, message))
            self.answer_bytes += len(wire.pack(-self.calls, answer))
            for change in self.waiting.pop(vm, ()):
                self.lags_s[change.is_end].append(now_s - change.at_s)
        return result.Ok(answer)

    def _random_counts(self, names: tuple[str, ...]) -> inflight.Inflight:
        """Returns an owner's counts, filled with random numbers."""
        counts = inflight.Inflight(clock_lib.SystemClock())
        for name in names:
            counts.add_online(name, self._random.randrange(100, 150))
            counts.add_batch(name, self._random.randrange(10, 50))
        return counts

    def record_change(self, owner: str, is_end: bool) -> None:
        """Records a change that is not yet reported to its owner."""
        with self._lock:
            change = _Change(time.monotonic(), is_end)
            self.waiting.setdefault(owner, []).append(change)


class Router:
    """A fixed topology; see `inflightreports.Router`."""

    def __init__(self, vms: int) -> None:
        rows = tuple(
            records.Vm(f"vm-{number}", _DOMAIN, "entry")
            for number in range(vms)
        )
        upstreams = tuple(
            records.Upstream(f"engine-{number}", "engine", "", "", _DOMAIN)
            for number in range(round(vms * _UPSTREAMS_PER_VM))
        )
        self._topology = topology_lib.build(upstreams, rows, rows[0])
        self._owned: dict[str, frozenset[str]] = {}

    def topology(self) -> topology_lib.Topology:
        """See `inflightreports.Router`."""
        return self._topology

    def set_unresponsive(self, vm: str, is_unresponsive: bool) -> None:
        """See `inflightreports.Router`."""

    def is_unresponsive(self, vm: str) -> bool:
        """See `inflightreports.Router`."""
        del vm
        return False

    def on_counts_changed(self, upstreams: Iterable[str]) -> None:
        """See `inflightreports.Router`."""

    def owned_by(self, vm: str) -> frozenset[str]:
        """Returns the names of the upstreams that a VM owns."""
        if vm not in self._owned:
            owners = self._topology.owners
            self._owned[vm] = frozenset(
                name
                for name in self._topology.upstreams
                if owners.of(name) == vm
            )
        return self._owned[vm]


class _Load:
    """Requests that begin and end at random."""

    def __init__(self, vms: int, rate_per_s: float, seed: int) -> None:
        self._random = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._router = Router(vms)
        self.peers = CountingPeers(self._router, self._random)
        self._lock = threading.Lock()
        self._counts = inflight.Inflight(clock_lib.SystemClock())
        self.reports = inflightreports.CountReports(
            self.peers,
            self._counts,
            self._lock,
            self._router,
            clock_lib.SystemClock(),
        )
        self._names = sorted(self._router.topology().upstreams)
        self._ends: list[tuple[float, str]] = []
        self._next_s = time.monotonic()
        self.begun = 0
        for _ in range(int(_RUNNING_PER_VM * rate_per_s / 37.5)):
            self._begin(self._next_s)

    def run(self, duration_s: float) -> None:
        """Begins and ends requests in real time for a duration."""
        end_s = time.monotonic() + duration_s
        while (now_s := time.monotonic()) < end_s:
            while self._ends and self._ends[0][0] <= now_s:
                self._change(heapq.heappop(self._ends)[1], -1)
            while self._next_s <= now_s:
                self._begin(now_s)
                self._next_s += self._random.expovariate(self._rate_per_s)
            due_s = min(self._next_s, self._ends[0][0], end_s)
            time.sleep(max(0.0, due_s - time.monotonic()))

    def _begin(self, now_s: float) -> None:
        name = self._random.choice(self._names)
        mean_s = _RUNNING_PER_VM / 37.5
        lifetime_s = self._random.expovariate(1 / mean_s)
        heapq.heappush(self._ends, (now_s + lifetime_s, name))
        self._change(name, 1)
        self.begun += 1

    def _change(self, name: str, count: int) -> None:
        owner = self._router.topology().owners.of(name)
        with self._lock:
            self._counts.add_online(name, count)
            if owner == "vm-0":
                return
            self.peers.record_change(owner, count < 0)
            self.reports.schedule_report(owner, is_urgent=count > 0)


def measure(vms: int, rate_per_s: float, duration_s: float, seed: int) -> Row:
    """Measures one size.

    Args:
        vms: VMs in the failure domain.
        rate_per_s: Mean requests per second that begin on the VM.
        duration_s: Measured time, after a settling time of 3 s.
        seed: Seed of the random load.
    """
    load = _Load(vms, rate_per_s, seed)
    load.reports.start()
    load.run(_SETTLE_S)
    peers = load.peers
    calls, begun = peers.calls, load.begun
    report_bytes, answer_bytes = peers.report_bytes, peers.answer_bytes
    for lags_s in peers.lags_s.values():
        lags_s.clear()
    began_s, spent_s = time.monotonic(), time.process_time()
    load.run(duration_s)
    took_s = time.monotonic() - began_s
    spent_s = time.process_time() - spent_s
    calls, begun = peers.calls - calls, load.begun - begun
    report_bytes = peers.report_bytes - report_bytes
    answer_bytes = peers.answer_bytes - answer_bytes
    load.reports.stop()
    return Row(
        vms,
        round(vms * _UPSTREAMS_PER_VM),
        begun / took_s,
        calls / took_s,
        calls / max(1, begun),
        report_bytes / calls,
        answer_bytes / calls,
        (report_bytes + answer_bytes) / took_s,
        1000 * _mean(peers.lags_s[True]),
        1000 * _mean(peers.lags_s[False]),
        1000 * spent_s / calls,
    )


def _mean(values: list[float]) -> float:
    return sum(values) / max(1, len(values))


def main() -> None:
    """Measures each size and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", default="4,16,40,75")
    parser.add_argument("--rate-per-s", type=float, default=37.5)
    parser.add_argument("--duration-s", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    flags = parser.parse_args()
    print(f"load of the machine {os.getloadavg()[0]:.1f}")
    print("| " + " | ".join(Row._fields) + " |")
    print("|" + "---|" * len(Row._fields))
    for vms in map(int, flags.vms.split(",")):
        row = measure(vms, flags.rate_per_s, flags.duration_s, flags.seed)
        cells = [
            str(value) if isinstance(value, int) else f"{value:.3g}"
            for value in row
        ]
        print("| " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
