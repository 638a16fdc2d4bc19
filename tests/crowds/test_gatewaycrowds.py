"""Tests a gateway process with crowds of clients that do not behave."""

import base64
from collections.abc import Callable, Sequence
import json
import pathlib
import time

import pytest

from support import crowds
from support import crowdvm
from support import plainupstream

# More than the connections that the landed gateway serves at once.
CROWD = 340
# Together over three times the VM's memory.
HEAVY_CROWD = 100
BODY_BYTES = 4_000_000
LENGTH = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"
# More than the VM has descriptors.
MANY = crowdvm.MAX_DESCRIPTORS + 100
TINY_CHUNK_CLIENTS = 40
TINY_CHUNKS = 256 * 1024
PIPELINED = 2000
SLOW_BYTES_PER_S = 1000
ITEM_BYTES = 500_000
# Transfers that go on, but take minutes for a body or an answer of 4 MB.
STEADY_PIECE_BYTES = 8192
STEADY_BYTES_PER_S = 32_000
# Longer than a test looks at its crowd, so that no deadline makes room.
LONG_TIMEOUT_MS = 600_000
# The rest of the 16 kB of a head that the configuration allows.
FILLER = "X-Filler: " + "f" * 14_000
# An id of nearly that length, and so many requests that their ids alone take
# three quarters of the VM's memory.
LONG_ID = "i" * 14_000
ENDED = 6900
# Jobs whose results take more than the VM's memory together.
JOBS = 85
ITEMS = 20
# For how long a crowd is looked at.
ROUNDS = 20
ROUND_PAUSE_S = 0.5
# What the smallest VM has.
VM_DESCRIPTORS = 4100


def _half_body(path: str, *more: str) -> bytes:
    """Returns a body of 4 MB without its last byte, with a length."""
    head = crowdvm.head("POST", path, LENGTH, *more)
    return head + b"x" * (BODY_BYTES - 1)


def _half_chunk(path: str) -> bytes:
    """Returns a body of 4 MB in one chunk without its last byte."""
    head = crowdvm.head("POST", path, CHUNKED)
    return head + b"%x\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)


def _half_bodies() -> list[crowds.Behaviour]:
    half = crowds.Behaviour(_half_body("/safe/half"))
    return [half] * HEAVY_CROWD


def _half_chunks() -> list[crowds.Behaviour]:
    half = crowds.Behaviour(_half_chunk("/safe/half"))
    return [half] * HEAVY_CROWD


def _half_jobs() -> list[crowds.Behaviour]:
    return [crowds.Behaviour(_half_body("/b/jobs")) for _ in range(HEAVY_CROWD)]


def _tiny_chunks() -> list[crowds.Behaviour]:
    head = crowdvm.head("POST", "/safe/tiny", CHUNKED)
    tiny = crowds.Behaviour(head + b"1\r\nx\r\n" * TINY_CHUNKS)
    return [tiny] * TINY_CHUNK_CLIENTS


def _dribbled_bodies() -> list[crowds.Behaviour]:
    head = crowdvm.head("POST", "/safe/drip", LENGTH)
    return [crowds.Behaviour(head, b"x")] * CROWD


def _dribbled_heads() -> list[crowds.Behaviour]:
    begun = crowdvm.head("POST", "/safe/drip")[:-2]
    return [crowds.Behaviour(begun, b"X-More: 1\r\n")] * CROWD


def _silent_bodies() -> list[crowds.Behaviour]:
    head = crowdvm.head("POST", "/safe/short", "Content-Length: 4")
    return [crowds.Behaviour(head + b"abc")] * CROWD


def _slow_readers(path: str) -> list[crowds.Behaviour]:
    return [
        crowds.Behaviour(
            crowdvm.head("POST", path, "Content-Length: 0"),
            read_bytes_per_s=SLOW_BYTES_PER_S,
        )
        for _ in range(CROWD)
    ]


def _slow_answers() -> list[crowds.Behaviour]:
    return _slow_readers("/safe/long")


def _slow_streams() -> list[crowds.Behaviour]:
    return _slow_readers("/s/long/")


def _pipelined() -> list[crowds.Behaviour]:
    request = crowdvm.head("POST", "/safe/pipe", "Content-Length: 0")
    many = crowds.Behaviour(request * PIPELINED)
    return [many] * CROWD


def _unread_pipelined() -> list[crowds.Behaviour]:
    request = crowdvm.head("POST", "/safe/pipe", "Content-Length: 0")
    many = crowds.Behaviour(request * PIPELINED, read_bytes_per_s=0)
    return [many] * CROWD


def _silent() -> list[crowds.Behaviour]:
    return [crowds.Behaviour()] * MANY


def _kept() -> list[crowds.Behaviour]:
    request = crowdvm.head("POST", "/safe/kept", "Content-Length: 0")
    return [crowds.Behaviour(request, request, drip_s=8.0)] * MANY


def _all_at_once() -> list[crowds.Behaviour]:
    share = CROWD // 10
    kinds = (
        _half_bodies(),
        _half_chunks(),
        _half_jobs(),
        _tiny_chunks(),
        _dribbled_bodies(),
        _dribbled_heads(),
        _silent_bodies(),
        _slow_answers(),
        _slow_streams(),
        _pipelined(),
        _silent(),
    )
    return [row for kind in kinds for row in kind[:share]]


CROWDS: tuple[Callable[[], Sequence[crowds.Behaviour]], ...] = (
    _half_bodies,
    _half_chunks,
    _half_jobs,
    _tiny_chunks,
    _dribbled_bodies,
    _dribbled_heads,
    _silent_bodies,
    _slow_answers,
    _slow_streams,
    _pipelined,
    _unread_pipelined,
    _silent,
    _kept,
    _all_at_once,
)


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.__name__[1:])
def test_callers_are_answered_beside_a_crowd(
    tmp_path: pathlib.Path, crowd: Callable[[], Sequence[crowds.Behaviour]]
) -> None:
    # Guards against a process that clients who do not behave end, hang or fill.
    behaviours = crowd()
    with crowdvm.running(tmp_path) as vm:
        address = (vm.host, crowdvm.CALLERS_PORT)
        with crowds.Crowd(address, behaviours) as present:
            present.wait_sent(len(behaviours) // 2)
            vm.check_answers()
        vm.check_answers()
        vm.check_held()


def test_callers_are_answered_beside_a_crowd_that_stands(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against connections that come again faster than they are accepted,
    # so that ordinary callers wait behind them for ever.
    behaviours = _all_at_once()
    with crowdvm.running(tmp_path) as vm:
        address = (vm.host, crowdvm.CALLERS_PORT)
        with crowds.Crowd(address, behaviours) as present:
            present.wait_sent(len(behaviours) // 2)
            for _ in range(ROUNDS):
                vm.check_answers()
                time.sleep(ROUND_PAUSE_S)
        vm.check_answers()
        vm.check_held()


@pytest.mark.parametrize("path", ["/safe/ordinary", "/s/short/"])
def test_requests_that_ended_leave_nothing_behind(
    tmp_path: pathlib.Path, path: str
) -> None:
    # Guards against requests, or their ids, that are held for long after they
    # were answered.
    behaviours = _slow_streams()[:1]
    limits = crowdvm.Limits(route_timeout_ms=LONG_TIMEOUT_MS)
    with crowdvm.running(tmp_path, limits) as vm:
        address = (vm.host, crowdvm.CALLERS_PORT)
        with crowds.Crowd(address, behaviours) as present:
            present.wait_sent(len(behaviours))
            for number in range(ENDED):
                vm.check_served(path, f"{number}{LONG_ID}")
        vm.check_answers()
        vm.check_held()


def _steady_bodies() -> list[crowds.Behaviour]:
    head = crowdvm.head("POST", "/safe/steady", LENGTH)
    return [crowds.Behaviour(head, b"x" * STEADY_PIECE_BYTES)] * CROWD


def _steady_readers() -> list[crowds.Behaviour]:
    return [
        crowds.Behaviour(
            crowdvm.head("POST", "/safe/long", "Content-Length: 0"),
            read_bytes_per_s=STEADY_BYTES_PER_S,
        )
        for _ in range(CROWD)
    ]


@pytest.mark.parametrize(
    "crowd",
    [_steady_bodies, _steady_readers],
    ids=lambda crowd: crowd.__name__[1:],
)
def test_callers_are_answered_beside_transfers_that_go_on(
    tmp_path: pathlib.Path, crowd: Callable[[], Sequence[crowds.Behaviour]]
) -> None:
    # Guards against a crowd that moves just enough never to count as stalled,
    # and has all threads.
    behaviours = crowd()
    limits = crowdvm.Limits(route_timeout_ms=LONG_TIMEOUT_MS)
    with crowdvm.running(tmp_path, limits) as vm:
        address = (vm.host, crowdvm.CALLERS_PORT)
        with crowds.Crowd(address, behaviours) as present:
            present.wait_sent(len(behaviours))
            vm.check_answers()
        vm.check_answers()
        vm.check_held()


def _long_heads(count: int) -> list[crowds.Behaviour]:
    """Returns clients whose heads are as long as allowed and not whole."""
    begun = crowdvm.head("POST", "/safe/heads", FILLER)[:-2]
    return [crowds.Behaviour(begun)] * count


def _long_heads_of_half_bodies() -> list[crowds.Behaviour]:
    half = _half_body("/safe/heads", FILLER)
    return [crowds.Behaviour(half)] * CROWD


def _whole_jobs() -> list[crowds.Behaviour]:
    behaviours = []
    for number in range(HEAVY_CROWD // 2):
        name = f"mixed{number}"
        body = _large_job(name, BODY_BYTES // ITEM_BYTES - 2)
        length = f"Content-Length: {len(body)}"
        head = crowdvm.head("POST", "/b/jobs", length, attempt=name)
        behaviours.append(crowds.Behaviour(head + body))
    return behaviours


def _heads() -> list[crowds.Behaviour]:
    return _long_heads(VM_DESCRIPTORS // 2)


def _many_half_bodies() -> list[crowds.Behaviour]:
    return _half_bodies()[:1] * (VM_DESCRIPTORS // 2)


def _heads_of_half_bodies() -> list[crowds.Behaviour]:
    return _long_heads_of_half_bodies()


def _heads_bodies_answers_and_jobs() -> list[crowds.Behaviour]:
    share = CROWD // 3
    return (
        _long_heads(VM_DESCRIPTORS // 2 - CROWD)
        + _long_heads_of_half_bodies()[:share]
        + _slow_answers()[:share]
        + _slow_streams()[:share]
        + _half_jobs()[:share]
        + _whole_jobs()
    )


@pytest.mark.parametrize(
    "crowd",
    [
        _heads,
        _many_half_bodies,
        _heads_of_half_bodies,
        _heads_bodies_answers_and_jobs,
    ],
    ids=lambda crowd: crowd.__name__[1:],
)
def test_a_small_vm_with_many_descriptors_stays_within_memory(
    tmp_path: pathlib.Path, crowd: Callable[[], Sequence[crowds.Behaviour]]
) -> None:
    # Guards against what connections hold before any account is asked, and
    # against bounds that each hold but are more together than the VM has.
    behaviours = crowd()
    limits = crowdvm.Limits(descriptors=VM_DESCRIPTORS)
    with crowdvm.running(tmp_path, limits) as vm:
        address = (vm.host, crowdvm.CALLERS_PORT)
        with crowds.Crowd(address, behaviours) as present:
            present.wait_sent(len(behaviours) // 2)
            for _ in range(ROUNDS):
                vm.check_answers()
                time.sleep(ROUND_PAUSE_S)
        vm.check_answers()
        vm.check_held()


def test_results_of_many_jobs_read_at_once_leave_room(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against results that are read whole from the store for each of
    # many callers.
    names = [f"read{number}" for number in range(JOBS)]
    with crowdvm.running(tmp_path) as vm:
        for name in names:
            vm.check_job(name, _small_job(name))
        for name in names:
            vm.wait_results(name, 1, after=ITEMS - 1)
        readers = [
            crowds.Behaviour(_pages(name), _pages(name), drip_s=0.1)
            for name in names * (CROWD // JOBS)
        ]
        address = (vm.host, crowdvm.CALLERS_PORT)
        with crowds.Crowd(address, readers) as present:
            present.wait_sent(len(readers) // 2)
            for _ in range(ROUNDS):
                vm.check_answers()
                time.sleep(ROUND_PAUSE_S)
        vm.check_answers()
        vm.check_held()


def _small_job(name: str) -> bytes:
    """Returns a job whose outputs are far larger than its items."""
    rows = [
        {
            "id": f"{name}-{number}",
            "path": "/b/1",
            "headers": {},
            "body": "",
            "tokens": 1,
        }
        for number in range(ITEMS)
    ]
    return json.dumps({"items": rows}).encode()


def _large_job(name: str, items: int) -> bytes:
    body = base64.b64encode(b"y" * (ITEM_BYTES * 3 // 4)).decode()
    rows = [
        {
            "id": f"{name}-{number}",
            "path": "/b/1",
            "headers": {},
            "body": body,
            "tokens": 1,
        }
        for number in range(items)
    ]
    return json.dumps({"items": rows}).encode()


def test_whole_jobs_of_many_clients_stay_within_memory(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against jobs that take several times their bytes as they are
    # decoded, many of them at once.
    behaviours = []
    for number in range(HEAVY_CROWD // 4):
        body = _large_job(f"crowd{number}", BODY_BYTES // ITEM_BYTES - 1)
        length = f"Content-Length: {len(body)}"
        head = crowdvm.head("POST", "/b/jobs", length, attempt=f"crowd{number}")
        behaviours.append(crowds.Behaviour(head + body))
    with crowdvm.running(tmp_path) as vm:
        address = (vm.host, crowdvm.CALLERS_PORT)
        with crowds.Crowd(address, behaviours) as present:
            present.wait_sent(len(behaviours) // 2)
            vm.check_answers()
        vm.check_answers()
        vm.check_held()


def _pages(job: str) -> bytes:
    return crowdvm.head("GET", f"/lots/{job}?after=0")


def _inputs(job: str) -> bytes:
    return crowdvm.head("GET", f"/items/{job}?id={job}-0")


@pytest.mark.parametrize("read", [_pages, _inputs])
def test_jobs_read_slowly_by_many_leave_room(
    tmp_path: pathlib.Path, read: Callable[[str], bytes]
) -> None:
    # Guards against pages and inputs that are held whole for each slow reader.
    body = _large_job("slow", 4)
    with crowdvm.running(tmp_path) as vm:
        vm.check_job("slow", body)
        slow = crowds.Behaviour(read("slow"), read_bytes_per_s=SLOW_BYTES_PER_S)
        address = (vm.host, crowdvm.CALLERS_PORT)
        vm.wait_results("slow", 4)
        with crowds.Crowd(address, [slow] * CROWD) as present:
            present.wait_sent(CROWD // 2)
            vm.check_answers()
        vm.check_answers()
        vm.check_held()


@pytest.mark.parametrize(
    "port", [crowdvm.READY_PORT, crowdvm.METRICS_PORT, crowdvm.PEERS_PORT]
)
@pytest.mark.parametrize("kind", ["silent", "heads", "bodies"])
def test_a_crowd_at_a_port_of_the_vm_leaves_it_ready(
    tmp_path: pathlib.Path, port: int, kind: str
) -> None:
    # Guards against a VM that is taken out of rotation, or ended, by
    # connections to the ports that are not for callers.
    heads = crowdvm.head("GET", "/ready")[:-2]
    behaviour = {
        "silent": crowds.Behaviour(),
        "heads": crowds.Behaviour(heads, b"X-More: 1\r\n"),
        "bodies": crowds.Behaviour(_half_body("/ready")),
    }[kind]
    with crowdvm.running(tmp_path) as vm:
        with crowds.Crowd((vm.host, port), [behaviour] * MANY) as present:
            present.wait_sent(MANY // 2)
            vm.wait_ready()
            vm.check_answers()
        vm.check_answers()
        vm.check_held()


@pytest.mark.parametrize("chunks", [0, 1, 100])
def test_the_largest_body_is_served_in_calm(
    tmp_path: pathlib.Path, chunks: int
) -> None:
    # Guards against limits that a single request inside the pages meets.
    with crowdvm.running(tmp_path) as vm:
        vm.check_answers(b"x" * (4 << 20), chunks)
        vm.check_held()


def test_the_largest_job_is_served_in_calm(tmp_path: pathlib.Path) -> None:
    # Guards against limits that a single job inside the pages meets.
    body = _large_job("large", 8)
    body += b" " * ((4 << 20) - len(body))
    with crowdvm.running(tmp_path) as vm:
        vm.check_job("large", body)
        vm.wait_results("large", 4)
        vm.check_held()


def test_a_slow_reader_gets_the_whole_answer(tmp_path: pathlib.Path) -> None:
    # Guards against a caller that is cut off only because it reads slowly.
    with crowdvm.running(tmp_path) as vm:
        for path in ("/safe/long", "/s/long/"):
            read_bytes = vm.read_slowly(path)
            assert read_bytes >= plainupstream.LONG_BYTES, path
        vm.check_held()
