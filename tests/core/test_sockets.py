"""Tests of sockets whose timeouts the kernel keeps."""

import socket
import threading

import pytest

from bulrushdeal import sockets

SHORT_S = 0.05


def pair(timeout_s: float | None) -> tuple[sockets.TimedSocket, socket.socket]:
    """Returns an adopted end with a timeout, and the other end."""
    one, other = socket.socketpair()
    one.settimeout(timeout_s)
    return sockets.TimedSocket.adopt(one), other


def test_silence_is_a_timeout_and_not_the_end() -> None:
    # Read as "nothing is there", silence would pass for the end of the
    # answer, the upstream for crashed, and the request for its cause.
    ours, theirs = pair(SHORT_S)
    with ours, theirs, ours.makefile("rb") as reader:
        for read in (
            lambda: ours.recv(1),
            lambda: ours.recv_into(bytearray(1)),
            lambda: reader.read1(1),
        ):
            with pytest.raises(TimeoutError, match="timed out"):
                read()


def test_what_comes_in_time_is_waited_for() -> None:
    # Else the timeout of each read would be no more than a look.
    ours, theirs = pair(60.0)
    with ours, theirs:
        threading.Timer(SHORT_S, theirs.sendall, (b"x",)).start()
        assert ours.recv(1) == b"x"


def test_a_reader_that_takes_nothing_is_a_timeout() -> None:
    ours, theirs = pair(SHORT_S)
    with ours, theirs, pytest.raises(TimeoutError, match="timed out"):
        ours.sendall(bytes(50_000_000))


def test_without_a_timeout_it_waits() -> None:
    ours, theirs = pair(SHORT_S)
    with ours, theirs:
        ours.settimeout(None)
        threading.Timer(3 * SHORT_S, theirs.sendall, (b"late",)).start()
        assert ours.recv(4) == b"late"


def test_zero_asks_only_what_is_there() -> None:
    ours, theirs = pair(SHORT_S)
    with ours, theirs:
        ours.settimeout(0)
        assert ours.gettimeout() == 0
        with pytest.raises(BlockingIOError):
            ours.recv(1)
        ours.settimeout(SHORT_S)
        assert ours.gettimeout() == SHORT_S
        with pytest.raises(TimeoutError):
            ours.recv(1)


def test_a_shutdown_wakes_a_blocked_reader() -> None:
    # How a request is cancelled from another thread.
    ours, theirs = pair(60.0)
    with ours, theirs:
        threading.Timer(SHORT_S, ours.shutdown, (socket.SHUT_RDWR,)).start()
        assert ours.recv(1) == b""


def test_the_adopted_socket_is_left_without_the_connection() -> None:
    one, other = socket.socketpair()
    with sockets.TimedSocket.adopt(one) as ours, other:
        assert one.fileno() == -1
        other.sendall(b"x")
        assert ours.recv(1) == b"x"
