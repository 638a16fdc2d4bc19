"""Tests that the stand-in platform behaves as its interfaces specify."""

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import urllib3

from standins import keyspace
from standins import platform

keys = st.sampled_from(["a/1", "a/2", "b"])
steps = st.lists(
    st.tuples(
        st.sampled_from(["put", "delete"]), keys, st.integers(0, 6), st.binary()
    )
)


@given(steps)
def test_compare_and_swap_matches_a_dictionary(applied: list[Any]) -> None:
    store = keyspace.Keyspace()
    model: dict[str, tuple[int, bytes]] = {}
    changed: dict[str, int] = {}
    for kind, key, expected, value in applied:
        held = model.get(key, (0, b""))
        before = store.revision
        if kind == "put":
            revision, _ = store.put(key, value, expected)
            assert bool(revision) == (held[0] == expected)
            if revision:
                model[key] = (revision, value)
        else:
            is_deleted, _ = store.delete(key, expected)
            assert is_deleted == (key in model and held[0] == expected)
            if is_deleted:
                del model[key]
        assert store.revision - before in (0, 1)
        if store.revision != before:
            changed[key] = store.revision
    listed, _ = store.list("a/")
    assert [(h.key, h.revision, h.value) for h in listed] == [
        (key, *model[key]) for key in sorted(model) if key.startswith("a/")
    ]
    for after in range(store.revision + 1):
        seen, _ = store.watch("", after, 0.0)
        assert {h.key: h.revision for h in seen} == {
            key: revision
            for key, revision in changed.items()
            if revision > after
        }


def test_keys_are_deleted_when_their_lease_ends() -> None:
    store = keyspace.Keyspace()
    short, long = store.grant(0.05), store.grant(60.0)
    store.put("a", b"", 0, short)
    store.put("b", b"", 0, long)
    # The watch itself detects that the lease expired.
    (gone,), _ = store.watch("a", store.revision, 20.0)
    assert gone.is_deleted
    assert not store.renew(short)
    assert store.renew(long)
    assert store.revoke(long)
    assert store.list("")[0] == ()
    assert store.put("c", b"", 0, "no such lease") == (0, None)


def test_faults_and_counts_over_http() -> None:
    stand_in = platform.Platform(weight_loads_per_s=0.1)
    stand_in.start()
    http = urllib3.HTTPConnectionPool(
        "127.0.0.1", stand_in.port, retries=False, timeout=20.0
    )

    def call(method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        answer = http.request(method, path, body=body)
        return answer.status, answer.data

    def is_dropped(method: str, path: str) -> bool:
        try:
            http.request(method, path, body=b"x")
        except urllib3.exceptions.HTTPError:
            return True
        return False

    put = "/v1/kv/a%20b?expected_revision="
    assert call("PUT", put + "0", b"one")[0] == 200
    assert call("PUT", put + "0", b"two")[0] == 409
    assert call("POST", "/v1/faults", b'{"lose_next_answers": 1}')[0] == 200
    assert is_dropped("PUT", put + "1")
    # The write took effect although its answer was lost.
    entry = json.loads(call("GET", "/v1/kv/a%20b")[1])
    assert (entry["key"], entry["revision"]) == ("a b", 2)
    stand_in.fault(outage=True)
    assert is_dropped("PUT", put + "2")
    stand_in.fault(outage=False)
    assert json.loads(call("GET", "/v1/kv/a%20b")[1])["revision"] == 2
    assert call("GET", "/v1/weights/m")[0] == 200
    assert call("GET", "/v1/weights/m")[0] == 429
    calls = json.loads(call("GET", "/v1/stats")[1])["calls"]
    assert calls == {"put": 4, "get": 2, "weights": 2}
    stand_in.stop(0.1)


def test_vm_list_lags() -> None:
    stand_in = platform.Platform()
    vm = '{"failure_domain": "d", "role": "entry", "peer_address": "h:1"}'
    stand_in.start()
    http = urllib3.HTTPConnectionPool("127.0.0.1", stand_in.port, retries=False)
    stand_in.fault(list_lag_s=3600.0)
    http.request("PUT", "/v1/vms/vm-1", body=vm.encode())
    assert http.request("GET", "/v1/vms").json()["vms"] == []
    stand_in.fault(list_lag_s=0.0)
    answer = http.request("GET", "/v1/vms")
    assert [row["vm"] for row in answer.json()["vms"]] == ["vm-1"]
    again = http.request(
        "GET", "/v1/vms", headers={"If-None-Match": answer.headers["ETag"]}
    )
    assert again.status == 304
    http.request("DELETE", "/v1/vms/vm-1")
    assert http.request("GET", "/v1/vms").json()["vms"] == []
    stand_in.stop(0.1)
