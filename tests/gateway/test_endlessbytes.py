"""Upstreams whose answers have no length, or no end."""

import base64
from collections.abc import Iterator
import socket
import struct
import time
from typing import Any

import pytest

from support import gatewayengine
from support import gatewayscene
from support import rawengine

_EVENTS = b"".join(b"id: %d\ndata: data %d\n\n" % (n, n) for n in range(1, 6))
# A stream or item that meets such an upstream is served elsewhere in time.
_MAX_S = 8.0
_RESET = struct.pack("ii", 1, 0)


def _endless_interim_heads(connection: socket.socket, request: bytes) -> None:
    del request
    while True:
        connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        time.sleep(0.001)


def _endless_head(connection: socket.socket, request: bytes) -> None:
    del request
    connection.sendall(b"HTTP/1.1 200 OK\r\n")
    while True:
        connection.sendall(b"A: b\r\n" * 1000)


def _dribbling_head(connection: socket.socket, request: bytes) -> None:
    del request
    connection.sendall(b"HTTP/1.1 200 OK\r\n")
    while True:
        connection.sendall(b"A")
        time.sleep(0.05)


def _endless_body(connection: socket.socket, request: bytes) -> None:
    connection.sendall(rawengine.head(request))
    while True:
        connection.sendall(b"x" * 65536)


def _dribbling_body(connection: socket.socket, request: bytes) -> None:
    connection.sendall(rawengine.head(request))
    while True:
        connection.sendall(b"x")
        time.sleep(0.05)


def _endless_refusal(connection: socket.socket, request: bytes) -> None:
    head = rawengine.head(request, "Bulrushdeal-Not-Executed: 1")
    connection.sendall(head.replace(b"200 OK", b"503 Busy"))
    while True:
        connection.sendall(b"x" * 65536)


_ENDLESS = [
    _endless_interim_heads,
    _endless_head,
    _dribbling_head,
    _endless_body,
    _dribbling_body,
    _endless_refusal,
]


def _unframed(connection: socket.socket, request: bytes) -> None:
    connection.sendall(rawengine.head(request) + _EVENTS)


def _unframed_and_cut_in_an_event(
    connection: socket.socket, request: bytes
) -> None:
    connection.sendall(rawengine.head(request) + _EVENTS[:30])


def _unframed_and_reset(connection: socket.socket, request: bytes) -> None:
    connection.sendall(rawengine.head(request) + _EVENTS[:40])
    time.sleep(0.1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def _head_alone(connection: socket.socket, request: bytes) -> None:
    connection.sendall(rawengine.head(request))


def _cut_in_a_chunk_size(connection: socket.socket, request: bytes) -> None:
    # The size of a chunk of 15 bytes in two digits, cut after the first.
    head = rawengine.head(request, "Transfer-Encoding: chunked")
    connection.sendall(head + b"0")


def _spoilt(connection: socket.socket, request: bytes) -> None:
    connection.sendall(
        rawengine.head(request) + _EVENTS.replace(b"data 3", b"data \xff")
    )


_CUT_BEFORE_ITS_FIRST_EVENT = [_head_alone, _cut_in_a_chunk_size]


@pytest.fixture
def engines() -> Iterator[list[rawengine.RawEngine]]:
    made: list[rawengine.RawEngine] = []
    yield made
    for engine in made:
        engine.close()


def _add(
    scene: gatewayscene.Scene,
    engines: list[rawengine.RawEngine],
    serve: rawengine.Serve,
) -> rawengine.RawEngine:
    engine: Any = rawengine.RawEngine(f"i-raw{len(engines)}", serve)
    engines.append(engine)
    scene.list_engine(engine)
    return engines[-1]


def _until_met(
    vm: gatewayscene.Vm, engine: rawengine.RawEngine, path: str = "/s/x"
) -> list[gatewayscene.Answer]:
    """Sends requests until one has met the raw engine."""
    answers = []
    for number in range(20):
        answers.append(vm.call("POST", path, b"p", attempt=f"a{number}"))
        if engine.requests:
            return answers
    raise AssertionError("no request met the engine")


@pytest.mark.parametrize("serve", _ENDLESS)
def test_a_stream_is_served_elsewhere_than_where_bytes_have_no_end(
    scene: gatewayscene.Scene,
    engines: list[rawengine.RawEngine],
    serve: rawengine.Serve,
) -> None:
    """Guards against callers that wait for bytes that are no answer."""
    raw = _add(scene, engines, serve)
    scene.add_engine()
    begun_s = time.monotonic()
    answers = _until_met(scene.add_vm(), raw)
    assert all(answer.is_whole for answer in answers)
    assert time.monotonic() - begun_s < _MAX_S


@pytest.mark.parametrize("serve", _ENDLESS)
def test_an_item_is_done_though_an_upstream_sends_bytes_without_end(
    scene: gatewayscene.Scene,
    engines: list[rawengine.RawEngine],
    serve: rawengine.Serve,
) -> None:
    """Guards against items that hold a slot, and memory, for ever."""
    raw = _add(scene, engines, serve)
    vm = scene.add_vm()
    items = [
        gatewayscene.item(f"i{number}")
        | {"body": base64.b64encode(b"%d" % number).decode()}
        for number in range(3)
    ]
    assert vm.submit("job", items).status == 202
    gatewayscene.until(lambda: raw.requests)
    engine = scene.add_engine()
    gatewayscene.until(lambda: _count_listed(vm) == 3, 20.0)
    assert len({run.attempt for run in engine.runs}) == 3


def _count_listed(vm: gatewayscene.Vm) -> int:
    count = 0
    while rows := vm.results("job", count).json()["results"]:
        count += len(rows)
    return count


def test_a_stream_without_length_or_chunks_ends_with_its_connection(
    scene: gatewayscene.Scene, engines: list[rawengine.RawEngine]
) -> None:
    """Guards against taking a whole stream for one that was cut."""
    _add(scene, engines, _unframed)
    answer = scene.add_vm().call("POST", "/s/once/x", b"p")
    assert (answer.is_whole, answer.body) == (True, _EVENTS)


@pytest.mark.parametrize(
    "serve", [_unframed_and_cut_in_an_event, _unframed_and_reset]
)
def test_a_stream_without_length_or_chunks_that_breaks_off_goes_on(
    scene: gatewayscene.Scene,
    engines: list[rawengine.RawEngine],
    serve: rawengine.Serve,
) -> None:
    """Guards against taking a cut stream for a whole one."""
    raw = _add(scene, engines, serve)
    scene.add_engine()
    for answer in _until_met(scene.add_vm(), raw):
        assert (answer.is_whole, answer.body) == (True, _EVENTS)


def test_an_answer_without_length_or_chunks_that_is_reset_is_repeated(
    scene: gatewayscene.Scene, engines: list[rawengine.RawEngine]
) -> None:
    """Guards against a part of an answer that looks whole."""
    raw = _add(scene, engines, _unframed_and_reset)
    scene.add_engine()
    for answer in _until_met(scene.add_vm(), raw, "/safe/x"):
        assert (answer.is_whole, answer.body) == (True, b"answer to /safe/x")


@pytest.mark.parametrize("serve", _CUT_BEFORE_ITS_FIRST_EVENT)
def test_a_stream_that_ends_after_its_head_is_no_empty_one(
    scene: gatewayscene.Scene,
    engines: list[rawengine.RawEngine],
    serve: rawengine.Serve,
) -> None:
    """Guards against 200 with an empty body, framed as whole."""
    _add(scene, engines, serve)
    answer = scene.add_vm().call("POST", "/s/once/x", b"p")
    assert (answer.status, answer.is_whole) == (502, True)


@pytest.mark.parametrize("serve", _CUT_BEFORE_ITS_FIRST_EVENT)
def test_a_stream_that_ends_after_its_head_is_begun_elsewhere(
    scene: gatewayscene.Scene,
    engines: list[rawengine.RawEngine],
    serve: rawengine.Serve,
) -> None:
    """Guards against a caller that gets nothing though others can serve."""
    raw = _add(scene, engines, serve)
    scene.add_engine()
    for answer in _until_met(scene.add_vm(), raw):
        assert (answer.is_whole, answer.body) == (True, _EVENTS)


def test_an_answer_that_is_cut_in_a_chunk_size_is_repeated(
    scene: gatewayscene.Scene, engines: list[rawengine.RawEngine]
) -> None:
    """Guards against a short body with a length of its own."""
    raw = _add(scene, engines, _cut_in_a_chunk_size)
    scene.add_engine()
    for answer in _until_met(scene.add_vm(), raw, "/safe/x"):
        assert (answer.is_whole, answer.body) == (True, b"answer to /safe/x")


def _done_elsewhere(
    scene: gatewayscene.Scene, raw: rawengine.RawEngine
) -> tuple[list[str], gatewayengine.Engine]:
    """Has items meet a raw engine, then another one.

    Returns:
        The items' texts, and the engine that they are done at.
    """
    vm = scene.add_vm()
    rows = [gatewayscene.item(f"i{n}") for n in range(4)]
    assert vm.submit("job", rows).status == 202
    gatewayscene.until(lambda: raw.requests >= 4)
    scene.store.write("servers/i-raw0", None)
    engine = scene.add_engine()
    gatewayscene.until(lambda: _count_listed(vm) == 4, 30)
    results = vm.results("job").json()["results"]
    return [row["output"] for row in results], engine


_WHOLE = "\n".join(f"data {n}" for n in range(1, 6))


@pytest.mark.parametrize("serve", _CUT_BEFORE_ITS_FIRST_EVENT)
def test_an_item_whose_answer_ends_after_its_head_runs_again(
    scene: gatewayscene.Scene,
    engines: list[rawengine.RawEngine],
    serve: rawengine.Serve,
) -> None:
    """Guards against a result with an empty text."""
    texts, _ = _done_elsewhere(scene, _add(scene, engines, serve))
    assert texts == [_WHOLE] * 4


def test_a_spoilt_byte_keeps_no_item_of_a_job_from_being_listed(
    scene: gatewayscene.Scene, engines: list[rawengine.RawEngine]
) -> None:
    """Guards against a result that no record can hold, and blocks all."""
    texts, engine = _done_elsewhere(scene, _add(scene, engines, _spoilt))
    assert texts == [_WHOLE] * 4
    # No event of a run that broke off is asked for again.
    assert {run.last_event for run in engine.runs} <= {0, 2}
