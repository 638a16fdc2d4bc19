"""Callers that keep sending despite errors and record every response."""

import base64
from collections.abc import Callable, Iterable
import http.client
import json
import random
import threading
import time
from typing import Any, Literal, NamedTuple
import urllib.parse

from soak import fleet as fleet_lib
from soak import parts
from soak import prompts
from soak import takeups

Kind = Literal["safe", "unsafe", "once", "resumed"]

DEADLINE_S = 3.0
# The share of the jobs with an item that fails at each run.
_FAILING_JOBS = 0.5
_MAX_TRIES = 3
_HOST = "h.example"
# The path prefixes of the kinds that differ from their names.
_PREFIXES = {"once": "s/once", "resumed": "s"}


class Attempt(NamedTuple):
    """One request and the response that its caller received.

    Attributes:
        attempt_id: The id of the request.
        kind: The kind of the route. `safe` and `unsafe` say whether a request
            may be repeated. `once` and `resumed` answer with streams; only
            those of `resumed` may be resumed after a break.
        key: The API key of the caller.
        body: The request body.
        sent_s: When it was sent, on the monotonic clock.
        prompt: The prompt of a stream; `None` for other kinds.
        vm: The VM that it was sent to.
        is_burst: Whether it belongs to a burst of long prompts.
        response_s: When the response began, on the monotonic clock; a stream's
            response begins with its first event.
        status: The status of the response, 0 without a response.
        has_stamp: Whether the response has the stamp of an upstream.
        echoed_id: The request id in the response.
        answer: The part of the response body that was read.
        is_complete: Whether the response body was read to its end.
    """

    attempt_id: str
    kind: Kind
    key: str
    body: bytes
    sent_s: float
    prompt: prompts.Prompt | None = None
    is_burst: bool = False
    vm: str = ""
    response_s: float = 0.0
    status: int = 0
    has_stamp: bool = False
    echoed_id: str = ""
    answer: bytes = b""
    is_complete: bool = False


class Job:
    """A batch job and the responses that its caller received.

    Attributes:
        job_id: The id of the job.
        items: The ids of its items.
        prompts: The prompts of the items, by their ids.
        statuses: The statuses of the attempts to submit it.
        accepted_s: When it was accepted, on the monotonic clock; 0 if it was
            not.
        cancelled_s: When it was cancelled, on the monotonic clock; 0 if it was
            not.
        is_end_asked: Whether its caller has asked for its end, whatever the
            answer: it may have taken effect.
        results: The results that were read, by their numbers.
        problems: One line for each violated guarantee.
    """

    def __init__(self, job_id: str, drawn: dict[str, prompts.Prompt]) -> None:
        self.job_id = job_id
        self.items = list(drawn)
        self.prompts = drawn
        self.statuses: list[int] = []
        self.accepted_s = 0.0
        self.cancelled_s = 0.0
        self.is_end_asked = False
        self.results: dict[int, Any] = {}
        self.problems: list[str] = []

    @property
    def expected(self) -> set[str]:
        """The items that must end; those too large for an engine wait on."""
        return {
            item
            for item, prompt in self.prompts.items()
            if not prompt.is_too_large
        }

    @property
    def is_read(self) -> bool:
        """Whether the results of all expected items have been read."""
        return self.expected <= {row["id"] for row in self.results.values()}

    def body(self) -> bytes:
        """Returns the request body that submits the job."""
        rows = [
            {
                "id": item,
                "path": f"/b/{self.job_id}/{item}",
                "headers": self.prompts[item].headers,
                "body": base64.b64encode(item.encode()).decode(),
                "tokens": 9,
            }
            for item in self.items
        ]
        return json.dumps({"items": rows}).encode()

    def record_page(self, status: int, after: int, page: Any) -> None:
        """Records a page of results; a result never changes once read."""
        if status in (404, 410) and time.monotonic() > self.accepted_s + 1:
            self.problems.append(
                f"job {self.job_id}: status {status} for its results"
            )
        if status != 200:
            return
        if page["total"] != len(self.items):
            self.problems.append(f"job {self.job_id} has total {page['total']}")
        for number, row in enumerate(page["results"], after):
            if self.results.setdefault(number, row) != row:
                self.problems.append(
                    f"job {self.job_id}: result {number} has changed"
                )


class Callers:
    """Threads that send requests and jobs to the VMs through their links.

    Attributes:
        attempts: The requests that were sent, without probes and job calls.
        jobs: The jobs, also those that were not accepted.
        probes: The ids of the probe requests.
        poisons: The bodies of the requests that crash engines, by the
            ids of attempts.
        take_ups: Callers that take up their streams at other VMs.
        parts: Callers whose prompts share a part that crashes engines.
    """

    def __init__(self, fleet: fleet_lib.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._seed = rng.random()
        self.attempts: list[Attempt] = []
        self.jobs: list[Job] = []
        self.probes: set[str] = set()
        self.poisons: dict[str, bytes] = {}
        self.take_ups = takeups.TakeUps(fleet, str(self._seed))
        self.parts = parts.Parts(fleet, str(self._seed))
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, *, mostly_jobs: bool = False) -> None:
        """Starts the threads.

        Args:
            mostly_jobs: Whether to send few requests beside jobs, so that
                connections stay idle for a while.
        """
        if mostly_jobs:
            self._start_threads([self._send_requests] * 4 + [self._submit_once])
            return
        self._start_threads(
            [self._send_requests] * 5
            + [self._exceed_rate]
            + [self._submit_jobs] * 2
            + [self._send_bursts] * 12
            + [self._send_poisons] * 2
            + [self._submit_once] * 2
        )
        for number, run in enumerate(
            (self.take_ups.run, self.take_ups.run, self.parts.run)
        ):
            thread = threading.Thread(
                target=run, args=(f"n{number}", self._stopping), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def _start_threads(
        self, targets: Iterable[Callable[[random.Random, str], None]]
    ) -> None:
        for number, target in enumerate(targets):
            rng = random.Random(f"{self._seed} {number}")
            thread = threading.Thread(
                target=target, args=(rng, f"c{number}"), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stops sending and waits until open calls have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(60.0)

    def _send_requests(self, rng: random.Random, name: str) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        # Separate, so that a seed's other requests do not depend on prompts.
        prompts_rng = random.Random(f"{self._seed} {name} prompts")
        for number in range(100_000):
            if self._stopping.wait(rng.uniform(0.01, 0.1)):
                return
            kinds: tuple[Kind, ...] = ("safe", "unsafe", "once", "resumed")
            kind = rng.choice(kinds)
            key = rng.choice(["key-0", "key-0", "key-0", "key-1", "wrong"])
            is_stream = kind in ("once", "resumed")
            prompt = prompts.draw(prompts_rng) if is_stream else None
            for retry in range(_MAX_TRIES):
                vm = rng.choice(self._fleet.vms)
                if not retry and self._fleet.surged_vm is not None:
                    vm = self._fleet.surged_vm
                    connections.clear()
                attempt_id = f"{name}.{number}.{retry}"
                attempt = self._send(
                    connections, vm, attempt_id, kind, key, prompt
                )
                if not _may_retry(attempt):
                    break
                self._stopping.wait(0.2)

    def _exceed_rate(self, rng: random.Random, name: str) -> None:
        """Sends far more than a customer's configured rate allows."""
        connections: dict[str, http.client.HTTPConnection] = {}
        for number in range(100_000):
            if self._stopping.wait(0.02):
                return
            vm = rng.choice(self._fleet.vms)
            self._send(
                connections, vm, f"{name}.{number}", "safe", "key-limited"
            )

    def _send_bursts(self, rng: random.Random, name: str) -> None:
        """Sends long prompts without pauses during bursts."""
        connections: dict[str, http.client.HTTPConnection] = {}
        for number in range(100_000):
            while not self._fleet.long_prompts.wait(0.1):
                if self._stopping.is_set():
                    return
            self._send(
                connections,
                rng.choice(self._fleet.vms),
                f"{name}.{number}",
                "resumed",
                "key-0",
                prompts.draw_long(rng),
                is_burst=True,
            )
            self._stopping.wait(0.02)

    def _send_poisons(self, rng: random.Random, name: str) -> None:
        """Sends each request that crashes engines again and again."""
        for number in range(100_000):
            if self._stopping.wait(rng.uniform(0.05, 0.5)):
                return
            for body in tuple(self._fleet.poisons):
                attempt_id = f"{name}.{number}.{body.decode().split()[1]}"
                self.poisons[attempt_id] = body
                vm = rng.choice(self._fleet.vms)
                self._send_poison(vm, attempt_id, body)

    def _send_poison(
        self, vm: fleet_lib.Vm, attempt_id: str, body: bytes
    ) -> None:
        kind = body.decode().split()[1]
        path = f"/{_PREFIXES.get(kind, kind)}/poison"
        self.call(vm, "POST", path, body, attempt_id)

    def _send(
        self,
        connections: dict[str, http.client.HTTPConnection],
        vm: fleet_lib.Vm,
        attempt_id: str,
        kind: Kind,
        key: str,
        prompt: prompts.Prompt | None = None,
        *,
        is_burst: bool = False,
    ) -> Attempt:
        prefix = _PREFIXES.get(kind, kind)
        body = f"body of {attempt_id}".encode()
        attempt = Attempt(
            attempt_id,
            kind,
            key,
            body,
            time.monotonic(),
            prompt,
            is_burst,
            vm.name,
        )
        # A connection is reused until it fails, even if it has gone silent or
        # leads to a process that is stopping.
        connection = connections.pop(vm.name, None)
        if connection is None:
            connection = http.client.HTTPConnection(
                *vm.front.address, timeout=DEADLINE_S
            )
        try:
            connection.request(
                "POST",
                f"/{prefix}/{attempt_id}",
                body,
                {
                    "Host": _HOST,
                    "Bulrushdeal-Request-Attempt-Id": attempt_id,
                    "Bulrushdeal-Credential": key,
                    "Bulrushdeal-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    **(prompt.headers if prompt else {}),
                },
            )
            response = connection.getresponse()
            attempt = attempt._replace(
                response_s=time.monotonic(),
                status=response.status,
                has_stamp=bool(response.getheader("Bulrushdeal-Server-Stamp")),
                echoed_id=response.getheader("Bulrushdeal-Request-Attempt-Id")
                or "",
            )
            try:
                attempt = attempt._replace(
                    answer=response.read(), is_complete=True
                )
                connections[vm.name] = connection
            except http.client.IncompleteRead as error:
                attempt = attempt._replace(answer=error.partial)
        except (OSError, http.client.HTTPException):
            connection.close()
        self.attempts.append(attempt)
        return attempt

    def call(
        self,
        vm: fleet_lib.Vm,
        method: str,
        path: str,
        body: bytes = b"",
        attempt_id: str = "read",
    ) -> tuple[int, bytes]:
        """Makes one call with `key-0` on a new connection.

        Returns:
            The status and the body; status 0 if there is no response.
        """
        connection = http.client.HTTPConnection(*vm.front.address, timeout=4.0)
        headers = {
            "Host": _HOST,
            "Bulrushdeal-Request-Attempt-Id": attempt_id,
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
        """Returns whether a VM serves a request that may be repeated."""
        attempt_id = f"probe-{len(self.probes)}"
        self.probes.add(attempt_id)
        status, _ = self.call(
            vm, "POST", f"/safe/{attempt_id}", b"", attempt_id
        )
        return status == 200

    def probe_stream(self, vm: fleet_lib.Vm, prompt: prompts.Prompt) -> Attempt:
        """Sends a stream with a prompt to a VM."""
        attempt_id = f"stream-{len(self.attempts)}"
        return self._send({}, vm, attempt_id, "once", "key-0", prompt)

    def _submit_jobs(self, rng: random.Random, name: str) -> None:
        prompts_rng = random.Random(f"{self._seed} {name} prompts")
        failing_rng = random.Random(f"{self._seed} {name} failing")
        for number in range(10_000):
            if self._stopping.wait(rng.uniform(0.5, 1.5)):
                return
            job_id = f"{name}-j{number}"
            items = [f"{job_id}-{item}" for item in range(rng.randint(1, 6))]
            drawn = {item: prompts.draw(prompts_rng) for item in items}
            if failing_rng.random() < _FAILING_JOBS:
                failing = f"{job_id}-failing"
                drawn[failing] = prompts.draw_short(failing_rng)
                status = failing_rng.choice((500, 422))
                self._fleet.statuses[failing.encode()] = status
            job = Job(job_id, drawn)
            self.jobs.append(job)
            for _ in range(_MAX_TRIES):
                vm = rng.choice(self._fleet.vms)
                status, _ = self.call(
                    vm, "POST", f"/b/{job_id}", job.body(), job_id
                )
                job.statuses.append(status)
                if status == 202:
                    job.accepted_s = time.monotonic()
                    break
                self._stopping.wait(0.3)
            if not job.accepted_s:
                continue
            for _ in range(rng.randint(1, 5)):
                self.read_results(rng.choice(self._fleet.vms), job)
            if rng.random() < 0.15:
                vm = rng.choice(self._fleet.vms)
                job.is_end_asked = True
                status, _ = self.call(vm, "DELETE", f"/lots/{job_id}")
                if status == 200:
                    job.cancelled_s = time.monotonic()

    def _submit_once(self, rng: random.Random, name: str) -> None:
        """Submits jobs of one item, and takes the first answer for final."""
        for number in range(10_000):
            if self._stopping.wait(rng.uniform(0.1, 0.4)):
                return
            job_id = f"{name}-j{number}"
            job = Job(job_id, {f"{job_id}-0": prompts.draw_short(rng)})
            self.jobs.append(job)
            status, _ = self.call(
                rng.choice(self._fleet.vms),
                "POST",
                f"/b/{job_id}",
                job.body(),
                job_id,
            )
            job.statuses.append(status)
            if status == 202:
                job.accepted_s = time.monotonic()

    def read_results(
        self, vm: fleet_lib.Vm, job: Job, *, from_start: bool = False
    ) -> bool:
        """Reads a job's next results; returns whether all expected are read.

        Args:
            vm: The VM to read from.
            job: The job.
            from_start: Whether to read again what was read before.
        """
        after = 0 if from_start else len(job.results)
        query = urllib.parse.urlencode({"after": after})
        status, body = self.call(vm, "GET", f"/lots/{job.job_id}?{query}")
        job.record_page(
            status, after, json.loads(body) if status == 200 else None
        )
        return job.is_read


def _may_retry(attempt: Attempt) -> bool:
    if attempt.status in (429, 503):
        return True
    return attempt.kind == "safe" and attempt.status not in (200, 401, 404)
