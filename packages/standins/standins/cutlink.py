"""A TCP link between two processes that can be cut and healed.

A cut link behaves as a network that drops all packets: connections stay
open and bring nothing, new ones open and bring nothing either, and nobody is
told. What was sent meanwhile arrives after the link is healed, late.
"""

from collections.abc import Callable
import contextlib
import socket
import threading

_READ_BYTES = 65536
_BACKLOG = 128


class CutLink:
    """Forwards connections to one address.

    Attributes:
        address: Where to connect to in the target's place.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._passes = threading.Event()
        self._passes.set()
        self._listener = socket.create_server(
            ("127.0.0.1", 0), backlog=_BACKLOG
        )
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        _thread(self._accept)

    def __enter__(self) -> "CutLink":
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def cut(self) -> None:
        """Lets nothing through any more."""
        self._passes.clear()

    def heal(self) -> None:
        """Lets all through, first what is under way."""
        self._passes.set()

    def close(self) -> None:
        """Ends the link and its connections."""
        self._listener.close()
        self._passes.set()
        with self._lock:
            ends = tuple(self._open)
        for end in ends:
            _shut(end)

    def _accept(self) -> None:
        # An error when the link is closed.
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self._listener.accept()
                _thread(self._join, accepted)

    def _join(self, accepted: socket.socket) -> None:
        self._passes.wait()
        host, _, port = self._target.rpartition(":")
        try:
            connected = socket.create_connection((host, int(port)))
        except OSError:
            accepted.close()
            return
        ends = {accepted, connected}
        with self._lock:
            self._open |= ends
        back = _thread(self._forward, connected, accepted)
        self._forward(accepted, connected)
        back.join()
        with self._lock:
            self._open -= ends
        for end in ends:
            end.close()

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        # An error ends both directions, as with a connection that is reset.
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                self._passes.wait()
                target.sendall(data)
        self._passes.wait()
        _shut(source)
        _shut(target)


def _thread(
    target: Callable[..., None], *arguments: socket.socket
) -> threading.Thread:
    thread = threading.Thread(
        target=target, args=arguments, name="cut link", daemon=True
    )
    thread.start()
    return thread


def _shut(end: socket.socket) -> None:
    # An error if the other end was faster.
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)
