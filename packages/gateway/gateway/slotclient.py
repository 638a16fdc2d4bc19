"""Requests slots from the services' leaders and reports this VM's runs."""

from collections.abc import Callable
import queue
import threading
import time
from typing import Any

from bulrushdeal import eventlog
from bulrushdeal import threads
from bulrushdeald import services
from gateway import grantwaits
from gateway import heldslots
from gateway import members
from gateway import slotmessages
from gateway import timedcalls
from gateway.decisions import slotrecords

_events = eventlog.Events("placement")

_REPORT_TIMEOUT_S = 0.25
_SEND_TIMEOUT_S = 0.3
# Leaders asked before this VM places a request by itself.
_MAX_LEADERS = 2
_REPORT_INTERVAL_S = 1.0
# How long an update for a leader waits for others to share its message.
_COALESCE_S = 0.02

Update = slotmessages.Released | slotmessages.Began | slotrecords.Load


class SlotClient:
    """Calls the leaders and keeps their ledgers up to date.

    Args:
        vms: Chooses the leaders.
        peers: The connections to other VMs.
        slots: The slots that this VM holds.
        waits: The requests of this VM that wait for a grant.
        silent_upstreams: Returns the upstreams that owe an answer and send
            nothing.
        has_leader: Returns whether a service's slots come from a leader.
    """

    def __init__(
        self,
        vms: members.Members,
        peers: services.Peers,
        slots: heldslots.HeldSlots,
        waits: grantwaits.GrantWaits,
        silent_upstreams: Callable[[], frozenset[str]],
        has_leader: Callable[[str], bool],
    ) -> None:
        self._members = vms
        self._peers = peers
        self._timed_calls = timedcalls.TimedCalls(peers)
        self._slots = slots
        self._waits = waits
        self._silent_upstreams = silent_upstreams
        self._has_leader = has_leader
        # Updates for the leaders, each with its service; `None` ends the
        # sending thread.
        self._updates: queue.SimpleQueue[tuple[str, Update] | None] = (
            queue.SimpleQueue()
        )
        # The leader that each service's last request went to.
        self._last_leaders: dict[str, str] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts to report to the leaders."""
        for target in (self._send_updates, self._send_reports):
            threads.start(target, "placement", is_vital=True)

    def stop(self) -> None:
        """Stops the threads."""
        self._stopping.set()
        self._updates.put(None)

    def update(self, service: str, update: Update) -> None:
        """Sends what became of a run or an engine's load to the leader soon."""
        if self._has_leader(service):
            self._updates.put((service, update))

    def call(self, service: str, message: Any) -> Any | None:
        """Returns the leader's answer; `None` if no leader answers."""
        for vm in self._members.leader_with_backups(service, _MAX_LEADERS):
            if self._last_leaders.get(service) != vm:
                # A new leader needs this VM's report before it grants
                # anything: it would count running requests as free slots
                # and overfill the engines' queues.
                self._last_leaders[service] = vm
                self._peers.call(
                    vm, self._make_report(service), _REPORT_TIMEOUT_S
                )
            answer = self._timed_calls.call(vm, message)
            if answer.is_ok():
                return answer.unwrap()
            self._last_leaders.pop(service, None)
            self._members.suspect(vm, answer.unwrap_err())
            _events.warning(
                "leader_lost",
                service=service,
                peer=vm,
                why=answer.unwrap_err().message,
            )
        return None

    def _send_updates(self) -> None:
        while (row := self._updates.get()) is not None:
            self._stopping.wait(_COALESCE_S)
            rows = [row]
            while not self._updates.empty():
                more = self._updates.get()
                if more is None:
                    return
                rows.append(more)
            for service in {service for service, _ in rows}:
                updates = [item for name, item in rows if name == service]
                self._send_to_leader(
                    service,
                    slotmessages.News(
                        service,
                        tuple(
                            item
                            for item in updates
                            if isinstance(item, slotmessages.Released)
                        ),
                        tuple(
                            item
                            for item in updates
                            if isinstance(item, slotrecords.Load)
                        ),
                        tuple(
                            item
                            for item in updates
                            if isinstance(item, slotmessages.Began)
                        ),
                    ),
                )

    def _send_to_leader(self, service: str, message: Any) -> None:
        """Sends a message to the leader without retry.

        If it is lost, a later report corrects the leader's ledger.
        """
        ranked = self._members.leaders(service)
        if ranked:
            self._peers.call(ranked[0], message, _SEND_TIMEOUT_S)

    def _make_report(self, service: str) -> slotmessages.Report:
        silent, now_s = self._silent_upstreams(), time.monotonic()
        rows = tuple(
            slotrecords.ReportRow(
                slot.run,
                slot.upstream.instance,
                slot.priority
                and slot.priority.after(now_s - slot.held_since_s),
                slot.upstream.instance in silent,
                slot.cost,
                slot.requester,
            )
            for slot in self._slots.of_service(service)
        )
        waiting = self._waits.report(service)
        return slotmessages.Report(service, rows + waiting)

    def _send_reports(self) -> None:
        reported: set[str] = set()
        while not self._stopping.wait(_REPORT_INTERVAL_S):
            busy = self._slots.services() | self._waits.services()
            for service in busy | reported:
                if self._has_leader(service):
                    self._send_to_leader(service, self._make_report(service))
            reported = busy
