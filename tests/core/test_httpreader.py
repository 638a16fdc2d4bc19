"""Tests the reader of requests: lines, bodies and chunks in any pieces."""

from collections.abc import Iterator
import itertools
import socket

from hypothesis import given
from hypothesis import strategies
import pytest

from bulrushdeal import exchanges
from bulrushdeal import httpreader
from bulrushdeal import sockets


class Pieces:
    """A socket that receives the given pieces, and then the end."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = pieces

    def recv_into(self, view: memoryview, size: int = 0, flags: int = 0) -> int:
        del flags
        size = size or len(view)
        if not self._pieces:
            return 0
        piece = self._pieces.pop(0)
        if len(piece) > size:
            self._pieces.insert(0, piece[size:])
        received = piece[:size]
        view[: len(received)] = received
        return len(received)

    def setsockopt(self, *option: int) -> None:
        """Ignores the option."""


def reader_of(pieces: list[bytes]) -> httpreader.Reader:
    filled = [piece for piece in pieces if piece]
    return httpreader.Reader(Pieces(filled))  # type: ignore[arg-type]


def cut(data: bytes, at: list[int]) -> list[bytes]:
    places = sorted({place % (len(data) + 1) for place in at})
    bounds = [0, *places, len(data)]
    return [data[start:end] for start, end in itertools.pairwise(bounds)]


@given(
    body=strategies.binary(max_size=3000),
    sizes=strategies.lists(strategies.integers(1, 400), min_size=1),
    at=strategies.lists(strategies.integers(0, 20_000), max_size=30),
    read_bytes=strategies.integers(1, 500),
)
def test_chunks_are_joined_however_they_arrive(
    body: bytes, sizes: list[int], at: list[int], read_bytes: int
) -> None:
    wire, left, position = b"", body, 0
    while left:
        size = sizes[position % len(sizes)]
        chunk, left = left[:size], left[size:]
        wire += b"%x;ext=1\r\n%b\r\n" % (len(chunk), chunk)
        position += 1
    wire += b"0\r\nX-Trailer: 1\r\n\r\n"
    reader = reader_of(cut(wire + b"GET / HTTP/1.1", at))
    chunked = httpreader.ChunkedBody(reader)
    pieces = []
    while piece := chunked.read(read_bytes):
        assert len(piece) <= read_bytes
        pieces.append(piece)
    assert b"".join(pieces) == body
    assert chunked.closed
    assert reader.read() == b"GET / HTTP/1.1"


@pytest.mark.parametrize(
    ("wire", "message"),
    [
        (b"2\nab\r\n0\r\n\r\n", "no size"),
        (b"\r\nab\r\n", "no size"),
        (b"1" * 2000, "no size"),
        (b"2\r\nab", "cut"),
        (b"2\r\nabx\r\n", "no end"),
        (b"0\r\n" + b"X: 1\r\n" * 200, "too long"),
        (b"0\r\nX: 1\r\n", "cut"),
    ],
)
def test_malformed_chunks_are_refused(wire: bytes, message: str) -> None:
    # Guards against bodies that others on the way read differently.
    for size in (1, 7, len(wire)):
        pieces = [
            wire[start : start + size] for start in range(0, len(wire), size)
        ]
        chunked = httpreader.ChunkedBody(reader_of(pieces))
        with pytest.raises(ValueError, match=message):
            chunked.read(100)


@given(
    data=strategies.binary(max_size=600),
    at=strategies.lists(strategies.integers(0, 600), max_size=20),
    limit=strategies.integers(1, 300),
)
def test_lines_end_where_they_should(
    data: bytes, at: list[int], limit: int
) -> None:
    reader = reader_of(cut(data, at))
    lines = []
    while line := reader.readline(limit):
        is_whole = line.endswith(b"\n") or len(line) == limit
        assert is_whole or not reader.has_data()
        assert b"\n" not in line[:-1]
        assert len(line) <= limit
        lines.append(line)
    assert b"".join(lines) == data


@pytest.fixture
def ends() -> Iterator[tuple[socket.socket, socket.socket]]:
    first, second = socket.socketpair()
    with first, second:
        yield first, second


def test_a_head_is_whole_only_with_its_last_line(
    ends: tuple[socket.socket, socket.socket],
) -> None:
    # Guards against threads that wait for the rest of a head.
    reader = httpreader.Reader(ends[0])
    assert reader.fill_now() == "none"
    for piece in (b"GET / HTTP/1.1\r\nHost: a\r\n", b"X: 1\r", b"\n\r"):
        ends[1].send(piece)
        assert reader.fill_now() == "data"
        assert not reader.has_head(1000)
    ends[1].send(b"\n")
    assert reader.fill_now() == "data"
    assert reader.has_head(1000)
    ends[1].shutdown(socket.SHUT_WR)
    assert reader.fill_now() == "end"


def test_a_head_that_is_too_long_is_handed_over(
    ends: tuple[socket.socket, socket.socket],
) -> None:
    # Guards against heads without an end that are gathered for ever.
    reader = httpreader.Reader(ends[0])
    ends[1].send(b"x" * 101)
    reader.fill_now()
    assert reader.has_head(100)


def test_no_more_is_read_of_an_exchange_that_was_ended(
    ends: tuple[socket.socket, socket.socket],
) -> None:
    # Guards against a caller that keeps its thread by sending on.
    reader = httpreader.Reader(ends[0])
    exchange = exchanges.Room().begin(ends[0])
    reader.exchange = exchange
    ends[1].send(b"a")
    assert reader.read(1) == b"a"
    exchange.begin_read()
    exchange.end("overdue")
    with pytest.raises(httpreader.EndedError):
        reader.read(1)


def test_more_may_arrive_once_a_thread_reads() -> None:
    # Guards against hundreds of connections that wait for a thread, or to be
    # accepted, whose unread bytes are more than the VM's memory.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sockets.limit_accepted_buffers(listener)
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    with caller, accepted:
        reader = httpreader.Reader(accepted)
        caller.sendall(b"GET / HTTP/1.1")
        while reader.fill_now() != "data":
            pass
        assert _receive_buffer_bytes(accepted) == sockets.MAX_UNREAD_BYTES // 2
        reader.exchange = exchanges.detached()
        caller.sendall(b"body")
        assert reader.fill()
        assert _receive_buffer_bytes(accepted) == sockets.MAX_UNREAD_BYTES


def _receive_buffer_bytes(sock: socket.socket) -> int:
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
