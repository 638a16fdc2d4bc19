"""Weighted fair sharing by stride scheduling."""

from collections.abc import Iterable

_MIN_WEIGHT = 1e-6


class Shares:
    """Tracks what each name has received, divided by its weight."""

    def __init__(self) -> None:
        self._served: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def set_weight(self, name: str, weight: float) -> None:
        """Sets a name's weight; 0 means that the name has no demand now."""
        self._weights[name] = weight

    def order(self, names: Iterable[str]) -> list[str]:
        """Returns names, least served first, and forgets all others.

        Those served alike stay in the order given.
        """
        current = list(dict.fromkeys(names))
        for name in self._served.keys() - set(current):
            del self._served[name]
        demanding = [
            self._served[name]
            for name in current
            if name in self._served and self._weights.get(name, 1.0) > 0
        ]
        # A name that is new, or returns after a time without demand, gets no
        # credit for that time. Otherwise it would be served alone until it
        # had caught up with the others.
        floor = min(demanding, default=0.0)
        for name in current:
            self._served[name] = max(self._served.get(name, floor), floor)
        return sorted(current, key=lambda name: self._served[name])

    def charge(self, name: str, amount: float) -> None:
        """Adds `amount` to what a name has received."""
        weight = max(self._weights.get(name, 1.0), _MIN_WEIGHT)
        self._served[name] = self._served.get(name, 0.0) + amount / weight
