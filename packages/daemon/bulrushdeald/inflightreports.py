"""Reports this VM's counts to the owners of upstreams, and answers others.

There is one thread for each owner, so that a frozen owner holds up nobody
else. A placement is told within milliseconds, since batch items may have to
yield to it; an end is told a little later, with what ended meanwhile.
"""

import threading
from typing import Protocol

from bulrushdeal import logs
from bulrushdeald import inflight
from bulrushdeald import services
from bulrushdeald import topology as topology_lib

_log = logs.Log("router")

URGENT_DELAY_S = 0.002
RELAXED_DELAY_S = 0.05
HEARTBEAT_S = 1.0
_CALL_TIMEOUT_S = 1.0
_LOOK_S = 0.5


class Owner(Protocol):
    """What the reports need of the router."""

    def topology(self) -> topology_lib.Topology:
        """Returns who owns which upstream now."""

    def took_report(self, upstreams: frozenset[str]) -> None:
        """Acts on changed counts of owned upstreams, with the lock held."""


class _Channel:
    """What one owner still has to be told."""

    def __init__(self) -> None:
        self.changed = threading.Event()
        self.urgent = threading.Event()


class Reports:
    """Sends and takes `inflight.CountsReport` messages."""

    def __init__(
        self,
        peers: services.Peers,
        counts: inflight.Inflight,
        lock: threading.Lock,
        router: Owner,
    ) -> None:
        self._peers = peers
        self._counts = counts
        self._lock = lock
        self._router = router
        self._channels: dict[str, _Channel] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begins to answer and to look for owners."""
        self._peers.understand(inflight.CountsTotals)
        self._peers.handle(inflight.CountsReport, self._take)
        threading.Thread(
            target=self._watch_owners, name="count-owners", daemon=True
        ).start()

    def stop(self) -> None:
        """Ends the threads soon."""
        self._stopping.set()
        for channel in list(self._channels.values()):
            channel.urgent.set()
            channel.changed.set()

    def changed(self, owner: str, is_urgent: bool) -> None:
        """Has an owner told soon; called with the router's lock held."""
        channel = self._channels.get(owner)
        if channel is None:
            return
        if is_urgent:
            channel.urgent.set()
        channel.changed.set()

    def _take(
        self, vm: str, report: inflight.CountsReport
    ) -> inflight.CountsTotals:
        with self._lock:
            owned = self._router.topology().owned
            self._counts.take_report(vm, report)
            self._router.took_report(owned)
            return self._counts.totals(owned)

    def _watch_owners(self) -> None:
        while not self._stopping.wait(_LOOK_S):
            for owner in self._router.topology().other_owners:
                if owner in self._channels:
                    continue
                self._channels[owner] = _Channel()
                threading.Thread(
                    target=self._report_to,
                    args=(owner,),
                    name=f"counts-{owner}",
                    daemon=True,
                ).start()

    def _report_to(self, owner: str) -> None:
        channel = self._channels[owner]
        while not self._stopping.is_set():
            if channel.changed.wait(HEARTBEAT_S):
                self._gather(channel)
            channel.changed.clear()
            channel.urgent.clear()
            upstreams = self._router.topology().other_owners.get(owner)
            if upstreams is None:
                break
            self.send(owner, upstreams)
        del self._channels[owner]

    def _gather(self, channel: _Channel) -> None:
        """Waits a moment, so that one message tells of several changes."""
        if channel.urgent.wait(RELAXED_DELAY_S):
            self._stopping.wait(URGENT_DELAY_S)

    def send(self, owner: str, upstreams: frozenset[str]) -> None:
        """Sends one report and takes the totals in its answer."""
        with self._lock:
            report = self._counts.own_report(upstreams)
        answer = self._peers.call(owner, report, _CALL_TIMEOUT_S)
        if answer.is_err():
            _log.debug("No totals from %s.", owner)
            return
        with self._lock:
            self._counts.take_totals(owner, report, answer.unwrap())
            self._router.took_report(upstreams)
