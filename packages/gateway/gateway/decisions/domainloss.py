"""Which failure domains count as cut off, from calls to their VMs.

Requests into a failure domain that is cut off are lost. A call that gets no
answer at all is a sign of a cut. A refused connection is not: the network
works, and the VM's process has stopped or has not started yet. If all processes
are killed at once, each VM that is back would otherwise take the others'
domains, and its own, for cut off, and grant its customers next to nothing.
"""

from typing import NamedTuple

# Consecutive unanswered calls to different VMs of a domain that show a cut.
_MAX_SILENT = 2
# Processes start again within this time. A domain that still refuses all
# connections is cut off by something that resets them.
_RESTART_S = 1.2
# A domain counts as cut off for this long after the last sign of it. Its
# upstreams that have lost the store too expire there before that.
DOMAIN_LOST_S = 5.0


class _Misses(NamedTuple):
    """The failed calls to a domain since its last answer.

    Attributes:
        silent: The calls that got no answer at all.
        refused: The calls whose connection was refused or closed.
        first_s: When the first of these failed, by the monotonic clock.
        last_s: When the last one failed.
    """

    silent: int
    refused: int
    first_s: float
    last_s: float


class DomainLoss:
    """The failed calls to each failure domain."""

    def __init__(self) -> None:
        self._misses: dict[str, _Misses] = {}

    def record_miss(
        self, domain: str, now_s: float, *, has_host_answered: bool
    ) -> bool:
        """Records a failed call; returns whether the domain is lost by it.

        Args:
            domain: The failure domain of the called VM.
            now_s: The current time by the monotonic clock.
            has_host_answered: Whether the VM's host refused, closed or reset
                the connection.
        """
        was_lost = self._is_lost(domain, now_s)
        held = self._misses.get(domain)
        if held is None or now_s - held.last_s > DOMAIN_LOST_S:
            held = _Misses(0, 0, now_s, now_s)
        self._misses[domain] = held._replace(
            silent=held.silent + (not has_host_answered),
            refused=held.refused + has_host_answered,
            last_s=now_s,
        )
        return not was_lost and self._is_lost(domain, now_s)

    def record_answer(self, domain: str, now_s: float) -> bool:
        """Records an answered call; returns whether the domain was lost."""
        was_lost = self._is_lost(domain, now_s)
        self._misses.pop(domain, None)
        return was_lost

    def lost(self, now_s: float) -> frozenset[str]:
        """Returns the failure domains that count as cut off.

        A domain no longer counts `DOMAIN_LOST_S` after its last failed call.
        When all its VMs are removed, calls to them fail at first and are then
        no longer made; it would count as cut off for ever.
        """
        if not self._misses:
            return frozenset()
        return frozenset(
            domain
            for domain in list(self._misses)
            if self._is_lost(domain, now_s)
        )

    def dump(self) -> dict[str, int]:
        """Returns the number of failed calls to each domain."""
        return {
            domain: row.silent + row.refused
            for domain, row in list(self._misses.items())
        }

    def _is_lost(self, domain: str, now_s: float) -> bool:
        held = self._misses.get(domain)
        if held is None or now_s - held.last_s > DOMAIN_LOST_S:
            return False
        if held.silent >= _MAX_SILENT:
            return True
        count = held.silent + held.refused
        return count >= _MAX_SILENT and held.last_s - held.first_s > _RESTART_S
