"""Tests of batch jobs from upload to result, with fake services."""

import pathlib

from support import batchfakes
from support import batchupstreams


def fleet_of_three(folder: pathlib.Path) -> batchfakes.Fleet:
    fleet = batchfakes.Fleet()
    for number in range(3):
        name = f"vm{number}"
        fleet.add(name, f"d{number}", str(folder / name))
    return fleet


def test_each_item_gets_its_own_answer(tmp_path: pathlib.Path) -> None:
    fleet = fleet_of_three(tmp_path)
    prompts = {f"id{number}": f"word {number}" for number in range(1200)}
    file = fleet.vms["vm0"].upload("c", prompts).json["id"]
    submitted = fleet.vms["vm1"].submit("c", file)
    assert submitted.status == 200, submitted.json
    job = submitted.json["id"]
    assert submitted.json["status"] == "in_progress"
    fleet.run()
    shown = fleet.vms["vm2"].request("c", "GET", f"/v1/batches/{job}").json
    assert shown["status"] == "completed"
    assert shown["request_counts"] == {
        "total": 1200,
        "completed": 1200,
        "failed": 0,
    }
    content = fleet.vms["vm0"].content("c", shown["output_file_id"])
    found = batchfakes.read_lines(content)
    assert list(found) == list(prompts)
    for custom_id, prompt in prompts.items():
        body = found[custom_id]["response"]["body"]
        assert body == batchupstreams.answer(prompt, 1)
    assert len(fleet.upstreams.prompts) == 1200
    assert len(fleet.events) == 1200
    assert not [key for key in fleet.keyvalue.entries if "chunks/" in key]
