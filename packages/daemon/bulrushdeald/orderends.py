"""Finishes orders: updates the row, releases the permit, stores the result."""

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeald import enginecalls
from bulrushdeald import fetchpermits
from bulrushdeald import modelrecords
from bulrushdeald import ordertasks
from bulrushdeald import servedmodels

_log = logs.Log("orders")


class OrderFinisher:
    """Finishes orders for one VM.

    A method that returns a bool returns false if it has to be repeated.
    """

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

    def complete(
        self, task: ordertasks.Task, engine: modelrecords.EngineState
    ) -> bool:
        """Finishes an order that the engine's state satisfies."""
        return self._finish(task, "done", "", engine)

    def fail(self, task: ordertasks.Task, reason: str) -> bool:
        """Finishes an order as failed, with a reason shown to operators.

        The state `failing` is stored before the row names the model again.
        Otherwise, if the end could not be stored, the order was sent again
        to an engine that served its model.
        """
        failing = task.order._replace(state="failing", reason=reason)
        stored = self._store(task, failing)
        return stored is not None and self.finish_failing(stored)

    def finish_failing(self, task: ordertasks.Task) -> bool:
        """Finishes an order whose stored state is `failing`."""
        engine: modelrecords.EngineState | None = None
        if task.is_configured:
            engine = self._calls.read_state(task.upstream).ok()
        return self._finish(task, "failed", task.order.reason, engine)

    def postpone(
        self, task: ordertasks.Task, waiting: modelrecords.Order
    ) -> None:
        """Stores that an order waits, and serves what the engine holds."""
        stored = self._store(task, waiting)
        if stored is not None:
            state = self._calls.read_state(stored.upstream)
            self._sync_row(stored, state.ok())

    def _store(
        self, task: ordertasks.Task, order: modelrecords.Order
    ) -> ordertasks.Task | None:
        if not self._tasks.put(task, order):
            return None
        return self._tasks.reread(task._replace(order=order))

    def set_served(
        self,
        task: ordertasks.Task,
        names: frozenset[str],
        is_served: bool,
    ) -> bool:
        """Changes the engine's row unless the order has changed since."""
        # The row that this VM applies may be older than the stored one, so
        # the stored row is read even if nothing seems to change.
        edited = self._served.set_served(
            task.upstream.upstream,
            names,
            is_served,
            lambda: self._tasks.is_unchanged(task),
        )
        return edited.is_ok()

    def _finish(
        self,
        task: ordertasks.Task,
        state: modelrecords.OrderState,
        reason: str,
        engine: modelrecords.EngineState | None,
    ) -> bool:
        # The end is stored last: if this VM dies before, the order stays
        # open, and the next VM repeats these steps.
        if not self._sync_row(task, engine):
            return False
        if not self._release_permit(task):
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

    def _sync_row(
        self,
        task: ordertasks.Task,
        engine: modelrecords.EngineState | None,
    ) -> bool:
        """Makes the row name the models held; no change if that is unknown."""
        if engine is None or not task.is_configured:
            return True
        held = {loaded.model for loaded in engine.models}
        for is_served in (True, False):
            names = frozenset(
                name
                for name in task.affected_models
                if (name in held) == is_served
            )
            if names and not self.set_served(task, names, is_served):
                return False
        return True

    def _release_permit(self, task: ordertasks.Task) -> bool:
        if task.order.action != "load":
            return True
        return self._permits.release(task.record.upstream)
