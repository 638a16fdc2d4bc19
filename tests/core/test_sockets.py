"""Tests of sockets whose timeouts the operating system enforces."""

import socket
import threading

import pytest

from bulrushdeal import sockets

SHORT_S = 0.05


def pair(timeout_s: float | None) -> tuple[sockets.TimedSocket, socket.socket]:
    """Returns an adopted socket with a timeout and its peer."""
    one, other = socket.socketpair()
    one.settimeout(timeout_s)
    return sockets.TimedSocket.adopt(one), other


def test_read_without_data_times_out_and_is_not_end_of_stream() -> None:
    # If an expired timeout looked like the end of the response, the upstream
    # would be taken for crashed and the request for the cause of the crash.
    ours, theirs = pair(SHORT_S)
    with ours, theirs, ours.makefile("rb") as reader:
        for read in (
            lambda: ours.recv(1),
            lambda: ours.recv_into(bytearray(1)),
            lambda: reader.read1(1),
        ):
            with pytest.raises(TimeoutError, match="timed out"):
                read()


def test_read_waits_for_data_within_the_timeout() -> None:
    # Guards against a read that returns at once if no data has arrived.
    ours, theirs = pair(60.0)
    with ours, theirs:
        threading.Timer(SHORT_S, theirs.sendall, (b"x",)).start()
        assert ours.recv(1) == b"x"


def test_write_times_out_if_the_peer_does_not_read() -> None:
    ours, theirs = pair(SHORT_S)
    with ours, theirs, pytest.raises(TimeoutError, match="timed out"):
        ours.sendall(bytes(50_000_000))


def test_read_without_a_timeout_waits() -> None:
    ours, theirs = pair(SHORT_S)
    with ours, theirs:
        ours.settimeout(None)
        threading.Timer(3 * SHORT_S, theirs.sendall, (b"late",)).start()
        assert ours.recv(4) == b"late"


def test_zero_timeout_does_not_block() -> None:
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
    # Requests are cancelled in this way from another thread.
    ours, theirs = pair(60.0)
    with ours, theirs:
        threading.Timer(SHORT_S, ours.shutdown, (socket.SHUT_RDWR,)).start()
        assert ours.recv(1) == b""


def test_adopt_detaches_the_original_socket() -> None:
    one, other = socket.socketpair()
    with sockets.TimedSocket.adopt(one) as ours, other:
        assert one.fileno() == -1
        other.sendall(b"x")
        assert ours.recv(1) == b"x"
