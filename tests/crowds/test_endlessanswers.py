"""Tests a gateway process with many answers that have no end at once."""

import json
import pathlib
import time

import pytest

from support import crowds
from support import crowdvm
from support import endlessupstream
from support import gatewayscene

# Sent at once by callers who read all that comes.
REQUESTS = 160
# For how long the answers are looked at.
ROUNDS = 10
ROUND_PAUSE_S = 0.5
# Longer than that.
TIMEOUT_MS = 30_000
SMALL_BYTES = 200
# As many as a VM runs at once.
ITEMS = 64
ITEM_ROUNDS = 30
LARGE_BYTES = 200_000


def _readers(shape: str, body_bytes: int) -> list[crowds.Behaviour]:
    length = f"Content-Length: {body_bytes}"
    return [
        crowds.Behaviour(
            crowdvm.head("POST", f"/endless/{shape}", length)
            + b"x" * body_bytes
        )
        for _ in range(REQUESTS)
    ]


@pytest.mark.parametrize(
    ("shape", "body_bytes"),
    [(shape, SMALL_BYTES) for shape in endlessupstream.BODIES]
    + [("chunks", LARGE_BYTES)],
)
def test_many_answers_without_end_stay_within_memory(
    tmp_path: pathlib.Path, shape: str, body_bytes: int
) -> None:
    # Guards against a VM that runs out of memory, and ends the requests of
    # all, as one of its upstreams sends without end.
    limits = crowdvm.Limits(route_timeout_ms=TIMEOUT_MS)
    with crowdvm.running(tmp_path, limits) as vm:
        vm.add_endless_upstream()
        address = (vm.host, crowdvm.CALLERS_PORT)
        behaviours = _readers(shape, body_bytes)
        with crowds.Crowd(address, behaviours) as present:
            present.wait_sent(len(behaviours))
            for _ in range(ROUNDS):
                vm.check_answers()
                time.sleep(ROUND_PAUSE_S)
        vm.check_answers()
        vm.check_held()


def test_items_without_end_stay_within_memory(tmp_path: pathlib.Path) -> None:
    # Guards against outputs that each are allowed, and fill a VM together.
    items = [
        gatewayscene.item(f"i{number}") | {"path": "/b/events"}
        for number in range(ITEMS)
    ]
    with crowdvm.running(tmp_path) as vm:
        vm.make_engines_endless()
        vm.check_job("endless", json.dumps({"items": items}).encode())
        for _ in range(ITEM_ROUNDS):
            vm.check_ready()
            time.sleep(ROUND_PAUSE_S)
        vm.check_held()
