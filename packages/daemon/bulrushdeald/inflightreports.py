"""Exchanges request counts with the owners of upstreams.

Each owner has its own reporting thread, so that a frozen owner does not delay
the reports to others. A new placement is reported at once, together with any
made while the previous report was in flight, since batch items may have to
yield to it. The end of a request is reported after a short delay, together
with others that end in that time.
"""

from collections.abc import Iterable
import threading
from typing import NamedTuple, Protocol

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeal import threads
from bulrushdeald import countlists
from bulrushdeald import inflight
from bulrushdeald import services
from bulrushdeald import topology as topology_lib

_log = logs.Log("router")

RELAXED_DELAY_S = 0.05
HEARTBEAT_S = 1.0
# Up to this many owners the delay and the heartbeat interval above apply. With
# more, both grow in proportion, so that a VM's placements and not the number
# of owners bound the messages that it sends per second.
OWNERS_AT_FULL_RATE = 8
_HEARTBEATS_TO_EXPIRY = 5
# An owner that has not answered for this long counts as unresponsive: it does
# nothing for its upstreams.
UNRESPONSIVE_AFTER_S = 5.0
_CALL_TIMEOUT_S = 1.0
_OWNER_POLL_S = 0.5
# How long reports carry names after an owner did not have the same list. While
# two VMs see different lists, each attempt without names costs a message.
UNKNOWN_LIST_S = 10.0


class Router(Protocol):
    """The part of the router that `CountReports` uses."""

    def topology(self) -> topology_lib.Topology:
        """Returns who owns which upstream now."""

    def set_unresponsive(self, vm: str, is_unresponsive: bool) -> None:
        """Sets whether an owner counts as unresponsive."""

    def is_unresponsive(self, vm: str) -> bool:
        """Returns whether an owner counts as unresponsive."""

    def on_counts_changed(self, upstreams: Iterable[str]) -> None:
        """Acts on changed counts of upstreams; the lock must be held."""


class _Wakeup:
    """Wakes the thread that reports to one owner.

    Attributes:
        changed: Set when there are changes to report.
        urgent: Set when they must be reported without delay.
    """

    def __init__(self) -> None:
        self.changed = threading.Event()
        self.urgent = threading.Event()


class _UnknownList(NamedTuple):
    """A list that an owner did not have.

    Attributes:
        digest: The digest of the list's names.
        until_s: Monotonic time until which reports to the owner carry names.
    """

    digest: bytes
    until_s: float


class CountReports:
    """Sends and answers `inflight.CountsReport` messages."""

    def __init__(
        self,
        peers: services.Peers,
        counts: inflight.Inflight,
        lock: threading.Lock,
        router: Router,
        clock: clock_lib.Clock,
    ) -> None:
        self._peers = peers
        self._counts = counts
        self._lock = lock
        self._router = router
        self._clock = clock
        self._failing_since_s: dict[str, float] = {}
        self._wakeups: dict[str, _Wakeup] = {}
        self._send_locks: dict[str, threading.Lock] = {}
        self._unknown_lists: dict[str, _UnknownList] = {}
        self._names_by_owner: dict[str, countlists.UpstreamNames] = {}
        self._own_upstreams = countlists.UpstreamNames(())
        self._names_topology: topology_lib.Topology | None = None
        self._stopping = threading.Event()
        self._relaxed_delay_s = RELAXED_DELAY_S
        self._heartbeat_s = HEARTBEAT_S

    def start(self) -> None:
        """Registers the message handlers and starts reporting to owners."""
        self._peers.register_answers(inflight.CountsTotals)
        self._peers.register_answers(countlists.ListedTotals)
        inline = services.InlineHandler
        self._peers.register_handler(
            inflight.CountsReport, inline(self._on_report)
        )
        self._peers.register_handler(
            countlists.ListedReport, inline(self._on_listed_report)
        )
        threads.start(self._watch_owners, "count-owners")

    def stop(self) -> None:
        """Signals the threads to end, without waiting for them."""
        self._stopping.set()
        for wakeup in list(self._wakeups.values()):
            wakeup.urgent.set()
            wakeup.changed.set()

    def schedule_report(self, owner: str, is_urgent: bool) -> None:
        """Schedules a report to an owner; the router's lock must be held."""
        wakeup = self._wakeups.get(owner) or self._start_reporting(owner)
        if wakeup is None:
            return
        if is_urgent:
            wakeup.urgent.set()
        wakeup.changed.set()

    def _on_report(
        self, vm: str, report: inflight.CountsReport
    ) -> inflight.CountsTotals:
        with self._lock:
            owned = self._router.topology().owned
            self._counts.store_report(vm, report)
            self._router.on_counts_changed(owned)
            return self._counts.totals(owned)

    def _on_listed_report(
        self, vm: str, listed: countlists.ListedReport
    ) -> countlists.ListedTotals:
        with self._lock:
            names = self._own_names()
        report = names.with_names(listed)
        if report is None:
            return countlists.ListedTotals(False)
        return names.totals_without_names(self._on_report(vm, report))

    def _names(self, owner: str) -> countlists.UpstreamNames:
        """Returns the names of an owner's upstreams; the lock must be held.

        Empty if none of them is near; see `topology.Topology`.
        """
        topology = self._router.topology()
        if topology is not self._names_topology:
            self._names_topology = topology
            self._names_by_owner.clear()
            self._own_upstreams = countlists.UpstreamNames(
                tuple(sorted(topology.owned))
            )
        if owner not in self._names_by_owner:
            names = topology.upstreams_by_owner.get(owner, ())
            self._names_by_owner[owner] = countlists.UpstreamNames(names)
        return self._names_by_owner[owner]

    def _own_names(self) -> countlists.UpstreamNames:
        """Returns the names of the upstreams owned here, with the lock held."""
        self._names("")
        return self._own_upstreams

    def _watch_owners(self) -> None:
        while not self._stopping.wait(_OWNER_POLL_S):
            with self._lock:
                self._scale_intervals()
                self._counts.prune()
                self._drop_expired_unknown_lists()
                for owner in self._router.topology().peer_owners:
                    if owner not in self._wakeups:
                        self._start_reporting(owner)

    def _drop_expired_unknown_lists(self) -> None:
        now_s = self._clock.monotonic_s()
        for owner, unknown in list(self._unknown_lists.items()):
            if unknown.until_s <= now_s:
                del self._unknown_lists[owner]

    def _scale_intervals(self) -> None:
        owners = len(self._router.topology().peer_owners)
        factor = max(1.0, owners / OWNERS_AT_FULL_RATE)
        self._relaxed_delay_s = RELAXED_DELAY_S * factor
        self._heartbeat_s = HEARTBEAT_S * factor
        self._counts.expiry_s = self._heartbeat_s * _HEARTBEATS_TO_EXPIRY

    def _start_reporting(self, owner: str) -> _Wakeup | None:
        """Starts a reporting thread for an owner, with the lock held."""
        if not owner or self._stopping.is_set():
            return None
        wakeup = self._wakeups[owner] = _Wakeup()
        threads.start(self._report_to, f"counts-{owner}", owner, wakeup)
        return wakeup

    def _report_to(self, owner: str, wakeup: _Wakeup) -> None:
        while not self._stopping.is_set():
            if wakeup.changed.wait(self._heartbeat_s):
                self._wait_for_more(wakeup)
            wakeup.changed.clear()
            wakeup.urgent.clear()
            is_idle = not self.send(owner).counts
            with self._lock:
                # The owner has no near upstreams and its last report was
                # empty. The next request there starts a new thread.
                if is_idle and not self._keeps_reporting(owner, wakeup):
                    self._failing_since_s.pop(owner, None)
                    self._send_locks.pop(owner, None)
                    del self._wakeups[owner]
                    return

    def _keeps_reporting(self, owner: str, wakeup: _Wakeup) -> bool:
        """Returns whether an owner gets reports even if they are empty."""
        if owner in self._router.topology().peer_owners:
            return True
        # Without further reports an unresponsive owner would stay so forever.
        return wakeup.changed.is_set() or self._router.is_unresponsive(owner)

    def _note_failure(self, owner: str) -> None:
        now_s = self._clock.monotonic_s()
        since_s = self._failing_since_s.setdefault(owner, now_s)
        if now_s - since_s < UNRESPONSIVE_AFTER_S:
            return
        with self._lock:
            if self._router.is_unresponsive(owner):
                return
            _log.warning("VM %s is silent; others own its upstreams.", owner)
            self._router.set_unresponsive(owner, True)

    def _wait_for_more(self, wakeup: _Wakeup) -> None:
        """Delays a report of ended requests so that it covers several."""
        wakeup.urgent.wait(self._relaxed_delay_s)

    def send(self, owner: str) -> inflight.CountsReport:
        """Sends one report, stores the totals it brings and returns the report.

        Reports to one owner are sent one at a time: an older report that
        arrived after a newer one would replace it at the owner.
        """
        with self._send_lock(owner):
            return self._send(owner)

    def _send_lock(self, owner: str) -> threading.Lock:
        with self._lock:
            return self._send_locks.setdefault(owner, threading.Lock())

    def _send(self, owner: str) -> inflight.CountsReport:
        with self._lock:
            names = self._names(owner)
            report = self._own_report(owner, names)
        totals = self._exchange(owner, names, report)
        if totals is None:
            self._note_failure(owner)
            return report
        self._failing_since_s.pop(owner, None)
        with self._lock:
            self._router.set_unresponsive(owner, False)
            self._counts.store_totals(owner, report, totals)
            self._router.on_counts_changed(
                total.upstream for total in totals.totals
            )
        return report

    def _own_report(
        self, owner: str, names: countlists.UpstreamNames
    ) -> inflight.CountsReport:
        if names.names:
            return self._counts.own_report(names.names)
        owners = self._router.topology().owners
        counts = self._counts.own_report().counts
        return inflight.CountsReport(
            tuple(
                count for count in counts if owners.of(count.upstream) == owner
            )
        )

    def _exchange(
        self,
        owner: str,
        names: countlists.UpstreamNames,
        report: inflight.CountsReport,
    ) -> inflight.CountsTotals | None:
        """Sends a report, without names unless the owner lacks the list.

        Returns:
            The owner's totals; `None` if the call failed.
        """
        if names.names and not self._is_unknown(owner, names):
            answer = self._peers.call(
                owner, names.without_names(report), _CALL_TIMEOUT_S
            )
            if answer.is_err() and answer.unwrap_err().kind != "refused":
                return None
            totals = (
                names.totals_with_names(answer.unwrap())
                if answer.is_ok()
                else None
            )
            if totals is not None:
                return totals
            until_s = self._clock.monotonic_s() + UNKNOWN_LIST_S
            with self._lock:
                self._unknown_lists[owner] = _UnknownList(names.digest, until_s)
        answer = self._peers.call(owner, report, _CALL_TIMEOUT_S)
        return None if answer.is_err() else answer.unwrap()

    def _is_unknown(self, owner: str, names: countlists.UpstreamNames) -> bool:
        unknown = self._unknown_lists.get(owner)
        if unknown is None or unknown.digest != names.digest:
            return False
        return self._clock.monotonic_s() < unknown.until_s
