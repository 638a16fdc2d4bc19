"""Tests of batch jobs under single failures."""

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
from support import batchscene
from support import batchupstreams


def test_late_result_of_an_earlier_holder_is_discarded(
    fleet: batchfakes.Fleet,
) -> None:
    # Guards against a result that changes between two reads and is charged
    # twice: a VM freezes before it seals a chunk, another VM runs the chunk
    # again, and the first VM resumes and records its own result.
    job = batchscene.start(fleet)
    frozen = fleet.vms["vm2"]
    fleet.vms["vm0"].coordinator.tick()
    fleet.vms["vm1"].coordinator.tick()
    frozen.coordinator.tick()
    frozen.worker.ask()
    frozen.run_items()
    assert frozen.worker.has_results()
    fleet.network.silent.add("vm2")
    fleet.run(40)
    before = batchscene.outcome(fleet, job)
    assert before[0] == "completed"
    fleet.network.silent.clear()
    frozen.seal()
    fleet.run(3)
    assert batchscene.outcome(fleet, job) == before
    assert fleet.counted("ok") == len(batchscene.PROMPTS)


def test_paused_holder_detects_the_claim_of_another_vm(
    fleet: batchfakes.Fleet,
) -> None:
    # Guards against items that run twice: a VM that was paused continues with
    # a chunk that another VM has claimed since.
    job = batchscene.start(fleet)
    old, new = fleet.vms["vm1"], fleet.vms["vm2"]
    first = old.claim(batchmessages.Offer(job, 1, 1, 0)).unwrap().holding
    assert old.worker._claims.verify(first) == "held"
    offer = batchmessages.Offer(job, 1, 2, first.revision)
    second = new.claim(offer).unwrap().holding
    assert old.worker._claims.verify(first) == "lost"
    assert new.worker._claims.verify(second) == "held"


def test_chunk_without_upstreams_goes_to_another_vm(
    fleet: batchfakes.Fleet,
) -> None:
    # Guards against a job that makes no progress while engines are idle: a VM
    # without upstreams for a chunk's model holds the chunk for ever.
    job = batchscene.start(fleet)
    fleet.router.slots = 0
    fleet.run(3)
    assert not [key for key in fleet.keyvalue.entries if "chunks/" in key]
    fleet.router.slots = 1000
    for vm in fleet.vms.values():
        vm.worker.ask()
        vm.run_items(1)
    busy = services.Refusal(503, "overloaded", "No slot.", retry_after_s=1.0)
    fleet.router.refuse = lambda work: busy
    fleet.router.slots = 0
    fleet.run(20)
    chunks = fleet.keyvalue.list(batchrecords.chunk_prefix(job)).unwrap()
    assert chunks
    for chunk in chunks:
        record = batchrecords.load(batchrecords.ChunkRecord, chunk.value)
        assert record.state == "open"
    fleet.router.refuse = lambda work: None
    fleet.router.slots = 1000
    fleet.run(20)
    status, lines = batchscene.outcome(fleet, job)
    assert status == "completed"
    assert set(lines) == set(batchscene.PROMPTS)
    assert len(fleet.upstreams.prompts) == len(batchscene.PROMPTS)


def test_item_that_crashes_engines_gets_an_error_line(
    fleet: batchfakes.Fleet,
) -> None:
    # Guards against a job that never ends: one of its items crashes each
    # engine that runs it and is retried without a limit.
    def fault(prompt: str) -> Any:
        return batchupstreams.crashed() if prompt == "word 3" else None

    fleet.upstreams.fault = fault
    job = batchscene.start(fleet)
    fleet.run(15)
    status, lines = batchscene.outcome(fleet, job)
    assert status == "completed"
    assert list(lines) == ["id0", "id1", "id2", "id4", "id3"]
    assert lines["id3"]["error"]["code"] == "upstream_failed"
    assert fleet.upstreams.prompts.count("word 3") == 3


def test_yielding_to_online_work_is_not_a_failed_try(
    fleet: batchfakes.Fleet,
) -> None:
    # Guards against items that fail under online load: each time that an item
    # yields to online work counts as a failed try.
    cancelled = services.UpstreamError("cancelled", "ran", "yielded")
    yields = {"word 1": 10}

    def fault(prompt: str) -> Any:
        if not yields.get(prompt):
            return None
        yields[prompt] -= 1
        return result.Err(cancelled)

    fleet.upstreams.fault = fault
    job = batchscene.start(fleet)
    fleet.run(15)
    status, lines = batchscene.outcome(fleet, job)
    assert status == "completed"
    assert all(line["response"] for line in lines.values())


def test_results_wait_for_the_platform(fleet: batchfakes.Fleet) -> None:
    # Guards against a job that runs again or never ends after an outage of
    # the platform, during which its results cannot be recorded.
    job = batchscene.start(fleet)
    for vm in fleet.vms.values():
        vm.coordinator.tick()
    for vm in fleet.vms.values():
        vm.worker.ask()
    fleet.keyvalue.has_outage = True
    refused = fleet.vms["vm0"].submit("c", "file-" + "0" * 36)
    assert refused.status == 503
    assert refused.json["error"]["ran"] == "not_run"
    assert int(refused.headers["Retry-After"]) > 0
    fleet.run(60)
    assert len(fleet.upstreams.prompts) == len(batchscene.PROMPTS)
    fleet.keyvalue.has_outage = False
    fleet.run(15)
    status, lines = batchscene.outcome(fleet, job)
    assert status == "completed"
    assert set(lines) == set(batchscene.PROMPTS)
    assert len(fleet.upstreams.prompts) == len(batchscene.PROMPTS)


def test_graceful_stop_keeps_answers(fleet: batchfakes.Fleet) -> None:
    # Guards against items that run and are charged again after a planned
    # restart: the process stops without storing the answers of its chunks.
    job = batchscene.start(fleet)
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
    assert len(fleet.upstreams.prompts) == len(batchscene.PROMPTS)
    assert fleet.counted("ok") == len(batchscene.PROMPTS)


def test_result_whose_answer_was_lost_stays_readable(
    fleet: batchfakes.Fleet,
) -> None:
    # Guards against a completed job whose output is truncated: the answer to
    # a seal is lost, the job ends, and on its retry the VM finds no record of
    # the chunk and deletes the result as an orphan.
    job = batchscene.start(fleet)
    slow = batchscene.hold(fleet, "vm1")
    fleet.network.silent.clear()
    slow.run_items()
    fleet.keyvalue.lose_answers = 1
    assert not slow.worker.seal_one()
    fleet.network.silent.add("vm1")
    fleet.run(40)
    before = batchscene.outcome(fleet, job)
    assert before[0] == "completed"
    fleet.network.silent.clear()
    slow.seal()
    fleet.run(3)
    assert batchscene.outcome(fleet, job) == before
    assert fleet.counted("ok") == len(batchscene.PROMPTS)


def test_expired_records_and_objects_are_deleted(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    job = batchscene.start(fleet)
    fleet.run(15)
    assert batchscene.outcome(fleet, job)[0] == "completed"
    fleet.clock.now_s += 8 * 86400.0
    fleet.run(1)
    fleet.repair()
    assert fleet.vms["vm0"].show("c", job).status == 404
    assert not fleet.keyvalue.entries
    assert not [p for p in tmp_path.rglob("objects/**/*") if p.is_file()]


def test_store_lost_twice_keeps_the_objects(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    # Guards against the loss of an acknowledged file: its stores are replaced
    # one after the other and no store copies it in between.
    vm = fleet.vms["vm0"]
    file = vm.upload("c", batchscene.PROMPTS).json["id"]
    for name, domain in (("vm1", "d1"), ("vm2", "d2")):
        fleet.lose(name)
        fleet.add(name + "x", domain, str(tmp_path / (name + "x")))
        fleet.repair()
    fleet.lose("vm0")
    fleet.add("vm0x", "d0", str(tmp_path / "vm0x"))
    held = fleet.vms["vm1x"].content("c", file)
    assert held == batchfakes.lines(batchscene.PROMPTS)


def test_upload_is_refused_while_one_domain_has_stores(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    # Guards against the loss of an acknowledged job with one failure domain:
    # while the other domains have no store, both copies are put into it.
    fleet.run(1)
    fleet.lose("vm1")
    fleet.lose("vm2")
    fleet.add("vm3", "d0", str(tmp_path / "vm3"))
    reply = fleet.vms["vm0"].upload("c", batchscene.PROMPTS)
    # The VM has seen the domains of vm1 and vm2, so it requires a second one.
    assert reply.status == 503
    assert reply.json["error"]["ran"] == "not_run"


def test_invalid_input_lines_are_reported(fleet: batchfakes.Fleet) -> None:
    good = json.loads(batchfakes.lines({"a": "x"}))
    cases = (
        (b"{", "Line 2: not JSON"),
        (json.dumps(good).encode(), "Line 2: The custom_id is used twice"),
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
    # Guards against a customer that waits for another's whole job: chunks are
    # offered in the order of submission instead of by weight.
    fleet.weights.update({"big": 3.0, "small": 1.0})
    for customer in ("big", "small"):
        many = {f"i{n}": f"{customer} {n}" for n in range(64)}
        batchscene.start(fleet, many, customer)
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


def test_results_are_read_after_reconnecting(
    fleet: batchfakes.Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a failed read after a pause of a VM: its connections are
    # closed, and it reports that no store answers before it has reconnected.
    job = batchscene.start(fleet)
    fleet.run(10)
    whole = batchscene.outcome(fleet, job)
    fleet.network.silent.update(fleet.vms)
    began_s = fleet.clock.now_s

    def reconnect(duration_s: float) -> None:
        fleet.clock.now_s += duration_s
        if fleet.clock.now_s - began_s >= 0.2:
            fleet.network.silent.clear()

    monkeypatch.setattr(fleet.clock, "sleep_s", reconnect)
    assert batchscene.outcome(fleet, job) == whole


def test_results_without_a_store_are_refused_in_time(
    fleet: batchfakes.Fleet,
) -> None:
    # Guards against a reader that waits for ever while no store answers.
    job = batchscene.start(fleet)
    fleet.run(10)
    vm = fleet.vms["vm1"]
    output = vm.show("c", job).json["output_file_id"]
    fleet.network.silent.update(fleet.vms)
    began_s = fleet.clock.now_s
    reply = vm.request("c", "GET", f"/v1/files/{output}/content")
    assert (reply.status, reply.json["error"]["ran"]) == (503, "not_run")
    assert fleet.clock.now_s - began_s < 1.5


def test_jobs_and_files_are_hidden_from_other_customers(
    fleet: batchfakes.Fleet,
) -> None:
    job = batchscene.start(fleet)
    fleet.run(10)
    vm = fleet.vms["vm0"]
    output = vm.show("c", job).json["output_file_id"]
    assert vm.show("d", job).status == 404
    assert vm.show("c", "../config/upstreams").status == 404
    assert vm.cancel("d", job).status == 404
    path = f"/v1/files/{output}/content"
    assert vm.request("d", "GET", path).status == 404
    assert vm.request("d", "GET", "/v1/batches").json["data"] == []


def test_partial_survives_encoding() -> None:
    partial = chunkrun.Partial((chunkrun.PartialLine(1, True, "{}"),))
    data = batchrecords.dump(partial)
    assert batchrecords.load(chunkrun.Partial, data) == partial
