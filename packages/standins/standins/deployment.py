"""A small deployment of real processes for the demo and process tests."""

from collections.abc import Iterable, Mapping
import http
import json
import sys
from typing import Any, NamedTuple

import urllib3
import urllib3.exceptions

from bulrushdeal import records
from standins import cutlink
from standins import fleet as fleet_lib

OPERATOR_TOKEN = "demo-operator"
_START_TIMEOUT_S = 30.0
_CALL_TIMEOUT_S = 10.0
_DAEMON_PROGRAM = "from bulrushdeald import main; main.main()"
_MIN_ERROR_STATUS = 400


class Answer(NamedTuple):
    """The outcome of an HTTP call.

    Attributes:
        status: The HTTP status; 0 if no answer arrived.
        headers: The headers of the answer.
        body: The body of the answer, or the text of the error if none arrived.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def value(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body)


class Links(NamedTuple):
    """The links that connect a daemon to the rest of the deployment.

    Attributes:
        peers: Carries the connections that other daemons open to this one.
        platform: Carries this daemon's connections to the platform.
    """

    peers: cutlink.CutLink
    platform: cutlink.CutLink

    def cut(self) -> None:
        """Cuts both links.

        The daemon still reaches its callers and upstreams. Connections that it
        opens to other daemons go through the `peers` links of those daemons.
        """
        for link in self:
            link.cut()

    def heal(self) -> None:
        """Heals both links."""
        for link in self:
            link.heal()


class Daemon(NamedTuple):
    """A `bulrushdeald` process.

    Attributes:
        vm: The name of its VM.
        failure_domain: The failure domain of its VM.
        callers: The `HOST:PORT` where it serves callers.
        operators: The `HOST:PORT` where it serves operators.
        peers: The `HOST:PORT` where other daemons reach it.
        process: The operating system process.
    """

    vm: str
    failure_domain: str
    callers: str
    operators: str
    peers: str
    process: fleet_lib.Process


class Command(NamedTuple):
    """The result of one run of the command line client.

    Attributes:
        code: The exit code.
        output: Standard output and standard error.
    """

    code: int
    output: str


class Deployment:
    """The platform, upstreams and daemons of one demo or test.

    Attributes:
        fleet: Starts and stops the processes.
        daemons: The daemons started; a replacement takes the place of the
            daemon it replaces.
        has_links: Whether daemons started from now on get `Links`.
        links: The links of each such daemon, by the name of its VM.
        platform: The `HOST:PORT` of the stand-in platform.
        daemon_program: The Python source that each daemon process runs.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.fleet = fleet
        self.daemons: list[Daemon] = []
        self.has_links = False
        self.links: dict[str, Links] = {}
        # By default urllib3 retries failed requests.
        self._pools = urllib3.PoolManager(retries=False, maxsize=50)
        self.platform = ""
        self.daemon_program = _DAEMON_PROGRAM

    def start_platform(self) -> None:
        """Starts the stand-in for the platform."""
        process = self.start_module("platform", "standins.platform")
        self.platform = process.address()

    def start_module(
        self, name: str, module: str, arguments: Iterable[str] = ()
    ) -> fleet_lib.Process:
        """Starts a stand-in on a free port."""
        return self.fleet.start(
            name,
            [
                sys.executable,
                "-m",
                module,
                "--address",
                "127.0.0.1:0",
                *arguments,
            ],
        )

    def list_vm(self, row: records.Vm) -> None:
        """Puts a VM on the platform's list."""
        self.must("PUT", self.platform, f"/v1/vms/{row.vm}", row._asdict())

    def unlist_vm(self, vm: str) -> None:
        """Takes a VM off the platform's list."""
        self.must("DELETE", self.platform, f"/v1/vms/{vm}")

    def set_platform_faults(self, **faults: Any) -> None:
        """Changes the given fields of `platform.Faults` on the platform."""
        self.must("POST", self.platform, "/v1/faults", faults)

    def start_daemon(
        self,
        vm: str,
        failure_domain: str,
        settings: Mapping[str, str] | None = None,
    ) -> Daemon:
        """Starts a daemon with a data folder and does not wait for it.

        Args:
            vm: The name of the daemon's VM, which is added to the VM list.
            failure_domain: The failure domain of the VM.
            settings: More command line flags by name, without `--`.
        """
        addresses = tuple(fleet_lib.free_address() for _ in range(3))
        peers = addresses[-1]
        given = dict(settings or {})
        if self.has_links:
            links = Links(
                cutlink.CutLink(peers), cutlink.CutLink(self.platform)
            )
            self.links[vm] = links
            peers = links.peers.address
            given["platform-address"] = links.platform.address
        self.list_vm(
            records.Vm(vm, failure_domain, "entry", peers, has_disk=True)
        )
        return self._run_daemon(vm, failure_domain, addresses, given)

    def restart_daemon(
        self, daemon: Daemon, settings: Mapping[str, str] | None = None
    ) -> Daemon:
        """Replaces a daemon whose process has ended, at the same addresses."""
        self.daemons.remove(daemon)
        addresses = (daemon.callers, daemon.operators, daemon.peers)
        return self._run_daemon(
            daemon.vm, daemon.failure_domain, addresses, settings or {}
        )

    def _run_daemon(
        self,
        vm: str,
        failure_domain: str,
        addresses: tuple[str, ...],
        settings: Mapping[str, str],
    ) -> Daemon:
        callers, operators, peers = addresses
        data_folder = self.fleet.folder / f"data-{vm}"
        data_folder.mkdir(exist_ok=True)
        flags = {
            "vm": vm,
            "failure-domain": failure_domain,
            "callers-address": callers,
            "operators-address": operators,
            "peers-address": peers,
            "platform-address": self.platform,
            "data-folder": str(data_folder),
            **settings,
        }
        arguments = [f"--{name}={value}" for name, value in flags.items()]
        process = self.fleet.start(
            vm,
            [
                sys.executable,
                "-c",
                self.daemon_program,
                "serve",
                *arguments,
            ],
            {"BULRUSHDEAL_OPERATOR_TOKEN": OPERATOR_TOKEN},
        )
        daemon = Daemon(vm, failure_domain, callers, operators, peers, process)
        self.daemons.append(daemon)
        return daemon

    def wait_started(self, daemon: Daemon) -> None:
        """Waits until a daemon answers operators' requests."""
        headers = bearer(OPERATOR_TOKEN)
        self._wait_ok(daemon, daemon.operators, "/v1/vms", headers)

    def wait_ready(self, daemon: Daemon) -> None:
        """Waits until a daemon accepts callers' requests.

        A daemon accepts none before it has a configuration.
        """
        self._wait_ok(daemon, daemon.callers, "/healthz", {})

    def _wait_ok(
        self,
        daemon: Daemon,
        address: str,
        path: str,
        headers: Mapping[str, str],
    ) -> None:
        def is_up() -> bool:
            if not daemon.process.is_running():
                raise fleet_lib.FleetError(
                    f"{daemon.vm} ended:\n{daemon.process.tail()}"
                )
            answer = self.call("GET", address, path, headers=headers)
            return answer.status == http.HTTPStatus.OK

        fleet_lib.poll(is_up, _START_TIMEOUT_S, f"{daemon.vm} answers {path}")

    def operate(self, *words: str) -> Command:
        """Runs an operator's command with all daemons as its servers."""
        servers = ",".join(daemon.operators for daemon in self.daemons)
        return self._run_command(
            words,
            {
                "BULRUSHDEAL_SERVER": servers,
                "BULRUSHDEAL_OPERATOR_TOKEN": OPERATOR_TOKEN,
            },
        )

    def as_customer(self, daemon: Daemon, key: str, *words: str) -> Command:
        """Runs a customer's command against one daemon."""
        return self._run_command(
            words,
            {"BULRUSHDEAL_CALLERS": daemon.callers, "BULRUSHDEAL_KEY": key},
        )

    def add_engine(
        self,
        name: str,
        failure_domain: str,
        arguments: Iterable[str] = (),
        slots: int = 16,
    ) -> fleet_lib.Process:
        """Starts an engine, lists its VM and adds it as an upstream."""
        process = self.start_module(
            name, "standins.engine", ["--name", name, *arguments]
        )
        self._add_upstream(
            records.Upstream(
                name,
                "engine",
                process.address(),
                f"vm-{name}",
                failure_domain,
                models=("textbook",),
                slots=slots,
            ),
        )
        return process

    def add_plain(self, name: str, failure_domain: str) -> fleet_lib.Process:
        """Starts a plain service, lists its VM and adds it as an upstream."""
        process = self.start_module(name, "standins.plain")
        self._add_upstream(
            records.Upstream(
                name,
                "plain",
                process.address(),
                f"vm-{name}",
                failure_domain,
                service="orders",
            ),
        )
        return process

    def create_customer(self, name: str, rate_per_s: float = 1000.0) -> str:
        """Creates a customer with a key and returns the key."""
        rate = f"{rate_per_s:g}"
        self.check(
            self.operate(
                "customer",
                "create",
                name,
                "--rate-per-s",
                rate,
                "--burst",
                rate,
            )
        )
        made = self.check(self.operate("key", "create", name, "--json"))
        return str(json.loads(made.output)["key"])

    def wait_in_force(self) -> None:
        """Waits until the stored configuration is in force on every daemon."""

        def is_in_force() -> bool:
            shown = self.operate("config", "status", "--json")
            if shown.code != 0:
                return False
            return bool(json.loads(shown.output)["is_in_force_everywhere"])

        fleet_lib.poll(
            is_in_force, _START_TIMEOUT_S, "configuration is in force"
        )

    def check(self, command: Command) -> Command:
        """Returns the command if it succeeded.

        Raises:
            fleet_lib.FleetError: The exit code is not 0.
        """
        if command.code != 0:
            raise fleet_lib.FleetError(
                f"command exited with code {command.code}: {command.output}"
            )
        return command

    def call(
        self,
        method: str,
        address: str,
        path: str,
        value: Any = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> Answer:
        """Makes one HTTP request without retries; see `Answer`."""
        body = None if value is None else json.dumps(value).encode()
        try:
            response = self._pools.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=dict(headers or {}),
                timeout=timeout_s,
            )
        except urllib3.exceptions.HTTPError as error:
            return Answer(0, {}, repr(error).encode())
        return Answer(response.status, response.headers, response.data)

    def must(
        self, method: str, address: str, path: str, value: Any = None
    ) -> Answer:
        """Makes one HTTP request that has to succeed.

        Raises:
            fleet_lib.FleetError: No answer arrived, or its status is an error.
        """
        answer = self.call(method, address, path, value)
        if answer.status == 0 or answer.status >= _MIN_ERROR_STATUS:
            raise fleet_lib.FleetError(
                f"{method} {path} failed: {answer.status} {answer.body!r}"
            )
        return answer

    def _add_upstream(self, row: records.Upstream) -> None:
        self.list_vm(records.Vm(row.vm, row.failure_domain, "upstream"))
        words = [
            "upstream",
            "add",
            row.upstream,
            "--kind",
            row.kind,
            "--address",
            row.address,
            "--vm",
            row.vm,
            "--failure-domain",
            row.failure_domain,
            "--slots",
            str(row.slots),
        ]
        if row.models:
            words += ["--models", ",".join(row.models)]
        if row.service:
            words += ["--service", row.service]
        self.check(self.operate(*words))

    def _run_command(
        self, words: Iterable[str], environment: Mapping[str, str]
    ) -> Command:
        process = self.fleet.start(
            "command",
            [
                sys.executable,
                "-c",
                "from bulrushdealui import main; main.main()",
                *words,
            ],
            environment,
        )
        code = process.wait()
        self.fleet.processes.remove(process)
        return Command(code, process.output())


def bearer(key: str) -> dict[str, str]:
    """Returns the `Authorization` header for a key or token."""
    return {"Authorization": f"Bearer {key}"}
