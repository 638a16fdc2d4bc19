"""Upstreams that answer and break off while their request is being sent."""

import base64
from collections.abc import Iterator
import re
import socket
import struct
import time
from typing import Any

import pytest

from support import gatewayscene
from support import rawengine

_BODY = b"x" * 3_000_000
# One entry of the store holds an item with its body as base64.
_ITEM_BODY = base64.b64encode(_BODY[:400_000]).decode()
_EVENTS = 5
_RESET = struct.pack("ii", 1, 0)


def _answer_early(connection: socket.socket, request: bytes) -> None:
    """Sends one event, the next one after those that a caller has, resets."""
    connection.sendall(rawengine.head(request) + _next_event(request))
    time.sleep(0.1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def _next_event(request: bytes) -> bytes:
    last = re.search(rb"(?im)^last-event-id: *(\d+)", request)
    number = 1 + (int(last[1]) if last else 0)
    if number > _EVENTS:
        return b""
    return b"id: %d\ndata: data %d\n\n" % (number, number)


@pytest.fixture
def hasty() -> Iterator[rawengine.RawEngine]:
    engine = rawengine.RawEngine("i-hasty", _answer_early, reads_body=False)
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
