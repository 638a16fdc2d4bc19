"""HTTP connections to upstreams, and the pool that keeps idle ones."""

import collections
import http
import http.client
import io
import re
import socket
import threading
import time
from typing import Any, NamedTuple

import urllib3.connection

from bulrushdeal import fingerprints
from bulrushdeal import responseheads
from bulrushdeal import sockets

# Less than the five seconds after which common servers close an idle
# connection. If a server closes one while a request is being sent on it,
# whether the request ran remains unknown.
_MAX_IDLE_S = 4.0
_MAX_IDLE_CONNECTIONS = 64
# How often the connections of all addresses are looked at.
_SWEEP_INTERVAL_S = 1.0
# Bounds the ids that a connection remembers.
_MAX_REQUESTS = 1000
# No more than a reader's own buffer: it would wait for more than it has.
_PIECE_BYTES = io.DEFAULT_BUFFER_SIZE
_MAX_CHUNK_LINE_BYTES = 1024
_BODILESS = (
    http.HTTPStatus.SWITCHING_PROTOCOLS,
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
)
_CHUNK_END = b"\r\n"
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,15}")


class _Received(threading.local):
    """What a thread receives into."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(_PIECE_BYTES))


_received = _Received()


class _PieceReader:
    """Reads pieces of a body into a block of the thread's own.

    The standard library makes a block for the most that may come, and cuts it
    to what came. The C library keeps small blocks that a thread has freed for
    that thread, in place, so that hundreds of threads leave the heap full of
    holes which are all too small for the next block.
    """

    def __init__(self, reader: Any) -> None:
        self._reader = reader

    def read1(self, size: int) -> bytes:
        view = _received.view[:size]
        return bytes(view[: self._reader.readinto1(view)])

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)


class _LineReader:
    """Raises an error if the connection ends inside a line.

    `http.client` takes what has come of a chunk's size for the size, so one of
    `06` that is cut after its first digit would look like the end of the body.
    """

    def __init__(self, reader: Any) -> None:
        self._reader = reader

    def readline(self, limit: int) -> bytes:
        line: bytes = self._reader.readline(limit)
        if not line.endswith(b"\n") and len(line) < limit:
            raise http.client.IncompleteRead(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)


class WholeResponse(http.client.HTTPResponse):
    """A response that does not look complete if it is cut or malformed."""

    def begin(self) -> None:
        """Reads the head.

        Raises:
            http.client.HTTPException: It is cut, or is no head of a response.
        """
        if self.headers is not None:
            return
        head = responseheads.read(_LineReader(self.fp))
        self.version = head.version
        self.code = self.status = head.status
        self.reason = head.reason
        self.headers = self.msg = head.fields
        self.chunked = head.is_chunked
        self.chunk_left = None
        has_body = self._method != "HEAD" and self.status not in _BODILESS
        self.length = head.length_bytes if has_body else 0
        ends_with_connection = not self.chunked and self.length is None
        self.will_close = ends_with_connection or self._check_close()

    def _get_chunk_left(self) -> int | None:
        """Returns what is left of a chunk, in bytes; `None` after the last.

        It replaces that of the parent, which passes over any two bytes after
        a chunk and does not look at trailers.
        """
        if self.chunk_left:
            return self.chunk_left
        assert self.fp is not None
        if self.chunk_left == 0:
            end = self.fp.read(len(_CHUNK_END))
            if end != _CHUNK_END:
                raise http.client.IncompleteRead(end)
        size = self._read_next_chunk_size()
        if not size:
            responseheads.skip_trailers(self.fp)
            self._close_conn()  # type: ignore[attr-defined]
        self.chunk_left = size or None
        return self.chunk_left

    def _read_next_chunk_size(self) -> int:
        # The parent's accepts signs, `0x` and `_`, and what has come of a line.
        line = _LineReader(self.fp).readline(_MAX_CHUNK_LINE_BYTES)
        size = line.split(b";", 1)[0].strip()
        if not _CHUNK_SIZE.fullmatch(size):
            raise http.client.IncompleteRead(line)
        return int(size, 16)


class WholeConnection(urllib3.connection.HTTPConnection):
    """A connection of urllib3's pools whose responses end as they should."""

    response_class = WholeResponse


class Response(WholeResponse):
    """A response that detects bytes sent beyond its end.

    Attributes:
        has_extra_bytes: Whether more bytes followed the end of the response.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = _PieceReader(self.fp)  # type: ignore[assignment]
        self._socket = sock
        self.has_extra_bytes = False

    def _close_conn(self) -> None:
        # Bytes after the end of this response would be read as the beginning
        # of the next one, or be lost with this buffer and truncate it.
        self.has_extra_bytes = self.has_extra_bytes or self._has_unread_bytes()
        super()._close_conn()  # type: ignore[misc]

    def _has_unread_bytes(self) -> bool:
        try:
            timeout_s = self._socket.gettimeout()
            self._socket.settimeout(0)
            try:
                return bool(self.fp.peek(1))
            finally:
                self._socket.settimeout(timeout_s)
        except (OSError, ValueError):
            return True


class Connection(urllib3.connection.HTTPConnection):
    """A connection to one upstream, for one request at a time.

    Attributes:
        raw: The current response, below urllib3's decoding layer, which
            adds a cost to each read.
        requests: How many requests were sent on it.
    """

    raw: Response

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # An upstream's answer waits there while its caller does not read.
        self.socket_options = [
            *(self.socket_options or ()),
            *sockets.BUFFER_OPTIONS,
        ]
        self.requests = 0
        self._request_ids: set[str] = set()

    def record_request(self, request_id: str) -> None:
        """Records that a request is sent, with its id or an empty text."""
        self.requests += 1
        if request_id:
            self._request_ids.add(fingerprints.short_id(request_id))

    def may_carry(self, request_id: str) -> bool:
        """Returns whether an answer to a request can be told by its id.

        An upstream may answer a request twice, the second time when the next
        one arrives. If that has the same id, the late answer would be taken
        for its own, and one that says that nothing ran would be believed of a
        request that runs.
        """
        return fingerprints.short_id(request_id) not in self._request_ids

    def timed_socket(self) -> sockets.TimedSocket:
        """Returns the socket of an open connection."""
        sock = self.sock
        assert isinstance(sock, sockets.TimedSocket)
        return sock

    def _new_conn(self) -> socket.socket:
        return sockets.TimedSocket.adopt(super()._new_conn())

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, *args: Any, **kwargs: Any
    ) -> Response:
        """Creates the response; `http.client` calls this like a class."""
        self.raw = Response(sock, *args, **kwargs)
        return self.raw


class _IdleConnection(NamedTuple):
    connection: Connection
    since_s: float


class Pool:
    """Idle connections by address; the last one used is reused first.

    Each is closed after some seconds. Those of upstreams that are gone, to
    which nothing is sent any more, would otherwise stay open for ever.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._swept_s = time.monotonic()
        self._idle: dict[str, collections.deque[_IdleConnection]] = {}
        self._is_closed = False

    def take(self, address: str, request_id: str = "") -> Connection | None:
        """Returns a usable idle connection, or `None` if there is none.

        Args:
            address: The upstream's address.
            request_id: The id that the answer will name; empty if none.
                Connections that have carried it are closed, which ends what
                an earlier send may have left there.
        """
        while (connection := self._pop(address, request_id)) is not None:
            # `is_connected` is false if the socket is readable, that is if
            # the upstream closed it or sent unrequested bytes. Neither kind
            # of connection may carry another request.
            if connection.is_connected:
                return connection
            connection.close()
        return None

    def put(self, address: str, connection: Connection) -> None:
        """Keeps a connection whose last response was read to its end."""
        now_s = time.monotonic()
        evicted: Connection | None = None
        expired: list[Connection] = []
        with self._lock:
            if now_s - self._swept_s >= _SWEEP_INTERVAL_S:
                self._swept_s = now_s
                expired = self._take_expired(now_s - _MAX_IDLE_S)
            idle = self._idle.setdefault(address, collections.deque())
            idle.append(_IdleConnection(connection, now_s))
            if connection.requests >= _MAX_REQUESTS:
                evicted = idle.pop().connection
            elif self._is_closed or len(idle) > _MAX_IDLE_CONNECTIONS:
                evicted = idle.popleft().connection
        for old in expired:
            old.close()
        if evicted is not None:
            evicted.close()

    def _take_expired(self, oldest_s: float) -> list[Connection]:
        """Removes all that are idle for longer than allowed."""
        expired: list[Connection] = []
        for address, idle in list(self._idle.items()):
            while idle and idle[0].since_s < oldest_s:
                expired.append(idle.popleft().connection)
            if not idle:
                del self._idle[address]
        return expired

    def close(self) -> None:
        """Closes all idle connections; those put back later are closed too."""
        with self._lock:
            self._is_closed = True
            idle = [item for items in self._idle.values() for item in items]
            self._idle.clear()
        for item in idle:
            item.connection.close()

    def counts(self) -> dict[str, int]:
        """Returns the number of idle connections by address."""
        with self._lock:
            return {name: len(items) for name, items in self._idle.items()}

    def _pop(self, address: str, request_id: str) -> Connection | None:
        oldest_s = time.monotonic() - _MAX_IDLE_S
        expired: list[_IdleConnection] = []
        with self._lock:
            idle = self._idle.pop(address, collections.deque())
            usable = collections.deque[_IdleConnection]()
            for item in idle:
                is_usable = item.connection.may_carry(request_id)
                if is_usable and item.since_s >= oldest_s:
                    usable.append(item)
                else:
                    expired.append(item)
            found = usable.pop().connection if usable else None
            if usable:
                self._idle[address] = usable
        for expired_item in expired:
            expired_item.connection.close()
        return found
