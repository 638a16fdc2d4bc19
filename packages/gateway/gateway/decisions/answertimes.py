"""How long the last answers of each route took."""

import collections

# Of each route; enough to hold one of its longest answers.
_KEPT_ANSWERS = 64
# Routes come and go with configurations.
_MAX_ROUTES = 1000


class AnswerTimes:
    """The durations of whole answers, by route; not thread-safe."""

    def __init__(self) -> None:
        self._took_s: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )

    def record(self, route: str, took_s: float) -> None:
        """Records how long a whole answer took, in seconds."""
        rows = self._took_s.setdefault(
            route, collections.deque(maxlen=_KEPT_ANSWERS)
        )
        rows.append(took_s)
        self._took_s.move_to_end(route)
        if len(self._took_s) > _MAX_ROUTES:
            self._took_s.popitem(last=False)

    def longest_s(self, route: str) -> float | None:
        """Returns the longest duration in seconds; `None` if unknown."""
        rows = self._took_s.get(route)
        return max(rows) if rows else None
