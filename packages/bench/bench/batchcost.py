"""Measures the processor time, platform calls and disk space of batch work.

Run as `PYTHONPATH=tests python -m bench.batchcost`. The batch services are
those of the daemon. The platform, the peers and the engine are fakes from the
tests that answer at once, so the figures show only the overhead of this
system. Peer messages pass through the codec but not through a socket.
"""

import pathlib
import tempfile
import time
from typing import NamedTuple

from support import batchfakes

_SIZES_BYTES = (200, 2_000, 16_000)
_ITEMS = 2_000
_JOB_CHUNKS = (4, 16, 64)
_CHUNK_ITEMS = 500
_MS = 1000.0
_THREADED_ITEMS = 10_000
_POLL_S = 0.02


class ItemCost(NamedTuple):
    """Processor time and disk space per item of one job.

    Attributes:
        size_bytes: Length of each prompt.
        upload_ms: Processor time to check, split and store an item in two
            copies.
        claim_ms: Processor time to claim and read a chunk, per item.
        run_ms: Processor time to run an item on an engine that answers at
            once.
        seal_ms: Processor time to seal a result and store two copies.
        store_bytes: Bytes on all disks together, per item.
    """

    size_bytes: int
    upload_ms: float
    claim_ms: float
    run_ms: float
    seal_ms: float
    store_bytes: float


class ThreadedRun(NamedTuple):
    """A job run by the worker's threads on an engine that answers at once.

    Attributes:
        threads: Number of worker threads.
        items_per_s: Items per second from the start to the end of the job.
        cpu_ms: Processor time per item, claiming and sealing included.
    """

    threads: int
    items_per_s: float
    cpu_ms: float


class PlatformCalls(NamedTuple):
    """Platform calls of one job from its submission to its end."""

    chunks: int
    reads: int
    writes: int


def main() -> None:
    """Measures and prints all figures."""
    print("| prompt bytes | upload | claim | run | seal | store bytes |")
    print("|---|---|---|---|---|---|")
    for size_bytes in _SIZES_BYTES:
        cost = measure_cost(size_bytes)
        print(
            f"| {cost.size_bytes} | {cost.upload_ms:.3f} |"
            f" {cost.claim_ms:.3f} | {cost.run_ms:.3f} |"
            f" {cost.seal_ms:.3f} | {cost.store_bytes:.0f} |"
        )
    threads = measure_threads()
    print(
        f"{threads.threads} threads, 2,000 bytes: {threads.items_per_s:.0f}"
        f" items/s, {threads.cpu_ms:.3f} ms of processor time an item"
    )
    counted = [measure_calls(chunks) for chunks in _JOB_CHUNKS]
    for calls in counted:
        print(
            f"{calls.chunks} chunks: {calls.reads} reads, {calls.writes} writes"
        )
    first, last = counted[0], counted[-1]
    more = last.chunks - first.chunks
    print(
        f"each further chunk: {(last.reads - first.reads) / more:.2f} reads,"
        f" {(last.writes - first.writes) / more:.2f} writes"
    )


def measure_cost(size_bytes: int) -> ItemCost:
    """Runs one job on one VM and measures each step on its own."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = _fleet(pathlib.Path(folder))
        vm = fleet.vms["vm0"]
        prompts = _prompts(_ITEMS, size_bytes)
        body, kind = batchfakes.form(batchfakes.lines(prompts))
        headers = {"content-type": kind}
        begin_s = time.process_time()
        reply = vm.request("c", "POST", "/v1/files", body, headers)
        upload_s = time.process_time() - begin_s
        vm.submit("c", reply.json["id"])
        for other in fleet.vms.values():
            other.coordinator.tick()
        claim_s = run_s = seal_s = 0.0
        done = 0
        while done < _ITEMS:
            begin_s = time.process_time()
            vm.worker.ask()
            claim_s += time.process_time() - begin_s
            begin_s = time.process_time()
            done += vm.run_items()
            run_s += time.process_time() - begin_s
            begin_s = time.process_time()
            vm.seal()
            seal_s += time.process_time() - begin_s
            for other in fleet.vms.values():
                other.coordinator.tick()
        files = pathlib.Path(folder).rglob("objects/*/*/*")
        store_bytes = sum(file.stat().st_size for file in files)
    per_item = _MS / _ITEMS
    return ItemCost(
        size_bytes,
        upload_s * per_item,
        claim_s * per_item,
        run_s * per_item,
        seal_s * per_item,
        store_bytes / _ITEMS,
    )


def measure_threads() -> ThreadedRun:
    """Runs a job on the worker's threads, as in a daemon."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = _fleet(pathlib.Path(folder))
        vm = fleet.vms["vm0"]
        prompts = _prompts(_THREADED_ITEMS, 2_000)
        file = vm.upload("c", prompts).json["id"]
        job = vm.submit("c", file).json["id"]
        for other in fleet.vms.values():
            other.coordinator.tick()
        cpu_s, begin_s = time.process_time(), time.monotonic()
        vm.worker.start()
        while not _has_ended(fleet, job):
            for other in fleet.vms.values():
                other.coordinator.tick()
            vm.worker.wake()
            time.sleep(_POLL_S)
            fleet.clock.now_s += _POLL_S
        wall_s = time.monotonic() - begin_s
        cpu_s = time.process_time() - cpu_s
        vm.worker.stop(1.0)
    return ThreadedRun(
        vm.settings.batch_threads,
        _THREADED_ITEMS / wall_s,
        cpu_s * _MS / _THREADED_ITEMS,
    )


def measure_calls(chunks: int) -> PlatformCalls:
    """Counts the platform calls of a job from submission to its end."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = _fleet(pathlib.Path(folder))
        vm = fleet.vms["vm0"]
        prompts = _prompts(chunks * _CHUNK_ITEMS, 20)
        file = vm.upload("c", prompts).json["id"]
        idle_reads = _idle_reads_per_round(fleet)
        before = fleet.keyvalue.reads, fleet.keyvalue.writes
        job = vm.submit("c", file).json["id"]
        rounds = 0
        while not _has_ended(fleet, job):
            fleet.round()
            rounds += 1
        reads = fleet.keyvalue.reads - before[0] - round(idle_reads * rounds)
        return PlatformCalls(chunks, reads, fleet.keyvalue.writes - before[1])


def _idle_reads_per_round(fleet: batchfakes.Fleet) -> float:
    # The queue is scanned periodically even without a job, so these reads
    # are subtracted from those of a job.
    rounds = 40
    before = fleet.keyvalue.reads
    fleet.run(rounds)
    return (fleet.keyvalue.reads - before) / rounds


def _has_ended(fleet: batchfakes.Fleet, job: str) -> bool:
    return not any(
        key.startswith("queue/") and key.endswith(job)
        for key in fleet.keyvalue.entries
    )


def _fleet(folder: pathlib.Path) -> batchfakes.Fleet:
    fleet = batchfakes.Fleet()
    for number in range(3):
        name = f"vm{number}"
        fleet.add(name, f"d{number}", str(folder / name))
    # The fake records each prompt for the tests. The record would grow with
    # the number of items, so it is switched off here.
    fleet.upstreams.prompts = _DiscardingList()
    return fleet


class _DiscardingList(list[str]):
    """A list that ignores appended items."""

    def append(self, item: str) -> None:
        """Ignores the item."""


def _prompts(count: int, size_bytes: int) -> dict[str, str]:
    return {f"id{n}": f"{n} ".ljust(size_bytes, "x") for n in range(count)}


if __name__ == "__main__":
    main()
