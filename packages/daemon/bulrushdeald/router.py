"""Chooses an upstream for each request and puts online before batch work.

Engines admit requests in order of arrival and have no priorities, so the
router queues requests itself. An online request goes straight to an upstream
with a free slot or waits in a queue that is fair between customers. If it
cannot be served before its deadline, the router refuses it immediately and
says when to retry. Batch work waits in separate queues for slots on the
upstreams that this VM owns.
"""

from collections.abc import Callable, Iterable
import contextlib
import random
import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeal import threads
from bulrushdeald import batchslots
from bulrushdeald import crashnotifier
from bulrushdeald import defaults
from bulrushdeald import inflightreports
from bulrushdeald import loadpoll
from bulrushdeald import placement
from bulrushdeald import quarantine
from bulrushdeald import queues
from bulrushdeald import routingpolicies
from bulrushdeald import services
from bulrushdeald import slots
from bulrushdeald import topology as topology_lib
from bulrushdeald import waitingcounts
from bulrushdeald import waitingreports

# The longest time that an online request waits for a slot. An immediate
# refusal with a retry time serves the caller better than a longer wait.
MAX_ONLINE_WAIT_S = 5.0
_MIN_RETRY_AFTER_S = 0.1


class UpstreamRouter:
    """Implements the service `router`; see `services.Router`.

    One lock guards all state. It is held for computation only, never during
    a blocking call.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._lock = threading.Lock()
        self._pools: dict[str, slots.Pool] = {}
        self._make_queue: Callable[[], queues.Queue[slots.Waiter]] = (
            queues.queue_factory(settings.queue_discipline)
        )
        self._quarantine = quarantine.Quarantine(self._clock)
        self._placement = placement.Placement(
            routingpolicies.make_policy(
                settings.upstream_policy, random.Random(settings.vm)
            ),
            batchslots.BatchSlots(
                settings.batch_reserve_fraction, settings.batch_yields == "yes"
            ),
            self._clock,
        )
        self._waits = waitingcounts.Waits(self._clock, self._online_waiting)
        self._load_polls = loadpoll.LoadPolls(self)
        self._counters: dict[str, int] = {}

    def start(self) -> None:
        """Looks up the other services and starts the reporting threads."""
        find = self._kernel.find
        self._config = find(services.CONFIG, services.Config)
        membership = find(services.MEMBERSHIP, services.Membership)
        peers = find(services.PEERS, services.Peers)
        self._placement.connect(self._config, membership)
        self._placement.set_waits(self._waits)
        self._wait_reports = waitingreports.WaitReports(
            peers, self._waits, self._lock, self
        )
        self._crash_notices = crashnotifier.CrashNotices(
            peers, membership, self._quarantine, self._lock
        )
        self._inflight_reports = inflightreports.CountReports(
            peers, self._placement.inflight, self._lock, self, self._clock
        )
        self._crash_notices.start()
        self._inflight_reports.start()
        self._wait_reports.start()
        self._load_polls.start()
        self._config.on_change(self.dispatch_all)

    def stop(self, grace_s: float) -> None:
        """Stops the reporting threads; slots in use stay valid."""
        del grace_s
        self._load_polls.stop()
        self._wait_reports.stop()
        self._inflight_reports.stop()
        self._crash_notices.stop()

    def dump(self) -> dict[str, Any]:
        """Returns queue lengths, counts, failed upstreams and crashes."""
        with self._lock:
            topology = self.topology()
            return {
                "queues": {
                    name: {
                        "online": len(pool.online),
                        "batch": pool.waiting_batch(),
                        "hold_s": round(pool.hold_s, 4),
                    }
                    for name, pool in self._pools.items()
                },
                "upstreams": {
                    name: self._placement.estimate(upstream)
                    for name, upstream in topology.upstreams.items()
                },
                "owned": sorted(topology.owned),
                "failed_upstreams": self._placement.health.dump(),
                "crashes": self._quarantine.crashes(),
                "counters": dict(self._counters),
                "batch_yielded": self._placement.batch.yielded,
            }

    def send_reports(self) -> None:
        """Sends this VM's reports to the peer owners immediately."""
        for owner in self.topology().peer_owners:
            self.send_report_to(owner)

    def send_report_to(self, owner: str) -> None:
        """Sends one owner the requests that wait and that run here."""
        self._wait_reports.send(owner)
        self._inflight_reports.send(owner)

    def request_counts(self, owner: str) -> None:
        """Schedules an early request for an owner's counts."""
        with self._lock:
            self._inflight_reports.schedule_report(owner, is_urgent=True)

    def _online_waiting(self) -> tuple[waitingcounts.Waiting, ...]:
        """Returns the waiting online requests; the caller holds the lock."""
        return tuple(
            waitingcounts.Waiting(name, len(pool.online), pool.online.weight())
            for name, pool in self._pools.items()
            if pool.online
        )

    def topology(self) -> topology_lib.Topology:
        """Returns which upstreams serve which model, and their owners."""
        return self._placement.topology()

    def set_unresponsive(self, vm: str, is_unresponsive: bool) -> None:
        """Records whether an owner responds; the caller holds the lock."""
        self._placement.set_unresponsive(vm, is_unresponsive)

    def is_unresponsive(self, vm: str) -> bool:
        """Returns whether an owner is recorded as not responding."""
        return self._placement.is_unresponsive(vm)

    def batch_slots(self, model: str) -> int:
        """See `services.Router`."""
        with self._lock:
            serving = self.topology().serving(model, "")
            free = sum(
                self._placement.free_batch_slots(upstream)
                for upstream in self._placement.usable(serving.all)
            )
            return max(0, free - self._pool(model).waiting_batch())

    def acquire(
        self, work: services.PlacementRequest
    ) -> result.Result[services.Slot, services.Refusal]:
        """See `services.Router`."""
        with self._lock:
            refusal = self._unservable_refusal(work)
            if refusal is not None:
                return result.Err(refusal)
            pool = self._pool(work.model or work.service)
            slot = None if pool.must_wait(work) else self._try_place(work)
            if slot is not None:
                return result.Ok(slot)
            if self._quarantine.is_suspect(work.fingerprint):
                return result.Err(self._suspect_refusal(pool))
            return self._wait_for_slot(work, pool)

    def _count(self, name: str) -> None:
        self._counters[name] = self._counters.get(name, 0) + 1

    def _pool(self, name: str) -> slots.Pool:
        return self._pools.setdefault(name, slots.Pool(self._make_queue))

    def _unservable_refusal(
        self, work: services.PlacementRequest
    ) -> services.Refusal | None:
        """Returns a refusal if no free slot could serve the request."""
        if self._quarantine.is_refused(work.fingerprint):
            self._count("quarantined")
            return services.Refusal(
                422,
                "quarantined",
                "This request was running at each of several crashes of"
                " upstreams, and is not run again.",
                # The refusal follows from earlier runs of the request.
                ran="ran",
            )
        serving = self._placement.serving(work).all
        if not serving:
            return services.Refusal(
                404,
                "not_found",
                f"No upstream serves {work.model or work.service!r}.",
                field="model" if work.model else "",
            )
        if any(True for _ in self._placement.usable(serving)):
            return None
        self._count("no_upstream")
        names = tuple(upstream.upstream for upstream in serving)
        next_s = self._placement.health.next_trial_s(names)
        return services.Refusal(
            503,
            "no_upstream",
            "No upstream answers at present.",
            retry_after_s=max(_MIN_RETRY_AFTER_S, next_s),
        )

    def _suspect_refusal(self, pool: slots.Pool) -> services.Refusal:
        """Refuses a suspect request that cannot be placed at once.

        A suspect does not wait in the queue: at the head of the queue it
        would block requests of other customers for which there is room.
        """
        self._count("suspect_refused")
        return services.Refusal(
            503,
            "overloaded",
            "This request was running when an upstream crashed; it has to"
            " wait until it can run apart from others like it.",
            retry_after_s=max(_MIN_RETRY_AFTER_S, pool.hold_s),
        )

    def _try_place(self, work: services.PlacementRequest) -> slots.Slot | None:
        """Takes and returns a slot, or returns `None` if there is no room."""
        is_suspect = self._quarantine.is_suspect(work.fingerprint)
        if work.work_class == "batch":
            upstream = self._placement.choose_for_batch(work, is_suspect)
        else:
            upstream = self._placement.choose_for_online(
                work, is_suspect, self._waiting_weight(work)
            )
        if upstream is None:
            return None
        batch_item = self._placement.count_start(work, upstream, is_suspect)
        if batch_item is None:
            self._counts_changed(upstream, is_urgent=True)
        self._count(f"placed_{work.work_class}")
        now_s = self._clock.monotonic_s()
        return slots.Slot(self, work, upstream, batch_item, now_s, is_suspect)

    def _waiting_weight(self, work: services.PlacementRequest) -> float:
        """Returns the weight of the customers that wait here.

        It is at least the weight of the requesting customer.
        """
        row = self._config.customer(work.customer) or records.Customer("")
        pool = self._pool(work.model or work.service)
        return max(row.weight, pool.online.weight())

    def _counts_changed(
        self, upstream: records.Upstream, is_urgent: bool
    ) -> None:
        """Reports changed counts to the owner, or acts as the owner."""
        topology = self.topology()
        if upstream.upstream in topology.owned:
            self._yield_surplus_batch(upstream)
            return
        owner = topology.owners.of(upstream.upstream)
        self._inflight_reports.schedule_report(owner, is_urgent)

    def _yield_surplus_batch(self, upstream: records.Upstream) -> None:
        """Makes surplus batch items yield to online work."""
        online = self._placement.inflight.total_online(upstream.upstream)
        for item in self._placement.batch.mark_yielding(upstream, online):
            if item.yield_callback is not None:
                _run_callback(item.yield_callback)

    def set_yield_callback(
        self, slot: slots.Slot, callback: Callable[[], None]
    ) -> None:
        """Sets the callback that cancels a batch item's stream.

        If the item has already been chosen to yield, the callback runs now.
        """
        if slot.batch_item is None:
            return
        with self._lock:
            slot.batch_item.yield_callback = callback
            is_late = slot.batch_item.is_yielding
        if is_late:
            _run_callback(callback)

    def update_engine_load(self, upstream: str, running: int) -> None:
        """Applies an engine's own count of running and queued requests."""
        with self._lock:
            self._placement.update_external_count(upstream, running)
            self.on_counts_changed(frozenset((upstream,)))

    def _wait_for_slot(
        self, work: services.PlacementRequest, pool: slots.Pool
    ) -> result.Result[services.Slot, services.Refusal]:
        """Waits in the queue for a slot.

        The caller holds the lock; waiting releases it meanwhile.
        """
        row = self._config.customer(work.customer) or records.Customer("")
        weight, longest_s = row.batch_weight, work.deadline_s
        if work.work_class == "online":
            weight, longest_s = row.weight, min(longest_s, MAX_ONLINE_WAIT_S)
            expected_s = self._expected_wait_s(work, pool, weight)
            if expected_s > longest_s:
                return result.Err(self._overloaded_refusal(expected_s))
        waiter = slots.Waiter(work, self._lock)
        queue = pool.queue(work)
        ticket = queue.push(work.customer, weight, work.expected_tokens, waiter)
        if work.work_class == "online":
            self._wait_reports.start_reporting()
        until_s = self._clock.monotonic_s() + longest_s
        while waiter.slot is None and waiter.refusal is None:
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0 or not waiter.wakeup.wait(left_s):
                break
        if waiter.slot is not None:
            return result.Ok(waiter.slot)
        if waiter.refusal is not None:
            return result.Err(waiter.refusal)
        queue.remove(work.customer, ticket)
        expected_s = self._expected_wait_s(work, pool, weight)
        return result.Err(self._overloaded_refusal(expected_s))

    def _expected_wait_s(
        self, work: services.PlacementRequest, pool: slots.Pool, weight: float
    ) -> float:
        usable = self._placement.usable(self._placement.serving(work).all)
        total = sum(upstream.slots for upstream in usable)
        # All VMs' queues share the slots, and the load balancer spreads
        # callers evenly over the VMs, so this VM gets an equal share.
        share = total / self.topology().live_vm_count
        return pool.expected_wait_s(work.customer, weight, share)

    def _overloaded_refusal(self, expected_s: float) -> services.Refusal:
        self._count("overloaded")
        return services.Refusal(
            503,
            "overloaded",
            "All upstreams for this are busy.",
            retry_after_s=max(_MIN_RETRY_AFTER_S, expected_s),
        )

    def release(self, slot: slots.Slot, outcome: services.Outcome) -> None:
        """Frees a slot; after a crash, notifies peers before it returns."""
        upstream = slot.upstream
        with self._lock:
            self._record_outcome(slot, outcome)
            self._placement.count_end(
                upstream.upstream, slot.batch_item, slot.is_suspect
            )
            if slot.batch_item is None:
                self._counts_changed(upstream, is_urgent=False)
            self._dispatch(upstream)
        if outcome == "crashed":
            ran_s = self._clock.monotonic_s() - slot.start_s
            self._crash_notices.crashed(
                slot.work.fingerprint, upstream.upstream, ran_s
            ).wait()
        elif outcome == "ok" and slot.is_suspect:
            self._crash_notices.completed(slot.work.fingerprint)

    def _record_outcome(
        self, slot: slots.Slot, outcome: services.Outcome
    ) -> None:
        name = slot.upstream.upstream
        self._count(f"outcome_{outcome}")
        if outcome in ("refused", "crashed"):
            self._placement.health.failed(name)
            return
        if outcome != "ok":
            return
        self._placement.health.succeeded(name)
        if slot.batch_item is None:
            pool = self._pool(slot.work.model or slot.work.service)
            pool.record_hold(self._clock.monotonic_s() - slot.start_s)

    def _dispatch(self, upstream: records.Upstream) -> None:
        """Gives free slots to waiting requests; the caller holds the lock."""
        for name in (*upstream.models, upstream.service):
            pool = self._pools.get(name)
            if pool is None:
                continue
            self._serve_queue(pool, pool.online)
            self._serve_queue(pool, pool.resumed)
            if not pool.resumed:
                self._serve_queue(pool, pool.batch)

    def _serve_queue(
        self, pool: slots.Pool, queue: queues.Queue[slots.Waiter]
    ) -> None:
        while (waiter := queue.peek()) is not None:
            waiter.slot = self._try_place(waiter.work)
            if waiter.slot is None:
                if not self._quarantine.is_suspect(waiter.work.fingerprint):
                    return
                waiter.refusal = self._suspect_refusal(pool)
            queue.pop()
            waiter.wakeup.notify()

    def dispatch_all(self) -> None:
        """Tries to place all waiting requests after an external change."""
        with self._lock:
            self.on_counts_changed(frozenset(self.topology().upstreams))

    def on_counts_changed(self, upstreams: Iterable[str]) -> None:
        """Acts on changed counts; the caller holds the lock."""
        topology = self.topology()
        for name in upstreams:
            upstream = topology.upstreams.get(name)
            if upstream is None:
                continue
            if name in topology.owned:
                self._placement.record_known_count(name)
                self._yield_surplus_batch(upstream)
            self._dispatch(upstream)


def _run_callback(callback: Callable[[], None]) -> None:
    """Runs a cancellation on a new thread.

    The caller may hold the router's lock, which is not held during I/O.
    """

    def run() -> None:
        with contextlib.suppress(OSError):
            callback()

    threads.start_once(run, "yield")
