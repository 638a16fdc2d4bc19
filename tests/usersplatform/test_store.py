"""The client of the platform's key-value store."""

import base64
import json
import socket
from typing import Any

import pytest

from bulrushdeal import httpd
from bulrushplatform import store
from gateway import dialect
from support import rawupstream


class _Server:
    """Answers each call with the next of the given answers."""

    def __init__(self, *answers: tuple[int, Any]) -> None:
        self.answers = list(answers)
        self.calls: list[tuple[str, str, bytes]] = []
        self._server = httpd.Server("127.0.0.1:0", self._serve, 2)
        self._server.start()

    def _serve(self, request: httpd.Request) -> httpd.Response:
        body = request.body.read()
        self.calls.append((request.method, request.target, body))
        return httpd.json_response(*self.answers.pop(0))

    def client(self) -> store.KeyValueStore:
        return store.KeyValueStore(f"127.0.0.1:{self._server.port}")

    def close(self) -> None:
        self._server.stop(0.1)


def _row(key: str, value: bytes, revision: int) -> dict[str, Any]:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision}


def test_reads_are_decoded() -> None:
    server = _Server(
        (200, _row("a b", b"\x00v", 4) | {"as_of": 9}),
        (404, {}),
        (200, {"items": [_row("k", b"v", 5)], "has_more": True, "as_of": 9}),
        (
            200,
            {
                "events": [{"key": "k", "revision": 6, "deleted": True}],
                "as_of": 9,
            },
        ),
        (410, {}),
    )
    client = server.client()
    got = client.get("a b", 1.0).unwrap()
    assert got is not None
    assert (got.value, got.revision) == (b"\x00v", 4)
    assert client.get("none", 1.0).unwrap() is None
    page = client.list("p/", "p/k", 1.0, stale=True).unwrap()
    assert (page.has_more, page.revision) == (True, 9)
    changes = client.watch("p/", 5, 2.0, 3.0).unwrap()
    assert changes.entries[0].value is None
    assert client.watch("p/", 1, 2.0, 3.0).unwrap_err().kind == "gap"
    targets = [target for _, target, _ in server.calls]
    assert targets[0] == "/kv-key?key=a+b"
    assert "allow_stale=1" in targets[2]
    assert "wait_ms=2000" in targets[3]
    server.close()


def test_a_commit_error_tells_whether_it_may_have_taken_effect() -> None:
    server = _Server(
        (200, {"revision": 12}),
        (412, {"items": [_row("k", b"v", 3)]}),
        (503, {}),
        (500, {}),
        (404, {}),
    )
    client = server.client()
    expected = (dialect.RevisionCondition("k", 0),)
    writes = (dialect.Write("k", b"v", 7),)

    def commit() -> Any:
        return client.commit(expected, writes, ("d",), 1.0)

    assert commit().unwrap() == 12
    conflict = commit().unwrap()
    assert isinstance(conflict, dialect.Conflict)
    assert conflict.entries[0].revision == 3
    assert commit().unwrap_err().kind == "refused"
    assert commit().unwrap_err().kind == "unknown"
    assert commit().unwrap_err().kind == "no_lease"
    sent = json.loads(server.calls[0][2])
    assert sent["expected_rev"] == [{"key": "k", "revision": 0}]
    assert sent["writes"][0]["lease"] == 7
    assert sent["deletes"] == ["d"]
    server.close()


def test_leases() -> None:
    server = _Server(
        (200, {"lease": 77, "ttl_ms": 3000}),
        (200, {"ttl_ms": 3000}),
        (404, {}),
        (200, {}),
    )
    client = server.client()
    assert client.grant(3.0, 1.0).unwrap() == dialect.Lease(77, 3.0)
    assert client.renew(77, 1.0).unwrap() == 3.0
    assert client.renew(77, 1.0).unwrap_err().kind == "no_lease"
    assert client.end(77, 1.0).is_ok()
    assert client.counts() == (
        dialect.CallCount("grant", "200", 1),
        dialect.CallCount("renew", "200", 1),
        dialect.CallCount("renew", "404", 1),
        dialect.CallCount("end", "200", 1),
    )
    server.close()


def test_a_commit_without_an_answer_has_an_unknown_outcome() -> None:
    """The store accepts a commit and never answers, or cannot be reached.

    A commit without an answer may have taken effect, so its outcome has to be
    settled. Only a failed connection guarantees that it had no effect.
    """
    with socket.create_server(("127.0.0.1", 0)) as silent_server:
        port = silent_server.getsockname()[1]
        client = store.KeyValueStore(f"127.0.0.1:{port}")
        answer = client.commit((), (), (), 0.2)
        assert answer.unwrap_err().kind == "unknown"
    client = store.KeyValueStore(f"127.0.0.1:{port}")
    assert client.commit((), (), (), 0.2).unwrap_err().kind == "refused"


def test_an_unreadable_value_does_not_cost_the_rest_of_its_page() -> None:
    """Guards against one entry of another writer that hides all others."""
    bad = {"key": "p/\ud800", "value": "***", "revision": 7}
    rows = {"items": [bad, _row("p/k", b"v", 5)], "as_of": 9}
    server = _Server((200, rows), (200, {"items": [], "as_of": 9}))
    client = server.client()
    page = client.list("p/", "", 1.0).unwrap()
    assert [row.value for row in page.entries] == [b"", b"v"]
    assert client.list("p/", page.entries[0].key, 1.0).unwrap().entries == ()
    server.close()


def test_an_answer_that_is_cut_in_its_head_says_nothing() -> None:
    """Guards against a key that is taken for missing, and a job with it."""
    whole = b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}"
    head_bytes = len(whole) - 2
    for size in range(head_bytes):
        server = rawupstream.RawUpstream(
            whole[:size] + rawupstream.RawUpstream.CLOSE
        )
        got = store.KeyValueStore(server.address).get("k", 1.0)
        server.close()
        assert got.unwrap_err().kind == "unknown", whole[:size]


@pytest.mark.parametrize("line", [b"X-Bad Name: x", b"X-B\x01ad: x", b"X : y"])
@pytest.mark.parametrize("status", [b"200 OK", b"404 Not Found", b"410 Gone"])
def test_an_answer_with_a_malformed_head_says_nothing(
    status: bytes, line: bytes
) -> None:
    """Guards against a key that is taken for missing, or history for gone."""
    head = b"HTTP/1.1 " + status + b"\r\n" + line + b"\r\n"
    malformed = head + b"Content-Length: 2\r\n\r\n{}"
    malformed += rawupstream.RawUpstream.CLOSE
    server = rawupstream.RawUpstream(malformed, malformed, malformed)
    client = store.KeyValueStore(server.address)
    kinds = [
        client.get("k", 1.0).unwrap_err().kind,
        client.list("k", "", 1.0).unwrap_err().kind,
        client.watch("k", 1, 0.0, 1.0).unwrap_err().kind,
    ]
    server.close()
    assert kinds == ["unknown"] * 3
