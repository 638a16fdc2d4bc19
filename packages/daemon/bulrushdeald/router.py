"""Chooses an upstream for each request and keeps online ahead of batch.

Engines admit requests as they arrive and know no priorities, so work is held
back here. Online work goes to an upstream with room at once, or waits in a
fair queue between customers; what cannot be served before its deadline is
refused at once with the time to come back. Batch work waits in a queue of
its own for slots of the upstreams that this VM owns.
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
from bulrushdeald import batchslots
from bulrushdeald import choice
from bulrushdeald import crashnotices
from bulrushdeald import defaults
from bulrushdeald import inflightreports
from bulrushdeald import loadpoll
from bulrushdeald import placement
from bulrushdeald import quarantine
from bulrushdeald import queues
from bulrushdeald import services
from bulrushdeald import slots
from bulrushdeald import topology as topology_lib
from bulrushdeald import waitreports
from bulrushdeald import waits as waits_lib

# How long an online request waits for a slot at most; a longer wait is worse
# for its caller than being told at once when to come back.
LONGEST_WAIT_S = 5.0
_SHORTEST_RETRY_S = 0.1


class UpstreamRouter:
    """The service `router`; see `services.Router`.

    One lock guards all its state. It is held for computations only, never
    while anything outside is waited for.
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
            queues.maker(settings.queue_discipline)
        )
        self._quarantine = quarantine.Quarantine(self._clock)
        self._placement = placement.Placement(
            choice.policy(settings.upstream_policy, random.Random(settings.vm)),
            batchslots.BatchSlots(
                settings.batch_reserve_fraction, settings.batch_yields == "yes"
            ),
            self._clock,
        )
        self._waits = waits_lib.Waits(self._clock, self._waiting)
        self._polls = loadpoll.LoadPolls(self)
        self._counters: dict[str, int] = {}

    def start(self) -> None:
        """Finds the other services and begins to report counts."""
        find = self._kernel.find
        self._config = find(services.CONFIG, services.Config)
        membership = find(services.MEMBERSHIP, services.Membership)
        peers = find(services.PEERS, services.Peers)
        self._placement.connect(self._config, membership)
        self._placement.heed(self._waits)
        self._wait_reports = waitreports.WaitReports(
            peers, self._waits, self._lock, self
        )
        self._notices = crashnotices.CrashNotices(
            peers, membership, self._quarantine, self._lock
        )
        self._reports = inflightreports.Reports(
            peers, self._placement.inflight, self._lock, self, self._clock
        )
        self._notices.start()
        self._reports.start()
        self._wait_reports.start()
        self._polls.start()
        self._config.on_change(self.wake)

    def stop(self, grace_s: float) -> None:
        """Ends the reports; slots in use stay valid."""
        del grace_s
        self._polls.stop()
        self._wait_reports.stop()
        self._reports.stop()
        self._notices.stop()

    def dump(self) -> dict[str, Any]:
        """Returns queues, counts, failures and crashes."""
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
        """Tells each other owner what runs here, now and not soon."""
        for owner in self.topology().near_owners:
            self.send_report_to(owner)

    def send_report_to(self, owner: str) -> None:
        """Tells one owner what waits and what runs here."""
        self._wait_reports.send(owner)
        self._reports.send(owner)

    def ask_counts(self, owner: str) -> None:
        """Has an owner asked for its counts soon."""
        with self._lock:
            self._reports.changed(owner, is_urgent=True)

    def _waiting(self) -> tuple[waits_lib.Waiting, ...]:
        """Returns what online requests wait for; called with the lock."""
        return tuple(
            waits_lib.Waiting(name, len(pool.online), pool.online.weight())
            for name, pool in self._pools.items()
            if pool.online
        )

    def topology(self) -> topology_lib.Topology:
        """Returns who serves what and who owns which upstream."""
        return self._placement.topology()

    def set_silent(self, vm: str, is_silent: bool) -> None:
        """Notes whether an owner answers; called with the lock."""
        self._placement.set_silent(vm, is_silent)

    def is_silent(self, vm: str) -> bool:
        """Tells whether an owner is noted as silent."""
        return self._placement.is_silent(vm)

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
        self, work: services.Work
    ) -> result.Result[services.Slot, services.Refusal]:
        """See `services.Router`."""
        with self._lock:
            refusal = self._refuse(work)
            if refusal is not None:
                return result.Err(refusal)
            pool = self._pool(work.model or work.service)
            slot = None if pool.is_behind(work) else self._place(work)
            if slot is not None:
                return result.Ok(slot)
            if self._quarantine.is_suspect(work.fingerprint):
                return result.Err(self._suspect_refusal(pool))
            return self._wait(work, pool)

    def _count(self, name: str) -> None:
        self._counters[name] = self._counters.get(name, 0) + 1

    def _pool(self, name: str) -> slots.Pool:
        return self._pools.setdefault(name, slots.Pool(self._make_queue))

    def _refuse(self, work: services.Work) -> services.Refusal | None:
        """Returns the refusal of what cannot run wherever there is room."""
        if self._quarantine.is_refused(work.fingerprint):
            self._count("quarantined")
            return services.Refusal(
                422,
                "quarantined",
                "This request was running at each of several crashes of"
                " upstreams, and is not run again.",
                # An earlier run is why it is refused.
                ran="ran",
            )
        known = self._placement.serving(work).all
        if not known:
            return services.Refusal(
                404,
                "not_found",
                f"No upstream serves {work.model or work.service!r}.",
                field="model" if work.model else "",
            )
        if any(True for _ in self._placement.usable(known)):
            return None
        self._count("no_upstream")
        names = tuple(upstream.upstream for upstream in known)
        next_s = self._placement.health.next_trial_s(names)
        return services.Refusal(
            503,
            "no_upstream",
            "No upstream answers at present.",
            retry_after_s=max(_SHORTEST_RETRY_S, next_s),
        )

    def _suspect_refusal(self, pool: slots.Pool) -> services.Refusal:
        """Refuses a suspect for which no upstream is free of suspects.

        It does not wait in the queue: at its head it would hold up requests
        of other customers that have room.
        """
        self._count("suspect_refused")
        return services.Refusal(
            503,
            "overloaded",
            "This request was running when an upstream crashed; it has to"
            " wait until it can run apart from others like it.",
            retry_after_s=max(_SHORTEST_RETRY_S, pool.hold_s),
        )

    def _place(self, work: services.Work) -> slots.Slot | None:
        """Returns a slot if one is free."""
        is_suspect = self._quarantine.is_suspect(work.fingerprint)
        if work.work_class == "batch":
            upstream = self._placement.batch_item(work, is_suspect)
        else:
            upstream = self._placement.online(
                work, is_suspect, self._weight(work)
            )
        if upstream is None:
            return None
        running = self._placement.take(work, upstream, is_suspect)
        if running is None:
            self._changed(upstream, is_urgent=True)
        self._count(f"placed_{work.work_class}")
        now_s = self._clock.monotonic_s()
        return slots.Slot(self, work, upstream, running, now_s, is_suspect)

    def _weight(self, work: services.Work) -> float:
        """Returns the weight of who waits here, or of who asks first."""
        row = self._config.customer(work.customer) or records.Customer("")
        pool = self._pool(work.model or work.service)
        return max(row.weight, pool.online.weight())

    def _changed(self, upstream: records.Upstream, is_urgent: bool) -> None:
        """Tells the owner of an upstream, or acts as the owner."""
        topology = self.topology()
        if upstream.upstream in topology.owned:
            self._make_room(upstream)
            return
        owner = topology.owners.of(upstream.upstream)
        self._reports.changed(owner, is_urgent)

    def _make_room(self, upstream: records.Upstream) -> None:
        """Makes batch items yield to online work."""
        online = self._placement.inflight.total_online(upstream.upstream)
        for item in self._placement.batch.to_yield(upstream, online):
            if item.yield_callback is not None:
                _run_callback(item.yield_callback)

    def set_yield_callback(
        self, slot: slots.Slot, callback: Callable[[], None]
    ) -> None:
        """Remembers how a slot's stream is cancelled."""
        if slot.running is None:
            return
        with self._lock:
            slot.running.yield_callback = callback
            is_late = slot.running.is_yielding
        if is_late:
            _run_callback(callback)

    def took_load(self, upstream: str, running: int) -> None:
        """Takes an engine's own count of what it runs and queues."""
        with self._lock:
            self._placement.take_load(upstream, running)
            self.took_report(frozenset((upstream,)))

    def _wait(
        self, work: services.Work, pool: slots.Pool
    ) -> result.Result[services.Slot, services.Refusal]:
        """Waits in the fair queue; called with the lock, which it frees."""
        row = self._config.customer(work.customer) or records.Customer("")
        weight, longest_s = row.batch_weight, work.deadline_s
        if work.work_class == "online":
            weight, longest_s = row.weight, min(longest_s, LONGEST_WAIT_S)
            expected_s = self._expected_wait_s(work, pool, weight)
            if expected_s > longest_s:
                return result.Err(self._overloaded(expected_s))
        waiter = slots.Waiter(work, self._lock)
        queue = pool.queue(work)
        ticket = queue.push(work.customer, weight, work.expected_tokens, waiter)
        if work.work_class == "online":
            self._wait_reports.began()
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
        return result.Err(self._overloaded(expected_s))

    def _expected_wait_s(
        self, work: services.Work, pool: slots.Pool, weight: float
    ) -> float:
        usable = self._placement.usable(self._placement.serving(work).all)
        total = sum(upstream.slots for upstream in usable)
        # The slots serve every VM's queue alike, and the balancer spreads
        # callers evenly, so this VM gets its part.
        part = total / self.topology().vms
        return pool.expected_wait_s(work.customer, weight, part)

    def _overloaded(self, expected_s: float) -> services.Refusal:
        self._count("overloaded")
        return services.Refusal(
            503,
            "overloaded",
            "All upstreams for this are busy.",
            retry_after_s=max(_SHORTEST_RETRY_S, expected_s),
        )

    def release(self, slot: slots.Slot, outcome: services.Outcome) -> None:
        """Takes a slot back; tells peers of a crash before it returns."""
        upstream = slot.upstream
        with self._lock:
            self._note_outcome(slot, outcome)
            self._placement.give_back(
                upstream.upstream, slot.running, slot.is_suspect
            )
            if slot.running is None:
                self._changed(upstream, is_urgent=False)
            self._dispatch(upstream)
        if outcome == "crashed":
            self._notices.crashed(slot.work.fingerprint)

    def _note_outcome(
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
        if slot.running is None:
            pool = self._pool(slot.work.model or slot.work.service)
            pool.note_hold(self._clock.monotonic_s() - slot.start_s)

    def _dispatch(self, upstream: records.Upstream) -> None:
        """Gives free slots to those who wait; called with the lock."""
        for name in (*upstream.models, upstream.service):
            pool = self._pools.get(name)
            if pool is None:
                continue
            self._drain(pool, pool.online)
            self._drain(pool, pool.resumed)
            if not pool.resumed:
                self._drain(pool, pool.batch)

    def _drain(
        self, pool: slots.Pool, queue: queues.Queue[slots.Waiter]
    ) -> None:
        while (waiter := queue.peek()) is not None:
            waiter.slot = self._place(waiter.work)
            if waiter.slot is None:
                if not self._quarantine.is_suspect(waiter.work.fingerprint):
                    return
                waiter.refusal = self._suspect_refusal(pool)
            queue.pop()
            waiter.wakeup.notify()

    def wake(self) -> None:
        """Looks again at all that waits, after a change elsewhere."""
        with self._lock:
            self.took_report(frozenset(self.topology().upstreams))

    def took_report(self, upstreams: Iterable[str]) -> None:
        """Acts on changed counts; called with the lock."""
        topology = self.topology()
        for name in upstreams:
            upstream = topology.upstreams.get(name)
            if upstream is None:
                continue
            if name in topology.owned:
                self._placement.note_known(name)
                self._make_room(upstream)
            self._dispatch(upstream)


def _run_callback(callback: Callable[[], None]) -> None:
    """Runs a cancellation apart, since the router's lock is held here."""

    def run() -> None:
        with contextlib.suppress(OSError):
            callback()

    threading.Thread(target=run, name="yield", daemon=True).start()
