"""HTTP client for upstreams, which sends each request at most once."""

from collections.abc import Callable, Iterator, Mapping
import contextlib
import functools
import http
import http.client
import socket
import struct
import threading
from typing import Any, Protocol

import result
import urllib3
import urllib3.exceptions
import urllib3.util

from bulrushdeal import addresses
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeal import sockets
from bulrushdeald import bodies
from bulrushdeald import connections
from bulrushdeald import headers as headers_lib
from bulrushdeald import services

_READ_BYTES = 16 * 1024
# On, with no time to linger: `close` resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)
# A host that is reached refuses a connection within a round trip. The answer
# to a caller waits for this.
_PROBE_TIMEOUT_S = 0.1
# Of a head, interim ones among them. What is read with it of the body counts.
_MAX_HEAD_BYTES = 128 * 1024
_READ_ERRORS = (
    OSError,
    ValueError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)
_TIMEOUT_ERRORS = (TimeoutError, urllib3.exceptions.TimeoutError)
# urllib3 adds defaults for these unless it is told to skip them.
_DEFAULT_HEADERS = ("accept-encoding", "user-agent")


class _Exchange:
    """Allows other threads to cancel one request on a connection.

    Another thread may cancel at any time, even after the connection was
    returned to the pool and carries another request. `finish` turns such a
    late cancellation into a no-op.
    """

    def __init__(self, sock: sockets.TimedSocket) -> None:
        self._lock = threading.Lock()
        self._socket = sock
        self._is_finished = False
        self.is_cancelled = False

    def cancel(self) -> None:
        """Aborts a blocked read or write at once; idempotent."""
        with self._lock:
            if self._is_finished:
                return
            self.is_cancelled = True
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The upstream has already closed the connection.
                return

    def set_read_timeout(self, timeout_s: float) -> None:
        """Sets the timeout of each further read, in seconds."""
        with self._lock:
            if not self._is_finished:
                self._socket.settimeout(timeout_s)

    def limit_reads(self, max_bytes: int, within_s: float) -> None:
        """Limits the bytes that arrive from now on, and for how long."""
        with self._lock:
            if not self._is_finished:
                self._socket.limit_reads(max_bytes, within_s)

    def abort(self) -> None:
        """Has the close of the connection reset it.

        An upstream, or a proxy before it, may take a close in order for the
        end of the request only, and go on with a run that nobody waits for.
        """
        # One that the upstream has ended may be closed already.
        with self._lock, contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )

    def finish(self) -> None:
        """Ends the exchange; later cancellations have no effect."""
        with self._lock:
            self._is_finished = True
            self._socket.lift_read_limit()


class Answer:
    """See `services.UpstreamAnswer`."""

    def __init__(
        self,
        connection: connections.Connection,
        exchange: _Exchange,
        response: urllib3.BaseHTTPResponse,
        return_connection: Callable[[], None] | None,
        *,
        is_fully_sent: bool,
    ) -> None:
        self._is_fully_sent = is_fully_sent
        self._request_number = connection.requests
        self._connection = connection
        self._exchange = exchange
        self._status = response.status
        # The response closes its stream when it is garbage-collected, so a
        # reference to it is kept.
        self._response = response
        self._raw = connection.raw
        self._return_connection = return_connection
        self._is_complete = False
        self._is_closed = False
        self._headers = response.headers
        self._is_chunked = bool(self._raw.chunked)
        self._remaining_bytes = self._raw.length

    @property
    def status(self) -> int:
        """See `services.UpstreamAnswer`."""
        return self._status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """See `services.UpstreamAnswer`."""
        return headers_lib.for_caller(
            self._headers.iteritems(), self._is_chunked
        )

    @property
    def request_number(self) -> int:
        """See `services.UpstreamAnswer`."""
        return self._request_number

    @property
    def ends_with_connection(self) -> bool:
        """See `services.UpstreamAnswer`."""
        return self._remaining_bytes is None and not self._is_chunked

    def chunks(self) -> Iterator[result.Result[bytes, services.UpstreamError]]:
        """See `services.UpstreamAnswer`."""
        while self._remaining_bytes != 0:
            try:
                data = self._raw.read1(_READ_BYTES)
            except _READ_ERRORS as error:
                yield result.Err(_upstream_error(self._exchange, error, "ran"))
                return
            if not data:
                break
            if self._remaining_bytes is not None:
                self._remaining_bytes -= len(data)
            yield result.Ok(data)
        # A body without a length ends with its connection, so a cancelled
        # one would otherwise look complete.
        is_cut = self.ends_with_connection and not self._is_fully_sent
        if self._exchange.is_cancelled or self._remaining_bytes or is_cut:
            truncated = EOFError("The body ended early.")
            yield result.Err(_upstream_error(self._exchange, truncated, "ran"))
            return
        self._is_complete = True

    def set_read_timeout(self, timeout_s: float) -> None:
        """See `services.UpstreamAnswer`."""
        self._exchange.set_read_timeout(timeout_s)

    def limit_reads(self, max_bytes: int, within_s: float) -> None:
        """See `services.UpstreamAnswer`."""
        self._exchange.limit_reads(max_bytes, within_s)

    def cancel(self) -> None:
        """See `services.UpstreamAnswer`."""
        self._exchange.cancel()

    def close(self) -> None:
        """See `services.UpstreamAnswer`."""
        if self._is_closed:
            return
        self._is_closed = True
        if not self._is_complete:
            self._exchange.abort()
        self._raw.close()
        self._exchange.finish()
        if self._return_connection is not None and self._is_reusable():
            self._return_connection()
        else:
            self._connection.close()

    def _is_reusable(self) -> bool:
        # Unread bytes of this response would be taken for the beginning of
        # the next one, so a connection is reused only after a complete
        # response.
        return (
            self._is_complete
            and not self._exchange.is_cancelled
            and not self._raw.will_close
            and not self._raw.has_extra_bytes
        )


class UpstreamSettings(Protocol):
    """The settings of the HTTP client for upstreams."""

    @property
    def upstream_connect_timeout_s(self) -> float:
        """The longest time to open a connection, in seconds."""


class HttpUpstreams:
    """See `services.Upstreams`.

    The `ran` of an error is `not_run` only if no connection could be opened,
    so that no byte of the request was sent. It is `unknown` if the request
    fails on an open connection, and `ran` once the head of a response has
    arrived.
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
        use: services.ConnectionUse = services.ConnectionUse(),
        on_connected: Callable[[Callable[[], None]], None] | None = None,
    ) -> result.Result[Answer, services.UpstreamError]:
        """See `services.Upstreams`."""
        address = upstream.address
        idle = None if use.is_new else self._pool.take(address, use.request_id)
        connected = result.Ok(idle) if idle else self._connect(address)
        if isinstance(connected, result.Err):
            return connected
        connection = connected.ok_value
        connection.record_request(use.request_id)
        connection.timeout = timeout_s
        sock = connection.timed_socket()
        exchange = _Exchange(sock)
        if on_connected is not None:
            on_connected(exchange.cancel)
        headers_to_send = _headers_to_send(headers, use.is_new)
        try:
            is_fully_sent = _send_request(
                connection, method, path, headers_to_send, body
            )
            # Interim heads could follow each other without end.
            sock.limit_reads(_MAX_HEAD_BYTES, timeout_s)
            response = connection.getresponse()
            sock.lift_read_limit()
        except Exception as error:  # noqa: BLE001
            # An iterator as the body may raise any exception.
            exchange.abort()
            exchange.finish()
            connection.close()
            return result.Err(_send_error(exchange, error))
        if response.status < http.HTTPStatus.OK:
            # A protocol switch that was not requested.
            exchange.finish()
            connection.close()
            unexpected = ValueError(f"Unexpected status {response.status}.")
            return result.Err(_upstream_error(exchange, unexpected, "ran"))
        return_connection: Callable[[], None] | None = None
        if is_fully_sent and not use.is_new:
            return_connection = functools.partial(
                self._pool.put, address, connection
            )
        return result.Ok(
            Answer(
                connection,
                exchange,
                response,
                return_connection,
                is_fully_sent=is_fully_sent,
            )
        )

    def probe_address(
        self, upstream: records.Upstream
    ) -> services.AddressState:
        """See `services.Upstreams`."""
        try:
            socket.create_connection(
                addresses.parse(upstream.address, min_port=1), _PROBE_TIMEOUT_S
            ).close()
        except ConnectionRefusedError:
            return "refuses"
        except (OSError, ValueError):
            # A host that is cut off does not show whether the process lives.
            return "unreachable"
        return "accepts"

    def _connect(
        self, address: str
    ) -> result.Result[connections.Connection, services.UpstreamError]:
        try:
            connection = connections.Connection(
                *addresses.parse(address, min_port=1),
                timeout=self._connect_timeout_s,
            )
            connection.connect()
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            message = f"{type(error).__name__}: {error}"
            return result.Err(
                services.UpstreamError("unreachable", "not_run", message)
            )
        return result.Ok(connection)


def _headers_to_send(
    headers: Mapping[str, str], use_new_connection: bool
) -> dict[str, str]:
    headers_to_send = headers_lib.without_connection(headers)
    names = {name.lower() for name in headers_to_send}
    for name in _DEFAULT_HEADERS:
        if name not in names:
            headers_to_send[name] = urllib3.util.SKIP_HEADER
    if use_new_connection:
        headers_to_send["connection"] = "close"
    return headers_to_send


def _send_request(
    connection: connections.Connection,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: Iterator[bytes] | bytes,
) -> bool:
    """Sends a request; returns whether all of it was sent."""
    try:
        connection.request(
            method,
            path,
            # An empty body would give a GET a Content-Length header.
            body=body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=False,
        )
    except (BrokenPipeError, ConnectionResetError):
        # The upstream may have responded before it read the whole body. The
        # system reports a reset once: the end of what is read next looks like
        # that of a connection which was closed in order.
        return False
    return True


def _send_error(
    exchange: _Exchange, error: Exception
) -> services.UpstreamError:
    if isinstance(error, bodies.BodyError):
        # The caller's body failed; part of it may already have been sent.
        return services.UpstreamError("cancelled", "unknown", str(error))
    return _upstream_error(exchange, error, "unknown")


def _upstream_error(
    exchange: _Exchange, error: Exception, ran: services.ExecutionStatus
) -> services.UpstreamError:
    message = f"{type(error).__name__}: {error}"
    if exchange.is_cancelled:
        return services.UpstreamError("cancelled", ran, message)
    if isinstance(error, sockets.ReadLimitError):
        return services.UpstreamError("endless", ran, message)
    if isinstance(error, _TIMEOUT_ERRORS):
        return services.UpstreamError("timeout", ran, message)
    return services.UpstreamError("crashed", ran, message)
