"""Asks the engines that this VM owns how busy they are.

The failure: VMs that cannot reach this one go on sending online requests to
an upstream it owns, and it would fill the same slots with batch items. It
shows as more requests running, by the engine's own report, than all VMs
known here have there. Reports lag, so they are compared with the most that
was known over a window longer than the lag: what merely ended or began
meanwhile is never taken for a stranger's.
"""

import collections
import json
import threading
from typing import NamedTuple, Protocol

import urllib3
import urllib3.exceptions

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import topology as topology_lib

POLL_S = 1.0
# Longer than an engine's report may lag.
WINDOW_S = 5.0
_TIMEOUT_S = 1.0
_OK = 200


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
    """Polls the engines owned here, one after the other."""

    def __init__(self, router: Owner) -> None:
        self._router = router
        self._stopping = threading.Event()
        self._pools = urllib3.PoolManager(retries=False, num_pools=64)

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
            topology = self._router.topology()
            for name in topology.owned:
                upstream = topology.upstreams[name]
                if upstream.kind == "engine":
                    self._ask(upstream)

    def _ask(self, upstream: records.Upstream) -> None:
        try:
            answer = self._pools.request(
                "GET", f"http://{upstream.address}/load", timeout=_TIMEOUT_S
            )
            if answer.status != _OK:
                return
            load = json.loads(answer.data)
            running = int(load["running"]) + int(load["queued"])
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            KeyError,
            TypeError,
        ):
            # An engine without a report is known by the VMs' counts alone.
            return
        self._router.took_load(upstream.upstream, running)
