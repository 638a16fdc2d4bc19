"""Sockets whose timeouts are enforced by the operating system."""

import socket
import struct
import time
from typing import Any, NamedTuple

_US_PER_S = 1_000_000
# The system doubles these for its own records.
_RECEIVE_BUFFER_BYTES = 16 * 1024
# For a caller's connection until a thread reads from it.
_WAITING_BUFFER_BYTES = 8 * 1024
_SEND_BUFFER_BYTES = 64 * 1024
# The most that may wait on a connection before it is read.
MAX_UNREAD_BYTES = 2 * _RECEIVE_BUFFER_BYTES
# What `limit_buffers` sets, as arguments of `setsockopt`.
BUFFER_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
    (socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
)


class ReadLimitError(OSError):
    """More bytes have arrived than were allowed, or for longer."""


class _ReadLimit(NamedTuple):
    left_bytes: int
    until_s: float


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
    _read_limit: _ReadLimit | None = None

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

    def limit_reads(self, max_bytes: int, within_s: float) -> None:
        """Limits what further reads return in all, and for how long.

        A timeout starts anew with each byte. Bytes that go on and on, of which
        nothing whole ever comes, would be read without end.
        """
        until_s = time.monotonic() + within_s
        self._read_limit = _ReadLimit(max_bytes, until_s)

    def lift_read_limit(self) -> None:
        """Lets further reads go on without limit."""
        self._read_limit = None

    def recv_into(self, *args: Any) -> int:
        """See `socket.socket`."""
        try:
            count = super().recv_into(*args)
        except BlockingIOError as error:
            raise self._timed_out(error) from None
        if self._read_limit is not None:
            self._count_read(self._read_limit, count)
        return count

    def _count_read(self, limit: _ReadLimit, count: int) -> None:
        left_bytes = limit.left_bytes - count
        self._read_limit = limit._replace(left_bytes=left_bytes)
        if left_bytes < 0:
            raise ReadLimitError("too many bytes without an end")
        if count and time.monotonic() > limit.until_s:
            raise ReadLimitError("bytes without an end for too long")

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


def limit_buffers(sock: socket.socket) -> None:
    """Bounds what the operating system buffers for a connection.

    Otherwise both buffers grow to megabytes if an end does not read, and what
    waits there counts as the VM's memory.

    Args:
        sock: A socket that is not connected yet: a sender whose receiver
            shrinks its buffer pauses again and again. Connections inherit the
            bounds of the listening socket that accepts them.
    """
    for option in BUFFER_OPTIONS:
        sock.setsockopt(*option)


def limit_accepted_buffers(listener: socket.socket) -> None:
    """Bounds what is buffered for the connections that a socket accepts.

    Also before they are accepted: those that wait may be many.

    Args:
        listener: A socket that listens, or is about to.
    """
    limit_buffers(listener)
    limit_receive_buffer(listener, _WAITING_BUFFER_BYTES)


def widen_receive_buffer(sock: socket.socket) -> None:
    """Lets as much arrive on an accepted connection as on any other."""
    limit_receive_buffer(sock, _RECEIVE_BUFFER_BYTES)


def limit_receive_buffer(sock: socket.socket, size_bytes: int) -> None:
    """Bounds what may arrive on a connection before it is read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


def _timeval(duration_s: float | None) -> bytes:
    if duration_s is None:
        return struct.pack("ll", 0, 0)
    # Zero would mean no timeout.
    whole_us = max(1, int(duration_s * _US_PER_S))
    return struct.pack("ll", *divmod(whole_us, _US_PER_S))
