"""Other ways to keep a row over several VMs, to measure escrow against.

Each is the smallest honest form of the way; they run in one process, with
the faults of a `Scene`.
"""

from collections.abc import Callable
import hashlib
from typing import NamedTuple, Protocol

from bulrushdeal import records


class Scene:
    """What is at fault now, the same for every policy."""

    def __init__(self, domains: int, vms: int) -> None:
        self.now_s = 1000.0
        self.domain_of = {
            f"d{d:02d}v{v}": f"d{d:02d}"
            for d in range(domains)
            for v in range(vms)
        }
        self.dead: set[str] = set()
        self.unlisted: set[str] = set()
        # To be stopped gracefully and started again at the next tick.
        self.replaced: list[str] = []
        self.unready: set[str] = set()
        self.cut: set[str] = set()
        self.is_platform_out = False

    def alive(self) -> list[str]:
        """Returns the VMs that requests are sent to."""
        away = self.dead | self.unready
        return [vm for vm in self.domain_of if vm not in away]

    def can_reach(self, one: str, other: str) -> bool:
        """Tells whether two VMs can speak."""
        if one in self.dead or other in self.dead:
            return False
        ends = {self.domain_of[one], self.domain_of[other]}
        return len(ends) == 1 or not ends & self.cut

    def can_reach_platform(self, vm: str) -> bool:
        """Tells whether a VM reaches the platform."""
        if self.is_platform_out or vm in self.dead:
            return False
        return self.domain_of[vm] not in self.cut


class Policy(Protocol):
    """A way to decide whether a request is within its customer's row."""

    def take(self, vm: str, customer: str) -> bool:
        """Tells whether a request at a VM is admitted."""

    def tick(self) -> None:
        """Does what is due ten times a second."""


class Bucket:
    """A plain token bucket."""

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = burst
        self._at_s = now_s

    def accrue(self, now_s: float) -> None:
        """Adds what the rate gave."""
        gained = (now_s - self._at_s) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self._at_s = now_s

    def take(self, now_s: float) -> bool:
        """Takes a token if there is one."""
        self.accrue(now_s)
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Key(NamedTuple):
    """A bucket's place."""

    place: str
    customer: str


class StaticSplit:
    """Each VM has its part of the row, for good."""

    def __init__(self, scene: Scene, rows: dict[str, records.Customer]) -> None:
        self._scene = scene
        count = len(scene.domain_of)
        self._buckets = {
            Key(vm, name): Bucket(
                row.rate_per_s / count, row.burst / count, scene.now_s
            )
            for vm in scene.domain_of
            for name, row in rows.items()
        }

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        return self._buckets[Key(vm, customer)].take(self._scene.now_s)

    def tick(self) -> None:
        """See `Policy`."""


def _ranked(customer: str, vms: list[str]) -> list[str]:
    def weight(vm: str) -> bytes:
        return hashlib.sha256(f"{customer}|{vm}".encode()).digest()

    return sorted(vms, key=weight)


class OneOwner:
    """One VM of the whole fleet keeps a customer's bucket."""

    def __init__(self, scene: Scene, rows: dict[str, records.Customer]) -> None:
        self._scene = scene
        self._rows = rows
        self._owners = {
            name: _ranked(name, list(scene.domain_of))[0] for name in rows
        }
        self._buckets = {
            name: Bucket(row.rate_per_s, row.burst, scene.now_s)
            for name, row in rows.items()
        }

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        if not self._scene.can_reach(vm, self._owners[customer]):
            return False
        return self._buckets[customer].take(self._scene.now_s)

    def tick(self) -> None:
        """Gives the customers of a VM that is no longer listed away."""
        for name, vm in self._owners.items():
            if vm not in self._scene.unlisted:
                continue
            self._owners[name] = _ranked(name, self._scene.alive())[0]
            self._buckets[name].level = 0.0


class Leases(OneOwner):
    """As one owner, but ownership is a lease in the platform that lapses.

    The owner stops when it cannot renew; the next one begins with a full
    bucket, as it cannot know what was taken.
    """

    _TTL_S = 3.0

    def __init__(self, scene: Scene, rows: dict[str, records.Customer]) -> None:
        super().__init__(scene, rows)
        self._until_s = dict.fromkeys(rows, scene.now_s + self._TTL_S)

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        if self._scene.now_s >= self._until_s[customer]:
            return False
        return super().take(vm, customer)

    def tick(self) -> None:
        """Renews, and takes over what lapsed."""
        now_s = self._scene.now_s
        for name, vm in self._owners.items():
            if self._scene.can_reach_platform(vm):
                self._until_s[name] = now_s + self._TTL_S
            elif now_s >= self._until_s[name]:
                self._take_over(name, now_s)

    def _take_over(self, name: str, now_s: float) -> None:
        for vm in _ranked(name, self._scene.alive()):
            if self._scene.can_reach_platform(vm):
                row = self._rows[name]
                self._owners[name] = vm
                self._buckets[name] = Bucket(row.rate_per_s, row.burst, now_s)
                self._until_s[name] = now_s + self._TTL_S
                return


class Gossip:
    """Each VM has the whole bucket and is told what the others took."""

    _TICKS = 2

    def __init__(self, scene: Scene, rows: dict[str, records.Customer]) -> None:
        self._scene = scene
        self._buckets = {
            Key(vm, name): Bucket(row.rate_per_s, row.burst, scene.now_s)
            for vm in scene.domain_of
            for name, row in rows.items()
        }
        self._taken: dict[Key, int] = {}
        self._ticks = 0

    def take(self, vm: str, customer: str) -> bool:
        """See `Policy`."""
        key = Key(vm, customer)
        if not self._buckets[key].take(self._scene.now_s):
            return False
        self._taken[key] = self._taken.get(key, 0) + 1
        return True

    def tick(self) -> None:
        """Tells all reachable VMs what was taken since."""
        self._ticks += 1
        if self._ticks % self._TICKS:
            return
        taken, self._taken = self._taken, {}
        for key, count in taken.items():
            for vm in self._scene.alive():
                if vm == key.place or not self._scene.can_reach(key.place, vm):
                    continue
                bucket = self._buckets[Key(vm, key.customer)]
                bucket.accrue(self._scene.now_s)
                bucket.level -= count


Maker = Callable[[Scene, dict[str, records.Customer]], Policy]

BASELINES: dict[str, Maker] = {
    "static": StaticSplit,
    "leases": Leases,
    "oneowner": OneOwner,
    "gossip": Gossip,
}
