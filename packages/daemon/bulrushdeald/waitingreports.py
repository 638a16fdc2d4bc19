"""Reports waiting requests to the owners of upstreams while there are any."""

import threading
from typing import Protocol

import result

from bulrushdeal import threads
from bulrushdeald import services
from bulrushdeald import topology as topology_lib
from bulrushdeald import waitingcounts

# Interval between the reports to an owner. A free slot that is left to others
# stays empty for about this long at most. With many owners a VM reports to each
# less often, so that its message rate stays bounded; there are many VMs too
# then, and one of them asks soon.
_INTERVAL_S = 0.1
_MAX_INTERVAL_S = 1.0
_OWNERS_AT_FULL_RATE = 2
_CALL_TIMEOUT_S = 0.25


class Router(Protocol):
    """The part of the router that `WaitReports` uses."""

    def topology(self) -> topology_lib.Topology:
        """Returns who owns which upstream now."""

    def is_unresponsive(self, vm: str) -> bool:
        """Returns whether an owner counts as unresponsive."""

    def request_counts(self, owner: str) -> None:
        """Schedules a request for an owner's counts."""


class WaitReports:
    """Answers `WaitingReport` messages and sends them on one thread."""

    def __init__(
        self,
        peers: services.Peers,
        waits: waitingcounts.Waits,
        lock: threading.Lock,
        router: Router,
    ) -> None:
        self._peers = peers
        self._waits = waits
        self._lock = lock
        self._router = router
        self._reported_owners: frozenset[str] = frozenset()
        self._has_waiting = threading.Event()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Registers the message handlers and starts the reporting thread."""
        self._peers.register_answers(waitingcounts.WaitingTotals)
        self._peers.register_handler(
            waitingcounts.WaitingReport, services.InlineHandler(self._on_report)
        )
        threads.start(self._run, "waiting")

    def stop(self) -> None:
        """Signals the thread to end, without waiting for it."""
        self._stopping.set()
        self._has_waiting.set()

    def start_reporting(self) -> None:
        """Starts reporting, since a request waits at this VM."""
        self._has_waiting.set()

    def send(self, owner: str) -> None:
        """Reports waiting requests to one owner and stores its answer."""
        with self._lock:
            report = waitingcounts.WaitingReport(self._waits.own_waiting())
        answer = self._peers.call(owner, report, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Ok):
            with self._lock:
                self._waits.store_totals(owner, answer.ok_value)

    def _on_report(
        self, vm: str, report: waitingcounts.WaitingReport
    ) -> waitingcounts.WaitingTotals:
        with self._lock:
            self._waits.store_report(vm, report)
            return self._waits.totals(vm)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._has_waiting.wait()
            self._has_waiting.clear()
            while not self._stopping.is_set() and self._report_to_owners():
                self._stopping.wait(self._interval_s())

    def _report_to_owners(self) -> bool:
        """Reports waiting requests to their owners; false if none are left.

        Owners of the previous round get a report as well, even if it is
        empty, so that they leave no slots for requests that wait no longer.
        """
        with self._lock:
            waiting = self._waits.own_waiting()
        owners = self._owners_of(waiting)
        for owner in owners | self._reported_owners:
            if self._router.is_unresponsive(owner):
                continue
            self.send(owner)
            if owner in owners:
                self._router.request_counts(owner)
        self._reported_owners = owners
        return bool(waiting)

    def _owners_of(
        self, waiting: tuple[waitingcounts.Waiting, ...]
    ) -> frozenset[str]:
        """Returns the peer owners of upstreams with waiting requests."""
        topology = self._router.topology()
        upstreams = [
            upstream.upstream
            for each in waiting
            for serving in (
                topology.serving(each.pool, ""),
                topology.serving("", each.pool),
            )
            for upstream in serving.near
        ]
        owners = {topology.owners.of(name) for name in upstreams}
        return frozenset(owners & topology.peer_owners)

    def _interval_s(self) -> float:
        factor = max(1.0, len(self._reported_owners) / _OWNERS_AT_FULL_RATE)
        return min(_MAX_INTERVAL_S, _INTERVAL_S * factor)
