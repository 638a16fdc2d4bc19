"""Chooses an upstream for each request and keeps online ahead of batch.

Engines admit requests as they arrive and know no priorities, so work is held
back here. Online work goes to an upstream with room at once, or waits in a
fair queue between customers; what cannot be served before its deadline is
refused at once with the time to come back. Batch work waits in a queue of
its own for slots of the upstreams that this VM owns.
"""

from collections.abc import Callable
import contextlib
import random
import threading
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import batchslots
from bulrushdeald import choice
from bulrushdeald import crashnotices
from bulrushdeald import defaults
from bulrushdeald import fairqueue
from bulrushdeald import health
from bulrushdeald import inflight
from bulrushdeald import inflightreports
from bulrushdeald import quarantine
from bulrushdeald import services
from bulrushdeald import topology as topology_lib

_log = logs.Log("router")

# How long an online request waits for a slot at most; a longer wait is worse
# for its caller than being told at once when to come back.
LONGEST_WAIT_S = 5.0
# A first guess of how long a request holds a slot, until some have ended.
_FIRST_HOLD_S = 1.0
_HOLD_SMOOTHING = 0.1


class _Waiter:
    """A request that waits for a slot; `slot` is set under the lock."""

    def __init__(self, work: services.Work, condition: threading.Condition):
        self.work = work
        self.wakeup = condition
        self.slot: Slot | None = None
        self.refusal: services.Refusal | None = None


class _Pool:
    """All work for one model or plain service."""

    def __init__(self) -> None:
        self.online: fairqueue.FairQueue[_Waiter] = fairqueue.FairQueue()
        self.batch: fairqueue.FairQueue[_Waiter] = fairqueue.FairQueue()
        # Items that have yielded come before those that have not begun: an
        # engine keeps what they have done only for a while.
        self.resumed: fairqueue.FairQueue[_Waiter] = fairqueue.FairQueue()
        self.hold_s = _FIRST_HOLD_S


class _Candidates(NamedTuple):
    """The upstreams a request may go to, those of the own domain first."""

    known: tuple[records.Upstream, ...]
    usable: tuple[records.Upstream, ...]


class Slot:
    """A place on an upstream; see `services.Slot`."""

    def __init__(
        self,
        router: "UpstreamRouter",
        work: services.Work,
        upstream: records.Upstream,
        running: batchslots.Running | None,
        start_s: float,
    ) -> None:
        self._router = router
        self._upstream = upstream
        self._is_released = False
        self.work = work
        self.running = running
        self.start_s = start_s

    @property
    def upstream(self) -> records.Upstream:
        """Where the request is to be sent."""
        return self._upstream

    def on_yield(self, callback: Callable[[], None]) -> None:
        """Calls back once if this batch item has to yield."""
        self._router.set_yield_callback(self, callback)

    def release(self, outcome: services.Outcome) -> None:
        """Gives the slot back; a second call does nothing."""
        if self._is_released:
            return
        self._is_released = True
        self._router.release(self, outcome)


class UpstreamRouter:
    """The service `router`; see `services.Router`."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._clock = clock or clock_lib.SystemClock()
        self._lock = threading.Lock()
        self._pools: dict[str, _Pool] = {}
        self._health = health.Health(self._clock)
        self._quarantine = quarantine.Quarantine(self._clock)
        self._inflight = inflight.Inflight(self._clock)
        self._batch = batchslots.BatchSlots(
            settings.batch_reserve_fraction, settings.batch_yields == "yes"
        )
        self._policy = choice.policy(
            settings.upstream_policy, random.Random(settings.vm)
        )
        self._topology = topology_lib.Cache()
        self._suspects: dict[str, int] = {}
        self._counters: dict[str, int] = {}

    def start(self) -> None:
        """Finds the other services and begins to report counts."""
        self._config = self._kernel.find(services.CONFIG, services.Config)
        self._membership = self._kernel.find(
            services.MEMBERSHIP, services.Membership
        )
        peers = self._kernel.find(services.PEERS, services.Peers)
        self._notices = crashnotices.CrashNotices(
            peers, self._membership, self._quarantine, self._lock
        )
        self._reports = inflightreports.Reports(
            peers, self._inflight, self._lock, self
        )
        self._notices.start()
        self._reports.start()
        self._config.on_change(self.wake)

    def stop(self, grace_s: float) -> None:
        """Ends the reports; slots in use stay valid."""
        del grace_s
        self._reports.stop()
        self._notices.stop()

    def dump(self) -> dict[str, Any]:
        """Returns queues, counts, failures and crashes."""
        with self._lock:
            return {
                "queues": {
                    name: {
                        "online": len(pool.online),
                        "batch": len(pool.batch) + len(pool.resumed),
                        "hold_s": round(pool.hold_s, 4),
                    }
                    for name, pool in self._pools.items()
                },
                "upstreams": {
                    upstream.upstream: self._estimate(upstream)
                    for upstream in self._config.upstreams()
                },
                "owned": sorted(self.topology().owned),
                "failed_upstreams": self._health.dump(),
                "crashes": self._quarantine.crashes(),
                "counters": dict(self._counters),
                "batch_yielded": self._batch.yielded,
            }

    def send_reports(self) -> None:
        """Tells each other owner what runs here, now and not soon."""
        for owner, upstreams in self.topology().other_owners.items():
            self._reports.send(owner, upstreams)

    def topology(self) -> topology_lib.Topology:
        """Returns who serves what and who owns which upstream."""
        return self._topology.get(
            self._config.upstreams(),
            self._membership.entry_vms(),
            self._membership.own().vm,
        )

    def batch_slots(self, model: str) -> int:
        """Returns how many batch items of a model could start here now.

        Only upstreams that this VM owns count; 0 also means that it should
        not ask for work of this model.
        """
        with self._lock:
            pool = self._pool(model)
            waiting = len(pool.batch) + len(pool.resumed)
            free = sum(
                self._free_batch_slots(upstream)
                for upstream in self._candidates(model, "").usable
            )
        return max(0, free - waiting)

    def acquire(
        self, work: services.Work
    ) -> result.Result[services.Slot, services.Refusal]:
        """See `services.Router`."""
        with self._lock:
            refusal = self._refuse(work)
            if refusal is not None:
                return result.Err(refusal)
            slot = self._place(work)
            if slot is not None:
                return result.Ok(slot)
            if self._quarantine.is_suspect(work.fingerprint):
                return result.Err(self._suspect_refusal(work))
            return self._wait(work)

    def _count(self, name: str) -> None:
        self._counters[name] = self._counters.get(name, 0) + 1

    def _pool(self, name: str) -> _Pool:
        return self._pools.setdefault(name, _Pool())

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
        candidates = self._candidates(work.model, work.service)
        if not candidates.known:
            return services.Refusal(
                404,
                "not_found",
                f"No upstream serves {work.model or work.service!r}.",
                field="model" if work.model else "",
            )
        if candidates.usable:
            return None
        self._count("no_upstream")
        names = tuple(upstream.upstream for upstream in candidates.known)
        return services.Refusal(
            503,
            "no_upstream",
            "No upstream answers at present.",
            retry_after_s=max(0.1, self._health.next_trial_s(names)),
        )

    def _suspect_refusal(self, work: services.Work) -> services.Refusal:
        """Refuses a suspect for which no upstream is free of suspects.

        It does not wait in the queue: at its head it would hold up requests
        of other customers that have room.
        """
        self._count("suspect_refused")
        pool = self._pool(work.model or work.service)
        return services.Refusal(
            503,
            "overloaded",
            "This request was running when an upstream crashed; it has to"
            " wait until it can run apart from others like it.",
            retry_after_s=max(0.1, pool.hold_s),
        )

    def _candidates(self, model: str, service: str) -> _Candidates:
        known = self.topology().serving(model, service)
        usable = tuple(
            upstream
            for upstream in known
            if self._health.is_up(upstream.upstream)
            and not self._membership.is_leaving(upstream.vm)
        )
        return _Candidates(known, usable)

    def _estimate(self, upstream: records.Upstream) -> inflight.Count:
        name = upstream.upstream
        topology = self.topology()
        return self._inflight.estimate(
            name, topology.owner[name], self._membership.own().vm
        )

    def _place(self, work: services.Work) -> Slot | None:
        """Returns a slot if one is free and nobody waits for it."""
        pool = self._pool(work.model or work.service)
        if work.work_class == "batch":
            if pool.resumed or (pool.batch and not work.resumes_at):
                return None
            return self._place_batch(work)
        if pool.online:
            return None
        return self._place_online(work)

    def _place_online(self, work: services.Work) -> Slot | None:
        usable = self._candidates(work.model, work.service).usable
        own_domain = self._membership.own().failure_domain
        is_suspect = self._quarantine.is_suspect(work.fingerprint)
        near: list[choice.Candidate] = []
        far: list[choice.Candidate] = []
        for upstream in usable:
            count = self._estimate(upstream)
            if count.online >= upstream.slots:
                continue
            if is_suspect and self._suspects.get(upstream.upstream, 0):
                continue
            candidate = choice.Candidate(upstream, count.online, count.batch)
            is_near = upstream.failure_domain == own_domain
            (near if is_near else far).append(candidate)
        candidates = near or far
        if not candidates:
            return None
        chosen = self._policy.choose(candidates, work.prompt_prefix)
        return self._take(work, chosen.upstream)

    def _free_batch_slots(self, upstream: records.Upstream) -> int:
        if upstream.upstream not in self.topology().owned:
            return 0
        online = self._inflight.total_online(upstream.upstream)
        allowed = self._batch.allowed(upstream, online)
        return max(0, allowed - self._batch.running(upstream.upstream))

    def _place_batch(self, work: services.Work) -> Slot | None:
        is_suspect = self._quarantine.is_suspect(work.fingerprint)
        free = [
            (self._free_batch_slots(upstream), upstream.upstream, upstream)
            for upstream in self._candidates(work.model, "").usable
            if not (is_suspect and self._suspects.get(upstream.upstream, 0))
        ]
        for slots, name, upstream in free:
            if name == work.resumes_at and slots > 0:
                return self._take(work, upstream)
        most = max(free, default=None)
        if most is None or most[0] <= 0:
            return None
        return self._take(work, most[2])

    def _take(self, work: services.Work, upstream: records.Upstream) -> Slot:
        name = upstream.upstream
        if self._health.is_trial(name):
            self._health.begin_trial(name)
        if self._quarantine.is_suspect(work.fingerprint):
            self._suspects[name] = self._suspects.get(name, 0) + 1
        running = None
        if work.work_class == "batch":
            running = self._batch.add(name)
            self._inflight.add_batch(name, 1)
        else:
            self._inflight.add_online(name, 1)
            self._changed(upstream, is_urgent=True)
        self._count(f"placed_{work.work_class}")
        now_s = self._clock.monotonic_s()
        return Slot(self, work, upstream, running, now_s)

    def _changed(self, upstream: records.Upstream, is_urgent: bool) -> None:
        """Tells the owner of an upstream, or acts as the owner."""
        topology = self.topology()
        if upstream.upstream in topology.owned:
            self.make_room(upstream)
            return
        owner = topology.owner.get(upstream.upstream, "")
        self._reports.changed(owner, is_urgent)

    def make_room(self, upstream: records.Upstream) -> None:
        """Makes batch items yield to online work; called with the lock."""
        online = self._inflight.total_online(upstream.upstream)
        for item in self._batch.to_yield(upstream, online):
            if item.yield_callback is not None:
                _run_callback(item.yield_callback)

    def set_yield_callback(
        self, slot: Slot, callback: Callable[[], None]
    ) -> None:
        """Remembers how a slot's stream is cancelled."""
        if slot.running is None:
            return
        with self._lock:
            slot.running.yield_callback = callback
            is_late = slot.running.is_yielding
        if is_late:
            _run_callback(callback)

    def _wait(
        self, work: services.Work
    ) -> result.Result[services.Slot, services.Refusal]:
        """Waits in the fair queue; called with the lock, which it frees."""
        pool = self._pool(work.model or work.service)
        is_online = work.work_class == "online"
        queue = pool.online if is_online else pool.batch
        if work.resumes_at:
            queue = pool.resumed
        row = self._config.customer(work.customer)
        weight = 1.0
        if row is not None:
            weight = row.weight if is_online else row.batch_weight
        longest_s = work.deadline_s
        if is_online:
            longest_s = min(longest_s, LONGEST_WAIT_S)
            expected_s = self._expected_wait_s(pool, work, weight)
            if expected_s > longest_s:
                return result.Err(self._overloaded(expected_s))
        waiter = _Waiter(work, threading.Condition(self._lock))
        ticket = queue.push(work.customer, weight, work.expected_tokens, waiter)
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
        return result.Err(
            self._overloaded(self._expected_wait_s(pool, work, weight))
        )

    def _expected_wait_s(
        self, pool: _Pool, work: services.Work, weight: float
    ) -> float:
        """Returns how long a new request of this customer would wait."""
        candidates = self._candidates(work.model, work.service)
        slots = sum(upstream.slots for upstream in candidates.usable)
        queued = pool.online.queued(work.customer) + 1
        # The slots serve every VM's queue alike; this VM gets the part that
        # its VM's number gives, since the balancer spreads callers evenly.
        per_s = max(1e-6, slots / self.topology().vms / pool.hold_s)
        share = pool.online.share(work.customer, weight)
        return queued / (per_s * share)

    def _overloaded(self, expected_s: float) -> services.Refusal:
        self._count("overloaded")
        return services.Refusal(
            503,
            "overloaded",
            "All upstreams for this are busy.",
            retry_after_s=max(0.1, expected_s),
        )

    def release(self, slot: Slot, outcome: services.Outcome) -> None:
        """Takes a slot back; tells peers of a crash before it returns."""
        upstream = slot.upstream
        name = upstream.upstream
        with self._lock:
            self._note_outcome(slot, outcome)
            if self._suspects.get(name) and self._quarantine.is_suspect(
                slot.work.fingerprint
            ):
                self._suspects[name] -= 1
            if slot.running is not None:
                self._batch.remove(name, slot.running)
                self._inflight.add_batch(name, -1)
            else:
                self._inflight.add_online(name, -1)
                self._changed(upstream, is_urgent=False)
            self._dispatch(upstream)
        if outcome == "crashed":
            self._notices.crashed(slot.work.fingerprint)

    def _note_outcome(self, slot: Slot, outcome: services.Outcome) -> None:
        name = slot.upstream.upstream
        self._count(f"outcome_{outcome}")
        if outcome in ("refused", "crashed"):
            self._health.failed(name)
            return
        if outcome != "ok":
            return
        self._health.succeeded(name)
        pool = self._pool(slot.work.model or slot.work.service)
        held_s = self._clock.monotonic_s() - slot.start_s
        pool.hold_s += _HOLD_SMOOTHING * (held_s - pool.hold_s)

    def _dispatch(self, upstream: records.Upstream) -> None:
        """Gives free slots to those who wait; called with the lock."""
        for name in (*upstream.models, upstream.service):
            pool = self._pools.get(name)
            if pool is None:
                continue
            self._drain(pool.online, self._place_online)
            self._drain(pool.resumed, self._place_batch)
            if not pool.resumed:
                self._drain(pool.batch, self._place_batch)

    def _drain(
        self,
        queue: fairqueue.FairQueue[_Waiter],
        place: Callable[[services.Work], Slot | None],
    ) -> None:
        while (waiter := queue.peek()) is not None:
            waiter.slot = place(waiter.work)
            if waiter.slot is None:
                if not self._quarantine.is_suspect(waiter.work.fingerprint):
                    return
                waiter.refusal = self._suspect_refusal(waiter.work)
            queue.pop()
            waiter.wakeup.notify()

    def wake(self) -> None:
        """Looks again at all that waits, after a change elsewhere."""
        with self._lock:
            self.took_report(frozenset(self.topology().upstreams))

    def took_report(self, upstreams: frozenset[str]) -> None:
        """Acts on changed counts; called with the lock."""
        topology = self.topology()
        for name in upstreams:
            upstream = topology.upstreams.get(name)
            if upstream is None:
                continue
            if name in topology.owned:
                self.make_room(upstream)
            self._dispatch(upstream)


def _run_callback(callback: Callable[[], None]) -> None:
    """Runs a cancellation apart, since the router's lock is held here."""

    def run() -> None:
        with contextlib.suppress(OSError):
            callback()

    threading.Thread(target=run, name="yield", daemon=True).start()
