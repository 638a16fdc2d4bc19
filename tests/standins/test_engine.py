"""Tests for resuming cancelled streams of the stand-in engine."""

import json

import urllib3

from standins import engine
from standins import web

BODY = {"model": "textbook", "prompt": "What is a drain?", "max_tokens": 40}
TIMING = engine.Timing(token_s=0.005, token_per_stream_s=0.0, prefill_s=0.0)


def complete(address: str, stream: str, body: dict[str, object]) -> str:
    answer = urllib3.request(
        "POST",
        f"http://{address}{engine.TEXT_PATH}",
        json=body,
        headers={"X-Stream-Id": stream},
        retries=False,
    )
    return str(json.loads(answer.data)["choices"][0]["text"])


def test_cancelled_stream_is_resumed_by_name_and_body_only() -> None:
    server = engine.Engine(timing=TIMING)
    server.start()
    with urllib3.PoolManager(retries=False) as pool:
        pool.request(
            "POST",
            f"http://{server.address}{engine.TEXT_PATH}",
            json={**BODY, "stream": True},
            headers={"X-Stream-Id": "item-1"},
            preload_content=False,
        ).close()
    while server.stats()["cancelled"] == 0:
        pass
    streamed = web.fingerprint(json.dumps({**BODY, "stream": True}).encode())
    assert streamed != web.fingerprint(json.dumps(BODY).encode())
    # The same `X-Stream-Id` with another body resumes nothing.
    whole = complete(server.address, "item-1", BODY)
    assert whole == "".join(engine.words("What is a drain?", 40))
    assert complete(server.address, "item-1", BODY) == whole
    server.stop()


def test_paused_streams_are_bounded_and_taken_once() -> None:
    paused = engine.PausedStreams(2)
    for number in range(3):
        paused.pause(f"s{number}", number + 1)
    paused.pause("", 9)
    assert [paused.resume(f"s{n}") for n in range(3)] == [0, 2, 3]
    assert paused.resume("s1") == 0
    assert paused.resume("") == 0
