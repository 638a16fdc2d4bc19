"""Tests calls about batch jobs that are answered without the store."""

import base64
from typing import Any

from bulrushdeald import services
from gateway import dialect
from gateway import jobdirectory
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore
from gateway import members
from gateway import names
from support import gatewayscene


def _items(count: int) -> list[dict[str, Any]]:
    return [
        {
            "id": f"i{number}",
            "path": f"/b/i/{number}",
            "headers": {},
            "body": base64.b64encode(b"body %d" % number).decode(),
            "tokens": 10,
        }
        for number in range(count)
    ]


def _vms(scene: gatewayscene.Scene) -> list[gatewayscene.Vm]:
    vms = [scene.add_vm(f"vm{row}", f"d{row}") for row in range(3)]
    for vm in vms:
        membership = vm.kernel.find(services.MEMBERSHIP, members.Members)
        gatewayscene.until(
            lambda membership=membership: membership.count() == 3
        )
    return vms


def _until_known(vm: gatewayscene.Vm, job: str, holder: str) -> None:
    directory = vm.kernel.find(names.JOB_DIRECTORY, jobdirectory.JobDirectory)
    gatewayscene.until(lambda: directory.find(job) == holder)


def _finish(vm: gatewayscene.Vm, job: str, items: int) -> None:
    gatewayscene.until(
        lambda: len(vm.results(job, 0, 500).json()["results"]) == items
    )


def test_a_job_just_accepted_is_read_at_any_vm_without_the_store(
    scene: gatewayscene.Scene,
) -> None:
    """Each read before the listing has the claim would cost three calls."""
    scene.add_engine(events=400).pause_s = 0.05
    vms = _vms(scene)
    for number in range(4):
        job = f"job{number}"
        assert vms[0].submit(job, _items(2)).status == 202
        _until_known(vms[1], job, "vm0")
        for vm in vms:
            answer = vm.results(job)
            assert (answer.status, answer.json()["total"]) == (200, 2)
    assert [vm.client.about("/jobs/job") for vm in vms] == [0, 0, 0]


def test_a_job_that_is_done_is_read_at_any_vm_without_the_store(
    scene: gatewayscene.Scene,
) -> None:
    """No VM holds the claim of a finished job, yet callers read it again."""
    scene.add_engine()
    vms = _vms(scene)
    assert vms[0].submit("done", _items(3)).status == 202
    _finish(vms[0], "done", 3)
    before = [vm.client.about("/jobs/done") for vm in vms]
    for vm in vms:
        for after, count in ((2, 1), (0, 3), (3, 0)):
            page = vm.results("done", after).json()
            assert len(page["results"]) == count
    assert [vm.client.about("/jobs/done") for vm in vms] == before


def test_an_items_body_comes_from_the_vm_that_runs_it(
    scene: gatewayscene.Scene,
) -> None:
    """Callers ask any VM for bodies, which would be read from the store."""
    scene.add_engine(events=400).pause_s = 0.05
    vms = _vms(scene)
    assert vms[0].submit("bodies", _items(2)).status == 202
    _until_known(vms[1], "bodies", "vm0")
    for vm in vms:
        answer = vm.call("GET", "/items/bodies?id=i1")
        assert (answer.status, answer.body) == (200, b"body 1")
    assert [vm.client.about("/input/") for vm in vms] == [0, 0, 0]


def test_a_body_comes_from_the_store_when_its_vm_is_lost(
    scene: gatewayscene.Scene,
) -> None:
    scene.add_engine(events=400).pause_s = 0.05
    vms = _vms(scene)
    assert vms[0].submit("lost", _items(2)).status == 202
    vms[0].lose_power()
    for vm in vms[1:]:
        answer = vm.call("GET", "/items/lost?id=i0")
        assert (answer.status, answer.body) == (200, b"body 0")


def test_a_vm_fetches_all_results_that_it_lacks_from_a_peer(
    scene: gatewayscene.Scene,
) -> None:
    """A caller's reads go to different VMs, each from a later position."""
    engine = scene.add_engine(events=40)
    engine.pause_s = 0.02
    vms = _vms(scene)
    assert vms[0].submit("more", _items(9)).status == 202
    assert vms[1].results("more").status in (200, 503)
    gatewayscene.until(
        lambda: len(vms[0].results("more").json()["results"]) >= 8
    )
    before = vms[1].client.about("/jobs/more")
    page = vms[1].results("more", 7).json()
    assert page["results"]
    assert vms[1].client.about("/jobs/more") == before


def _state(job: str) -> jobstate.JobState:
    meta = jobrecords.JobMeta(job, "c", "h", "/", 0, ("i",), 1, 3, 60.0, 18.0)
    item = dialect.JobItem("i", "/", {}, b"", 1)
    return jobstate.JobState(meta, (item,), jobstate.HeldClaim(1), ())


def test_a_table_records_when_jobs_were_added_and_removed() -> None:
    """A listing may be older than the latest changes to the table.

    The VM looked up each job that it had just accepted, and claimed each job
    again that it had just finished.
    """
    table = jobstate.JobTable()
    assert table.added_at_s("j") == table.removed_at_s("j")
    table.add(_state("j"))
    assert table.added_at_s("j") > table.removed_at_s("j")
    table.remove("j")
    assert table.added_at_s("j") < table.removed_at_s("j")


def test_scans_make_no_calls_for_changes_newer_than_the_listing(
    scene: gatewayscene.Scene,
) -> None:
    scene.add_engine()
    vm = scene.add_vm()
    job_store = vm.kernel.find(names.JOB_STORE, jobstore.JobStore)
    for number in range(6):
        job = f"scan{number}"
        assert vm.submit(job, _items(2)).status == 202
        _finish(vm, job, 2)
    assert vm.client.about(job_store.keys.open_job("scan")) == 0
    claims = [
        row
        for row in scene.store.events
        if row.key.startswith(job_store.keys.claims) and row.value is not None
    ]
    assert len(claims) == 6
