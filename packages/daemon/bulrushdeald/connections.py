"""Connections to upstreams, kept for reuse while they are surely clean."""

import collections
import http
import http.client
import socket
import threading
import time
from typing import Any, NamedTuple

import urllib3.connection

from bulrushdeal import sockets

# Below the five seconds after which common servers close an idle connection:
# one closed just as it is used leaves it unknown whether a request ran.
_MAX_IDLE_S = 4.0
_MAX_IDLE_CONNECTIONS = 64


class _HeadReader:
    """Reads a head's lines and knows a cut line from the end of the head.

    The library takes an end of the connection inside the head for the head's
    end: an upstream that breaks off there would seem to have answered with
    an empty body.
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


class Response(http.client.HTTPResponse):
    """An answer that knows whether the upstream sent more than it said."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._socket = sock
        self.has_leftover = False

    def begin(self) -> None:
        """Reads the head."""
        reader = self.fp
        self.fp = _HeadReader(reader)  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = reader

    def _read_status(self) -> tuple[str, int, str]:
        # The library skips only 100. Any other interim head would be taken
        # for the answer, and the true answer for the next request's.
        while True:
            status = super()._read_status()  # type: ignore[misc]
            if not http.HTTPStatus.PROCESSING <= status[1] < http.HTTPStatus.OK:
                return status  # type: ignore[no-any-return]
            http.client.parse_headers(self.fp)

    def _close_conn(self) -> None:
        # Bytes beyond the answer's end would be read as the next answer's
        # beginning, or vanish with this buffer and cut the next answer.
        self.has_leftover = self.has_leftover or self._has_more()
        super()._close_conn()  # type: ignore[misc]

    def _has_more(self) -> bool:
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
        raw: The answer under way, below the library's decoding and its cost
            for each read.
    """

    raw: Response

    def _new_conn(self) -> socket.socket:
        return sockets.TimedSocket.adopt(super()._new_conn())

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, *args: Any, **kwargs: Any
    ) -> Response:
        """Makes the answer's reader; the library calls it like a class."""
        self.raw = Response(sock, *args, **kwargs)
        return self.raw


class _Idle(NamedTuple):
    connection: Connection
    since_s: float


class Pool:
    """Keeps idle connections by address, the one used last on top."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, collections.deque[_Idle]] = {}
        self._is_closed = False

    def take(self, address: str) -> Connection | None:
        """Returns an idle connection that the upstream has not closed."""
        while (connection := self._pop(address)) is not None:
            # It is readable if the upstream closed it or sent bytes that
            # nobody asked for; neither may meet the next request.
            if connection.is_connected:
                return connection
            connection.close()
        return None

    def put(self, address: str, connection: Connection) -> None:
        """Keeps a connection whose last answer was read to the end."""
        now_s = time.monotonic()
        surplus: Connection | None = None
        with self._lock:
            idle = self._idle.setdefault(address, collections.deque())
            idle.append(_Idle(connection, now_s))
            if self._is_closed or len(idle) > _MAX_IDLE_CONNECTIONS:
                surplus = idle.popleft().connection
        if surplus is not None:
            surplus.close()

    def close(self) -> None:
        """Closes the idle connections and keeps none from now on."""
        with self._lock:
            self._is_closed = True
            idle = [item for items in self._idle.values() for item in items]
            self._idle.clear()
        for item in idle:
            item.connection.close()

    def counts(self) -> dict[str, int]:
        """Returns how many connections are idle at each address."""
        with self._lock:
            return {name: len(items) for name, items in self._idle.items()}

    def _pop(self, address: str) -> Connection | None:
        old: list[_Idle] = []
        with self._lock:
            idle = self._idle.get(address)
            if not idle:
                return None
            item = idle.pop()
            if time.monotonic() - item.since_s > _MAX_IDLE_S:
                # All below it are older still.
                old = [item, *idle]
                del self._idle[address]
        if not old:
            return item.connection
        for stale in old:
            stale.connection.close()
        return None
