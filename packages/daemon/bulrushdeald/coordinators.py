"""Which VMs coordinate which jobs, as seen from this VM.

Each failure domain has two candidates, so that a VM that runs chunks talks
to a bounded number of others however large the fleet is. Nothing rests on
two VMs agreeing: a chunk is only ever given out by compare-and-swap.
"""

from collections.abc import Iterable
import threading

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import batchrecords
from bulrushdeald import rendezvous
from bulrushdeald import services

_CANDIDATES_PER_DOMAIN = 2
# A VM that did not answer is passed over for so long.
_SUSPECT_S = 10.0


class Coordinators:
    """Ranks the coordinators of each bucket of jobs."""

    def __init__(
        self, membership: services.Membership, clock: clock_lib.Clock
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._suspect_until_s: dict[str, float] = {}

    def suspect(self, vm: str) -> None:
        """Passes a VM over for a while, since it did not answer."""
        with self._lock:
            until_s = self._clock.monotonic_s() + _SUSPECT_S
            self._suspect_until_s[vm] = until_s

    def candidates(self) -> list[str]:
        """Returns the VMs that may coordinate, this one among them or not."""
        domains: dict[str, list[str]] = {}
        for vm in self._membership.entry_vms():
            if _may_coordinate(vm):
                domains.setdefault(vm.failure_domain, []).append(vm.vm)
        return [
            vm
            for domain, names in sorted(domains.items())
            for vm in rendezvous.rank(domain, names)[:_CANDIDATES_PER_DOMAIN]
        ]

    def of_bucket(self, bucket: int) -> str:
        """Returns who coordinates a bucket, empty if there is nobody."""
        return self._first(bucket, self._answering())

    def all(self) -> list[str]:
        """Returns each VM that coordinates a bucket."""
        answering = self._answering()
        firsts = {
            self._first(bucket, answering)
            for bucket in range(batchrecords.BUCKETS)
        }
        return sorted(firsts - {""})

    def own_buckets(self) -> list[int]:
        """Returns the buckets that fall to this VM."""
        own = self._membership.own().vm
        answering = self._answering()
        return [
            bucket
            for bucket in range(batchrecords.BUCKETS)
            if self._first(bucket, answering) == own
        ]

    def _answering(self) -> list[str]:
        own = self._membership.own().vm
        now_s = self._clock.monotonic_s()
        with self._lock:
            return [
                vm
                for vm in self.candidates()
                if vm == own or self._suspect_until_s.get(vm, 0.0) <= now_s
            ]

    def _first(self, bucket: int, names: Iterable[str]) -> str:
        ranked = rendezvous.rank(f"bucket {bucket}", names)
        return ranked[0] if ranked else ""


def _may_coordinate(vm: records.Vm) -> bool:
    return vm.role == "entry" and vm.state == "live"
