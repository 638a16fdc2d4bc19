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

from bulrushdeal import sockets

# The key of the caller's socket in the WSGI environment.
SOCKET_KEY = "bulrushdeal.socket"
_MAX_HEADER_BYTES = 64 * 1024
# Threads started with the server, so that the first connections need not wait.
_INITIAL_THREADS = 4
_MAX_UNREAD_BYTES = 64 * 1024
_MAX_READ_BYTES = 64 * 1024
_MAX_CHUNK_LINE_BYTES = 1024
_MAX_TRAILER_LINES = 100
# A connection that waits for longer is of no use to a caller who could try
# another server; no more are queued behind it for a moment.
_MAX_WAIT_S = 0.4
_STOP_QUEUEING_S = 0.2
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,15}")
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


class _ChunkedBody(cheroot.server.ChunkedRFile):
    """Reads a chunked body in pieces of bounded size.

    cheroot reads each chunk into memory whole, without a limit on its size,
    and accepts malformed sizes such as `-2` and `0x2`.
    """

    def __init__(self, rfile: Any) -> None:
        super().__init__(rfile, 0)
        self._chunk_left_bytes = 0

    def _fetch(self) -> None:
        if self.closed:
            return
        if not self._chunk_left_bytes:
            self._chunk_left_bytes = self._read_chunk_size()
        if not self._chunk_left_bytes:
            self.closed = True
            self._skip_trailer()
            return
        piece = self.rfile.read(min(self._chunk_left_bytes, _MAX_READ_BYTES))
        if not piece:
            raise ValueError("The chunked body is cut.")
        self._chunk_left_bytes -= len(piece)
        self.buffer += piece
        if not self._chunk_left_bytes and self.rfile.read(2) != b"\r\n":
            raise ValueError("A chunk has no end.")

    def _read_chunk_size(self) -> int:
        line = self.rfile.readline(_MAX_CHUNK_LINE_BYTES)
        size = line.split(b";", 1)[0].strip()
        if not line.endswith(b"\r\n") or not _CHUNK_SIZE.fullmatch(size):
            raise ValueError("A chunk has no size.")
        return int(size, 16)

    def _skip_trailer(self) -> None:
        for _ in range(_MAX_TRAILER_LINES):
            line = self.rfile.readline(_MAX_CHUNK_LINE_BYTES)
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                break
        raise ValueError("The trailer is cut or too long.")


class _Writer:
    """An unbuffered writer to a caller's socket.

    cheroot's writer is a buffer in Python that is flushed after each write,
    which costs about a dozen calls per token.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Sends all of `data` and returns its length in bytes."""
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)


class _Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        timed = sockets.TimedSocket.adopt(sock)
        super().__init__(server, timed, *args)
        self.wfile = _Writer(timed)
        # When it was queued last, by the monotonic clock.
        self.queued_s: float | None = None
        # Whether a request was read from it.
        self.has_served = False

    def communicate(self) -> bool:
        """Serves one request; returns whether to keep the connection."""
        self.has_served = True
        return bool(super().communicate())  # type: ignore[no-untyped-call]


class _Gateway(cheroot.wsgi.Gateway_10):
    def __init__(self, req: Any) -> None:
        if isinstance(req.rfile, cheroot.server.ChunkedRFile):
            req.rfile = _ChunkedBody(req.conn.rfile)
        super().__init__(req)

    def get_environ(self) -> Any:
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ

    def start_response(
        self, status: str, headers: Any, exc_info: Any = None
    ) -> Any:
        if _has_unread_body(self.req.rfile):
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


def _has_unread_body(body: Any) -> bool:
    # cheroot reads the rest of a body with a length into memory whole, and
    # parses the rest of a chunked body as the next request. Neither may happen
    # when a request is refused without reading its body.
    if isinstance(body, cheroot.server.ChunkedRFile):
        return not body.closed
    return bool(getattr(body, "remaining", 0) > _MAX_UNREAD_BYTES)


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
                raise queue.Full
        with self._lock:
            has_free_thread = self._free_threads > 0
            self._free_threads -= 1
        try:
            super().put(obj)
        except queue.Full:
            with self._lock:
                self._free_threads += 1
            raise
        threads = self._untyped()._threads
        if not has_free_thread and len(threads) < self.max:
            threads.append(self._untyped()._spawn_worker())

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
        refuses_unread: Whether a connection that is refused is closed without
            reading or answering it.
        options: Further arguments of `cheroot.wsgi.Server`.

    Attributes:
        busy_response: The bytes of the whole response to a refused connection.
        listener: A socket that listens on the address already; `None` to bind
            one.
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
        refuses_unread: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(address, app, **options)
        self._refuses_unread = refuses_unread
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

    def bind(self, family: Any, type: Any, proto: int = 0) -> Any:
        """Uses the given listener, or binds the address."""
        if self.listener is None:
            return super().bind(family, type, proto)
        self.socket = self.listener
        self.bind_addr = self.listener.getsockname()
        return self.socket

    def process_conn(self, conn: Any) -> None:
        """Queues a connection, or refuses it if the queue is full."""
        try:
            self.requests.put(conn)
        except queue.Full:
            if self._refuses_unread and not conn.has_served:
                conn.close()
                return
            self._refuse(conn)

    def _refuse(self, conn: Any) -> None:
        # Runs on the accepting thread. The response fits in the socket's send
        # buffer, so sending does not wait for the caller.
        try:
            conn.socket.settimeout(0)
            conn.socket.sendall(self.busy_response)
            # Closing a socket with unread bytes resets the connection, and the
            # caller might never receive the response.
            conn.socket.recv(_MAX_UNREAD_BYTES)
        except OSError:
            # The caller has closed the connection or sent nothing yet.
            pass
        finally:
            conn.close()
