"""Memory that is kept free on engines for large requests that were refused.

When memory is short, what comes free is soon taken by small requests. A long
prompt needs the memory of several of them at once, so it would be refused again
at each retry.
"""

from typing import NamedTuple

# A request that cannot begin within this time does not reserve: what is free
# until then would serve many others, and its caller may not come back.
_MAX_RETRY_S = 2.0
# A request that needs more than this multiple of the reserved memory reserves
# in place of the other one, as the largest requests fit least often.
_REPLACE_RATIO = 2.5
# How long a reservation outlasts the expected retry, in seconds.
_RETRY_TOLERANCE_S = 0.1


class _Reservation(NamedTuple):
    """Reserved memory of an engine.

    Attributes:
        tokens: The memory.
        until_s: When the reservation ends, by the monotonic clock.
    """

    tokens: int
    until_s: float


class MemoryReservations:
    """The reservations on the engines of one service, one on each at most.

    A reservation is not for one request: the leader cannot tell a retry from
    another request. Any request of that size may use it.
    """

    def __init__(self) -> None:
        self._by_instance: dict[str, _Reservation] = {}

    def reserve(
        self, instance: str, tokens: int, retry_s: float, now_s: float
    ) -> bool:
        """Reserves memory of an engine for a short time.

        A reservation is replaced only by a much larger one.

        Args:
            instance: The engine.
            tokens: The memory.
            retry_s: In how many seconds the request is to be retried.
            now_s: The current time by the monotonic clock.

        Returns:
            Whether it was reserved.
        """
        if retry_s > _MAX_RETRY_S:
            return False
        reserved_tokens = self.tokens_against(instance, 0, now_s)
        if tokens <= reserved_tokens * _REPLACE_RATIO:
            return False
        until_s = now_s + retry_s + _RETRY_TOLERANCE_S
        self._by_instance[instance] = _Reservation(tokens, until_s)
        return True

    def tokens_against(self, instance: str, tokens: int, now_s: float) -> int:
        """Returns the memory of an engine that a request must not use.

        Args:
            instance: The engine.
            tokens: The memory that the request needs.
            now_s: The current time by the monotonic clock.
        """
        row = self._by_instance.get(instance)
        if row is None or tokens >= row.tokens:
            return 0
        if row.until_s <= now_s:
            del self._by_instance[instance]
            return 0
        return row.tokens

    def remaining_s(self, instance: str, now_s: float) -> float:
        """Returns how long memory of an engine stays reserved; 0 if none is."""
        row = self._by_instance.get(instance)
        return 0.0 if row is None else max(0.0, row.until_s - now_s)

    def use(self, instance: str, tokens: int) -> None:
        """Ends a reservation that a granted request uses."""
        row = self._by_instance.get(instance)
        if row is not None and tokens >= row.tokens:
            del self._by_instance[instance]
