"""Upstreams in whose answers the head is malformed."""

from collections.abc import Iterator
import itertools
import socket
import time
from typing import Any

import pytest

from support import gatewayscene
from support import rawengine

_EVENTS = b"".join(b"id: %d\ndata: data %d\n\n" % (n, n) for n in range(1, 6))
_WHOLE_TEXT = "\n".join(f"data {n}" for n in range(1, 6))
_FIRST_EVENT = _EVENTS[: _EVENTS.index(b"\n\n") + 2]
# Half of what callers allow.
_AT_ONCE_S = 2.0

# A name with a blank or a control character, or no name at all.
_MALFORMED_LINES = [
    "X-Bad Name: x",
    "X-Bad : x",
    "X-Bad\t: x",
    " X-Bad: x",
    "X-B\x00ad: x",
    "X-B\x01ad: x",
    "X-B\x7fad: x",
    "X-B\x0bad: x",
    "X-B\rad: x",
    "no colon",
]
_FRAMINGS = ["chunks", "length", "cut length", "neither"]
_CASES = [
    pytest.param(line, framing, place, id=f"{number}-{framing}-{place}")
    for (number, line), framing, place in itertools.product(
        enumerate(_MALFORMED_LINES), _FRAMINGS, ["before", "after"]
    )
    # Each framing and place with some lines, each line with some of them.
    if (number + _FRAMINGS.index(framing)) % 2 == (place == "after")
]


def _chunked(body: bytes) -> bytes:
    return b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"


def _framed(framing: str) -> tuple[list[str], bytes]:
    """Returns the lines of a head that frame a body, and the body's bytes."""
    if framing == "chunks":
        return ["Transfer-Encoding: chunked"], _chunked(_EVENTS)
    if framing == "length":
        return [f"Content-Length: {len(_EVENTS)}"], _EVENTS
    if framing == "cut length":
        return [f"Content-Length: {len(_EVENTS)}"], _FIRST_EVENT
    return [], _EVENTS


def _malformed(line: str, framing: str, place: str) -> rawengine.Serve:
    """Returns what answers with a malformed line beside its framing."""
    lines, body = _framed(framing)
    rows = [line, *lines] if place == "before" else [*lines, line]

    def serve(connection: socket.socket, request: bytes) -> None:
        connection.sendall(rawengine.head(request, *rows) + body)

    return serve


def _kept_open(connection: socket.socket, request: bytes) -> None:
    """Answers with a malformed line and does not close the connection."""
    _malformed("X-Bad Name: x", "length", "before")(connection, request)
    connection.recv(1)


def _with_status_line(line: bytes) -> rawengine.Serve:
    """Returns what answers with another status line."""

    def serve(connection: socket.socket, request: bytes) -> None:
        lines, body = _framed("length")
        head = rawengine.head(request, *lines)
        connection.sendall(head.replace(b"HTTP/1.1 200 OK", line) + body)

    return serve


def _malformed_interim(connection: socket.socket, request: bytes) -> None:
    lines, body = _framed("length")
    interim = b"HTTP/1.1 103 Early Hints\r\nX-Bad Name: x\r\n\r\n"
    connection.sendall(interim + rawengine.head(request, *lines) + body)


def _malformed_trailer(connection: socket.socket, request: bytes) -> None:
    lines, body = _framed("chunks")
    body = body.removesuffix(b"\r\n") + b"X-Bad Name: x\r\n\r\n"
    connection.sendall(rawengine.head(request, *lines) + body)


@pytest.fixture
def add(scene: gatewayscene.Scene) -> Iterator[Any]:
    """Returns what adds an engine that answers as a function does."""
    made: list[rawengine.RawEngine] = []

    def add_engine(serve: rawengine.Serve) -> rawengine.RawEngine:
        engine: Any = rawengine.RawEngine(f"i-raw{len(made)}", serve)
        made.append(engine)
        scene.list_engine(engine)
        return made[-1]

    yield add_engine
    for engine in made:
        engine.close()


def _check_refused(answer: gatewayscene.Answer) -> None:
    assert (answer.status, answer.is_whole) == (502, True)
    assert not answer.headers.keys() & {
        "bulrushdeal-server-stamp",
        "set-cookie",
    }
    assert not any(name.startswith("x") for name in answer.headers)


@pytest.mark.parametrize(("line", "framing", "place"), _CASES)
def test_an_answer_with_a_malformed_head_reaches_no_caller(
    scene: gatewayscene.Scene, add: Any, line: str, framing: str, place: str
) -> None:
    """Guards against a body that is cut or holds chunk sizes, as if whole."""
    add(_malformed(line, framing, place))
    vm = scene.add_vm()
    for attempt, path in enumerate(["/safe/x", "/s/once/x", "/unsafe/x"]):
        # Each path meets the engine before it is avoided for what it sent.
        answer = vm.call("POST", path, b"p", attempt=f"a{attempt}")
        _check_refused(answer)


@pytest.mark.parametrize(
    "serve",
    [
        _kept_open,
        _malformed_interim,
        _malformed("X: a\rSet-Cookie: b=c", "length", "before"),
        _malformed("X: a\x00b", "length", "after"),
        _with_status_line(b"HTTP/1.1 0200 OK"),
        _with_status_line(b"HTTP/1.1x 200 OK"),
        _with_status_line(b"HTTP/1.1 200 O\rK"),
    ],
    ids=["open", "interim", "cr", "nul", "0200", "1.1x", "reason"],
)
@pytest.mark.parametrize("path", ["/safe/x", "/s/once/x", "/unsafe/x"])
def test_an_answer_with_a_malformed_head_is_refused_at_once(
    scene: gatewayscene.Scene, add: Any, serve: rawengine.Serve, path: str
) -> None:
    """Guards against callers that wait until their deadline."""
    raw = add(serve)
    vm = scene.add_vm()
    begun_s = time.monotonic()
    _check_refused(vm.call("POST", path, b"p"))
    assert time.monotonic() - begun_s < _AT_ONCE_S
    assert raw.requests == 1


@pytest.mark.parametrize(
    "serve",
    [
        _malformed("X-Bad : x", "chunks", "before"),
        _malformed("X-B\x01ad: x", "cut length", "before"),
        _kept_open,
        _malformed_interim,
        _malformed_trailer,
    ],
    ids=["chunks", "cut", "open", "interim", "trailer"],
)
@pytest.mark.parametrize(
    ("path", "body"),
    [("/safe/x", b"answer to /safe/x"), ("/s/x", _EVENTS)],
    ids=["safe", "stream"],
)
def test_a_request_whose_answer_has_a_malformed_head_is_repeated(
    scene: gatewayscene.Scene,
    add: Any,
    serve: rawengine.Serve,
    path: str,
    body: bytes,
) -> None:
    """Guards against a caller that gets nothing though others can serve."""
    raw = add(serve)
    scene.add_engine()
    vm = scene.add_vm()
    for number in range(20):
        answer = vm.call("POST", path, b"p", attempt=f"a{number}")
        assert (answer.status, answer.is_whole) == (200, True)
        assert answer.body == body
        if raw.requests:
            return
    raise AssertionError("no request met the engine")


def test_a_request_that_may_run_once_is_not_repeated_for_a_malformed_head(
    scene: gatewayscene.Scene, add: Any
) -> None:
    """Guards against an order that runs twice."""
    add(_malformed("X-Bad : x", "length", "before"))
    vm = scene.add_vm()
    engine = scene.add_engine()
    answers = [
        vm.call("POST", "/unsafe/x", b"p", attempt=f"a{number}")
        for number in range(6)
    ]
    refused = [n for n, answer in enumerate(answers) if answer.status != 200]
    assert refused
    for number in refused:
        _check_refused(answers[number])
    assert not {run.attempt for run in engine.runs} & {
        f"a{number}" for number in refused
    }


@pytest.mark.parametrize(
    "serve",
    [
        _malformed("X-Bad Name: x", "chunks", "before"),
        _malformed("X-B\x01ad: x", "cut length", "before"),
        _malformed("X-Bad : x", "neither", "before"),
        _malformed_interim,
    ],
    ids=["chunks", "cut", "neither", "interim"],
)
def test_an_item_whose_answer_has_a_malformed_head_runs_again(
    scene: gatewayscene.Scene, add: Any, serve: rawengine.Serve
) -> None:
    """Guards against a result whose text is not the item's."""
    _check_runs_again(scene, add(serve))


def _check_runs_again(
    scene: gatewayscene.Scene, raw: rawengine.RawEngine
) -> None:
    """Checks that an item that meets an engine is done whole at another."""
    vm = scene.add_vm()
    assert vm.submit("job", [gatewayscene.item()]).status == 202
    gatewayscene.until(lambda: raw.requests)
    scene.store.write(f"servers/{raw.instance}", None)
    scene.add_engine()
    gatewayscene.until(lambda: bool(vm.results("job").json()["results"]))
    (row,) = vm.results("job").json()["results"]
    assert (row["state"], row["output"]) == ("completed", _WHOLE_TEXT)


_NO_STATUSES = [b"000", b"099", b"101", b"199", b"600", b"20", b"2000", b"abc"]


@pytest.mark.parametrize("status", _NO_STATUSES)
def test_an_answer_whose_status_is_none_reaches_no_caller(
    scene: gatewayscene.Scene, add: Any, status: bytes
) -> None:
    """Guards against callers that get what no client can read."""
    add(_with_status_line(b"HTTP/1.1 " + status + b" OK"))
    vm = scene.add_vm()
    for attempt, path in enumerate(["/safe/x", "/s/once/x", "/unsafe/x"]):
        answer = vm.call("POST", path, b"p", attempt=f"a{attempt}")
        _check_refused(answer)


def test_an_item_whose_answer_has_no_status_runs_again(
    scene: gatewayscene.Scene, add: Any
) -> None:
    """Guards against a result whose text is not the item's."""
    _check_runs_again(scene, add(_with_status_line(b"HTTP/1.1 000 OK")))
