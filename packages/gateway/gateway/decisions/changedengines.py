"""Which engines may have got room since they were last looked at.

Comparing all engines with all waiting requests at each change would take longer
than the time between two changes of a large service.
"""

from collections.abc import Callable, Iterable

# The most engines that are returned at once, and how often each has its turn at
# least, in seconds, as rooms that come free with time cause no change.
_MAX_ENGINES = 4
_ALL_CHANGED_S = 0.1


class ChangedEngines:
    """The engines of one service that may have got room, the latest last."""

    def __init__(self) -> None:
        self._engines: frozenset[str] = frozenset()
        self._changed: dict[str, None] = {}
        self._all_changed_s = 0.0

    def set_engines(self, names: Iterable[str]) -> None:
        """Replaces the engines; all of them may have room."""
        self._changed = dict.fromkeys(names)
        self._engines = frozenset(self._changed)

    def record(self, name: str) -> None:
        """Records that an engine may have got room."""
        self._changed.pop(name, None)
        if name in self._engines:
            self._changed[name] = None

    def pop(
        self, may_have_room: Callable[[str], bool], now_s: float
    ) -> list[str]:
        """Removes and returns some of the engines, the latest first.

        Args:
            may_have_room: Returns whether an engine is worth a comparison;
                the others are dropped.
            now_s: The current time by the monotonic clock.
        """
        if now_s - self._all_changed_s >= _ALL_CHANGED_S:
            self._all_changed_s = now_s
            others = self._engines - self._changed.keys()
            self._changed = dict.fromkeys([*sorted(others), *self._changed])
        found: list[str] = []
        while self._changed and len(found) < _MAX_ENGINES:
            name, _ = self._changed.popitem()
            if may_have_room(name):
                found.append(name)
        return found
