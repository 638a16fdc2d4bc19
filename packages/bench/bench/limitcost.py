"""Measures what rate limits over several VMs refuse, admit and cost.

`python -m bench.limitcost --profile kenya --condition steady` simulates a
fleet of real `EscrowLimits` objects in one process on a simulated clock; the
same seed repeats the run. `--policy` applies another policy to the same
requests.
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
from bulrushdeald import limitrecords
from bulrushdeald import tokenledger

_TICK_S = 0.1
_TICKS_PER_TEND = 10
# The faults begin and end at these fractions of the run.
_FAULT_BEGIN = 0.25
_FAULT_END = 0.75
_UNLIST_DELAY_S = 10.0
_MOVE_S = 3.0
_FLOOD_FACTOR = 5.0
_TOLERANCE = 1e-6

CONDITIONS = ("steady", "moving", "lost", "cut", "out", "replaced")
# Time between two planned replacements of VMs.
_REPLACE_PERIOD_S = 3.0


class Profile(NamedTuple):
    """A fleet and its customers.

    Attributes:
        domains: Number of failure domains.
        vms: Entry VMs in each failure domain.
        rates_per_s: The rate of each customer; the second customer sends
            more than its rate.
    """

    domains: int
    vms: int
    rates_per_s: tuple[float, ...]


def _spread_rates(count: int, total_per_s: float) -> tuple[float, ...]:
    weights = [1.0 / (rank + 5) ** 0.9 for rank in range(count)]
    scale = total_per_s / sum(weights)
    return tuple(round(weight * scale, 2) for weight in weights)


_EIGHT_RATES_PER_S = (60.0, 40.0, 30.0, 6.0, 4.0, 3.0, 2.0, 1.0)

PROFILES = {
    "kenya": Profile(3, 3, _EIGHT_RATES_PER_S),
    "taiwan": Profile(4, 2, _EIGHT_RATES_PER_S),
    "small": Profile(4, 4, _spread_rates(128, 16 * 50)),
    "middle": Profile(8, 4, _spread_rates(256, 32 * 50)),
    "large": Profile(16, 8, _spread_rates(1024, 128 * 50)),
}


class Report(NamedTuple):
    """The results of one run.

    Attributes:
        policy: Name of the policy.
        profile: Name of the profile.
        condition: Name of the fault condition.
        requests: Requests of the customers that stay within their rates.
        refused_inside: Of these, requests refused while the customer's
            bucket had a token.
        refused_inside_per_1000: The same per 1000 requests.
        ideal_refused_per_1000: What a single bucket for the whole fleet
            would refuse, per 1000 requests.
        flood_admitted: Admitted requests of the flooding customer, relative
            to what its rate and burst allow.
        over: Requests admitted while the customer's bucket had no token.
        worst_over: Most tokens by which a customer's bucket was overdrawn.
        messages_per_request: Messages between VMs per request; a call and
            its answer count as two.
        bytes_per_request: Size of these messages as CBOR, without frames and
            headers.
        messages_per_vm_s: Messages sent and received, per VM and second.
        bytes_per_vm_s: Bytes sent and received, per VM and second.
        peers_per_vm: Mean number of other VMs that a VM called.
        writes_per_s: Writes to the platform per second.
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


class EscrowPolicy:
    """The real `EscrowLimits` of each VM, as a policy."""

    def __init__(
        self,
        scenario: limitpolicies.Scenario,
        rows: dict[str, records.Customer],
    ) -> None:
        self._scenario = scenario
        self.fleet = limitfakes.Fleet(tuple(rows.values()))
        self.fleet.net.is_cut = lambda a, b: not scenario.can_reach(a, b)
        for vm, domain in scenario.domain_of.items():
            self.fleet.add(vm, domain)
        self._ticks = 0
        # The run begins with all pages owned and all buckets full.
        while not self._are_all_pages_owned():
            self.fleet.settle(1)
        self.fleet.settle(2)
        self.fleet.world.now_s += 600.0
        self._offset_s = self.fleet.world.now_s - scenario.now_s

    def take(self, vm: str, customer: str) -> bool:
        """See `limitpolicies.Policy`."""
        self.fleet.world.now_s = self._scenario.now_s + self._offset_s
        taken = self.fleet.nodes[vm].limits.take(customer)
        return isinstance(taken, result.Ok)

    def tick(self) -> None:
        """See `limitpolicies.Policy`."""
        fleet = self.fleet
        fleet.world.now_s = self._scenario.now_s + self._offset_s
        for vm in self._scenario.replaced:
            fleet.nodes[vm].limits.stop(0.0)
            fleet.kill(vm)
            fleet.add(vm, self._scenario.domain_of[vm])
        # The balancer sends no requests to a VM that reports not to be ready.
        self._scenario.unready = set(self._scenario.replaced)
        self._scenario.replaced.clear()
        for vm in self._scenario.dead & set(fleet.nodes):
            fleet.kill(vm)
        for vm in self._scenario.unlisted & set(fleet.listed):
            del fleet.listed[vm]
        for vm, node in fleet.nodes.items():
            node.keyvalue.is_cut = not self._scenario.can_reach_platform(vm)
        fleet.work()
        for index, node in enumerate(fleet.nodes.values()):
            if (index + self._ticks) % _TICKS_PER_TEND == 0:
                node.limits.refresh()
                node.limits.run_maintenance()
        self._scenario.unready = {
            vm for vm, node in fleet.nodes.items() if not node.limits.is_ready()
        }
        self._ticks += 1

    def _are_all_pages_owned(self) -> bool:
        owned = sum(
            len(node.limits.dump().owned) for node in self.fleet.nodes.values()
        )
        domains = set(self._scenario.domain_of.values())
        return owned == limitrecords.PAGES * len(domains)

    def reset_counts(self) -> None:
        """Resets the counts of messages and writes and counts bytes too."""
        net = self.fleet.net
        net.counts_bytes = True
        net.messages = net.size_bytes = 0
        net.pairs.clear()
        self.fleet.keyvalue.writes = 0

    def with_costs(
        self, report: Report, requests: int, seconds: float
    ) -> Report:
        """Returns the report with the messages and writes of the run."""
        net = self.fleet.net
        vms = len(self._scenario.domain_of)
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
    """Counts the requests of one customer against a single bucket.

    Attributes:
        oracle: One bucket for the fleet, charged for what the policy admits.
            A refusal while it has a token is wrong, and so is an admission
            while it has none.
        ideal: One bucket for the fleet that decides on its own.
        row: The customer's rate and burst.
        refused_by_ideal: Requests that `ideal` refuses.
        requests: All requests.
        admitted: Requests that the policy admitted.
        refused_inside: Requests refused while `oracle` had a token.
        over: Requests admitted while `oracle` had none.
        worst_over: Most tokens by which `oracle` was overdrawn.
    """

    def __init__(self, row: records.Customer, now_s: float) -> None:
        self.oracle = limitpolicies.Bucket(row.rate_per_s, row.burst, now_s)
        self.ideal = limitpolicies.Bucket(row.rate_per_s, row.burst, now_s)
        self.row = row
        self.refused_by_ideal = 0
        self.requests = 0
        self.admitted = 0
        self.refused_inside = 0
        self.over = 0
        self.worst_over = 0.0

    def count(self, is_admitted: bool, now_s: float) -> None:
        """Counts one request."""
        self.requests += 1
        if not self.ideal.take(now_s):
            self.refused_by_ideal += 1
        self.oracle.accrue(now_s)
        if is_admitted:
            self.admitted += 1
            self.oracle.level -= 1
            if self.oracle.level < -_TOLERANCE:
                self.over += 1
                self.worst_over = max(self.worst_over, -self.oracle.level)
        elif self.oracle.level >= 1:
            self.refused_inside += 1


class Simulation:
    """Simulates requests and faults for one policy."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._random = random.Random(args.seed)
        profile = PROFILES[args.profile]
        self.scenario = limitpolicies.Scenario(profile.domains, profile.vms)
        self.rows = {
            f"c{number:04d}": records.Customer(
                f"c{number:04d}",
                rate_per_s=rate,
                burst=max(args.least_burst, 2 * rate),
            )
            for number, rate in enumerate(profile.rates_per_s)
        }
        self._flooding = "c0001"
        self._begin_s = self.scenario.now_s
        self._vm_of: dict[str, str] = {}
        self._replaced = 0

    def run(self) -> Report:
        """Runs the simulation to its end and returns the results."""
        args = self._args
        makers = {"escrow": EscrowPolicy, **limitpolicies.BASELINES}
        policy = makers[args.policy](self.scenario, self.rows)
        if isinstance(policy, EscrowPolicy):
            policy.reset_counts()
        tallies = {
            name: Tally(row, self._begin_s) for name, row in self.rows.items()
        }
        arrivals = [
            (self._begin_s + self._next_gap_s(name), name) for name in self.rows
        ]
        heapq.heapify(arrivals)
        ticks = int(args.seconds / _TICK_S)
        for tick in range(ticks):
            until_s = self._begin_s + (tick + 1) * _TICK_S
            while arrivals[0][0] < until_s:
                at_s, name = arrivals[0]
                self.scenario.now_s = at_s
                is_admitted = policy.take(self._choose_vm(name), name)
                tallies[name].count(is_admitted, at_s)
                heapq.heapreplace(
                    arrivals, (at_s + self._next_gap_s(name), name)
                )
            self.scenario.now_s = until_s
            self._set_faults(tick / ticks)
            policy.tick()
        report = self._report(tallies)
        if not isinstance(policy, EscrowPolicy):
            return report
        requests = sum(tally.requests for tally in tallies.values())
        return policy.with_costs(report, requests, args.seconds)

    def _next_gap_s(self, name: str) -> float:
        load = _FLOOD_FACTOR if name == self._flooding else self._args.load
        return self._random.expovariate(load * self.rows[name].rate_per_s)

    def _choose_vm(self, name: str) -> str:
        alive = self.scenario.alive()
        if self._args.condition not in ("moving", "out"):
            return self._random.choice(alive)
        # All requests of a customer go to one VM until a request moves it to
        # a random VM, with a probability of 1/30.
        moves_after = self._random.random() < _TICK_S / _MOVE_S
        if name not in self._vm_of or moves_after:
            self._vm_of[name] = self._random.choice(alive)
        return self._vm_of[name]

    def _set_faults(self, progress: float) -> None:
        is_faulty = _FAULT_BEGIN <= progress < _FAULT_END
        condition = self._args.condition
        scenario = self.scenario
        if condition == "cut":
            scenario.cut = {"d00"} if is_faulty else set()
        if condition == "out":
            scenario.is_platform_out = is_faulty
        if condition == "replaced" and is_faulty:
            self._replace((progress - _FAULT_BEGIN) * self._args.seconds)
        if condition == "lost" and is_faulty:
            scenario.dead = {"d00v0"}
            fault_s = (progress - _FAULT_BEGIN) * self._args.seconds
            if fault_s >= _UNLIST_DELAY_S:
                scenario.unlisted = {"d00v0"}

    def _replace(self, fault_s: float) -> None:
        due = int(fault_s / _REPLACE_PERIOD_S) + 1
        if due <= self._replaced:
            return
        self._replaced = due
        names = list(self.scenario.domain_of)
        self.scenario.replaced.append(names[due % len(names)])

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
    """Returns the memory of one customer's ledger with three holders."""
    count = 1000
    tracemalloc.start()
    ledgers = []
    for _ in range(count):
        ledger = tokenledger.Ledger(tokenledger.Terms(10.0, 20.0), 0.0)
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
            print(json.dumps(Simulation(chosen).run()._asdict()))
            sys.stdout.flush()


if __name__ == "__main__":
    main()
