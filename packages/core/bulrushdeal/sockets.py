"""Sockets whose timeouts the kernel keeps."""

import socket
import struct
from typing import Any

_US = 1_000_000


class TimedSocket(socket.socket):
    """A connected socket whose timeouts cost no calls of their own.

    The standard library waits by a `poll` before each read and write of a
    socket with a timeout, and gives up the interpreter lock around both. A
    stream relayed token by token takes the lock four times a token that way,
    behind all other threads that want it, and twice this way.
    """

    # What no timeout equals: the first one set is always applied.
    _timeout_s: float | None = -1.0

    @classmethod
    def adopt(cls, sock: socket.socket) -> "TimedSocket":
        """Takes over a connection; `sock` itself is of no use any more."""
        timeout_s = sock.gettimeout()
        kind = (sock.family, sock.type, sock.proto)
        adopted = cls(*kind, sock.detach())
        adopted.settimeout(timeout_s)
        return adopted

    def settimeout(self, value: float | None) -> None:
        """Sets how long one read or write may take; `None` for ever."""
        if value == self._timeout_s:
            return
        self._timeout_s = value
        super().settimeout(0 if value == 0 else None)
        if value == 0:
            return
        packed = _timeval(value)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, packed)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, packed)

    def gettimeout(self) -> float | None:
        """Returns what was set."""
        return self._timeout_s

    def recv_into(self, *args: Any) -> int:
        """See `socket.socket`."""
        try:
            return super().recv_into(*args)
        except BlockingIOError as error:
            raise self._timed_out(error) from None

    def recv(self, *args: Any) -> bytes:
        """See `socket.socket`."""
        try:
            return super().recv(*args)
        except BlockingIOError as error:
            raise self._timed_out(error) from None

    def send(self, *args: Any) -> int:
        """See `socket.socket`."""
        try:
            return super().send(*args)
        except BlockingIOError as error:
            raise self._timed_out(error) from None

    def sendall(self, *args: Any) -> None:
        """See `socket.socket`."""
        try:
            super().sendall(*args)
        except BlockingIOError as error:
            raise self._timed_out(error) from None

    def _timed_out(self, error: BlockingIOError) -> OSError:
        # The kernel tells the end of its timeout and "nothing is there" in
        # the same way; only the first one is a timeout to a caller.
        return error if self._timeout_s == 0 else TimeoutError("timed out")


def _timeval(duration_s: float | None) -> bytes:
    if duration_s is None:
        return struct.pack("ll", 0, 0)
    # Zero would mean for ever.
    whole_us = max(1, int(duration_s * _US))
    return struct.pack("ll", *divmod(whole_us, _US))
