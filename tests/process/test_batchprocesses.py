"""Tests a batch job on real daemons through a kill, a freeze and an outage."""

import json
import pathlib
from typing import Any

import openai

from standins import deployment as deployment_lib
from standins import fleet as fleet_lib
from support import batchfakes

ITEMS = 1500
WAIT_S = 60.0


def connect(daemon: deployment_lib.Daemon, key: str) -> openai.OpenAI:
    address = f"http://{daemon.callers}/v1"
    return openai.OpenAI(api_key=key, base_url=address, max_retries=0)


def test_job_survives_a_killed_and_a_frozen_vm_and_an_outage(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against missing or duplicate results. The VM that accepted the job
    # is lost with its disk just after the acknowledgement, another VM freezes
    # with items in flight and resumes, and the platform has an outage.
    with fleet_lib.Fleet(tmp_path) as fleet:
        deployment = deployment_lib.Deployment(fleet)
        deployment.start_platform()
        for number in range(4):
            deployment.start_daemon(f"vm{number}", f"d{number % 3}")
        for daemon in deployment.daemons:
            deployment.wait_started(daemon)
        deployment.add_engine("engine-a", "d0", slots=24)
        deployment.add_engine("engine-b", "d1", slots=24)
        key = deployment.create_customer("c")
        for daemon in deployment.daemons:
            deployment.wait_ready(daemon)
        lost, frozen, third = deployment.daemons[:3]
        job = submit(connect(lost, key))
        lost.process.kill()
        deployment.daemons.remove(lost)
        client = connect(third, key)
        wait_for(client, job, ITEMS // 10)
        frozen.process.pause()
        deployment.unlist_vm(lost.vm)
        deployment.set_platform_faults(outage=True)
        fleet_lib.poll(Countdown(20).is_over, WAIT_S, "the outage lasts")
        deployment.set_platform_faults(outage=False)
        # Other VMs take over the chunks of the frozen VM, but not all of them:
        # input with copies only on this VM and the lost one has to wait.
        fleet_lib.poll(Countdown(300).is_over, WAIT_S, "the VM is frozen")
        frozen.process.resume()
        wait_for(client, job, ITEMS)
        batch = client.batches.retrieve(job)
        assert batch.output_file_id is not None
        content = client.files.content(batch.output_file_id).content
    found = batchfakes.read_lines(content)
    assert list(found) == [f"id{n}" for n in range(ITEMS)]
    for custom_id, line in found.items():
        body = line["response"]["body"]
        assert body["choices"][0]["text"], custom_id


class Countdown:
    """Is over after `is_over` was called `looks` times."""

    def __init__(self, looks: int) -> None:
        self._left = looks

    def is_over(self) -> bool:
        self._left -= 1
        return self._left < 0


def submit(client: openai.OpenAI) -> str:
    prompts = {f"id{n}": f"hello {n}" for n in range(ITEMS)}
    data = batchfakes.lines(prompts).replace(b'"m"', b'"textbook"')
    data = data.replace(b'"prompt"', b'"max_tokens": 8, "prompt"')

    def upload() -> openai.types.FileObject | None:
        try:
            return client.files.create(
                file=("quiz.jsonl", data), purpose="batch"
            )
        except openai.APIStatusError as error:
            # This VM may not have found a store in a second failure domain yet.
            assert error.status_code == 503
            return None

    uploaded = fleet_lib.poll(upload, WAIT_S, "the file is accepted")
    batch = client.batches.create(
        input_file_id=uploaded.id,
        endpoint="/v1/completions",
        completion_window="24h",
    )
    return batch.id


def wait_for(client: openai.OpenAI, job: str, items: int) -> None:
    """Waits until a number of items, or the whole job, is completed."""

    def is_reached() -> Any:
        try:
            batch = client.batches.retrieve(job)
        except openai.APIStatusError as error:
            # A job cannot be read during the outage.
            assert error.status_code == 503
            return False
        counts = batch.request_counts
        assert counts is not None
        assert counts.failed == 0
        if items < ITEMS:
            return counts.completed >= items
        return batch.status == "completed"

    fleet_lib.poll(is_reached, WAIT_S, f"{items} items of {json.dumps(job)}")
