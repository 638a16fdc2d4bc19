"""A gateway process with the memory and descriptors of a small VM."""

from collections.abc import Iterator
import contextlib
import http
import http.client
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import Any, NamedTuple
import urllib.parse

from soak import addresses
from soak import store as store_lib
from support import crowdmeter
from support import endlessupstream
from support import gatewayscene
from support import plainupstream

_ROOT = pathlib.Path(__file__).resolve().parents[2]
# The smallest entry VM of the deployments has this much memory.
MEMORY_MB = 128
# Fewer than any VM has, so that a small crowd can exhaust them. The platform
# keeps 200 of them for files.
MAX_DESCRIPTORS = 1200
RESERVED_DESCRIPTORS = 200
CALLERS_PORT = 8405
READY_PORT = 8406
PEERS_PORT = 7660
METRICS_PORT = 9464
_UPSTREAMS = 3
_SLOTS = 400
_START_TIMEOUT_S = 30.0
_ANSWER_TIMEOUT_S = 90.0
_ATTEMPT_TIMEOUT_S = 10.0
_PAUSE_S = 0.2
_SLOW_PIECE_BYTES = 64 * 1024
_SLOW_PAUSE_S = 0.1
_MB = 1_000_000
# Longer than a test looks at its crowd.
_ROUTE_TIMEOUT_MS = 60_000

_SETTINGS = """
node = "vm0"
zone = "d0"
ip = "{ip}"
internal_ports = [7660, 7675]
[listen]
front = "{ip}:8405"
ready = "{ip}:8406"
[limits]
cpu_share = 0.5
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
grace_s = 5
quota_slack = 20
quota_window_s = 5
[platform]
address = "{store}"
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Limits(NamedTuple):
    """What a VM has, and how long its routes give a request.

    Attributes:
        descriptors: The descriptors of its process.
        route_timeout_ms: The timeout of each route.
    """

    descriptors: int = MAX_DESCRIPTORS
    route_timeout_ms: int = _ROUTE_TIMEOUT_MS


DEFAULT_LIMITS = Limits()


def _configuration(route_timeout_ms: int) -> dict[str, Any]:
    value = gatewayscene.configuration(
        services=[
            {
                "name": "llm",
                "health_check": "/healthz",
                "max_connections": 2000,
                # Batch items run at engines.
                "engine": {"slots": _SLOTS, "kv_capacity_tokens": 10_000_000},
            },
            {
                "name": "endless",
                "health_check": "/healthz",
                "max_connections": 2000,
            },
        ]
    )
    for row in value["routes"]:
        row["timeout_ms"] = route_timeout_ms
        row["service"] = "llm"
    value["routes"].append(
        gatewayscene.route(
            "endless",
            "/endless/",
            "safe",
            timeout_ms=route_timeout_ms,
            service="endless",
        )
    )
    return value


class CrowdVm:
    """One VM's gateway, a store and upstreams with much room.

    Attributes:
        host: The VM's loopback address.
        process: The gateway's process.
    """

    def __init__(self, folder: pathlib.Path, limits: Limits) -> None:
        self._limits = limits
        self._network = addresses.Network()
        self.host = self._network.host(1)
        shared_host = self._network.shared_host
        self._store = store_lib.Store()
        self._upstreams = [
            plainupstream.PlainUpstream(f"i-{number}", shared_host)
            for number in range(_UPSTREAMS)
        ]
        self._store_server = store_lib.StoreServer(
            self._store, lambda field, name: "", shared_host
        )
        self._endless: endlessupstream.EndlessUpstream | None = None
        self._more: list[endlessupstream.EndlessUpstream] = []
        self._write_records()
        store_host, store_port = self._store_server.address
        settings = folder / "vm0.toml"
        settings.write_text(
            _SETTINGS.format(
                ip=self.host,
                memory_mb=MEMORY_MB,
                max_fds=limits.descriptors,
                store=f"{store_host}:{store_port}",
            )
        )
        self._log = folder / "vm0.log"
        environment = os.environ | {"BULRUSHDEAL_CONFIG": str(settings)}
        with self._log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(_ROOT / "platform" / "run.py")],
                env=environment,
                stdout=log,
                stderr=log,
            )
        ports = (CALLERS_PORT, READY_PORT, PEERS_PORT, METRICS_PORT)
        self._meter = crowdmeter.Meter(
            self.process.pid, tuple(f"{self.host}:{port}" for port in ports)
        )

    def _write_records(self) -> None:
        rows = self._store.rows
        value = _configuration(self._limits.route_timeout_ms)
        rows.write("op/config", json.dumps(value).encode())
        for upstream in self._upstreams:
            self._list(upstream.instance, "llm", upstream.address)

    def _list(self, instance: str, service: str, address: str) -> None:
        entry = {
            "service": service,
            "address": address,
            "zone": "d0",
            "slots": _SLOTS,
            "state": "ready",
            "sequence": 1,
            "born": int(time.time() * 1000),
            "cold_remaining_ms": 0,
            "version": "v1",
        }
        self._store.rows.write(
            f"servers/{instance}", json.dumps(entry).encode()
        )

    def add_endless_upstream(self) -> None:
        """Adds an upstream whose answers under `/endless/` have no end."""
        self._endless = endlessupstream.EndlessUpstream(
            self._network.shared_host
        )
        self._list(self._endless.instance, "endless", self._endless.address)
        crowdmeter.wait_until(
            self._has_endless_answer, _START_TIMEOUT_S, "it is not listed"
        )

    def make_engines_endless(self) -> None:
        """Has all engines' answers under `/b/` end no more."""
        for number, row in enumerate(self._upstreams):
            self._store.rows.write(f"servers/{row.instance}", None)
            endless = endlessupstream.EndlessUpstream(self._network.shared_host)
            self._more.append(endless)
            self._list(f"i-endless{number}", "llm", endless.address)

    def _has_endless_answer(self) -> bool:
        """Returns whether an answer without end begins, and drops it."""
        connection = http.client.HTTPConnection(
            self.host, CALLERS_PORT, timeout=_ATTEMPT_TIMEOUT_S
        )
        try:
            connection.request(
                "POST", "/endless/chunks", b"", request_headers()
            )
            return connection.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self) -> None:
        """Waits until the VM is ready."""
        crowdmeter.wait_until(
            self.is_ready, _START_TIMEOUT_S, "the VM did not become ready"
        )

    def is_ready(self) -> bool:
        """Returns whether the readiness check succeeds."""
        return self._try("GET", "/ready", b"", READY_PORT)[0] == 200

    def check_ready(self) -> None:
        """Fails unless the readiness check succeeds within some seconds."""
        crowdmeter.wait_until(self.is_ready, _ATTEMPT_TIMEOUT_S, self.tail())

    def check_answers(self, body: bytes = b"hi", chunks: int = 0) -> None:
        """Fails unless an ordinary request is answered, after some tries.

        Args:
            body: The body of the request.
            chunks: In how many chunks to send it; 0 for none, with a length.
        """
        self._check(
            "/safe/ordinary", body, 200, b"answer to /safe/ordinary", chunks
        )

    def check_served(self, path: str, attempt: str) -> None:
        """Fails unless a request with an id is answered, after some tries."""
        self._check(path, b"hi", 200, b"", 0, attempt)

    def check_job(self, job: str, body: bytes) -> None:
        """Fails unless a job is accepted, after some tries."""
        self._check("/b/jobs", body, 202, b"", 0, job)

    def _check(
        self,
        path: str,
        body: bytes,
        status: int,
        answer: bytes,
        chunks: int = 0,
        attempt: str = "",
    ) -> None:
        end_s = time.monotonic() + _ANSWER_TIMEOUT_S
        seen: list[int] = []
        while time.monotonic() < end_s:
            assert self.process.poll() is None, self.tail()
            row = self._try("POST", path, body, CALLERS_PORT, chunks, attempt)
            seen.append(row[0])
            if row[0] == status and answer in row[1]:
                return
            time.sleep(_PAUSE_S)
        raise AssertionError(f"no {status} for {path}: {seen}\n{self.tail()}")

    def wait_results(self, job: str, count: int, after: int = 0) -> None:
        """Waits until a page of a job's results holds so many.

        Args:
            job: The job's id.
            count: How many results.
            after: The position of the first.
        """

        def has_results() -> bool:
            path = f"/lots/{job}?after={after}"
            status, data = self._try("GET", path, b"", CALLERS_PORT)
            return status == 200 and len(json.loads(data)["results"]) >= count

        crowdmeter.wait_until(
            has_results, _ANSWER_TIMEOUT_S, "the job has no results"
        )

    def read_slowly(self, path: str) -> int:
        """Returns how many bytes of a body arrive that is read slowly."""
        connection = http.client.HTTPConnection(
            self.host, CALLERS_PORT, timeout=_ANSWER_TIMEOUT_S
        )
        try:
            connection.request("POST", path, b"", request_headers())
            answer = connection.getresponse()
            size_bytes = 0
            while piece := answer.read(_SLOW_PIECE_BYTES):
                size_bytes += len(piece)
                time.sleep(_SLOW_PAUSE_S)
            return size_bytes
        finally:
            connection.close()

    def _try(
        self,
        method: str,
        path: str,
        body: bytes,
        port: int,
        chunks: int = 0,
        attempt: str = "",
    ) -> tuple[int, bytes]:
        """Returns the status and the body of an answer; 0 for none."""
        connection = http.client.HTTPConnection(
            self.host, port, timeout=_ATTEMPT_TIMEOUT_S
        )
        headers = request_headers(attempt)
        sent: Any = body
        if chunks:
            size = -(-len(body) // chunks)
            starts = range(0, len(body), size)
            sent = (body[start : start + size] for start in starts)
        try:
            connection.request(method, path, sent, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def check_held(self) -> None:
        """Fails unless the process lives and stayed within the VM's limits."""
        assert self.process.poll() is None, self.tail()
        most = self._meter.stop()
        print(f"held at most: {most}")
        assert most.memory_bytes <= MEMORY_MB * _MB, most
        allowed = self._limits.descriptors - RESERVED_DESCRIPTORS
        assert most.descriptors <= allowed, most

    def tail(self) -> str:
        """Returns the end of the process's log."""
        return self._log.read_text(errors="replace")[-2000:]

    def close(self) -> None:
        """Ends the process and the stand-ins."""
        self._meter.stop()
        self.process.kill()
        self.process.wait()
        self._store_server.close()
        for upstream in self._upstreams:
            upstream.close()
        for endless in self._more:
            endless.close()
        if self._endless is not None:
            self._endless.close()
        self._store.close()
        self._network.close()


@contextlib.contextmanager
def running(
    folder: pathlib.Path, limits: Limits = DEFAULT_LIMITS
) -> Iterator[CrowdVm]:
    """Runs a VM that is ready."""
    vm = CrowdVm(folder, limits)
    try:
        vm.wait_ready()
        vm.check_answers()
        yield vm
    finally:
        vm.close()


_attempts = iter(range(1, 1 << 40))


def request_headers(attempt: str = "") -> dict[str, str]:
    """Returns the headers of a request with an id of its own."""
    name = attempt or f"a{os.getpid()}x{next(_attempts)}"
    return gatewayscene.HEADERS | {"Bulrushdeal-Request-Attempt-Id": name}


def head(method: str, path: str, *more: str, attempt: str = "") -> bytes:
    """Returns the bytes of a request's head."""
    headers = request_headers(attempt)
    lines = [f"{method} {urllib.parse.quote(path, safe='/?=&')} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join((*lines, *more, "", "")).encode()
