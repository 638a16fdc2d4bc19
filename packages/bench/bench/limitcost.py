"""Measures what the limits refuse, admit and cost, over several VMs.

`python -m bench.limitcost --profile kenya --condition steady` runs real
`EscrowLimits` objects in one process on a clock moved by hand; a seed gives
the same run. `--policy` runs another way on the same requests.
"""

import argparse
import heapq
import json
import random
import sys
import tracemalloc
from typing import NamedTuple

import result

from bench import limitfakes
from bench import limitpolicies
from bulrushdeal import records
from bulrushdeald import bucket
from bulrushdeald import shares

_TICK_S = 0.1
_TICKS_PER_TEND = 10
# The faults begin and end within the run.
_FAULT_BEGIN = 0.25
_FAULT_END = 0.75
_LISTED_FOR_S = 10.0
_MOVE_S = 3.0
_FLOOD = 5.0
_TOLERANCE = 1e-6

CONDITIONS = ("steady", "moving", "lost", "cut", "out", "replaced")
# Between two VMs that are replaced as planned, one after the other.
_REPLACE_S = 3.0


class Profile(NamedTuple):
    """A fleet and its customers.

    Attributes:
        domains: Failure domains.
        vms: Entry VMs in each.
        rates_per_s: A customer for each; the second sends too much.
    """

    domains: int
    vms: int
    rates_per_s: tuple[float, ...]


def _spread(count: int, total_per_s: float) -> tuple[float, ...]:
    weights = [1.0 / (rank + 5) ** 0.9 for rank in range(count)]
    scale = total_per_s / sum(weights)
    return tuple(round(weight * scale, 2) for weight in weights)


_EIGHT = (60.0, 40.0, 30.0, 6.0, 4.0, 3.0, 2.0, 1.0)

PROFILES = {
    "kenya": Profile(3, 3, _EIGHT),
    "taiwan": Profile(4, 2, _EIGHT),
    "small": Profile(4, 4, _spread(128, 16 * 50)),
    "middle": Profile(8, 4, _spread(256, 32 * 50)),
    "large": Profile(16, 8, _spread(1024, 128 * 50)),
}


class Report(NamedTuple):
    """One run.

    Attributes:
        policy: Which way.
        profile: Which fleet.
        condition: Which fault.
        requests: By customers within their rate.
        refused_inside: Of these, refused while the row had a token left.
        refused_inside_per_1000: The same as a ratio.
        ideal_refused_per_1000: What one bucket for the fleet would refuse.
        flood_admitted: Of what the row of the flooding customer allows.
        over: Requests admitted while the row had no token left.
        worst_over: By how many tokens at most.
        messages_per_request: Peer messages, asks and answers apart.
        bytes_per_request: Their CBOR, without frames and headers.
        messages_per_vm_s: Sent and received.
        bytes_per_vm_s: Sent and received.
        peers_per_vm: Other VMs that a VM called.
        writes_per_s: To the platform.
    """

    policy: str
    profile: str
    condition: str
    requests: int
    refused_inside: int
    refused_inside_per_1000: float
    ideal_refused_per_1000: float
    flood_admitted: float
    over: int
    worst_over: float
    messages_per_request: float = 0.0
    bytes_per_request: float = 0.0
    messages_per_vm_s: float = 0.0
    bytes_per_vm_s: float = 0.0
    peers_per_vm: float = 0.0
    writes_per_s: float = 0.0


class Escrow:
    """The real limits, as a policy."""

    def __init__(
        self,
        scene: limitpolicies.Scene,
        rows: dict[str, records.Customer],
    ) -> None:
        self._scene = scene
        self.fleet = limitfakes.Fleet(tuple(rows.values()))
        self.fleet.net.is_cut = lambda a, b: not scene.can_reach(a, b)
        for vm, domain in scene.domain_of.items():
            self.fleet.add(vm, domain)
        self._ticks = 0
        # Begin with all parts owned and all buckets full.
        while not self._is_owned():
            self.fleet.settle(1)
        self.fleet.settle(2)
        self.fleet.world.now_s += 600.0
        self._offset_s = self.fleet.world.now_s - scene.now_s

    def take(self, vm: str, customer: str) -> bool:
        """See `limitpolicies.Policy`."""
        self.fleet.world.now_s = self._scene.now_s + self._offset_s
        taken = self.fleet.nodes[vm].limits.take(customer)
        return isinstance(taken, result.Ok)

    def tick(self) -> None:
        """See `limitpolicies.Policy`."""
        fleet = self.fleet
        fleet.world.now_s = self._scene.now_s + self._offset_s
        for vm in self._scene.replaced:
            fleet.nodes[vm].limits.stop(0.0)
            fleet.kill(vm)
            fleet.add(vm, self._scene.domain_of[vm])
        # The balancer sends nothing to a VM that says it is not ready.
        self._scene.unready = set(self._scene.replaced)
        self._scene.replaced.clear()
        for vm in self._scene.dead & set(fleet.nodes):
            fleet.kill(vm)
        for vm in self._scene.unlisted & set(fleet.listed):
            del fleet.listed[vm]
        for vm, node in fleet.nodes.items():
            node.keyvalue.is_cut = not self._scene.can_reach_platform(vm)
        fleet.work()
        for index, node in enumerate(fleet.nodes.values()):
            if (index + self._ticks) % _TICKS_PER_TEND == 0:
                node.limits.refresh()
                node.limits.tend()
        self._scene.unready = {
            vm for vm, node in fleet.nodes.items() if not node.limits.is_ready()
        }
        self._ticks += 1

    def _is_owned(self) -> bool:
        owned = sum(
            len(node.limits.dump().owned) for node in self.fleet.nodes.values()
        )
        domains = set(self._scene.domain_of.values())
        return owned == shares.PAGES * len(domains)

    def begin_count(self) -> None:
        """Counts messages and writes from now on."""
        net = self.fleet.net
        net.counts_bytes = True
        net.messages = net.size_bytes = 0
        net.pairs.clear()
        self.fleet.keyvalue.writes = 0

    def with_costs(
        self, report: Report, requests: int, seconds: float
    ) -> Report:
        """Returns the report with what the run cost."""
        net = self.fleet.net
        vms = len(self._scene.domain_of)
        writes = self.fleet.keyvalue.writes
        return report._replace(
            messages_per_request=round(net.messages / requests, 3),
            bytes_per_request=round(net.size_bytes / requests, 1),
            messages_per_vm_s=round(2 * net.messages / vms / seconds, 2),
            bytes_per_vm_s=round(2 * net.size_bytes / vms / seconds, 1),
            peers_per_vm=round(len(net.pairs) / vms, 1),
            writes_per_s=round(writes / seconds, 3),
        )


class Tally:
    """Counts for one customer, with the row as the oracle."""

    def __init__(self, row: records.Customer, now_s: float) -> None:
        self.ideal = limitpolicies.Bucket(row.rate_per_s, row.burst, now_s)
        self.alone = limitpolicies.Bucket(row.rate_per_s, row.burst, now_s)
        self.row = row
        self.refused_by_ideal = 0
        self.requests = 0
        self.admitted = 0
        self.refused_inside = 0
        self.over = 0
        self.worst_over = 0.0

    def note(self, is_admitted: bool, now_s: float) -> None:
        """Counts one request."""
        self.requests += 1
        if not self.alone.take(now_s):
            self.refused_by_ideal += 1
        self.ideal.accrue(now_s)
        if is_admitted:
            self.admitted += 1
            self.ideal.level -= 1
            if self.ideal.level < -_TOLERANCE:
                self.over += 1
                self.worst_over = max(self.worst_over, -self.ideal.level)
        elif self.ideal.level >= 1:
            self.refused_inside += 1


class Run:
    """Feeds one policy with requests and faults."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._random = random.Random(args.seed)
        profile = PROFILES[args.profile]
        self.scene = limitpolicies.Scene(profile.domains, profile.vms)
        self.rows = {
            f"c{number:04d}": records.Customer(
                f"c{number:04d}",
                rate_per_s=rate,
                burst=max(args.least_burst, 2 * rate),
            )
            for number, rate in enumerate(profile.rates_per_s)
        }
        self._flooding = "c0001"
        self._begin_s = self.scene.now_s
        self._places: dict[str, str] = {}
        self._replaced = 0

    def go(self) -> Report:
        """Runs to the end."""
        args = self._args
        makers = {"escrow": Escrow, **limitpolicies.BASELINES}
        policy = makers[args.policy](self.scene, self.rows)
        if isinstance(policy, Escrow):
            policy.begin_count()
        tallies = {
            name: Tally(row, self._begin_s) for name, row in self.rows.items()
        }
        arrivals = [
            (self._begin_s + self._gap_s(name), name) for name in self.rows
        ]
        heapq.heapify(arrivals)
        ticks = int(args.seconds / _TICK_S)
        for tick in range(ticks):
            until_s = self._begin_s + (tick + 1) * _TICK_S
            while arrivals[0][0] < until_s:
                at_s, name = arrivals[0]
                self.scene.now_s = at_s
                is_admitted = policy.take(self._place(name), name)
                tallies[name].note(is_admitted, at_s)
                heapq.heapreplace(arrivals, (at_s + self._gap_s(name), name))
            self.scene.now_s = until_s
            self._set_faults(tick / ticks)
            policy.tick()
        report = self._report(tallies)
        if not isinstance(policy, Escrow):
            return report
        requests = sum(tally.requests for tally in tallies.values())
        return policy.with_costs(report, requests, args.seconds)

    def _gap_s(self, name: str) -> float:
        load = _FLOOD if name == self._flooding else self._args.load
        return self._random.expovariate(load * self.rows[name].rate_per_s)

    def _place(self, name: str) -> str:
        alive = self.scene.alive()
        if self._args.condition not in ("moving", "out"):
            return self._random.choice(alive)
        # Nearly all of a customer's requests come to one VM for a while.
        moves_after = self._random.random() < _TICK_S / _MOVE_S
        if name not in self._places or moves_after:
            self._places[name] = self._random.choice(alive)
        return self._places[name]

    def _set_faults(self, progress: float) -> None:
        is_faulty = _FAULT_BEGIN <= progress < _FAULT_END
        condition = self._args.condition
        scene = self.scene
        if condition == "cut":
            scene.cut = {"d00"} if is_faulty else set()
        if condition == "out":
            scene.is_platform_out = is_faulty
        if condition == "replaced" and is_faulty:
            self._replace((progress - _FAULT_BEGIN) * self._args.seconds)
        if condition == "lost" and is_faulty:
            scene.dead = {"d00v0"}
            fault_s = (progress - _FAULT_BEGIN) * self._args.seconds
            if fault_s >= _LISTED_FOR_S:
                scene.unlisted = {"d00v0"}

    def _replace(self, fault_s: float) -> None:
        due = int(fault_s / _REPLACE_S) + 1
        if due <= self._replaced:
            return
        self._replaced = due
        names = list(self.scene.domain_of)
        self.scene.replaced.append(names[due % len(names)])

    def _report(self, tallies: dict[str, Tally]) -> Report:
        flood = tallies[self._flooding]
        inside = [t for n, t in tallies.items() if n != self._flooding]
        requests = sum(tally.requests for tally in inside)
        refused = sum(tally.refused_inside for tally in inside)
        allowed = flood.row.rate_per_s * self._args.seconds + flood.row.burst
        return Report(
            self._args.policy,
            self._args.profile,
            self._args.condition,
            requests,
            refused,
            round(1000 * refused / requests, 3),
            round(1000 * sum(t.refused_by_ideal for t in inside) / requests, 3),
            round(flood.admitted / allowed, 4),
            sum(tally.over for tally in tallies.values()),
            round(max(t.worst_over for t in tallies.values()), 2),
        )


def _memory_bytes() -> float:
    """Returns what one customer costs its owner, with some holders."""
    count = 1000
    tracemalloc.start()
    ledgers = []
    for _ in range(count):
        ledger = bucket.Ledger(bucket.Terms(10.0, 20.0), 0.0)
        for holder in ("a", "b", "c"):
            ledger.report(holder, 1.0)
        ledgers.append(ledger)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / count


def main() -> None:
    """Prints one JSON object for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=PROFILES, default="kenya")
    parser.add_argument(
        "--condition", choices=(*CONDITIONS, "all"), default="steady"
    )
    parser.add_argument(
        "--policy",
        choices=("escrow", *limitpolicies.BASELINES, "all"),
        default="escrow",
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--least-burst", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--memory", action="store_true")
    args = parser.parse_args()
    if args.memory:
        print(json.dumps({"bytes_per_customer": _memory_bytes()}))
        return
    conditions = CONDITIONS if args.condition == "all" else (args.condition,)
    policies = (
        ("escrow", *limitpolicies.BASELINES)
        if args.policy == "all"
        else (args.policy,)
    )
    for condition in conditions:
        for policy in policies:
            chosen = argparse.Namespace(**vars(args))
            chosen.condition = condition
            chosen.policy = policy
            print(json.dumps(Run(chosen).go()._asdict()))
            sys.stdout.flush()


if __name__ == "__main__":
    main()
