"""Asks the engines that this VM owns how busy they are.

The failure: VMs that cannot reach this one go on sending online requests to
an upstream it owns, and it would fill the same slots with batch items. It
shows as more requests running, by the engine's own report, than all VMs
known here have there. Reports lag, so they are compared with the most that
was known over a window longer than the lag: what merely ended or began
meanwhile is never taken for a stranger's.
"""

import collections
from http import client
import json
import threading
from typing import NamedTuple, Protocol

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import topology as topology_lib

POLL_S = 1.0
# Longer than an engine's report may lag.
WINDOW_S = 5.0
_TIMEOUT_S = 1.0
_OK = 200
_MAX_BYTES = 65536


class Known(NamedTuple):
    """How many requests were known to run at a moment."""

    at_s: float
    running: int


class Window:
    """The most that was known to run on each upstream lately."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._known: dict[str, collections.deque[Known]] = {}

    def note(self, upstream: str, count: int) -> None:
        """Keeps a count, and of the older ones those that are greater."""
        now_s = self._clock.monotonic_s()
        known = self._known.setdefault(upstream, collections.deque())
        while known and known[-1].running <= count:
            known.pop()
        known.append(Known(now_s, count))
        while known[0].at_s < now_s - WINDOW_S:
            known.popleft()

    def most(self, upstream: str) -> int:
        """Returns the greatest count of the window."""
        known = self._known.get(upstream)
        return known[0].running if known else 0


class Owner(Protocol):
    """What the polls need of the router."""

    def topology(self) -> topology_lib.Topology:
        """Returns who owns which upstream now."""

    def took_load(self, upstream: str, running: int) -> None:
        """Takes an engine's own count of what it runs and queues."""


class LoadPolls:
    """Polls the engines owned here, one after the other.

    One kept connection each, by the standard library: through `urllib3` a
    poll took 1.7 times the processor time, and there are 5 a second.
    """

    def __init__(self, router: Owner) -> None:
        self._router = router
        self._stopping = threading.Event()
        self._connections: dict[str, client.HTTPConnection] = {}

    def start(self) -> None:
        """Begins to poll."""
        threading.Thread(
            target=self._poll, name="load-polls", daemon=True
        ).start()

    def stop(self) -> None:
        """Ends the thread soon."""
        self._stopping.set()

    def _poll(self) -> None:
        while not self._stopping.wait(POLL_S):
            self.poll()
        self.close()

    def close(self) -> None:
        """Closes what is kept; only the thread that polls may do so."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    def poll(self) -> None:
        """Asks each engine once."""
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
            self._ask(upstream)

    def _ask(self, upstream: records.Upstream) -> None:
        kept = self._connections.pop(upstream.address, None)
        running = None if kept is None else _running(kept)
        if running is None:
            # The engine may have ended the one that was kept.
            kept = _connect(upstream.address)
            running = None if kept is None else _running(kept)
        if kept is None or running is None:
            # An engine without a report is known by the VMs' counts alone.
            return
        self._connections[upstream.address] = kept
        self._router.took_load(upstream.upstream, running)


def _connect(address: str) -> client.HTTPConnection | None:
    try:
        return client.HTTPConnection(address, timeout=_TIMEOUT_S)
    except client.HTTPException:
        # Not `HOST:PORT`; the thread has to live on for the others.
        return None


def _running(connection: client.HTTPConnection) -> int | None:
    """Returns what an engine runs and queues, `None` if it does not tell."""
    try:
        connection.request("GET", "/load")
        answer = connection.getresponse()
        body = answer.read(_MAX_BYTES)
        if answer.status != _OK or not answer.isclosed():
            connection.close()
            return None
        load = json.loads(body)
        return int(load["running"]) + int(load["queued"])
    except (OSError, client.HTTPException, ValueError, KeyError, TypeError):
        connection.close()
        return None
