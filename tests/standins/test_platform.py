"""The stand-in of the platform behaves as the platform is described."""

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
def test_compare_and_swap_follows_a_dictionary(taken: list[Any]) -> None:
    space = keyspace.Keyspace()
    oracle: dict[str, tuple[int, bytes]] = {}
    changed: dict[str, int] = {}
    for kind, key, expected, value in taken:
        held = oracle.get(key, (0, b""))
        before = space.revision
        if kind == "put":
            revision, _ = space.put(key, value, expected)
            assert bool(revision) == (held[0] == expected)
            if revision:
                oracle[key] = (revision, value)
        else:
            is_deleted, _ = space.delete(key, expected)
            assert is_deleted == (key in oracle and held[0] == expected)
            if is_deleted:
                del oracle[key]
        assert space.revision - before in (0, 1)
        if space.revision != before:
            changed[key] = space.revision
    listed, _ = space.list("a/")
    assert [(h.key, h.revision, h.value) for h in listed] == [
        (key, *oracle[key]) for key in sorted(oracle) if key.startswith("a/")
    ]
    for after in range(space.revision + 1):
        seen, _ = space.watch("", after, 0.0)
        assert {h.key: h.revision for h in seen} == {
            key: revision
            for key, revision in changed.items()
            if revision > after
        }


def test_a_key_goes_with_its_lease() -> None:
    space = keyspace.Keyspace()
    short, long = space.grant(0.05), space.grant(60.0)
    space.put("a", b"", 0, short)
    space.put("b", b"", 0, long)
    # The watch itself notices that the lease lapsed.
    (gone,), _ = space.watch("a", space.revision, 20.0)
    assert gone.is_deleted
    assert not space.renew(short)
    assert space.renew(long)
    assert space.revoke(long)
    assert space.list("")[0] == ()
    assert space.put("c", b"", 0, "no such lease") == (0, None)


def test_faults_and_counts_over_http() -> None:
    served = platform.Platform(weight_loads_per_s=0.1)
    served.start()
    http = urllib3.HTTPConnectionPool(
        "127.0.0.1", served.port, retries=False, timeout=20.0
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
    # The answer was lost after the effect.
    entry = json.loads(call("GET", "/v1/kv/a%20b")[1])
    assert (entry["key"], entry["revision"]) == ("a b", 2)
    served.fault(outage=True)
    assert is_dropped("PUT", put + "2")
    served.fault(outage=False)
    assert json.loads(call("GET", "/v1/kv/a%20b")[1])["revision"] == 2
    assert call("GET", "/v1/weights/m")[0] == 200
    assert call("GET", "/v1/weights/m")[0] == 429
    calls = json.loads(call("GET", "/v1/stats")[1])["calls"]
    assert calls == {"put": 4, "get": 2, "weights": 2}
    served.stop(0.1)


def test_the_list_of_vms_lags() -> None:
    served = platform.Platform()
    vm = '{"failure_domain": "d", "role": "entry", "peer_address": "h:1"}'
    served.start()
    http = urllib3.HTTPConnectionPool("127.0.0.1", served.port, retries=False)
    served.fault(list_lag_s=3600.0)
    http.request("PUT", "/v1/vms/vm-1", body=vm.encode())
    assert http.request("GET", "/v1/vms").json()["vms"] == []
    served.fault(list_lag_s=0.0)
    answer = http.request("GET", "/v1/vms")
    assert [row["vm"] for row in answer.json()["vms"]] == ["vm-1"]
    again = http.request(
        "GET", "/v1/vms", headers={"If-None-Match": answer.headers["ETag"]}
    )
    assert again.status == 304
    http.request("DELETE", "/v1/vms/vm-1")
    assert http.request("GET", "/v1/vms").json()["vms"] == []
    served.stop(0.1)
