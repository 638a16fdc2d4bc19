"""A loopback proxy for one link, and what can go wrong on it."""

from collections.abc import Callable
import socket
import struct
import threading
import time
from typing import Literal

Mode = Literal["pass", "silent", "deaf", "mute", "refuse"]

_CHUNK_BYTES = 65536
_POLL_S = 0.05
# Closes with a reset: the other end must not take what came for an end.
_RESET = struct.pack("ii", 1, 0)


class _Pair:
    """A connection through the link, as its two sockets."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.is_stranded = False

    def reset(self) -> None:
        for end in (self.near, self.far):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                end.close()
            except OSError:
                continue


class Link:
    """Carries bytes from an address of its own to another.

    Attributes:
        mode: `silent` holds back both ways, `deaf` what goes to the target,
            `mute` what comes from it; `refuse` resets new connections.
        delay_s: How long each piece is held.
    """

    def __init__(self, target: Callable[[], tuple[str, int]]) -> None:
        self._target = target
        self.mode: Mode = "pass"
        self.delay_s = 0.0
        self._lock = threading.Lock()
        self._pairs: set[_Pair] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def text(self) -> str:
        """The address as `HOST:PORT`."""
        return f"{self.address[0]}:{self.address[1]}"

    def reset(self) -> None:
        """Resets all open connections."""
        for pair in self._take_all():
            pair.reset()

    def strand(self) -> None:
        """Makes open connections silent for good; new ones work."""
        with self._lock:
            for pair in self._pairs:
                pair.is_stranded = True

    def close(self) -> None:
        """Ends the link."""
        self._is_closed = True
        self._listener.close()
        self.reset()

    def _take_all(self) -> set[_Pair]:
        with self._lock:
            pairs, self._pairs = self._pairs, set()
        return pairs

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._carry, args=(near,), daemon=True
            ).start()

    def _carry(self, near: socket.socket) -> None:
        while self.mode == "silent" and not self._is_closed:
            time.sleep(_POLL_S)
        try:
            if self.mode == "refuse" or self._is_closed:
                raise ConnectionRefusedError
            far = socket.create_connection(self._target(), timeout=2.0)
        except OSError:
            _Pair(near, near).reset()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(near, far)
        with self._lock:
            self._pairs.add(pair)
        for source, sink, held in (
            (near, far, ("silent", "deaf")),
            (far, near, ("silent", "mute")),
        ):
            threading.Thread(
                target=self._pump, args=(pair, source, sink, held), daemon=True
            ).start()

    def _pump(
        self,
        pair: _Pair,
        source: socket.socket,
        sink: socket.socket,
        held: tuple[str, str],
    ) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                while pair.is_stranded or self.mode in held:
                    if self._is_closed or pair not in self._pairs:
                        return
                    time.sleep(_POLL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Either end is gone: the other one has to notice it at once.
            pair.reset()
        with self._lock:
            self._pairs.discard(pair)
