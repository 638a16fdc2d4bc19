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
    assert fleet.counted("ok") == len(PROMPTS)


def hold(fleet: batchfakes.Fleet, name: str) -> batchfakes.FakeVm:
    """Lets one VM claim chunks and run some items, and stand still then."""
    for vm in fleet.vms.values():
        vm.coordinator.tick()
    vm = fleet.vms[name]
    vm.worker.ask()
    assert vm.run_items(3) == 3
    fleet.network.silent.add(name)
    return vm


@pytest.mark.parametrize("cancelled_late", [False, True])
def test_cancelled_job_ends_without_its_holder(
    fleet: batchfakes.Fleet, cancelled_late: bool
) -> None:
    # A job stays cancelling for ever: the VM that ran a chunk was lost, and
    # the chunk taken back from it in memory kept its record as running.
    job = start(fleet)
    hold(fleet, "vm2")
    if cancelled_late:
        for _ in range(40):
            for vm in fleet.awake():
                vm.coordinator.tick()
            fleet.clock.now_s += 1.0
    assert fleet.vms["vm0"].cancel("c", job).status == 200
    fleet.lose("vm2")
    fleet.network.silent.clear()
    fleet.run(40)
    assert fleet.vms["vm0"].show("c", job).json["status"] == "cancelled"
    left = sorted(key for key in fleet.keyvalue.entries if job in key)
    assert [key.split("/")[0] for key in left] == ["expiry", "jobs"]


def test_cancelled_job_ends_though_an_item_does_not(
    fleet: batchfakes.Fleet,
) -> None:
    # A job stays cancelling for ever: its holder lives and says that it has
    # the chunk, but an upstream never lets go of one item's stream.
    job = start(fleet)
    holder = hold(fleet, "vm2")
    fleet.network.silent.clear()
    stuck = holder.worker.pick()
    assert stuck is not None
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(40)
    before = outcome(fleet, job)
    assert before[0] == "cancelled"
    holder.worker.run_item(stuck.run, stuck.number)
    holder.seal()
    fleet.run(3)
    assert outcome(fleet, job) == before


def test_job_does_not_end_while_a_record_runs(
    fleet: batchfakes.Fleet,
) -> None:
    # A cancelled job ends without answers that its holder is about to
    # seal: the coordinator went by its memory in place of the records.
    job = start(fleet)
    fleet.vms["vm1"].claim(batchmessages.Offer(job, 1, 1, 0)).unwrap()
    fleet.vms["vm0"].cancel("c", job)
    entry = fleet.keyvalue.entries[batchrecords.job_key(job)]
    record = batchrecords.load(batchrecords.JobRecord, entry.value)
    queued = batchrecords.QueueEntry(job, "c", ("m",), 0.0, 5, 3, 0.0)
    finisher = fleet.vms["vm0"].finisher()
    assert finisher.finish(queued, record, entry.revision) == "changed"


def test_cancellation_that_is_not_known_is_not_confirmed(
    fleet: batchfakes.Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A user cancels a job, is told so, and it runs for hours: the platform
    # went away after the decision, and no coordinator heard of it.
    job = start(fleet)
    put = fleet.keyvalue.put

    def put_once(
        key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        written = put(key, value, expected_revision)
        fleet.keyvalue.has_outage = True
        return written

    monkeypatch.setattr(fleet.keyvalue, "put", put_once)
    reply = fleet.vms["vm0"].cancel("c", job)
    assert reply.status == 503
    assert reply.json["error"]["ran"] == "unknown"
    monkeypatch.setattr(fleet.keyvalue, "put", put)
    fleet.keyvalue.has_outage = False
    assert fleet.vms["vm1"].cancel("c", job).status == 200
    fleet.run(20)
    assert fleet.vms["vm0"].show("c", job).json["status"] == "cancelled"


def test_counts_do_not_fall_when_a_job_ends(
    fleet: batchfakes.Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A job shows 80,000 answered items, then none, then all: it ended
    # between the read of the job and the read of its chunks.
    job = start(fleet)
    list_once = fleet.keyvalue.list

    def list_late(
        prefix: str,
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        monkeypatch.setattr(fleet.keyvalue, "list", list_once)
        fleet.run(15)
        return list_once(prefix)

    monkeypatch.setattr(fleet.keyvalue, "list", list_late)
    shown = fleet.vms["vm0"].show("c", job).json
    assert shown["status"] == "completed"
    assert shown["request_counts"]["completed"] == len(PROMPTS)


def test_chunk_without_upstreams_goes_to_another_vm(
    fleet: batchfakes.Fleet,
) -> None:
    # A batch stands still while engines are idle: chunks lie at VMs that
    # own no upstream of their model, where items wait for slots for ever.
    job = start(fleet)
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
    status, lines = outcome(fleet, job)
    assert status == "completed"
    assert set(lines) == set(PROMPTS)
    assert len(fleet.upstreams.prompts) == len(PROMPTS)


def test_frozen_holder_of_a_cancelled_job_stops(
    fleet: batchfakes.Fleet,
) -> None:
    # A user sees a job cancelled, and an hour later it runs on: its holder
    # was frozen, and when it came back no coordinator knew the job.
    job = start(fleet)
    frozen = hold(fleet, "vm2")
    sent = len(fleet.upstreams.prompts)
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(60)
    assert fleet.vms["vm0"].show("c", job).json["status"] == "cancelled"
    fleet.network.silent.clear()
    frozen.worker.ask()
    assert frozen.run_items() == 0
    fleet.run(5)
    assert len(fleet.upstreams.prompts) == sent


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
    refused = fleet.vms["vm0"].submit("c", "file-" + "0" * 36)
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
    assert fleet.counted("ok") == len(PROMPTS)


def test_result_whose_answer_was_lost_stays_readable(
    fleet: batchfakes.Fleet,
) -> None:
    # A completed job's file breaks off in the middle: the answer to a seal
    # was lost, the job ended meanwhile, and the VM that sealed once more
    # found no record of the chunk and deleted what it took for a leftover.
    job = start(fleet)
    slow = hold(fleet, "vm1")
    fleet.network.silent.clear()
    slow.run_items()
    fleet.keyvalue.lose_answers = 1
    assert not slow.worker.seal_one()
    fleet.network.silent.add("vm1")
    fleet.run(40)
    before = outcome(fleet, job)
    assert before[0] == "completed"
    fleet.network.silent.clear()
    slow.seal()
    fleet.run(3)
    assert outcome(fleet, job) == before
    assert fleet.counted("ok") == len(PROMPTS)


def test_cancelling_keeps_what_a_leaving_vm_answered(
    fleet: batchfakes.Fleet,
) -> None:
    # A user cancels a job after a planned restart, and answers that were
    # paid for are gone: they waited for a next holder that never came.
    job = start(fleet)
    leaving = hold(fleet, "vm1")
    fleet.network.silent.clear()
    leaving.worker.stop(1.0)
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(40)
    status, lines = outcome(fleet, job)
    assert status == "cancelled"
    assert len(lines) == 3


def test_old_records_and_objects_go(
    fleet: batchfakes.Fleet, tmp_path: pathlib.Path
) -> None:
    job = start(fleet)
    fleet.run(15)
    assert outcome(fleet, job)[0] == "completed"
    fleet.clock.now_s += 8 * 86400.0
    fleet.run(1)
    fleet.repair()
    assert fleet.vms["vm0"].show("c", job).status == 404
    assert not fleet.keyvalue.entries
    assert not [p for p in tmp_path.rglob("objects/**/*") if p.is_file()]


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
    assert vm.show("c", "../config/upstreams").status == 404
    assert vm.cancel("d", job).status == 404
    path = f"/v1/files/{output}/content"
    assert vm.request("d", "GET", path).status == 404
    assert vm.request("d", "GET", "/v1/batches").json["data"] == []


def test_partial_keeps_each_line() -> None:
    partial = chunkrun.Partial((chunkrun.PartialLine(1, True, "{}"),))
    data = batchrecords.dump(partial)
    assert batchrecords.load(chunkrun.Partial, data) == partial
