"""Polls the load of the engines that this VM owns.

VMs that cannot reach this VM go on sending online requests to an upstream
that it owns. Without the polls, this VM would fill the same slots with batch
items. Such external requests show as an engine that reports more requests
than the VMs known here run on it. An engine's report lags, so it is compared
with the greatest known count over a window longer than the lag: requests that
ended or started in the meantime are never counted as external.
"""

import collections
from http import client
import threading
from typing import NamedTuple, Protocol

from bulrushdeal import clock as clock_lib
from bulrushdeal import jsontext
from bulrushdeal import records
from bulrushdeal import threads
from bulrushdeald import connections
from bulrushdeald import topology as topology_lib

POLL_S = 1.0
# Longer than the lag of an engine's report.
WINDOW_S = 5.0
_TIMEOUT_S = 1.0
_OK = 200
_MAX_BYTES = 65536


class KnownCount(NamedTuple):
    """A count of requests known to run on an upstream.

    Attributes:
        at_s: When the count was taken, in seconds on the monotonic clock.
        running: The number of requests.
    """

    at_s: float
    running: int


class RecentMaximum:
    """The greatest known count on each upstream over the last seconds.

    The window is `WINDOW_S` long.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._counts: dict[str, collections.deque[KnownCount]] = {}

    def record(self, upstream: str, count: int) -> None:
        """Adds a count and drops older counts that are not greater."""
        now_s = self._clock.monotonic_s()
        counts = self._counts.setdefault(upstream, collections.deque())
        while counts and counts[-1].running <= count:
            counts.pop()
        counts.append(KnownCount(now_s, count))
        while counts[0].at_s < now_s - WINDOW_S:
            counts.popleft()

    def maximum(self, upstream: str) -> int:
        """Returns the greatest count in the window, or 0 if there is none."""
        counts = self._counts.get(upstream)
        return counts[0].running if counts else 0


class Router(Protocol):
    """The part of the router that the polls use."""

    def topology(self) -> topology_lib.Topology:
        """Returns the current topology, with the owned upstreams."""

    def update_engine_load(self, upstream: str, running: int) -> None:
        """Applies an engine's own count of running and queued requests."""


class LoadPolls:
    """Polls the engines that this VM owns, one after the other.

    It keeps one connection to each engine, from the standard library: with
    `urllib3` a poll took 1.7 times the processor time, and there are 5 polls
    a second.
    """

    def __init__(self, router: Router) -> None:
        self._router = router
        self._stopping = threading.Event()
        self._connections: dict[str, client.HTTPConnection] = {}

    def start(self) -> None:
        """Starts the polling thread."""
        threads.start(self._run, "load-polls")

    def stop(self) -> None:
        """Asks the polling thread to end; does not wait for it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(POLL_S):
            self.poll()
        self.close()

    def close(self) -> None:
        """Closes the kept connections; only the polling thread may call it."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    def poll(self) -> None:
        """Polls each engine that this VM owns once."""
        topology = self._router.topology()
        engines = [
            topology.upstreams[name]
            for name in topology.owned
            if topology.upstreams[name].kind == "engine"
        ]
        addresses = {upstream.address for upstream in engines}
        for address in self._connections.keys() - addresses:
            self._connections.pop(address).close()
        for upstream in engines:
            self._poll_engine(upstream)

    def _poll_engine(self, upstream: records.Upstream) -> None:
        connection = self._connections.pop(upstream.address, None)
        running = None if connection is None else _fetch_load(connection)
        if running is None:
            # The engine may have closed the kept connection.
            connection = _connect(upstream.address)
            running = None if connection is None else _fetch_load(connection)
        if connection is None or running is None:
            # Without a report, only the VMs' counts apply to this engine.
            return
        self._connections[upstream.address] = connection
        self._router.update_engine_load(upstream.upstream, running)


class _Connection(client.HTTPConnection):
    response_class = connections.WholeResponse


def _connect(address: str) -> client.HTTPConnection | None:
    try:
        return _Connection(address, timeout=_TIMEOUT_S)
    except client.HTTPException:
        # The address is not `HOST:PORT`. The polling thread must go on with
        # the other engines.
        return None


def _fetch_load(connection: client.HTTPConnection) -> int | None:
    """Returns an engine's running and queued requests.

    Returns `None` and closes the connection if there is no valid report.
    """
    try:
        connection.request("GET", "/load")
        answer = connection.getresponse()
        body = answer.read(_MAX_BYTES)
        if answer.status != _OK or not answer.isclosed():
            connection.close()
            return None
        load = jsontext.parse(body)
        return int(load["running"]) + int(load["queued"])
    except (OSError, client.HTTPException, ValueError, KeyError, TypeError):
        connection.close()
        return None
