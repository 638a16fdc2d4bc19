"""A TCP link between two processes that can be cut and healed.

A cut link behaves like a network that drops all packets: existing and new
connections are open but deliver no data, and neither end sees an error. Data
sent while the link is cut is delivered after the link is healed.
"""

from collections.abc import Callable
import contextlib
import socket
import threading

from bulrushdeal import addresses

_READ_BYTES = 65536
_BACKLOG = 128


class CutLink:
    """Forwards TCP connections to one target address.

    Attributes:
        address: The `HOST:PORT` that clients connect to instead of the target.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._healed = threading.Event()
        self._healed.set()
        self._listener = socket.create_server(
            ("127.0.0.1", 0), backlog=_BACKLOG
        )
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        _start_thread(self._accept)

    def __enter__(self) -> "CutLink":
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def cut(self) -> None:
        """Stops forwarding on all connections, existing and new."""
        self._healed.clear()

    def heal(self) -> None:
        """Forwards again, beginning with the data held back by the cut."""
        self._healed.set()

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self._listener.close()
        self._healed.set()
        with self._lock:
            ends = tuple(self._sockets)
        for end in ends:
            _shut_down(end)

    def _accept(self) -> None:
        # `close` makes `accept` fail.
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self._listener.accept()
                _start_thread(self._relay, accepted)

    def _relay(self, accepted: socket.socket) -> None:
        self._healed.wait()
        try:
            connected = socket.create_connection(addresses.parse(self._target))
        except OSError:
            accepted.close()
            return
        ends = {accepted, connected}
        with self._lock:
            self._sockets |= ends
        reverse = _start_thread(self._forward, connected, accepted)
        self._forward(accepted, connected)
        reverse.join()
        with self._lock:
            self._sockets -= ends
        for end in ends:
            end.close()

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        # An error in one direction ends both, as when a connection is reset.
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                self._healed.wait()
                target.sendall(data)
        self._healed.wait()
        _shut_down(source)
        _shut_down(target)


def _start_thread(
    target: Callable[..., None], *arguments: socket.socket
) -> threading.Thread:
    thread = threading.Thread(
        target=target, args=arguments, name="cut link", daemon=True
    )
    thread.start()
    return thread


def _shut_down(end: socket.socket) -> None:
    # Fails if the peer has closed the connection already.
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)
