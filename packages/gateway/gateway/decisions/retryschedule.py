"""The times at which refused requests are to be retried.

The engines can serve most but not all requests of a burst. If all refused
requests were told the same retry time, they would return together, meet the
next part of the burst and be refused for good. With retry times one after the
other they fill the slots that come free after the burst.
"""

import heapq

# New requests need the slots that come free as well: one slot in this many is
# reserved for retries.
_SLOTS_PER_RETRY = 3.0
# Callers wait about five seconds in total, of which a retry may take a third.
_MAX_RETRY_S = 1.6


class RetrySchedule:
    """The retry times that were given to refused requests.

    Args:
        slots_per_retry: One slot in this many is reserved for retries.
    """

    def __init__(self, slots_per_retry: float = _SLOTS_PER_RETRY) -> None:
        self._slots_per_retry = slots_per_retry
        self._due_s: list[float] = []

    def reserve(self, now_s: float, slot_interval_s: float) -> float:
        """Returns the delay before a refused request is to be retried.

        Args:
            now_s: The current time by the monotonic clock.
            slot_interval_s: The mean time between two slots that come free.

        Returns:
            The delay in seconds.
        """
        while self._due_s and self._due_s[0] <= now_s:
            heapq.heappop(self._due_s)
        retry_interval_s = slot_interval_s * self._slots_per_retry
        reserved_s = (len(self._due_s) + 1) * retry_interval_s
        retry_s = min(reserved_s, _MAX_RETRY_S)
        heapq.heappush(self._due_s, now_s + retry_s)
        return retry_s
