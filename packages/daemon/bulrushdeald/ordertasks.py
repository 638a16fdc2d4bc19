"""Reads and writes the order records; each engine's orders run in sequence."""

from typing import NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import modelrecords
from bulrushdeald import services

_log = logs.Log("orders")
_MAX_ATTEMPTS = 5


class Task(NamedTuple):
    """An engine's record as it was read, and its first open order.

    Attributes:
        entry: The stored entry of the record.
        record: The decoded record.
        order: The first open order in the record.
        upstream: The engine's row; its address is empty if the configuration
            has no row for the engine.
    """

    entry: services.Entry
    record: modelrecords.EngineOrders
    order: modelrecords.Order
    upstream: records.Upstream

    @property
    def is_configured(self) -> bool:
        """Whether the configuration has a row for the engine."""
        return bool(self.upstream.address)

    @property
    def affected_models(self) -> frozenset[str]:
        """The model and adapters that are not served during the order."""
        if self.order.action == "role":
            return frozenset()
        adapters = {
            loaded.model
            for loaded in self.record.engine.models
            if loaded.base == self.order.model
        }
        return frozenset({self.order.model, *adapters})


class TaskStore:
    """Stores the state of orders, unless another VM has advanced them."""

    def __init__(
        self, keyvalue: services.KeyValue, config: services.Config
    ) -> None:
        self._keyvalue = keyvalue
        self._config = config

    def read(
        self, upstream: str
    ) -> result.Result[Task | None, services.KeyValueError]:
        """Reads the engine's first open order; `None` if there is none."""
        read = self._keyvalue.get(modelrecords.key(upstream))
        if isinstance(read, result.Err):
            return read
        record = _decode(read.ok_value)
        if read.ok_value is None or record is None:
            return result.Ok(None)
        order = record.first_open
        if order is None:
            return result.Ok(None)
        row = self._row(upstream)
        return result.Ok(Task(read.ok_value, record, order, row))

    def _row(self, upstream: str) -> records.Upstream:
        for row in self._config.upstreams():
            if row.upstream == upstream and row.kind == "engine":
                return row
        return records.Upstream(upstream, "engine", "", "", "")

    def put(
        self,
        task: Task,
        order: modelrecords.Order,
        engine: modelrecords.EngineState | None = None,
    ) -> bool:
        """Stores an order's new state.

        Args:
            task: The task as it was read; the write is refused if the stored
                order has changed since.
            order: The order that replaces the task's.
            engine: What the engine holds, if it was read.

        Returns:
            True if the write succeeded; false if it failed or its outcome is
            unknown.
        """
        entry: services.Entry | None = task.entry
        record: modelrecords.EngineOrders | None = task.record
        for _ in range(_MAX_ATTEMPTS):
            if (
                entry is None
                or record is None
                or not _is_unchanged(record, task)
            ):
                return False
            changed = modelrecords.replace_order(record, order)
            if engine is not None:
                changed = changed._replace(engine=engine)
            put = self._keyvalue.put(
                entry.key, modelrecords.dump(changed), entry.revision
            )
            if isinstance(put, result.Ok):
                return True
            if put.err_value.kind != "conflict":
                return False
            # An operator may have added an order meanwhile.
            entry = put.err_value.current
            record = _decode(entry)
        return False

    def mark_sent(self, task: Task, vm: str, incarnation: str) -> Task | None:
        """Marks an order `sent` with the next fencing number.

        Returns:
            The task with that number, which no other VM can get; `None` if
            another VM's write came first or the outcome is unknown.
        """
        fence = task.record.fence + 1
        sent = task.order._replace(state="sent", fence=fence, reason="")
        record = modelrecords.replace_order(task.record, sent)._replace(
            fence=fence, vm=vm, incarnation=incarnation
        )
        data = modelrecords.dump(record)
        put = self._keyvalue.put(task.entry.key, data, task.entry.revision)
        if isinstance(put, result.Err):
            return None
        entry = services.Entry(task.entry.key, data, put.ok_value)
        return Task(entry, record, sent, task.upstream)

    def is_unchanged(self, task: Task) -> bool:
        """Reads whether the task's order is still the first open one.

        Returns:
            True if its state and the fencing number are those of the task;
            false also if the record cannot be read.
        """
        read = self._keyvalue.get(task.entry.key)
        if isinstance(read, result.Err):
            return False
        record = _decode(read.ok_value)
        return record is not None and _is_unchanged(record, task)

    def reread(self, task: Task) -> Task | None:
        """Reads a task again; `None` if it has changed or is unreadable."""
        read = self.read(task.record.upstream)
        if isinstance(read, result.Err) or read.ok_value is None:
            return None
        fresh = read.ok_value
        return fresh if _is_unchanged(fresh.record, task) else None


def _is_unchanged(record: modelrecords.EngineOrders, task: Task) -> bool:
    order = record.first_open
    return (
        order is not None
        and order.number == task.order.number
        and order.state == task.order.state
        and record.fence == task.record.fence
    )


def _decode(
    entry: services.Entry | None,
) -> modelrecords.EngineOrders | None:
    if entry is None:
        return None
    try:
        return modelrecords.load(entry.value)
    except codec.CodecError as error:
        _log.error("Orders %s are unreadable: %s.", entry.key, error)
        return None
