"""Crowds of clients that do not behave, driven by one thread."""

from collections.abc import Sequence
import contextlib
import errno
import selectors
import socket
import struct
import threading
import time
from typing import NamedTuple

_TICK_S = 0.05
_PIECE_BYTES = 256 * 1024
_RETURN_S = 0.5
_SETTLE_TIMEOUT_S = 60.0
# A slow reader lets little wait in its own buffer.
_SLOW_BUFFER_BYTES = 4096
_LINGER_RESET = struct.pack("ii", 1, 0)


class Behaviour(NamedTuple):
    """What each client of a crowd does on each of its connections.

    Attributes:
        opening: What it sends at once.
        drip: What it sends again and again afterwards; empty for nothing.
        drip_s: The pause before each drip, in seconds.
        read_bytes_per_s: How fast it reads; negative for at once.
        closes_by_reset: Whether it leaves by a reset.
    """

    opening: bytes = b""
    drip: bytes = b""
    drip_s: float = 0.5
    read_bytes_per_s: int = -1
    closes_by_reset: bool = False


class _Client:
    """One client, which connects again a moment after it was closed."""

    def __init__(
        self, address: tuple[str, int], behaviour: Behaviour, selector: "_Poll"
    ) -> None:
        self._address = address
        self._behaviour = behaviour
        self._selector = selector
        self._socket: socket.socket | None = None
        self._left = memoryview(b"")
        self._drip_at_s = 0.0
        self._return_at_s = 0.0
        self.has_sent = False

    def tick(self, now_s: float) -> None:
        """Does what is due."""
        if self._socket is None:
            if now_s >= self._return_at_s:
                self._connect(now_s)
            return
        behaviour = self._behaviour
        if behaviour.drip and not self._left and now_s >= self._drip_at_s:
            self._drip_at_s = now_s + behaviour.drip_s
            self._left = memoryview(behaviour.drip)
            self._listen()
        if behaviour.read_bytes_per_s >= 0:
            size_bytes = max(int(behaviour.read_bytes_per_s * _TICK_S), 1)
            self._read(size_bytes if behaviour.read_bytes_per_s else 0)

    def on_event(self, mask: int) -> None:
        """Sends or reads as its socket allows."""
        if mask & selectors.EVENT_WRITE:
            self._send()
        if self._socket is not None and mask & selectors.EVENT_READ:
            self._read(_PIECE_BYTES)

    def close(self) -> None:
        """Closes the connection."""
        sock, self._socket = self._socket, None
        if sock is None:
            return
        self._selector.remove(sock)
        if self._behaviour.closes_by_reset:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
        sock.close()

    def _connect(self, now_s: float) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if self._behaviour.read_bytes_per_s >= 0:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES
            )
        if sock.connect_ex(self._address) not in (0, errno.EINPROGRESS):
            sock.close()
            self._return_at_s = now_s + _RETURN_S
            return
        self._socket = sock
        self._left = memoryview(self._behaviour.opening)
        self._drip_at_s = now_s + self._behaviour.drip_s
        self._selector.add(sock, self)
        self._listen()

    def _listen(self) -> None:
        if self._socket is None:
            return
        mask = selectors.EVENT_WRITE if self._left else 0
        if self._behaviour.read_bytes_per_s < 0:
            mask |= selectors.EVENT_READ
        self._selector.watch(self._socket, mask, self)

    def _send(self) -> None:
        assert self._socket is not None
        try:
            sent = self._socket.send(self._left[:_PIECE_BYTES])
        except BlockingIOError:
            return
        except OSError:
            self._leave()
            return
        self._left = self._left[sent:]
        if not self._left:
            self.has_sent = True
            self._listen()

    def _read(self, size_bytes: int) -> None:
        if not size_bytes or self._socket is None:
            return
        try:
            if not self._socket.recv(size_bytes):
                self._leave()
        except BlockingIOError:
            return
        except OSError:
            self._leave()

    def _leave(self) -> None:
        # One that was turned away has done what it came for.
        self.has_sent = True
        self.close()
        self._return_at_s = time.monotonic() + _RETURN_S


class _Poll:
    """A selector that also takes sockets with nothing to wait for."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._masks: dict[int, int] = {}

    def add(self, sock: socket.socket, client: _Client) -> None:
        del client
        self._masks[sock.fileno()] = 0

    def watch(self, sock: socket.socket, mask: int, client: _Client) -> None:
        before = self._masks[sock.fileno()]
        self._masks[sock.fileno()] = mask
        if before and mask:
            self._selector.modify(sock, mask, client)
        elif before:
            self._selector.unregister(sock)
        elif mask:
            self._selector.register(sock, mask, client)

    def remove(self, sock: socket.socket) -> None:
        if self._masks.pop(sock.fileno(), 0):
            self._selector.unregister(sock)

    def wait(self, timeout_s: float) -> None:
        for key, mask in self._selector.select(timeout_s):
            key.data.on_event(mask)


class Crowd:
    """Clients that go on with what they do until the crowd is left.

    Args:
        address: The host and port that they connect to.
        behaviours: What they do, one entry for each client.
    """

    def __init__(
        self, address: tuple[str, int], behaviours: Sequence[Behaviour]
    ) -> None:
        self._poll = _Poll()
        self._clients = [
            _Client(address, behaviour, self._poll) for behaviour in behaviours
        ]
        self._is_leaving = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Crowd":
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._is_leaving = True
        self._thread.join()

    def wait_sent(self, at_least: int) -> None:
        """Waits until so many have sent their opening or were turned away."""
        end_s = time.monotonic() + _SETTLE_TIMEOUT_S
        while sum(client.has_sent for client in self._clients) < at_least:
            assert time.monotonic() < end_s, "the crowd could not connect"
            time.sleep(_TICK_S)

    def _run(self) -> None:
        next_tick_s = 0.0
        while not self._is_leaving:
            now_s = time.monotonic()
            if now_s >= next_tick_s:
                next_tick_s = now_s + _TICK_S
                for client in self._clients:
                    client.tick(now_s)
            self._poll.wait(max(next_tick_s - time.monotonic(), 0.0))
        for client in self._clients:
            client.close()
