"""What `cheroot` is adapted in: strict framing, and refusals.

A caller's framing must mean the same to this server, to the balancer before
it and to the upstream behind: what one takes for a body's rest another may
take for the next request.
"""

import queue
import re
import socket
import threading
from typing import Any

import cheroot.server
import cheroot.workers.threadpool
import cheroot.wsgi

from bulrushdeal import sockets

SOCKET = "bulrushdeal.socket"
_MAX_HEADER_BYTES = 64 * 1024
# Threads from the start on; connections that come at once find one free.
_FIRST_THREADS = 4
_MAX_UNREAD_BYTES = 64 * 1024
_MAX_PIECE_BYTES = 64 * 1024
_MAX_CHUNK_LINE_BYTES = 1024
_MAX_TRAILER_LINES = 100
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,15}")
_LENGTH = re.compile(rb"[0-9]{1,18}")
# Headers that the library joins itself when they are repeated.
_JOINED = frozenset(vars(cheroot.server)["comma_separated_headers"])
_SINGLE = (b"Content-Length", b"Transfer-Encoding", b"Host", b"Authorization")


class _Headers(dict[bytes, bytes]):
    """Keeps repeated headers, which the library overwrites."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        held = self.get(name)
        if held is not None and name in _SINGLE:
            # Whoever takes the other one sees another body or another key.
            raise ValueError(f"{name.decode('latin-1')} is repeated.")
        # The library joins those of its own list before it sets them.
        if held is None or name in _JOINED:
            super().__setitem__(name, value)
            return
        separator = b"; " if name == b"Cookie" else b", "
        super().__setitem__(name, held + separator + value)


class _HeaderReader(cheroot.server.HeaderReader):
    # `Content_Length` and `Content-Length` would become one name, and the
    # body's length would be what another than the server's reader says.
    # The library's own reader for this fails on bytes.
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

    The library reads a whole chunk into memory, of whatever size the caller
    says, and takes odd spellings of the size.
    """

    def __init__(self, rfile: Any) -> None:
        super().__init__(rfile, 0)
        self._left_bytes = 0

    def _fetch(self) -> None:
        if self.closed:
            return
        if not self._left_bytes:
            self._left_bytes = self._next_size()
        if not self._left_bytes:
            self.closed = True
            self._skip_trailer()
            return
        piece = self.rfile.read(min(self._left_bytes, _MAX_PIECE_BYTES))
        if not piece:
            raise ValueError("The chunked body is cut.")
        self._left_bytes -= len(piece)
        self.buffer += piece
        if not self._left_bytes and self.rfile.read(2) != b"\r\n":
            raise ValueError("A chunk has no end.")

    def _next_size(self) -> int:
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
    """Writes to a caller's socket at once.

    The library's own writer is a buffer in Python that is flushed after each
    write, at the cost of a dozen calls for each token.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Sends all of it."""
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)


class _Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        timed = sockets.TimedSocket.adopt(sock)
        super().__init__(server, timed, *args)
        self.wfile = _Writer(timed)


class _Gateway(cheroot.wsgi.Gateway_10):
    def __init__(self, req: Any) -> None:
        if isinstance(req.rfile, cheroot.server.ChunkedRFile):
            req.rfile = _ChunkedBody(req.conn.rfile)
        super().__init__(req)

    def get_environ(self) -> Any:
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[SOCKET] = self.req.conn.socket
        return environ

    def start_response(
        self, status: str, headers: Any, exc_info: Any = None
    ) -> Any:
        if _has_unread_body(self.req.rfile):
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


def _has_unread_body(body: Any) -> bool:
    # The library reads the rest of a body with a length into memory at once,
    # and takes the rest of a chunked one for the next request. Neither may
    # happen when a request was refused without reading it.
    if isinstance(body, cheroot.server.ChunkedRFile):
        return not body.closed
    return bool(getattr(body, "remaining", 0) > _MAX_UNREAD_BYTES)


class _Pool(cheroot.workers.threadpool.ThreadPool):
    """Has a thread more whenever a connection finds none free.

    The library starts all threads at once: with 91 processes of 160 threads
    each on one machine there was no room for more. Its own `grow` sleeps until
    the new thread runs, on the thread that accepts, and its `idle` counts a
    thread that has taken a connection and not begun with it: the next one
    would wait behind a long stream.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._lock = threading.Lock()
        # Threads that wait, less the connections that are queued for them.
        self._free = 0
        # The library's own is the queue's method.
        self.get = self._get

    def _get(self) -> Any:
        with self._lock:
            self._free += 1
        return self._inner()._queue.get()

    def put(self, obj: Any) -> None:
        """Hands over a connection.

        Raises:
            queue.Full: No thread is free, and no more may wait.
        """
        with self._lock:
            is_served = self._free > 0
            self._free -= 1
        try:
            super().put(obj)
        except queue.Full:
            with self._lock:
                self._free += 1
            raise
        threads = self._inner()._threads
        if not is_served and len(threads) < self.max:
            threads.append(self._inner()._spawn_worker())

    def _inner(self) -> Any:
        """Returns this, for what the library's type stubs leave out."""
        return self


class Server(cheroot.wsgi.Server):
    """The library's server, which refuses at once what it has no room for.

    Args:
        address: Host and port.
        app: The WSGI application.
        threads: The most connections served at once.
        most_waiting: Connections that may wait for a thread.
        options: See the library.

    Attributes:
        busy: The whole answer to a connection that found no room, as bytes.
    """

    ConnectionClass = _Connection
    # The library's limit of 10 would close nearly every connection.
    keep_alive_conn_limit = None  # type: ignore[assignment]
    # Bodies are relayed as they come, so they may be long.
    max_request_body_size = 0
    # Without a limit a caller's endless header fills the memory.
    max_request_header_size = _MAX_HEADER_BYTES
    busy = b""

    def __init__(
        self,
        address: tuple[str, int],
        app: Any,
        threads: int,
        most_waiting: int,
        **options: Any,
    ) -> None:
        super().__init__(address, app, **options)
        # The library's constructor sets its own.
        self.gateway = _Gateway
        self.requests = _Pool(
            self,
            min=min(_FIRST_THREADS, threads),
            max=threads,
            accepted_queue_size=most_waiting,
            # The thread that accepts must not wait for room.
            accepted_queue_timeout=0,
        )

    def process_conn(self, conn: Any) -> None:
        """Hands a connection to a thread, or refuses it."""
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def _refuse(self, conn: Any) -> None:
        # On the thread that accepts: the answer is small enough for the
        # socket's buffer, so it does not wait for the caller.
        try:
            conn.socket.settimeout(0)
            conn.socket.sendall(self.busy)
            # A close with bytes unread would reset the connection, and the
            # caller might never see the answer.
            conn.socket.recv(_MAX_UNREAD_BYTES)
        except OSError:
            # The caller left, or sent nothing yet.
            pass
        finally:
            conn.close()
