"""Measures the processor use of a run's processes and their wakeup delays.

The daemons' figures are valid only if neither the engines nor the load tool
were the bottleneck, so each phase reports all of them.
"""

from collections.abc import Mapping
import os
import threading
import time
from typing import NamedTuple

from hdrh import histogram

from standins import fleet as fleet_lib

_SLEEP_S = 0.005
_US = 1_000_000
_SIGNIFICANT_DIGITS = 3
_LONGEST_US = 60 * _US
PERCENTILES = (50.0, 95.0, 99.0)
_ENGINE_PREFIX = "engine-"
_DAEMON_PREFIX = "entry-"


class ProcessorUse(NamedTuple):
    """The processor use of a phase.

    Processor use is in cores: processor time divided by elapsed time.

    Attributes:
        daemon_mean: Mean of all daemons.
        daemon_most: The busiest daemon.
        engine_mean: Mean of all stand-in engines.
        engine_most: The busiest stand-in engine.
        platform: The stand-in platform.
        tool: The load tool.
        machine_load: The machine's load average of the last minute.
        tool_late_ms: How late a sleeping thread of the load tool wakes up,
            by percentile.
    """

    daemon_mean: float
    daemon_most: float
    engine_mean: float
    engine_most: float
    platform: float
    tool: float
    machine_load: float
    tool_late_ms: dict[str, float]


def percentiles_ms(recorded: histogram.HdrHistogram) -> dict[str, float]:
    """Returns the percentiles of a histogram of microseconds, in ms."""
    return {
        f"p{percent:g}": recorded.get_value_at_percentile(percent) / 1000
        for percent in PERCENTILES
    }


def new_histogram() -> histogram.HdrHistogram:
    """Returns a histogram of microseconds."""
    return histogram.HdrHistogram(1, _LONGEST_US, _SIGNIFICANT_DIGITS)


def record_s(recorded: histogram.HdrHistogram, value_s: float) -> None:
    """Records a time, as a microsecond if it is shorter."""
    recorded.record_value(max(1, int(value_s * _US)))


class Meter:
    """Measures one phase, from the creation of the object to `read`."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._wakeup_delays = new_histogram()
        self._is_over = False
        self._begin_s = time.monotonic()
        self._begin = self._used_s()
        self._thread = threading.Thread(
            target=self._measure_wakeup_delays, daemon=True
        )
        self._thread.start()

    def read(self) -> ProcessorUse:
        """Ends the phase and returns its processor use."""
        self._is_over = True
        self._thread.join()
        span_s = time.monotonic() - self._begin_s
        used = {
            name: (used_s - self._begin.get(name, 0.0)) / span_s
            for name, used_s in self._used_s().items()
        }
        daemons = _values_with_prefix(used, _DAEMON_PREFIX)
        engines = _values_with_prefix(used, _ENGINE_PREFIX)
        return ProcessorUse(
            sum(daemons) / len(daemons),
            max(daemons),
            sum(engines) / len(engines),
            max(engines),
            used["platform"],
            used[""],
            os.getloadavg()[0],
            percentiles_ms(self._wakeup_delays),
        )

    def _used_s(self) -> dict[str, float]:
        used = {
            process.name: process.processor_s()
            for process in self._fleet.processes
        }
        return {**used, "": time.process_time()}

    def _measure_wakeup_delays(self) -> None:
        while not self._is_over:
            due_s = time.monotonic() + _SLEEP_S
            time.sleep(_SLEEP_S)
            record_s(self._wakeup_delays, time.monotonic() - due_s)


def _values_with_prefix(used: Mapping[str, float], prefix: str) -> list[float]:
    return [part for name, part in used.items() if name.startswith(prefix)]
