"""Tests of the HTTP server: request framing, refusals and its threads."""

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
def test_rest_of_a_refused_body_is_not_parsed_as_a_request(
    server: httpd.Server, head: bytes
) -> None:
    """Guards against request smuggling in a refused body.

    The first request is refused without reading its body, which contains a
    second request. If the server parsed the body as the next request, the
    second one would run without any of the checks made before this server.
    """
    inner = b"POST /inner HTTP/1.1\r\nHost: a\r\n\r\n"
    outer = b"POST /refuse HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n\r\n"
    answer = send(server, outer + inner)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in answer


def test_connections_beyond_the_queue_are_refused_at_once() -> None:
    """Guards against callers that wait behind long streams until they time out.

    When all threads are busy and the bounded queue is full, the server answers
    the next connection at once with 503 and `Retry-After`.
    """
    entered = threading.Event()
    release = threading.Event()

    def block(request: httpd.Request) -> httpd.Response:
        entered.set()
        release.wait()
        return httpd.json_response(200, {})

    server = httpd.Server("127.0.0.1:0", block, threads=1)
    server.start()
    opened = []
    refused = b""
    for _ in range(40):
        sock = socket.create_connection(("127.0.0.1", server.port), 10)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        opened.append(sock)
        # The first connection is in the queue too until the thread takes it.
        assert entered.wait(30)
    # 1 is served and 16 wait; the listen backlog is accepted in order.
    refused = opened[-1].recv(65536)
    assert refused.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in refused
    release.set()
    served = [sock.recv(65536)[:12] for sock in opened[:17]]
    assert served == [b"HTTP/1.1 200"] * 17
    for sock in opened:
        sock.close()
    server.stop(1.0)


def _worker_count() -> int:
    return sum(
        row.name.startswith("CP Server") for row in threading.enumerate()
    )


def test_threads_come_as_connections_need_them() -> None:
    """Guards against exhausting the threads of a machine with many processes.

    A server for up to a hundred connections started a hundred threads at once,
    though it mostly serves a few.
    """
    barrier = threading.Barrier(24, timeout=30)

    def meet(request: httpd.Request) -> httpd.Response:
        barrier.wait()
        return httpd.json_response(200, {})

    before = _worker_count()
    server = httpd.Server("127.0.0.1:0", meet, threads=100)
    server.start()
    assert _worker_count() - before < 10
    opened = []
    for _ in range(24):
        sock = socket.create_connection(("127.0.0.1", server.port), 10)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        opened.append(sock)
    # The handler answers only once all 24 are being served at the same time.
    served = [sock.recv(65536)[:12] for sock in opened]
    assert served == [b"HTTP/1.1 200"] * 24
    for sock in opened:
        sock.close()
    server.stop(1.0)


class _Worker:
    """A pool thread that has taken a connection but not started on it."""

    conn = None


def test_no_connection_waits_while_threads_can_be_added() -> None:
    """Guards against requests that wait for seconds on a nearly idle VM.

    A thread that has taken a connection but not started on it counted as free,
    so the next connection was queued for it and waited behind a long stream.
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
    while not pool._free_threads:
        time.sleep(0.01)
    pool.put("first")
    taker.join(10)
    assert not spawned
    pool.put("second")
    assert len(spawned) == 1
