"""Tests that each request gets its own complete response, or an error."""

from collections.abc import Iterator
import json
import select
import socket
import struct
import threading
import time
from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeald import connections
from bulrushdeald import services
from bulrushdeald import upstreams
from standins import engine
from standins import web
from support import machines
from support import pathfakes
from support import rawupstream

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
INDEXES = st.integers(0, 5)
CLOSE = rawupstream.RawUpstream.CLOSE
_RESET = struct.pack("ii", 1, 0)


@pytest.fixture
def client() -> Iterator[upstreams.HttpUpstreams]:
    client = upstreams.HttpUpstreams(kernel_lib.Kernel(), pathfakes.settings())
    yield client
    client.stop(1.0)


def get(
    client: upstreams.HttpUpstreams, address: str, request_id: str = ""
) -> Any:
    """Returns the body of a complete response, or an error's kind and `ran`."""
    sent = client.send(
        pathfakes.plain_row(address),
        "GET",
        "/",
        {},
        b"",
        timeout_s=2.0,
        use=services.ConnectionUse(request_id=request_id),
    )
    if isinstance(sent, result.Err):
        return sent.err_value.kind, sent.err_value.ran
    body = b""
    for item in sent.ok_value.chunks():
        if isinstance(item, result.Err):
            sent.ok_value.close()
            return item.err_value.kind, item.err_value.ran
        body += item.ok_value
    sent.ok_value.close()
    return body


def test_an_upstream_that_only_broke_off_is_told_from_one_that_ended(
    client: upstreams.HttpUpstreams,
) -> None:
    """Guards against a lost answer that is taken for the upstream's end."""
    server = socket.create_server(("127.0.0.1", 0))
    host, port = server.getsockname()
    row = pathfakes.plain_row(f"{host}:{port}")
    assert client.probe_address(row) == "accepts"
    server.close()
    assert client.probe_address(row) == "refuses"


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (HEAD + b"one", b"one"),
        (HEAD + b"on" + CLOSE, ("crashed", "ran")),
        (HEAD[:-2] + CLOSE, ("crashed", "unknown")),
        (HEAD[:20] + CLOSE, ("crashed", "unknown")),
        (CLOSE, ("crashed", "unknown")),
        (b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + HEAD + b"one", b"one"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"one", b"one"),
        (b"HTTP/1.1 101 Switch\r\n\r\n", ("crashed", "ran")),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\none\r\n" + CLOSE,
            ("crashed", "ran"),
        ),
        (b"garbage\r\n\r\n" + CLOSE, ("crashed", "unknown")),
    ],
)
def test_single_response(
    client: upstreams.HttpUpstreams, script: bytes, expected: Any
) -> None:
    server = rawupstream.RawUpstream(script)
    assert get(client, server.address) == expected
    server.close()


@pytest.mark.parametrize(
    "status", ["000", "099", "101", "199", "600", "999", "1000", "20", "-20"]
)
def test_a_status_beyond_the_protocol_is_no_answer(
    client: upstreams.HttpUpstreams, status: str
) -> None:
    """Guards against callers that get what no client can read."""
    script = HEAD.replace(b"200", status.encode()) + b"one" + CLOSE
    server = rawupstream.RawUpstream(script)
    got = get(client, server.address)
    server.close()
    assert not isinstance(got, bytes)
    assert got[0] == "crashed"


def test_the_last_status_of_the_protocol_is_an_answer(
    client: upstreams.HttpUpstreams,
) -> None:
    """Guards against answers that are dropped for a status without a name."""
    server = rawupstream.RawUpstream(HEAD.replace(b"200", b"599") + b"one")
    assert get(client, server.address) == b"one"
    server.close()


@pytest.mark.parametrize(
    ("more", "body"),
    [
        (b"Content-Length: 3\r\nContent-Length: 3", b"on"),
        (b"Content-Length: 3, 3", b"on"),
        (b"Content-Length: 2\r\nContent-Length: 3", b"one"),
        (b"Content-Length: 3\r\nContent-Length: 2", b"one"),
        (b"Content-Length: -3", b"one"),
        (b"Content-Length: +3", b"one"),
        (b"Content-Length: 3x", b"one"),
        (b"Content-Length:", b"one"),
        (b"Transfer-Encoding: gzip, chunked", b"3\r\none\r\n0\r\n\r\n"),
        (b"Transfer-Encoding: identity", b"one"),
        (
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            b"3\r\none\r\n0\r\n\r\n",
        ),
    ],
)
def test_an_answer_whose_end_is_not_certain_is_not_taken_as_whole(
    client: upstreams.HttpUpstreams, more: bytes, body: bytes
) -> None:
    """Guards against a body that is cut, or that two readers end apart."""
    script = b"HTTP/1.1 200 OK\r\n" + more + b"\r\n\r\n" + body
    server = rawupstream.RawUpstream(script + CLOSE)
    got = get(client, server.address)
    server.close()
    assert got in (("crashed", "ran"), ("crashed", "unknown"))


@pytest.mark.parametrize(
    "more",
    [
        b"Content-Length: 3\r\nContent-Length: 3",
        b"Content-Length: 03 , 03",
        b"Transfer-Encoding: Chunked",
    ],
)
def test_an_answer_that_states_its_end_oddly_is_whole(
    client: upstreams.HttpUpstreams, more: bytes
) -> None:
    """Guards against answers that are dropped though their end is certain."""
    body = b"3\r\none\r\n0\r\n\r\n" if b"hunked" in more else b"one"
    script = b"HTTP/1.1 200 OK\r\n" + more + b"\r\n\r\n" + body
    server = rawupstream.RawUpstream(script)
    assert get(client, server.address) == b"one"
    server.close()


@pytest.mark.parametrize(
    "malformed",
    [
        HEAD.replace(b"Content", b"X-Bad Name: x\r\nContent") + b"one",
        HEAD.replace(b"\r\n\r\n", b"\r\nX-Bad : x\r\n\r\n") + b"one",
        HEAD.replace(b"200", b"0200") + b"one",
        HEAD.replace(b"Content", b"X: a\rSet-Cookie: b\r\nContent") + b"one",
        b"HTTP/1.1 103 Early\r\nX-B\x01ad: x\r\n\r\n" + HEAD + b"one",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\none\r\n0\r\nX-Bad Name: x\r\n\r\n",
    ],
)
def test_a_connection_with_a_malformed_answer_carries_no_other_request(
    client: upstreams.HttpUpstreams, malformed: bytes
) -> None:
    """Guards against the rest of an answer that is taken for the next one."""
    server = rawupstream.RawUpstream(malformed, HEAD + b"two", HEAD + b"too")
    got = get(client, server.address)
    assert got in (("crashed", "unknown"), ("crashed", "ran"))
    assert get(client, server.address) == b"two"
    assert get(client, server.address) == b"too"
    server.close()
    assert server.connections == 2


_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_WHOLE_ANSWERS = [
    HEAD + b"one",
    _CHUNKED + b"03\r\none\r\n0\r\n\r\n",
    _CHUNKED + b"01;a=b\r\no\r\n002\r\nne\r\n00\r\nA: b\r\n\r\n",
]


@pytest.mark.parametrize("answer", _WHOLE_ANSWERS)
def test_an_answer_that_is_cut_anywhere_is_not_taken_as_whole(
    client: upstreams.HttpUpstreams, answer: bytes
) -> None:
    """Guards against an empty or a short body, framed as whole."""
    for size in range(len(answer) + 1):
        server = rawupstream.RawUpstream(answer[:size] + CLOSE)
        got = get(client, server.address)
        server.close()
        if isinstance(got, bytes):
            assert got == b"one", answer[:size]
    assert got == b"one"


@pytest.mark.parametrize("size", [b"-3", b"+3", b"0x3", b"0_3", b"", b"3g"])
def test_a_chunk_without_a_proper_size_ends_the_answer(
    client: upstreams.HttpUpstreams, size: bytes
) -> None:
    """Guards against a body that two readers of it split differently."""
    server = rawupstream.RawUpstream(_CHUNKED + size + b"\r\none\r\n0\r\n\r\n")
    assert get(client, server.address) == ("crashed", "ran")
    server.close()


@pytest.mark.parametrize("end", [b"XY", b"\n\n", b"\r0", b"\nX"])
def test_a_chunk_that_goes_on_beyond_its_size_ends_the_answer(
    client: upstreams.HttpUpstreams, end: bytes
) -> None:
    """Guards against a body that lacks bytes of a chunk, as if whole."""
    script = _CHUNKED + b"3\r\none" + end + b"0\r\n\r\n"
    server = rawupstream.RawUpstream(script, HEAD + b"two")
    assert get(client, server.address) == ("crashed", "ran")
    assert get(client, server.address) == b"two"
    server.close()
    assert server.connections == 2


def test_extra_bytes_do_not_reach_the_next_request(
    client: upstreams.HttpUpstreams,
) -> None:
    """Guards against a caller reading a response meant for another caller.

    An upstream sends more bytes than its `Content-Length`, here a second
    response. On a reused connection they would answer the next request.
    """
    extra = HEAD + b"one" + HEAD + b"two"
    server = rawupstream.RawUpstream(extra, HEAD + b"own", HEAD + b"too")
    assert get(client, server.address) == b"one"
    assert get(client, server.address) == b"own"
    assert get(client, server.address) == b"too"
    assert server.connections == 2
    server.close()


def test_no_connection_carries_an_id_twice(
    client: upstreams.HttpUpstreams,
) -> None:
    """Guards against a late second answer that is taken for the next one's."""
    server = rawupstream.RawUpstream(*[HEAD + b"one"] * 5)
    for request_id, count in (
        ("a", 1),
        ("b", 1),
        ("a", 2),
        # Two have carried it, one has not.
        ("b", 2),
        ("a", 3),
    ):
        assert get(client, server.address, request_id) == b"one"
        assert server.connections == count


def test_connections_to_upstreams_that_are_gone_are_closed(
    client: upstreams.HttpUpstreams, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that has no descriptor left after many releases."""
    monkeypatch.setattr(connections, "_MAX_IDLE_S", 0.2)
    monkeypatch.setattr(connections, "_SWEEP_INTERVAL_S", 0.1, raising=False)
    servers = [rawupstream.RawUpstream(HEAD + b"one") for _ in range(20)]
    for server in servers:
        assert get(client, server.address) == b"one"
        server.close()
    time.sleep(0.3)
    last = rawupstream.RawUpstream(HEAD + b"one")
    assert get(client, last.address) == b"one"
    assert client.dump()["idle_connections"] == {last.address: 1}
    last.close()


def test_a_connection_ends_after_many_requests(
    client: upstreams.HttpUpstreams, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against ids that are remembered without a bound."""
    monkeypatch.setattr(connections, "_MAX_REQUESTS", 3)
    server = rawupstream.RawUpstream(*[HEAD + b"one"] * 7)
    for number in range(7):
        assert get(client, server.address, f"a{number}") == b"one"
    assert server.connections == 3


def test_connection_closed_while_idle_is_not_reused(
    client: upstreams.HttpUpstreams,
) -> None:
    server = rawupstream.RawUpstream(HEAD + b"one" + CLOSE, HEAD + b"two")
    assert get(client, server.address) == b"one"
    pathfakes.wait_until(lambda: _is_seen_closed(client))
    assert get(client, server.address) == b"two"
    server.close()


def _is_seen_closed(client: upstreams.HttpUpstreams) -> bool:
    idle = [item for items in client._pool._idle.values() for item in items]
    return not any(item.connection.is_connected for item in idle)


def test_a_run_that_is_given_up_is_reset(
    client: upstreams.HttpUpstreams,
) -> None:
    """Guards against runs that go on where a close looks like a half-close."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        opened: list[socket.socket] = []

        def serve() -> None:
            opened.append(server.accept()[0])
            opened[0].recv(4096)
            opened[0].sendall(b"HTTP/1.1 200 OK\r\n\r\npart")

        thread = threading.Thread(target=serve)
        thread.start()
        row = pathfakes.plain_row(f"{host}:{port}")
        answer = client.send(row, "GET", "/", {}, b"", timeout_s=2.0).unwrap()
        assert next(answer.chunks()).unwrap() == b"part"
        thread.join()
        answer.cancel()
        answer.close()
        poll = select.poll()
        # Without an interest in the end of the input.
        poll.register(opened[0], 0)
        assert poll.poll(1000)
        opened[0].close()


_LONG_BODY = b"x" * 3_000_000


def _answer_and_reset(server: socket.socket, answer: bytes) -> None:
    """Answers a request without reading its body, then resets."""
    connection, _ = server.accept()
    connection.sendall(answer)
    time.sleep(0.1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    connection.close()


@pytest.mark.parametrize(
    ("answer", "is_whole"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\none", False),
        (b"HTTP/1.0 200 OK\r\n\r\none", False),
        (HEAD + b"on", False),
        (HEAD + b"one", True),
    ],
)
def test_an_answer_that_is_reset_while_its_request_is_sent(
    client: upstreams.HttpUpstreams, answer: bytes, is_whole: bool
) -> None:
    """Guards against a cut body that is taken for a whole one."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        threading.Thread(
            target=_answer_and_reset, args=(server, answer)
        ).start()
        row = pathfakes.plain_row(f"{host}:{port}")
        sent = client.send(row, "POST", "/", {}, _LONG_BODY, timeout_s=5.0)
        pieces = list(sent.unwrap().chunks())
        sent.unwrap().close()
    if is_whole:
        assert pieces == [result.Ok(b"one")]
        return
    assert isinstance(pieces[-1], result.Err)
    assert (pieces[-1].err_value.kind, pieces[-1].err_value.ran) == (
        "crashed",
        "ran",
    )


def test_cancel_ends_blocked_reads_of_body_and_head() -> None:
    """A cancellation ends the read at once instead of at its timeout.

    A body without a length ends with its connection, so a cancelled one must
    not count as complete.
    """
    client = upstreams.HttpUpstreams(kernel_lib.Kernel(), pathfakes.settings())
    server = rawupstream.RawUpstream(b"HTTP/1.0 200 OK\r\n\r\npart", b"")
    row = pathfakes.plain_row(server.address)
    sent = client.send(row, "GET", "/", {}, b"", timeout_s=30.0)
    assert isinstance(sent, result.Ok)
    chunks = sent.ok_value.chunks()
    assert next(chunks) == result.Ok(b"part")
    timer = threading.Timer(0.05, sent.ok_value.cancel)
    timer.start()
    ended = next(chunks)
    assert isinstance(ended, result.Err)
    assert (ended.err_value.kind, ended.err_value.ran) == ("cancelled", "ran")
    sent.ok_value.close()
    cancels: list[Any] = []

    def on_connected(cancel: Any) -> None:
        cancels.append(cancel)
        threading.Timer(0.05, cancel).start()

    head = client.send(
        row, "GET", "/", {}, b"", timeout_s=30.0, on_connected=on_connected
    )
    assert isinstance(head, result.Err)
    assert head.err_value.kind == "cancelled"
    assert head.err_value.ran == "unknown"
    server.close()


class OpenAnswer:
    """A response in progress and its expected text."""

    def __init__(
        self,
        expected: str,
        answer: services.UpstreamAnswer,
        cancel: Any,
        may_fail: bool,
    ) -> None:
        self.expected = expected
        self.answer = answer
        self.cancel = cancel
        self.may_fail = may_fail
        self.chunks = answer.chunks()
        self.body = b""


class OwnAnswerMachine(stateful.RuleBasedStateMachine):
    """Checks that callers sharing connections get only their own responses.

    Responses are read, abandoned, and cancelled early, late and twice. The
    engine drops connections, freezes, and responds after the timeout. In any
    order, what a caller reads is a prefix of its own response, and a response
    that ends without an error is complete.
    """

    def __init__(self) -> None:
        super().__init__()
        timing = engine.Timing(0.0, 0.0, 0.0, 0.0)
        self.engine = engine.Engine(timing=timing)
        self.engine.start()
        self.row = pathfakes.engine_row(self.engine.address)
        self.client = upstreams.HttpUpstreams(
            kernel_lib.Kernel(), pathfakes.settings()
        )
        self.open: list[OpenAnswer] = []
        self.old_cancels: list[Any] = []
        self.count = 0

    @stateful.rule(stream=st.booleans(), size=st.integers(1, 40))
    def send(self, stream: bool, size: int) -> None:
        self.ask(stream, size, timeout_s=5.0)

    def ask(self, stream: bool, size: int, timeout_s: float) -> None:
        self.count += 1
        prompt = f"prompt {self.count}"
        call = {
            "model": "textbook",
            "prompt": prompt,
            "max_tokens": size,
            "stream": stream,
        }
        cancels: list[Any] = []
        faults = self.engine.faults
        is_over = faults.drop_times == 0 or not faults.drop_at
        may_fail = timeout_s < 1 or not is_over
        sent = self.client.send(
            self.row,
            "POST",
            "/v1/completions",
            {},
            json.dumps(call).encode(),
            timeout_s,
            on_connected=cancels.append,
        )
        # A request fails only during a fault or after a short timeout; an
        # earlier fault must not affect it.
        assert isinstance(sent, result.Ok) or may_fail
        if isinstance(sent, result.Ok):
            expected = "".join(engine.words(prompt, size))
            self.open.append(
                OpenAnswer(expected, sent.ok_value, cancels[0], may_fail)
            )

    def pick(self, index: int) -> list[OpenAnswer]:
        """Returns a list with one open response, empty if none is open."""
        count = len(self.open)
        return [self.open[index % count]] if count else []

    @stateful.rule(index=INDEXES, count=st.integers(1, 3))
    def read_some(self, index: int, count: int) -> None:
        for item in self.pick(index):
            for _ in range(count):
                self.read_one(item)

    @stateful.rule(index=INDEXES)
    def read_all(self, index: int) -> None:
        for item in self.pick(index):
            self.finish(item)

    def finish(self, item: OpenAnswer) -> None:
        while item in self.open:
            self.read_one(item)

    def read_one(self, item: OpenAnswer) -> None:
        if item not in self.open:
            return
        got = next(item.chunks, None)
        if isinstance(got, result.Ok):
            item.body += got.ok_value
            return
        if got is None:
            text, is_whole = text_of(item.body)
            assert (text, is_whole) == (item.expected, True)
        else:
            assert item.may_fail, got
        self.end(item)

    def end(self, item: OpenAnswer) -> None:
        text, _ = text_of(item.body)
        assert item.expected.startswith(text)
        item.answer.close()
        self.open.remove(item)
        self.old_cancels += [item.cancel, item.answer.cancel]

    @stateful.rule(index=INDEXES)
    def close_early(self, index: int) -> None:
        for item in self.pick(index):
            self.end(item)

    @stateful.rule(index=INDEXES)
    def cancel(self, index: int) -> None:
        for item in self.pick(index):
            item.may_fail = True
            item.cancel()
            self.finish(item)

    @stateful.rule()
    def cancel_late(self) -> None:
        """Cancelling a finished request does not affect another request."""
        self.engine.faults = web.Faults(freeze_in_answer_s=0.005)
        self.ask(True, 3, timeout_s=5.0)
        item = self.open[-1]
        for cancel in self.old_cancels:
            cancel()
        self.finish(item)
        self.engine.faults = web.Faults()

    @stateful.rule(size=st.integers(2, 9))
    def leave_silent_answer(self, size: int) -> None:
        """A response is closed while its engine pauses before the rest."""
        self.engine.faults = web.Faults(freeze_in_answer_s=0.005)
        self.ask(True, size, timeout_s=5.0)
        self.end(self.open[-1])
        self.ask(False, size, timeout_s=5.0)
        self.finish(self.open[-1])
        self.engine.faults = web.Faults()

    @stateful.rule(
        point=st.sampled_from(
            ["", "head", "in_head", "body", "answer_head", "answer"]
        ),
        times=st.integers(1, 2),
    )
    def drop(self, point: web.DropPoint, times: int) -> None:
        self.engine.faults = web.Faults(drop_at=point, drop_times=times)

    @stateful.rule(
        fault=st.sampled_from(
            [web.Faults(freeze_s=0.04), web.Faults(freeze_in_answer_s=0.04)]
        )
    )
    def freeze(self, fault: web.Faults) -> None:
        self.engine.faults = fault
        self.ask(True, 3, timeout_s=0.01)
        self.ask(False, 3, timeout_s=0.01)
        self.engine.faults = web.Faults()

    def teardown(self) -> None:
        for item in tuple(self.open):
            item.answer.close()
        self.client.stop(1.0)
        self.engine.stop()


def text_of(body: bytes) -> tuple[str, bool]:
    """Returns the text of a response and whether it is complete."""
    if not body.startswith(b"data:"):
        try:
            return json.loads(body)["choices"][0]["text"], True
        except ValueError:
            return "", False
    text = ""
    for event in body.split(b"\n\n")[:-1]:
        if event == b"data: [DONE]":
            return text, True
        for choice in json.loads(event[5:])["choices"]:
            text += choice["text"]
    return text, False


TestOwnAnswer = OwnAnswerMachine.TestCase
TestOwnAnswer.settings = machines.settings(examples=30, steps=25)
