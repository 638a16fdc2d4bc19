"""Tests a gateway process with many answers that have no end at once."""

import pathlib
import time

import pytest

from support import crowds
from support import crowdvm
from support import endlessupstream

# Sent at once by callers who read all that comes.
REQUESTS = 160
# For how long the answers are looked at.
ROUNDS = 10
ROUND_PAUSE_S = 0.5
# Longer than that.
TIMEOUT_MS = 30_000
SMALL_BYTES = 200
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
    [(shape, SMALL_BYTES) for shape in endlessupstream.SHAPES]
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
