"""Tests a daemon with crowds of clients that do not behave."""

from collections.abc import Callable, Iterator, Sequence
import contextlib
import http.client
import json
import pathlib
import time

import pytest

from standins import deployment as deployment_lib
from standins import fleet as fleet_lib
from support import crowdmeter
from support import crowds
from support import processes

# What the VM has of which the daemon ran out of memory.
MEMORY_MB = 150
# Fewer than a VM has, so that a small crowd can exhaust them.
MAX_DESCRIPTORS = 1000
MANY = MAX_DESCRIPTORS + 300
THREADS = 24
# More than are served at once and may wait for it.
CROWD = 80
HEAVY_CROWD = 100
BODY_BYTES = 4_000_000
TINY_CHUNK_CLIENTS = 40
TINY_CHUNKS = 256 * 1024
SLOW_BYTES_PER_S = 1000
LONG_TOKENS = 20_000
ANSWER_TIMEOUT_S = 90.0
_MB = 1_000_000
_PROGRAM = (
    "import resource;"
    f"resource.setrlimit(resource.RLIMIT_NOFILE, ({MAX_DESCRIPTORS},) * 2);"
    "from bulrushdeald import main; main.main()"
)


class _Vm:
    """The daemon under test, with its deployment."""

    def __init__(self, system: processes.System) -> None:
        self.system = system
        self.daemon = system.daemons[0]
        self.key = system.key
        daemon = self.daemon
        addresses = (daemon.callers, daemon.operators, daemon.peers)
        self._meter = crowdmeter.Meter(daemon.process.pid, addresses)

    def check_answers(self) -> None:
        """Fails unless a completion and an operator's call are answered."""
        self._check(lambda: self.system.complete(self.daemon, "ordinary"))
        headers = deployment_lib.bearer(deployment_lib.OPERATOR_TOKEN)
        self._check(
            lambda: self.system.deployment.call(
                "GET", self.daemon.operators, "/v1/vms", headers=headers
            )
        )

    def _check(self, call: Callable[[], deployment_lib.Answer]) -> None:
        end_s = time.monotonic() + ANSWER_TIMEOUT_S
        seen = []
        while time.monotonic() < end_s:
            assert self.daemon.process.is_running()
            answer = call()
            if answer.status == 200:
                return
            seen.append((answer.status, answer.body[:80]))
            time.sleep(0.2)
        raise AssertionError(f"no answer: {seen[-5:]}")

    def check_held(self) -> None:
        """Fails unless the process lives and stayed within the VM's limits."""
        assert self.daemon.process.is_running()
        most = self._meter.stop()
        print(f"held at most: {most}")
        assert most.memory_bytes <= MEMORY_MB * _MB, most
        assert most.descriptors <= MAX_DESCRIPTORS, most

    def head(self, method: str, path: str, *more: str) -> bytes:
        """Returns the bytes of a request's head."""
        lines = (
            f"{method} {path} HTTP/1.1",
            "Host: vm",
            f"Authorization: Bearer {self.key}",
            "Content-Type: application/json",
            *more,
        )
        return "\r\n".join((*lines, "", "")).encode()

    def upload(self) -> str:
        """Uploads a file of some megabytes and returns its id."""
        line = json.dumps(
            {
                "custom_id": "item",
                "method": "POST",
                "url": processes.CHAT,
                "body": processes.chat_call("x" * 3000, 3),
            }
        )
        rows = [line.replace("item", f"item-{n}") for n in range(1200)]
        form = _form("\n".join(rows).encode() + b"\n")
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "multipart/form-data; boundary=limit",
        }
        connection = http.client.HTTPConnection(self.daemon.callers)
        try:
            connection.request("POST", "/v1/files", form, headers)
            response = connection.getresponse()
            body = response.read()
            assert response.status == 200, body
            return str(json.loads(body)["id"])
        finally:
            connection.close()


def _form(data: bytes) -> bytes:
    return (
        b"--limit\r\n"
        b'Content-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        b"--limit\r\n"
        b'Content-Disposition: form-data; name="file"; filename="f"\r\n\r\n'
        + data
        + b"\r\n--limit--\r\n"
    )


@contextlib.contextmanager
def _running(folder: pathlib.Path) -> Iterator[_Vm]:
    with fleet_lib.Fleet(folder) as fleet:
        deployment = deployment_lib.Deployment(fleet)
        deployment.daemon_program = _PROGRAM
        deployment.start_platform()
        settings = {"online-threads": str(THREADS)}
        daemon = deployment.start_daemon("vm-0", "north", settings)
        deployment.wait_started(daemon)
        deployment.add_engine(
            "engine-0",
            "north",
            [
                *("--token-s", "0.00001", "--token-per-stream-s", "0"),
                *("--prefill-per-token-s", "0"),
            ],
            slots=400,
        )
        key = deployment.create_customer("kisumu", 100_000.0)
        deployment.wait_ready(daemon)
        deployment.wait_in_force()
        vm = _Vm(processes.System(deployment, key))
        try:
            vm.check_answers()
            yield vm
        except BaseException:
            print(daemon.process.tail())
            raise


Crowd = Callable[[_Vm], Sequence[crowds.Behaviour]]
LENGTH = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"


def _half_bodies(vm: _Vm) -> list[crowds.Behaviour]:
    head = vm.head("POST", processes.CHAT, LENGTH)
    half = crowds.Behaviour(head + b"x" * (BODY_BYTES - 1))
    return [half] * HEAVY_CROWD


def _half_chunks(vm: _Vm) -> list[crowds.Behaviour]:
    head = vm.head("POST", processes.CHAT, CHUNKED)
    body = b"%x\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)
    return [crowds.Behaviour(head + body)] * HEAVY_CROWD


def _tiny_chunks(vm: _Vm) -> list[crowds.Behaviour]:
    head = vm.head("POST", processes.CHAT, CHUNKED)
    tiny = crowds.Behaviour(head + b"1\r\nx\r\n" * TINY_CHUNKS)
    return [tiny] * TINY_CHUNK_CLIENTS


def _dribbled_bodies(vm: _Vm) -> list[crowds.Behaviour]:
    head = vm.head("POST", processes.CHAT, LENGTH)
    return [crowds.Behaviour(head, b"x")] * CROWD


def _dribbled_heads(vm: _Vm) -> list[crowds.Behaviour]:
    begun = vm.head("POST", processes.CHAT)[:-2]
    return [crowds.Behaviour(begun, b"X-More: 1\r\n")] * CROWD


def _silent_bodies(vm: _Vm) -> list[crowds.Behaviour]:
    head = vm.head("POST", processes.CHAT, "Content-Length: 4")
    return [crowds.Behaviour(head + b"abc")] * CROWD


def _half_uploads(vm: _Vm) -> list[crowds.Behaviour]:
    head = vm.head("POST", "/v1/files", LENGTH).replace(
        b"application/json", b"multipart/form-data; boundary=limit"
    )
    begun = _form(b"x" * 3_000_000)[: -len(b"\r\n--limit--\r\n")]
    return [crowds.Behaviour(head + begun, b"x")] * CROWD


def _slow_streams(vm: _Vm) -> list[crowds.Behaviour]:
    call = processes.chat_call("long", LONG_TOKENS, stream=True)
    return _slow_calls(vm, json.dumps(call).encode())


def _slow_answers(vm: _Vm) -> list[crowds.Behaviour]:
    call = processes.chat_call("long", LONG_TOKENS)
    return _slow_calls(vm, json.dumps(call).encode())


def _slow_calls(vm: _Vm, body: bytes) -> list[crowds.Behaviour]:
    length = f"Content-Length: {len(body)}"
    opening = vm.head("POST", processes.CHAT, length) + body
    slow = crowds.Behaviour(opening, read_bytes_per_s=SLOW_BYTES_PER_S)
    return [slow] * CROWD


def _slow_files(vm: _Vm) -> list[crowds.Behaviour]:
    opening = vm.head("GET", f"/v1/files/{vm.upload()}/content")
    slow = crowds.Behaviour(opening, read_bytes_per_s=SLOW_BYTES_PER_S)
    return [slow] * CROWD


def _pipelined(vm: _Vm) -> list[crowds.Behaviour]:
    request = vm.head("GET", "/v1/models", "Content-Length: 0")
    return [crowds.Behaviour(request * 2000)] * CROWD


def _silent(vm: _Vm) -> list[crowds.Behaviour]:
    del vm
    return [crowds.Behaviour()] * MANY


def _kept(vm: _Vm) -> list[crowds.Behaviour]:
    request = vm.head("GET", "/v1/models", "Content-Length: 0")
    return [crowds.Behaviour(request, request, drip_s=8.0)] * MANY


def _all_at_once(vm: _Vm) -> list[crowds.Behaviour]:
    kinds = (
        _half_bodies(vm),
        _half_chunks(vm),
        _tiny_chunks(vm),
        _dribbled_bodies(vm),
        _dribbled_heads(vm),
        _silent_bodies(vm),
        _half_uploads(vm),
        _slow_streams(vm),
        _slow_files(vm),
        _pipelined(vm),
        _silent(vm),
    )
    return [row for kind in kinds for row in kind[:30]]


CROWDS: tuple[Crowd, ...] = (
    _half_bodies,
    _half_chunks,
    _tiny_chunks,
    _dribbled_bodies,
    _dribbled_heads,
    _silent_bodies,
    _half_uploads,
    _slow_streams,
    _slow_answers,
    _slow_files,
    _pipelined,
    _silent,
    _kept,
    _all_at_once,
)


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.__name__[1:])
def test_callers_are_answered_beside_a_crowd(
    tmp_path: pathlib.Path, crowd: Crowd
) -> None:
    # Guards against a daemon that clients who do not behave end, hang or fill.
    with _running(tmp_path) as vm:
        behaviours = crowd(vm)
        host, _, port = vm.daemon.callers.partition(":")
        with crowds.Crowd((host, int(port)), behaviours) as present:
            present.wait_sent(len(behaviours) // 2)
            vm.check_answers()
        vm.check_answers()
        vm.check_held()


@pytest.mark.parametrize("kind", ["silent", "heads", "bodies"])
@pytest.mark.parametrize("port", ["operators", "peers"])
def test_a_crowd_at_another_port_leaves_room(
    tmp_path: pathlib.Path, port: str, kind: str
) -> None:
    # Guards against operators who are locked out, and against a daemon that is
    # ended, by connections to the ports that are not for callers.
    with _running(tmp_path) as vm:
        head = vm.head("POST", "/v1/vms", LENGTH)
        behaviour = {
            "silent": crowds.Behaviour(),
            "heads": crowds.Behaviour(head[:-2], b"X-More: 1\r\n"),
            "bodies": crowds.Behaviour(head + b"x" * (BODY_BYTES - 1)),
        }[kind]
        daemon = vm.daemon
        address = daemon.operators if port == "operators" else daemon.peers
        host, _, number = address.partition(":")
        with crowds.Crowd((host, int(number)), [behaviour] * MANY) as present:
            present.wait_sent(MANY // 2)
            vm.check_answers()
        vm.check_answers()
        vm.check_held()


def test_the_largest_body_is_served_in_calm(tmp_path: pathlib.Path) -> None:
    # Guards against limits that a single request inside the settings meets.
    with _running(tmp_path) as vm:
        answer = vm.system.complete(vm.daemon, "x" * (BODY_BYTES - 1000))
        assert answer.status == 200, answer
        vm.upload()
        vm.check_held()
