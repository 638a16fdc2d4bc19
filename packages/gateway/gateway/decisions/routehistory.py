"""Which services and timeouts the routes of a path have had lately."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from gateway import records

# Longer than a stream lasts and is taken up, but for routes of absurd timeouts.
_RETENTION_S = 600.0
# Each holds a whole configuration. What is dropped counts as unknown.
_MAX_KEPT = 8

# How long after its stream broke a caller may take it up elsewhere, beyond the
# time that its next attempt takes.
_TAKE_UP_S = 10.0

FindRoute = Callable[[str, str], records.Route | None]


def span_s(timeout_s: float) -> float:
    """Returns how long a stream may last and be taken up, in seconds.

    Args:
        timeout_s: The timeout of its route.
    """
    return 2 * timeout_s + _TAKE_UP_S


class PastRoutes(NamedTuple):
    """What a path's routes were when its streams of now may have begun.

    Attributes:
        services: The services that its requests may have been sent to.
        longest_timeout_s: The longest timeout of its routes, in seconds.
        known_s: For how long this VM knows all configurations, in seconds.
    """

    services: frozenset[str]
    longest_timeout_s: float
    known_s: float


class _Kept(NamedTuple):
    """A configuration's routes, and until when it was in force."""

    find: FindRoute
    until_s: float


class RouteHistory:
    """Remembers the routes of configurations that were replaced.

    All times are seconds of the monotonic clock. Not thread-safe.
    """

    def __init__(self) -> None:
        self._current: FindRoute | None = None
        # The oldest first.
        self._kept: collections.deque[_Kept] = collections.deque()
        # Since when all configurations are known.
        self._since_s = float("inf")

    def replace(self, find: FindRoute, now_s: float) -> None:
        """Takes over the routes of the configuration in force from now on."""
        if self._current is None:
            self._since_s = now_s
        else:
            self._kept.append(_Kept(self._current, now_s))
        self._current = find
        while self._kept:
            oldest = self._kept[0]
            is_old = oldest.until_s < now_s - _RETENTION_S
            if not is_old and len(self._kept) <= _MAX_KEPT:
                return
            self._since_s = oldest.until_s
            self._kept.popleft()

    def past(self, host: str, path: str, now_s: float) -> PastRoutes:
        """Returns what a path's routes were, the one in force among them.

        A route counts as long as a stream that began at its end may be taken
        up.
        """
        routes: list[records.Route] = []
        route = None if self._current is None else self._current(host, path)
        if route is not None:
            routes.append(route)
        for row in reversed(self._kept):
            route = row.find(host, path)
            if route is None:
                continue
            timeout_s = max(held.timeout_s for held in (route, *routes))
            if row.until_s >= now_s - span_s(timeout_s):
                routes.append(route)
        services = {
            row.service
            for route in routes
            for row in route.services
            if row.weight > 0
        }
        return PastRoutes(
            frozenset(services),
            max((route.timeout_s for route in routes), default=0.0),
            max(now_s - self._since_s, 0.0),
        )
