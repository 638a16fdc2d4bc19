"""VMs that stop, die or freeze with work in flight, as real processes."""

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
    # A VM is replaced as planned while teachers read streams, clients send
    # over kept connections, and a quiz batch runs. None of them may notice.
    # Cause of a cut: the server closes before its answers are out, or a
    # kept connection brings a request into the stop.
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
                client.has_shown,
                30.0,
                "a kept connection was used",
            )
            # Before the stop nothing sends a client away.
            assert (client.problems, client.departure) == ([], "")
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


def test_vm_killed_just_after_acknowledging_a_job(
    tmp_path: pathlib.Path,
) -> None:
    # A teacher's upload is acknowledged, and in the same moment the VM is
    # lost with its disk. Each quiz must be there before the lesson, once.
    # Cause of a loss: the items stood only on the VM that acknowledged.
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
    # A VM freezes with items in flight, others take its chunks over, and
    # then it goes on as if nothing had happened. Each item still has one
    # result, the same wherever it is read. Cause of a double: a holder that
    # was paused past its time writes its results beside its successor's.
    with processes.running(tmp_path, DOMAINS, engines=3) as system:
        job = system.submit(system.daemons[1], ITEMS, TOKENS)
        # There are fewer chunks than VMs, and any VM may have got one.
        frozen = fleet_lib.poll(
            lambda: _running_items(system), 30.0, "a VM runs items"
        )
        other = next(each for each in system.daemons if each is not frozen)
        frozen.process.pause()
        system.wait_completed(other, job)
        first = system.results(other, job)
        frozen.process.resume()
        fleet_lib.poll(
            lambda: system.job(frozen, job).get("status") == "completed",
            30.0,
            "the VM that was frozen sees the end",
        )
        system.check_results(frozen, job, ITEMS, TOKENS)
        assert sorted(system.results(other, job)) == sorted(first)


def _running_items(
    system: processes.System,
) -> deployment_lib.Daemon | None:
    held = system.deployment.must(
        "GET", system.deployment.platform, "/v1/kv?prefix=chunks/"
    )
    values = _values(held.body)
    for daemon in system.daemons:
        if daemon.vm.encode() in values:
            return daemon
    return None


def _values(body: bytes) -> bytes:
    entries = json.loads(body)["entries"]
    return b"".join(base64.b64decode(entry["value"]) for entry in entries)


def test_job_completes_though_a_failure_domain_has_no_engine(
    tmp_path: pathlib.Path,
) -> None:
    # Three entry VMs, engines in two of the failure domains. The VM of the
    # third takes a part of a quiz batch, and the job never ends: its items
    # wait for a slot on that VM for ever. Found by the test of an outage.
    with processes.running(tmp_path, DOMAINS, engines=2) as system:
        job = system.submit(system.daemons[0], ITEMS, TOKENS)
        system.wait_completed(system.daemons[0], job, 60.0)
        system.check_results(system.daemons[0], job, ITEMS, TOKENS)
