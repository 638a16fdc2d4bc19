"""How long a VM's batch items take, and whether one can still be in time.

Online bursts preempt batch items, so an item takes longer from its first run to
its end than it runs. More items wait than can be done when jobs come faster
than engines finish them. If each began as late as its bare run allows, one
preemption would make it late, and most of the work would go to late results.
"""

# Initial value of the smoothed run time, and the weight of a new one.
_INITIAL_RUN_S = 5.0
_RUN_WEIGHT = 0.1
# Weights of the smoothed stretch and of its deviation, as for round trips in
# RFC 6298.
_STRETCH_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 2.0
# One item that waited out an outage between two runs says little of the others.
_MAX_STRETCH = 4.0


class ItemTimes:
    """The run times of completed items of one VM.

    Attributes:
        mean_run_s: How long a whole run takes, in seconds.
    """

    def __init__(self) -> None:
        self.mean_run_s = _INITIAL_RUN_S
        self._mean_stretch = 1.0
        self._deviation = 0.0

    @property
    def stretch(self) -> float:
        """The time from first run to end, as a multiple of the run time.

        Hardly any item takes longer.
        """
        return self._mean_stretch + _DEVIATIONS * self._deviation

    def record(self, ran_s: float, span_s: float) -> None:
        """Records an item that has completed.

        Args:
            ran_s: The time for which it ran, in seconds.
            span_s: The time from the start of its first run, in seconds.
        """
        if ran_s <= 0:
            return
        self.mean_run_s += (ran_s - self.mean_run_s) * _RUN_WEIGHT
        stretch = min(max(span_s / ran_s, 1.0), _MAX_STRETCH)
        difference = stretch - self._mean_stretch
        self._mean_stretch += difference * _STRETCH_WEIGHT
        excess = abs(difference) - self._deviation
        self._deviation += excess * _DEVIATION_WEIGHT
