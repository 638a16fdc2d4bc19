"""A stand-in upstream with a thread for each connection and long answers."""

import http.server
import threading

LONG_BYTES = 4_000_000
_PIECE_BYTES = 64 * 1024
# The events of a long stream and of a batch item's output.
_LONG_EVENTS = 250
_LONG_EVENT_BYTES = 16_000
_ITEM_EVENTS = 4
_ITEM_EVENT_BYTES = 50_000
_SHORT_EVENTS = 3


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    instance = ""

    def log_message(self, format: str, *args: object) -> None:
        """Logs nothing."""

    def do_GET(self) -> None:
        self._send_head(0)

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        try:
            self._answer()
        except OSError:
            self.close_connection = True

    def _answer(self) -> None:
        if self.path.startswith("/s/long/"):
            self._send_events(_LONG_EVENTS, _LONG_EVENT_BYTES)
        elif self.path.startswith("/s/"):
            self._send_events(_SHORT_EVENTS, 1)
        elif self.path.startswith("/b/"):
            self._send_events(_ITEM_EVENTS, _ITEM_EVENT_BYTES)
        elif "/long" in self.path:
            self._send_long()
        else:
            body = b"answer to " + self.path.encode()
            self._send_head(len(body))
            self.wfile.write(body)

    def _send_long(self) -> None:
        self._send_head(LONG_BYTES)
        piece = b"x" * _PIECE_BYTES
        for start in range(0, LONG_BYTES, _PIECE_BYTES):
            self.wfile.write(piece[: LONG_BYTES - start])

    def _send_events(self, count: int, size_bytes: int) -> None:
        first = int(self.headers.get("Last-Event-Id", "0")) + 1
        events = [
            f"id: {number}\ndata: {'x' * size_bytes}\n\n".encode()
            for number in range(first, count + 1)
        ]
        self._send_head(sum(map(len, events)), "text/event-stream")
        for event in events:
            self.wfile.write(event)

    def _send_head(self, length_bytes: int, kind: str = "text/plain") -> None:
        self.send_response(200)
        attempt = self.headers.get("Bulrushdeal-Request-Attempt-Id", "")
        self.send_header("Bulrushdeal-Request-Attempt-Id", attempt)
        self.send_header("Bulrushdeal-Server-Stamp", "signed")
        self.send_header("Bulrushdeal-Instance-Id", self.instance)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(length_bytes))
        self.end_headers()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: object, client_address: object) -> None:
        """Reports nothing: callers may leave at any time."""


class PlainUpstream:
    """Answers by the path: `/long` long, `/s/` and `/b/` with events."""

    def __init__(self, instance: str, host: str) -> None:
        self.instance = instance
        handler = type("Handler", (_Handler,), {"instance": instance})
        self._server = _Server((host, 0), handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """The `HOST:PORT` on which it listens."""
        host, port = self._server.server_address[:2]
        return f"{host!s}:{port}"

    def close(self) -> None:
        """Stops accepting connections."""
        self._server.shutdown()
        self._server.server_close()
