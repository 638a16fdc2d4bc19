"""Tests of single failures in batch work, each with its story."""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

import pytest
import result

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import chunkrun
from bulrushdeald import services
from support import batchfakes

PROMPTS = {f"id{n}": f"word {n}" for n in range(5)}


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[batchfakes.Fleet]:
    monkeypatch.setattr(batchrecords, "MAX_CHUNK_ITEMS", 2)
    made = batchfakes.Fleet()
    for number in range(3):
        name = f"vm{number}"
        made.add(name, f"d{number}", str(tmp_path / name))
    yield made


def start(
    fleet: batchfakes.Fleet,
    prompts: dict[str, str] = PROMPTS,
    customer: str = "c",
    window: str = "24h",
) -> str:
    vm = fleet.vms["vm0"]
    file = vm.upload(customer, prompts).json["id"]
    job = vm.submit(customer, file, window=window).json["id"]
    assert isinstance(job, str)
    return job


def outcome(
    fleet: batchfakes.Fleet, job: str, customer: str = "c"
) -> tuple[str, dict[str, Any]]:
    vm = fleet.vms["vm1"]
    shown = vm.show(customer, job).json
    lines = vm.content(customer, shown["output_file_id"])
    lines += vm.content(customer, shown["error_file_id"])
    return shown["status"], batchfakes.read_lines(lines)


def test_claim_after_a_cancellation_runs_nothing(
    fleet: batchfakes.Fleet,
) -> None:
    # A user cancels a job, sees it cancelled, and later finds it ran on: a
    # VM was paused between the offer of a chunk and its claim, and by then
    # the chunk's record was gone with the job's others, so the claim won.
    job = start(fleet)
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(3)
    assert fleet.vms["vm1"].show("c", job).json["status"] == "cancelled"
    late = batchmessages.Offer(job, 0, 1, 0)
    claimed = fleet.vms["vm2"].claim(late)
    assert isinstance(claimed, result.Err)
    assert not fleet.upstreams.prompts
    assert batchrecords.chunk_key(job, 0) not in fleet.keyvalue.entries


def test_late_result_of_an_older_holder_never_counts(
    fleet: batchfakes.Fleet,
) -> None:
    # A customer's answer changes between two reads, and is paid for twice:
    # a VM froze with all answers of a chunk in hand, another ran the chunk
    # again, and the first one came back and recorded its own result.
    job = start(fleet)
    frozen = fleet.vms["vm2"]
    fleet.vms["vm0"].coordinator.tick()
    fleet.vms["vm1"].coordinator.tick()
    frozen.coordinator.tick()
    frozen.worker.ask()
    frozen.run_items()
    assert frozen.worker.has_results()
    fleet.network.silent.add("vm2")
    fleet.run(40)
    before = outcome(fleet, job)
    assert before[0] == "completed"
    fleet.network.silent.clear()
    frozen.seal()
    fleet.run(3)
    assert outcome(fleet, job) == before
    counted = [event for event in fleet.events if event.outcome == "ok"]
    assert len(counted) == len(PROMPTS)


def test_job_does_not_end_while_a_record_says_it_runs(
    fleet: batchfakes.Fleet,
) -> None:
    # A cancelled job shows as ended and an answer is missing that a client
    # saw being made: the coordinator had not heard of a claim yet, and went
    # by its memory in place of the records.
    job = start(fleet)
    fleet.vms["vm1"].claim(batchmessages.Offer(job, 1, 1, 0)).unwrap()
    fleet.vms["vm0"].cancel("c", job)
    for vm in fleet.vms.values():
        vm.coordinator.tick()
    assert fleet.vms["vm0"].show("c", job).json["status"] == "cancelling"


def test_item_that_crashes_engines_gets_an_error_line(
    fleet: batchfakes.Fleet,
) -> None:
    # A batch never ends: one of its items crashes each engine that runs it
    # and is sent again for ever.
    def fault(prompt: str) -> Any:
        return batchfakes.crashed() if prompt == "word 3" else None

    fleet.upstreams.fault = fault
    job = start(fleet)
    fleet.run(15)
    status, lines = outcome(fleet, job)
    assert status == "completed"
    assert list(lines) == ["id0", "id1", "id2", "id4", "id3"]
    assert lines["id3"]["error"]["code"] == "upstream_failed"
    assert fleet.upstreams.prompts.count("word 3") == 3


def test_yielding_to_online_work_is_no_failed_try(
    fleet: batchfakes.Fleet,
) -> None:
    # A quiz comes back with failed items after a busy lesson: each time
    # that an item made room for online work counted as a failed try.
    cancelled = services.UpstreamError("cancelled", "ran", "yielded")
    yields = {"word 1": 10}

    def fault(prompt: str) -> Any:
        if not yields.get(prompt):
            return None
        yields[prompt] -= 1
        return result.Err(cancelled)

    fleet.upstreams.fault = fault
    job = start(fleet)
    fleet.run(15)
    status, lines = outcome(fleet, job)
    assert status == "completed"
    assert all(line["response"] for line in lines.values())


def test_results_wait_for_the_platform(fleet: batchfakes.Fleet) -> None:
    # A batch that ran through an outage of the platform runs once more
    # afterwards, or never ends: its results had nowhere to be recorded.
    job = start(fleet)
    for vm in fleet.vms.values():
        vm.coordinator.tick()
    for vm in fleet.vms.values():
        vm.worker.ask()
    fleet.keyvalue.has_outage = True
    refused = fleet.vms["vm0"].submit("c", "file-x")
    assert refused.status == 503
    assert refused.json["error"]["ran"] == "not_run"
    assert int(refused.headers["Retry-After"]) > 0
    fleet.run(60)
    assert len(fleet.upstreams.prompts) == len(PROMPTS)
    fleet.keyvalue.has_outage = False
    fleet.run(15)
    status, lines = outcome(fleet, job)
    assert status == "completed"
    assert set(lines) == set(PROMPTS)
    assert len(fleet.upstreams.prompts) == len(PROMPTS)


def test_graceful_stop_hands_answers_on(fleet: batchfakes.Fleet) -> None:
    # After each planned restart a part of the batch is run and paid again:
    # the answers in hand went with the process.
    job = start(fleet)
    fleet.run(0)
    for vm in fleet.vms.values():
        vm.coordinator.tick()
    leaving = fleet.vms["vm1"]
    leaving.worker.ask()
    assert leaving.run_items(1) == 1
    leaving.worker.stop(1.0)
    fleet.lose("vm1")
    fleet.add("vm3", "d1")
    fleet.run(15)
    shown = fleet.vms["vm0"].show("c", job).json
    assert shown["status"] == "completed"
    assert len(fleet.upstreams.prompts) == len(PROMPTS)


def test_store_lost_twice_keeps_the_objects(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    # A file that was acknowledged cannot be read a day later: its stores
    # were replaced one after the other, and nobody copied it in between.
    vm = fleet.vms["vm0"]
    file = vm.upload("c", PROMPTS).json["id"]
    for name, domain in (("vm1", "d1"), ("vm2", "d2")):
        fleet.lose(name)
        fleet.add(name + "x", domain, str(tmp_path / (name + "x")))
        fleet.repair()
    fleet.lose("vm0")
    fleet.add("vm0x", "d0", str(tmp_path / "vm0x"))
    held = fleet.vms["vm1x"].content("c", file)
    assert held == batchfakes.lines(PROMPTS)


def test_no_copy_is_taken_while_one_domain_has_stores(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    # A job that was acknowledged is gone with a failure domain: while the
    # others had no store, both copies were put into one.
    fleet.run(1)
    fleet.lose("vm1")
    fleet.lose("vm2")
    fleet.add("vm3", "d0", str(tmp_path / "vm3"))
    reply = fleet.vms["vm0"].upload("c", PROMPTS)
    # The list has shown vm1's and vm2's domains before.
    assert reply.status == 503
    assert reply.json["error"]["ran"] == "not_run"


def test_wrong_lines_are_named(fleet: batchfakes.Fleet) -> None:
    good = json.loads(batchfakes.lines({"a": "x"}))
    cases = (
        (b"{", "Line 2: not JSON"),
        (json.dumps(good).encode(), "Line 2: The custom_id stands twice"),
        (
            json.dumps({**good, "custom_id": "b", "method": "GET"}).encode(),
            "Line 2: method must be POST",
        ),
        (
            json.dumps({**good, "custom_id": "b", "url": "/x"}).encode(),
            "Line 2: url must be one of",
        ),
        (
            json.dumps({**good, "custom_id": "b", "body": {}}).encode(),
            "Line 2: A model is required",
        ),
    )
    for line, message in cases:
        body, kind = batchfakes.form(json.dumps(good).encode() + b"\n" + line)
        headers = {"content-type": kind}
        reply = fleet.vms["vm0"].request(
            "c", "POST", "/v1/files", body, headers
        )
        assert reply.status == 400
        assert reply.json["error"]["message"].startswith(message)


def test_shares_follow_the_weights(fleet: batchfakes.Fleet) -> None:
    # The worst-served customer waits for all of another's batch: chunks
    # were given out in the order in which the jobs came.
    fleet.weights.update({"big": 3.0, "small": 1.0})
    for customer in ("big", "small"):
        many = {f"i{n}": f"{customer} {n}" for n in range(64)}
        start(fleet, many, customer)
    fleet.run(0)
    vm = fleet.vms["vm0"]
    for other in fleet.vms.values():
        other.coordinator.tick()
    for _ in range(8):
        vm.worker.ask()
        vm.run_items()
        vm.seal()
    sent = [prompt.split()[0] for prompt in fleet.upstreams.prompts]
    share = sent.count("big") / len(sent)
    assert len(sent) < 128
    assert 0.65 <= share <= 0.85, sent


def test_another_customer_sees_nothing(fleet: batchfakes.Fleet) -> None:
    job = start(fleet)
    fleet.run(10)
    vm = fleet.vms["vm0"]
    output = vm.show("c", job).json["output_file_id"]
    assert vm.show("d", job).status == 404
    assert vm.cancel("d", job).status == 404
    path = f"/v1/files/{output}/content"
    assert vm.request("d", "GET", path).status == 404
    assert vm.request("d", "GET", "/v1/batches").json["data"] == []


def test_partial_keeps_each_line() -> None:
    partial = chunkrun.Partial((chunkrun.PartialLine(1, True, "{}"),))
    data = batchrecords.dump(partial)
    assert batchrecords.load(chunkrun.Partial, data) == partial
