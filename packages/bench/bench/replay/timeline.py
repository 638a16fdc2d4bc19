"""Virtual time, in which actions run in the order of their times."""

from collections.abc import Callable
import heapq
import itertools

Action = Callable[[], None]


class Timeline:
    """Runs actions at their times; equal times in the order of addition.

    Attributes:
        now_s: The current time, in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._sequence = itertools.count()
        self._actions: list[tuple[float, int, Action]] = []

    def after(self, delay_s: float, action: Action) -> None:
        """Schedules an action `delay_s` seconds from now."""
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._actions, entry)

    def run(self, until_s: float) -> None:
        """Runs all actions before `until_s` and advances the time to it."""
        while self._actions and self._actions[0][0] < until_s:
            self.now_s, _, action = heapq.heappop(self._actions)
            action()
        self.now_s = until_s
