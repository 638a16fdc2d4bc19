"""Decides which exchange with a caller yields when room runs out.

The load that it answers: more callers than there are threads, or memory, who
send their requests or read their answers in drops, or not at all. Whoever
waits for room is served sooner by ending one of these than by waiting for it.
"""

from collections.abc import Iterable
from typing import Literal, Protocol, TypeVar

# What an exchange waits for: the caller's bytes, something else, or that the
# caller reads.
Phase = Literal["reading", "serving", "sending"]

# How long a transfer makes no progress before it may yield. Sound callers send
# and read faster, also over a link that loses a packet.
MIN_STALL_S = 1.0
# So many bytes are progress. A byte now and then is none.
PROGRESS_BYTES = 4096


class Transfer(Protocol):
    """An exchange that may have to yield."""

    @property
    def phase(self) -> Phase:
        """What it waits for."""

    @property
    def progressed_s(self) -> float:
        """When it last made progress, by the monotonic clock."""


T = TypeVar("T", bound=Transfer)


def first_to_yield(transfers: Iterable[T], now_s: float) -> T | None:
    """Returns the transfer that is the least loss to end, if any may end.

    Unfinished requests come first: they have not run, and their callers may
    send them again. Among these, and then among the answers that are read
    slowly, it is the one that has made no progress for the longest time.

    Args:
        transfers: The transfers under way.
        now_s: The time, by the monotonic clock.
    """
    stalled = [
        row
        for row in transfers
        if row.phase != "serving" and now_s - row.progressed_s >= MIN_STALL_S
    ]
    return min(
        stalled,
        key=lambda row: (row.phase != "reading", row.progressed_s),
        default=None,
    )
