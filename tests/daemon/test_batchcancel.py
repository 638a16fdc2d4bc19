"""Tests of batch jobs that are cancelled while something fails."""

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
    # A user cancels a job, sees it cancelled, and later finds it ran on: a
    # VM was paused between the offer of a chunk and its claim, and by then
    # the chunk's record was gone with the job's others, so the claim won.
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
    # A job stays cancelling for ever: the VM that ran a chunk was lost, and
    # the chunk taken back from it in memory kept its record as running.
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


def test_cancelled_job_ends_though_an_item_does_not(
    fleet: batchfakes.Fleet,
) -> None:
    # A job stays cancelling for ever: its holder lives and says that it has
    # the chunk, but an upstream never lets go of one item's stream.
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


def test_job_does_not_end_while_a_record_runs(
    fleet: batchfakes.Fleet,
) -> None:
    # A cancelled job ends without answers that its holder is about to
    # seal: the coordinator went by its memory in place of the records.
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
    # An accepted job never runs: its queue entry, which is written first,
    # was taken for a leftover before the job's record was there.
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


def test_cancellation_that_is_not_known_is_not_confirmed(
    fleet: batchfakes.Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A user cancels a job, is told so, and it runs for hours: the platform
    # went away after the decision, and no coordinator heard of it.
    job = batchscene.start(fleet)
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
    job = batchscene.start(fleet)
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
    assert shown["request_counts"]["completed"] == len(batchscene.PROMPTS)


def test_frozen_holder_of_a_cancelled_job_stops(
    fleet: batchfakes.Fleet,
) -> None:
    # A user sees a job cancelled, and an hour later it runs on: its holder
    # was frozen, and when it came back no coordinator knew the job.
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


def test_cancelling_keeps_what_a_leaving_vm_answered(
    fleet: batchfakes.Fleet,
) -> None:
    # A user cancels a job after a planned restart, and answers that were
    # paid for are gone: they waited for a next holder that never came.
    job = batchscene.start(fleet)
    leaving = batchscene.hold(fleet, "vm1")
    fleet.network.silent.clear()
    leaving.worker.stop(1.0)
    fleet.vms["vm0"].cancel("c", job)
    fleet.run(40)
    status, lines = batchscene.outcome(fleet, job)
    assert status == "cancelled"
    assert len(lines) == 3
