"""HTTP towards upstreams: each request is sent once and never again."""

from collections.abc import Callable, Iterator, Mapping
import functools
import http
import http.client
import socket
import threading
from typing import Any, Protocol

import result
import urllib3
import urllib3.exceptions
import urllib3.util

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import bodies
from bulrushdeald import connections
from bulrushdeald import headers as headers_lib
from bulrushdeald import services

_READ_BYTES = 64 * 1024
_BODILESS = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
_FAILURES = (
    OSError,
    ValueError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)
_TIMEOUTS = (TimeoutError, urllib3.exceptions.TimeoutError)
# The library adds these where a caller sent none.
_LIBRARY_HEADERS = ("accept-encoding", "user-agent")


class _Exchange:
    """One request on one connection, which ends once.

    A cancellation may come from another thread at any moment, also after
    the connection went back and carries somebody else's request: then it
    must do nothing.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._lock = threading.Lock()
        self._socket = sock
        self._is_over = False
        self.is_cancelled = False

    def cancel(self) -> None:
        """Ends a blocked read or write at once; idempotent."""
        with self._lock:
            if self._is_over:
                return
            self.is_cancelled = True
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The upstream closed it first.
                return

    def allow_silence(self, timeout_s: float) -> None:
        """Sets how long one read may take from now on."""
        with self._lock:
            if not self._is_over:
                self._socket.settimeout(timeout_s)

    def finish(self) -> None:
        """Makes later cancellations harmless."""
        with self._lock:
            self._is_over = True


class Answer:
    """See `services.UpstreamAnswer`."""

    def __init__(
        self,
        connection: connections.Connection,
        exchange: _Exchange,
        response: urllib3.BaseHTTPResponse,
        method: str,
        give_back: Callable[[], None] | None,
    ) -> None:
        self._connection = connection
        self._exchange = exchange
        self._status = response.status
        # It closes what it reads from when nobody refers to it.
        self._response = response
        self._raw = connection.raw
        self._give_back = give_back
        self._is_whole = False
        self._is_closed = False
        self._headers = response.headers
        self._left_bytes = self._length(method)

    @property
    def status(self) -> int:
        """See `services.UpstreamAnswer`."""
        return self._status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """See `services.UpstreamAnswer`."""
        return headers_lib.for_caller(
            self._headers.iteritems(), bool(self._raw.chunked)
        )

    def chunks(self) -> Iterator[result.Result[bytes, services.UpstreamError]]:
        """See `services.UpstreamAnswer`."""
        while self._left_bytes != 0:
            try:
                data = self._raw.read1(_READ_BYTES)
            except _FAILURES as error:
                yield result.Err(_error(self._exchange, error, "ran"))
                return
            if not data:
                break
            if self._left_bytes is not None:
                self._left_bytes -= len(data)
            yield result.Ok(data)
        # Our own end of a body without a length looks like its end.
        if self._exchange.is_cancelled or self._left_bytes:
            short = EOFError("The body is short.")
            yield result.Err(_error(self._exchange, short, "ran"))
            return
        self._is_whole = True

    def allow_silence(self, timeout_s: float) -> None:
        """See `services.UpstreamAnswer`."""
        self._exchange.allow_silence(timeout_s)

    def cancel(self) -> None:
        """See `services.UpstreamAnswer`."""
        self._exchange.cancel()

    def close(self) -> None:
        """See `services.UpstreamAnswer`."""
        if self._is_closed:
            return
        self._is_closed = True
        self._raw.close()
        self._exchange.finish()
        if self._give_back is not None and self._is_clean():
            self._give_back()
        else:
            self._connection.close()

    def _is_clean(self) -> bool:
        # Bytes of this answer that are still to come would be taken for the
        # next one's, so a connection is kept only after a whole answer.
        return (
            self._is_whole
            and not self._exchange.is_cancelled
            and not self._raw.will_close
            and not self._raw.has_leftover
        )

    def _length(self, method: str) -> int | None:
        if method == "HEAD" or self._status in _BODILESS:
            return 0
        text = self._headers.get("Content-Length", "")
        if self._raw.chunked or not text.isdecimal():
            return None
        return int(text)


class UpstreamSettings(Protocol):
    """What is set for calls to upstreams."""

    @property
    def upstream_connect_timeout_s(self) -> float:
        """How long a new connection may take."""


class HttpUpstreams:
    """See `services.Upstreams`.

    What an error says of `ran`: `not_run` only while no byte can have left,
    that is until the connection stands; `unknown` from the first byte on;
    `ran` once the head of an answer has come.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: UpstreamSettings
    ) -> None:
        del kernel
        self._connect_timeout_s = settings.upstream_connect_timeout_s
        self._pool = connections.Pool()

    def start(self) -> None:
        """See `kernel.Service`."""

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s
        self._pool.close()

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {"idle_connections": self._pool.counts()}

    def send(
        self,
        upstream: records.Upstream,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: Iterator[bytes] | bytes,
        timeout_s: float,
        *,
        is_fresh: bool = False,
        on_open: Callable[[Callable[[], None]], None] | None = None,
    ) -> result.Result[Answer, services.UpstreamError]:
        """See `services.Upstreams`."""
        address = upstream.address
        connected = self._connect(address, is_fresh)
        if isinstance(connected, result.Err):
            return connected
        connection = connected.ok_value
        connection.timeout = timeout_s
        exchange = _Exchange(connection.sock)
        if on_open is not None:
            on_open(exchange.cancel)
        sendable = _sendable(headers, is_fresh)
        try:
            is_sent = _request(connection, method, path, sendable, body)
            response = connection.getresponse()
        except Exception as error:  # noqa: BLE001 - the body is a caller's.
            exchange.finish()
            connection.close()
            return result.Err(_send_error(exchange, error))
        if response.status < http.HTTPStatus.OK:
            # A change of protocol that nobody asked for.
            exchange.finish()
            connection.close()
            odd = ValueError(f"Status {response.status}.")
            return result.Err(_error(exchange, odd, "ran"))
        give_back: Callable[[], None] | None = None
        if is_sent and not is_fresh:
            give_back = functools.partial(self._pool.put, address, connection)
        return result.Ok(
            Answer(connection, exchange, response, method, give_back)
        )

    def _connect(
        self, address: str, is_fresh: bool
    ) -> result.Result[connections.Connection, services.UpstreamError]:
        kept = None if is_fresh else self._pool.take(address)
        if kept is not None:
            return result.Ok(kept)
        host, _, port = address.rpartition(":")
        try:
            connection = connections.Connection(
                host, int(port), timeout=self._connect_timeout_s
            )
            connection.connect()
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            message = f"{type(error).__name__}: {error}"
            return result.Err(
                services.UpstreamError("unreachable", "not_run", message)
            )
        return result.Ok(connection)


def _sendable(headers: Mapping[str, str], is_fresh: bool) -> dict[str, str]:
    sendable = headers_lib.without_connection(headers)
    names = {name.lower() for name in sendable}
    for name in _LIBRARY_HEADERS:
        if name not in names:
            sendable[name] = urllib3.util.SKIP_HEADER
    if is_fresh:
        sendable["connection"] = "close"
    return sendable


def _request(
    connection: connections.Connection,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: Iterator[bytes] | bytes,
) -> bool:
    """Sends a request; tells whether all of it was taken."""
    try:
        connection.request(
            method,
            path,
            # With an empty body a GET would be given a length.
            body=body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=False,
        )
    except (BrokenPipeError, ConnectionResetError):
        # The upstream may have answered before it had all of the body.
        return False
    return True


def _send_error(
    exchange: _Exchange, error: Exception
) -> services.UpstreamError:
    if isinstance(error, bodies.BodyError):
        # The caller's own end failed after bytes may have left.
        return services.UpstreamError("cancelled", "unknown", str(error))
    return _error(exchange, error, "unknown")


def _error(
    exchange: _Exchange, error: Exception, ran: services.Ran
) -> services.UpstreamError:
    message = f"{type(error).__name__}: {error}"
    if exchange.is_cancelled:
        return services.UpstreamError("cancelled", ran, message)
    if isinstance(error, _TIMEOUTS):
        return services.UpstreamError("timeout", ran, message)
    return services.UpstreamError("crashed", ran, message)
