"""Chooses the VM that coordinates each bucket of jobs.

Each failure domain has two candidates, so the number of coordinators that a
worker reports to does not grow with the fleet. VMs may disagree about the
coordinator of a bucket without harm, because a chunk is only claimed by
compare-and-swap.
"""

from collections.abc import Iterable
import threading

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import batchrecords
from bulrushdeald import rendezvous
from bulrushdeald import services

_CANDIDATES_PER_DOMAIN = 2
# How long a VM that did not answer is skipped.
_SUSPECT_S = 10.0


class Coordinators:
    """Selects the coordinator of each bucket, as seen from this VM."""

    def __init__(
        self, membership: services.Membership, clock: clock_lib.Clock
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._suspect_until_s: dict[str, float] = {}

    def suspect(self, vm: str) -> None:
        """Skips a VM that did not answer for `_SUSPECT_S` seconds."""
        with self._lock:
            until_s = self._clock.monotonic_s() + _SUSPECT_S
            self._suspect_until_s[vm] = until_s

    def candidates(self) -> list[str]:
        """Returns the VMs that may coordinate, suspected ones included."""
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
        """Returns the VM that coordinates a bucket, or "" if there is none."""
        return self._top_ranked(bucket, self._unsuspected())

    def all(self) -> list[str]:
        """Returns the VMs that coordinate at least one bucket, by name."""
        unsuspected = self._unsuspected()
        coordinating = {
            self._top_ranked(bucket, unsuspected)
            for bucket in range(batchrecords.BUCKETS)
        }
        return sorted(coordinating - {""})

    def own_buckets(self) -> list[int]:
        """Returns the buckets that this VM coordinates."""
        own = self._membership.own_vm().vm
        unsuspected = self._unsuspected()
        return [
            bucket
            for bucket in range(batchrecords.BUCKETS)
            if self._top_ranked(bucket, unsuspected) == own
        ]

    def _unsuspected(self) -> list[str]:
        own = self._membership.own_vm().vm
        now_s = self._clock.monotonic_s()
        with self._lock:
            return [
                vm
                for vm in self.candidates()
                if vm == own or self._suspect_until_s.get(vm, 0.0) <= now_s
            ]

    def _top_ranked(self, bucket: int, names: Iterable[str]) -> str:
        ranked = rendezvous.rank(f"bucket {bucket}", names)
        return ranked[0] if ranked else ""


def _may_coordinate(vm: records.Vm) -> bool:
    return vm.role == "entry" and vm.state == "live"
