"""Tests VMs that stop, die or freeze with work in flight, as processes."""

import base64
import json
import pathlib

from standins import deployment as deployment_lib
from standins import fleet as fleet_lib
from support import processes

DOMAINS = ("north", "south", "east")
ITEMS = 600
TOKENS = 20


def test_planned_stop_cuts_no_request_and_loses_no_item(
    tmp_path: pathlib.Path,
) -> None:
    # A VM stops as planned during streams, requests over kept-alive connections
    # and a batch job. Guards against cut requests, which happen if the server
    # closes before its answers are sent, or if a request arrives over a
    # kept-alive connection during the stop.
    with processes.running(tmp_path, DOMAINS, engines=3) as system:
        stopped, other, _ = system.daemons
        job = system.submit(stopped, ITEMS, TOKENS)
        streams = [
            system.stream(stopped, f"glossary {index}", 150)
            for index in range(12)
        ]
        clients = [
            processes.KeepAliveClient(stopped.callers, system.key, f"c{index}")
            for index in range(4)
        ]
        for stream in streams:
            fleet_lib.poll(stream.has_begun, 30.0, "the stream has begun")
        for client in clients:
            fleet_lib.poll(
                client.has_outcome,
                30.0,
                "a kept-alive connection was used",
            )
            # Before the stop no client has a reason to use another VM.
            assert (client.problems, client.leave_reason) == ([], "")
        assert not any(stream.has_ended() for stream in streams)
        stopped.process.terminate()
        for stream in streams:
            stream.check()
        assert stopped.process.wait() == 0
        for client in clients:
            client.stop()
            assert client.problems == []
        system.wait_completed(other, job)
        system.check_results(other, job, ITEMS, TOKENS)


def test_job_survives_a_vm_killed_after_acknowledging_it(
    tmp_path: pathlib.Path,
) -> None:
    # A VM acknowledges a job and is lost with its disk at the same moment.
    # Guards against lost items, which happen if only that VM stored them.
    with processes.running(tmp_path, DOMAINS, engines=3) as system:
        lost, other, _ = system.daemons
        job = system.submit(lost, ITEMS, TOKENS)
        lost.process.kill()
        system.deployment.unlist_vm(lost.vm)
        system.wait_completed(other, job)
        system.check_results(other, job, ITEMS, TOKENS)


def test_frozen_vm_that_comes_back_doubles_no_result(
    tmp_path: pathlib.Path,
) -> None:
    # A VM freezes with items in flight, other VMs take over its chunks, and it
    # resumes. Guards against duplicate results, which happen if the frozen VM
    # writes results for a chunk that another VM has taken over. Each item has
    # one result, the same on every VM.
    with processes.running(tmp_path, DOMAINS, engines=3) as system:
        job = system.submit(system.daemons[1], ITEMS, TOKENS)
        # There are fewer chunks than VMs, and any VM may hold one.
        frozen = fleet_lib.poll(
            lambda: _find_chunk_holder(system), 30.0, "a VM runs items"
        )
        other = next(each for each in system.daemons if each is not frozen)
        frozen.process.pause()
        system.wait_completed(other, job)
        first = system.results(other, job)
        frozen.process.resume()
        fleet_lib.poll(
            lambda: system.job(frozen, job).get("status") == "completed",
            30.0,
            "the VM that was frozen shows the job as completed",
        )
        system.check_results(frozen, job, ITEMS, TOKENS)
        assert sorted(system.results(other, job)) == sorted(first)


def _find_chunk_holder(
    system: processes.System,
) -> deployment_lib.Daemon | None:
    held = system.deployment.must(
        "GET", system.deployment.platform, "/v1/kv?prefix=chunks/"
    )
    values = _joined_values(held.body)
    for daemon in system.daemons:
        if daemon.vm.encode() in values:
            return daemon
    return None


def _joined_values(body: bytes) -> bytes:
    entries = json.loads(body)["entries"]
    return b"".join(base64.b64decode(entry["value"]) for entry in entries)


def test_job_completes_if_a_failure_domain_has_no_engine(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against a job that never ends: an entry VM in a failure domain
    # without engines takes a part of the job, and its items wait for a slot
    # there forever. The outage test found this fault.
    with processes.running(tmp_path, DOMAINS, engines=2) as system:
        job = system.submit(system.daemons[0], ITEMS, TOKENS)
        system.wait_completed(system.daemons[0], job, 60.0)
        system.check_results(system.daemons[0], job, ITEMS, TOKENS)
