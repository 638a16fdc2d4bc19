"""An upstream whose answers have no end, as a process of its own.

Run as `python endlessupstream.py HOST`; it prints its port. One thread sends to
all connections, so that neither the tests' process nor its crowd waits for it.
"""

import pathlib
import selectors
import socket
import subprocess
import sys

_END_OF_HEAD = b"\r\n\r\n"
_ATTEMPT = b"bulrushdeal-request-attempt-id:"
_BLOCK_BYTES = 64 * 1024
_HUGE_BYTES = 1 << 40
# What follows a head, by the last part of a request's path: how the body is
# framed, what is sent first, and what is sent again and again.
_EVENTS = b"id: 1\ndata: xx\n\n" * 100
SHAPES: dict[str, tuple[bytes, bytes, bytes]] = {
    "chunks": (
        b"Transfer-Encoding: chunked",
        b"",
        b"%x\r\n" % _BLOCK_BYTES + b"x" * _BLOCK_BYTES + b"\r\n",
    ),
    "tiny-chunks": (
        b"Transfer-Encoding: chunked",
        b"",
        b"2\r\nxx\r\n" * (_BLOCK_BYTES // 7),
    ),
    "one-chunk": (
        b"Transfer-Encoding: chunked",
        b"%x\r\n" % _HUGE_BYTES,
        b"x" * _BLOCK_BYTES,
    ),
    "events": (
        b"Transfer-Encoding: chunked",
        b"",
        b"%x\r\n" % len(_EVENTS) + _EVENTS + b"\r\n",
    ),
    "no-length": (b"X-Framing: none", b"", b"x" * _BLOCK_BYTES),
    "length": (
        b"Content-Length: %d" % _HUGE_BYTES,
        b"",
        b"x" * _BLOCK_BYTES,
    ),
}

# Those that are bodies of any kind, not events.
BODIES = tuple(name for name in SHAPES if name != "events")


class _Connection:
    """Reads a request, then sends without end."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.left = memoryview(b"")
        self._request = b""
        self._again = memoryview(b"")

    def read(self) -> bool:
        """Reads what has come; returns whether the connection is open."""
        data = self.socket.recv(_BLOCK_BYTES)
        if not self._again:
            self._request += data
            if _END_OF_HEAD in self._request:
                self._begin()
        return bool(data)

    def _begin(self) -> None:
        head = self._request.partition(_END_OF_HEAD)[0].split(b"\r\n")
        attempt = next(row for row in head if row.lower().startswith(_ATTEMPT))
        name = head[0].split(b" ")[1].rpartition(b"/")[2].decode()
        framing, first, again = SHAPES[name]
        rows = (
            b"HTTP/1.1 200 OK",
            attempt,
            b"Bulrushdeal-Server-Stamp: signed",
            framing,
        )
        self._again = memoryview(again)
        self.left = memoryview(b"\r\n".join((*rows, b"", b"")) + first)

    def send(self) -> None:
        """Sends as much as the receiver takes now."""
        sent = self.socket.send(self.left)
        self.left = self.left[sent:] or self._again


def _serve(host: str) -> None:
    selector = selectors.DefaultSelector()
    listener = socket.create_server((host, 0), backlog=512)
    listener.setblocking(False)
    print(listener.getsockname()[1], flush=True)
    selector.register(listener, selectors.EVENT_READ)
    while True:
        for key, mask in selector.select():
            if key.data is None:
                _accept(listener, selector)
            else:
                _step(key.data, mask, selector)


def _accept(listener: socket.socket, selector: selectors.BaseSelector) -> None:
    sock, _ = listener.accept()
    sock.setblocking(False)
    selector.register(sock, selectors.EVENT_READ, _Connection(sock))


def _step(
    connection: _Connection, mask: int, selector: selectors.BaseSelector
) -> None:
    sock = connection.socket
    try:
        is_open = not mask & selectors.EVENT_READ or connection.read()
        if is_open and mask & selectors.EVENT_WRITE and connection.left:
            connection.send()
    except BlockingIOError:
        return
    except OSError:
        is_open = False
    if not is_open:
        selector.unregister(sock)
        sock.close()
        return
    both = selectors.EVENT_READ | selectors.EVENT_WRITE
    wanted = both if connection.left else selectors.EVENT_READ
    selector.modify(sock, wanted, connection)


class EndlessUpstream:
    """The process of an upstream whose answers have no end.

    Attributes:
        instance: The name of the instance.
        address: Where it listens.
    """

    instance = "i-endless"

    def __init__(self, host: str) -> None:
        command = [sys.executable, str(pathlib.Path(__file__)), host]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert self._process.stdout is not None
        self._output = self._process.stdout
        port = int(self._output.readline())
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Ends the process."""
        self._process.kill()
        self._process.wait()
        self._output.close()


if __name__ == "__main__":
    _serve(sys.argv[1])
