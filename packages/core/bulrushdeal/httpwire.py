"""Adaptations of `cheroot`: strict framing and immediate refusals.

This server, the load balancer in front of it and the upstream behind it must
agree on where each request ends. Otherwise one of them may take the rest of a
body for the next request (request smuggling).
"""

import queue
import re
import socket
import threading
import time
from typing import Any

import cheroot.server
import cheroot.workers.threadpool
import cheroot.wsgi

from bulrushdeal import exchanges
from bulrushdeal import httpconnections
from bulrushdeal import httpreader
from bulrushdeal import sockets

# The keys of the caller's socket and of the exchange in the WSGI environment.
SOCKET_KEY = "bulrushdeal.socket"
EXCHANGE_KEY = "bulrushdeal.exchange"
_MAX_HEADER_BYTES = 64 * 1024
# Threads started with the server, so that the first connections need not wait.
_INITIAL_THREADS = 4
_MAX_UNREAD_BYTES = 64 * 1024
# A head is held as it came, by its headers, and as text.
_HEAD_COPIES = 3
# A long answer is sent in such pieces, each of which shows that its caller
# still reads.
_SEND_BYTES = 16 * 1024
# A connection that waits for longer is of no use to a caller who could try
# another server; no more are queued behind it for a moment.
_MAX_WAIT_S = 0.4
_STOP_QUEUEING_S = 0.2
_LENGTH = re.compile(rb"[0-9]{1,18}")
# Headers whose repeated values cheroot itself joins with commas.
_COMMA_JOINED = frozenset(vars(cheroot.server)["comma_separated_headers"])
# Headers that must not be repeated.
_SINGLE_VALUED = (
    b"Content-Length",
    b"Transfer-Encoding",
    b"Host",
    b"Authorization",
)


class _Headers(dict[bytes, bytes]):
    """Headers that join repeated values, which cheroot would overwrite."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        held = self.get(name)
        if held is not None and name in _SINGLE_VALUED:
            # Another server might use the other value, and with it another
            # body or API key.
            raise ValueError(f"{name.decode('latin-1')} is repeated.")
        # For headers in its own list, cheroot passes the joined value.
        if held is None or name in _COMMA_JOINED:
            super().__setitem__(name, value)
            return
        separator = b"; " if name == b"Cookie" else b", "
        super().__setitem__(name, held + separator + value)


class _HeaderReader(cheroot.server.HeaderReader):
    # In the WSGI environment `Content_Length` and `Content-Length` have the
    # same key, so the former could replace the length that framing uses.
    # cheroot's own `DropUnderscoreHeaderReader` fails on bytes.
    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        headers = _Headers()
        super().__call__(rfile, headers)
        length = headers.get(b"Content-Length")
        if length is not None and not _LENGTH.fullmatch(length):
            raise ValueError("Content-Length is not a number.")
        if length is not None and b"Transfer-Encoding" in headers:
            raise ValueError("Content-Length and Transfer-Encoding clash.")
        if hdict is not None:
            hdict.update(headers)
        return headers


class _Request(cheroot.server.HTTPRequest):
    header_reader = _HeaderReader()


class _Writer:
    """An unbuffered writer to a caller's socket.

    cheroot's writer is a buffer in Python that is flushed after each write,
    which costs about a dozen calls per token.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.exchange: exchanges.Exchange | None = None
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Sends all of `data` and returns its length in bytes."""
        if len(data) <= _SEND_BYTES:
            self._send(data)
        else:
            view = memoryview(data)
            for start in range(0, len(data), _SEND_BYTES):
                self._send(view[start : start + _SEND_BYTES])
        self.bytes_written += len(data)
        return len(data)

    def _send(self, piece: bytes | memoryview) -> None:
        if self.exchange is None:
            self._socket.sendall(piece)
            return
        self.exchange.begin_send()
        self._socket.sendall(piece)
        self.exchange.end_send()


class _Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        timed = sockets.TimedSocket.adopt(sock)
        super().__init__(server, timed, _no_file)
        self.rfile: httpreader.Reader = httpreader.Reader(timed)
        self.wfile = _Writer(timed)
        # When it was queued last, by the monotonic clock.
        self.queued_s: float | None = None
        # Whether a request was read from it.
        self.has_served = False
        # Whether a request was answered before all of it was read.
        self.has_unread_body = False
        # When the first byte of a head came that is not whole yet.
        self.head_since_s: float | None = None
        # Why no thread serves it, while none does.
        self.idle_state: httpconnections.State = "unfinished"
        # The bytes of a head that it holds, while no thread serves it.
        self.idle_bytes = 0
        # What was read of the rest of a request, and dropped.
        self.dropped_bytes = 0
        self._is_closed = False

    def communicate(self) -> bool:
        """Serves one request; returns whether to keep the connection."""
        self.has_served = True
        self.head_since_s = None
        room = self.server.room
        exchange = room.begin(self.socket, self.server)
        self.rfile.exchange = self.wfile.exchange = exchange
        try:
            if not exchange.grow(self.rfile.head_bytes() * _HEAD_COPIES):
                self.has_unread_body = True
                self.server.send_busy(self)
                return False
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.rfile.exchange = self.wfile.exchange = None
            room.finish(exchange)

    def close(self) -> None:
        """Closes the connection, once its caller can have the last answer.

        Closing a socket with unread bytes resets the connection, and the
        caller might never receive the answer.
        """
        if self.has_unread_body and self.server.ready:
            self.has_unread_body = False
            self.server.connections.linger(self)
            return
        self.close_now()

    def close_now(self) -> None:
        """Closes the connection."""
        if self._is_closed:
            return
        self._is_closed = True
        super().close()
        self.server.connections.on_closed()


def _no_file(*args: Any) -> None:
    """Makes no file of a socket; a connection has a reader and a writer."""


class _Gateway(cheroot.wsgi.Gateway_10):
    def __init__(self, req: Any) -> None:
        if isinstance(req.rfile, cheroot.server.ChunkedRFile):
            req.rfile = httpreader.ChunkedBody(req.conn.rfile)
        super().__init__(req)

    def get_environ(self) -> Any:
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[EXCHANGE_KEY] = self.req.conn.rfile.exchange
        return environ

    def start_response(
        self, status: str, headers: Any, exc_info: Any = None
    ) -> Any:
        if _has_unread_body(self.req.rfile, self.req.conn.rfile):
            self.req.close_connection = True
            self.req.conn.has_unread_body = True
        return super().start_response(status, headers, exc_info)


def _has_unread_body(body: Any, reader: httpreader.Reader) -> bool:
    # cheroot waits for the rest of a body with a length, and reads it into
    # memory whole; it parses the rest of a chunked body as the next request.
    # Neither may happen when a request is refused without reading its body.
    if isinstance(body, cheroot.server.ChunkedRFile):
        return not body.closed
    left_bytes = getattr(body, "remaining", 0)
    if left_bytes > _MAX_UNREAD_BYTES:
        return True
    while len(reader.buffer) < left_bytes:
        try:
            if reader.fill_now() != "data":
                return True
        except OSError:
            return True
    return False


class _Pool(cheroot.workers.threadpool.ThreadPool):
    """A thread pool that adds a thread if a connection finds none free.

    cheroot starts a fixed number of threads at once; 91 processes of 160
    threads each left a machine no room for more threads. cheroot's `grow`
    sleeps on the accepting thread until the new thread runs. Its `idle` also
    counts a thread that has taken a connection but not yet started on it, so
    the next connection could wait behind a long stream.
    """

    def __init__(
        self, *args: Any, closes_when_late: bool = False, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._closes_when_late = closes_when_late
        self._lock = threading.Lock()
        # The number of waiting threads less that of queued connections.
        self._free_threads = 0
        # Until when no connection is queued.
        self._late_until_s = 0.0
        # cheroot sets `get` on each instance, to the method of the queue.
        self.get = self._get

    def _get(self) -> Any:
        with self._lock:
            self._free_threads += 1
        conn = self._untyped()._queue.get()
        while self._is_late(conn):
            # Closed unread, so that its caller may try elsewhere at once.
            conn.close()
            with self._lock:
                self._free_threads += 1
            conn = self._untyped()._queue.get()
        return conn

    def _is_late(self, conn: Any) -> bool:
        """Returns whether a new connection has waited for too long."""
        queued_s = getattr(conn, "queued_s", None)
        if queued_s is None or not self._closes_when_late:
            return False
        # A kept connection has been served before; it is answered.
        now_s = time.monotonic()
        if now_s - queued_s <= _MAX_WAIT_S:
            return False
        self._late_until_s = now_s + _STOP_QUEUEING_S
        return not conn.has_served

    def put(self, obj: Any) -> None:
        """Queues a connection and adds a thread if none is free.

        Raises:
            queue.Full: No thread is free and the queue is full, or late.
        """
        is_conn = isinstance(obj, _Connection)
        if is_conn:
            obj.queued_s = time.monotonic()
            if not obj.has_served and obj.queued_s < self._late_until_s:
                self._free_thread()
                raise queue.Full
        with self._lock:
            has_free_thread = self._free_threads > 0
            self._free_threads -= 1
        try:
            super().put(obj)
        except queue.Full:
            with self._lock:
                self._free_threads += 1
            self._free_thread()
            raise
        if not has_free_thread:
            self._free_thread()

    def _free_thread(self) -> None:
        """Adds a thread, or ends the exchange that is the least loss."""
        threads = self._untyped()._threads
        if len(threads) < self.max:
            threads.append(self._untyped()._spawn_worker())
            return
        self.server.room.make_thread_yield(self.server)

    def serve_waiting(self) -> None:
        """Frees threads for the connections that wait for one.

        When they were queued, no exchange may have stalled for long enough.
        A connection that is queued for a free thread takes it in a moment.
        """
        if len(self._untyped()._threads) < self.max:
            return
        with self._lock:
            waiting = -self._free_threads
        for _ in range(waiting):
            if not self.server.room.make_thread_yield(self.server):
                return

    def _untyped(self) -> Any:
        """Returns `self` untyped, for attributes missing in the type stubs."""
        return self


class Server(cheroot.wsgi.Server):
    """A cheroot server that refuses connections at once if it is full.

    Args:
        address: The host and port to bind.
        app: The WSGI application.
        threads: The maximum number of connections served at once.
        max_waiting: The maximum number of connections waiting for a thread.
        room: The exchanges of the process and what they may hold.
        limits: Limits on its connections.
        refuses_unread: Whether a connection that is refused is closed without
            reading or answering it.
        options: Further arguments of `cheroot.wsgi.Server`.

    Attributes:
        busy_response: The bytes of the whole response to a refused connection.
        listener: A socket that listens on the address already; `None` to bind
            one.
        room: The exchanges of the process and what they may hold.
        connections: The connections that no thread serves.
    """

    ConnectionClass = _Connection
    # With cheroot's limit of 10 nearly every connection would be closed.
    keep_alive_conn_limit = None  # type: ignore[assignment]
    # Unlimited: bodies are relayed as they arrive, so they may be long.
    max_request_body_size = 0
    # Without a limit an endless header would exhaust the memory.
    max_request_header_size = _MAX_HEADER_BYTES
    busy_response = b""
    listener: socket.socket | None = None

    def __init__(
        self,
        address: tuple[str, int],
        app: Any,
        threads: int,
        max_waiting: int,
        *,
        room: exchanges.Room,
        limits: httpconnections.Limits,
        refuses_unread: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(address, app, **options)
        self._refuses_unread = refuses_unread
        self.room = room
        self.connections: httpconnections.Connections
        self._limits = limits
        # The constructor of cheroot sets its own gateway and pool.
        self.gateway = _Gateway
        self.requests = _Pool(
            self,
            min=min(_INITIAL_THREADS, threads),
            max=threads,
            accepted_queue_size=max_waiting,
            # The accepting thread must not block on a full queue.
            accepted_queue_timeout=0,
            closes_when_late=refuses_unread,
        )

    def prepare(self) -> None:
        """Binds the address and starts the first threads."""
        super().prepare()
        untyped: Any = self
        untyped._connections._selector.close()
        # Connections are accepted until none waits.
        self.socket.settimeout(0)
        self.connections = httpconnections.Connections(self)
        self.connections.limits = self._limits
        untyped._connections = self.connections

    def bind(self, family: Any, type: Any, proto: int = 0) -> Any:
        """Uses the given listener, or binds the address."""
        if self.listener is None:
            super().bind(family, type, proto)
        else:
            self.socket = self.listener
            self.bind_addr = self.listener.getsockname()
        bound: Any = self.socket
        sockets.limit_accepted_buffers(bound)
        return bound

    def set_limits(self, limits: httpconnections.Limits) -> None:
        """Sets the limits on its connections."""
        self._limits = limits
        if self.ready:
            self.connections.limits = limits

    def process_conn(self, conn: Any) -> None:
        """Queues a connection, or refuses it if the queue is full."""
        try:
            self.requests.put(conn)
        except queue.Full:
            self.connections.on_refused()
            if self._refuses_unread and not conn.has_served:
                conn.close()
                return
            self._refuse(conn)

    def send_busy(self, conn: Any) -> bool:
        """Refuses a request; returns whether its caller can read that.

        The response fits in the socket's send buffer, so sending does not wait
        for the caller.
        """
        try:
            conn.socket.send(self.busy_response, socket.MSG_DONTWAIT)
        except OSError:
            # The caller has closed the connection or does not read.
            return False
        return True

    def _refuse(self, conn: Any) -> None:
        # Mostly runs on the accepting thread.
        if not self.send_busy(conn):
            conn.close_now()
            return
        conn.has_unread_body = True
        conn.close()
