"""Which upstreams this VM has reason to believe unreachable."""

from collections.abc import Iterable
import time

from gateway import configuration
from gateway import health
from gateway import heldslots
from gateway import members
from gateway import upstreamlist

# A VM that reaches less than this part of all VMs is on the smaller side of a
# network partition.
_MIN_REACHED_FRACTION = 0.5
# An upstream answers within this time even while requests are queued in it.
_ANSWER_OVERDUE_S = 0.6


class Reachability:
    """Judges upstreams by their answers and by the VMs that answer.

    Args:
        upstream_health: What upstreams answered this VM lately.
        vms: Which failure domains are cut off.
        upstreams: The listed upstreams.
        slots: The slots that this VM holds.
        feed: The services of the configuration in force.
    """

    def __init__(
        self,
        upstream_health: health.Health,
        vms: members.Members,
        upstreams: upstreamlist.UpstreamList,
        slots: heldslots.HeldSlots,
        feed: configuration.Feed,
    ) -> None:
        self._health = upstream_health
        self._members = vms
        self._upstreams = upstreams
        self._slots = slots
        self._feed = feed

    def is_partitioned(self) -> bool:
        """Returns whether a network partition keeps this VM from a service.

        This is the case when this VM is on the smaller side and all upstreams
        of some service are on the other, where VMs can still serve it.
        """
        if self._members.reached_fraction() >= _MIN_REACHED_FRACTION:
            return False
        held, lost = self._feed.current(), self._members.unreachable_domains()
        if held is None:
            return False
        return any(
            all(
                row.failure_domain in lost
                and self._health.is_silent(row.instance)
                for row in rows
            )
            for rows in map(self._upstreams.usable, held.services)
            if rows
        )

    def unreachable(
        self, service: str, excluded: Iterable[str]
    ) -> frozenset[str]:
        """Returns the upstreams of a service not to use, and the excluded.

        Args:
            service: The service.
            excluded: Upstreams that are not to be used in any case.
        """
        skipped = frozenset(excluded)
        avoided, lost = (
            self._health.avoided(),
            self._members.unreachable_domains(),
        )
        rows = self._upstreams.usable(service)
        # Requests into a failure domain that is cut off are lost. If only
        # the domain's VMs have stopped, its upstreams still send data and
        # stay usable.
        skipped |= {
            row.instance
            for row in rows
            if row.instance in avoided
            or (
                row.failure_domain in lost
                and self._health.is_silent(row.instance)
            )
        }
        suspects = self.silent() | self._health.doubtful()
        # If all upstreams are silent, they are taken as slow and stay usable.
        # If all are doubtful, rather answers get lost than all have crashed.
        if all(row.instance in skipped | suspects for row in rows):
            return skipped
        return skipped | suspects

    def silent(self) -> frozenset[str]:
        """Returns the upstreams that owe an answer and send nothing.

        Requests can still be sent to an unreachable upstream on open
        connections, and each waits until its timeout. Skipping the upstream
        once the first requests wait keeps further ones away.
        """
        now_s = time.monotonic()
        return frozenset(
            slot.upstream.instance
            for slot in self._slots.all()
            if now_s - slot.held_since_s > _ANSWER_OVERDUE_S
            and self._health.is_silent(slot.upstream.instance)
        )
