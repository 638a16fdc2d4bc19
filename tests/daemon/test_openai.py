"""Tests completions with the unmodified OpenAI client library."""

from collections.abc import Iterator
import json

import openai
import pytest

from standins import engine
from support import pathfakes


@pytest.fixture
def client() -> Iterator[openai.OpenAI]:
    server = engine.Engine(timing=pathfakes.FAST)
    server.start()
    row = pathfakes.engine_row(server.address)
    with pathfakes.running(row) as vm, connect(vm) as client:
        yield client
    server.stop()


def connect(vm: pathfakes.SmallVm) -> openai.OpenAI:
    return openai.OpenAI(
        api_key=pathfakes.KEY,
        base_url=f"http://127.0.0.1:{vm.callers.port}/v1",
        max_retries=0,
    )


def test_chat_stream_and_models(client: openai.OpenAI) -> None:
    expected = "".join(engine.words(json.dumps(MESSAGES), 5))
    whole = client.chat.completions.create(
        model="textbook", messages=MESSAGES, max_tokens=5
    )
    assert whole.choices[0].message.content == expected
    stream = client.chat.completions.create(
        model="textbook",
        messages=MESSAGES,
        max_tokens=5,
        stream=True,
        stream_options={"include_usage": True},
    )
    text = ""
    tokens = 0
    for event in stream:
        tokens += event.usage.completion_tokens if event.usage else 0
        for choice in event.choices:
            text += choice.delta.content or ""
    assert (text, tokens) == (expected, 5)
    assert [model.id for model in client.models.list()] == ["textbook"]


def test_errors_raise_the_exceptions_of_the_library(
    client: openai.OpenAI,
) -> None:
    with pytest.raises(openai.NotFoundError) as missing:
        client.completions.create(model="none", prompt="a")
    assert missing.value.code == "model_not_found"
    with pytest.raises(openai.BadRequestError) as bad:
        client.completions.create(model="textbook", prompt="")
    assert bad.value.param == "prompt"
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key="wrong").models.list()


MESSAGES: list[openai.types.chat.ChatCompletionMessageParam] = [
    {"role": "user", "content": "hello"}
]


def test_stream_counts_its_prompt_without_showing_the_usage() -> None:
    # Prompt tokens of streams must be counted in the usage report. An engine
    # sends a stream's usage only on request. Most callers do not request it
    # and must not receive it.
    server = engine.Engine(timing=pathfakes.FAST)
    server.start()
    row = pathfakes.engine_row(server.address)
    with pathfakes.running(row) as vm, connect(vm) as client:
        stream = client.chat.completions.create(
            model="textbook", messages=MESSAGES, max_tokens=5, stream=True
        )
        events = list(stream)
        pathfakes.wait_until(lambda: bool(vm.usage.events))
        event = vm.usage.events[0]
    server.stop()
    assert all(shown.choices and not shown.usage for shown in events)
    assert event.prompt_tokens == len(json.dumps(MESSAGES)) // 4 + 1
    assert event.completion_tokens == 5
