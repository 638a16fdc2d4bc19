"""The records of orders to engines, and an order's effect on an engine."""

import json
from typing import Literal, NamedTuple

from bulrushdeal import codec
from bulrushdeal import jsontext

PREFIX = "orders/"
MAX_OPEN = 16
_MAX_ENDED = 16

Action = Literal["load", "unload", "role"]
Role = Literal["", "mixed", "prefill", "decode"]
OrderState = Literal["waiting", "draining", "sent", "failing", "done", "failed"]


class Loaded(NamedTuple):
    """A model or adapter that an engine holds.

    Attributes:
        model: The name that callers request.
        version: The version of the weights; empty for the engine's default.
        base: The model that an adapter belongs to; empty for a model.
    """

    model: str
    version: str = ""
    base: str = ""


class EngineState(NamedTuple):
    """What an engine reports that it holds."""

    models: tuple[Loaded, ...] = ()
    role: Role = ""


class Order(NamedTuple):
    """An operator's order to an engine.

    Attributes:
        number: Counts the engine's orders, which run in this sequence.
        action: A `load` also replaces another version of the same model.
        model: The model or adapter, for load and unload.
        version: The version to load.
        base: The model that an adapter is loaded beside.
        role: The role, for `role`.
        state: `draining`: the model is being taken out of the engine's row,
            and its running requests end. `sent`: the order may be in flight.
            `failing`: the order is not sent again, and its failure is being
            stored.
        reason: Why it failed, or what it waits for.
        fence: The fencing number with which it was last sent.
        accepted_wall_s: When it was accepted, in seconds of wall-clock time;
            for operators and for the deadline.
        ended_wall_s: When it was done or failed, in seconds of wall-clock
            time; for operators.
    """

    number: int
    action: Action
    model: str = ""
    version: str = ""
    base: str = ""
    role: Role = ""
    state: OrderState = "waiting"
    reason: str = ""
    fence: int = 0
    accepted_wall_s: float = 0.0
    ended_wall_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the order is neither done nor failed."""
        return self.state not in ("done", "failed")


class EngineOrders(NamedTuple):
    """The record of one engine.

    The record is never deleted, so its numbers never decrease.

    Attributes:
        upstream: The engine.
        fence: The greatest fencing number assigned; each sending gets the
            next one by the compare-and-swap that marks the order `sent`.
        vm: The VM that last sent an order.
        incarnation: The run of that VM's process.
        orders: The open orders and the latest ended ones, by number.
        engine: What the engine held when an order last ended.
    """

    upstream: str
    fence: int = 0
    vm: str = ""
    incarnation: str = ""
    orders: tuple[Order, ...] = ()
    engine: EngineState = EngineState()

    @property
    def first_open(self) -> Order | None:
        """The open order with the lowest number, which runs next."""
        return next((order for order in self.orders if order.is_open), None)


def key(upstream: str) -> str:
    """Returns the key of an engine's record."""
    return PREFIX + upstream


def dump(record: EngineOrders) -> bytes:
    """Encodes a record as JSON, which operators can read."""
    return json.dumps(codec.to_object(record), separators=(",", ":")).encode()


def load(value: bytes) -> EngineOrders:
    """Decodes a record.

    Raises:
        codec.CodecError: `value` is not a record of orders.
    """
    try:
        plain = jsontext.parse(value)
    except ValueError as error:
        raise codec.CodecError(f"not a record: {error}") from error
    return codec.from_plain(EngineOrders, plain)


def find_duplicate(record: EngineOrders, asked: Order) -> Order | None:
    """Returns the newest order if it is open and has the same content.

    An operator who did not get the answer to a request repeats it; the
    repetition must not become a second order.
    """
    newest = record.orders[-1] if record.orders else None
    if newest is None or not newest.is_open:
        return None
    return newest if _content(newest) == _content(asked) else None


def append_order(record: EngineOrders, asked: Order) -> EngineOrders:
    """Appends an order and drops the oldest ended ones."""
    last = record.orders[-1].number if record.orders else 0
    ended = [order for order in record.orders if not order.is_open]
    kept = ended[-_MAX_ENDED:]
    open_orders = [order for order in record.orders if order.is_open]
    order = asked._replace(number=last + 1)
    return record._replace(orders=(*kept, *open_orders, order))


def replace_order(record: EngineOrders, order: Order) -> EngineOrders:
    """Replaces the order with the same number."""
    orders = tuple(
        order if held.number == order.number else held for held in record.orders
    )
    return record._replace(orders=orders)


def satisfies(engine: EngineState, order: Order) -> bool:
    """Returns whether an engine's state satisfies an order."""
    if order.action == "role":
        return engine.role == order.role
    if order.action == "unload":
        return all(held.model != order.model for held in engine.models)
    wanted = Loaded(order.model, order.version, order.base)
    if order.version:
        return wanted in engine.models
    # An order without a version accepts any version of the model.
    return any(held._replace(version="") == wanted for held in engine.models)


def target_state(record: EngineOrders) -> EngineState:
    """Returns the engine's state after all open orders are done."""
    engine = record.engine
    for order in record.orders:
        if order.is_open:
            engine = apply_order(engine, order)
    return engine


def apply_order(engine: EngineState, order: Order) -> EngineState:
    """Returns an engine's state after an order is done."""
    if order.action == "role":
        return engine._replace(role=order.role)
    # Unloading a model also drops its adapters.
    others = tuple(
        held
        for held in engine.models
        if held.model != order.model
        and (order.action == "load" or held.base != order.model)
    )
    if order.action == "unload":
        return engine._replace(models=others)
    added = Loaded(order.model, order.version, order.base)
    return engine._replace(models=(*others, added))


def _content(order: Order) -> tuple[str, ...]:
    return (
        order.action,
        order.model,
        order.version,
        order.base,
        order.role,
    )
