"""The requests being served on callers' connections, and what they hold.

A `Room` keeps one account of the memory that is held for all callers: bodies
that arrive, answers that are not sent yet, jobs that are decoded. Memory is
taken from the account before it is used. What finds no room makes the least
useful exchange yield, or is refused.
"""

import collections
from collections.abc import Mapping
import contextlib
import socket
import threading
import time
from typing import Literal

from bulrushdeal import eventlog
from bulrushdeal import yielding

_events = eventlog.Events("exchanges")

EndReason = Literal["", "yielded", "overdue", "late_answer"]

DEFAULT_LIMIT_BYTES = 32_000_000
# An exchange that holds more is a large one. These have a part of the account
# of their own, so that they leave room for ordinary requests.
_SMALL_BYTES = 64 * 1024
_LARGE_SHARE = 0.625
# What small exchanges have.
_SMALL_SHARE = 0.25
# What heads have that are not whole yet. No exchange has begun for them.
_HEADS_SHARE = 0.125
# The part of what small exchanges may hold that is kept for those that cannot
# be served without it.
_RESERVED_SHARE = 0.25
# How long an exchange that yields may take to give back what it holds.
_YIELD_WAIT_S = 0.5


class Exchange:
    """One request and its answer, served by one thread.

    Attributes:
        phase: What it waits for.
        progressed_s: When it last made progress in what it waits for, by the
            monotonic clock.
        due_s: When the request has to be whole, by the monotonic clock.
        held_bytes: The memory that is held for it.
        end_reason: Why it was ended from outside; empty if it was not.
        group: What shares a pool of threads with it.
    """

    __slots__ = (
        "_moved_bytes",
        "_room",
        "_socket",
        "due_s",
        "end_reason",
        "group",
        "held_bytes",
        "phase",
        "progressed_s",
    )

    def __init__(
        self, room: "Room", sock: socket.socket | None, group: object
    ) -> None:
        self._room = room
        self._socket = sock
        self._moved_bytes = 0
        self.group = group
        self.phase: yielding.Phase = "serving"
        self.progressed_s = time.monotonic()
        self.due_s = float("inf")
        self.held_bytes = 0
        self.end_reason: EndReason = ""

    def begin_read(self) -> None:
        """Notes that the thread waits for bytes of the request."""
        self.phase = "reading"

    def end_read(self, size_bytes: int) -> None:
        """Notes that bytes of the request have come."""
        self.phase = "serving"
        self._moved_bytes += size_bytes
        if self._moved_bytes >= yielding.PROGRESS_BYTES:
            self._moved_bytes = 0
            self.progressed_s = time.monotonic()

    def begin_send(self) -> None:
        """Notes that the thread sends, and may wait for the caller to read."""
        self.progressed_s = time.monotonic()
        self.phase = "sending"

    def end_send(self) -> None:
        """Notes that the caller's system has taken what was sent."""
        self.phase = "serving"

    def grow(self, size_bytes: int, *, makes_room: bool = True) -> bool:
        """Takes memory; returns whether there was room. See `Room.grow`."""
        return self._room.grow(self, size_bytes, makes_room=makes_room)

    def shrink_to(self, size_bytes: int) -> None:
        """Gives back what is held beyond a number of bytes."""
        self._room.shrink_to(self, size_bytes)

    def end(self, reason: EndReason) -> None:
        """Ends the exchange: the thread's read or write fails."""
        if self.end_reason or self._socket is None:
            return
        self.end_reason = reason
        is_reading = self.phase == "reading"
        # A request can still be refused while no more of it is read.
        how = socket.SHUT_RD if is_reading else socket.SHUT_RDWR
        # Fails if the caller has closed the connection.
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)

    def count(self, why: str) -> None:
        """Counts that the caller was cut short. See `Room.counts`."""
        self._room.count(why)

    def end_blocked_send(self) -> None:
        """Ends the exchange if its caller does not read."""
        if self.phase == "sending":
            self._room.count("late_answer")
            self.end("late_answer")


class Room:
    """All exchanges of a process, and the memory that they may hold.

    Args:
        limit_bytes: The memory that all exchanges together may hold.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._condition = threading.Condition()
        self._exchanges: set[Exchange] = set()
        self._held_bytes = 0
        # The part of it that large exchanges hold.
        self._large_bytes = 0
        # What is held for heads that are not whole yet. It has a lock of its
        # own, so that accepting threads never wait behind all exchanges.
        self._heads_lock = threading.Lock()
        self._heads_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def limit_bytes(self) -> int:
        """The memory that all exchanges together may hold."""
        return self._limit_bytes

    def held_bytes(self) -> int:
        """Returns the memory that is held for callers now."""
        return self._held_bytes + self._heads_bytes

    def hold_heads(self, change_bytes: int) -> None:
        """Takes memory for heads that are not whole, or gives it back."""
        with self._heads_lock:
            self._heads_bytes += change_bytes

    def has_too_many_heads(self) -> bool:
        """Returns whether heads that are not whole hold more than they may."""
        return self._heads_bytes > self._limit_bytes * _HEADS_SHARE

    def counts(self) -> Mapping[str, int]:
        """Returns how often callers were cut short, by why."""
        with self._condition:
            return dict(self._counts)

    def count(self, why: str) -> None:
        """Counts that a caller was cut short."""
        with self._condition:
            self._counts[why] += 1

    def begin(
        self, sock: socket.socket | None = None, group: object = None
    ) -> Exchange:
        """Adds an exchange; `finish` has to be called at its end.

        Args:
            sock: The connection; `None` if it cannot be ended from outside.
            group: What shares a pool of threads with it.
        """
        exchange = Exchange(self, sock, group)
        with self._condition:
            self._exchanges.add(exchange)
        return exchange

    def finish(self, exchange: Exchange) -> None:
        """Removes an exchange and gives back all that it holds."""
        with self._condition:
            self._exchanges.discard(exchange)
            if exchange.held_bytes:
                self._hold(exchange, 0)

    def grow(
        self, exchange: Exchange, size_bytes: int, *, makes_room: bool = True
    ) -> bool:
        """Takes memory for an exchange; returns whether there was room.

        A large exchange that is the only one gets all that it needs, so the
        largest request that the limits allow can be served beside small ones.

        Args:
            exchange: The exchange.
            size_bytes: How much more it is to hold.
            makes_room: Whether the exchange that is the least loss to end
                yields if there is no room; false if it can do without.
        """
        with self._condition:
            has_room = self._has_room(
                exchange, size_bytes, keeps_reserve=not makes_room
            )
            if not has_room and makes_room:
                has_room = self._make_room(exchange, size_bytes)
            if not has_room:
                self._counts["no_memory"] += 1
                self._log("no_memory", size_bytes)
                return False
            self._hold(exchange, exchange.held_bytes + size_bytes)
        return True

    def _make_room(self, exchange: Exchange, size_bytes: int) -> bool:
        """Has others yield, and waits until they have given back enough."""
        is_large = exchange.held_bytes + size_bytes > _SMALL_BYTES
        now_s = time.monotonic()
        end_s = now_s + _YIELD_WAIT_S
        while not self._has_room(exchange, size_bytes, keeps_reserve=False):
            others = [
                row
                for row in self._exchanges
                if row is not exchange
                and row.held_bytes
                and (row.held_bytes > _SMALL_BYTES) == is_large
            ]
            is_yielding = self._end_first(others, now_s) or any(
                row.end_reason for row in others
            )
            if now_s >= end_s or not is_yielding:
                return False
            self._condition.wait(end_s - now_s)
            now_s = time.monotonic()
        return True

    def shrink_to(self, exchange: Exchange, size_bytes: int) -> None:
        """Gives back what an exchange holds beyond a number of bytes."""
        with self._condition:
            kept_bytes = min(exchange.held_bytes, max(size_bytes, 0))
            self._hold(exchange, kept_bytes)

    def make_thread_yield(self, group: object) -> bool:
        """Ends the exchange of a group whose thread is the least loss."""
        with self._condition:
            rows = [row for row in self._exchanges if row.group is group]
            return self._end_first(rows, time.monotonic())

    def end_overdue(self, now_s: float) -> None:
        """Ends the exchanges whose requests should be whole by now."""
        with self._condition:
            overdue = [
                row
                for row in self._exchanges
                if row.due_s <= now_s
                and row.phase == "reading"
                and not row.end_reason
            ]
            if not overdue:
                return
            self._counts["overdue"] += len(overdue)
        for exchange in overdue:
            exchange.end("overdue")
        self._log("overdue", 0, count=len(overdue))

    def _has_room(
        self, exchange: Exchange, size_bytes: int, *, keeps_reserve: bool
    ) -> bool:
        """Returns whether an exchange may hold so many more bytes.

        Small and large exchanges have a part of the account each.
        """
        own_bytes = exchange.held_bytes + size_bytes
        if own_bytes > _SMALL_BYTES:
            others_bytes = self._large_bytes - _large_bytes(exchange.held_bytes)
            limit_bytes = self._limit_bytes * _LARGE_SHARE
            return not others_bytes or others_bytes + own_bytes <= limit_bytes
        limit_bytes = self._limit_bytes * _SMALL_SHARE
        if keeps_reserve:
            limit_bytes *= 1 - _RESERVED_SHARE
        small_bytes = self._held_bytes - self._large_bytes
        return small_bytes + size_bytes <= limit_bytes

    def _hold(self, exchange: Exchange, held_bytes: int) -> None:
        """Sets what an exchange holds."""
        before_bytes = exchange.held_bytes
        exchange.held_bytes = held_bytes
        self._held_bytes += held_bytes - before_bytes
        self._large_bytes += _large_bytes(held_bytes)
        self._large_bytes -= _large_bytes(before_bytes)
        if held_bytes < before_bytes:
            self._condition.notify_all()

    def _end_first(self, rows: list[Exchange], now_s: float) -> bool:
        """Ends the one that is the least loss; returns whether any may go."""
        sound = [row for row in rows if not row.end_reason]
        found = yielding.first_to_yield(sound, now_s)
        if found is None:
            return False
        self._counts["yielded"] += 1
        self._log(
            "yielded",
            found.held_bytes,
            phase=found.phase,
            stalled_s=round(now_s - found.progressed_s, 3),
        )
        found.end("yielded")
        return True

    def _log(self, event: str, size_bytes: int, **fields: object) -> None:
        _events.sampled_info(
            event,
            bytes=size_bytes,
            held_bytes=self._held_bytes,
            limit_bytes=self._limit_bytes,
            exchanges=len(self._exchanges),
            **fields,
        )


def _large_bytes(held_bytes: int) -> int:
    """Returns what an exchange holds of the part for large ones."""
    return held_bytes if held_bytes > _SMALL_BYTES else 0


_UNLIMITED = Room(1 << 62)


def detached() -> Exchange:
    """Returns an exchange without a connection, whose memory is not counted."""
    return Exchange(_UNLIMITED, None, None)
