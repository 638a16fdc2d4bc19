"""Real daemons with their stand-ins, and clients that verify answers."""

from collections.abc import Iterator, Sequence
import contextlib
import http.client
import json
import pathlib
import threading
from typing import Any, NamedTuple

from standins import deployment as deployment_lib
from standins import engine
from standins import fleet as fleet_lib

CHAT = "/v1/chat/completions"
WAIT_S = 60.0


def chat_call(
    text: str, max_tokens: int, stream: bool = False
) -> dict[str, Any]:
    return {
        "model": "textbook",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


def expected_text(call: dict[str, Any]) -> str:
    prompt = engine.prompt_text(call)
    return "".join(engine.words(prompt, call["max_tokens"]))


class Stream:
    """One streamed completion, read on a separate thread."""

    def __init__(self, address: str, key: str, text: str, tokens: int) -> None:
        self.call = chat_call(text, tokens, stream=True)
        self.status = 0
        self.text = ""
        self.error = ""
        self.is_whole = False
        self._address = address
        self._key = key
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def has_begun(self) -> bool:
        return bool(self.text) or self.has_ended()

    def has_ended(self) -> bool:
        return not self._thread.is_alive()

    def check(self) -> None:
        """Fails unless the complete answer to this call arrived."""
        fleet_lib.poll(self.has_ended, WAIT_S, "the stream ends")
        assert (self.status, self.error) == (200, "")
        assert self.is_whole
        assert self.text == expected_text(self.call)

    def _run(self) -> None:
        try:
            self._read()
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)

    def _read(self) -> None:
        connection = http.client.HTTPConnection(self._address, timeout=WAIT_S)
        body = json.dumps(self.call)
        headers = deployment_lib.bearer(self._key)
        connection.request("POST", CHAT, body, headers)
        response = connection.getresponse()
        self.status = response.status
        if response.status != 200:
            self.error = response.read().decode()
            return
        for line in response:
            data = line.decode().removeprefix("data: ").strip()
            if data == "[DONE]":
                self.is_whole = True
            elif data:
                self._add(json.loads(data))
        connection.close()

    def _add(self, event: Any) -> None:
        if "error" in event:
            self.error = str(event["error"])
            return
        for choice in event.get("choices", ()):
            self.text += choice.get("delta", {}).get("content") or ""


class KeepAliveClient:
    """Sends requests one after another and reuses its connection if possible.

    It checks the VM's health on each new connection, as the load balancer does.
    """

    def __init__(self, address: str, key: str, name: str) -> None:
        self.answered = 0
        self.problems: list[str] = []
        # Why the health check failed, after which a load balancer would use
        # another VM; empty if it did not fail.
        self.leave_reason = ""
        self._address = address
        self._key = key
        self._name = name
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def has_outcome(self) -> bool:
        """Returns whether a request was answered or the client gave up."""
        return bool(self.answered or self.problems or self.leave_reason)

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join(WAIT_S)

    def _run(self) -> None:
        while not self._stopping.is_set():
            connection = http.client.HTTPConnection(self._address, timeout=60)
            try:
                connection.request("GET", "/healthz")
                health = connection.getresponse()
            except (OSError, http.client.HTTPException) as error:
                self.leave_reason = repr(error)
                return
            body = health.read()
            if health.status != 200 or health.will_close:
                self.leave_reason = f"{health.status} {body!r}"
                return
            if not self._send_requests(connection):
                return

    def _send_requests(self, connection: http.client.HTTPConnection) -> bool:
        while not self._stopping.is_set():
            call = chat_call(f"{self._name} {self.answered}", 3)
            headers = deployment_lib.bearer(self._key)
            try:
                connection.request("POST", CHAT, json.dumps(call), headers)
                response = connection.getresponse()
                body = json.loads(response.read())
            except (OSError, http.client.HTTPException, ValueError) as error:
                self.problems.append(repr(error))
                return False
            if response.status != 200:
                self.problems.append(str(body))
                return False
            content = body["choices"][0]["message"]["content"]
            if content != expected_text(call):
                self.problems.append(f"answer to another request: {content}")
            self.answered += 1
            if response.will_close:
                return True
        return False


class Result(NamedTuple):
    """One line of a job's results."""

    custom_id: str
    status: int
    text: str


class System:
    """A running deployment, used with the key of one customer."""

    def __init__(self, deployment: deployment_lib.Deployment, key: str) -> None:
        self.deployment = deployment
        self.daemons = deployment.daemons
        self.key = key
        self.headers = deployment_lib.bearer(key)

    def check_admitted(self, daemon: deployment_lib.Daemon) -> None:
        """Fails if a VM that reports that it is ready refuses a request."""
        answer = self.complete(daemon, "first")
        assert answer.status == 200, (daemon.vm, answer.body)

    def dump(self, daemon: deployment_lib.Daemon) -> Any:
        """Returns the state dump of a daemon's services."""
        headers = deployment_lib.bearer(deployment_lib.OPERATOR_TOKEN)
        answer = self.deployment.call(
            "GET", daemon.operators, "/v1/dump", headers=headers
        )
        return answer.value()

    def complete(
        self, daemon: deployment_lib.Daemon, text: str
    ) -> deployment_lib.Answer:
        return self.deployment.call(
            "POST", daemon.callers, CHAT, chat_call(text, 3), self.headers
        )

    def stream(
        self, daemon: deployment_lib.Daemon, text: str, tokens: int
    ) -> Stream:
        return Stream(daemon.callers, self.key, text, tokens)

    def submit(
        self, daemon: deployment_lib.Daemon, items: int, tokens: int
    ) -> str:
        """Submits a job and returns its ID after the acknowledgement."""
        path = self.deployment.fleet.folder / "items.jsonl"
        lines = [
            json.dumps(
                {
                    "custom_id": f"item-{index}",
                    "method": "POST",
                    "url": CHAT,
                    "body": chat_call(f"quiz {index}", tokens),
                }
            )
            for index in range(items)
        ]
        path.write_text("\n".join(lines) + "\n")
        command = self.deployment.as_customer(
            daemon, self.key, "job", "submit", str(path), "--json"
        )
        output = self.deployment.check(command).output
        return str(json.loads(output[output.index("{") :])["id"])

    def job(self, daemon: deployment_lib.Daemon, job: str) -> Any:
        """Returns a job as its customer sees it; empty if it is unavailable."""
        answer = self.deployment.call(
            "GET", daemon.callers, f"/v1/batches/{job}", headers=self.headers
        )
        # While VMs stop, a record may be unavailable for a while. An internal
        # error, or an answer that the job does not exist, is always a fault.
        assert answer.status in (200, 503), answer.body
        return answer.value() if answer.status == 200 else {}

    def done(self, daemon: deployment_lib.Daemon, job: str) -> int:
        counts = self.job(daemon, job).get("request_counts", {})
        return int(counts.get("completed", 0))

    def wait_completed(
        self, daemon: deployment_lib.Daemon, job: str, timeout_s: float = 120.0
    ) -> None:
        fleet_lib.poll(
            lambda: self.job(daemon, job).get("status") == "completed",
            timeout_s,
            f"{job} is completed",
        )

    def results(self, daemon: deployment_lib.Daemon, job: str) -> list[Result]:
        file = self.job(daemon, job)["output_file_id"]
        answer = self.deployment.call(
            "GET",
            daemon.callers,
            f"/v1/files/{file}/content",
            headers=self.headers,
        )
        assert answer.status == 200, (answer.status, answer.body[:500])
        return [_result(line) for line in answer.body.splitlines()]

    def check_results(
        self, daemon: deployment_lib.Daemon, job: str, items: int, tokens: int
    ) -> None:
        """Fails unless each item has exactly one result, and the right one."""
        wanted = [
            Result(
                f"item-{index}",
                200,
                expected_text(chat_call(f"quiz {index}", tokens)),
            )
            for index in range(items)
        ]
        assert sorted(self.results(daemon, job)) == sorted(wanted)


def _result(line: bytes) -> Result:
    value = json.loads(line)
    response = value["response"]
    return Result(
        value["custom_id"],
        response["status_code"],
        response["body"]["choices"][0]["message"]["content"],
    )


@contextlib.contextmanager
def running(
    folder: pathlib.Path,
    failure_domains: Sequence[str] = ("north", "south"),
    engines: int = 2,
    engine_arguments: Sequence[str] = (),
    settings: dict[str, str] | None = None,
    has_links: bool = False,
) -> Iterator[System]:
    """Runs a daemon in each failure domain, and engines spread over them.

    If the test fails, it prints the logs and the state of the limits.
    """
    with fleet_lib.Fleet(folder) as fleet:
        deployment = deployment_lib.Deployment(fleet)
        deployment.has_links = has_links
        try:
            deployment.start_platform()
            for domain in failure_domains:
                deployment.start_daemon(f"vm-{domain}", domain, settings)
            for daemon in deployment.daemons:
                deployment.wait_started(daemon)
            for index in range(engines):
                domain = failure_domains[index % len(failure_domains)]
                deployment.add_engine(
                    f"engine-{index}", domain, engine_arguments
                )
            key = deployment.create_customer("kisumu")
            for daemon in deployment.daemons:
                deployment.wait_ready(daemon)
            deployment.wait_in_force()
            system = System(deployment, key)
            for daemon in deployment.daemons:
                system.check_admitted(daemon)
            yield system
        except BaseException:
            for process in fleet.processes:
                print(f"--- {process.name}\n{process.tail()}")
            _print_limits(deployment)
            raise


def _print_limits(deployment: deployment_lib.Deployment) -> None:
    headers = deployment_lib.bearer(deployment_lib.OPERATOR_TOKEN)
    for daemon in deployment.daemons:
        answer = deployment.call(
            "GET", daemon.operators, "/v1/dump", headers=headers
        )
        if answer.status == 200:
            limits = answer.value()["limits"]
            print(f"--- limits of {daemon.vm}\n{json.dumps(limits)[:4000]}")
