"""Tests batch jobs with the unmodified OpenAI client and real threads."""

from collections.abc import Iterator
import json
import pathlib
import time
from typing import Any

import openai
import pytest

from bench import staticvm
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import callers
from bulrushdeald import coordinator
from bulrushdeald import files
from bulrushdeald import intents
from bulrushdeald import jobs
from bulrushdeald import replicas
from bulrushdeald import services
from bulrushdeald import store
from bulrushdeald import upstreams
from bulrushdeald import worker
from standins import engine
from support import batchfakes
from support import pathfakes


@pytest.fixture
def client(tmp_path: pathlib.Path) -> Iterator[openai.OpenAI]:
    server = engine.Engine(timing=pathfakes.FAST)
    server.start()
    config = Config(staticvm.engine_row(server.address))
    settings = staticvm.settings(data_folder=str(tmp_path))
    kernel = kernel_lib.Kernel()
    network = batchfakes.Network()
    row = records.Vm("vm", "d", "entry", "", "live", has_disk=True)
    network.vms["vm"] = row
    front = callers.CallersServer(kernel, settings)
    services_in_order: tuple[tuple[str, Any], ...] = (
        (services.KEYVALUE, NoLifecycle(batchfakes.FakeKeyValue())),
        (
            services.MEMBERSHIP,
            NoLifecycle(batchfakes.FakeMembership(network, row, "run")),
        ),
        (services.PEERS, NoLifecycle(batchfakes.FakePeers(network, "vm"))),
        (services.CONFIG, config),
        (services.LIMITS, staticvm.StaticLimits()),
        (services.USAGE, staticvm.StaticUsage()),
        (services.ROUTER, Router(config)),
        (services.UPSTREAMS, upstreams.HttpUpstreams(kernel, settings)),
        (services.INTENTS, intents.Intents(kernel, settings)),
        (services.OPERATORS, batchfakes.FakeRest()),
        (services.CALLERS, front),
        (services.STORE, store.DiskStore(kernel, settings)),
        (replicas.NAME, replicas.Replicas(kernel, settings)),
        (files.NAME, files.Files(kernel, settings)),
        (services.JOBS, jobs.Jobs(kernel, settings)),
        (coordinator.NAME, coordinator.Coordinator(kernel, settings)),
        (worker.NAME, worker.Worker(kernel, settings)),
        (callers.LISTENER, callers.Listener(kernel, settings)),
    )
    for name, service in services_in_order:
        kernel.register(name, service)
    kernel.start()
    address = f"http://127.0.0.1:{front.port}/v1"
    with openai.OpenAI(
        api_key=pathfakes.KEY, base_url=address, max_retries=0
    ) as openai_client:
        yield openai_client
    kernel.stop(2.0)
    server.stop()


class Config(staticvm.StaticConfig):
    def customer(self, customer: str) -> records.Customer:
        return records.Customer(customer)


class Router(staticvm.TurnRouter):
    def batch_slots(self, model: str) -> int:
        return 16


class NoLifecycle:
    """Wraps a fake so that the kernel can start, stop and dump it."""

    def __init__(self, fake: Any) -> None:
        self._fake = fake

    def __getattr__(self, name: str) -> Any:
        return getattr(self._fake, name)

    def start(self) -> None: ...

    def stop(self, grace_s: float) -> None: ...

    def dump(self) -> Any: ...


def test_upload_submit_and_fetch(client: openai.OpenAI) -> None:
    prompts = {f"id{n}": f"hello {n}" for n in range(40)}
    data = batchfakes.lines(prompts).replace(b'"m"', b'"textbook"')
    uploaded = client.files.create(file=("quiz.jsonl", data), purpose="batch")
    assert uploaded.bytes == len(data)
    assert client.files.content(uploaded.id).content == data
    batch = client.batches.create(
        input_file_id=uploaded.id,
        endpoint="/v1/completions",
        completion_window="24h",
        metadata={"lesson": "7b"},
    )
    # The bound is a number of polls, not a measured time.
    for _ in range(400):
        batch = client.batches.retrieve(batch.id)
        if batch.status == "completed":
            break
        time.sleep(0.05)
    assert batch.status == "completed"
    assert batch.metadata == {"lesson": "7b"}
    assert batch.request_counts is not None
    assert batch.request_counts.completed == 40
    assert batch.output_file_id is not None
    content = client.files.content(batch.output_file_id).text
    found = {
        line["custom_id"]: line
        for line in map(json.loads, content.splitlines())
    }
    assert list(found) == list(prompts)
    for line in found.values():
        assert line["response"]["body"]["usage"]["completion_tokens"] > 0
    assert [listed.id for listed in client.batches.list()] == [batch.id]
    cancelled = client.batches.cancel(batch.id)
    assert cancelled.status == "completed"


def test_errors_raise_the_exceptions_of_the_library(
    client: openai.OpenAI,
) -> None:
    with pytest.raises(openai.BadRequestError) as bad:
        client.files.create(file=("a.jsonl", b"{}\n"), purpose="batch")
    assert bad.value.param == "line 1"
    with pytest.raises(openai.NotFoundError):
        client.batches.retrieve("batch_none")
    with pytest.raises(openai.NotFoundError):
        client.batches.create(
            input_file_id="file-none",
            endpoint="/v1/completions",
            completion_window="24h",
        )
