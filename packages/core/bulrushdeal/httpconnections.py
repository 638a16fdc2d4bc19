"""The connections of a server that no thread serves at the moment.

A thread is taken by a request whose head is whole, so connections that say
nothing, or never finish a head, cost a descriptor each and no thread.
"""

import collections
from collections.abc import Iterable
import errno
import selectors
import socket
import threading
import time
from typing import Any, Literal, NamedTuple

import cheroot.connections

from bulrushdeal import eventlog

_events = eventlog.Events("httpd")

# Why no thread serves a connection: no whole head has come; it is kept for the
# next request; its last answer was sent before its request was read.
State = Literal["unfinished", "kept", "closing"]

_TICK_S = 0.5
# Those that are the least loss to close come first.
_CLOSING_ORDER: tuple[State, ...] = ("closing", "unfinished", "kept")
# What is read and dropped of a request that was answered before it was whole,
# so that its caller gets the answer and no reset.
_MAX_DROPPED_BYTES = 256 * 1024
_DROPPING_S = 2.0
# How many connections are accepted before open ones are looked at again.
_MAX_ACCEPTED = 64
# The accepting thread pauses so long when the process has no descriptor left.
_NO_DESCRIPTOR_PAUSE_S = 0.05
_NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_LATE_HEAD_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class Limits(NamedTuple):
    """Limits on the connections of one server.

    Attributes:
        connections: How many may be open at once.
        head_timeout_s: How long a head may take from its first byte.
    """

    connections: int = 2000
    head_timeout_s: float = 60.0


class Connections(cheroot.connections.ConnectionManager):
    """Accepts connections and gathers the heads of requests.

    Args:
        server: The server that is given the connections with a whole head.
    """

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        self.limits = Limits()
        self._lock = threading.Lock()
        # By state, those that have waited for the longest time first.
        self._idle: dict[State, dict[Any, None]] = {
            state: {} for state in _CLOSING_ORDER
        }
        self._open = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def open_count(self) -> int:
        """Returns the number of open connections."""
        return self._open

    def counts(self) -> dict[str, int]:
        """Returns how many connections were closed early, by why."""
        with self._lock:
            return dict(self._counts)

    def on_refused(self) -> None:
        """Notes that a connection found no thread and no place to wait."""
        self._count("no_thread")

    def on_closed(self) -> None:
        """Notes that a connection was closed."""
        with self._lock:
            self._open -= 1

    def put(self, conn: Any) -> None:
        """Takes a connection back after a request was answered."""
        conn.last_used = time.monotonic()
        if conn.rfile.has_head(self.server.max_request_header_size):
            self.server.process_conn(conn)
            return
        if conn.rfile.has_data():
            conn.head_since_s = conn.last_used
            self._watch(conn, "unfinished")
            return
        self._watch(conn, "kept")

    def linger(self, conn: Any) -> None:
        """Closes a connection after what still arrives was dropped."""
        conn.last_used = time.monotonic()
        # Nobody reads the rest of its request. Held on, it would count as a
        # head, and others would be closed to make room for it.
        _drop_buffered(conn)
        try:
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            conn.close_now()
            return
        self._watch(conn, "closing")

    def close(self) -> None:
        """Closes all connections that no thread serves."""
        with self._lock:
            rows = [conn for group in self._idle.values() for conn in group]
            for group in self._idle.values():
                group.clear()
            self.server.room.hold_heads(-sum(row.idle_bytes for row in rows))
        for conn in rows:
            conn.close_now()
        self._untyped()._selector.close()

    def _run(self, expiration_interval: float) -> None:
        del expiration_interval
        next_tick_s = time.monotonic() + _TICK_S
        while not self._untyped()._stop_requested:
            for _, conn in self._untyped()._selector.select(timeout=_TICK_S):
                if conn is self.server:
                    self._accept_waiting()
                else:
                    self._on_readable(conn)
            now_s = time.monotonic()
            if now_s >= next_tick_s:
                next_tick_s = now_s + _TICK_S
                self._close_overdue(now_s)
                self.server.room.end_overdue(now_s)
                self.server.requests.serve_waiting()

    def _accept_waiting(self) -> None:
        """Accepts the connections that wait, up to a number.

        One at a time, between what all open connections send, a crowd's
        connections would come faster than they are accepted, and ordinary
        callers would wait behind them.
        """
        for _ in range(_MAX_ACCEPTED):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accepts a connection; returns whether another one may wait."""
        try:
            conn = self._untyped()._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in _NO_DESCRIPTORS:
                raise
            # The connection stays in the listener's queue, which would wake
            # this thread again and again.
            self._count("no_descriptor")
            self._close_one("no_descriptor", _CLOSING_ORDER)
            time.sleep(_NO_DESCRIPTOR_PAUSE_S)
            return False
        if conn is None:
            return False
        with self._lock:
            self._open += 1
            is_full = self._open > self.limits.connections
        if is_full and not self._close_one("too_many", _CLOSING_ORDER):
            self._count("refused")
            conn.close()
            return True
        conn.last_used = time.monotonic()
        self._gather(conn)
        return True

    def _on_readable(self, conn: Any) -> None:
        if not self._claim(conn):
            return
        if conn.idle_state == "closing":
            self._drop_unread(conn)
            return
        self._gather(conn)

    def _gather(self, conn: Any) -> None:
        """Receives what has come of a head; hands it over if it is whole."""
        try:
            outcome = conn.rfile.fill_now()
        except OSError:
            conn.close()
            return
        reader = conn.rfile
        if outcome == "end" and not reader.has_data():
            conn.close()
            return
        is_whole = reader.has_head(self.server.max_request_header_size)
        if is_whole or outcome == "end":
            self.server.process_conn(conn)
            return
        if outcome == "data" and conn.head_since_s is None:
            conn.head_since_s = time.monotonic()
        is_kept = conn.has_served and not reader.has_data()
        self._watch(conn, "kept" if is_kept else "unfinished")
        while self.server.room.has_too_many_heads():
            if not self._close_one("long_heads", ("unfinished",), min_bytes=1):
                return

    def _drop_unread(self, conn: Any) -> None:
        try:
            outcome = conn.rfile.fill_now()
        except OSError:
            outcome = "end"
        _drop_buffered(conn)
        if outcome == "end" or conn.dropped_bytes > _MAX_DROPPED_BYTES:
            conn.close_now()
            return
        self._watch(conn, "closing")

    def _watch(self, conn: Any, state: State) -> None:
        """Waits for more bytes on a connection."""
        with self._lock:
            self._idle[state][conn] = None
            conn.idle_state = state
            conn.idle_bytes = len(conn.rfile.buffer)
            self.server.room.hold_heads(conn.idle_bytes)
            try:
                self._untyped()._selector.register(
                    conn.socket.fileno(), selectors.EVENT_READ, data=conn
                )
                return
            except (OSError, ValueError, KeyError):
                # The server has closed its connections meanwhile.
                self._idle[state].pop(conn, None)
                self.server.room.hold_heads(-conn.idle_bytes)
        conn.close_now()

    def _claim(self, conn: Any) -> bool:
        """Takes a connection out of those that wait; false if it is not one.

        Another thread may have closed it since it was found to be readable.
        """
        with self._lock:
            if conn not in self._idle[conn.idle_state]:
                return False
            self._remove(conn)
        return True

    def _remove(self, conn: Any) -> None:
        del self._idle[conn.idle_state][conn]
        self.server.room.hold_heads(-conn.idle_bytes)
        self._untyped()._selector.unregister(conn.socket.fileno())

    def _close_one(
        self, why: str, states: Iterable[State], *, min_bytes: int = 0
    ) -> bool:
        """Closes the connection that is the least loss, if any may go.

        Args:
            why: Why it is closed.
            states: The states of those that may go, the least loss first.
            min_bytes: What it has to hold of a head; closing one that holds
                nothing makes no room for heads.
        """
        with self._lock:
            found = next(
                (
                    conn
                    for state in states
                    for conn in self._idle[state]
                    if conn.idle_bytes >= min_bytes
                ),
                None,
            )
            if found is None:
                return False
            self._remove(found)
        self._count(why, state=found.idle_state)
        found.close_now()
        return True

    def _close_overdue(self, now_s: float) -> None:
        """Closes connections that were idle, or had a head open, for long."""
        idle_since_s = now_s - self.server.timeout
        head_since_s = now_s - self.limits.head_timeout_s
        with self._lock:
            late = [
                conn
                for conn in self._idle["unfinished"]
                if conn.head_since_s is not None
                and conn.head_since_s < head_since_s
            ]
            idle = [
                conn
                for state in ("unfinished", "kept")
                for conn in self._idle[state]
                if conn.head_since_s is None and conn.last_used < idle_since_s
            ]
            dropping = [
                conn
                for conn in self._idle["closing"]
                if conn.last_used < now_s - _DROPPING_S
            ]
            for conn in (*late, *idle, *dropping):
                self._remove(conn)
        for conn in late:
            self._count("late_head")
            _send_late_head(conn)
        for conn in (*late, *idle, *dropping):
            conn.close_now()

    def _count(self, why: str, **fields: object) -> None:
        with self._lock:
            self._counts[why] += 1
            is_open = self._open
        _events.sampled_info(
            "closed_early",
            why=why,
            port=self.server.bind_addr[1],
            open=is_open,
            limit=self.limits.connections,
            **fields,
        )

    def _untyped(self) -> Any:
        """Returns `self` untyped, for attributes missing in the type stubs."""
        return self


def _drop_buffered(conn: Any) -> None:
    """Drops what was received and will not be read."""
    conn.dropped_bytes += len(conn.rfile.buffer)
    conn.rfile.buffer.clear()


def _send_late_head(conn: Any) -> None:
    """Says that a request has not run, if that can be sent at once."""
    try:
        conn.socket.send(_LATE_HEAD_RESPONSE, socket.MSG_DONTWAIT)
    except OSError:
        return
