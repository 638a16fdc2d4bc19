"""A small HTTP server for stand-ins that can break off at any point.

It is made from the standard library's server and not from `cheroot`, since
a stand-in has to drop a connection inside a head or a body.
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

_BACKLOG = 1024
_PEEK_BYTES = 64
_REMEMBERED_REQUESTS = 1000
_CRASH_STATUS = 3
# Requests to these paths are the test's own and never meet a fault.
_CONTROL_PATHS = (b" /v1/faults", b" /v1/stats", b" /load")

DropPoint = Literal[
    "", "head", "in_head", "body", "after_body", "answer_head", "answer"
]


class Faults(NamedTuple):
    """What goes wrong; each field is off by default.

    Attributes:
        crash_on: A request whose body holds this text drops its connection.
        crash_exits: Whether such a request ends the process as well.
        freeze_s: Silence before the head of each answer.
        freeze_in_answer_s: Silence in the middle of each answer.
        drop_at: Where the connection is dropped: before the request's head
            is read, inside it, inside its body, after the whole request
            has run, inside the answer's head, inside the answer's body.
        drop_times: How many requests meet the drop; below 0 for all.
        drop_reused: Only drops on a connection that served before.
        refuse_status: Answers each request with this error status.
    """

    crash_on: str = ""
    crash_exits: bool = False
    freeze_s: float = 0.0
    freeze_in_answer_s: float = 0.0
    drop_at: DropPoint = ""
    drop_times: int = -1
    drop_reused: bool = False
    refuse_status: int = 0


class Seen(NamedTuple):
    """One request as it came in.

    Attributes:
        method: As sent.
        path: With the query, as sent.
        headers: Names and values as sent.
        fingerprint: SHA-256 of the body.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    fingerprint: str


class DroppedError(Exception):
    """The connection was broken off, by a fault or by the client."""


def fingerprint(body: bytes) -> str:
    """Returns the name that a body's runs are counted under."""
    return hashlib.sha256(body).hexdigest()


class Server:
    """Serves a handler on threads; a subclass answers `serve`."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        host, _, port = address.rpartition(":")
        self.lock = threading.Lock()
        self.faults = Faults()
        self.seen: collections.deque[Seen] = collections.deque(
            maxlen=_REMEMBERED_REQUESTS
        )
        self.runs: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self._connections: set[socket.socket] = set()
        outer = self

        class Handler(_Handler):
            owner = outer

        self._server = _ThreadingServer((host, int(port)), Handler)

    @property
    def port(self) -> int:
        """The port it listens on."""
        return int(self._server.server_address[1])

    @property
    def address(self) -> str:
        """The `HOST:PORT` it listens on."""
        host = self._server.server_address[0]
        return f"{host!s}:{self.port}"

    def start(self) -> None:
        """Serves on threads of its own."""
        threading.Thread(
            target=self._server.serve_forever,
            kwargs={"poll_interval": 0.02},
            name="standin",
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stops at once; open connections break as in a crash."""
        self._server.shutdown()
        self._server.server_close()
        with self.lock:
            connections = tuple(self._connections)
        for connection in connections:
            _break(connection)

    def serve(self, exchange: "Exchange") -> None:
        """Answers one request; overridden."""
        raise NotImplementedError

    def stats(self) -> dict[str, Any]:
        """Returns what was seen, for tests."""
        with self.lock:
            return {
                **self.counts,
                "runs": dict(self.runs),
                "requests": [item._asdict() for item in self.seen],
            }

    def ran(self, name: str) -> None:
        """Counts one run under a fingerprint."""
        with self.lock:
            self.runs[name] += 1

    def count(self, name: str, number: int = 1) -> None:
        """Counts one event, or several."""
        with self.lock:
            self.counts[name] += number

    def takes_drop(self, point: DropPoint, is_reused: bool) -> bool:
        """Tells whether a request is dropped here, and counts it."""
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
        """Remembers a connection while it is open."""
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
        """Keeps quiet: clients of a stand-in break off on purpose."""


class Exchange:
    """One request and the means to answer it, with the faults applied."""

    def __init__(self, handler: "_Handler", body: bytes) -> None:
        self._handler = handler
        self._owner = handler.owner
        self.method = handler.command
        self.path = handler.path
        self.headers: tuple[tuple[str, str], ...] = tuple(
            handler.headers.items()
        )
        self.body = body

    def header(self, name: str) -> str:
        """Returns a header's value, empty if it is not there."""
        return str(self._handler.headers.get(name, ""))

    def answer(
        self, status: int, body: bytes, kind: str = "application/json"
    ) -> None:
        """Sends a whole answer."""
        self.begin(status, (("Content-Type", kind),), len(body))
        half = len(body) // 2
        self._handler.wfile.write(body[:half])
        self.middle()
        self._handler.wfile.write(body[half:])

    def answer_json(self, status: int, value: Any) -> None:
        """Sends a whole answer as JSON."""
        self.answer(status, json.dumps(value).encode())

    def begin(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length_bytes: int = -1,
    ) -> None:
        """Sends the head; the body is chunked if its length is not given."""
        if self._drops("answer_head"):
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

    def middle(self) -> None:
        """Applies the faults that lie inside the answer's body."""
        if self._drops("answer"):
            self.drop()
        freeze_s = self._owner.faults.freeze_in_answer_s
        if freeze_s > 0:
            self.wait(freeze_s)

    def wait(self, duration_s: float) -> None:
        """Waits unless the client leaves.

        Raises:
            DroppedError: The client closed its end.
        """
        end_s = time.monotonic() + duration_s
        while (left_s := end_s - time.monotonic()) > 0:
            if not self._handler.poll.poll(left_s * 1000):
                return
            self.check_client()
            time.sleep(min(0.001, max(end_s - time.monotonic(), 0)))

    def check_client(self) -> None:
        """Raises `DroppedError` if the client closed its end."""
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
        """Breaks the connection off.

        Raises:
            DroppedError: Always.
        """
        _break(self._handler.connection)
        raise DroppedError

    def _drops(self, point: DropPoint) -> bool:
        return self._owner.takes_drop(point, self._handler.served > 0)


class _Handler(server.BaseHTTPRequestHandler):
    owner: Server
    protocol_version = "HTTP/1.1"
    # Without this each token waits for the client's delayed acknowledgement.
    disable_nagle_algorithm = True
    wbufsize = 0

    def setup(self) -> None:
        super().setup()
        self.served = 0
        self.poll = select.poll()
        self.poll.register(self.connection, select.POLLIN)
        self.owner.track(self.connection, True)

    def finish(self) -> None:
        self.owner.track(self.connection, False)
        super().finish()

    def log_message(self, format: str, *args: Any) -> None:
        """Keeps quiet."""

    def handle_one_request(self) -> None:
        self.close_connection = True
        try:
            start = self.rfile.peek(_PEEK_BYTES)  # type: ignore[attr-defined]
            if not start:
                return
            if not any(path in start for path in _CONTROL_PATHS):
                self._drop_in_head()
            super().handle_one_request()
            self.served += 1
        except (DroppedError, OSError, ValueError):
            self.close_connection = True

    def _drop_in_head(self) -> None:
        is_reused = self.served > 0
        if self.owner.takes_drop("head", is_reused):
            _break(self.connection)
            raise DroppedError
        if self.owner.takes_drop("in_head", is_reused):
            self.rfile.readline()
            _break(self.connection)
            raise DroppedError

    def _serve(self) -> None:
        if self.path == "/v1/faults":
            values = json.loads(self._read_body())
            with self.owner.lock:
                self.owner.faults = Faults(**values)
            Exchange(self, b"").answer_json(200, values)
            return
        if self.path == "/v1/stats":
            Exchange(self, b"").answer_json(200, self.owner.stats())
            return
        is_reused = self.served > 0
        if self.owner.takes_drop("body", is_reused):
            self.rfile.read1(_PEEK_BYTES)
            _break(self.connection)
            raise DroppedError
        body = self._read_body()
        exchange = Exchange(self, body)
        seen = Seen(
            self.command, self.path, exchange.headers, fingerprint(body)
        )
        with self.owner.lock:
            self.owner.seen.append(seen)
        self._serve_with_faults(exchange, is_reused)

    def _serve_with_faults(self, exchange: Exchange, is_reused: bool) -> None:
        faults = self.owner.faults
        if faults.refuse_status:
            exchange.answer_json(faults.refuse_status, {"error": "refused"})
            return
        if faults.crash_on and faults.crash_on.encode() in exchange.body:
            self.owner.ran(fingerprint(exchange.body))
            self.owner.count("crashed")
            if faults.crash_exits:
                os._exit(_CRASH_STATUS)
            exchange.drop()
        if self.owner.takes_drop("after_body", is_reused):
            self.owner.ran(fingerprint(exchange.body))
            exchange.drop()
        if faults.freeze_s > 0:
            # A frozen process does not see its client leave.
            time.sleep(faults.freeze_s)
        self.owner.serve(exchange)

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


def _break(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other end was faster.
        return


def run(make: Callable[[], Server]) -> None:
    """Runs a stand-in as a process until it is ended."""
    standin = make()
    standin.start()
    print(f"listening {standin.address}", flush=True)
    threading.Event().wait()
