"""Demonstrates the whole system on loopback, step by step, then stops it."""

from collections.abc import Callable, Iterator
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import time

from standins import deployment as deployment_lib
from standins import fleet as fleet_lib

_ITEM_COUNT = 300
_JOB_S = 120.0
_REFUSAL_TIMEOUT_S = 12.0
_USAGE_TIMEOUT_S = 30.0
_UNAUTHORIZED = 401
_OK = 200
_CUSTOMER = "demo"


class Demo:
    """The steps of the demo.

    Each step prints its result and raises `FleetError` if it fails. The heading
    printed above a step is the step's doc comment.
    """

    def __init__(
        self, deployment: deployment_lib.Deployment, folder: pathlib.Path
    ) -> None:
        self._deployment = deployment
        self._folder = folder
        self._key = ""

    def start(self) -> None:
        """Starts two daemons, two engines and a plain service."""
        deployment = self._deployment
        deployment.start_platform()
        deployment.start_daemon("entry-a", "north", {"usage-flush-s": "1"})
        deployment.start_daemon("entry-b", "south", {"usage-flush-s": "1"})
        for daemon in deployment.daemons:
            deployment.wait_started(daemon)
        deployment.add_engine("engine-a", "north")
        deployment.add_engine("engine-b", "south")
        deployment.add_plain("orders-a", "north")
        self._print_output(deployment.operate("vm", "list"))

    def create_customer(self) -> None:
        """Creates a customer and a key, and waits until they are in force."""
        self._key = self._deployment.create_customer(_CUSTOMER)
        for daemon in self._deployment.daemons:
            self._deployment.wait_ready(daemon)
        self._deployment.wait_in_force()
        self._print_output(self._deployment.operate("table", "show"))

    def shell_exports(self) -> Iterator[str]:
        """Yields the shell commands that configure the command line client."""
        daemons = self._deployment.daemons
        operators = ",".join(daemon.operators for daemon in daemons)
        callers = ",".join(daemon.callers for daemon in daemons)
        yield f"export BULRUSHDEAL_SERVER={operators}"
        token = deployment_lib.OPERATOR_TOKEN
        yield f"export BULRUSHDEAL_OPERATOR_TOKEN={token}"
        yield f"export BULRUSHDEAL_CALLERS={callers}"
        yield f"export BULRUSHDEAL_KEY={self._key}"

    def chat(self) -> None:
        """Streams one completion, token by token."""
        self._print_output(
            self._deployment.as_customer(
                self._deployment.daemons[0],
                self._key,
                "chat",
                "What is a glossary?",
                "--model",
                "textbook",
                "--max-tokens",
                "12",
            )
        )

    def run_job(self) -> None:
        """Submits a job to one daemon and reads its results from the other."""
        first, second = self._deployment.daemons
        items = self._folder / "items.jsonl"
        items.write_text(
            "".join(_request_line(index) for index in range(_ITEM_COUNT))
        )
        submitted = self._deployment.check(
            self._deployment.as_customer(
                first, self._key, "job", "submit", str(items), "--json"
            )
        )
        job = json.loads(submitted.output[submitted.output.index("{") :])["id"]
        print(f"Submitted {_ITEM_COUNT} items as job {job}.")
        results = self._folder / "results.jsonl"
        self._deployment.check(
            self._deployment.as_customer(
                second,
                self._key,
                "job",
                "results",
                job,
                "--wait",
                "--output",
                str(results),
            )
        )
        lines = results.read_text().splitlines()
        ids = {json.loads(line)["custom_id"] for line in lines}
        print(f"Read {len(lines)} results for {len(ids)} distinct items.")
        _require(
            len(lines) == len(ids) == _ITEM_COUNT, "one result for each item"
        )
        self._print_output(self._deployment.operate("job", "list"))

    def call_plain_service(self) -> None:
        """Sends one request to the plain service: confirms an order."""
        answer = self._deployment.call(
            "POST",
            self._deployment.daemons[1].callers,
            "/services/orders/confirm",
            {"order": 17},
            deployment_lib.bearer(self._key),
        )
        print(f"{answer.status} {answer.body.decode()}")
        _require(answer.status == _OK, "the order is confirmed")

    def withdraw_key(self) -> None:
        """Withdraws the key and waits until both daemons refuse it."""
        listed = self._deployment.check(
            self._deployment.operate("key", "list", "--json")
        )
        key_hash = json.loads(listed.output)["keys"][0]["key_hash"]
        began_s = time.monotonic()
        self._print_output(
            self._deployment.operate("key", "withdraw", key_hash)
        )
        for daemon in self._deployment.daemons:
            answer = fleet_lib.poll(
                lambda daemon=daemon: self._refused(daemon),  # type: ignore[misc]
                _REFUSAL_TIMEOUT_S,
                f"{daemon.vm} refuses the key",
            )
            took_s = time.monotonic() - began_s
            print(
                f"{daemon.vm} after {took_s:.1f} s: {answer.status}"
                f" {answer.body.decode()}"
            )

    def report(self) -> None:
        """Waits until the usage report is complete, then shows it."""
        fleet_lib.poll(
            self._is_usage_complete,
            _USAGE_TIMEOUT_S,
            "the usage report counts all requests",
        )
        self._print_output(self._deployment.operate("usage"))

    def _refused(
        self, daemon: deployment_lib.Daemon
    ) -> deployment_lib.Answer | None:
        answer = self._deployment.call(
            "GET",
            daemon.callers,
            "/v1/models",
            headers=deployment_lib.bearer(self._key),
        )
        return answer if answer.status == _UNAUTHORIZED else None

    def _is_usage_complete(self) -> bool:
        shown = self._deployment.operate("usage", "--json")
        if shown.code != 0:
            return False
        rows = json.loads(shown.output)["customers"]
        counted = {"online": 0, "batch": 0}
        for row in rows:
            if row["outcome"] == "ok":
                counted[row["work_class"]] += row["requests"]
        # One chat and one order online, and the items of the job.
        return counted == {"online": 2, "batch": _ITEM_COUNT}

    def _print_output(self, command: deployment_lib.Command) -> None:
        print(self._deployment.check(command).output.rstrip("\n"))


def _request_line(index: int) -> str:
    item = {
        "custom_id": f"item-{index}",
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": {
            "model": "textbook",
            "messages": [{"role": "user", "content": f"Quiz {index}?"}],
            "max_tokens": 4,
        },
    }
    return json.dumps(item) + "\n"


def _require(condition: bool, what: str) -> None:
    if not condition:
        raise fleet_lib.FleetError(f"Check failed: {what}.")


def _steps(demo: Demo) -> Iterator[Callable[[], None]]:
    yield demo.start
    yield demo.create_customer
    yield demo.chat
    yield demo.run_job
    yield demo.call_plain_service
    yield demo.withdraw_key
    yield demo.report


def _run_until_interrupted(demo: Demo) -> None:
    """Starts the system, prints how to reach it, and waits for Ctrl-C."""
    # The handler is set explicitly, since a shell starts background jobs with
    # SIGINT ignored. SIGTERM is handled like Ctrl-C.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    demo.start()
    demo.create_customer()
    for line in demo.shell_exports():
        print(line)
    print("\nPaste these into another terminal; Ctrl-C here stops the demo.")
    with contextlib.suppress(KeyboardInterrupt):
        signal.pause()
    print("Stopping.")


def _run_steps(demo: Demo) -> None:
    for step in _steps(demo):
        print(f"\n== {(step.__doc__ or '').strip()}", flush=True)
        step()


def main(stays: bool = False) -> int:
    """Runs the demo.

    Args:
        stays: Whether to start the system and wait for Ctrl-C instead of
            running all steps.

    Returns:
        The exit code: 0 if no step failed, else 1.
    """
    with contextlib.ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        folder = pathlib.Path(name)
        fleet = stack.enter_context(fleet_lib.Fleet(folder))
        demo = Demo(deployment_lib.Deployment(fleet), folder)
        try:
            if stays:
                _run_until_interrupted(demo)
            else:
                _run_steps(demo)
        except fleet_lib.FleetError as error:
            print(f"\nThe demo failed: {error}", file=sys.stderr)
            for process in fleet.processes:
                print(f"--- {process.name}\n{process.tail()}", file=sys.stderr)
            return 1
    summary = "" if stays else "All steps succeeded. "
    print(f"\n{summary}All processes are stopped.")
    return 0


if __name__ == "__main__":
    sys.exit(main(stays="--stay" in sys.argv[1:]))
