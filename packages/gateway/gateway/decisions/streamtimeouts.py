"""When a silent stream is retried or continued at another upstream.

When an upstream is cut off or freezes, its streams fall silent, and another
upstream can still be on time. Streams are silent as well when all engines are
full: then a stream starts no sooner elsewhere, the prompt that the first engine
has read is lost, and the second run slows the others down. So a retry budget
limits the share of streams that are given up early. A stream is also not given
up while it is only as late as streams of its route usually are, since a long
prompt takes its time at any engine.
"""

from typing import NamedTuple

# Share of the target after which a stream with a free slot is retried at
# another upstream; the rest of the target is for the retry.
_FIRST_EVENT_SHARE = 0.6
# Share of the target for pauses after which a stream is given up, and the least
# silence: a process may be paused for a tenth of a second.
_GAP_SHARE = 0.65
_MIN_SILENCE_S = 0.15
# The silence after which any repeatable request is retried at another upstream:
# a least time, and a multiple of the target.
_MIN_DEFAULT_TIMEOUT_S = 1.0
_DEFAULT_TIMEOUT_TARGETS = 3.0
# Share of the streams sent that may be given up early, and the most unused
# retries that are saved up for a moment at which upstreams are cut off.
_BUDGET_SHARE = 0.1
_MAX_BUDGET = 3.0
# Weights of the smoothed time to the first event and of its deviation, as for
# round trips in RFC 6298.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 2.0
# Routes come and go with the configuration; beyond this number the times of all
# routes are dropped.
_MAX_ROUTES = 4096


class _FirstEventTimes(NamedTuple):
    """The smoothed time to the first event of a route's streams.

    Attributes:
        mean_s: The smoothed time, in seconds.
        deviation_s: The smoothed deviation from it, in seconds.
    """

    mean_s: float
    deviation_s: float

    def updated(self, took_s: float) -> "_FirstEventTimes":
        """Returns the times updated by another stream's time.

        The time counts as twice the mean at most. Otherwise one stream at a
        frozen upstream would make the silence of the next ones look usual.
        """
        difference_s = min(took_s, 2 * self.mean_s) - self.mean_s
        excess_s = abs(difference_s) - self.deviation_s
        return _FirstEventTimes(
            self.mean_s + difference_s * _MEAN_WEIGHT,
            self.deviation_s + excess_s * _DEVIATION_WEIGHT,
        )

    def upper_bound_s(self) -> float:
        """Returns a time that hardly any stream exceeds, in seconds."""
        return self.mean_s + _DEVIATIONS * self.deviation_s


class StreamTimeouts:
    """The allowed silence of streams and the budget for early retries.

    Any thread may call the methods. One of two concurrent updates may be lost,
    which is harmless.
    """

    def __init__(self) -> None:
        self._budget = _MAX_BUDGET
        self._first_event_times: dict[str, _FirstEventTimes] = {}

    def record_send(self) -> None:
        """Records that a stream was sent to an upstream."""
        self._budget = min(_MAX_BUDGET, self._budget + _BUDGET_SHARE)

    def record_given_up(self) -> None:
        """Records that a stream was given up as silent."""
        self._budget -= 1.0

    def record_first_event(self, route: str, took_s: float) -> None:
        """Records the time to the first event of a stream with a free slot."""
        times = self._first_event_times.get(route)
        if times is not None:
            self._first_event_times[route] = times.updated(took_s)
            return
        if len(self._first_event_times) >= _MAX_ROUTES:
            self._first_event_times.clear()
        self._first_event_times[route] = _FirstEventTimes(took_s, took_s / 2)

    def first_event_timeout_s(
        self, route: str, target_s: float, *, starts_at_once: bool
    ) -> float:
        """Returns how long a stream may take to its first event.

        Args:
            route: The name of the stream's route.
            target_s: The target for the first event, in seconds.
            starts_at_once: Whether the stream has a free slot and does not wait
                in the engine's queue.

        Returns:
            The time in seconds.
        """
        times = self._first_event_times.get(route)
        if not starts_at_once or self._budget < 1.0 or times is None:
            return default_timeout_s(target_s)
        least_s = max(target_s * _FIRST_EVENT_SHARE, _MIN_SILENCE_S)
        return min(
            max(least_s, times.upper_bound_s()), default_timeout_s(target_s)
        )

    def gap_timeout_s(self, gap_target_s: float, target_s: float) -> float:
        """Returns how long a stream may pause between two events.

        Args:
            gap_target_s: The target for pauses, in seconds; 0 for none.
            target_s: The target for the first event, in seconds.

        Returns:
            The time in seconds.
        """
        if not gap_target_s or self._budget < 1.0:
            return default_timeout_s(target_s)
        return max(gap_target_s * _GAP_SHARE, _MIN_SILENCE_S)


def default_timeout_s(target_s: float) -> float:
    """Returns the silence after which any repeatable request is retried.

    Args:
        target_s: The target latency of the request, in seconds.

    Returns:
        The time in seconds.
    """
    return max(_MIN_DEFAULT_TIMEOUT_S, target_s * _DEFAULT_TIMEOUT_TARGETS)
