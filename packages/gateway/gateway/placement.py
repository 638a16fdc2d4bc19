"""Chooses an upstream for each request.

Slots of engines come from the VM that leads their service; for other
upstreams, and when no leader answers, this VM chooses by itself.
"""

from collections.abc import Iterable, Sequence
import itertools
import queue
import random
import secrets
import threading
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import services
from gateway import configuration
from gateway import health
from gateway import heldslots
from gateway import members
from gateway import names
from gateway import records
from gateway import slotleader
from gateway import slotmessages
from gateway import timedcalls
from gateway import upstreamlist
from gateway.decisions import batchorder
from gateway.decisions import slotledger

_events = eventlog.Events("placement")

_REPORT_TIMEOUT_S = 0.25
_SEND_TIMEOUT_S = 0.3
# Leaders asked before this VM places a request by itself.
_MAX_LEADERS = 2
_REPORT_INTERVAL_S = 1.0
# How long an update for a leader waits for others to share its message.
_COALESCE_S = 0.02
_NO_UPSTREAM_RETRY_S = 0.5
# The balancer checks each second whether a VM is ready and sends callers to
# other failure domains after two failed checks. An earlier retry would reach
# this VM again.
_CUT_OFF_RETRY_S = 2.0
# A VM that reaches less than this part of all VMs is on the smaller side of a
# network partition.
_MIN_REACHED_FRACTION = 0.5
# Shortest time between two attempts on a service whose upstreams are all
# avoided.
_TRIAL_INTERVAL_S = 0.3
# An upstream answers within this time even while requests are queued in it.
_ANSWER_OVERDUE_S = 0.6
# Without a leader, upstreams of this VM's failure domain are preferred while
# this VM uses less than this part of their slots.
_MAX_LOCAL_FILL = 0.5
# Grants tried before this VM chooses by itself; the leader may grant an engine
# that this VM no longer lists.
_MAX_GRANTS = 2


class NoSlot(NamedTuple):
    """No slot is available now.

    Attributes:
        retry_after_s: Seconds until the caller should retry.
        reason: The reason, for the log.
        occupancy: How full the engines were, if that is the reason.
    """

    retry_after_s: float
    reason: str
    occupancy: slotledger.Occupancy | None = None


class Placement:
    """Gets a slot for each request and leads some services for all VMs."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._domain = settings.failure_domain
        self._vm = settings.vm
        self.health = health.Health()
        self._run_numbers = itertools.count(1)
        # Random, since a restarted process must not reuse the run names of
        # the previous one: the leader may still hold those runs.
        self._run_prefix = f"{settings.vm}.{secrets.token_hex(3)}."
        self._lock = threading.Lock()
        self._slots = heldslots.HeldSlots(self._on_release)
        # Released runs and engine loads for the leaders, each with its
        # service; `None` ends the sending thread.
        self._updates: queue.SimpleQueue[
            tuple[str, slotmessages.Released | slotledger.Load] | None
        ] = queue.SimpleQueue()
        # The leader that each service's last request went to.
        self._last_leaders: dict[str, str] = {}
        self._last_trial_s: dict[str, float] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts to answer other VMs and to report to leaders."""
        find = self._kernel.find
        self._members = find(services.MEMBERSHIP, members.Members)
        self._peers = find(services.PEERS, services.Peers)
        self._timed_calls = timedcalls.TimedCalls(self._peers)
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._upstreams = find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
        self._leader = slotleader.SlotLeader(self._upstreams, self._peers)
        self._leader.start()
        self._upstreams.on_change(self._on_list_change)
        self._peers.register_handler(
            slotmessages.Yield, services.InlineHandler(self._on_yield)
        )
        self._peers.register_answers(
            slotmessages.Taken, slotmessages.TakenBatch, slotmessages.Done
        )
        for target in (self._send_updates, self._send_reports):
            threading.Thread(
                target=target, name="placement", daemon=True
            ).start()

    def stop(self, grace_s: float) -> None:
        """Stops the threads."""
        del grace_s
        self._stopping.set()
        self._updates.put(None)
        self._leader.stop()

    def dump(self) -> Any:
        """Returns this VM's slots by upstream and the ledgers it holds."""
        held = self._slots.counts()
        return {"held": held, "ledgers": self._leader.dump()}

    def held(self) -> list[heldslots.Slot]:
        """Returns all slots that this VM holds."""
        return self._slots.all()

    def take(
        self, service: str, target_s: float, excluded: Iterable[str]
    ) -> result.Result[heldslots.Slot, NoSlot]:
        """Returns a slot for an online request, or why there is none.

        Args:
            service: The requested service.
            target_s: The time in which the answer should begin, in seconds.
            excluded: Upstreams that the request was already sent to.
        """
        run = self._new_run_name()
        tried = frozenset(excluded)
        skipped = self._skipped_upstreams(service, tried)
        if all(
            row.instance in skipped for row in self._upstreams.usable(service)
        ):
            # All of them are known not to answer, so waiting is no use.
            if not self._claim_trial(service):
                retry_s = _NO_UPSTREAM_RETRY_S
                if self.is_partitioned():
                    retry_s = _CUT_OFF_RETRY_S
                return result.Err(NoSlot(retry_s, "no upstream is reachable"))
            skipped = tried
        if not self._has_engine(service):
            return self._take_without_leader(service, run, skipped)
        for _ in range(_MAX_GRANTS):
            taken = self._request_slot(service, run, target_s, skipped)
            if taken is None:
                return self._take_without_leader(service, run, skipped)
            if not taken.instance:
                return result.Err(
                    NoSlot(taken.retry_after_s, "no free slot", taken.occupancy)
                )
            upstream = self._find_usable(service, taken.instance)
            if upstream is not None:
                slot = self._slots.hold(service, run, upstream)
                slot.starts_at_once = not taken.is_queued
                return result.Ok(slot)
            self._updates.put((service, slotmessages.Released(run, "unknown")))
            skipped = skipped | {taken.instance}
            run = self._new_run_name()
        return self._take_without_leader(service, run, skipped)

    def take_batch(
        self, service: str, priorities: Sequence[batchorder.ItemPriority]
    ) -> list[heldslots.Slot | None]:
        """Returns slots for batch items that online requests do not need.

        Args:
            service: The service.
            priorities: The priorities of the ready items, the next item first.

        Returns:
            Slots for the first items, in order; `None` for an item whose
            engine is no longer usable.
        """
        skipped = self._skipped_upstreams(service, ())
        if not self._has_engine(service):
            return []
        if all(
            row.instance in skipped for row in self._upstreams.usable(service)
        ):
            # One item is tried: without online requests nothing else
            # detects that upstreams are back, and the items would wait
            # forever.
            if not self._claim_trial(service):
                return []
            skipped, priorities = frozenset(), priorities[:1]
        runs = tuple(
            slotledger.BatchRun(self._new_run_name(), priority)
            for priority in priorities
        )
        message = slotmessages.TakeBatch(service, runs, tuple(skipped))
        answer = self._call_leader(service, message)
        if answer is None:
            return []
        return [
            self._hold_batch(service, row, instance)
            for row, instance in zip(runs, answer.instances, strict=False)
        ]

    def _hold_batch(
        self, service: str, row: slotledger.BatchRun, instance: str
    ) -> heldslots.Slot | None:
        upstream = self._find_usable(service, instance)
        if upstream is None:
            self._updates.put(
                (service, slotmessages.Released(row.run, "unknown"))
            )
            return None
        return self._slots.hold(service, row.run, upstream, row.priority)

    def report_load(
        self, slot: heldslots.Slot, service: str, busy: int
    ) -> None:
        """Forwards an upstream's reported load to the service's leader.

        Args:
            slot: The slot of the answered request.
            service: The upstream's service.
            busy: Requests that run or wait in the upstream.
        """
        if self._has_engine(service):
            load = slotledger.Load(slot.upstream.instance, busy)
            self._updates.put((service, load))

    def preempt_all_batch(self) -> None:
        """Preempts all batch runs of this VM, before it stops."""
        for slot in self._slots.all():
            if slot.is_batch:
                slot.preempt()

    def has_upstreams(self, service: str) -> bool:
        """Returns whether a usable upstream of a service is listed."""
        return bool(self._upstreams.usable(service))

    def is_partitioned(self) -> bool:
        """Returns whether a network partition keeps this VM from a service.

        This is the case when this VM is on the smaller side and all upstreams
        of some service are on the other, where VMs can still serve it.
        """
        if self._members.reached_fraction() >= _MIN_REACHED_FRACTION:
            return False
        held, lost = self._feed.current(), self._members.unreachable_domains()
        if held is None:
            return False
        return any(
            all(
                row.failure_domain in lost
                and self.health.is_silent(row.instance)
                for row in rows
            )
            for rows in map(self._upstreams.usable, held.services)
            if rows
        )

    def _new_run_name(self) -> str:
        return f"{self._run_prefix}{next(self._run_numbers)}"

    def _has_engine(self, service: str) -> bool:
        held = self._feed.current()
        row = None if held is None else held.services.get(service)
        return row is not None and row.engine is not None

    def _skipped_upstreams(
        self, service: str, excluded: Iterable[str]
    ) -> frozenset[str]:
        skipped = frozenset(excluded)
        avoided, lost = (
            self.health.avoided(),
            self._members.unreachable_domains(),
        )
        rows = self._upstreams.usable(service)
        # Requests into a failure domain that is cut off are lost. If only
        # the domain's VMs have stopped, its upstreams still send data and
        # stay usable.
        unreachable = {
            row.instance
            for row in rows
            if row.instance in avoided
            or (
                row.failure_domain in lost
                and self.health.is_silent(row.instance)
            )
        }
        skipped |= unreachable
        silent = self._silent_upstreams()
        # If all upstreams are silent, they are taken as slow and stay usable.
        if all(row.instance in skipped | silent for row in rows):
            return skipped
        return skipped | silent

    def _silent_upstreams(self) -> frozenset[str]:
        """Returns the upstreams that owe an answer and send nothing.

        Requests can still be sent to an unreachable upstream on open
        connections, and each waits until its timeout. Skipping the upstream
        once the first requests wait keeps further ones away.
        """
        now_s = time.monotonic()
        return frozenset(
            slot.upstream.instance
            for slot in self._slots.all()
            if now_s - slot.held_since_s > _ANSWER_OVERDUE_S
            and self.health.is_silent(slot.upstream.instance)
        )

    def _claim_trial(self, service: str) -> bool:
        """Returns whether a request may now go to avoided upstreams.

        One request every `_TRIAL_INTERVAL_S` may, which detects that the
        upstreams are back.
        """
        now_s = time.monotonic()
        with self._lock:
            if now_s - self._last_trial_s.get(service, 0.0) < _TRIAL_INTERVAL_S:
                return False
            self._last_trial_s[service] = now_s
            return True

    def _find_usable(
        self, service: str, instance: str
    ) -> records.Upstream | None:
        row = self._upstreams.find(instance)
        if row is None or row.is_draining or row.service != service:
            return None
        return row

    def _take_without_leader(
        self, service: str, run: str, excluded: frozenset[str]
    ) -> result.Result[heldslots.Slot, NoSlot]:
        """Chooses an upstream by this VM's own slots, ties at random."""
        rows = [
            row
            for row in self._upstreams.usable(service)
            if row.instance not in excluded
        ]
        if not rows:
            return result.Err(NoSlot(_NO_UPSTREAM_RETRY_S, "no upstream"))
        counts = self._slots.counts()
        best = min(
            rows,
            key=lambda row: (
                # Leaves room for other VMs' requests, which are not counted.
                counts.get(row.instance, 0) / row.slots >= _MAX_LOCAL_FILL,
                row.failure_domain != self._domain,
                counts.get(row.instance, 0) / row.slots,
                random.random(),
            ),
        )
        return result.Ok(self._slots.hold(service, run, best))

    def _request_slot(
        self,
        service: str,
        run: str,
        target_s: float,
        excluded: frozenset[str],
    ) -> slotmessages.Taken | None:
        message = slotmessages.Take(
            service, run, target_s, tuple(excluded), self._domain
        )
        answer = self._call_leader(service, message)
        return answer if isinstance(answer, slotmessages.Taken) else None

    def _call_leader(self, service: str, message: Any) -> Any | None:
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
            self._members.suspect(vm)
            _events.warning(
                "leader_lost",
                service=service,
                peer=vm,
                why=answer.unwrap_err().message,
            )
        return None

    def _on_release(self, service: str, slot: heldslots.Slot) -> None:
        if self._has_engine(service):
            row = slotmessages.Released(slot.run, slot.outcome)
            self._updates.put((service, row))

    def _on_list_change(self) -> None:
        self.health.retain(self._upstreams.instances())
        self._leader.refresh()

    def _on_yield(
        self, vm: str, message: slotmessages.Yield
    ) -> slotmessages.Done:
        del vm
        for slot in self._slots.find(message.runs):
            slot.preempt()
        return slotmessages.Done()

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
                            if isinstance(item, slotledger.Load)
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
            slotledger.ReportRow(
                slot.run,
                slot.upstream.instance,
                slot.priority
                and slot.priority.after(now_s - slot.held_since_s),
                slot.upstream.instance in silent,
            )
            for slot in self._slots.of_service(service)
        )
        return slotmessages.Report(service, rows)

    def _send_reports(self) -> None:
        reported: set[str] = set()
        while not self._stopping.wait(_REPORT_INTERVAL_S):
            busy = self._slots.services()
            for service in busy | reported:
                if self._has_engine(service):
                    self._send_to_leader(service, self._make_report(service))
            reported = busy
