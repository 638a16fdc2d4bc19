"""Tests the cancellation of batch jobs during failures."""

import pytest
import result

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import services
from support import batchfakes
from support import batchscene


def test_claim_after_a_cancellation_runs_nothing(
    fleet: batchfakes.Fleet,
) -> None:
    # A chunk must not run after its job was cancelled. A VM was paused
    # between the offer of the chunk and its claim. The chunk's record had
    # been deleted with the job's other records, so the claim succeeded.
    job = batchscene.start(fleet)
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(3)
    assert fleet.vms["vm1"].show("c", job).json["status"] == "cancelled"
    late = batchmessages.Offer(job, 0, 1, 0)
    claimed = fleet.vms["vm2"].claim(late)
    assert isinstance(claimed, result.Err)
    assert not fleet.upstreams.prompts
    assert batchrecords.chunk_key(job, 0) not in fleet.keyvalue.entries


@pytest.mark.parametrize("cancelled_late", [False, True])
def test_cancelled_job_ends_without_its_holder(
    fleet: batchfakes.Fleet, cancelled_late: bool
) -> None:
    # A job must not stay `cancelling` forever after the VM that ran a chunk
    # is lost. The chunk was free in memory, but its record still said
    # `running`.
    job = batchscene.start(fleet)
    batchscene.hold(fleet, "vm2")
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


def test_cancelled_job_ends_although_an_item_never_does(
    fleet: batchfakes.Fleet,
) -> None:
    # A job must not stay `cancelling` forever when its holder is alive and
    # still reports the chunk because an upstream never ends the stream of
    # one item.
    job = batchscene.start(fleet)
    holder = batchscene.hold(fleet, "vm2")
    fleet.network.silent.clear()
    stuck = holder.worker.pick()
    assert stuck is not None
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(40)
    before = batchscene.outcome(fleet, job)
    assert before[0] == "cancelled"
    holder.worker.run_item(stuck.run, stuck.number)
    holder.seal()
    fleet.run(3)
    assert batchscene.outcome(fleet, job) == before


def test_job_does_not_end_while_a_chunk_record_is_running(
    fleet: batchfakes.Fleet,
) -> None:
    # A cancelled job must not end before its holder has sealed the answers.
    # The coordinator relied on its view in memory and not on the chunk
    # records.
    job = batchscene.start(fleet)
    fleet.vms["vm1"].claim(batchmessages.Offer(job, 1, 1, 0)).unwrap()
    fleet.vms["vm0"].cancel("c", job)
    entry = fleet.keyvalue.entries[batchrecords.job_key(job)]
    record = batchrecords.load(batchrecords.JobRecord, entry.value)
    queued = batchrecords.QueueEntry(job, "c", ("m",), 0.0, 5, 3, 0.0)
    finisher = fleet.vms["vm0"].finisher()
    assert finisher.finish(queued, record, entry.revision) == "changed"


@pytest.mark.parametrize("is_late", [False, True])
def test_queue_entry_waits_for_its_job(
    fleet: batchfakes.Fleet, is_late: bool
) -> None:
    # An accepted job must run. Its queue entry is written first and was
    # deleted as an orphan before the job's record was written.
    job = batchscene.start(fleet)
    key = batchrecords.job_key(job)
    record = fleet.keyvalue.entries.pop(key)
    fleet.run(3)
    if is_late:
        fleet.clock.now_s += 600.0
        fleet.run(3)
        assert not [name for name in fleet.keyvalue.entries if job in name]
        return
    fleet.keyvalue.entries[key] = record
    fleet.run(20)
    assert batchscene.outcome(fleet, job)[0] == "completed"


def test_unpublished_cancellation_is_not_confirmed(
    fleet: batchfakes.Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A cancellation must not be confirmed while the job runs on. The
    # platform's service failed after the cancellation was recorded, and no
    # coordinator was notified.
    job = batchscene.start(fleet)
    put = fleet.keyvalue.put

    def put_then_fail(
        key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        written = put(key, value, expected_revision)
        fleet.keyvalue.has_outage = True
        return written

    monkeypatch.setattr(fleet.keyvalue, "put", put_then_fail)
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
    # The count of answered items must not fall to 0 (seen at 80,000) when
    # the job ends between the read of its record and of its chunk records.
    job = batchscene.start(fleet)
    list_entries = fleet.keyvalue.list

    def list_after_end(
        prefix: str,
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        monkeypatch.setattr(fleet.keyvalue, "list", list_entries)
        fleet.run(15)
        return list_entries(prefix)

    monkeypatch.setattr(fleet.keyvalue, "list", list_after_end)
    shown = fleet.vms["vm0"].show("c", job).json
    assert shown["status"] == "completed"
    assert shown["request_counts"]["completed"] == len(batchscene.PROMPTS)


def test_frozen_holder_of_a_cancelled_job_stops(
    fleet: batchfakes.Fleet,
) -> None:
    # A frozen holder must not continue a cancelled job. When the holder came
    # back, an hour later, no coordinator had the job any more.
    job = batchscene.start(fleet)
    frozen = batchscene.hold(fleet, "vm2")
    sent = len(fleet.upstreams.prompts)
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(60)
    assert fleet.vms["vm0"].show("c", job).json["status"] == "cancelled"
    fleet.network.silent.clear()
    frozen.worker.ask()
    assert frozen.run_items() == 0
    fleet.run(5)
    assert len(fleet.upstreams.prompts) == sent


def test_cancelling_keeps_the_answers_of_a_stopped_vm(
    fleet: batchfakes.Fleet,
) -> None:
    # Answers that were paid for must not be lost when a job is cancelled
    # after a planned restart. The stopped VM had left them for the next
    # holder of the chunk, but a cancelled chunk gets none.
    job = batchscene.start(fleet)
    stopped = batchscene.hold(fleet, "vm1")
    fleet.network.silent.clear()
    stopped.worker.stop(1.0)
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(40)
    status, lines = batchscene.outcome(fleet, job)
    assert status == "cancelled"
    assert len(lines) == 3
