"""When a request would begin on an engine.

Engines admit requests in the order of arrival and prefill one prompt after the
other, so a short request behind a long prompt waits for its first event
although slots and memory are free.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

# What a run that lasts longer than expected is taken to need more, as a share
# of its expected duration: stated lengths are right at the median only.
_OVERDUE_SHARE = 0.25


class _Run(NamedTuple):
    """The expected times of a run.

    Attributes:
        begin_s: When the engine admits it, by the monotonic clock.
        prefill_s: How long its prompt is read, in seconds.
        run_s: How long it takes from its begin to its end, in seconds.
    """

    begin_s: float
    prefill_s: float
    run_s: float

    def remaining_s(self, now_s: float) -> float:
        """Returns in how many seconds a running one is expected to end."""
        remaining_s = self.begin_s + self.run_s - now_s
        return remaining_s if remaining_s > 0 else self.run_s * _OVERDUE_SHARE


class _Reading(NamedTuple):
    """The expected reading of a prompt.

    Attributes:
        begin_s: When the engine admits its run, by the monotonic clock.
        prefill_s: How long it takes, in seconds.
        end_s: When it is over, by the monotonic clock.
    """

    begin_s: float
    prefill_s: float
    end_s: float


class EngineStarts:
    """The expected times of the known runs on the engines of one service.

    All durations are those at the pace of the engine.
    """

    def __init__(self) -> None:
        self._instances: dict[str, str] = {}
        # The running and the queued runs of each engine, in the order of their
        # arrival.
        self._running: dict[str, dict[str, _Run]] = {}
        self._queued: dict[str, dict[str, _Run]] = {}
        # The earliest expected end on each engine, by the monotonic clock.
        self._first_end_s: dict[str, float] = {}
        # The prompts of each engine that are not known to be read, in order.
        self._readings: dict[str, dict[str, _Reading]] = {}

    def add(
        self,
        run: str,
        instance: str,
        *,
        now_s: float,
        prefill_s: float,
        run_s: float,
        queued_for_s: float | None = None,
    ) -> None:
        """Adds a run that is not known.

        Args:
            run: The run's name.
            instance: The engine.
            now_s: The current time by the monotonic clock.
            prefill_s: How long its prompt is read, in seconds; 0 if it is read.
            run_s: How long it takes from its begin to its end, in seconds.
            queued_for_s: In how many seconds the engine admits it; `None` if
                it does at once.
        """
        self._instances[run] = instance
        if queued_for_s is not None:
            row = _Run(now_s + queued_for_s, prefill_s, run_s)
            self._queued.setdefault(instance, {})[run] = row
            return
        self._begin(run, instance, _Run(now_s, prefill_s, run_s))

    def remove(self, run: str, now_s: float) -> None:
        """Removes a run that has ended; does nothing if it is not known."""
        instance = self._instances.pop(run, None)
        if instance is None:
            return
        _discard(self._running, instance, run)
        _discard(self._queued, instance, run)
        self._update_first_end(instance)
        readings = self._readings.get(instance, {})
        if run not in readings:
            return
        names = list(readings)
        index = names.index(run)
        before_s = readings[names[index - 1]].end_s if index else now_s
        del readings[run]
        _advance(readings, names[index + 1 :], max(now_s, before_s))

    def queued(self, instance: str) -> tuple[str, ...]:
        """Returns the runs in the queue of an engine in their order."""
        return tuple(self._queued.get(instance, ()))

    def begin(self, run: str, now_s: float) -> None:
        """Records that an engine admits a run that was queued."""
        instance = self._instances[run]
        row = self._queued[instance][run]
        _discard(self._queued, instance, run)
        self._begin(run, instance, row._replace(begin_s=now_s))

    def record_read(self, run: str, now_s: float) -> None:
        """Records that the prompt of a run, and so all before it, are read."""
        instance = self._instances.get(run, "")
        queued = self.queued(instance)
        if run in queued:
            # The engine had room for it earlier than expected.
            for name in queued[: queued.index(run) + 1]:
                self.begin(name, now_s)
        readings = self._readings.get(instance, {})
        if run not in readings:
            return
        names = list(readings)
        index = names.index(run)
        for name in names[: index + 1]:
            del readings[name]
        _advance(readings, names[index + 1 :], now_s)

    def reading_s(self, instance: str, now_s: float) -> float:
        """Returns in how many seconds an engine has read all its prompts."""
        readings = self._readings.get(instance)
        if not readings:
            return 0.0
        end_s = next(reversed(readings.values())).end_s
        if end_s > now_s:
            return end_s - now_s
        readings.clear()
        return 0.0

    def min_room_s(self, instance: str, now_s: float) -> float:
        """Returns a time in seconds that `room_s` is never below."""
        return max(0.0, self._first_end_s.get(instance, 0.0) - now_s)

    def room_s(
        self,
        instance: str,
        now_s: float,
        has_room: Callable[[Sequence[str]], bool],
    ) -> float | None:
        """Returns in how many seconds a new request is admitted by an engine.

        Args:
            instance: The engine.
            now_s: The current time by the monotonic clock.
            has_room: Returns whether the request fits after some runs ended.

        Returns:
            The time in seconds; `None` if it does not fit after all known runs.
        """
        running = self._running.get(instance, {})
        ends = [(row.remaining_s(now_s), run) for run, row in running.items()]
        earliest_s = self._queue_s(instance, now_s, ends)
        ends.sort()
        ended: list[str] = []
        for remaining_s, run in ends:
            ended.append(run)
            if has_room(ended):
                return max(remaining_s, earliest_s)
        return None

    def _queue_s(
        self, instance: str, now_s: float, ends: list[tuple[float, str]]
    ) -> float:
        """Adds the expected ends of the queued runs of an engine.

        Returns:
            In how many seconds a request after them is admitted at the
            earliest.
        """
        queued = self._queued.get(instance)
        if not queued:
            return 0.0
        running = self._running.get(instance, {})
        total_s = sum(row.run_s for row in running.values())
        # Runs end at this interval on average. Without it a queue would count
        # as short once the expected ends of all runs are past.
        interval_s = total_s / max(1, len(running)) ** 2
        earliest_s = 0.0
        for place, (run, row) in enumerate(queued.items(), 1):
            begin_s = max(earliest_s, row.begin_s - now_s, place * interval_s)
            ends.append((begin_s + row.run_s, run))
            earliest_s = begin_s + row.prefill_s
        return max(earliest_s, (len(queued) + 1) * interval_s)

    def _begin(self, run: str, instance: str, row: _Run) -> None:
        self._running.setdefault(instance, {})[run] = row
        self._update_first_end(instance)
        if row.prefill_s <= 0:
            return
        readings = self._readings.setdefault(instance, {})
        from_s = row.begin_s
        if readings:
            from_s = max(from_s, next(reversed(readings.values())).end_s)
        readings[run] = _Reading(
            row.begin_s, row.prefill_s, from_s + row.prefill_s
        )

    def _update_first_end(self, instance: str) -> None:
        rows = self._running.get(instance)
        if rows is None:
            self._first_end_s.pop(instance, None)
            return
        self._first_end_s[instance] = min(
            row.begin_s + row.run_s for row in rows.values()
        )


def _discard(runs: dict[str, dict[str, _Run]], instance: str, run: str) -> None:
    """Removes a run from those of its engine, if it is one of them."""
    rows = runs.get(instance, {})
    rows.pop(run, None)
    if not rows:
        runs.pop(instance, None)


def _advance(
    readings: dict[str, _Reading], names: Sequence[str], from_s: float
) -> None:
    """Lets readings begin earlier, one after the other from a given time."""
    for name in names:
        row = readings[name]
        end_s = max(from_s, row.begin_s) + row.prefill_s
        from_s = min(row.end_s, end_s)
        readings[name] = row._replace(end_s=from_s)
