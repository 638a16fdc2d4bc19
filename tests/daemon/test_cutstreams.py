"""Tests of streams that the upstream, the caller or this system cuts off."""

import http.client
import json
import socket
from typing import Any

import pytest
import result

from bulrushdeald import services
from bulrushdeald import streams
from standins import engine
from standins import plain
from standins import web
from support import pathfakes

SLOW = engine.Timing(token_s=0.02, token_per_stream_s=0.0, prefill_s=0.0)
PATH = "/v1/chat/completions"


@pytest.fixture
def standins() -> Any:
    pair = (engine.Engine(timing=SLOW), plain.PlainService())
    for standin in pair:
        standin.start()
    yield pair
    for standin in pair:
        standin.stop()


@pytest.fixture
def vm(standins: tuple[engine.Engine, plain.PlainService]) -> Any:
    rows = (
        pathfakes.engine_row(standins[0].address),
        pathfakes.plain_row(standins[1].address),
    )
    with pathfakes.running(*rows, upstream_silence_s=1.0) as vm:
        yield vm


def begin(
    vm: pathfakes.SmallVm, path: str, body: Any, key: str = pathfakes.KEY
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    connection = vm.connect()
    headers = {"Authorization": f"Bearer {key}"}
    connection.request("POST", path, json.dumps(body), headers)
    return connection, connection.getresponse()


def events(body: bytes) -> list[Any]:
    datas = [event.removeprefix(b"data: ") for event in body.split(b"\n\n")]
    return [d if d == b"[DONE]" else json.loads(d) for d in datas if d]


def test_engine_drops_connection(
    vm: pathfakes.SmallVm, standins: tuple[engine.Engine, Any]
) -> None:
    """Guards against a truncated stream that looks complete to the caller.

    The engine drops the connection after the first words. The stream must
    end with an error that says that the request ran.
    """
    standins[0].faults = web.Faults(drop_at="answer")
    reply = vm.ask("POST", PATH, pathfakes.chat(stream=True))
    *_, last = events(reply.body)
    assert last["error"]["ran"] == "ran"
    assert last["error"]["code"] == "upstream_crashed"
    assert b"[DONE]" not in reply.body
    pathfakes.wait_until(lambda: vm.router.outcomes == ["crashed"])


def test_engine_times_out(
    vm: pathfakes.SmallVm, standins: tuple[engine.Engine, Any]
) -> None:
    standins[0].faults = web.Faults(freeze_in_answer_s=3.0)
    reply = vm.ask("POST", PATH, pathfakes.chat(stream=True))
    assert events(reply.body)[-1]["error"]["code"] == "upstream_timeout"


def test_service_drops_connection(
    vm: pathfakes.SmallVm, standins: tuple[Any, plain.PlainService]
) -> None:
    """Guards against a partial response that looks complete to the caller.

    The service drops the connection inside a chunked response. The caller's
    connection must break as well, since a regular end would hide the loss.
    """
    standins[1].faults = web.Faults(drop_at="answer")
    for path in ("/services/booking/stream", "/services/booking/"):
        with pytest.raises(http.client.IncompleteRead):
            vm.ask("POST", path, {})
    pathfakes.wait_until(lambda: vm.router.outcomes == ["crashed"] * 2)


def test_only_503_counts_against_an_upstream(
    vm: pathfakes.SmallVm, standins: tuple[engine.Engine, Any]
) -> None:
    """Guards against one customer's bad request disabling an engine for all.

    The engine responds to it with 500 each time. If that counted as a failure
    of the engine, it would get no requests for a while.
    """
    for status in (500, 400, 503):
        standins[0].faults = web.Faults(refuse_status=status)
        assert vm.ask("POST", PATH, pathfakes.chat()).status == status
    # A model call with 503 is retried once, here at the same engine.
    assert vm.router.outcomes == ["ok", "ok", "refused", "refused"]
    codes = [event.outcome for event in vm.usage.events]
    assert codes == ["upstream_500", "upstream_400", "upstream_503"]


def test_503_of_a_starting_engine_is_retried_elsewhere() -> None:
    """Guards against passing on the 503 of an engine that loads its model.

    Another engine has a free slot, so the call is retried there, unless it
    has an idempotency key.
    """
    engines = [engine.Engine(timing=pathfakes.FAST) for _ in range(2)]
    rows = []
    for number, server in enumerate(engines):
        server.start()
        rows.append(pathfakes.engine_row(server.address, f"e{number}"))
    engines[1].faults = web.Faults(refuse_status=503)
    with pathfakes.running(*rows) as vm:
        assert vm.ask("POST", PATH, pathfakes.chat()).status == 200
        assert vm.router.outcomes == ["refused", "ok"]
        keyed = vm.ask("POST", PATH, pathfakes.chat(), Idempotency_Key="k")
        assert keyed.status == 503
    for server in engines:
        server.stop()


def test_departed_caller_cancels_engine_request(
    vm: pathfakes.SmallVm, standins: tuple[engine.Engine, Any]
) -> None:
    """Guards against an engine that works on after its caller left.

    The engine's request must be cancelled at once: in the middle of a stream,
    before its first token, and before a response that is not streamed.
    """
    calls = (
        pathfakes.chat(stream=True, max_tokens=400),
        pathfakes.chat("a" * 40_000, stream=True),
        pathfakes.chat(max_tokens=400),
    )
    for number, call in enumerate(calls, start=1):
        connection = vm.connect()
        headers = {"Authorization": f"Bearer {pathfakes.KEY}"}
        connection.request("POST", PATH, json.dumps(call), headers)
        pathfakes.wait_until(
            lambda n=number: standins[0].counts["started"] == n  # type: ignore[misc]
        )
        assert connection.sock is not None
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()
        pathfakes.wait_until(
            lambda n=number: standins[0].counts["cancelled"] == n  # type: ignore[misc]
        )
    pathfakes.wait_until(lambda: vm.router.outcomes == ["cancelled"] * 3)
    # A call ends just after its outcome is counted.
    pathfakes.wait_until(lambda: not vm.callers.dump().open_calls)


def test_caller_that_leaves_after_the_last_event_counts_as_served() -> None:
    """Guards against counting a served caller as `caller_left`.

    A client closes its connection as soon as it has `[DONE]`, before the
    engine has ended its response. In one of five runs of the demo, the usage
    report therefore never counted all requests.
    """
    event = b'data: {"choices": []}\n\ndata: [DONE]\n\n'
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer += b"%x\r\n%s\r\n" % (len(event), event)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with pathfakes.running(pathfakes.engine_row(address)) as vm:
            connection = vm.connect()
            headers = {"Authorization": f"Bearer {pathfakes.KEY}"}
            call = json.dumps(pathfakes.chat(stream=True))
            connection.request("POST", PATH, call, headers)
            upstream, _ = listener.accept()
            with upstream:
                upstream.recv(65536)
                upstream.sendall(answer)
                response = connection.getresponse()
                while not response.readline().startswith(b"data: [DONE]"):
                    pass
                assert connection.sock is not None
                connection.sock.shutdown(socket.SHUT_RDWR)
                connection.close()
                pathfakes.wait_until(lambda: vm.router.outcomes == ["ok"])
                outcomes = [event.outcome for event in vm.usage.events]
                assert outcomes == ["ok"]


def test_withdrawn_key_ends_open_streams(
    vm: pathfakes.SmallVm, standins: tuple[engine.Engine, Any]
) -> None:
    """Guards against open requests that go on after their key is withdrawn.

    The open stream must end within seconds, together with the engine's run,
    and another customer's stream must go on.
    """
    call = pathfakes.chat(stream=True, max_tokens=50)
    withdrawn_connection, withdrawn_response = begin(vm, PATH, call)
    other_connection, unaffected_response = begin(
        vm, PATH, call, pathfakes.OTHER_KEY
    )
    # A request without streaming that still waits for its response.
    waiting = vm.connect()
    headers = {"Authorization": f"Bearer {pathfakes.KEY}"}
    body = json.dumps(pathfakes.chat(max_tokens=400))
    waiting.request("POST", PATH, body, headers)
    pathfakes.wait_until(lambda: standins[0].counts["started"] == 3)
    vm.config.withdraw(pathfakes.KEY)
    last = events(withdrawn_response.read())[-1]
    assert (last["error"]["code"], last["error"]["ran"]) == (
        "key_withdrawn",
        "ran",
    )
    refused = pathfakes.Reply(waiting.getresponse())
    assert (refused.status, refused.error["code"]) == (401, "key_withdrawn")
    assert events(unaffected_response.read())[-1] == b"[DONE]"
    assert standins[0].counts["cancelled"] == 2
    assert vm.ask("GET", "/v1/models").status == 401
    for connection in (withdrawn_connection, other_connection, waiting):
        connection.close()


def test_key_withdrawn_during_authentication(
    vm: pathfakes.SmallVm,
    standins: tuple[engine.Engine, Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a race between authentication and key withdrawal.

    The key is withdrawn after its check, but before the request is among the
    open requests that the withdrawal ends.
    """
    find = vm.config.authenticate

    def find_and_withdraw(key: str) -> Any:
        found = find(key)
        vm.config.withdraw(key)
        return found

    monkeypatch.setattr(vm.config, "authenticate", find_and_withdraw)
    call = pathfakes.chat(stream=True, max_tokens=50)
    reply = vm.ask("POST", PATH, call)
    assert (reply.status, reply.error["code"]) == (401, "key_withdrawn")
    assert reply.error["ran"] == "not_run"
    assert standins[0].counts["started"] == 0


def test_no_upstream_sees_the_key(
    vm: pathfakes.SmallVm,
    standins: tuple[engine.Engine, plain.PlainService],
) -> None:
    """Guards against disclosing a caller's key to an upstream.

    A client library may put the key into several headers, which are dropped.
    A request with the key in its path or body is refused, since the key
    cannot be removed there.
    """
    key = pathfakes.KEY
    headers = {
        "X_Api_Key": key,
        "Cookie": f"session={key}; a=b",
        "X_Escaped": key.replace("-", "%2D"),
        "X_Upper": key.upper(),
        "Proxy_Authorization": f"Basic {key}",
        "Connection": "X-Hop",
        "X_Hop": "1",
        "X_Kept": "yes",
    }
    assert vm.ask("POST", PATH, pathfakes.chat(), **headers).status == 200
    assert vm.ask("POST", "/services/booking/", {}, **headers).status == 200
    long_body = b"x" * 70_000 + key.encode()
    for path, body in (
        (f"/services/booking/{key}", b""),
        (f"/services/booking/?k={key.replace('-', '%2d')}", b""),
        ("/services/booking/", key.encode()),
        ("/services/booking/", long_body),
        (PATH, json.dumps(pathfakes.chat(key)).encode()),
    ):
        assert vm.ask("POST", path, body).status == 400, path
    for standin in standins:
        requests = standin.stats()["requests"]
        assert len(requests) == 1
        seen = requests[0]["headers"]
        assert ("x-kept", "yes") in seen
        names = {name.lower() for name, _ in seen}
        assert not names & {"x-hop", "authorization", "proxy-authorization"}
        assert key not in str(requests).lower()
        assert "%2d" not in str(requests).lower()


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_only_complete_events_are_relayed(size: int, end: bytes) -> None:
    stream = end.join((b'data: {"a": 1}', b"data: [DONE]", b""))

    def cut_at(stop: int) -> Any:
        pieces = [stream[i : min(i + size, stop)] for i in range(0, stop, size)]
        return streams.whole_events(result.Ok(piece) for piece in pieces)

    got = list(cut_at(len(stream)))
    assert b"".join(item.ok_value for item in got) == stream
    for stop in range(len(stream)):
        *whole, error = cut_at(stop)
        data = b"".join(item.ok_value for item in whole)
        assert data == b"" or data.endswith(end)
        assert isinstance(error, result.Err)
        assert error.err_value == services.UpstreamError(
            "crashed", "ran", "The stream ended early."
        )
