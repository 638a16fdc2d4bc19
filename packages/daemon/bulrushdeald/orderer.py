"""Carries out the orders of one engine, one step at a time.

All VMs may call `Orderer.step` for the same engine: the compare-and-swap
that marks an order `sent` gives out the next fencing number, and only the VM
whose write took effect sends. See docs/design/orders.md.
"""

import math

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeald import defaults
from bulrushdeald import enginecalls
from bulrushdeald import fetchpermits
from bulrushdeald import modelrecords
from bulrushdeald import orderends
from bulrushdeald import ordermemory
from bulrushdeald import ordertasks
from bulrushdeald import ordervms
from bulrushdeald import services

_log = logs.Log("orders")
RETRY_S = 2.0
_DRAIN_POLL_S = 5.0
# How often it is looked whether another VM's engine is left to this one.
_OTHERS_S = 10.0
# From the write that announced it an order lives one timeout until it is
# sent, one until its connection is closed, and one in the engine.
FLIGHT_TIMEOUTS = 3


class Orderer:
    """Steps the orders of engines for one VM; keeps nothing that must last.

    A step of an engine must not run twice at once within one VM.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        membership: services.Membership,
        tasks: ordertasks.TaskStore,
        calls: enginecalls.EngineCalls,
        permits: fetchpermits.FetchPermits,
        ends: orderends.OrderEnds,
        metrics: metrics_lib.Metrics,
        clock: clock_lib.Clock,
    ) -> None:
        self._timeout_s = settings.order_timeout_s
        self._flight_s = FLIGHT_TIMEOUTS * settings.order_timeout_s
        self._settle_s = settings.order_settle_s
        self._drain_s = settings.order_drain_s
        self._deadline_s = settings.order_deadline_s
        self._membership = membership
        self._tasks = tasks
        self._calls = calls
        self._permits = permits
        self._ends = ends
        self._metrics = metrics
        self._clock = clock
        # Engines are stepped on several threads, each engine on one.
        self._kept: dict[str, ordermemory.Kept] = {}

    def step(self, upstream: str) -> float | None:
        """Brings the engine's first open order one step on.

        Returns:
            Seconds until the next step; `None` if nothing is open.
        """
        read = self._tasks.read(upstream)
        if isinstance(read, result.Err):
            return RETRY_S
        task = read.ok_value
        if task is None:
            self._kept.pop(upstream, None)
            return None
        if not ordervms.is_own(self._membership, task):
            is_order_vm = ordervms.is_order_vm(self._membership)
            return _OTHERS_S if is_order_vm else None
        if task.order.state == "failing":
            return _next_s(self._ends.finish(task))
        if not task.is_known:
            return self._give_up(task)
        if task.order.state == "sent":
            return self._settle(task)
        if task.order.state == "draining":
            return self._drain(task)
        return self._begin(task)

    def is_under_way(self, upstream: str) -> bool:
        """Tells whether an engine is drained or ordered by this VM now."""
        return upstream in self._kept

    def _keep(self, task: ordertasks.Task) -> ordermemory.Kept:
        return self._kept.setdefault(task.record.upstream, ordermemory.Kept())

    def _give_up(self, task: ordertasks.Task) -> float:
        # Until it cannot be on its way, the engine may be fetching weights.
        left_s = self._left_s(task) if task.order.state == "sent" else 0.0
        if left_s > 0:
            return left_s
        reason = "There is no such engine any more."
        return _next_s(self._ends.failed(task, reason))

    def _left_s(self, task: ordertasks.Task) -> float:
        """Returns how long a sent order may still be on its way."""
        now_s = self._clock.monotonic_s()
        quiet = self._keep(task).quiet_since_s
        since_s = quiet.setdefault(task.record.fence, now_s)
        return since_s + self._flight_s - now_s

    def _begin(self, task: ordertasks.Task) -> float:
        if self._is_late(task):
            reason = task.order.reason or "It could not be begun in time."
            return _next_s(self._ends.failed(task, reason))
        state = self._calls.state(task.upstream)
        if isinstance(state, result.Err):
            return self._note(task, state.err_value.message)
        engine = state.ok_value
        if modelrecords.shows(engine, task.order):
            return _next_s(self._ends.done(task, engine))
        held = {loaded.model for loaded in engine.models}
        # To load beside other models disturbs none; in another version's
        # place it does.
        is_served = task.order.model in held | set(task.upstream.models)
        if task.order.action == "role" or not is_served:
            return self._send(task)
        # Before the drain: in a rollout to all engines those that wait for
        # weights go on serving, and only as many as may fetch are out.
        wait = self._take_permit(task)
        if wait is not None:
            return wait.retry_s
        draining = task.order._replace(state="draining", reason="")
        return _next_s(self._tasks.put(task, draining, engine))

    def _drain(self, task: ordertasks.Task) -> float:
        """Waits until the engine runs nothing for the model any more.

        The failure: an engine drops a model while it streams from it, and
        callers see their answers cut. The state `draining` is stored before
        the row is changed, so a successor drains too.
        """
        # Put off and served again, an order is drained anew, perhaps by
        # another VM meanwhile; the number of the last sending tells.
        draining = ordermemory.Draining(task.order.number, task.record.fence)
        drained = self._keep(task).drained_since_s
        if draining not in drained:
            if not self._ends.set_served(task, task.names, False):
                return RETRY_S
            drained[draining] = self._clock.monotonic_s()
        elapsed_s = self._clock.monotonic_s() - drained[draining]
        # Until the row is in force everywhere, VMs go on sending.
        if elapsed_s < self._settle_s:
            return self._settle_s - elapsed_s
        # An engine that does not say how much it runs is given all the time.
        is_in_time = elapsed_s < self._drain_s
        if is_in_time and self._calls.running(task.upstream) != 0:
            return _DRAIN_POLL_S
        return self._send(task)

    def _send(self, task: ordertasks.Task) -> float:
        if self._is_late(task):
            reason = task.order.reason or "It could not be sent in time."
            return _next_s(self._ends.failed(task, reason))
        wait = self._take_permit(task)
        if wait is not None:
            return wait.retry_s
        began_s = self._clock.monotonic_s()
        own = self._membership.own().vm
        sent = self._tasks.announce(task, own, self._membership.incarnation())
        if sent is None:
            # Lost to another VM, or not known: the next step reads which.
            return RETRY_S
        # Frozen here for long, this VM may have been superseded. It reads
        # once more that it was not, and its clock has to agree; only a
        # freeze after that can still make it send too late.
        is_current = self._tasks.is_same_turn(sent)
        elapsed_s = self._clock.monotonic_s() - began_s
        if not is_current or elapsed_s >= self._timeout_s:
            self._keep(sent).quiet_since_s[sent.record.fence] = -math.inf
            return RETRY_S
        self._metrics.increment("orders.sent")
        answer = self._calls.order(sent.upstream, sent.order, self._timeout_s)
        return self._take_answer(sent, answer)

    def _take_permit(self, task: ordertasks.Task) -> fetchpermits.Wait | None:
        if task.order.action != "load":
            return None
        permit = self._permits.take(task.record.upstream)
        if isinstance(permit, result.Ok):
            return None
        self._note(task, permit.err_value.reason)
        return permit.err_value

    def _take_answer(
        self,
        sent: ordertasks.Task,
        answer: result.Result[
            modelrecords.EngineState, enginecalls.EngineError
        ],
    ) -> float:
        is_unknown = answer.is_err() and answer.unwrap_err().kind == "unknown"
        since_s = self._clock.monotonic_s() if is_unknown else -math.inf
        self._keep(sent).quiet_since_s[sent.record.fence] = since_s
        task = self._tasks.read_again(sent)
        if isinstance(answer, result.Ok):
            if task is None:
                return RETRY_S
            return self._judge(task, answer.ok_value)
        error = answer.err_value
        if is_unknown:
            self._metrics.increment("orders.unknown")
            _log.warning("Order to %s: %s", sent.record.upstream, error.message)
        if task is None:
            return RETRY_S
        if error.kind == "later":
            return self._put_off(task, error)
        if error.kind in ("refused", "fenced"):
            return _next_s(self._ends.failed(task, error.message))
        return RETRY_S

    def _judge(
        self, task: ordertasks.Task, engine: modelrecords.EngineState
    ) -> float:
        if modelrecords.shows(engine, task.order):
            return _next_s(self._ends.done(task, engine))
        reason = "The engine agreed and yet does not hold it."
        return _next_s(self._ends.failed(task, reason))

    def _put_off(
        self, task: ordertasks.Task, error: enginecalls.EngineError
    ) -> float:
        """Waits as the weight store asks, and lets all other VMs wait."""
        self._metrics.increment("orders.put_off")
        self._permits.release(task.record.upstream, error.retry_after_s)
        waiting = task.order._replace(state="waiting", reason=error.message)
        self._ends.put_off(task, waiting)
        return max(error.retry_after_s, RETRY_S)

    def _settle(self, task: ordertasks.Task) -> float:
        """Finds out what became of an order that may have been sent.

        An engine that checks fencing numbers refuses the earlier sending
        once it has seen a later one, so it may be asked at once. With one
        that does not, the earlier sending may still arrive; nothing is sent
        until it cannot any more.
        """
        left_s = self._left_s(task)
        is_over = left_s <= 0
        if not is_over and not task.upstream.checks_fencing:
            return left_s
        state = self._calls.state(task.upstream)
        if isinstance(state, result.Err):
            reason = state.err_value.message
            if not (is_over and self._is_late(task)):
                return self._note(task, reason)
            reason = f"It is unknown whether it was carried out: {reason}"
            return _next_s(self._ends.failed(task, reason))
        engine = state.ok_value
        if modelrecords.shows(engine, task.order):
            return _next_s(self._ends.done(task, engine))
        if not self._is_late(task):
            return self._send(task)
        # Nobody sends a later number now, so it could still arrive.
        if not is_over:
            return left_s
        reason = "It was not carried out in time."
        return _next_s(self._ends.failed(task, reason))

    def _note(self, task: ordertasks.Task, reason: str) -> float:
        """Shows operators what an order waits for, once for each reason."""
        if task.order.reason != reason:
            self._tasks.put(task, task.order._replace(reason=reason))
        return RETRY_S

    def _is_late(self, task: ordertasks.Task) -> bool:
        age_s = self._clock.wall_s() - task.order.accepted_wall_s
        return age_s > self._deadline_s


def _next_s(is_done: bool) -> float:
    return 0.0 if is_done else RETRY_S
