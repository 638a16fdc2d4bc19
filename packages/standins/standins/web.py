"""A small HTTP server for stand-ins that can drop a connection at any point.

It is built on the standard library's server and not on `cheroot`, because a
stand-in has to drop connections in the middle of a head or a body.
"""

import collections
from collections.abc import Callable
import hashlib
from http import server
import json
import os
import select
import socket
import socketserver
import threading
import time
from typing import Any, Literal, NamedTuple

from bulrushdeal import addresses

_BACKLOG = 1024
_PEEK_BYTES = 64
_MAX_KEPT_REQUESTS = 1000
_CRASH_STATUS = 3
# Faults never apply to these paths, which tests use to control the stand-in.
_CONTROL_PATHS = (b" /v1/faults", b" /v1/stats", b" /load")

DropPoint = Literal[
    "", "head", "in_head", "body", "after_body", "answer_head", "answer"
]


class Faults(NamedTuple):
    """The injected faults; all are off by default.

    Attributes:
        crash_on: A request whose body contains this text drops its connection;
            empty for none.
        crash_exits: Whether such a request ends the process as well.
        freeze_s: Seconds without output before the head of each answer.
        freeze_in_answer_s: Seconds without output in the body of each answer.
        drop_at: Where the connection is dropped: before the request's head
            is read, inside it, inside its body, after the whole request
            has run, inside the answer's head, inside the answer's body.
        drop_times: How many requests are dropped; negative for all.
        drop_reused: Whether to drop only requests on a connection that has
            served an earlier request.
        refuse_status: The error status that answers every request; 0 for none.
    """

    crash_on: str = ""
    crash_exits: bool = False
    freeze_s: float = 0.0
    freeze_in_answer_s: float = 0.0
    drop_at: DropPoint = ""
    drop_times: int = -1
    drop_reused: bool = False
    refuse_status: int = 0


class ReceivedRequest(NamedTuple):
    """One request as received.

    Attributes:
        method: The HTTP method.
        path: The path with the query.
        headers: Names and values of the headers.
        fingerprint: SHA-256 of the body.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    fingerprint: str


class DroppedError(Exception):
    """A fault or the client closed the connection."""


def fingerprint(body: bytes) -> str:
    """Returns the hash of a body, under which its runs are counted."""
    return hashlib.sha256(body).hexdigest()


class Server:
    """An HTTP server with a thread for each connection.

    Subclasses override `serve`. The paths `/v1/faults` and `/v1/stats` are
    served here.

    Attributes:
        lock: Held while the other attributes change.
        faults: The faults injected at present.
        seen: The latest requests.
        runs: How often a request was run, by the name passed to `ran`.
        counts: Event counters by name.
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        host, port = addresses.parse(address)
        self.lock = threading.Lock()
        self.faults = Faults()
        self.seen: collections.deque[ReceivedRequest] = collections.deque(
            maxlen=_MAX_KEPT_REQUESTS
        )
        self.runs: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self._connections: set[socket.socket] = set()
        outer = self

        class Handler(_Handler):
            standin = outer

        self._server = _ThreadingServer((host, port), Handler)

    @property
    def port(self) -> int:
        """The listening port."""
        return int(self._server.server_address[1])

    @property
    def address(self) -> str:
        """The listening `HOST:PORT`."""
        host = self._server.server_address[0]
        return f"{host!s}:{self.port}"

    def start(self) -> None:
        """Starts serving in the background."""
        threading.Thread(
            target=self._server.serve_forever,
            kwargs={"poll_interval": 0.02},
            name="standin",
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stops at once and drops open connections, as a crash does."""
        self._server.shutdown()
        self._server.server_close()
        with self.lock:
            connections = tuple(self._connections)
        for connection in connections:
            _shut_down(connection)

    def serve(self, exchange: "Exchange") -> None:
        """Answers one request.

        Raises:
            NotImplementedError: A subclass has to override this method.
        """
        raise NotImplementedError

    def stats(self) -> dict[str, Any]:
        """Returns the counters, runs and latest requests, for tests."""
        with self.lock:
            return {
                **self.counts,
                "runs": dict(self.runs),
                "requests": [item._asdict() for item in self.seen],
            }

    def ran(self, name: str) -> None:
        """Counts one run of a request under a name, such as its fingerprint."""
        with self.lock:
            self.runs[name] += 1

    def count(self, name: str, number: int = 1) -> None:
        """Adds `number` to the event counter `name`."""
        with self.lock:
            self.counts[name] += number

    def consume_drop(self, point: DropPoint, is_reused: bool) -> bool:
        """Returns whether to drop a request at `point`, and counts the drop.

        Args:
            point: How far the request has come.
            is_reused: Whether the connection has served an earlier request.
        """
        with self.lock:
            faults = self.faults
            if faults.drop_at != point or faults.drop_times == 0:
                return False
            if faults.drop_reused and not is_reused:
                return False
            if faults.drop_times > 0:
                left = faults.drop_times - 1
                self.faults = faults._replace(drop_times=left)
            self.counts["dropped"] += 1
            return True

    def track(self, connection: socket.socket, is_open: bool) -> None:
        """Records that a connection was opened or closed, for `stop`."""
        with self.lock:
            if is_open:
                self._connections.add(connection)
            else:
                self._connections.discard(connection)


class _ThreadingServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = _BACKLOG

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Logs nothing, because clients of a stand-in disconnect on purpose."""


class Exchange:
    """One request, with methods that answer it and inject faults."""

    def __init__(self, handler: "_Handler", body: bytes) -> None:
        self._handler = handler
        self._standin = handler.standin
        self.method = handler.command
        self.path = handler.path
        self.headers: tuple[tuple[str, str], ...] = tuple(
            handler.headers.items()
        )
        self.body = body

    def header(self, name: str) -> str:
        """Returns the value of a header, empty if it is missing."""
        return str(self._handler.headers.get(name, ""))

    def answer(
        self, status: int, body: bytes, kind: str = "application/json"
    ) -> None:
        """Sends an answer that is not chunked."""
        self.begin(status, (("Content-Type", kind),), len(body))
        half = len(body) // 2
        self._handler.wfile.write(body[:half])
        self.apply_body_faults()
        self._handler.wfile.write(body[half:])

    def answer_json(self, status: int, value: Any) -> None:
        """Sends a JSON answer that is not chunked."""
        self.answer(status, json.dumps(value).encode())

    def begin(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length_bytes: int = -1,
    ) -> None:
        """Sends the head; the body is chunked if `length_bytes` is negative."""
        if self._consume_drop("answer_head"):
            self._handler.wfile.write(b"HTTP/1.1 200 O")
            self.drop()
        self._handler.send_response(status)
        for name, value in headers:
            self._handler.send_header(name, value)
        if length_bytes < 0:
            self._handler.send_header("Transfer-Encoding", "chunked")
        else:
            self._handler.send_header("Content-Length", str(length_bytes))
        self._handler.end_headers()

    def chunk(self, data: bytes) -> None:
        """Sends one chunk of a chunked body; an empty one ends it."""
        self._handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def apply_body_faults(self) -> None:
        """Applies the faults that occur in the middle of an answer's body."""
        if self._consume_drop("answer"):
            self.drop()
        freeze_s = self._standin.faults.freeze_in_answer_s
        if freeze_s > 0:
            self.wait(freeze_s)

    def wait(self, duration_s: float) -> None:
        """Waits for `duration_s`, or until the client disconnects.

        Raises:
            DroppedError: The client closed its end of the connection.
        """
        end_s = time.monotonic() + duration_s
        while (left_s := end_s - time.monotonic()) > 0:
            if not self._handler.poll.poll(left_s * 1000):
                return
            self.check_client()
            time.sleep(min(0.001, max(end_s - time.monotonic(), 0)))

    def check_client(self) -> None:
        """Checks that the client is still connected.

        Raises:
            DroppedError: The client closed its end of the connection.
        """
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            data = self._handler.connection.recv(1, flags)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            raise DroppedError

    def drop(self) -> None:
        """Drops the connection.

        Raises:
            DroppedError: Always.
        """
        _shut_down(self._handler.connection)
        raise DroppedError

    def _consume_drop(self, point: DropPoint) -> bool:
        return self._standin.consume_drop(
            point, self._handler.served_requests > 0
        )


class _Handler(server.BaseHTTPRequestHandler):
    standin: Server
    protocol_version = "HTTP/1.1"
    # Nagle's algorithm would hold each token back until the client's delayed
    # acknowledgement of the one before.
    disable_nagle_algorithm = True
    wbufsize = 0

    def setup(self) -> None:
        super().setup()
        self.served_requests = 0
        self.poll = select.poll()
        self.poll.register(self.connection, select.POLLIN)
        self.standin.track(self.connection, True)

    def finish(self) -> None:
        self.standin.track(self.connection, False)
        super().finish()

    def log_message(self, format: str, *args: Any) -> None:
        """Logs nothing."""

    def handle_one_request(self) -> None:
        self.close_connection = True
        try:
            start = self.rfile.peek(_PEEK_BYTES)  # type: ignore[attr-defined]
            if not start:
                return
            if not any(path in start for path in _CONTROL_PATHS):
                self._apply_head_faults()
            super().handle_one_request()
            self.served_requests += 1
        except (DroppedError, OSError, ValueError):
            self.close_connection = True

    def _apply_head_faults(self) -> None:
        is_reused = self.served_requests > 0
        if self.standin.consume_drop("head", is_reused):
            _shut_down(self.connection)
            raise DroppedError
        if self.standin.consume_drop("in_head", is_reused):
            self.rfile.readline()
            _shut_down(self.connection)
            raise DroppedError

    def _serve(self) -> None:
        if self.path == "/v1/faults":
            values = json.loads(self._read_body())
            with self.standin.lock:
                self.standin.faults = Faults(**values)
            Exchange(self, b"").answer_json(200, values)
            return
        if self.path == "/v1/stats":
            Exchange(self, b"").answer_json(200, self.standin.stats())
            return
        is_reused = self.served_requests > 0
        if self.standin.consume_drop("body", is_reused):
            self.rfile.read1(_PEEK_BYTES)
            _shut_down(self.connection)
            raise DroppedError
        body = self._read_body()
        exchange = Exchange(self, body)
        seen = ReceivedRequest(
            self.command, self.path, exchange.headers, fingerprint(body)
        )
        with self.standin.lock:
            self.standin.seen.append(seen)
        self._serve_with_faults(exchange, is_reused)

    def _serve_with_faults(self, exchange: Exchange, is_reused: bool) -> None:
        faults = self.standin.faults
        if faults.refuse_status:
            exchange.answer_json(faults.refuse_status, {"error": "refused"})
            return
        if faults.crash_on and faults.crash_on.encode() in exchange.body:
            self.standin.ran(fingerprint(exchange.body))
            self.standin.count("crashed")
            if faults.crash_exits:
                os._exit(_CRASH_STATUS)
            exchange.drop()
        if self.standin.consume_drop("after_body", is_reused):
            self.standin.ran(fingerprint(exchange.body))
            exchange.drop()
        if faults.freeze_s > 0:
            # Like a frozen process, this does not notice a client disconnect.
            time.sleep(faults.freeze_s)
        self.standin.serve(exchange)

    def _read_body(self) -> bytes:
        if self.headers.get("Transfer-Encoding", "") == "chunked":
            return self._read_chunked()
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size)
        if len(body) < size:
            raise DroppedError
        return body

    def _read_chunked(self) -> bytes:
        parts: list[bytes] = []
        while size := int(self.rfile.readline(), 16):
            part = self.rfile.read(size)
            if len(part) < size:
                raise DroppedError
            parts.append(part)
            self.rfile.readline()
        self.rfile.readline()
        return b"".join(parts)

    do_GET = do_HEAD = do_POST = do_PUT = _serve  # noqa: N815
    do_DELETE = do_PATCH = do_OPTIONS = _serve  # noqa: N815


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer has closed the connection already.
        return


def run(make: Callable[[], Server]) -> None:
    """Serves a stand-in until the process ends, and prints its address."""
    standin = make()
    standin.start()
    print(f"listening {standin.address}", flush=True)
    threading.Event().wait()
