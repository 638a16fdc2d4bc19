"""Weighted fair shares by stride: the one that had least goes first."""

from collections.abc import Iterable

_MIN_WEIGHT = 1e-6


class Shares:
    """Remembers how much each name had in relation to its weight."""

    def __init__(self) -> None:
        self._had: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def set_weight(self, name: str, weight: float) -> None:
        """Sets a name's weight; 0 means that it wants nothing now."""
        self._weights[name] = weight

    def order(self, names: Iterable[str]) -> list[str]:
        """Returns names, who had least first, and forgets all others."""
        known = set(names)
        for name in set(self._had) - known:
            del self._had[name]
        wanting = [
            self._had[name]
            for name in known
            if name in self._had and self._weights.get(name, 1.0) > 0
        ]
        # Who comes, or comes back after wanting nothing, has no credit for
        # the time before: it would keep all others waiting until it caught
        # up.
        floor = min(wanting, default=0.0)
        for name in known:
            self._had[name] = max(self._had.get(name, floor), floor)
        return sorted(known, key=lambda name: (self._had[name], name))

    def charge(self, name: str, amount: float) -> None:
        """Counts what a name was given."""
        weight = max(self._weights.get(name, 1.0), _MIN_WEIGHT)
        self._had[name] = self._had.get(name, 0.0) + amount / weight
