"""A VM's in-memory state of the orders of an engine; none of it is durable."""

from typing import NamedTuple


class DrainId(NamedTuple):
    """Identifies one drain of an engine.

    Attributes:
        number: The number of the order.
        fence: The last fencing number assigned before the drain.
    """

    number: int
    fence: int


class EngineMemory:
    """What one VM remembers of an engine with an order in progress.

    All times are in seconds of this VM's own monotonic clock.

    Attributes:
        drain_started_s: For each drain, when the model was taken out of the
            engine's row.
        in_flight_since_s: For each fencing number, the time from which the
            longest possible flight of its order is counted; minus infinity
            if the order is not in flight.
    """

    def __init__(self) -> None:
        self.drain_started_s: dict[DrainId, float] = {}
        self.in_flight_since_s: dict[int, float] = {}
