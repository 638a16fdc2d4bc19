"""Timeouts for calls to other VMs, derived from their past answer times.

When a failure domain is cut off, each VM's next request calls a leader or an
owner beyond the cut. Answers normally take a few milliseconds, so one that has
not come after a quarter of a second will not come; the request that waits for
it is late, and so is the one after it.
"""

from typing import NamedTuple

# Weights and factor of TCP's retransmission timeout (RFC 6298).
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
_DEVIATIONS = 4.0
# A VM that has used up its CPU quota is paused for a tenth of a second.
_MIN_S = 0.12
_MAX_S = 0.25
_MAX_VMS = 2000


class _Times(NamedTuple):
    """The smoothed answer time of a VM and its mean deviation, in seconds."""

    mean_s: float
    mean_deviation_s: float


class CallTimes:
    """The answer times of other VMs.

    Any thread may call the methods. One of two concurrent updates may be lost,
    which is harmless.
    """

    def __init__(self) -> None:
        self._times: dict[str, _Times] = {}

    def record(self, vm: str, took_s: float) -> None:
        """Records how long an answer took."""
        times = self._times.get(vm)
        if times is None:
            if len(self._times) >= _MAX_VMS:
                self._times.clear()
            self._times[vm] = _Times(took_s, took_s / 2)
            return
        deviation_s = abs(took_s - times.mean_s)
        self._times[vm] = _Times(
            times.mean_s + (took_s - times.mean_s) * _MEAN_WEIGHT,
            times.mean_deviation_s
            + (deviation_s - times.mean_deviation_s) * _DEVIATION_WEIGHT,
        )

    def record_timeout(self, vm: str) -> None:
        """Records a timeout, after which the next call gets the longest one."""
        self._times.pop(vm, None)

    def timeout_s(self, vm: str) -> float:
        """Returns how long to wait for a VM's answer, in seconds."""
        times = self._times.get(vm)
        if times is None:
            return _MAX_S
        timeout_s = times.mean_s + _DEVIATIONS * times.mean_deviation_s
        return min(max(timeout_s, _MIN_S), _MAX_S)
