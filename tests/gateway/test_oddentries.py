"""Odd entries of other writers: deep nesting, large numbers, false ports."""

import json
import time
from typing import Any

import cbor2
import pytest

from bulrushdeal import errors
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import links
from bulrushdeald import services
from bulrushdeald import upstreams
from bulrushdeald import wire
from bulrushplatform import settings
from bulrushplatform import wire as wire_lib
from gateway import configuration
from gateway import jobrecords
from gateway import members
from gateway import names
from gateway import upstreamlist
from support import gatewayscene
from support import pathfakes

# Longer than all readers take to read a change.
_KNOWN_S = 2.0
_NESTED = b"[" * 100_000
_ODD_PORTS = ("9" * 30, "99999", "65536", "0", "-1", "٨٠", "8 0", "8_0", "")
_OWN = "bulrushdeal/"


def _upstream(**more: Any) -> bytes:
    value = {
        "service": "llm",
        "address": "127.0.0.1:1",
        "zone": "d1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "version": "v1",
        "cold_remaining_ms": 0,
        "born": 1,
    }
    return json.dumps(value | more).encode()


def _vm(**more: Any) -> bytes:
    value = {"failure_domain": "d1", "peers": "127.0.0.1:1", "cores": 1.0}
    return json.dumps(value | more).encode()


@pytest.mark.parametrize(
    "entry",
    [
        _NESTED,
        _upstream(zone=[[]]).replace(b"[]", b"[" * 900 + b"]" * 900),
        _upstream(slots=10**30),
        *(_upstream(address=f"127.0.0.1:{port}") for port in _ODD_PORTS),
        _upstream(address="a name:80"),
    ],
)
def test_an_odd_entry_of_an_upstream_gets_no_request(
    scene: gatewayscene.Scene, entry: bytes
) -> None:
    """Guards against requests to another port, and threads that end."""
    scene.add_engine()
    scene.store.write("servers/i-odd", entry)
    vm = scene.add_vm()
    found = vm.kernel.find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
    assert [row.instance for row in found.usable("llm")] == ["i-0"]
    assert vm.call("POST", "/safe/x", b"p").status == 200


@pytest.mark.parametrize("port", _ODD_PORTS)
def test_a_false_port_fails_as_an_address_that_cannot_be_reached(
    port: str,
) -> None:
    """Guards against errors that end the threads of requests and links."""
    client = upstreams.HttpUpstreams(kernel_lib.Kernel(), pathfakes.settings())
    row = pathfakes.plain_row(f"127.0.0.1:{port}")
    sent = client.send(row, "GET", "/", {}, b"", timeout_s=1.0)
    assert sent.unwrap_err()[:2] == ("unreachable", "not_run")
    assert client.probe_address(row) == "unreachable"
    target = links.Target("vm9", row.address)
    ended: list[links.Link] = []
    link = links.Link(
        target, wire.Hello("vm1", "x", "d1"), links.Traffic(), ended.append
    )
    failed_before = sum(threads.OWN.failures().values())
    link.start()
    called = link.call(wire.Refused(""), 1.0)
    assert called.unwrap_err().kind == "unreachable"
    assert sum(threads.OWN.failures().values()) == failed_before


@pytest.mark.parametrize(
    "entry",
    [
        _NESTED,
        b'{"failure_domain":"d1","peers":' + b"[" * 2000 + b"]" * 2000 + b"}",
        _vm(cores=10**400),
        _vm(cores="many"),
        _vm(peers="127.0.0.1:" + "9" * 30),
        _vm(peers="127.0.0.1:99999"),
        _vm(peers=3),
        _vm(failure_domain=None),
    ],
)
def test_an_odd_entry_of_a_vm_is_left_out(
    scene: gatewayscene.Scene, entry: bytes
) -> None:
    """Guards against lists of VMs that are read no more."""
    vm = scene.add_vm()
    scene.store.write(f"{_OWN}members/vm9", entry)
    scene.store.write(f"{_OWN}rates/shards/007", entry)
    found = vm.kernel.find(services.MEMBERSHIP, members.Members)
    time.sleep(_KNOWN_S)
    scene.add_vm("vm2")
    gatewayscene.until(lambda: found.count() == 2)
    assert {row.vm for row in found.entry_vms()} == {"vm1", "vm2"}
    assert vm.call("GET", "/nowhere/").status == 404
    assert "rateshards" not in threads.OWN.failures()


@pytest.mark.parametrize(
    "customers",
    [
        [{"name": "odd", "api_keys": [[[]], 10**400, "\ud800", {}, "k2"]}],
        [{"name": "odd", "api_keys": "k2"}],
        [{"name": "odd", "api_keys": ["k2"], "rate_per_s": 10**400}],
        [[[]]],
    ],
)
def test_odd_keys_cost_no_other_key(
    scene: gatewayscene.Scene, customers: list[Any]
) -> None:
    """Guards against a configuration that ends those who read it."""
    scene.add_engine()
    vm = scene.add_vm()
    value = gatewayscene.configuration(2)
    scene.configure(value | {"tenants": [*value["tenants"], *customers]})
    time.sleep(_KNOWN_S)
    assert vm.call("POST", "/safe/x", b"p").status == 200
    scene.configure(gatewayscene.configuration(3))
    feed = vm.kernel.find(names.CONFIGURATION, configuration.Feed)

    def version() -> int:
        active = feed.current()
        return 0 if active is None else active.version

    gatewayscene.until(lambda: version() == 3)


@pytest.mark.parametrize(
    "value",
    [
        _NESTED,
        gatewayscene.configuration(2, limits=10**400),
        gatewayscene.configuration(10**400),
        gatewayscene.configuration(2, routes=[{"services": [[]]}]),
    ],
    ids=["nested", "limits", "version", "routes"],
)
def test_an_odd_configuration_is_left_out(
    scene: gatewayscene.Scene, value: Any
) -> None:
    """Guards against VMs that apply no later version."""
    scene.add_engine()
    vm = scene.add_vm()
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    scene.store.write("op/config", data)
    time.sleep(_KNOWN_S)
    assert vm.call("POST", "/safe/x", b"p").status == 200
    scene.configure(gatewayscene.configuration(3))
    feed = vm.kernel.find(names.CONFIGURATION, configuration.Feed)

    def version() -> int:
        active = feed.current()
        return 0 if active is None else active.version

    gatewayscene.until(lambda: version() == 3)


_ODD_RECORDS = (
    b"\x81" * 100_000,
    cbor2.dumps([10**400] * 12),
    cbor2.dumps(["j", "c", "h", "/b/", 10**400, ["i"], 1, 3, 10**400, 1, ""]),
    b"\xff",
)


@pytest.mark.parametrize("record", _ODD_RECORDS, ids=range(4))
def test_an_odd_record_of_a_job_does_not_keep_others_from_being_run(
    scene: gatewayscene.Scene, record: bytes
) -> None:
    """Guards against jobs that nobody takes over any more."""
    scene.add_engine()
    vm = scene.add_vm()
    keys = jobrecords.Keys(_OWN)
    for key in (
        *(keys.open_job(name) for name in ("a-odd", "z-odd")),
        keys.meta("a-odd"),
        keys.meta("z-odd"),
        keys.result("a-odd", 0),
        keys.results("left") + "odd",
        keys.result("left", 1),
        keys.progress("left"),
        keys.backlog("odd"),
        keys.claim("odd"),
        f"{_OWN}crashes/odd",
    ):
        scene.store.write(key, record)
    submission = wire_lib.Dialect().decode_submission(
        json.dumps({"items": [gatewayscene.item("i1")]}).encode()
    )
    (part,) = jobrecords.pack_items(submission.items, 1 << 20)
    meta = jobrecords.JobMeta(
        "left",
        "school",
        "h.example",
        "/b/",
        int(time.time() * 1000),
        ("i1",),
        1,
        3,
        60.0,
        18.0,
        "b",
    )
    scene.store.write(keys.part("left", 0), part)
    scene.store.write(keys.meta("left"), jobrecords.pack(meta))
    scene.store.write(
        keys.open_job("left"), jobrecords.pack(meta.open_record(1))
    )

    def is_done() -> bool:
        answer = vm.results("left")
        return answer.status == 200 and bool(answer.json()["next"])

    gatewayscene.until(is_done)
    assert vm.submit("own", [gatewayscene.item("i2")]).status == 202
    gatewayscene.until(lambda: bool(vm.results("own").json()["next"]))


@pytest.mark.parametrize(
    "changed",
    [
        ("x = 1", "x = " + "[" * 3000 + "]" * 3000),
        ("x = 1", "x = 2026-99-99"),
        ("x = 1", f"x = {10**30}"),
        *(
            (f"{ip}:{port}", f"{ip}:{odd}")
            for ip, port in (("10.0.0.1", 8405), ("10.0.0.1", 8406))
            for odd in ("9" * 30, "99999", "٨٠")
        ),
        ("10.0.0.9:8408", "10.0.0.9:0"),
        ("[7660, 7675]", "[99999]"),
        ("[7660, 7675]", '["a"]'),
        ("grace_s = 8", f"grace_s = {10**30}"),
    ],
)
def test_odd_settings_are_an_error_that_names_the_file(
    tmp_path: Any, changed: tuple[str, str]
) -> None:
    """Guards against processes that end with a traceback."""
    text = """
x = 1
node = "vm1"
zone = "d1"
ip = "10.0.0.1"
internal_ports = [7660, 7675]
[listen]
front = "10.0.0.1:8405"
ready = "10.0.0.1:8406"
[bounds]
grace_s = 8
[platform]
address = "10.0.0.9:8408"
"""
    path = tmp_path / "settings.toml"
    path.write_text(text)
    assert settings.read({settings.VARIABLE: str(path)}).vm == "vm1"
    assert changed[0] in text
    path.write_text(text.replace(*changed))
    if changed[1] == f"x = {10**30}":
        assert settings.read({settings.VARIABLE: str(path)}).vm == "vm1"
        return
    with pytest.raises(errors.UserError, match=r"settings\.toml"):
        settings.read({settings.VARIABLE: str(path)})
