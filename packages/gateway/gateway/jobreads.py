"""Bounds the parts of jobs that are read at once for callers.

The load that it answers: many callers who read jobs with large results, or
large items, at the same moment. Each read holds a page of a job as it was
received and as it is decoded, whatever its caller then gets of it.
"""

from collections.abc import Iterator
import contextlib
import threading

from bulrushdeal import eventlog
from bulrushdeal import exchanges

_events = eventlog.Events("jobs")

# A page of results of the store while it is received and decoded.
_STORED_PAGE_BYTES = 2_000_000
# The part of what may be held for all callers that reads of the store may take.
_STORED_SHARE = 0.25
# Reads from other VMs. They are smaller, and one that is lost has to time out.
_PEER_READS = 8
# How long a read waits for others to end before it is refused. Most take a few
# milliseconds.
_WAIT_S = 1.0


def of_store(limit_bytes: int) -> "JobReads":
    """Returns the bound on reads of the store.

    Args:
        limit_bytes: The memory that may be held for all callers together.
    """
    count = int(limit_bytes * _STORED_SHARE) // _STORED_PAGE_BYTES
    return JobReads(max(count, 1), _STORED_PAGE_BYTES)


def of_peers() -> "JobReads":
    """Returns the bound on reads from other VMs."""
    return JobReads(_PEER_READS, 0)


class JobReads:
    """The reads of one kind that may be under way at once.

    Args:
        count: How many may be.
        read_bytes: What is held for each.
    """

    def __init__(self, count: int, read_bytes: int) -> None:
        self._count = count
        self._read_bytes = read_bytes
        self._permits = threading.BoundedSemaphore(count)

    @contextlib.contextmanager
    def begin(self, exchange: exchanges.Exchange) -> Iterator[bool]:
        """Makes room for one read, for as long as the context is open.

        Args:
            exchange: The account of what is held for the caller.

        Yields:
            Whether there is room.
        """
        if not self._permits.acquire(timeout=_WAIT_S):
            exchange.count("reads_full")
            _events.sampled_info("reads_full", limit=self._count)
            yield False
            return
        held_bytes = exchange.held_bytes
        try:
            yield exchange.grow(self._read_bytes)
        finally:
            exchange.shrink_to(held_bytes)
            self._permits.release()
