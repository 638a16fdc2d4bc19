"""A test oracle for the limits: one token bucket for the whole fleet."""

from collections.abc import Iterable

import result

from bench import limitfakes
from bulrushdeal import records

_TOLERANCE = 1e-3


class Bucket:
    """The tokens that a customer's row allows, by true time.

    While VMs have different versions of the row in force, the highest rate
    and the highest burst among them apply.
    """

    def __init__(self, row: records.Customer, now_s: float) -> None:
        self.rate_per_s = row.rate_per_s
        self.burst = row.burst
        self.level = row.burst
        self.at_s = now_s

    def accrue(self, now_s: float) -> None:
        gained = (now_s - self.at_s) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self.at_s = now_s

    def allow(self, rows: list[records.Customer], now_s: float) -> None:
        """Applies the versions of the row that VMs have in force."""
        self.accrue(now_s)
        self.rate_per_s = max(row.rate_per_s for row in rows)
        self.burst = max(row.burst for row in rows)
        self.level = min(self.burst, self.level)

    def admit(self, now_s: float) -> None:
        self.accrue(now_s)
        self.level -= 1
        assert self.level > -_TOLERANCE, "admitted over the row"

    def take(
        self, fleet: limitfakes.Fleet, vms: Iterable[str], count: int
    ) -> int:
        """Requests `count` single tokens at each VM.

        Returns:
            How many requests were admitted.

        Raises:
            AssertionError: More were admitted than the row allows.
        """
        admitted = 0
        for vm in vms:
            for _ in range(count):
                taken = fleet.nodes[vm].limits.take("a")
                if isinstance(taken, result.Ok):
                    self.admit(fleet.world.now_s)
                    admitted += 1
        return admitted
