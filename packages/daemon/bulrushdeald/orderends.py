"""Ends orders: brings the row in step, gives the permit back, stores it."""

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeald import enginecalls
from bulrushdeald import fetchpermits
from bulrushdeald import modelrecords
from bulrushdeald import ordertasks
from bulrushdeald import servedmodels

_log = logs.Log("orders")


class OrderEnds:
    """Ends orders for one VM; each method is false if it has to be redone."""

    def __init__(
        self,
        tasks: ordertasks.TaskStore,
        calls: enginecalls.EngineCalls,
        permits: fetchpermits.FetchPermits,
        served: servedmodels.ServedModels,
        metrics: metrics_lib.Metrics,
        clock: clock_lib.Clock,
    ) -> None:
        self._tasks = tasks
        self._calls = calls
        self._permits = permits
        self._served = served
        self._metrics = metrics
        self._clock = clock

    def done(
        self, task: ordertasks.Task, engine: modelrecords.EngineState
    ) -> bool:
        """Ends an order that the engine's state shows."""
        return self._end(task, "done", "", engine)

    def failed(self, task: ordertasks.Task, reason: str) -> bool:
        """Ends an order for a reason that operators are shown.

        That it failed is stored before the row names the model again. The
        failure: the end could not be stored, and the order was sent again
        to an engine that served its model.
        """
        failing = task.order._replace(state="failing", reason=reason)
        stored = self._put(task, failing)
        return stored is not None and self.finish(stored)

    def finish(self, task: ordertasks.Task) -> bool:
        """Ends an order that is stored as failing."""
        engine: modelrecords.EngineState | None = None
        if task.is_known:
            engine = self._calls.state(task.upstream).ok()
        return self._end(task, "failed", task.order.reason, engine)

    def put_off(
        self, task: ordertasks.Task, waiting: modelrecords.Order
    ) -> None:
        """Lets an order wait, and serves what the engine holds meanwhile."""
        stored = self._put(task, waiting)
        if stored is not None:
            state = self._calls.state(stored.upstream)
            self._bring_row_in_step(stored, state.ok())

    def _put(
        self, task: ordertasks.Task, order: modelrecords.Order
    ) -> ordertasks.Task | None:
        if not self._tasks.put(task, order):
            return None
        return self._tasks.read_again(task._replace(order=order))

    def set_served(
        self,
        task: ordertasks.Task,
        names: frozenset[str],
        is_served: bool,
    ) -> bool:
        """Changes the engine's row while it is the order's turn."""
        # What is in force here may be older than the row that is stored, so
        # the stored one is read also if nothing seems to change.
        edited = self._served.set_served(
            task.upstream.upstream,
            names,
            is_served,
            lambda: self._tasks.is_same_turn(task),
        )
        return edited.is_ok()

    def _end(
        self,
        task: ordertasks.Task,
        state: modelrecords.OrderState,
        reason: str,
        engine: modelrecords.EngineState | None,
    ) -> bool:
        # In this turn: a VM that dies in between leaves the order open, and
        # whoever finds it so does the same again.
        if not self._bring_row_in_step(task, engine):
            return False
        if not self._give_permit_back(task):
            return False
        ended = task.order._replace(
            state=state, reason=reason, ended_wall_s=self._clock.wall_s()
        )
        if not self._tasks.put(task, ended, engine):
            return False
        self._metrics.increment(f"orders.{state}")
        _log.info(
            "Order %d of %s: %s. %s",
            ended.number,
            task.record.upstream,
            state,
            reason,
        )
        return True

    def _bring_row_in_step(
        self,
        task: ordertasks.Task,
        engine: modelrecords.EngineState | None,
    ) -> bool:
        """Serves what the engine holds; nothing new if that is unknown."""
        if engine is None or not task.is_known:
            return True
        held = {loaded.model for loaded in engine.models}
        for is_served in (True, False):
            names = frozenset(
                name for name in task.names if (name in held) == is_served
            )
            if names and not self.set_served(task, names, is_served):
                return False
        return True

    def _give_permit_back(self, task: ordertasks.Task) -> bool:
        if task.order.action != "load":
            return True
        return self._permits.release(task.record.upstream)
