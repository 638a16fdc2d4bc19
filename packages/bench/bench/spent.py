"""What the processes of a run spend, and how late the machine wakes them.

A figure of the daemons counts only if the engines and the load tool were not
the ones that were slow, so each phase tells all of them.
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
_DIGITS = 3
_LONGEST_US = 60 * _US
PERCENTILES = (50.0, 95.0, 99.0)
_ENGINE = "engine-"
_DAEMON = "entry-"


class Processor(NamedTuple):
    """Parts of a core that processes took in a phase.

    Attributes:
        daemon_mean: Of all daemons.
        daemon_most: The busiest daemon.
        engine_mean: Of all stand-in engines.
        engine_most: The busiest engine.
        platform: The stand-in of the platform.
        tool: The load tool itself.
        machine_load: The machine's load average of the last minute.
        tool_late_ms: How late a thread of the load tool that sleeps wakes.
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
    """Returns the percentiles of recorded microseconds."""
    return {
        f"p{percent:g}": recorded.get_value_at_percentile(percent) / 1000
        for percent in PERCENTILES
    }


def new_histogram() -> histogram.HdrHistogram:
    """Returns a histogram of microseconds."""
    return histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)


def record_s(recorded: histogram.HdrHistogram, value_s: float) -> None:
    """Records a time; none is shorter than a microsecond."""
    recorded.record_value(max(1, int(value_s * _US)))


class Meter:
    """Measures one phase, from its making to `read`."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._late = new_histogram()
        self._is_over = False
        self._begin_s = time.monotonic()
        self._begin = self._used_s()
        self._thread = threading.Thread(target=self._sleep, daemon=True)
        self._thread.start()

    def read(self) -> Processor:
        """Ends the phase and returns what was spent in it."""
        self._is_over = True
        self._thread.join()
        span_s = time.monotonic() - self._begin_s
        used = {
            name: (used_s - self._begin.get(name, 0.0)) / span_s
            for name, used_s in self._used_s().items()
        }
        daemons = _of(used, _DAEMON)
        engines = _of(used, _ENGINE)
        return Processor(
            sum(daemons) / len(daemons),
            max(daemons),
            sum(engines) / len(engines),
            max(engines),
            used["platform"],
            used[""],
            os.getloadavg()[0],
            percentiles_ms(self._late),
        )

    def _used_s(self) -> dict[str, float]:
        used = {
            process.name: process.processor_s()
            for process in self._fleet.processes
        }
        return {**used, "": time.process_time()}

    def _sleep(self) -> None:
        while not self._is_over:
            due_s = time.monotonic() + _SLEEP_S
            time.sleep(_SLEEP_S)
            record_s(self._late, time.monotonic() - due_s)


def _of(used: Mapping[str, float], prefix: str) -> list[float]:
    return [part for name, part in used.items() if name.startswith(prefix)]
