"""Tests of whole control services over HTTP and websockets, with outages."""

from collections.abc import Iterator
from typing import Any

import pytest

from bulrushdeal import records
from standins import fleet as fleet_lib
from support import controlplane

wait_until = controlplane.wait_until
CUSTOMER = "/v1/customers/kamau"


@pytest.fixture
def fleet() -> Iterator[controlplane.Fleet]:
    with controlplane.Fleet() as made:
        yield made


def add_key(vm: controlplane.ControlVm) -> Any:
    assert vm.operate("PUT", CUSTOMER, {"rate_per_s": 5}).status == 200
    made = vm.operate("POST", CUSTOMER + "/keys", {"label": "editors"})
    assert made.status == 200
    return made.body


def row(vm: controlplane.ControlVm) -> records.Customer:
    found = vm.config.customer("kamau")
    assert found is not None
    return found


def accepts(vm: controlplane.ControlVm, key: str) -> bool:
    return vm.config.authenticate(key).is_ok()


def rejects(vm: controlplane.ControlVm, key: str) -> bool:
    answer = vm.config.authenticate(key)
    return answer.is_err() and answer.unwrap_err().kind == "unknown_key"


def test_vm_starting_in_an_outage_gets_configuration_from_peers(
    fleet: controlplane.Fleet,
) -> None:
    """A VM is replaced during a long outage of the platform.

    The new VM must not refuse callers while its peers have every key. It has
    no list of VMs either, so it asks the peer seeds from its settings.
    """
    first = fleet.add("a", "d1")
    other = fleet.add("b", "d2")
    wait_until(lambda: first.config.is_ready() and other.config.is_ready())
    live, gone = add_key(first), add_key(first)
    path = "/v1/keys/" + gone["key_hash"][:12]
    assert first.operate("DELETE", path).status == 200
    wait_until(
        lambda: accepts(other, live["key"]) and rejects(other, gone["key"])
    )
    fleet.platform.fault(outage=True)
    seeds = first.settings.peers_address
    new = fleet.add("c", "d1", peer_seeds=seeds)
    assert not accepts(new, live["key"])
    wait_until(lambda: accepts(new, live["key"]))
    assert rejects(new, gone["key"])
    refused = new.operate("PUT", CUSTOMER, {"rate_per_s": 6})
    assert refused.status == 503
    fleet.platform.fault(outage=False)
    wait_until(
        lambda: new.operate("PUT", CUSTOMER, {"rate_per_s": 6}).status == 200
    )
    wait_until(lambda: row(other).rate_per_s == 6.0)


def test_domain_cut_from_the_platform_gets_withdrawals_from_peers(
    fleet: controlplane.Fleet,
) -> None:
    """A failure domain can reach other domains but not the platform.

    A withdrawn key must not continue to work there while the cut lasts.
    """
    connected_vm = fleet.add("a", "d1")
    unused_address = fleet_lib.free_address()
    cut_vms = [
        fleet.add(
            vm,
            "d2",
            platform_address=unused_address,
            peer_seeds=connected_vm.settings.peers_address,
        )
        for vm in ("b", "c")
    ]
    wait_until(lambda: all(vm.config.is_ready() for vm in fleet.vms))
    key = add_key(connected_vm)
    wait_until(lambda: all(accepts(vm, key["key"]) for vm in cut_vms))
    withdrawn = connected_vm.operate("DELETE", "/v1/keys/" + key["key_hash"])
    assert withdrawn.body["withdrawn"] is True
    wait_until(lambda: all(rejects(vm, key["key"]) for vm in cut_vms))


def test_status_shows_vms_that_are_cut_off(fleet: controlplane.Fleet) -> None:
    """The status shows where a withdrawn key may still work."""
    first, other = fleet.add("a", "d1"), fleet.add("b", "d2")
    wait_until(lambda: all(vm.config.is_ready() for vm in fleet.vms))
    add_key(first)

    def status() -> Any:
        return first.operate("GET", "/v1/config/status").body

    wait_until(lambda: status()["is_in_force_everywhere"])
    other.stop()
    found = status()
    assert found["stored_revision"] == first.config.revision()
    assert not found["is_in_force_everywhere"]
    assert [row["state"] for row in found["vms"]] == ["in_force", "cut_off"]
    fleet.platform.fault(outage=True)
    assert status()["platform"] == "cut_off"


def test_edit_with_lost_answer_is_reported_as_accepted(
    fleet: controlplane.Fleet,
) -> None:
    """Reported as failed, the edit would be repeated by the operator."""
    vm = fleet.add("a", "d1")
    wait_until(vm.config.is_ready)
    fleet.platform.fault(lose_next_answers=1)
    assert vm.operate("PUT", CUSTOMER, {"burst": 3}).status == 200
    fleet.platform.fault(lose_next_answers=1)
    change = {"column": "burst", "value": 4, "expected_value": 3}
    assert vm.operate("PATCH", CUSTOMER, change).status == 200
    again = vm.operate("PATCH", CUSTOMER, change)
    assert again.status == 409
    error = again.body["error"]
    assert (error["expected"], error["current"]) == (3.0, 4.0)


def test_operator_routes(fleet: controlplane.Fleet) -> None:
    vm = fleet.add("a", "d1")
    wait_until(vm.config.is_ready)
    assert vm.operate("GET", "/v1/customers", token="other").status == 401
    assert vm.operate("GET", "/v1/nothing").status == 404
    assert vm.operate("PUT", CUSTOMER, "{").status == 400
    wrong = vm.operate("PUT", CUSTOMER, {"rate_per_s": "fast"})
    assert wrong.body["error"]["column"] == "rate_per_s"
    assert vm.operate("PATCH", CUSTOMER, {"column": "x"}).status == 400
    key = add_key(vm)
    # The secret is only in the response that created the key, not in lists
    # or the state dump.
    for path in ("/v1/keys", "/v1/dump", "/v1/customers"):
        assert key["key"] not in vm.operate("GET", path).text
    assert vm.operate("DELETE", "/v1/keys/0123").status == 400
    assert vm.operate("DELETE", "/v1/keys/" + "0" * 64).status == 404
    assert vm.operate("DELETE", CUSTOMER).status == 200
    assert vm.operate("DELETE", CUSTOMER).status == 404
    assert rejects(vm, key["key"])
    upstream: dict[str, Any] = {
        "kind": "engine",
        "address": "127.0.0.1:9",
        "vm": "gpu-1",
    }
    path = "/v1/upstreams/engine-1"
    assert vm.operate("PUT", path, upstream).status == 400
    upstream |= {"failure_domain": "d1", "models": ["m"]}
    assert vm.operate("PUT", path, upstream).status == 200
    assert [row.upstream for row in vm.config.upstreams()] == ["engine-1"]
    assert vm.operate("DELETE", path).status == 200
    assert vm.config.upstreams() == ()


def test_table_import_changes_each_page_whole_or_not_at_all(
    fleet: controlplane.Fleet,
) -> None:
    vm = fleet.add("a", "d1")
    wait_until(vm.config.is_ready)
    header = "customer,weight,rate_per_s,burst,batch_weight\n"
    good = header + "kamau,1,2,3,4\n台灣,1,2,3,4\n"
    path = "/v1/table.csv"
    dry = vm.operate("POST", path + "?dry_run=1", good)
    assert len(dry.body["changed"]) == 2
    assert vm.config.customers() == ()
    bad = vm.operate("POST", path, good + "wanjiru,1,2,3,many\n")
    error = bad.body["error"]
    assert (bad.status, error["line"]) == (400, 4)
    assert vm.config.customers() == ()
    assert vm.operate("POST", path, good).status == 200
    exported = vm.operate("GET", path)
    assert exported.text.splitlines() == good.splitlines()
    # A row is edited after the export; importing the file must not undo it.
    change = {"column": "burst", "value": 9, "expected_value": 3}
    assert vm.operate("PATCH", CUSTOMER, change).status == 200
    since = exported.headers["X-Revision"]
    late = vm.operate(
        "POST", f"{path}?expected_revision={since}", good.replace("1,2", "5,2")
    )
    assert late.status == 409
    assert late.body["error"]["pages"][0]["customers"] == ["kamau"]
    assert row(vm).burst == 9.0
