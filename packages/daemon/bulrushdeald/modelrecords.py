"""The records of orders to engines, and what an order makes of an engine."""

import json
from typing import Literal, NamedTuple

from bulrushdeal import codec

PREFIX = "orders/"
MAX_OPEN = 16
_MAX_ENDED = 16

Action = Literal["load", "unload", "role"]
Role = Literal["", "mixed", "prefill", "decode"]
OrderState = Literal["waiting", "draining", "sent", "failing", "done", "failed"]


class Loaded(NamedTuple):
    """A model or adapter that an engine holds.

    Attributes:
        model: The name that callers ask for.
        version: Which weights; empty for those the engine takes by itself.
        base: The model that an adapter belongs to; empty for a model.
    """

    model: str
    version: str = ""
    base: str = ""


class EngineState(NamedTuple):
    """What an engine holds, as it says itself."""

    models: tuple[Loaded, ...] = ()
    role: Role = ""


class Order(NamedTuple):
    """One order of an operator to an engine.

    Attributes:
        number: Counts the engine's orders; they are carried out in turn.
        action: A `load` also replaces another version of the same model.
        model: The model or adapter, for load and unload.
        version: The version to load.
        base: The model that an adapter is loaded beside.
        role: The role, for `role`.
        state: `draining`: the model is out of the engine's row, and the
            requests that run end. `sent`: it may be on its way. `failing`:
            it is not sent any more, and its end is being stored.
        reason: Why it failed, or what it waits for.
        fence: The fencing number that it was sent with last.
        accepted_wall_s: When, for people and for the deadline.
        ended_wall_s: When it was done or failed, for people.
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
        """Whether it has still to be carried out."""
        return self.state not in ("done", "failed")


class EngineOrders(NamedTuple):
    """The record of one engine; it stays, so its numbers never go back.

    Attributes:
        upstream: The engine.
        fence: The greatest fencing number given out; each sending takes the
            next one by the compare-and-swap that marks the order `sent`.
        vm: The VM that sent last.
        incarnation: The run of that VM's process.
        orders: Open ones, and some that ended, by number.
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
        """The order whose turn it is."""
        return next((order for order in self.orders if order.is_open), None)


def key(upstream: str) -> str:
    """Returns the key of an engine's record."""
    return PREFIX + upstream


def dump(record: EngineOrders) -> bytes:
    """Returns a record as JSON, which operators can read."""
    return json.dumps(codec.to_object(record), separators=(",", ":")).encode()


def load(value: bytes) -> EngineOrders:
    """Returns the record in `value`.

    Raises:
        codec.CodecError: It is no such record.
    """
    try:
        plain = json.loads(value)
    except ValueError as error:
        raise codec.CodecError(f"not a record: {error}") from error
    return codec.from_plain(EngineOrders, plain)


def same_open(record: EngineOrders, asked: Order) -> Order | None:
    """Returns the newest order if it is open and asks for the same.

    A request whose answer was lost is sent again by its operator; it must
    not become a second order.
    """
    newest = record.orders[-1] if record.orders else None
    if newest is None or not newest.is_open:
        return None
    return newest if _asked(newest) == _asked(asked) else None


def accept(record: EngineOrders, asked: Order) -> EngineOrders:
    """Appends an order and forgets the oldest ones that ended."""
    last = record.orders[-1].number if record.orders else 0
    ended = [order for order in record.orders if not order.is_open]
    kept = ended[-_MAX_ENDED:]
    still = [order for order in record.orders if order.is_open]
    order = asked._replace(number=last + 1)
    return record._replace(orders=(*kept, *still, order))


def replace(record: EngineOrders, order: Order) -> EngineOrders:
    """Puts an order in the place of the one with its number."""
    orders = tuple(
        order if held.number == order.number else held for held in record.orders
    )
    return record._replace(orders=orders)


def shows(engine: EngineState, order: Order) -> bool:
    """Tells whether an engine's state is what an order asks for."""
    if order.action == "role":
        return engine.role == order.role
    if order.action == "unload":
        return all(held.model != order.model for held in engine.models)
    wanted = Loaded(order.model, order.version, order.base)
    if order.version:
        return wanted in engine.models
    # Without a version any version of it will do.
    return any(held._replace(version="") == wanted for held in engine.models)


def wanted(record: EngineOrders) -> EngineState:
    """Returns what the engine is to hold when all open orders are done."""
    engine = record.engine
    for order in record.orders:
        if order.is_open:
            engine = applied(engine, order)
    return engine


def applied(engine: EngineState, order: Order) -> EngineState:
    """Returns what an order makes of an engine's state."""
    if order.action == "role":
        return engine._replace(role=order.role)
    # An adapter is gone with the model that it belongs to.
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


def _asked(order: Order) -> tuple[str, ...]:
    return (
        order.action,
        order.model,
        order.version,
        order.base,
        order.role,
    )
