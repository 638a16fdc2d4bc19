"""Answers with a malformed head, at the daemon's readers of answers."""

from collections.abc import Iterator
import socket
import threading
import time

import pytest

from bulrushdeald import platformclient
from bulrushdeald import websocket
from support import pathfakes
from support import rawengine
from support import rawupstream

_BODY = b'{"running": 3, "queued": 0}'
_MALFORMED_LINES = [
    b"X-Bad Name: x",
    b"X-B\x01ad: x",
    b"X-Bad : x",
    b"no colon",
]
_LENGTH = b"Content-Length: %d" % len(_BODY)
_CODING = b"Transfer-Encoding: chunked"
_CHUNKED = b"%x\r\n" % len(_BODY) + _BODY + b"\r\n0\r\n\r\n"
_ANSWERS = [
    (_LENGTH, _BODY),
    (_LENGTH, _BODY[:5]),
    (_CODING, _CHUNKED),
    (b"X-Framing: none", _BODY),
]
_READ_TIMEOUT_S = 5.0
_AT_ONCE_S = _READ_TIMEOUT_S / 2


def _answer(*lines: bytes, body: bytes, status: bytes = b"200 OK") -> bytes:
    return b"\r\n".join((b"HTTP/1.1 " + status, *lines, b"", body))


def _malformed_answers() -> Iterator[bytes]:
    for line in _MALFORMED_LINES:
        for framing, body in _ANSWERS:
            yield _answer(line, framing, body=body)
            yield _answer(framing, line, body=body)


_MALFORMED = list(_malformed_answers())


@pytest.mark.parametrize("answer", _MALFORMED[::3])
def test_a_malformed_answer_reaches_no_caller(answer: bytes) -> None:
    """Guards against a body that is cut or holds chunk sizes, as if whole."""

    def serve(connection: socket.socket, request: bytes) -> None:
        del request
        connection.sendall(answer)

    raw = rawengine.RawEngine("e", serve)
    rows = (pathfakes.engine_row(raw.address), pathfakes.plain_row(raw.address))
    with pathfakes.running(*rows) as vm:
        replies = [
            vm.ask("POST", "/v1/chat/completions", pathfakes.chat()),
            vm.ask("POST", "/v1/chat/completions", pathfakes.chat(stream=True)),
            vm.ask("POST", "/services/booking/x", {"order": 1}),
        ]
    raw.close()
    assert [reply.status for reply in replies] == [502] * 3
    assert not any("x-bad" in reply.headers for reply in replies)


def test_a_service_with_a_malformed_answer_gets_an_order_once() -> None:
    """Guards against an order that runs twice."""

    def serve(connection: socket.socket, request: bytes) -> None:
        del request
        connection.sendall(_MALFORMED[0])

    raw = rawengine.RawEngine("e", serve)
    with pathfakes.running(pathfakes.plain_row(raw.address)) as vm:
        reply = vm.ask("POST", "/services/booking/x", {"order": 1})
    raw.close()
    assert (reply.status, raw.requests) == (502, 1)
    assert reply.error["ran"] != "not_run"


@pytest.mark.parametrize("status", [b"200 OK", b"304 Same", b"404 None"])
@pytest.mark.parametrize("line", _MALFORMED_LINES)
def test_a_malformed_answer_of_the_platform_is_lost(
    status: bytes, line: bytes
) -> None:
    """Guards against a state without its tag, or a key that looks missing."""
    malformed = _answer(line, b'ETag: "5"', _LENGTH, status=status, body=_BODY)
    whole = _answer(b'ETag: "6"', _LENGTH, body=_BODY)
    server = rawupstream.RawUpstream(malformed, whole)
    client = platformclient.PlatformClient(server.address, _READ_TIMEOUT_S)
    begun_s = time.monotonic()
    lost = client.call("get", "GET", "/state").unwrap_err()
    assert lost.kind == "lost"
    assert client.call("get", "GET", "/state").unwrap().etag == '"6"'
    assert time.monotonic() - begun_s < _AT_ONCE_S
    client.close()
    server.close()
    assert server.connections == 2


@pytest.mark.parametrize("line", _MALFORMED_LINES)
def test_a_malformed_handshake_of_a_peer_is_refused(line: bytes) -> None:
    """Guards against messages from what does not speak the protocol."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def answer() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(4096)
                connection.sendall(
                    _answer(
                        b"Upgrade: websocket",
                        line,
                        status=b"101 Switching Protocols",
                        body=b"",
                    )
                )

        thread = threading.Thread(target=answer)
        thread.start()
        with pytest.raises(websocket.BrokenError) as caught:
            websocket.connect(address, 1000)
        thread.join(_READ_TIMEOUT_S)
    assert "valid HTTP response" in str(caught.value)
