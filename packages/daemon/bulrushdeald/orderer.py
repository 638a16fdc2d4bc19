"""Executes the orders of an engine, one step at a time.

All VMs may call `Orderer.step` for the same engine: the compare-and-swap
that marks an order `sent` assigns the next fencing number, and only the VM
whose write succeeded sends the order. See docs/design/orders.md.
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
# How often a VM checks whether another VM's engine is now assigned to it.
_REASSIGNMENT_POLL_S = 10.0
# The longest time for which an order can be in flight, in timeouts: after the
# write that marks it `sent`, one until it is sent, one until its connection
# is closed, and one while the engine executes it.
FLIGHT_TIMEOUTS = 3


class Orderer:
    """Steps the orders of engines for one VM; keeps no durable state.

    Two steps of the same engine must not run concurrently within one VM.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        membership: services.Membership,
        tasks: ordertasks.TaskStore,
        calls: enginecalls.EngineCalls,
        permits: fetchpermits.FetchPermits,
        finisher: orderends.OrderFinisher,
        metrics: metrics_lib.Metrics,
        clock: clock_lib.Clock,
    ) -> None:
        self._timeout_s = settings.order_timeout_s
        self._max_flight_s = FLIGHT_TIMEOUTS * settings.order_timeout_s
        self._row_propagation_s = settings.order_settle_s
        self._drain_s = settings.order_drain_s
        self._deadline_s = settings.order_deadline_s
        self._membership = membership
        self._tasks = tasks
        self._calls = calls
        self._permits = permits
        self._finisher = finisher
        self._metrics = metrics
        self._clock = clock
        # Several threads step engines, but only one steps a given engine.
        self._memories: dict[str, ordermemory.EngineMemory] = {}

    def step(self, upstream: str) -> float | None:
        """Advances the engine's first open order by one step.

        Returns:
            Seconds until the next step; `None` if no order is open or this
            VM no longer orders engines.
        """
        read = self._tasks.read(upstream)
        if isinstance(read, result.Err):
            return RETRY_S
        task = read.ok_value
        if task is None:
            self._memories.pop(upstream, None)
            return None
        if not ordervms.is_responsible(self._membership, task):
            is_order_vm = ordervms.is_order_vm(self._membership)
            return _REASSIGNMENT_POLL_S if is_order_vm else None
        if task.order.state == "failing":
            return _next_step_s(self._finisher.finish_failing(task))
        if not task.is_configured:
            return self._fail_removed(task)
        if task.order.state == "sent":
            return self._resolve_outcome(task)
        if task.order.state == "draining":
            return self._drain(task)
        return self._start(task)

    def is_in_progress(self, upstream: str) -> bool:
        """Returns whether this VM is draining or ordering an engine."""
        return upstream in self._memories

    def _memory(self, task: ordertasks.Task) -> ordermemory.EngineMemory:
        return self._memories.setdefault(
            task.record.upstream, ordermemory.EngineMemory()
        )

    def _fail_removed(self, task: ordertasks.Task) -> float:
        # While the order may be in flight, the engine may fetch weights, so
        # it keeps its permit.
        left_s = (
            self._in_flight_left_s(task) if task.order.state == "sent" else 0.0
        )
        if left_s > 0:
            return left_s
        reason = "There is no such engine any more."
        return _next_step_s(self._finisher.fail(task, reason))

    def _in_flight_left_s(self, task: ordertasks.Task) -> float:
        """Returns for how many seconds a sent order may still be in flight."""
        now_s = self._clock.monotonic_s()
        in_flight_since_s = self._memory(task).in_flight_since_s
        since_s = in_flight_since_s.setdefault(task.record.fence, now_s)
        return since_s + self._max_flight_s - now_s

    def _start(self, task: ordertasks.Task) -> float:
        if self._is_past_deadline(task):
            reason = task.order.reason or "It could not be begun in time."
            return _next_step_s(self._finisher.fail(task, reason))
        state = self._calls.read_state(task.upstream)
        if isinstance(state, result.Err):
            return self._store_reason(task, state.err_value.message)
        engine = state.ok_value
        if modelrecords.satisfies(engine, task.order):
            return _next_step_s(self._finisher.complete(task, engine))
        held = {loaded.model for loaded in engine.models}
        # Loading an additional model does not disturb the others; replacing
        # another version of a model interrupts its requests.
        is_served = task.order.model in held | set(task.upstream.models)
        if task.order.action == "role" or not is_served:
            return self._send(task)
        # The permit comes before the drain: in a rollout to all engines, those
        # that wait for weights keep serving, and no more engines are out of
        # service than may fetch.
        denial = self._acquire_permit(task)
        if denial is not None:
            return denial.retry_s
        draining = task.order._replace(state="draining", reason="")
        return _next_step_s(self._tasks.put(task, draining, engine))

    def _drain(self, task: ordertasks.Task) -> float:
        """Waits until the engine no longer runs requests for the model.

        An engine that drops a model while it streams from it cuts off the
        callers' answers. The state `draining` is stored before the row is
        changed, so a VM that takes the order over drains too.
        """
        # After an order is postponed and its model served again, the engine
        # has to be drained again, and another VM may have sent the order in
        # between. The last fencing number tells these drains apart.
        drain = ordermemory.DrainId(task.order.number, task.record.fence)
        drain_started_s = self._memory(task).drain_started_s
        if drain not in drain_started_s:
            if not self._finisher.set_served(task, task.affected_models, False):
                return RETRY_S
            drain_started_s[drain] = self._clock.monotonic_s()
        elapsed_s = self._clock.monotonic_s() - drain_started_s[drain]
        # Until all VMs apply the changed row, they may still send requests.
        if elapsed_s < self._row_propagation_s:
            return self._row_propagation_s - elapsed_s
        # If the number of requests is unknown, the whole drain time is used.
        has_drain_time = elapsed_s < self._drain_s
        if has_drain_time and self._calls.count_requests(task.upstream) != 0:
            return _DRAIN_POLL_S
        return self._send(task)

    def _send(self, task: ordertasks.Task) -> float:
        if self._is_past_deadline(task):
            reason = task.order.reason or "It could not be sent in time."
            return _next_step_s(self._finisher.fail(task, reason))
        denial = self._acquire_permit(task)
        if denial is not None:
            return denial.retry_s
        began_s = self._clock.monotonic_s()
        own = self._membership.own_vm().vm
        sent = self._tasks.mark_sent(task, own, self._membership.incarnation())
        if sent is None:
            # Another VM's write came first, or the outcome of the write is
            # unknown; the next step reads which.
            return RETRY_S
        # If this VM was frozen here, another VM may have taken the order
        # over. So it reads the record again and checks the elapsed time; only
        # a freeze after these checks can still make it send too late.
        is_current = self._tasks.is_unchanged(sent)
        elapsed_s = self._clock.monotonic_s() - began_s
        if not is_current or elapsed_s >= self._timeout_s:
            self._memory(sent).in_flight_since_s[sent.record.fence] = -math.inf
            return RETRY_S
        self._metrics.increment("orders.sent")
        answer = self._calls.send_order(
            sent.upstream, sent.order, self._timeout_s
        )
        return self._handle_answer(sent, answer)

    def _acquire_permit(
        self, task: ordertasks.Task
    ) -> fetchpermits.Denial | None:
        if task.order.action != "load":
            return None
        permit = self._permits.acquire(task.record.upstream)
        if isinstance(permit, result.Ok):
            return None
        self._store_reason(task, permit.err_value.reason)
        return permit.err_value

    def _handle_answer(
        self,
        sent: ordertasks.Task,
        answer: result.Result[
            modelrecords.EngineState, enginecalls.EngineError
        ],
    ) -> float:
        is_unknown = answer.is_err() and answer.unwrap_err().kind == "unknown"
        since_s = self._clock.monotonic_s() if is_unknown else -math.inf
        self._memory(sent).in_flight_since_s[sent.record.fence] = since_s
        task = self._tasks.reread(sent)
        if isinstance(answer, result.Ok):
            if task is None:
                return RETRY_S
            return self._verify(task, answer.ok_value)
        error = answer.err_value
        if is_unknown:
            self._metrics.increment("orders.unknown")
            _log.warning("Order to %s: %s", sent.record.upstream, error.message)
        if task is None:
            return RETRY_S
        if error.kind == "later":
            return self._postpone(task, error)
        if error.kind in ("refused", "fenced"):
            return _next_step_s(self._finisher.fail(task, error.message))
        return RETRY_S

    def _verify(
        self, task: ordertasks.Task, engine: modelrecords.EngineState
    ) -> float:
        if modelrecords.satisfies(engine, task.order):
            return _next_step_s(self._finisher.complete(task, engine))
        reason = "The engine accepted the order but its state does not show it."
        return _next_step_s(self._finisher.fail(task, reason))

    def _postpone(
        self, task: ordertasks.Task, error: enginecalls.EngineError
    ) -> float:
        """Postpones the order and pauses all fetches as the store asks."""
        self._metrics.increment("orders.put_off")
        self._permits.release(task.record.upstream, error.retry_after_s)
        waiting = task.order._replace(state="waiting", reason=error.message)
        self._finisher.postpone(task, waiting)
        return max(error.retry_after_s, RETRY_S)

    def _resolve_outcome(self, task: ordertasks.Task) -> float:
        """Determines the outcome of an order that may have been sent.

        An engine that checks fencing numbers refuses an earlier sending once
        it has seen a later number, so its state is read, and the order sent
        again, without a wait. An engine without that check may still execute
        the earlier sending, so nothing is sent while that can be in flight.
        """
        left_s = self._in_flight_left_s(task)
        is_flight_over = left_s <= 0
        if not is_flight_over and not task.upstream.checks_fencing:
            return left_s
        state = self._calls.read_state(task.upstream)
        if isinstance(state, result.Err):
            reason = state.err_value.message
            if not (is_flight_over and self._is_past_deadline(task)):
                return self._store_reason(task, reason)
            reason = f"It is unknown whether it was carried out: {reason}"
            return _next_step_s(self._finisher.fail(task, reason))
        engine = state.ok_value
        if modelrecords.satisfies(engine, task.order):
            return _next_step_s(self._finisher.complete(task, engine))
        if not self._is_past_deadline(task):
            return self._send(task)
        # Past the deadline no later fencing number is sent, so the engine
        # would still accept an order in flight.
        if not is_flight_over:
            return left_s
        reason = "It was not carried out in time."
        return _next_step_s(self._finisher.fail(task, reason))

    def _store_reason(self, task: ordertasks.Task, reason: str) -> float:
        """Stores what an order waits for, unless that is already stored."""
        if task.order.reason != reason:
            self._tasks.put(task, task.order._replace(reason=reason))
        return RETRY_S

    def _is_past_deadline(self, task: ordertasks.Task) -> bool:
        age_s = self._clock.wall_s() - task.order.accepted_wall_s
        return age_s > self._deadline_s


def _next_step_s(is_stored: bool) -> float:
    return 0.0 if is_stored else RETRY_S
