"""Upstreams that answer and break off while their request is being sent."""

import base64
from collections.abc import Iterator
import contextlib
import re
import socket
import struct
import threading
import time
from typing import Any

import pytest

from support import gatewayscene

_BODY = b"x" * 3_000_000
# One entry of the store holds an item with its body as base64.
_ITEM_BODY = base64.b64encode(_BODY[:400_000]).decode()
_EVENTS = 5
_RESET = struct.pack("ii", 1, 0)
_HEAD_END = b"\r\n\r\n"


class _HastyEngine:
    """Answers each request before it reads the body, and resets.

    It sends one event, the next one after those that a request has already.

    Attributes:
        instance: The name of the instance.
        address: Where it listens.
        requests: How many requests it has answered.
    """

    instance = "i-hasty"

    def __init__(self) -> None:
        self.requests = 0
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            request = b""
            while _HEAD_END not in request:
                data = connection.recv(1024)
                if not data:
                    return
                request += data
            self.requests += 1
            connection.sendall(_head(request) + _next_event(request))
            time.sleep(0.1)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def _next_event(request: bytes) -> bytes:
    last = re.search(rb"(?im)^last-event-id: *(\d+)", request)
    number = 1 + (int(last[1]) if last else 0)
    if number > _EVENTS:
        return b""
    return b"id: %d\ndata: data %d\n\n" % (number, number)


def _head(request: bytes) -> bytes:
    attempt = next(
        line
        for line in request.split(b"\r\n")
        if line.lower().startswith(b"bulrushdeal-request-attempt-id:")
    )
    rows = (
        b"HTTP/1.1 200 OK",
        attempt,
        b"Bulrushdeal-Server-Stamp: signed",
        b"Connection: close",
    )
    return b"\r\n".join((*rows, b"", b""))


@pytest.fixture
def hasty() -> Iterator[_HastyEngine]:
    engine = _HastyEngine()
    yield engine
    engine.close()


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/s/once/x"])
def test_an_answer_cut_while_its_request_is_sent_does_not_look_whole(
    scene: gatewayscene.Scene, hasty: Any, path: str
) -> None:
    """Guards against a part of an answer, framed as whole."""
    scene.list_engine(hasty)
    answer = scene.add_vm().call("POST", path, _BODY)
    assert hasty.requests
    assert answer.status != 200 or not answer.is_whole


def test_an_item_cut_while_its_request_is_sent_is_not_completed(
    scene: gatewayscene.Scene, hasty: Any
) -> None:
    """Guards against a result whose text lacks its end."""
    scene.list_engine(hasty)
    vm = scene.add_vm()
    item = {**gatewayscene.item(), "body": _ITEM_BODY}
    assert vm.submit("job", [item]).status == 202
    gatewayscene.until(lambda: hasty.requests)
    scene.add_engine(events=_EVENTS)
    gatewayscene.until(lambda: bool(vm.results("job").json()["results"]))
    (row,) = vm.results("job").json()["results"]
    assert row["output"].split("\n") == [
        f"data {number}" for number in range(1, _EVENTS + 1)
    ]
