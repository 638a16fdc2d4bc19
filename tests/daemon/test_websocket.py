"""Tests connections whose other end is silent, faulty or overloaded.

They guard against a leak: nothing closes the connection of a VM that lost its
power during a call, so every VM that it had called kept a thread and memory,
for each of the 99 VMs that fail on an ordinary day.
"""

from collections.abc import Iterator
import contextlib
import socket
import threading

import pytest
from websockets import client
from websockets import uri

from bulrushdeald import handlerpool
from bulrushdeald import websocket

_MAX_BYTES = 1000
_LONG_S = 20.0
_SHORT_S = 0.05


@contextlib.contextmanager
def accepted() -> Iterator[tuple[websocket.Connection, websocket.Connection]]:
    """Yields the connecting and the accepting end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        found: list[websocket.Connection] = []

        def accept() -> None:
            found.append(websocket.accept(listener.accept()[0], _MAX_BYTES))

        thread = threading.Thread(target=accept)
        thread.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        near = websocket.connect(address, _MAX_BYTES)
        thread.join(_LONG_S)
        try:
            yield near, found[0]
        finally:
            near.close()
            near.release()
            found[0].release()


def test_messages_arrive_whole_and_in_order() -> None:
    with accepted() as (near, far):
        sent = [bytes([number]) * 99 * number for number in range(9)]
        for data in sent:
            near.send(data)
        assert [far.receive() for _ in sent] == sent
        far.send(b"answer")
        assert near.receive() == b"answer"


def test_an_orderly_close_follows_all_messages() -> None:
    with accepted() as (near, far):
        near.send(b"last")
        near.close()
        assert far.receive() == b"last"
        assert far.receive() is None
        with pytest.raises(websocket.BrokenError):
            near.send(b"too late")


def test_close_ends_a_blocked_receive() -> None:
    with accepted() as (near, _far):
        near.use_idle_timeout()
        ended = threading.Event()

        def receive() -> None:
            with contextlib.suppress(websocket.BrokenError):
                near.receive()
            ended.set()

        threading.Thread(target=receive, daemon=True).start()
        near.close()
        assert ended.wait(_LONG_S)


def test_a_live_end_answers_pings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(websocket, "PING_INTERVAL_S", _SHORT_S)
    with accepted() as (near, far):
        near.use_idle_timeout()
        far.use_idle_timeout()

        def read() -> None:
            with contextlib.suppress(websocket.BrokenError):
                far.receive()

        threading.Thread(target=read, daemon=True).start()
        wait = threading.Timer(10 * _SHORT_S, far.send, (b"still here",))
        wait.start()
        assert near.receive() == b"still here"


def test_an_unanswered_ping_breaks_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(websocket, "PING_INTERVAL_S", _SHORT_S)
    monkeypatch.setattr(websocket, "PING_TIMEOUT_S", _SHORT_S)
    with accepted() as (near, _far):
        near.use_idle_timeout()
        with pytest.raises(websocket.BrokenError, match="silent"):
            near.receive()


def test_a_silent_caller_breaks_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(websocket, "SILENCE_TIMEOUT_S", _SHORT_S)
    with accepted() as (_near, far):
        far.use_idle_timeout()
        with pytest.raises(websocket.BrokenError, match="silent"):
            far.receive()


def test_a_send_to_a_paused_end_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """The paused end does not read; each calling thread hung in its send."""
    monkeypatch.setattr(websocket, "_SEND_TIMEOUT_S", _SHORT_S)
    broken = pytest.raises(websocket.BrokenError)
    with accepted() as (near, _far), broken:
        for _ in range(100_000):
            near.send(bytes(_MAX_BYTES))


@pytest.mark.parametrize("kind", ["text", "parts", "long", "garbage"])
def test_an_invalid_message_breaks_the_connection(kind: str) -> None:
    protocol = client.ClientProtocol(uri.parse_uri("ws://x:1/"))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        protocol.send_request(protocol.connect())
        near.sendall(b"".join(protocol.data_to_send()))
        far = websocket.accept(listener.accept()[0], _MAX_BYTES)
        protocol.receive_data(near.recv(4096))
    if kind == "text":
        protocol.send_text(b"text")
    elif kind == "parts":
        protocol.send_binary(b"a part", fin=False)
    elif kind == "long":
        protocol.send_binary(bytes(_MAX_BYTES + 1))
    with near:
        near.sendall(b"".join(protocol.data_to_send()) or b"\xff" * 20)
        try:
            assert far.receive() is None
        except websocket.BrokenError as error:
            # For the other kinds the protocol closes the connection orderly.
            assert kind in {"text", "parts"}, error
    far.release()


@pytest.mark.parametrize("greeting", [b"", b"GET / HTTP/1.1\r\n\r\n", b"\0\0"])
def test_an_invalid_handshake_is_not_accepted(greeting: bytes) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    with near:
        near.sendall(greeting)
        near.shutdown(socket.SHUT_WR)
        with pytest.raises(websocket.BrokenError):
            websocket.accept(far, _MAX_BYTES)


def test_a_slow_handler_does_not_block_another_connection() -> None:
    pool = handlerpool.Pool()
    go_on = threading.Event()
    done: list[int] = []
    all_done = threading.Semaphore(0)

    def job(number: int) -> None:
        go_on.wait(_LONG_S)
        done.append(number)
        all_done.release()

    busy = handlerpool.RequestQueue(pool)
    room = handlerpool.MAX_CONCURRENT + handlerpool.MAX_QUEUED
    taken = [
        busy.submit(lambda number=number: job(number))  # type: ignore[misc]
        for number in range(room + 1)
    ]
    # The last one is refused, because the queue is bounded.
    assert taken == [True] * room + [False]
    ran = threading.Event()
    assert handlerpool.RequestQueue(pool).submit(ran.set)
    assert ran.wait(_LONG_S)
    assert not done
    go_on.set()
    assert all(all_done.acquire(timeout=_LONG_S) for _ in range(room))
    assert sorted(done) == list(range(room))


def test_jobs_run_while_idle_threads_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(handlerpool, "IDLE_S", 0.001)
    pool = handlerpool.Pool()
    for _ in range(200):
        # The thread ends or takes the next job, whichever comes first.
        ran = threading.Event()
        pool.run(ran.set)
        assert ran.wait(_LONG_S)


def test_a_failed_job_does_not_block_the_queue() -> None:
    requests = handlerpool.RequestQueue(handlerpool.Pool())
    for _ in range(2 * handlerpool.MAX_CONCURRENT):
        assert requests.submit(lambda: 1 // 0)  # type: ignore[arg-type]
    ran = threading.Event()
    assert requests.submit(ran.set)
    assert ran.wait(_LONG_S)
