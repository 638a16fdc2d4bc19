"""Tests network partitions between failure domains, with real processes."""

import json
import pathlib

from standins import fleet as fleet_lib
from support import processes

IN_FORCE_S = 12.0
ITEMS = 600
TOKENS = 20


def test_partitioned_domain_serves_and_converges(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against changes on one side of a partition that undo, duplicate or
    # outlive those of the other side. South loses the platform and north during
    # a batch job, and callers on both sides are served. An operator withdraws a
    # key at north; after the partition south refuses the key within seconds,
    # and every item has exactly one result.
    with processes.running(tmp_path, has_links=True) as system:
        deployment = system.deployment
        north, south = system.daemons
        made = deployment.check(
            deployment.operate("key", "create", "kisumu", "--json")
        )
        stolen = json.loads(made.output)
        deployment.wait_in_force()
        thief = processes.System(deployment, stolen["key"])
        job = system.submit(north, ITEMS, TOKENS)
        fleet_lib.poll(
            lambda: _count_engine_runs(system) > 0, 30.0, "items run"
        )
        for daemon in system.daemons:
            deployment.links[daemon.vm].peers.cut()
        deployment.links[south.vm].platform.cut()
        statuses = [
            system.complete(daemon, f"word {index}").status
            for index in range(20)
            for daemon in system.daemons
        ]
        assert statuses == [200] * 40
        withdraw = ("key", "withdraw", stolen["key_hash"][:16])
        deployment.check(deployment.operate(*withdraw))
        assert thief.complete(north, "again").status == 401
        shown = deployment.check(
            deployment.operate("config", "status", "--json")
        )
        assert not json.loads(shown.output)["is_in_force_everywhere"]
        assert system.complete(south, "still served").status == 200
        for links in deployment.links.values():
            links.heal()
        fleet_lib.poll(
            lambda: thief.complete(south, "again").status == 401,
            IN_FORCE_S,
            "south refuses the key",
        )
        deployment.wait_in_force()
        system.wait_completed(south, job)
        for daemon in system.daemons:
            system.check_results(daemon, job, ITEMS, TOKENS)


def _count_engine_runs(system: processes.System) -> int:
    runs = 0
    for process in system.deployment.fleet.processes:
        if process.name.startswith("engine"):
            stats = system.deployment.must(
                "GET", process.address(), "/v1/stats"
            )
            runs += sum(stats.value()["runs"].values())
    return runs
