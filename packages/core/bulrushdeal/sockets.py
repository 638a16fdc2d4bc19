"""Sockets whose timeouts are enforced by the operating system."""

import socket
import struct
from typing import Any

_US_PER_S = 1_000_000


class TimedSocket(socket.socket):
    """A connected socket whose timeouts need no additional system calls.

    The standard library calls `poll` before each read and write of a socket
    with a timeout, and releases the global interpreter lock around both calls.
    Relaying a stream then acquires the lock four times per token, each time
    waiting for all other threads that want it. With timeouts set by
    `SO_RCVTIMEO` and `SO_SNDTIMEO` it is acquired twice per token.
    """

    # Equal to no valid timeout, so the first one set is always applied.
    _timeout_s: float | None = -1.0

    @classmethod
    def adopt(cls, sock: socket.socket) -> "TimedSocket":
        """Takes over the connection of `sock`, which becomes unusable."""
        timeout_s = sock.gettimeout()
        kind = (sock.family, sock.type, sock.proto)
        adopted = cls(*kind, sock.detach())
        adopted.settimeout(timeout_s)
        return adopted

    def settimeout(self, value: float | None) -> None:
        """Sets the timeout of reads and writes in seconds; `None` for none."""
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
        """Returns the timeout in seconds, or `None` if there is none."""
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
        # The operating system reports EAGAIN both for an expired timeout and
        # for a non-blocking call without data; only the first is a timeout.
        return error if self._timeout_s == 0 else TimeoutError("timed out")


def _timeval(duration_s: float | None) -> bytes:
    if duration_s is None:
        return struct.pack("ll", 0, 0)
    # Zero would mean no timeout.
    whole_us = max(1, int(duration_s * _US_PER_S))
    return struct.pack("ll", *divmod(whole_us, _US_PER_S))
