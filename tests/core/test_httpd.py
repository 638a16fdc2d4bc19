"""Requests framed oddly are refused, and a refused body harms nobody."""

from collections.abc import Iterator
import socket
import threading
import time
from typing import Any

import pytest

from bulrushdeal import httpd
from bulrushdeal import httpwire


def echo(request: httpd.Request) -> httpd.Response:
    if request.path == "/refuse":
        return httpd.json_response(400, {})
    try:
        body = b"".join(httpd.read_chunks(request.body))
    except ValueError as error:
        return httpd.json_response(400, {"error": str(error)})
    names = ("x-a", "cookie", "content-length")
    kept = [request.headers.get(name) for name in names]
    return httpd.json_response(200, [body.decode(), *kept])


@pytest.fixture
def server() -> Iterator[httpd.Server]:
    server = httpd.Server("127.0.0.1:0", echo, threads=2)
    server.start()
    yield server
    server.stop(1.0)


def send(server: httpd.Server, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", server.port), 10) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while piece := sock.recv(65536):
            received += piece
    return received


@pytest.mark.parametrize(
    ("head", "body", "status", "expected"),
    [
        (b"Content-Length: 2", b"ab", b"200", b'"ab"'),
        (b"Transfer-Encoding: chunked", b"2\r\nab\r\n0\r\n\r\n", b"200", b"ab"),
        (
            b"Transfer-Encoding: chunked",
            b"2;x=y\r\nab\r\n0\r\nX-Trailer: 1\r\n\r\n",
            b"200",
            b"ab",
        ),
        (b"X-A: 1\r\nX-A: 2\r\nCookie: a\r\nCookie: b", b"", b"200", b"1, 2"),
        (b"Content_Length: 7", b"", b"200", b"null"),
        (b"Content-Length: -2", b"ab", b"400", b""),
        (b"Content-Length: +2", b"ab", b"400", b""),
        (b"Content-Length: 1_0", b"ab", b"400", b""),
        (b"Content-Length: 2\r\nContent-Length: 1", b"ab", b"400", b""),
        (
            b"Content-Length: 2\r\nTransfer-Encoding: chunked",
            b"0\r\n\r\n",
            b"400",
            b"",
        ),
        (b"X-A: " + b"a" * 70_000, b"", b"413", b"headers"),
        (b"Authorization: a\r\nAuthorization: b", b"", b"400", b""),
        (b"Transfer-Encoding: chunked", b"-2\r\nab\r\n", b"400", b""),
        (b"Transfer-Encoding: chunked", b"0x2\r\nab\r\n", b"400", b""),
        (b"Transfer-Encoding: chunked", b"ffffffffffff\r\nab", b"400", b"cut"),
        (b"Transfer-Encoding: chunked", b"2\r\nabc\r\n", b"400", b"no end"),
    ],
)
def test_framing(
    server: httpd.Server,
    head: bytes,
    body: bytes,
    status: bytes,
    expected: bytes,
) -> None:
    data = b"POST / HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n\r\n" + body
    answer = send(server, data)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert expected in answer


@pytest.mark.parametrize(
    "head", [b"Transfer-Encoding: chunked", b"Content-Length: 900000"]
)
def test_rest_of_a_refused_body_is_not_the_next_request(
    server: httpd.Server, head: bytes
) -> None:
    """Story: a caller smuggles a request inside a body that was refused.

    The first request is refused unread; its body holds a second one. If the
    server goes on reading there, that one runs with nobody's checks.
    """
    inner = b"POST /inner HTTP/1.1\r\nHost: a\r\n\r\n"
    outer = b"POST /refuse HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n\r\n"
    answer = send(server, outer + inner)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in answer


def test_no_room() -> None:
    """Story: callers wait unseen behind long streams until they time out.

    All threads are taken and the bounded queue is full; the next caller is
    told at once to come back.
    """
    entered = threading.Event()
    go_on = threading.Event()

    def block(request: httpd.Request) -> httpd.Response:
        entered.set()
        go_on.wait()
        return httpd.json_response(200, {})

    server = httpd.Server("127.0.0.1:0", block, threads=1)
    server.start()
    opened = []
    refused = b""
    for _ in range(40):
        sock = socket.create_connection(("127.0.0.1", server.port), 10)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        opened.append(sock)
        # Until the thread has taken the first one, it waits in the queue too.
        assert entered.wait(30)
    # 1 is served and 16 wait; the kernel's queue hands over in order.
    refused = opened[-1].recv(65536)
    assert refused.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in refused
    go_on.set()
    served = [sock.recv(65536)[:12] for sock in opened[:17]]
    assert served == [b"HTTP/1.1 200"] * 17
    for sock in opened:
        sock.close()
    server.stop(1.0)


def _workers() -> int:
    return sum(
        row.name.startswith("CP Server") for row in threading.enumerate()
    )


def test_threads_come_as_connections_need_them() -> None:
    """Story: many processes on one machine, and no room for more threads.

    A server that may serve a hundred connections at once held a hundred
    threads from its start on, though it mostly serves a few.
    """
    together = threading.Barrier(24, timeout=30)

    def meet(request: httpd.Request) -> httpd.Response:
        together.wait()
        return httpd.json_response(200, {})

    before = _workers()
    server = httpd.Server("127.0.0.1:0", meet, threads=100)
    server.start()
    assert _workers() - before < 10
    opened = []
    for _ in range(24):
        sock = socket.create_connection(("127.0.0.1", server.port), 10)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        opened.append(sock)
    # Each of them is answered only once all are served at the same time.
    served = [sock.recv(65536)[:12] for sock in opened]
    assert served == [b"HTTP/1.1 200"] * 24
    for sock in opened:
        sock.close()
    server.stop(1.0)


class _Worker:
    """A thread of the pool that has taken a connection, not begun with it."""

    conn = None


def test_no_connection_waits_while_there_may_be_more_threads() -> None:
    """Story: a request waits for seconds though the VM has hardly any work.

    A thread has taken a connection and not begun with it; the next one is
    queued for it, and the thread goes on to a long stream.
    """
    pool: Any = httpwire._Pool(None, min=1, max=3)
    spawned: list[_Worker] = []

    def spawn() -> _Worker:
        spawned.append(_Worker())
        return spawned[-1]

    pool._spawn_worker = spawn
    pool._threads = [_Worker()]
    taker = threading.Thread(target=pool.get)
    taker.start()
    while not pool._free:
        time.sleep(0.01)
    pool.put("first")
    taker.join(10)
    assert not spawned
    pool.put("second")
    assert len(spawned) == 1
