"""Tells owners of upstreams what waits here, while anything does."""

import threading
from typing import Protocol

import result

from bulrushdeald import services
from bulrushdeald import topology as topology_lib
from bulrushdeald import waits as waits_lib

# How long a free slot that is left to others stays empty at most, about.
# With many owners a VM tells each less often, so that its messages stay
# bounded; then there are many VMs too, and one of them asks soon.
PACE_S = 0.1
_LONGEST_PACE_S = 1.0
_OWNERS_AT_FULL_PACE = 2
_CALL_TIMEOUT_S = 0.25


class Router(Protocol):
    """What the reports need of the router."""

    def topology(self) -> topology_lib.Topology:
        """Returns who owns which upstream now."""

    def is_silent(self, vm: str) -> bool:
        """Tells whether an owner is noted as silent."""

    def ask_counts(self, owner: str) -> None:
        """Has an owner asked for its counts soon."""


class WaitReports:
    """Sends and takes `waits.WaitingReport` messages on one thread."""

    def __init__(
        self,
        peers: services.Peers,
        waits: waits_lib.Waits,
        lock: threading.Lock,
        router: Router,
    ) -> None:
        self._peers = peers
        self._waits = waits
        self._lock = lock
        self._router = router
        self._told: frozenset[str] = frozenset()
        self._begun = threading.Event()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begins to answer and to report."""
        self._peers.understand(waits_lib.WaitingTotals)
        self._peers.handle(
            waits_lib.WaitingReport, services.QuickHandler(self._take)
        )
        threading.Thread(target=self._run, name="waiting", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread soon."""
        self._stopping.set()
        self._begun.set()

    def began(self) -> None:
        """Notes that something waits here."""
        self._begun.set()

    def send(self, owner: str) -> None:
        """Tells one owner what waits here, and takes its answer."""
        with self._lock:
            report = waits_lib.WaitingReport(self._waits.own())
        answer = self._peers.call(owner, report, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Ok):
            with self._lock:
                self._waits.take_totals(owner, answer.ok_value)

    def _take(
        self, vm: str, report: waits_lib.WaitingReport
    ) -> waits_lib.WaitingTotals:
        with self._lock:
            self._waits.take_report(vm, report)
            return self._waits.totals(vm)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._begun.wait()
            self._begun.clear()
            while not self._stopping.is_set() and self._tell():
                self._stopping.wait(self._pace_s())

    def _tell(self) -> bool:
        """Tells owners what waits; false if nothing does any more.

        Those told before hear of the end as well, and leave no slot for it.
        """
        with self._lock:
            waiting = self._waits.own()
        concerned = self._owners(waiting)
        for owner in concerned | self._told:
            if self._router.is_silent(owner):
                continue
            self.send(owner)
            if owner in concerned:
                self._router.ask_counts(owner)
        self._told = concerned
        return bool(waiting)

    def _owners(self, waiting: tuple[waits_lib.Waiting, ...]) -> frozenset[str]:
        """Returns the other near owners of upstreams that are waited for."""
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
        return frozenset(owners & topology.near_owners)

    def _pace_s(self) -> float:
        factor = max(1.0, len(self._told) / _OWNERS_AT_FULL_PACE)
        return min(_LONGEST_PACE_S, PACE_S * factor)
