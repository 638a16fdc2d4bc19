"""When refused requests come back.

The load: bursts of online requests of which the engines can serve most but
not all. Told the same time, all that were refused return together, meet the
next part of the burst and are refused for good; told times one after the
other, they fill what comes free behind it.
"""

import heapq

# What comes free is for new requests as well: one place in so many is kept in
# mind for those that return.
_PLACES = 3.0
# Callers wait about five seconds in all, and a third of that for this.
_MAX_RETRY_S = 1.6


class Returns:
    """The times at which refused requests were told to come back."""

    def __init__(self) -> None:
        self._due_s: list[float] = []

    def promise(self, now_s: float, place_s: float) -> float:
        """Returns how long a refused request is to stay away.

        Args:
            now_s: By the monotonic clock.
            place_s: How often a slot comes free.
        """
        while self._due_s and self._due_s[0] <= now_s:
            heapq.heappop(self._due_s)
        turn_s = (len(self._due_s) + 1) * place_s * _PLACES
        retry_s = min(turn_s, _MAX_RETRY_S)
        heapq.heappush(self._due_s, now_s + retry_s)
        return retry_s
