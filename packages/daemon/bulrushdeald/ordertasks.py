"""Reads and writes the records of orders, each order in its turn."""

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
    """One engine's record as it was read, and the order whose turn it is.

    Attributes:
        entry: The record as stored.
        record: The same, decoded.
        order: The first open order in it.
        upstream: The engine's row; without an address if it has none.
    """

    entry: services.Entry
    record: modelrecords.EngineOrders
    order: modelrecords.Order
    upstream: records.Upstream

    @property
    def is_known(self) -> bool:
        """Whether the operators still list the engine."""
        return bool(self.upstream.address)

    @property
    def names(self) -> frozenset[str]:
        """What callers cannot ask for while the order is carried out."""
        if self.order.action == "role":
            return frozenset()
        adapters = {
            loaded.model
            for loaded in self.record.engine.models
            if loaded.base == self.order.model
        }
        return frozenset({self.order.model, *adapters})


class TaskStore:
    """Stores what became of an order, unless its turn went to another VM."""

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
        """Stores an order's new state; false if that is not known to be done.

        Args:
            task: As it was read; its turn must not have gone by.
            order: In the place of the task's.
            engine: What the engine holds, if it was read.
        """
        entry: services.Entry | None = task.entry
        record: modelrecords.EngineOrders | None = task.record
        for _ in range(_MAX_ATTEMPTS):
            if entry is None or record is None or not _same_turn(record, task):
                return False
            changed = modelrecords.replace(record, order)
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

    def announce(self, task: Task, vm: str, incarnation: str) -> Task | None:
        """Marks an order `sent` with the next fencing number.

        Returns:
            The task with that number, which nobody else has; `None` if
            another VM was faster or nobody knows.
        """
        fence = task.record.fence + 1
        sent = task.order._replace(state="sent", fence=fence, reason="")
        record = modelrecords.replace(task.record, sent)._replace(
            fence=fence, vm=vm, incarnation=incarnation
        )
        data = modelrecords.dump(record)
        put = self._keyvalue.put(task.entry.key, data, task.entry.revision)
        if isinstance(put, result.Err):
            return None
        entry = services.Entry(task.entry.key, data, put.ok_value)
        return Task(entry, record, sent, task.upstream)

    def is_same_turn(self, task: Task) -> bool:
        """Reads whether an order is still as it was, and not superseded."""
        read = self._keyvalue.get(task.entry.key)
        if isinstance(read, result.Err):
            return False
        record = _decode(read.ok_value)
        return record is not None and _same_turn(record, task)

    def read_again(self, task: Task) -> Task | None:
        """Reads a task anew; `None` if it is not its turn or unreadable."""
        read = self.read(task.record.upstream)
        if isinstance(read, result.Err) or read.ok_value is None:
            return None
        fresh = read.ok_value
        return fresh if _same_turn(fresh.record, task) else None


def _same_turn(record: modelrecords.EngineOrders, task: Task) -> bool:
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
