"""An engine that answers each request as a function of the test does."""

from collections.abc import Callable
import contextlib
import re
import socket
import threading

_END_OF_HEAD = b"\r\n\r\n"
# Little, so that the most of a long body is not read with its head.
_READ_BYTES = 1024

Serve = Callable[[socket.socket, bytes], None]


class RawEngine:
    """Reads each request and lets a function answer it, then closes.

    Args:
        instance: The name of the instance.
        serve: Answers a request on its connection.
        reads_body: Whether it reads the body, too, before it answers.

    Attributes:
        instance: The name of the instance.
        address: Where it listens.
        requests: How many requests it has read.
    """

    def __init__(
        self, instance: str, serve: Serve, *, reads_body: bool = True
    ) -> None:
        self.instance = instance
        self.requests = 0
        self._serve = serve
        self._is_read = _is_whole if reads_body else _has_head
        self._socket = socket.create_server(("127.0.0.1", 0))
        port = self._socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            request = b""
            while not self._is_read(request):
                data = connection.recv(_READ_BYTES)
                if not data:
                    return
                request += data
            self.requests += 1
            self._serve(connection, request)


def _has_head(request: bytes) -> bool:
    return _END_OF_HEAD in request


def _is_whole(request: bytes) -> bool:
    """Returns whether all of a request has come.

    A connection that is closed with unread bytes is reset.
    """
    head, end, body = request.partition(_END_OF_HEAD)
    lengths = re.findall(rb"(?im)^content-length: *(\d+)", head)
    return bool(end) and len(body) >= int(lengths[0] if lengths else 0)


def head(request: bytes, *more: str) -> bytes:
    """Returns a head that names its request, with more lines at its end."""
    (attempt,) = [
        line.partition(":")[2].strip()
        for line in request.decode().split("\r\n")
        if line.lower().startswith("bulrushdeal-request-attempt-id:")
    ]
    rows = [
        "HTTP/1.1 200 OK",
        f"Bulrushdeal-Request-Attempt-Id: {attempt}",
        "Bulrushdeal-Server-Stamp: signed",
        "Connection: close",
        *more,
        "",
        "",
    ]
    return "\r\n".join(rows).encode("latin-1")
