"""Alternative rate limit policies over several VMs, as baselines for escrow.

Each is a minimal but fair implementation of its policy. All run in one
process, with the faults of a `Scenario`.
"""

from collections.abc import Callable
import hashlib
from typing import NamedTuple, Protocol

from bulrushdeal import records


class Scenario:
    """The simulated fleet, its clock and its faults, the same for each policy.

    Attributes:
        now_s: Simulated time.
        domain_of: Failure domain by VM.
        dead: VMs that crashed.
        unlisted: VMs that the platform no longer lists.
        replaced: VMs to be stopped gracefully and restarted at the next tick.
        unready: VMs that get no requests as they report not to be ready.
        cut: Failure domains that reach neither other domains nor the platform.
        is_platform_out: Whether no VM reaches the platform.
    """

    def __init__(self, domains: int, vms: int) -> None:
        self.now_s = 1000.0
        self.domain_of = {
            f"d{d:02d}v{v}": f"d{d:02d}"
            for d in range(domains)
            for v in range(vms)
        }
        self.dead: set[str] = set()
        self.unlisted: set[str] = set()
        self.replaced: list[str] = []
        self.unready: set[str] = set()
        self.cut: set[str] = set()
        self.is_platform_out = False

    def alive(self) -> list[str]:
        """Returns the VMs that requests are sent to."""
        away = self.dead | self.unready
        return [vm for vm in self.domain_of if vm not in away]

    def can_reach(self, one: str, other: str) -> bool:
        """Returns whether two VMs can exchange messages."""
        if one in self.dead or other in self.dead:
            return False
        ends = {self.domain_of[one], self.domain_of[other]}
        return len(ends) == 1 or not ends & self.cut

    def can_reach_platform(self, vm: str) -> bool:
        """Returns whether a VM reaches the platform."""
        if self.is_platform_out or vm in self.dead:
            return False
        return self.domain_of[vm] not in self.cut


class Policy(Protocol):
    """Decides whether a request is within its customer's rate and burst."""

    def take(self, vm: str, customer: str) -> bool:
        """Returns whether a request at a VM is admitted."""

    def tick(self) -> None:
        """Does the periodic work; called ten times per simulated second."""


class Bucket:
    """A plain token bucket."""

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = burst
        self._at_s = now_s

    def accrue(self, now_s: float) -> None:
        """Adds the tokens that the rate gives up to a time."""
        gained = (now_s - self._at_s) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self._at_s = now_s

    def take(self, now_s: float) -> bool:
        """Takes a token; returns false if there is none."""
        self.accrue(now_s)
        if self.level < 1:
            return False
        self.level -= 1
        return True


class BucketKey(NamedTuple):
    """The VM that keeps a bucket, and the bucket's customer."""

    vm: str
    customer: str


class StaticSplit:
    """Each VM has a fixed, equal part of the customer's rate and burst."""

    def __init__(
        self, scenario: Scenario, rows: dict[str, records.Customer]
    ) -> None:
        self._scenario = scenario
        count = len(scenario.domain_of)
        self._buckets = {
            BucketKey(vm, name): Bucket(
                row.rate_per_s / count, row.burst / count, scenario.now_s
            )
            for vm in scenario.domain_of
            for name, row in rows.items()
        }

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        return self._buckets[BucketKey(vm, customer)].take(self._scenario.now_s)

    def tick(self) -> None:
        """See `Policy`."""


def _rank_by_hash(customer: str, vms: list[str]) -> list[str]:
    def weight(vm: str) -> bytes:
        return hashlib.sha256(f"{customer}|{vm}".encode()).digest()

    return sorted(vms, key=weight)


class OneOwner:
    """One VM of the whole fleet keeps the bucket of a customer."""

    def __init__(
        self, scenario: Scenario, rows: dict[str, records.Customer]
    ) -> None:
        self._scenario = scenario
        self._rows = rows
        self._owners = {
            name: _rank_by_hash(name, list(scenario.domain_of))[0]
            for name in rows
        }
        self._buckets = {
            name: Bucket(row.rate_per_s, row.burst, scenario.now_s)
            for name, row in rows.items()
        }

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        if not self._scenario.can_reach(vm, self._owners[customer]):
            return False
        return self._buckets[customer].take(self._scenario.now_s)

    def tick(self) -> None:
        """Gives the customers of VMs that are no longer listed a new owner.

        The new owner begins with an empty bucket.
        """
        for name, vm in self._owners.items():
            if vm not in self._scenario.unlisted:
                continue
            self._owners[name] = _rank_by_hash(name, self._scenario.alive())[0]
            self._buckets[name].level = 0.0


class Leases(OneOwner):
    """One owner per customer, by a lease at the platform that expires.

    An owner that cannot renew its lease stops admitting. The next owner
    begins with a full bucket, as it cannot know how many tokens were taken.
    """

    _TTL_S = 3.0

    def __init__(
        self, scenario: Scenario, rows: dict[str, records.Customer]
    ) -> None:
        super().__init__(scenario, rows)
        self._lease_end_s = dict.fromkeys(rows, scenario.now_s + self._TTL_S)

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        if self._scenario.now_s >= self._lease_end_s[customer]:
            return False
        return super().take(vm, customer)

    def tick(self) -> None:
        """Renews the leases and gives customers of expired ones a new owner."""
        now_s = self._scenario.now_s
        for name, vm in self._owners.items():
            if self._scenario.can_reach_platform(vm):
                self._lease_end_s[name] = now_s + self._TTL_S
            elif now_s >= self._lease_end_s[name]:
                self._take_over(name, now_s)

    def _take_over(self, name: str, now_s: float) -> None:
        for vm in _rank_by_hash(name, self._scenario.alive()):
            if self._scenario.can_reach_platform(vm):
                row = self._rows[name]
                self._owners[name] = vm
                self._buckets[name] = Bucket(row.rate_per_s, row.burst, now_s)
                self._lease_end_s[name] = now_s + self._TTL_S
                return


class Gossip:
    """Each VM has a whole bucket and reports the tokens taken to the others."""

    _TICKS_PER_ROUND = 2

    def __init__(
        self, scenario: Scenario, rows: dict[str, records.Customer]
    ) -> None:
        self._scenario = scenario
        self._buckets = {
            BucketKey(vm, name): Bucket(
                row.rate_per_s, row.burst, scenario.now_s
            )
            for vm in scenario.domain_of
            for name, row in rows.items()
        }
        self._taken: dict[BucketKey, int] = {}
        self._ticks = 0

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        key = BucketKey(vm, customer)
        if not self._buckets[key].take(self._scenario.now_s):
            return False
        self._taken[key] = self._taken.get(key, 0) + 1
        return True

    def tick(self) -> None:
        """Reports the taken tokens to all reachable VMs, every second tick."""
        self._ticks += 1
        if self._ticks % self._TICKS_PER_ROUND:
            return
        taken, self._taken = self._taken, {}
        for key, count in taken.items():
            for vm in self._scenario.alive():
                if vm == key.vm or not self._scenario.can_reach(key.vm, vm):
                    continue
                bucket = self._buckets[BucketKey(vm, key.customer)]
                bucket.accrue(self._scenario.now_s)
                bucket.level -= count


PolicyFactory = Callable[[Scenario, dict[str, records.Customer]], Policy]

BASELINES: dict[str, PolicyFactory] = {
    "static": StaticSplit,
    "leases": Leases,
    "oneowner": OneOwner,
    "gossip": Gossip,
}
