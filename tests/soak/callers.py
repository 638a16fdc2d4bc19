"""Callers that go on whatever happens, and note all that they get."""

import base64
import http.client
import json
import random
import threading
import time
from typing import Any, Literal, NamedTuple
import urllib.parse

from soak import fleet as fleet_lib

Kind = Literal["safe", "unsafe", "once", "resumed"]

_DEADLINE_S = 3.0
_TRIES = 3
_HOST = "h.example"


class Attempt(NamedTuple):
    """One request as its caller saw it.

    Attributes:
        attempt: Its id.
        kind: What the route allows to be repeated.
        key: The caller's key.
        body: What was sent.
        sent_s: When, by the monotonic clock.
        status: 0 if there was no answer.
        signed: Whether an upstream vouches for it.
        echoed: The id in the answer.
        answer: What was read of the body.
        is_whole: Whether the answer ended as it should.
    """

    attempt: str
    kind: Kind
    key: str
    body: bytes
    sent_s: float
    status: int = 0
    signed: bool = False
    echoed: str = ""
    answer: bytes = b""
    is_whole: bool = False


class Job:
    """A batch job as its caller saw it."""

    def __init__(self, job: str, items: list[str]) -> None:
        self.job = job
        self.items = items
        self.statuses: list[int] = []
        self.accepted_s = 0.0
        self.ended_s = 0.0
        self.rows: dict[int, Any] = {}
        self.problems: list[str] = []

    def body(self) -> bytes:
        """Returns the job as it is submitted."""
        rows = [
            {
                "id": item,
                "path": f"/b/{self.job}/{item}",
                "headers": {},
                "body": base64.b64encode(item.encode()).decode(),
                "tokens": 9,
            }
            for item in self.items
        ]
        return json.dumps({"items": rows}).encode()

    def read(self, status: int, after: int, page: Any) -> None:
        """Notes a page of results; what was read never changes."""
        if status in (404, 410) and time.monotonic() > self.accepted_s + 1:
            self.problems.append(f"job {self.job} is {status}")
        if status != 200:
            return
        if page["total"] != len(self.items):
            self.problems.append(f"job {self.job} has total {page['total']}")
        for number, row in enumerate(page["results"], after):
            if self.rows.setdefault(number, row) != row:
                self.problems.append(f"job {self.job}: {number} has changed")


class Callers:
    """Threads that send requests and jobs over the VMs' links."""

    def __init__(self, fleet: fleet_lib.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._seed = rng.random()
        self.attempts: list[Attempt] = []
        self.jobs: list[Job] = []
        self.probes: set[str] = set()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Begins to send."""
        targets = [self._request] * 5 + [self._press] + [self._submit] * 2
        for number, target in enumerate(targets):
            rng = random.Random(f"{self._seed} {number}")
            thread = threading.Thread(
                target=target, args=(rng, f"c{number}"), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Ends sending and waits for what is open."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(60.0)

    def _request(self, rng: random.Random, name: str) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        for number in range(100_000):
            if self._stopping.wait(rng.uniform(0.01, 0.1)):
                return
            kinds: tuple[Kind, ...] = ("safe", "unsafe", "once", "resumed")
            kind = rng.choice(kinds)
            key = rng.choice(["key-0", "key-0", "key-0", "key-1", "wrong"])
            for again in range(_TRIES):
                vm = rng.choice(self._fleet.vms)
                attempt = f"{name}.{number}.{again}"
                made = self._send(connections, vm, attempt, kind, key)
                if not _may_retry(made):
                    break
                self._stopping.wait(0.2)

    def _press(self, rng: random.Random, name: str) -> None:
        """Sends far more than a customer's row allows."""
        connections: dict[str, http.client.HTTPConnection] = {}
        for number in range(100_000):
            if self._stopping.wait(0.02):
                return
            vm = rng.choice(self._fleet.vms)
            self._send(
                connections, vm, f"{name}.{number}", "safe", "key-limited"
            )

    def _send(
        self,
        connections: dict[str, http.client.HTTPConnection],
        vm: fleet_lib.Vm,
        attempt: str,
        kind: Kind,
        key: str,
    ) -> Attempt:
        prefix = {"once": "s/once", "resumed": "s"}.get(kind, kind)
        body = f"body of {attempt}".encode()
        made = Attempt(attempt, kind, key, body, time.monotonic())
        # A kept connection is used until it fails, also one that went silent
        # or leads to a process that stops.
        connection = connections.pop(vm.name, None)
        if connection is None:
            connection = http.client.HTTPConnection(
                *vm.front.address, timeout=_DEADLINE_S
            )
        try:
            connection.request(
                "POST",
                f"/{prefix}/{attempt}",
                body,
                {
                    "Host": _HOST,
                    "Bulrushdeal-Request-Attempt-Id": attempt,
                    "Bulrushdeal-Credential": key,
                    "Bulrushdeal-Deadline-Ms": str(int(_DEADLINE_S * 1000)),
                },
            )
            response = connection.getresponse()
            made = made._replace(
                status=response.status,
                signed=bool(response.getheader("Bulrushdeal-Server-Stamp")),
                echoed=response.getheader("Bulrushdeal-Request-Attempt-Id")
                or "",
            )
            try:
                made = made._replace(answer=response.read(), is_whole=True)
                connections[vm.name] = connection
            except http.client.IncompleteRead as error:
                made = made._replace(answer=error.partial)
        except (OSError, http.client.HTTPException):
            connection.close()
        self.attempts.append(made)
        return made

    def call(
        self,
        vm: fleet_lib.Vm,
        method: str,
        path: str,
        body: bytes = b"",
        attempt: str = "read",
    ) -> tuple[int, bytes]:
        """Makes one call about a job; status 0 if there is no answer."""
        connection = http.client.HTTPConnection(*vm.front.address, timeout=4.0)
        headers = {
            "Host": _HOST,
            "Bulrushdeal-Request-Attempt-Id": attempt,
            "Bulrushdeal-Credential": "key-0",
            "Bulrushdeal-Wait-Ms": "300",
        }
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def probe(self, vm: fleet_lib.Vm) -> bool:
        """Tells whether a VM serves a request that may be repeated."""
        attempt = f"probe-{len(self.probes)}"
        self.probes.add(attempt)
        status, _ = self.call(vm, "POST", f"/safe/{attempt}", b"", attempt)
        return status == 200

    def _submit(self, rng: random.Random, name: str) -> None:
        for number in range(10_000):
            if self._stopping.wait(rng.uniform(0.5, 1.5)):
                return
            title = f"{name}-j{number}"
            items = [f"{title}-{item}" for item in range(rng.randint(1, 6))]
            job = Job(title, items)
            self.jobs.append(job)
            for _ in range(_TRIES):
                vm = rng.choice(self._fleet.vms)
                status, _ = self.call(
                    vm, "POST", f"/b/{title}", job.body(), title
                )
                job.statuses.append(status)
                if status == 202:
                    job.accepted_s = time.monotonic()
                    break
                self._stopping.wait(0.3)
            if not job.accepted_s:
                continue
            for _ in range(rng.randint(1, 5)):
                self.read(rng.choice(self._fleet.vms), job)
            if rng.random() < 0.15:
                vm = rng.choice(self._fleet.vms)
                status, _ = self.call(vm, "DELETE", f"/lots/{title}")
                if status == 200:
                    job.ended_s = time.monotonic()

    def read(self, vm: fleet_lib.Vm, job: Job) -> bool:
        """Reads a job's next results; true once all are there."""
        after = len(job.rows)
        query = urllib.parse.urlencode({"after": after})
        status, body = self.call(vm, "GET", f"/lots/{job.job}?{query}")
        job.read(status, after, json.loads(body) if status == 200 else None)
        return len(job.rows) == len(job.items)


def _may_retry(made: Attempt) -> bool:
    if made.status in (429, 503):
        return True
    return made.kind == "safe" and made.status not in (200, 401, 404)
