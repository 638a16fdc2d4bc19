"""Scenarios on a fleet of three VMs that run batch jobs."""

import pathlib
from typing import Any

from support import batchfakes

PROMPTS = {f"id{n}": f"word {n}" for n in range(5)}


def make(folder: pathlib.Path) -> batchfakes.Fleet:
    """Returns a fleet of three VMs in three failure domains."""
    made = batchfakes.Fleet()
    for number in range(3):
        name = f"vm{number}"
        made.add(name, f"d{number}", str(folder / name))
    return made


def start(
    fleet: batchfakes.Fleet,
    prompts: dict[str, str] = PROMPTS,
    customer: str = "c",
    window: str = "24h",
) -> str:
    """Uploads an input file, submits a job for it and returns its ID."""
    vm = fleet.vms["vm0"]
    file = vm.upload(customer, prompts).json["id"]
    job = vm.submit(customer, file, window=window).json["id"]
    assert isinstance(job, str)
    return job


def outcome(
    fleet: batchfakes.Fleet, job: str, customer: str = "c"
) -> tuple[str, dict[str, Any]]:
    """Returns a job's status and its result lines by custom ID."""
    vm = fleet.vms["vm1"]
    shown = vm.show(customer, job).json
    lines = vm.content(customer, shown["output_file_id"])
    lines += vm.content(customer, shown["error_file_id"])
    return shown["status"], batchfakes.read_lines(lines)


def hold(fleet: batchfakes.Fleet, name: str) -> batchfakes.FakeVm:
    """Makes a VM claim chunks, run three items and then fall silent."""
    for vm in fleet.vms.values():
        vm.coordinator.tick()
    vm = fleet.vms[name]
    vm.worker.ask()
    assert vm.run_items(3) == 3
    fleet.network.silent.add(name)
    return vm
