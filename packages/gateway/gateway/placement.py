"""Chooses an upstream for each request.

Slots of engines, and of other upstreams that report their load, come from the
VM that leads their service. For other upstreams, and when no leader answers,
this VM chooses by itself.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
import itertools
import math
import random
import secrets
import threading
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeald import services
from gateway import coldsends
from gateway import configuration
from gateway import dialect as dialect_lib
from gateway import grantwaits
from gateway import health
from gateway import heldslots
from gateway import members
from gateway import names
from gateway import opencalls
from gateway import reachability
from gateway import records
from gateway import slotclient
from gateway import slotleader
from gateway import slotmessages
from gateway import upstreamlist
from gateway.decisions import batchorder
from gateway.decisions import localchoice
from gateway.decisions import placementfigures
from gateway.decisions import requestcosts
from gateway.decisions import requesters
from gateway.decisions import slotrecords

_NO_UPSTREAM_RETRY_S = 0.5
# The balancer checks each second whether a VM is ready and sends callers to
# other failure domains after two failed checks. An earlier retry would reach
# this VM again.
_CUT_OFF_RETRY_S = 2.0
# Shortest time between two attempts on a service whose upstreams are all
# avoided.
_TRIAL_INTERVAL_S = 0.3
# Without a leader, upstreams of this VM's failure domain are preferred while
# this VM uses less than this part of their slots.
_MAX_LOCAL_FILL = 0.5
# Prompts from this length on are reported as prefilled; the leader lets others
# wait for them.
_MIN_BEGAN_TOKENS = 2000
_NO_VERSION = "no upstream runs the software version that began it"
# Grants tried before this VM chooses by itself; the leader may grant an engine
# that this VM no longer lists.
_MAX_GRANTS = 2
# How long a VM asks for no more batch slots on an engine that the leader
# granted and this VM may not use. Their lists agree again soon.
_STALE_GRANT_S = 1.0


class Scope(NamedTuple):
    """The upstreams of a service that a request may be sent to.

    Attributes:
        regions: The regions that it may be sent to; `None` for all.
        software_version: The version that it has to go on at; empty for any.
    """

    regions: frozenset[str] | None = None
    software_version: str = ""

    def admits(self, upstream: records.Upstream) -> bool:
        """Returns whether an upstream runs a version that will do."""
        wanted = self.software_version
        return not wanted or upstream.software_version == wanted


_ALL = Scope()


class NoSlot(NamedTuple):
    """No slot is available now.

    Attributes:
        retry_after_s: Seconds until the caller should retry; 0 if that is no
            use.
        reason: The reason, for the log.
        occupancy: How full the engines were, if that is the reason.
    """

    retry_after_s: float
    reason: str
    occupancy: slotrecords.Occupancy | None = None


class Placement:
    """Gets a slot for each request and leads some services for all VMs."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._domain = settings.failure_domain
        self._vm = settings.vm
        self.health = health.Health()
        self._run_numbers = itertools.count(1)
        # Random, since a restarted process must not reuse the run names of
        # the previous one: the leader may still hold those runs.
        self._run_prefix = f"{settings.vm}.{secrets.token_hex(3)}."
        self._lock = threading.Lock()
        self._slots = heldslots.HeldSlots(self._on_release)
        self._waits = grantwaits.GrantWaits(self._is_held, self._give_back)
        self._last_trial_s: dict[str, float] = {}
        # When an engine was last granted that this VM may not use.
        self._stale_grants_s: dict[str, float] = {}
        # By service, for those whose upstreams have reported their load.
        self._choices: dict[str, localchoice.LocalChoice] = {}

    def start(self) -> None:
        """Starts to answer other VMs and to report to leaders."""
        find = self._kernel.find
        vms = find(services.MEMBERSHIP, members.Members)
        peers = find(services.PEERS, services.Peers)
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._upstreams = find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
        self._reachability = reachability.Reachability(
            self.health, vms, self._upstreams, self._slots, self._feed
        )
        self._cold = coldsends.ColdSends(self._kernel, self._settings)
        self._leader = slotleader.SlotLeader(
            self._upstreams, peers, self._cold.cold_start, self._engine
        )
        self._leader.start()
        self._client = slotclient.SlotClient(
            vms,
            peers,
            self._slots,
            self._waits,
            self._reachability.silent,
            self._has_leader,
        )
        self._upstreams.on_change(self._on_list_change)
        self._feed.on_change(self._on_list_change)
        peers.register_handler(
            slotmessages.Yield, services.InlineHandler(self._on_yield)
        )
        peers.register_handler(
            slotmessages.Granted, services.InlineHandler(self._waits.on_granted)
        )
        peers.register_answers(
            slotmessages.Taken, slotmessages.TakenBatch, slotmessages.Done
        )
        self._client.start()
        # The list may have been read before this service started.
        self._on_list_change()

    def stop(self, grace_s: float) -> None:
        """Stops the threads."""
        del grace_s
        self._client.stop()
        self._leader.stop()

    def dump(self) -> Any:
        """Returns held slots and cold upstreams, and the ledgers led here."""
        return {
            "held": self._slots.counts(),
            "cold": self._cold.dump(),
            "ledgers": self._leader.dump(),
        }

    def held(self) -> list[heldslots.Slot]:
        """Returns all slots that this VM holds."""
        return self._slots.all()

    def take(
        self,
        service: str,
        target_s: float,
        excluded: Iterable[str],
        scope: Scope = _ALL,
        cost: requestcosts.RequestCost = requestcosts.UNKNOWN,
        requester: requesters.Requester = requesters.UNKNOWN,
        call: opencalls.Call | None = None,
    ) -> result.Result[heldslots.Slot, NoSlot]:
        """Returns a slot for an online request, or why there is none.

        If the requester has patience, it may take as long as that.

        Args:
            service: The requested service.
            target_s: The time in which the answer should begin, in seconds.
            excluded: Upstreams that the request was already sent to.
            scope: The upstreams that it may be sent to.
            cost: What the request costs.
            requester: Who sends the request, and its patience.
            call: The caller's request, which ends the wait for a slot.
        """
        self._upstreams.await_current()
        choice = self._choose_skipped(service, excluded, scope)
        if isinstance(choice, result.Err):
            return choice
        skipped = choice.ok_value
        run = self._new_run_name()
        if not self._has_leader(service):
            return self._take_without_leader(service, run, skipped, scope, cost)
        for _ in range(_MAX_GRANTS):
            message = slotmessages.Take(
                service,
                run,
                target_s,
                tuple(skipped),
                self._domain,
                cost,
                requester,
            )
            taken = self._request_slot(message, call)
            if taken is None:
                return self._take_without_leader(
                    service, run, skipped, scope, cost
                )
            if not taken.instance and not self._has_engine(service):
                # Upstreams other than engines refuse by themselves when their
                # queues are full.
                return self._take_without_leader(
                    service, run, skipped, scope, cost
                )
            if not taken.instance:
                grantwaits.log_refusal(message, taken, call)
                return result.Err(_no_slot(taken))
            slot = self._hold_granted(service, run, taken.instance, scope, cost)
            if slot is not None:
                slot.is_granted_by_leader = True
                slot.is_queued = taken.is_queued
                slot.starts_at_once = not taken.is_queued
                slot.figures = taken.figures
                slot.requester = requester._replace(patience_s=0.0)
                return result.Ok(slot)
            skipped = skipped | {taken.instance}
            run = self._new_run_name()
        return self._take_without_leader(service, run, skipped, scope, cost)

    def take_batch(
        self,
        service: str,
        priorities: Sequence[batchorder.ItemPriority],
        scope: Scope = _ALL,
        costs: Sequence[requestcosts.RequestCost] = (),
    ) -> list[heldslots.Slot | None]:
        """Returns slots for batch items that online requests do not need.

        Args:
            service: The service.
            priorities: The priorities of the ready items, the next item first.
            scope: The upstreams that they may be sent to.
            costs: What the items cost, in the same order; empty if unknown.

        Returns:
            Slots for the first items, in order; `None` for an item that no
            engine has memory for, or whose engine is no longer usable. Items
            that find no slot now are left out.
        """
        if not self._has_engine(service):
            return []
        barred = _barred(self._waits_s(service, scope))
        skipped = self._reachability.unreachable(service, barred)
        if not self._has_other(service, skipped):
            # One item is tried: without online requests nothing else
            # detects that upstreams are back, and the items would wait
            # forever.
            if not self._claim_trial(service):
                return []
            skipped, priorities = barred, priorities[:1]
        skipped |= self._waits_s(service, scope).keys()
        skipped |= self._stale_grants()
        runs = tuple(
            slotrecords.BatchRun(self._new_run_name(), priority, cost)
            for priority, cost in zip(
                priorities,
                costs or itertools.repeat(requestcosts.UNKNOWN),
                strict=False,
            )
        )
        message = slotmessages.TakeBatch(service, runs, tuple(skipped))
        answer = self._client.call(service, message)
        if answer is None:
            return []
        return [
            self._hold_granted(
                service, row.run, instance, scope, row.cost, row.priority
            )
            if instance
            else None
            for row, instance in zip(runs, answer.instances, strict=False)
        ]

    def memory_tokens(self, service: str) -> int:
        """Returns the memory of each engine of a service; 0 if unknown."""
        engine = self._engine(service)
        return 0 if engine is None else engine.memory_tokens

    def _hold_granted(
        self,
        service: str,
        run: str,
        instance: str,
        scope: Scope,
        cost: requestcosts.RequestCost,
        priority: batchorder.ItemPriority | None = None,
    ) -> heldslots.Slot | None:
        """Holds a slot that the leader granted, or gives it back.

        The leader may know an upstream that came after the others were chosen.

        The run is taken to begin at once: only online requests wait in an
        engine's queue.
        """
        # A request may have waited for the grant while this VM stood still.
        self._upstreams.await_current()
        upstream = self._upstreams.find_usable(service, instance)
        if upstream is None or not scope.admits(upstream):
            # The leader would grant it again and again.
            with self._lock:
                self._stale_grants_s[instance] = time.monotonic()
            self._give_back(service, run)
            return None
        if not self._cold.try_send(upstream):
            self._give_back(service, run)
            return None
        slot = self._hold(service, run, upstream, cost, priority)
        slot.is_granted_by_leader = True
        slot.starts_at_once = True
        return slot

    def _hold(
        self,
        service: str,
        run: str,
        upstream: records.Upstream,
        cost: requestcosts.RequestCost,
        priority: batchorder.ItemPriority | None = None,
    ) -> heldslots.Slot:
        slot = self._slots.hold(service, run, upstream, priority, cost)
        slot.list_age_s = self._upstreams.age_s()
        return slot

    def report_load(
        self, upstream: records.Upstream, load: dialect_lib.Load
    ) -> None:
        """Records the load that an upstream reports, also for the leader.

        From the first report on, the slots of the upstream's service come
        from a leader.
        """
        service, instance = upstream.service, upstream.instance
        own = self._slots.counts().get(instance, 0)
        with self._lock:
            choice = self._choices.get(service)
            if choice is None:
                choice = self._choices[service] = localchoice.LocalChoice()
            choice.record_report(
                instance, load.busy, own, load.pace, time.monotonic()
            )
        update = slotrecords.Load(instance, load.busy, load.pace)
        self._client.update(service, update)

    def record_first_event(self, slot: heldslots.Slot) -> None:
        """Records an event of a run; the first one ends its prefill."""
        if not slot.record_first_event():
            return
        self.health.record_whole(slot.upstream.instance)
        if slot.cost.input_tokens >= _MIN_BEGAN_TOKENS:
            self._client.update(
                slot.upstream.service, slotmessages.Began(slot.run)
            )

    def engine_states(
        self,
    ) -> Mapping[str, Mapping[str, placementfigures.EngineState]]:
        """Returns what is known of the engines of each service led here."""
        return self._leader.engine_states()

    def waiting_counts(self) -> Mapping[str, int]:
        """Returns how many requests wait for a grant of this VM, by service."""
        return self._leader.waiting_counts()

    def record_cold(self, instance: str, cold_s: float) -> None:
        """Records that an upstream has said how long it stays cold."""
        self._cold.record_cold(instance, cold_s)

    def preempt_all_batch(self) -> None:
        """Preempts all batch runs of this VM, before it stops."""
        for slot in self._slots.all():
            if slot.is_batch:
                slot.preempt()

    def has_upstreams(self, service: str, scope: Scope = _ALL) -> bool:
        """Returns whether a usable upstream of a service is listed.

        Args:
            service: The service.
            scope: The versions that will do; its regions do not count.
        """
        return any(map(scope.admits, self._upstreams.usable(service)))

    def has_other_upstream(
        self,
        service: str,
        tried: Iterable[str],
        scope: Scope,
    ) -> bool:
        """Returns whether a request could go to an upstream it has not tried.

        Args:
            service: The service.
            tried: The upstreams that the request was sent to.
            scope: The upstreams that it may be sent to.
        """
        waits_s = self._waits_s(service, scope)
        barred = {name for name, wait_s in waits_s.items() if wait_s > 0}
        return self._has_other(service, barred.union(tried))

    def is_usable(self, upstream: records.Upstream) -> bool:
        """Returns whether an upstream is listed and does not leave."""
        listed = self._upstreams.find_usable(
            upstream.service, upstream.instance
        )
        return listed is not None

    def is_partitioned(self) -> bool:
        """See `reachability.Reachability`."""
        return self._reachability.is_partitioned()

    def _new_run_name(self) -> str:
        return f"{self._run_prefix}{next(self._run_numbers)}"

    def _has_engine(self, service: str) -> bool:
        return self._engine(service) is not None

    def _engine(self, service: str) -> records.Engine | None:
        held = self._feed.current()
        row = None if held is None else held.services.get(service)
        return None if row is None else row.engine

    def _has_leader(self, service: str) -> bool:
        """Returns whether a service's slots come from a leader."""
        return service in self._choices or self._has_engine(service)

    def _choose_skipped(
        self,
        service: str,
        excluded: Iterable[str],
        scope: Scope,
    ) -> result.Result[frozenset[str], NoSlot]:
        """Returns the upstreams that an online request must not use.

        If that leaves none, returns why and when to retry instead.
        """
        rows = self._upstreams.usable(service)
        if not rows:
            why = self._upstreams.why_none(service)
            return result.Err(NoSlot(_NO_UPSTREAM_RETRY_S, why))
        if not any(map(scope.admits, rows)):
            return result.Err(NoSlot(0.0, _NO_VERSION))
        waits_s = self._waits_s(service, scope)
        if all(waits_s.get(row.instance) == math.inf for row in rows):
            return result.Err(
                NoSlot(_NO_UPSTREAM_RETRY_S, "no upstream in allowed regions")
            )
        tried = frozenset(excluded) | _barred(waits_s)
        skipped = self._reachability.unreachable(service, tried)
        if not self._has_other(service, skipped):
            # All of them are known not to answer, so waiting is no use.
            if not self._claim_trial(service):
                retry_s = _NO_UPSTREAM_RETRY_S
                if self.is_partitioned():
                    retry_s = _CUT_OFF_RETRY_S
                return result.Err(NoSlot(retry_s, "no upstream is reachable"))
            skipped = tried
        if waits_s and not self._has_other(service, skipped | waits_s.keys()):
            retry_s = min(_NO_UPSTREAM_RETRY_S, *waits_s.values())
            return result.Err(NoSlot(retry_s, "cold upstreams have no room"))
        return result.Ok(skipped | waits_s.keys())

    def _has_other(self, service: str, skipped: Collection[str]) -> bool:
        rows = self._upstreams.usable(service)
        return any(row.instance not in skipped for row in rows)

    def _waits_s(self, service: str, scope: Scope) -> Mapping[str, float]:
        """Returns the upstreams that must not get a request now.

        Returns:
            In how many seconds each may get one; infinite for those beyond
            the allowed regions and for those of another version.
        """
        rows = self._upstreams.usable(service)
        waits_s = dict(self._cold.waits_s(rows))
        regions, region_of = scope.regions, self._settings.regions
        for row in rows:
            is_allowed = (
                regions is None or region_of.get(row.failure_domain) in regions
            )
            if not is_allowed or not scope.admits(row):
                waits_s[row.instance] = math.inf
        return waits_s

    def _stale_grants(self) -> frozenset[str]:
        """Returns the engines that this VM lately was granted in vain."""
        oldest_s = time.monotonic() - _STALE_GRANT_S
        with self._lock:
            self._stale_grants_s = {
                name: at_s
                for name, at_s in self._stale_grants_s.items()
                if at_s >= oldest_s
            }
            return frozenset(self._stale_grants_s)

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

    def _take_without_leader(
        self,
        service: str,
        run: str,
        excluded: frozenset[str],
        scope: Scope,
        cost: requestcosts.RequestCost,
    ) -> result.Result[heldslots.Slot, NoSlot]:
        """Chooses an upstream by what this VM knows itself."""
        usable = [
            row
            for row in self._upstreams.usable(service)
            if row.instance not in excluded and scope.admits(row)
        ]
        for row in self._rank(service, usable):
            if self._cold.try_send(row):
                return result.Ok(self._hold(service, run, row, cost))
        return result.Err(NoSlot(_NO_UPSTREAM_RETRY_S, "no upstream"))

    def _rank(
        self, service: str, rows: Iterable[records.Upstream]
    ) -> list[records.Upstream]:
        """Returns upstreams in the order in which this VM would use them.

        The order goes by this VM's own slots, ties at random, and by reported
        loads if there are any.
        """
        counts = self._slots.counts()
        with self._lock:
            choice = self._choices.get(service)
            if choice is not None:
                now_s = time.monotonic()
                return choice.rank(rows, counts, self._domain, now_s)
        return sorted(
            rows,
            key=lambda row: (
                # Leaves room for other VMs' requests, which are not counted.
                counts.get(row.instance, 0) / row.slots >= _MAX_LOCAL_FILL,
                row.failure_domain != self._domain,
                counts.get(row.instance, 0) / row.slots,
                random.random(),
            ),
        )

    def _request_slot(
        self, message: slotmessages.Take, call: opencalls.Call | None
    ) -> slotmessages.Taken | None:
        if not message.requester.wait_s:
            return self._ask_leader(message)
        return self._waits.request(message, self._ask_leader, call)

    def _ask_leader(
        self, message: slotmessages.Take
    ) -> slotmessages.Taken | None:
        answer = self._client.call(message.service, message)
        return answer if isinstance(answer, slotmessages.Taken) else None

    def _is_held(self, run: str) -> bool:
        return bool(self._slots.find([run]))

    def _give_back(self, service: str, run: str) -> None:
        """Tells the leader that a run that got no slot here is over."""
        self._client.update(service, slotmessages.Released(run, "unknown"))

    def _on_release(self, service: str, slot: heldslots.Slot) -> None:
        choice = self._choices.get(service)
        if choice is not None and slot.outcome == "ok" and not slot.is_batch:
            now_s = time.monotonic()
            took_s = now_s - slot.held_since_s
            with self._lock:
                choice.record_run(slot.upstream.instance, took_s, now_s)
        first_event_s = slot.first_event_s if slot.starts_at_once else 0.0
        self._client.update(
            service,
            slotmessages.Released(slot.run, slot.outcome, first_event_s),
        )

    def _on_list_change(self) -> None:
        self.health.retain(self._upstreams.instances())
        self._cold.refresh()
        self._leader.refresh()
        with self._lock:
            for service, choice in self._choices.items():
                choice.retain(self._upstreams.usable(service))

    def _on_yield(
        self, vm: str, message: slotmessages.Yield
    ) -> slotmessages.Done:
        del vm
        for slot in self._slots.find(message.runs):
            slot.preempt()
        return slotmessages.Done()


def _barred(waits_s: Mapping[str, float]) -> frozenset[str]:
    """Returns the upstreams that a request may not be sent to at any time."""
    return frozenset(
        name for name, wait_s in waits_s.items() if wait_s == math.inf
    )


def _no_slot(taken: slotmessages.Taken) -> NoSlot:
    """Returns why the leader granted no slot."""
    if taken.is_too_large:
        return NoSlot(0.0, "the request needs more memory than any engine has")
    return NoSlot(taken.retry_after_s, "no free slot", taken.occupancy)
