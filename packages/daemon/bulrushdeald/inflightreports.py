"""Reports this VM's counts to the owners of upstreams, and answers others.

There is one thread for each owner, so that a frozen owner holds up nobody
else. A placement is told at once, with those made while the last report is
answered, since batch items may have to yield to it; an end is told a little
later, with what ended meanwhile.
"""

from collections.abc import Iterable
import threading
from typing import NamedTuple, Protocol

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeald import countlists
from bulrushdeald import inflight
from bulrushdeald import services
from bulrushdeald import topology as topology_lib

_log = logs.Log("router")

RELAXED_DELAY_S = 0.05
HEARTBEAT_S = 1.0
# Up to so many owners each is told at the pace above. With more of them the
# ends of requests and the heartbeats wait longer, so that the messages that a
# VM sends in a second stay bounded by its own placements.
OWNERS_AT_FULL_PACE = 8
_HEARTBEATS_TO_EXPIRY = 5
# An owner that brings no answer for this long does nothing for its upstreams.
SILENT_AFTER_S = 5.0
_CALL_TIMEOUT_S = 1.0
_LOOK_S = 0.5
# While two VMs see different lists of upstreams each try costs a message.
UNKNOWN_LIST_S = 10.0


class Owner(Protocol):
    """What the reports need of the router."""

    def topology(self) -> topology_lib.Topology:
        """Returns who owns which upstream now."""

    def set_silent(self, vm: str, is_silent: bool) -> None:
        """Notes whether an owner answers."""

    def is_silent(self, vm: str) -> bool:
        """Tells whether an owner is noted as silent."""

    def took_report(self, upstreams: Iterable[str]) -> None:
        """Acts on changed counts of owned upstreams, with the lock held."""


class _Channel:
    """What one owner still has to be told."""

    def __init__(self) -> None:
        self.changed = threading.Event()
        self.urgent = threading.Event()


class _UnknownList(NamedTuple):
    """A list that an owner did not have, and until when it is not tried."""

    digest: bytes
    until_s: float


class Reports:
    """Sends and takes `inflight.CountsReport` messages."""

    def __init__(
        self,
        peers: services.Peers,
        counts: inflight.Inflight,
        lock: threading.Lock,
        router: Owner,
        clock: clock_lib.Clock,
    ) -> None:
        self._peers = peers
        self._counts = counts
        self._lock = lock
        self._router = router
        self._clock = clock
        self._failing_since_s: dict[str, float] = {}
        self._channels: dict[str, _Channel] = {}
        self._turns: dict[str, threading.Lock] = {}
        self._unknown_lists: dict[str, _UnknownList] = {}
        self._lists: dict[str, countlists.Names] = {}
        self._own_list = countlists.Names(())
        self._listed_for: topology_lib.Topology | None = None
        self._stopping = threading.Event()
        self._relaxed_delay_s = RELAXED_DELAY_S
        self._heartbeat_s = HEARTBEAT_S

    def start(self) -> None:
        """Begins to answer and to look for owners."""
        self._peers.understand(inflight.CountsTotals)
        self._peers.understand(countlists.ListedTotals)
        quick = services.QuickHandler
        self._peers.handle(inflight.CountsReport, quick(self._take))
        self._peers.handle(countlists.ListedReport, quick(self._take_listed))
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
        channel = self._channels.get(owner) or self._open(owner)
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

    def _take_listed(
        self, vm: str, listed: countlists.ListedReport
    ) -> countlists.ListedTotals:
        with self._lock:
            names = self._own_names()
        report = names.report(listed)
        if report is None:
            return countlists.ListedTotals(False)
        return names.listed_totals(self._take(vm, report))

    def _names(self, owner: str) -> countlists.Names:
        """Returns a near owner's upstreams; called with the lock."""
        topology = self._router.topology()
        if topology is not self._listed_for:
            self._listed_for = topology
            self._lists.clear()
            self._own_list = countlists.Names(tuple(sorted(topology.owned)))
        if owner not in self._lists:
            names = topology.by_owner.get(owner, ())
            self._lists[owner] = countlists.Names(names)
        return self._lists[owner]

    def _own_names(self) -> countlists.Names:
        """Returns the upstreams owned here; called with the lock."""
        self._names("")
        return self._own_list

    def _watch_owners(self) -> None:
        while not self._stopping.wait(_LOOK_S):
            with self._lock:
                self._set_pace()
                self._counts.prune()
                self._forget_unknown()
                for owner in self._router.topology().near_owners:
                    if owner not in self._channels:
                        self._open(owner)

    def _forget_unknown(self) -> None:
        now_s = self._clock.monotonic_s()
        for owner, unknown in list(self._unknown_lists.items()):
            if unknown.until_s <= now_s:
                del self._unknown_lists[owner]

    def _set_pace(self) -> None:
        owners = len(self._router.topology().near_owners)
        factor = max(1.0, owners / OWNERS_AT_FULL_PACE)
        self._relaxed_delay_s = RELAXED_DELAY_S * factor
        self._heartbeat_s = HEARTBEAT_S * factor
        self._counts.expiry_s = self._heartbeat_s * _HEARTBEATS_TO_EXPIRY

    def _open(self, owner: str) -> _Channel | None:
        """Begins to report to an owner; called with the lock."""
        if not owner or self._stopping.is_set():
            return None
        channel = self._channels[owner] = _Channel()
        threading.Thread(
            target=self._report_to,
            args=(owner, channel),
            name=f"counts-{owner}",
            daemon=True,
        ).start()
        return channel

    def _report_to(self, owner: str, channel: _Channel) -> None:
        while not self._stopping.is_set():
            if channel.changed.wait(self._heartbeat_s):
                self._gather(channel)
            channel.changed.clear()
            channel.urgent.clear()
            is_idle = not self.send(owner).counts
            with self._lock:
                # The last report to an owner elsewhere said that nothing
                # runs any more; the next request there opens it again.
                if is_idle and not self._is_needed(owner, channel):
                    self._failing_since_s.pop(owner, None)
                    self._turns.pop(owner, None)
                    del self._channels[owner]
                    return

    def _is_needed(self, owner: str, channel: _Channel) -> bool:
        """Tells whether an owner is to be reported to with nothing to say."""
        if owner in self._router.topology().near_owners:
            return True
        # A silent one is asked on, or it would count as silent for ever.
        return channel.changed.is_set() or self._router.is_silent(owner)

    def _note_failure(self, owner: str) -> None:
        now_s = self._clock.monotonic_s()
        since_s = self._failing_since_s.setdefault(owner, now_s)
        if now_s - since_s < SILENT_AFTER_S:
            return
        with self._lock:
            if self._router.is_silent(owner):
                return
            _log.warning("VM %s is silent; others own its upstreams.", owner)
            self._router.set_silent(owner, True)

    def _gather(self, channel: _Channel) -> None:
        """Waits with ends, so that one message tells of several."""
        channel.urgent.wait(self._relaxed_delay_s)

    def send(self, owner: str) -> inflight.CountsReport:
        """Sends one report, takes the totals in its answer, returns it.

        One at a time to an owner: an older report that came after a newer
        one would stay there as what this VM runs.
        """
        with self._turn(owner):
            return self._send(owner)

    def _turn(self, owner: str) -> threading.Lock:
        with self._lock:
            return self._turns.setdefault(owner, threading.Lock())

    def _send(self, owner: str) -> inflight.CountsReport:
        with self._lock:
            names = self._names(owner)
            report = self._own_report(owner, names)
        totals = self._ask(owner, names, report)
        if totals is None:
            self._note_failure(owner)
            return report
        self._failing_since_s.pop(owner, None)
        with self._lock:
            self._router.set_silent(owner, False)
            self._counts.take_totals(owner, report, totals)
            self._router.took_report(total.upstream for total in totals.totals)
        return report

    def _own_report(
        self, owner: str, names: countlists.Names
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

    def _ask(
        self,
        owner: str,
        names: countlists.Names,
        report: inflight.CountsReport,
    ) -> inflight.CountsTotals | None:
        """Sends a report, without names if the owner has the same list."""
        if names.names and not self._is_unknown(owner, names):
            answer = self._peers.call(
                owner, names.listed(report), _CALL_TIMEOUT_S
            )
            if answer.is_err() and answer.unwrap_err().kind != "refused":
                return None
            totals = names.totals(answer.unwrap()) if answer.is_ok() else None
            if totals is not None:
                return totals
            until_s = self._clock.monotonic_s() + UNKNOWN_LIST_S
            with self._lock:
                self._unknown_lists[owner] = _UnknownList(names.digest, until_s)
        answer = self._peers.call(owner, report, _CALL_TIMEOUT_S)
        return None if answer.is_err() else answer.unwrap()

    def _is_unknown(self, owner: str, names: countlists.Names) -> bool:
        unknown = self._unknown_lists.get(owner)
        if unknown is None or unknown.digest != names.digest:
            return False
        return self._clock.monotonic_s() < unknown.until_s
