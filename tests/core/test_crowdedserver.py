"""Tests the HTTP server with connections that hold it up."""

from collections.abc import Callable, Iterator
import contextlib
import errno
import re
import socket
import threading
import time
from typing import Any

import pytest

from bulrushdeal import exchanges
from bulrushdeal import httpconnections
from bulrushdeal import httpd

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HALF_HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n"
LONG_ANSWER_BYTES = 4_000_000
BESIDE_REQUESTS = 5000


def answer(request: httpd.Request) -> httpd.Response:
    if request.path == "/refuse":
        return httpd.json_response(503, {})
    if request.path == "/long":
        pieces = (b"x" * LONG_ANSWER_BYTES,)
        return httpd.Response(
            200, (("Content-Length", str(LONG_ANSWER_BYTES)),), pieces
        )
    with contextlib.suppress(OSError):
        request.body.read()
    return httpd.json_response(200, {})


class Scene:
    """A server, with one thread by default, and connections to it."""

    def __init__(
        self, memory_bytes: int, threads: int = 1, **limits: Any
    ) -> None:
        self.room = exchanges.Room(memory_bytes)
        self.server = httpd.Server(
            "127.0.0.1:0",
            answer,
            threads=threads,
            room=self.room,
            limits=httpd.DEFAULT_LIMITS._replace(**limits),
        )
        self.server.start()
        self.opened: list[socket.socket] = []

    def send(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.server.port), 30)
        self.opened.append(sock)
        sock.sendall(data)
        return sock

    def is_answered(self) -> bool:
        return answer_to(self.send(REQUEST)).startswith(b"HTTP/1.1 200")

    def close(self) -> None:
        for sock in self.opened:
            sock.close()
        self.server.stop(1.0)


@pytest.fixture
def make() -> Iterator[Callable[..., Scene]]:
    scenes: list[Scene] = []

    def start(
        memory_bytes: int = exchanges.DEFAULT_LIMIT_BYTES, **limits: Any
    ) -> Scene:
        scenes.append(Scene(memory_bytes, **limits))
        return scenes[-1]

    yield start
    for scene in scenes:
        scene.close()


def answer_to(sock: socket.socket) -> bytes:
    """Returns a whole answer; its head and body may come one by one."""
    received = b""
    while not _is_whole(received):
        piece = sock.recv(65536)
        if not piece:
            break
        received += piece
    return received


def _is_whole(received: bytes) -> bool:
    head, end, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    return bool(end) and length is not None and len(body) >= int(length[1])


def until(condition: Callable[[], bool]) -> None:
    end_s = time.monotonic() + 30.0
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


@pytest.mark.parametrize("data", [b"", HALF_HEAD])
def test_connections_without_a_whole_head_take_no_thread(
    make: Callable[..., Scene], data: bytes
) -> None:
    # Guards against silent and dribbling connections that take all threads.
    scene = make()
    for _ in range(30):
        scene.send(data)
    assert scene.is_answered()
    unfinished = scene.opened[0]
    unfinished.sendall(REQUEST if not data else b"\r\n")
    assert answer_to(unfinished).startswith(b"HTTP/1.1 200")


def test_a_head_that_is_late_is_refused(make: Callable[..., Scene]) -> None:
    # Guards against heads that are never finished.
    scene = make(head_timeout_s=0.1)
    late = scene.send(HALF_HEAD)
    silent = scene.send()
    assert answer_to(late).startswith(b"HTTP/1.1 408")
    assert scene.server.closed_early() == {"late_head": 1}
    silent.sendall(REQUEST)
    assert answer_to(silent).startswith(b"HTTP/1.1 200")


def test_the_oldest_of_many_long_heads_gives_way(
    make: Callable[..., Scene],
) -> None:
    # Guards against unfinished heads that hold more than the process has.
    memory_bytes = 400_000
    scene = make(memory_bytes)
    long_head = HALF_HEAD + b"X-Filler: " + b"f" * 15_000
    opened = [scene.send(long_head) for _ in range(10)]
    assert opened[0].recv(1) == b""
    assert scene.is_answered()
    assert scene.server.closed_early()["long_heads"] >= 1
    assert scene.room.held_bytes() < memory_bytes / 4
    for sock in opened:
        sock.close()
    until(lambda: scene.room.held_bytes() == 0)


def test_a_silent_connection_makes_no_room_for_heads(
    make: Callable[..., Scene],
) -> None:
    # Guards against callers that are closed for the long heads of others.
    scene = make(100_000)
    silent = [scene.send() for _ in range(3)]
    until(lambda: scene.server.open_connections() == 3)
    long_head = HALF_HEAD + b"X-Filler: " + b"f" * 15_000
    assert scene.send(long_head).recv(1) == b""
    for sock in silent:
        sock.sendall(REQUEST)
        assert answer_to(sock).startswith(b"HTTP/1.1 200")
    assert scene.server.closed_early() == {"long_heads": 1}


def test_the_head_of_a_refused_request_is_held_no_longer(
    make: Callable[..., Scene],
) -> None:
    # Guards against callers that find no room for heads nobody reads.
    scene = make(100_000)
    long_head = HALF_HEAD + b"X-Filler: " + b"f" * 15_000 + b"\r\n\r\n"
    refused = scene.send(long_head)
    assert answer_to(refused).startswith(b"HTTP/1.1 503")
    # The connection stays open until its caller closes it, too.
    assert refused.recv(1) == b""
    assert scene.server.open_connections() == 1
    assert scene.room.held_bytes() == 0


def test_a_request_whose_head_has_no_room_is_refused(
    make: Callable[..., Scene],
) -> None:
    # Guards against whole heads that are held beyond the account.
    scene = make(100_000)
    long_head = HALF_HEAD + b"X-Filler: " + b"f" * 15_000 + b"\r\n\r\n"
    refused = answer_to(scene.send(long_head))
    assert refused.startswith(b"HTTP/1.1 503")
    assert scene.is_answered()
    assert scene.room.counts() == {"no_memory": 1}
    # What follows a head is accounted for as it is read.
    body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 15000\r\n\r\n"
    answered = answer_to(scene.send(body + b"x" * 15_000))
    assert answered.startswith(b"HTTP/1.1 200")


def test_the_oldest_unfinished_connection_gives_way(
    make: Callable[..., Scene],
) -> None:
    # Guards against connections that take all of the descriptors.
    scene = make(connections=4)
    kept = scene.send(REQUEST)
    assert answer_to(kept).startswith(b"HTTP/1.1 200")
    crowd = [scene.send() for _ in range(8)]
    assert scene.is_answered()
    assert scene.server.open_connections() <= 4
    assert crowd[0].recv(1) == b""
    kept.sendall(REQUEST)
    assert answer_to(kept).startswith(b"HTTP/1.1 200")


def test_the_connection_that_was_idle_longest_gives_way(
    make: Callable[..., Scene],
) -> None:
    # Guards against kept connections that take all of the descriptors.
    scene = make(connections=4)
    kept = []
    for _ in range(6):
        kept.append(scene.send(REQUEST))
        assert answer_to(kept[-1]).startswith(b"HTTP/1.1 200")
    assert [sock.recv(1) for sock in kept[:2]] == [b"", b""]
    kept[-1].sendall(REQUEST)
    assert answer_to(kept[-1]).startswith(b"HTTP/1.1 200")


def test_a_process_without_descriptors_goes_on(
    make: Callable[..., Scene], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an accepting thread that ends, or spins, without any left.
    scene = make()
    silent = scene.send()
    until(lambda: scene.server.open_connections() == 1)
    connections_class: Any = httpconnections.Connections
    accept = connections_class._from_server_socket
    left = [OSError(errno.EMFILE, "too many open files")] * 3

    def fail_first(connections: Any, listener: Any) -> Any:
        if left:
            raise left.pop()
        return accept(connections, listener)

    monkeypatch.setattr(connections_class, "_from_server_socket", fail_first)
    assert scene.is_answered()
    # What is idle makes room.
    assert silent.recv(1) == b""
    assert scene.server.closed_early()["no_descriptor"] >= 3


@pytest.mark.parametrize(
    "stalled",
    [
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabc",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3",
        b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n",
    ],
)
def test_a_stalled_exchange_yields_its_thread(
    make: Callable[..., Scene], stalled: bytes
) -> None:
    # Guards against bodies that never come, and answers that nobody reads.
    scene = make()
    scene.send(stalled)
    until(lambda: bool(scene.room._exchanges))

    def is_answered() -> bool:
        try:
            return scene.is_answered()
        except OSError:
            return False

    until(is_answered)
    assert scene.room.counts()["yielded"] == 1


def test_a_slow_reader_is_served_while_nobody_needs_its_thread(
    make: Callable[..., Scene],
) -> None:
    # Guards against callers that are cut off only because they read slowly.
    scene = make()
    slow = scene.send(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
    time.sleep(1.5)
    received = 0
    while received < LONG_ANSWER_BYTES:
        piece = slow.recv(1 << 20)
        assert piece
        received += len(piece)
    assert not scene.room.counts()


def test_a_slow_reader_is_served_beside_requests_that_find_threads(
    make: Callable[..., Scene],
) -> None:
    # Guards against a caller that is cut off for a connection that is queued
    # only until a free thread takes it.
    scene = make(threads=8)
    slow = scene.send(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
    ordinary = [scene.send() for _ in range(4)]
    # Some of the server's regular looks at its queue meet a request there.
    for _ in range(BESIDE_REQUESTS):
        for sock in ordinary:
            sock.sendall(REQUEST)
        for sock in ordinary:
            assert answer_to(sock).startswith(b"HTTP/1.1 200")
    received = 0
    while received < LONG_ANSWER_BYTES:
        piece = slow.recv(1 << 20)
        assert piece
        received += len(piece)
    assert not scene.room.counts()


def test_a_refusal_reaches_a_caller_that_is_still_sending(
    make: Callable[..., Scene],
) -> None:
    # Guards against a reset that overtakes the refusal.
    scene = make()
    body_bytes = 200_000
    head = f"POST /refuse HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}"
    sock = scene.send(head.encode() + b"\r\n\r\n")
    time.sleep(0.2)
    sock.sendall(b"x" * body_bytes)
    received = b""
    while piece := sock.recv(65536):
        received += piece
    assert received.startswith(b"HTTP/1.1 503")
    until(lambda: scene.server.open_connections() == 0)


def test_requests_sent_ahead_are_answered_in_turn(
    make: Callable[..., Scene],
) -> None:
    # Guards against bytes of the next request that are lost between two.
    scene = make()
    body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
    sock = scene.send()

    def dribble() -> None:
        for byte in (REQUEST + body) * 2 + HALF_HEAD:
            sock.sendall(bytes((byte,)))
        sock.sendall(b"\r\n")

    thread = threading.Thread(target=dribble)
    thread.start()
    received = b""
    while received.count(b"HTTP/1.1 200") < 5:
        received += sock.recv(65536)
    thread.join()
