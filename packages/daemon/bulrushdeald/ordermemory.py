"""What a VM remembers of an engine's orders; nothing of it has to last."""

from typing import NamedTuple


class Draining(NamedTuple):
    """One drain: its order, and the last fencing number given out before."""

    number: int
    fence: int


class Kept:
    """What one VM remembers of an engine whose orders are under way.

    Attributes:
        drained_since_s: When the model was taken out of the engine's row.
        quiet_since_s: For each fencing number, since when its sender is
            known to send no more; minus infinity if nothing is under way.
            Both by this VM's own monotonic clock.
    """

    def __init__(self) -> None:
        self.drained_since_s: dict[Draining, float] = {}
        self.quiet_since_s: dict[int, float] = {}
