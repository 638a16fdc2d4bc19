"""Tests of the bulk store and of the client that writes to two stores."""

import pathlib
from typing import Any

import pytest
import result

from bulrushdeald import objects
from bulrushdeald import services
from support import batchfakes

DATA = bytes(range(256)) * 3000


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> batchfakes.Fleet:
    fleet = batchfakes.Fleet()
    for number in range(3):
        name = f"vm{number}"
        fleet.add(name, f"d{number}", str(tmp_path / name))
    return fleet


def put(fleet: batchfakes.Fleet, name: str, data: bytes) -> objects.ObjectRef:
    return fleet.vms["vm0"].replicas.put(name, data).unwrap()


def files(folder: pathlib.Path) -> list[pathlib.Path]:
    return [path for path in folder.rglob("*") if path.is_file()]


def test_object_is_on_two_stores_in_two_domains(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    ref = put(fleet, "a/0", DATA)
    assert len(set(ref.stores)) == 2
    assert len(files(tmp_path)) == 2
    for vm in fleet.vms.values():
        assert vm.replicas.get(ref).unwrap() == DATA


def test_damaged_copy_is_not_read(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    # Guards against corrupt results: a disk returns other bytes than were
    # written, and the reader takes them instead of the second copy.
    ref = put(fleet, "a/0", DATA)
    copy = files(tmp_path / ref.stores[0])[0]
    content = bytearray(copy.read_bytes())
    content[1000] ^= 1
    copy.write_bytes(content)
    assert fleet.vms["vm0"].replicas.get(ref).unwrap() == DATA
    copy = files(tmp_path / ref.stores[1])[0]
    copy.write_bytes(content)
    unread = fleet.vms["vm0"].replicas.get(ref)
    assert isinstance(unread, result.Err)
    assert unread.err_value.kind == "missing"


def test_object_is_missing_only_if_every_store_answers(
    fleet: batchfakes.Fleet,
) -> None:
    ref = put(fleet, "a/0", DATA)
    fleet.vms["vm0"].replicas.delete(ref)
    fleet.network.silent.add("vm2")
    unread = fleet.vms["vm0"].replicas.get(ref)
    assert isinstance(unread, result.Err)
    assert unread.err_value.kind == "unavailable"


def test_other_content_under_a_name_is_refused(
    fleet: batchfakes.Fleet,
) -> None:
    ref = put(fleet, "a/0", DATA)
    assert put(fleet, "a/0", DATA).checksum == ref.checksum
    other = fleet.vms["vm1"].replicas.put("a/0", b"other")
    assert isinstance(other, result.Err)
    assert other.err_value.kind == "fenced"
    assert fleet.vms["vm2"].replicas.get(ref).unwrap() == DATA


def test_store_that_does_not_answer_is_skipped(
    fleet: batchfakes.Fleet,
) -> None:
    for silent in ("vm1", "vm2"):
        fleet.network.silent = {silent}
        ref = put(fleet, f"a/{silent}", DATA)
        assert silent not in ref.stores
        assert len(set(ref.stores)) == 2


def test_interrupted_write_leaves_no_object(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    # Guards against truncated objects: a writer crashes between two pieces,
    # and the store publishes the pieces that it has.
    half = objects.StorePut(
        "upload1",
        "a/0",
        "vm1",
        1.0,
        8,
        objects.checksum(b"12345678"),
        0,
        b"1234",
    )
    peers = batchfakes.FakePeers(fleet.network, "client")
    peers.register_answers(*objects.ANSWERS)
    assert peers.call("vm0", half, 1.0).unwrap().status == "ok"
    get = objects.StoreGet("a/0", 0, 100)
    assert peers.call("vm0", get, 1.0).unwrap().status == "missing"
    late = half._replace(upload="upload2", offset_bytes=4, data=b"5678")
    assert peers.call("vm0", late, 1.0).unwrap().status == "broken"
    assert files(tmp_path / "vm0" / "incoming")
    fleet.add("vm0", "d0", str(tmp_path / "vm0"))
    assert not files(tmp_path / "vm0")
    whole = half._replace(data=b"12345678")
    assert peers.call("vm0", whole, 1.0).unwrap().status == "ok"
    wrong = whole._replace(upload="upload3", name="a/1", data=b"12345679")
    assert peers.call("vm0", wrong, 1.0).unwrap().status == "broken"
    assert peers.call("vm0", get, 1.0).unwrap().data == b"12345678"


def test_uploads_in_progress_outlive_many_new_ones(
    fleet: batchfakes.Fleet,
) -> None:
    """Guards against writers that all begin anew, again and again."""
    data = b"12345678"
    first = objects.StorePut(
        "u0", "a/0", "vm1", 1.0, 8, objects.checksum(data), 0, data[:4]
    )
    peers = batchfakes.FakePeers(fleet.network, "client")
    peers.register_answers(*objects.ANSWERS)

    def send(row: objects.StorePut) -> str:
        status: str = peers.call("vm0", row, 1.0).unwrap().status
        return status

    statuses = [
        send(first._replace(upload=f"u{number}", name=f"a/{number}"))
        for number in range(300)
    ]
    assert statuses.count("broken") == 300 - 256
    assert send(first._replace(offset_bytes=4, data=data[4:])) == "ok"
    # There is room for one again.
    assert send(first._replace(upload="late", name="a/late")) == "ok"


@pytest.mark.parametrize("name", ["../x", "/x", "a/../../x", "", "a//b", "a\n"])
def test_name_cannot_leave_the_folder(
    fleet: batchfakes.Fleet, name: str
) -> None:
    refused: Any = fleet.vms["vm0"].replicas.put(name, b"x")
    assert isinstance(refused, result.Err)
    assert isinstance(refused.err_value, services.StoreError)
