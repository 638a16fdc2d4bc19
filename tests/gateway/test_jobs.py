"""Tests batch jobs on whole gateways, with failures while they run."""

import base64
import math
import random
import threading
import time
from typing import Any

import pytest

from bulrushdeald import peers
from bulrushdeald import services
from gateway import configuration
from gateway import jobdirectory
from gateway import joblisting
from gateway import jobmessages
from gateway import jobrecords
from gateway import jobstore
from gateway import members
from gateway import names
from gateway import placement
from gateway import runner
from support import gatewayengine
from support import gatewayscene

Fault = gatewayengine.Fault


def _items(count: int, stem: str = "i") -> list[dict[str, Any]]:
    return [
        {
            "id": f"{stem}{number}",
            "path": f"/b/{stem}/{number}",
            "headers": {"Bulrushdeal-Model": "m"},
            "body": base64.b64encode(b"body %d" % number).decode(),
            "tokens": 10,
        }
        for number in range(count)
    ]


def _finished(vm: gatewayscene.Vm, job: str) -> list[dict[str, Any]]:
    """Reads all results of a job, page by page, as a caller does."""
    rows: list[dict[str, Any]] = []
    end_s = time.monotonic() + 20  # Only bounds a failing test.
    while True:
        assert time.monotonic() < end_s, f"only {len(rows)} are listed"
        answer = vm.results(job, len(rows), wait_ms=500)
        assert answer.status in (200, 503)
        if answer.status == 200:
            page = answer.json()
            rows += page["results"]
            assert page["next"] == len(rows)
            if len(rows) == page["total"]:
                return rows


def _output(events: int = 5) -> str:
    return "\n".join(f"data {number}" for number in range(1, events + 1))


def test_each_item_is_listed_once_with_its_whole_output(
    scene: gatewayscene.Scene,
) -> None:
    engine = scene.add_engine()
    vm = scene.add_vm()
    assert vm.submit("j1", _items(12)).status == 202
    assert vm.submit("j1", _items(12)).status == 202
    rows = _finished(vm, "j1")
    assert sorted(row["id"] for row in rows) == sorted(
        item["id"] for item in _items(12)
    )
    assert {row["state"] for row in rows} == {"completed"}
    assert {row["output"] for row in rows} == {_output()}
    assert len(engine.runs) == 12
    assert engine.runs[0].headers["bulrushdeal-tenant"] == "school"


def test_an_item_goes_on_after_its_last_event(
    scene: gatewayscene.Scene,
) -> None:
    """The engine breaks the stream off, once in the middle of an event.

    The run resumes after the last complete event: no event is missing or
    repeated.
    """
    engine = scene.add_engine()
    engine.faults = [Fault("cut", 2), Fault("part", 3), Fault("busy")]
    vm = scene.add_vm()
    vm.submit("j1", _items(1))
    (row,) = _finished(vm, "j1")
    assert row["output"] == _output()
    assert [run.last_event for run in engine.runs] == [0, 2, 3]


def test_an_item_that_fails_each_time_is_errored_after_its_attempts(
    scene: gatewayscene.Scene,
) -> None:
    engine = scene.add_engine()
    engine.faults = [Fault("error")] * 3
    vm = scene.add_vm()
    vm.submit("j1", _items(1))
    (row,) = _finished(vm, "j1")
    assert row["state"] == "errored"
    assert len(engine.runs) == 3


def test_an_item_that_can_never_be_done_is_errored_at_once(
    scene: gatewayscene.Scene,
) -> None:
    engine = scene.add_engine()
    engine.faults = [Fault("never")]
    vm = scene.add_vm()
    vm.submit("j1", _items(1))
    assert _finished(vm, "j1")[0]["state"] == "errored"
    assert len(engine.runs) == 1


def test_a_job_whose_commit_answer_is_lost_is_accepted_once(
    scene: gatewayscene.Scene,
) -> None:
    """The store commits the job, but its answer is lost.

    A 503 would promise that nothing runs although the job does run.
    """
    engine = scene.add_engine()
    vm = scene.add_vm()
    vm.client.lost_commits = 1
    assert vm.submit("j1", _items(3)).status == 202
    assert len(_finished(vm, "j1")) == 3
    assert len(engine.runs) == 3


def test_a_result_whose_commit_answer_is_lost_is_listed_once(
    scene: gatewayscene.Scene,
) -> None:
    scene.add_engine()
    vm = scene.add_vm()
    vm.submit("j1", _items(6))
    vm.client.lost_commits = 3
    rows = _finished(vm, "j1")
    assert len({row["id"] for row in rows}) == len(rows) == 6


def test_results_of_one_moment_are_one_change(
    scene: gatewayscene.Scene,
) -> None:
    scene.add_engine()
    vm = scene.add_vm()
    vm.submit("j1", _items(6))
    assert len(_finished(vm, "j1")) == 6
    keys = vm.kernel.find(names.JOB_STORE, jobstore.JobStore).keys
    revisions = {
        row.revision
        for key, row in scene.store.rows.items()
        if key.startswith(keys.results("j1"))
    }
    assert len(revisions) <= 2
    assert keys.open_job("j1") not in scene.store.rows
    assert keys.claim("j1") not in scene.store.rows


@pytest.mark.parametrize("seed", range(4))
def test_results_are_listed_once_while_answers_are_lost(
    scene: gatewayscene.Scene, seed: int
) -> None:
    """An attempt without an answer had fewer results than the next one."""
    rng = random.Random(seed)
    engines = [scene.add_engine(events=rng.randint(5, 30)) for _ in range(3)]
    for engine in engines:
        engine.pause_s = rng.uniform(0.0, 0.05)
    vm = scene.add_vm()
    vm.submit("j1", _items(18))
    for _ in range(12):
        vm.client.lost_commits = rng.randint(0, 3)
        vm.client.refuses_commits = rng.random() < 0.3
        time.sleep(0.1)
    vm.client.refuses_commits = False
    rows = _finished(vm, "j1")
    assert len({row["id"] for row in rows}) == len(rows) == 18
    assert all(row["state"] == "completed" for row in rows)


def test_without_the_store_a_job_is_refused_not_lost(
    scene: gatewayscene.Scene,
) -> None:
    scene.add_engine()
    vm = scene.add_vm()
    vm.client.is_down = True
    answer = vm.submit("j1", _items(1))
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    vm.client.is_down = False
    gatewayscene.until(lambda: vm.results("j1").status != 503)
    assert vm.results("j1").status == 404


def test_a_job_outlives_the_vm_that_accepted_it(
    scene: gatewayscene.Scene,
) -> None:
    """A VM accepts a job and loses power while its items run.

    Once the VM's lease has ended, another VM finds the job unclaimed and
    finishes it. Results listed before keep their positions.
    """
    scene.add_engine(events=60).pause_s = 0.02
    first, second = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    first.submit("j1", _items(3))
    gatewayscene.until(lambda: scene.engines[0].open == 3)
    first.lose_power()
    rows = _finished(second, "j1")
    assert sorted(row["id"] for row in rows) == ["i0", "i1", "i2"]
    assert {row["output"] for row in rows} == {_output(60)}


def test_a_vm_that_loses_its_power_loses_little_of_its_items(
    scene: gatewayscene.Scene,
) -> None:
    """All VMs lose power while the engines are full of items.

    If each item started anew, the engines would do the work twice, just when
    the requests that waited arrive as well.
    """
    engine = scene.add_engine(events=200)
    engine.pause_s = 0.05
    first, second = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    first.submit("j1", _items(2))
    key = "bulrushdeal/jobs/j1/progress"
    gatewayscene.until(lambda: key in scene.store.rows)
    first.lose_power()
    engine.pause_s = 0.0
    rows = _finished(second, "j1")
    assert {row["output"] for row in rows} == {_output(200)}
    assert all(run.last_event > 0 for run in engine.runs[2:])


def _items_with_events(vm: gatewayscene.Vm) -> int:
    """Returns the number of unfinished items that got an event on a VM."""
    job_runner = vm.kernel.find("runner", runner.Runner)
    return sum(
        item.last_event is not None
        for state in job_runner._table.by_due_time()
        for item in state.without_result()
    )


def test_a_vm_that_stops_hands_its_items_over_as_far_as_they_came(
    scene: gatewayscene.Scene,
) -> None:
    """A VM is replaced as planned while items run.

    The next VM resumes the items after their last event instead of running
    them again.
    """
    engine = scene.add_engine(events=150)
    engine.pause_s = 0.02
    first, second = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    first.submit("j1", _items(2))
    gatewayscene.until(lambda: engine.open == 2)
    gatewayscene.until(lambda: len(engine.runs) == 2)
    # An item without an event has nothing to resume after.
    gatewayscene.until(lambda: _items_with_events(first) == 2)
    scene.vms.remove(first)
    first.kernel.stop(2.0)
    engine.pause_s = 0.0
    rows = _finished(second, "j1")
    assert {row["output"] for row in rows} == {_output(150)}
    assert all(run.last_event > 0 for run in engine.runs[2:])


def test_items_find_out_that_upstreams_of_a_lost_domain_are_there(
    scene: gatewayscene.Scene,
) -> None:
    """All VMs of a failure domain stop while another VM pings them.

    The domain then counts as cut off, so its engines get no items. Without
    items the engines send nothing that would show they are reachable, and the
    job's items would wait forever.
    """
    scene.add_engine()
    vm = scene.add_vm("vm2", "d2")
    membership = vm.kernel.find("membership", members.Members)
    for _ in range(2):
        membership.record_ping(
            "d1", "vm1", services.PeerError("timeout", "no answer")
        )
    assert membership.unreachable_domains() == {"d1"}
    vm.submit("j1", _items(3))
    assert len(_finished(vm, "j1")) == 3


def test_many_jobs_without_slots_ask_the_leader_once(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engines are full, and many jobs wait for slots.

    If each job asked the leader by itself, that would be more messages than
    all requests cause.
    """
    scene.add_engine(events=400).pause_s = 0.05
    vm = scene.add_vm()
    vm.submit("first", _items(8, "first"))
    gatewayscene.until(lambda: scene.engines[0].open == 8)
    for number in range(5):
        vm.submit(f"j{number}", _items(2, f"j{number}"))
    placed = vm.kernel.find(names.PLACEMENT, placement.Placement)
    asked: list[int] = []

    def take(
        service: str, priorities: list[Any], regions: Any, costs: list[Any]
    ) -> list[Any]:
        # The runner's own thread also calls this.
        if threading.current_thread() is threading.main_thread():
            asked.append(len(priorities))
        return []

    monkeypatch.setattr(placed, "take_batch", take)
    job_runner = vm.kernel.find("runner", runner.Runner)
    assert len(job_runner.dump()) == 6
    job_runner.schedule()
    assert len(asked) == 1


def test_an_error_in_placement_does_not_end_the_feeding_of_items(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If the thread that feeds all jobs ended, items would never run."""
    scene.add_engine()
    vm = scene.add_vm()
    placed = vm.kernel.find(names.PLACEMENT, placement.Placement)
    take, failed = placed.take_batch, threading.Event()

    def fail_once(service: str, priorities: list[Any], *rest: Any) -> list[Any]:
        if not failed.is_set():
            failed.set()
            raise RuntimeError("injected failure")
        return take(service, priorities, *rest)

    monkeypatch.setattr(placed, "take_batch", fail_once)
    vm.submit("j1", _items(3))
    assert len(_finished(vm, "j1")) == 3


def test_a_job_that_is_given_up_does_not_hold_up_others(
    scene: gatewayscene.Scene,
) -> None:
    """The store refuses commits while an old job's items are given up.

    Their results cannot be written until it accepts commits again. The thread
    that waited for this used to be the one that feeds the VM's other jobs.
    """
    value = gatewayscene.configuration(2)
    (batch,) = (row for row in value["routes"] if row["name"] == "batch")
    batch["retention_s"] = 2
    scene.configure(value)
    vm = scene.add_vm()
    feed = vm.kernel.find(names.CONFIGURATION, configuration.Feed)
    vm.submit("old", _items(2, "old"))
    scene.configure(gatewayscene.configuration(3))
    gatewayscene.until(
        lambda: (held := feed.current()) is not None and held.version == 3
    )
    vm.submit("new", _items(1, "new"))
    vm.client.refuses_commits = True
    job_runner = vm.kernel.find("runner", runner.Runner)
    gatewayscene.until(lambda: job_runner.dump()["old"]["running"] == 1)
    engine = scene.add_engine()
    gatewayscene.until(lambda: [run.attempt for run in engine.runs] == ["new0"])
    vm.client.refuses_commits = False
    assert {row["state"] for row in _finished(vm, "old")} == {"errored"}
    assert _finished(vm, "new")[0]["state"] == "completed"


def test_an_ended_job_stops_and_keeps_what_is_listed(
    scene: gatewayscene.Scene,
) -> None:
    """A caller ends its job through a VM other than the one that runs it."""
    engine = scene.add_engine(events=400)
    engine.pause_s = 0.05
    first, second = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    first.submit("j1", _items(3))
    gatewayscene.until(lambda: engine.open == 3)
    assert second.call("DELETE", "/lots/j1").status == 200
    assert second.call("DELETE", "/lots/j1").status == 200
    gatewayscene.until(lambda: engine.open == 0)
    assert second.results("j1").json()["total"] == 3


def test_inputs_are_read_at_any_vm(scene: gatewayscene.Scene) -> None:
    first, second = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    first.submit("j1", _items(2))
    answer = second.call("GET", "/items/j1?id=i1")
    assert (answer.status, answer.body) == (200, b"body 1")
    assert second.call("GET", "/items/j1?id=other").status == 404


def test_a_job_is_hidden_from_other_customers(
    scene: gatewayscene.Scene,
) -> None:
    value = gatewayscene.configuration(2)
    value["tenants"].append({"name": "other", "api_keys": ["k2"]})
    scene.configure(value)
    vm = scene.add_vm()
    vm.submit("j1", _items(1))
    other = {"Bulrushdeal-Credential": "k2"}
    assert vm.call("GET", "/lots/j1", headers=other).status == 404
    assert vm.call("DELETE", "/lots/j1", headers=other).status == 404


def test_a_malformed_job_is_refused_with_an_error(
    scene: gatewayscene.Scene,
) -> None:
    vm = scene.add_vm()
    for body in (b"{", b"[]", b'{"items":[]}', b'{"items":[{"id":1}]}'):
        answer = vm.call("POST", "/b/j9", body, attempt="j9")
        assert answer.status == 400
        assert answer.json()["error"]
    assert vm.results("j9").status == 404


def test_results_are_read_from_the_vm_that_runs_the_job(
    scene: gatewayscene.Scene,
) -> None:
    """Callers read a job's results through any VM.

    A VM must ask the one that runs the job, because each read of the store
    has a cost.
    """
    scene.add_engine(events=400).pause_s = 0.05
    first, second = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    first.submit("j1", _items(2))
    listing = second.kernel.find(names.JOB_LISTING, joblisting.JobListing)
    gatewayscene.until(lambda: "j1" in listing.snapshot()[0].holders())
    before = second.client.calls.count("get")
    answer = second.results("j1")
    assert (answer.status, answer.json()["total"]) == (200, 2)
    assert second.client.calls.count("get") == before


def test_a_job_is_accepted_by_one_call_to_the_store(
    scene: gatewayscene.Scene,
) -> None:
    """A VM is cut off from the store just before a job arrives.

    If it read before it wrote, both calls would run into their timeouts, and
    the job would be accepted through another VM too late.
    """
    scene.add_engine()
    vm = scene.add_vm()
    before = vm.client.calls.count("get")
    assert vm.submit("j1", _items(1)).status == 202
    assert vm.client.calls.count("get") == before
    _finished(vm, "j1")
    assert vm.submit("j1", _items(1)).status == 202


def test_a_job_that_comes_as_the_store_is_back_needs_no_lease(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store is unavailable for longer than a lease, so all leases end.

    Jobs that arrived before the VM had a new lease used to be refused because
    their claims named the old one.
    """
    scene.add_engine()
    vm = scene.add_vm()
    membership = vm.kernel.find("membership", members.Members)
    gatewayscene.until(membership.has_valid_lease)
    monkeypatch.setattr(membership, "has_valid_lease", lambda: False)
    lease = membership.lease()
    monkeypatch.setattr(membership, "lease", lambda: lease + 5000)
    assert vm.submit("j1", _items(2)).status == 202
    monkeypatch.undo()
    assert len(_finished(vm, "j1")) == 2


def test_a_vm_whose_lease_ran_out_does_not_answer_for_its_jobs(
    scene: gatewayscene.Scene,
) -> None:
    """A VM's lease and claims end, and it continues with a new lease.

    Another VM may take the job over and list results, so an answer from the
    first VM that there are none would be wrong.
    """
    scene.add_engine(events=400).pause_s = 0.05
    first, second = scene.add_vm("vm1", "d1"), scene.add_vm("vm2", "d2")
    assert first.submit("j1", _items(2)).status == 202
    directory = second.kernel.find(
        names.JOB_DIRECTORY, jobdirectory.JobDirectory
    )
    gatewayscene.until(lambda: directory.find("j1") == "vm1")
    second_peers = second.kernel.find("peers", peers.WebsocketPeers)
    read_job = jobmessages.ReadJob("j1", 0)
    assert second_peers.call("vm1", read_job, 1.0).unwrap().is_held
    membership = first.kernel.find("membership", members.Members)
    lease = membership.lease()
    scene.store.end_lease(lease)
    gatewayscene.until(
        lambda: membership.has_valid_lease() and membership.lease() != lease
    )
    assert not second_peers.call("vm1", read_job, 1.0).unwrap().is_held


def test_a_vm_stops_to_run_what_another_has_claimed(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against an item that two VMs run until the first is done."""
    engine = scene.add_engine(events=60)
    engine.pause_s = 0.2
    first, second = scene.add_vms(2)
    assert first.submit("j", [gatewayscene.item()]).status == 202
    gatewayscene.until(lambda: engine.runs)
    held = first.kernel.find("membership", members.Members)
    scene.store.end_lease(held.lease())
    # Of its own accord the other VM would leave the job to the first.
    claim = jobrecords.Keys("bulrushdeal/").claim("j")
    scene.store.write(claim, jobrecords.pack(jobrecords.Claim(second.name)))
    gatewayscene.until(lambda: len(engine.runs) > 1)
    gatewayscene.until(lambda: not math.isinf(engine.work[0].end_s), 4.0)
    found = second.kernel.find("runner", runner.Runner)
    assert "j" in found.dump()
