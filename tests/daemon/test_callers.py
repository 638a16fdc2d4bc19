"""Tests of the callers' server: responses, streams, errors and limits."""

from collections.abc import Iterator
import json

import pytest

from bulrushdeal import httpd
from bulrushdeald import services
from standins import engine
from standins import plain
from standins import web
from support import pathfakes


@pytest.fixture
def standin() -> Iterator[engine.Engine]:
    timing = pathfakes.FAST
    server = engine.Engine(timing=timing)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def vm(
    standin: engine.Engine, booking: plain.PlainService
) -> Iterator[pathfakes.SmallVm]:
    with pathfakes.running(
        pathfakes.engine_row(standin.address),
        pathfakes.plain_row(booking.address),
        max_body_bytes=2000,
    ) as vm:
        yield vm


def text_of(body: bytes) -> str:
    events = [line[6:] for line in body.split(b"\n\n") if line]
    assert events[-1] == b"[DONE]"
    choices = [json.loads(event)["choices"] for event in events[:-1]]
    return "".join(c[0]["delta"].get("content", "") for c in choices if c)


def test_whole_answer_and_usage(vm: pathfakes.SmallVm) -> None:
    call = pathfakes.chat(max_tokens=5)
    reply = vm.ask("POST", "/v1/chat/completions", call)
    assert reply.status == 200
    expected = "".join(engine.words(json.dumps(call["messages"]), 5))
    assert reply.json["choices"][0]["message"]["content"] == expected
    pathfakes.wait_until(lambda: len(vm.usage.events) == 1)
    event = vm.usage.events[0]
    assert (event.customer, event.outcome) == ("schools", "ok")
    assert (event.upstream, event.completion_tokens) == ("engine-1", 5)
    assert vm.router.outcomes == ["ok"]


def test_stream(vm: pathfakes.SmallVm) -> None:
    call = pathfakes.chat(max_tokens=5, stream=True)
    reply = vm.ask("POST", "/v1/chat/completions", call)
    expected = "".join(engine.words(json.dumps(call["messages"]), 5))
    assert text_of(reply.body) == expected
    pathfakes.wait_until(lambda: vm.router.outcomes == ["ok"])


def test_models(vm: pathfakes.SmallVm) -> None:
    reply = vm.ask("GET", "/v1/models")
    assert [item["id"] for item in reply.json["data"]] == ["textbook"]


def test_plain_service_keeps_method_path_headers_and_body(
    vm: pathfakes.SmallVm,
) -> None:
    reply = vm.ask(
        "PATCH", "/services/booking/a%2Fb/%20c?d=%31", b"body", X_Run_Id="r1"
    )
    assert reply.status == 200
    assert reply.json["method"] == "PATCH"
    assert reply.json["path"] == "/a%2Fb/%20c?d=%31"
    assert reply.json["run"] == "r1"


@pytest.mark.parametrize("method", ["HEAD", "GET", "DELETE", "OPTIONS"])
def test_methods_without_a_body(vm: pathfakes.SmallVm, method: str) -> None:
    for _ in range(2):
        reply = vm.ask(method, "/services/booking/")
        assert reply.status == 200
        assert (reply.body == b"") == (method == "HEAD")


def test_chunked_body_is_relayed_whole(
    vm: pathfakes.SmallVm, booking: plain.PlainService
) -> None:
    connection = vm.connect()
    parts = [b"a" * 70_000, b"b" * 10]
    connection.request(
        "POST",
        "/services/booking/",
        iter(parts),
        {"Authorization": f"Bearer {pathfakes.KEY}"},
        encode_chunked=True,
    )
    reply = pathfakes.Reply(connection.getresponse())
    connection.close()
    fingerprint = web.fingerprint(b"".join(parts))
    assert reply.json["body_sha256"] == fingerprint
    first, second = b"a" * 70_000, b"b" * 70_000
    for body in (first, second, second):
        vm.ask("POST", "/services/booking/", body)
    fingerprints = [work.fingerprint for work in vm.router.works[-3:]]
    assert fingerprints[0] != fingerprints[1] == fingerprints[2]


@pytest.mark.parametrize(
    ("body", "status", "code", "field"),
    [
        (b"{", 400, "invalid_request", None),
        (b"[]", 400, "invalid_request", None),
        (b'{"model": "textbook"}', 400, "invalid_request", "messages"),
        (pathfakes.chat(max_tokens=0), 400, "invalid_request", "max_tokens"),
        (pathfakes.chat("a" * 3000), 413, "body_too_large", "body"),
        (
            pathfakes.chat() | {"model": "none"},
            404,
            "model_not_found",
            "model",
        ),
        (pathfakes.chat(pathfakes.KEY), 400, "invalid_request", "body"),
    ],
)
def test_invalid_input_names_its_field_and_takes_no_quota(
    vm: pathfakes.SmallVm,
    standin: engine.Engine,
    body: object,
    status: int,
    code: str,
    field: str | None,
) -> None:
    reply = vm.ask("POST", "/v1/chat/completions", body)
    assert (reply.status, reply.error["code"]) == (status, code)
    assert (reply.error["param"], reply.error["ran"]) == (field, "not_run")
    assert vm.limits.taken == 0
    assert not standin.runs


def test_bad_key_and_missing_paths(vm: pathfakes.SmallVm) -> None:
    assert vm.ask("GET", "/v1/models", key="wrong").status == 401
    assert vm.ask("GET", "/v1/nothing").status == 404
    assert vm.ask("GET", "/services/nothing/").status == 404
    assert vm.ask("GET", "/services/booking/?k=" + pathfakes.KEY).status == 400


def test_refusals_carry_retry_after(vm: pathfakes.SmallVm) -> None:
    vm.limits.refusal = services.Refusal(
        429, "rate_limited", "Too many.", retry_after_s=1.2
    )
    reply = vm.ask("POST", "/v1/chat/completions", pathfakes.chat())
    assert (reply.status, reply.headers["retry-after"]) == (429, "2")
    vm.config.is_ready = False
    assert vm.ask("GET", "/v1/models").status == 503
    assert vm.ask("GET", "/healthz").status == 503


def test_bulk_routes_hold_a_bounded_share_of_threads(
    vm: pathfakes.SmallVm,
) -> None:
    def serve(
        request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        # A transfer holds its thread until its body is closed, so each request
        # nested in a handler holds one more.
        inner = vm.ask("POST", "/v1/files").status if depth() < 20 else 0
        statuses.append(inner)
        return httpd.json_response(200, {})

    def depth() -> int:
        entered.append(1)
        return len(entered)

    entered: list[int] = []
    statuses: list[int] = []
    vm.callers.route("POST", "/v1/files", serve, True)
    assert vm.ask("POST", "/v1/files").status == 200
    assert statuses == [503, *[200] * 7]
    assert vm.ask("GET", "/v1/models").status == 200


def test_bulk_address_has_its_own_listener() -> None:
    with pathfakes.running(bulk_address="127.0.0.1:0") as vm:
        first, second = vm.callers._servers
        assert first.port != second.port
        for server in (first, second):
            vm.callers._servers[0] = server
            assert vm.ask("GET", "/v1/models").status == 200
        vm.callers._servers[0] = first
