"""A small HTTP server based on `cheroot`, and the types of its handlers."""

from collections.abc import Callable, Iterable, Iterator, Mapping
import http
import json
import socket
import threading
from typing import Any, cast, NamedTuple, Protocol

from bulrushdeal import addresses
from bulrushdeal import exchanges
from bulrushdeal import httpconnections
from bulrushdeal import httpwire
from bulrushdeal import threads

_CHUNK_BYTES = 64 * 1024
# Threads wait on upstreams, so there are many more than processors.
DEFAULT_THREADS = 200
DEFAULT_LIMITS = httpconnections.Limits()
_BACKLOG = 512
_SOCKET_TIMEOUT_S = 60
# One connection may wait for a thread per this many threads. A burst of short
# requests fits in the queue; the bound keeps connections from waiting unnoticed
# behind long streams.
_THREADS_PER_WAITING = 4
_MIN_WAITING = 16


class BodyReader(Protocol):
    """A reader of a request's body, which may still be arriving."""

    def read(self, size_bytes: int = -1) -> bytes:
        """Returns up to `size_bytes` bytes, fewer only at the end."""


class Request(NamedTuple):
    """A request as it is passed to handlers.

    Attributes:
        method: The method in upper case.
        path: The path without the query, percent-decoded.
        query: The text after the question mark, not decoded.
        headers: The header values by lower-case name.
        body: The reader of the body.
        length_bytes: The length of the body, or -1 if it is not known.
        target: The path and query as they were received, not decoded.
        connection: The socket to the caller, to detect that the caller closed
            the connection.
        exchange: The account of what is held for the request and its answer.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: BodyReader
    length_bytes: int
    target: str = ""
    connection: socket.socket | None = None
    exchange: exchanges.Exchange | None = None


class Response(NamedTuple):
    """A response to a request.

    Attributes:
        status: The HTTP status code.
        headers: The names and values of the headers.
        body: The pieces of the body, each sent when it is yielded. A `close`
            method is called at the end if there is one.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]


Handler = Callable[[Request], Response]


def json_response(
    status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Returns a response with a JSON body."""
    body = json.dumps(value).encode()
    return Response(
        status,
        (
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ),
        (body,),
    )


def close_body(body: Iterable[bytes]) -> None:
    """Closes a response body if it has a `close` method."""
    closer = getattr(body, "close", None)
    if closer is not None:
        closer()


def read_chunks(body: BodyReader) -> Iterator[bytes]:
    """Yields a body in pieces of at most 64 KiB."""
    while chunk := body.read(_CHUNK_BYTES):
        yield chunk


def _request_of(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    # The length of a chunked body is unknown, whatever `Content-Length` says.
    is_chunked = environ.get("wsgi.input_terminated", False)
    length = "-1" if is_chunked else environ.get("CONTENT_LENGTH") or "-1"
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        headers,
        environ["wsgi.input"],
        int(length),
        environ.get("REQUEST_URI", ""),
        environ.get(httpwire.SOCKET_KEY),
        environ.get(httpwire.EXCHANGE_KEY),
    )


_BUSY_RESPONSE = json_response(503, {}, (("Retry-After", "1"),))


def _serialize(response: Response) -> bytes:
    """Returns the bytes of a response that closes the connection."""
    lines = [f"HTTP/1.1 {response.status} {_reason_phrase(response.status)}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    head = "\r\n".join((*lines, "Connection: close", "", ""))
    return head.encode("latin-1") + b"".join(response.body)


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class Server:
    """An HTTP server that uses one thread per connection being served.

    The number of accepted connections that wait for a thread is bounded,
    because the handler cannot see how long they have waited. Further
    connections are refused at once.

    Args:
        address: `HOST:PORT`; port 0 selects a free port.
        handler: The function that answers requests; it is called on the
            thread of the connection.
        threads: The maximum number of connections served at once.
        busy: The response to a refused connection; 503 by default.
        listener: A socket that listens on the address already; `None` to bind
            one at the start.
        room: The exchanges of the process and what they may hold; `None` for
            a room of this server's own.
        limits: Limits on its connections.
        refuses_unread: Whether refused connections are closed unread, which
            lets their callers try elsewhere at once, whatever they send.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int = DEFAULT_THREADS,
        busy: Response | None = None,
        listener: socket.socket | None = None,
        *,
        room: exchanges.Room | None = None,
        limits: httpconnections.Limits = DEFAULT_LIMITS,
        refuses_unread: bool = False,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._server = httpwire.Server(
            addresses.parse(address),
            self._run_wsgi,
            threads,
            max(threads // _THREADS_PER_WAITING, _MIN_WAITING),
            room=room or exchanges.Room(),
            limits=limits,
            refuses_unread=refuses_unread,
            request_queue_size=_BACKLOG,
            timeout=_SOCKET_TIMEOUT_S,
        )
        self._server.busy_response = _serialize(busy or _BUSY_RESPONSE)
        self._server.listener = listener
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """The port that the server listens on, known after `start`."""
        return cast(int, self._server.bind_addr[1])

    def start(self) -> None:
        """Binds the address and starts to serve on background threads."""
        self._server.prepare()
        self._thread = threads.start(self._server.serve, "httpd", is_vital=True)

    def set_limits(
        self, max_header_bytes: int, idle_s: float, head_timeout_s: float
    ) -> None:
        """Sets the limits of all connections, including open ones.

        Args:
            max_header_bytes: The maximum size of the request line and headers.
            idle_s: The maximum time, in seconds, that a connection may be idle
                or a read or write may block.
            head_timeout_s: The maximum time, in seconds, from the first byte of
                a request to the end of its headers.
        """
        self._server.max_request_header_size = max_header_bytes
        self._server.timeout = idle_s
        self._limits = self._limits._replace(head_timeout_s=head_timeout_s)
        self._server.set_limits(self._limits)

    def open_connections(self) -> int:
        """Returns the number of open connections."""
        if not self._server.ready:
            return 0
        return self._server.connections.open_count()

    def closed_early(self) -> Mapping[str, int]:
        """Returns how many connections were closed early, by why."""
        if not self._server.ready:
            return {}
        return self._server.connections.counts()

    def stop(self, grace_s: float) -> None:
        """Stops accepting and lets open requests finish within `grace_s` s."""
        self._server.shutdown_timeout = grace_s
        self._server.stop()
        if self._thread is not None:
            self._thread.join(grace_s)

    def _run_wsgi(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        response = self._handler(_request_of(environ))
        phrase = _reason_phrase(response.status)
        try:
            start_response(
                f"{response.status} {phrase}", list(response.headers)
            )
        except Exception:
            # A header is invalid. The server will not iterate or close the
            # body, so its resources would never be released.
            close_body(response.body)
            raise
        return response.body
