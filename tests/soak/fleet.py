"""The gateway processes, stand-ins and links of one soak run."""

from collections.abc import Callable
import functools
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from typing import Any, get_args, Literal

from bulrushdeald import rendezvous
from soak import addresses
from soak import links
from soak import store as store_lib
from support import enginecapacity
from support import gatewayengine
from support import gatewayscene

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_SHIM = pathlib.Path(__file__).resolve().parent / "shim"
_GRACE_S = 5.0
_READY_TIMEOUT_S = 20.0
# The processor time that the interpreter takes to start; a program cannot
# handle signals before that. The gateway's imports take longer.
_INTERPRETER_START_TICKS = 6
# How long a crashed engine stays on the list, and until it is back.
_SILENCE_S = 1.0
_START_S = 0.5
# The number of events in the stream of each engine.
EVENTS_PER_STREAM = 12
EVENT_INTERVAL_S = 0.02
_SERVICE = "llm"
# What the address of a crashed engine does: it refuses connections; it accepts
# and resets them; a supervisor starts the engine again at once, as another
# instance or under its name; it falls silent.
CrashedAddress = Literal["refuses", "resets", "restarts", "reborn", "silent"]
CRASHED_ADDRESSES: tuple[CrashedAddress, ...] = get_args(CrashedAddress)
_RESTART_S = 0.05
_SLOTS = 8
# Two engines run each of them.
_VERSIONS = ("v1", "v2")
# The memory of an engine as the configuration of `gatewayscene` states it.
MEMORY_TOKENS = 72_000

_SETTINGS = """
node = "{name}"
zone = "{domain}"
ip = "{ip}"
internal_ports = [7660, 7675]
[listen]
front = "{ip}:8405"
ready = "{ip}:8406"
[bounds]
grace_s = {grace_s}
quota_slack = 20
quota_window_s = 5
[platform]
address = "{store}"
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Upstream:
    """A stand-in engine that another instance may replace.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        started_ms: When it started or restarted, on the wall clock.
        capacity: Its slots and memory.
        engine: The server that answers as the engine.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        poisons: set[bytes],
        host: str,
        software_version: str,
    ) -> None:
        self.name = name
        self.domain = domain
        self.started_ms = int(time.time() * 1000)
        self.capacity = enginecapacity.Capacity(_SLOTS, MEMORY_TOKENS)
        self.engine = gatewayengine.Engine(
            name, EVENTS_PER_STREAM, self.capacity, host
        )
        self.engine.poisons = poisons
        self.engine.software_version = software_version

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which the engine listens."""
        host, _, port = self.engine.address.rpartition(":")
        return host, int(port)


class Vm:
    """One gateway process and its links.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        ip: Its loopback address.
        process: The current process, or the last one after it has ended.
        should_run: Whether the process is meant to run, so that an exit is a
            problem.
        started_s: When the process was started, on the monotonic clock.
        front: The link from callers to the process.
        peers: The links to other VMs, by their names.
        upstreams: The links to upstreams, by their names.
        store: The link to `store_server`.
        store_server: The server that gives this VM access to the store.
    """

    def __init__(
        self, name: str, domain: str, ip: str, shared_host: str
    ) -> None:
        self.name = name
        self.domain = domain
        self.ip = ip
        self.process: subprocess.Popen[bytes] | None = None
        self.should_run = False
        self.started_s = 0.0
        self.front = links.Link(lambda: (ip, 8405), shared_host)
        self.peers: dict[str, links.Link] = {}
        self.upstreams: dict[str, links.Link] = {}
        self.store: links.Link
        self.store_server: store_lib.StoreServer

    def outgoing_links(self) -> list[links.Link]:
        """Returns the links to the store, to other VMs and to upstreams."""
        return [self.store, *self.peers.values(), *self.upstreams.values()]


class Fleet:
    """Starts and stops the gateway processes and their stand-ins.

    Attributes:
        store: The store that all VMs share.
        version: The version of the current configuration.
        keys: The API keys of each customer.
        problems: One line for each violated guarantee.
        upstreams: The current upstreams.
        vms: The VMs.
        replaced_upstreams: Upstreams that were replaced; their engines stay up.
        long_prompts: Set while callers send a burst of long prompts.
        deadly_parts: The parts of prompts that crash engines, once faults have
            begun to send them.
        surged_vm: The VM that gets most connections at present, if any.
        poisons: The bodies that crash engines, once faults have begun
            to send them.
        statuses: What engines answer at each run, by the bodies of requests.
        event_interval_s: The pause after each event of a stream.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        vms: int,
        crashed_address: CrashedAddress = "refuses",
        upstreams: int = 4,
    ) -> None:
        self._folder = folder
        self._network = addresses.Network()
        self._crashed_address = crashed_address
        self.statuses: dict[bytes, int] = {}
        self.event_interval_s = EVENT_INTERVAL_S
        self.store = store_lib.Store()
        self.version = 0
        self.keys = {"school": ["key-0"], "limited": ["key-limited"]}
        self.problems: list[str] = []
        self.poisons: set[bytes] = set()
        self.deadly_parts: set[str] = set()
        self.surged_vm: Vm | None = None
        self.upstreams = [
            self._make_upstream(
                f"i-{index}", f"d{index % 3}", _VERSIONS[index % 2]
            )
            for index in range(upstreams)
        ]
        self.vms = [
            Vm(
                f"vm{index}",
                f"d{index % 3}",
                self._network.host(index + 1),
                self._network.shared_host,
            )
            for index in range(vms)
        ]
        self.replaced_upstreams: list[Upstream] = []
        self.long_prompts = threading.Event()
        self._listing_lock = threading.Lock()
        for vm in self.vms:
            self._add_links(vm)
        self.configure()
        for upstream in self.upstreams:
            self.list_upstream(upstream)

    def _make_upstream(
        self, name: str, domain: str, software_version: str
    ) -> Upstream:
        upstream = Upstream(
            name,
            domain,
            self.poisons,
            self._network.shared_host,
            software_version,
        )
        upstream.engine.pause_s = self.event_interval_s
        upstream.engine.deadly_parts = self.deadly_parts
        upstream.engine.statuses = self.statuses
        upstream.engine.on_crash = lambda: self._on_crash(upstream)
        return upstream

    def set_event_interval(self, interval_s: float) -> None:
        """Sets the pause after each event, also of engines added later."""
        self.event_interval_s = interval_s
        for upstream in self.upstreams:
            upstream.engine.pause_s = interval_s

    def _on_crash(self, upstream: Upstream) -> None:
        """Has the engine's address do what it does; starts it again later."""
        for link in self.links_to(upstream):
            # A link resets connections whose target refuses them.
            if self._crashed_address == "refuses":
                link.stop_listening()
            elif self._crashed_address == "silent":
                link.mode = "silent"
        threading.Thread(
            target=self._revive, args=(upstream,), daemon=True
        ).start()

    def _revive(self, upstream: Upstream) -> None:
        """Starts an engine again at its address, as another instance."""
        old = upstream.name
        if self._crashed_address in ("restarts", "reborn"):
            time.sleep(_RESTART_S)
        else:
            time.sleep(_SILENCE_S)
            self.unlist(old)
            time.sleep(_START_S)
        with self._listing_lock:
            if self._crashed_address == "restarts":
                self.store.rows.write(f"servers/{old}", None)
            if self._crashed_address != "reborn":
                start = self.store.rows.revision
                upstream.name = f"{old.split('.')[0]}.{start}"
            upstream.started_ms = int(time.time() * 1000)
            upstream.engine.start_again(upstream.name)
            for vm in self.vms:
                link = vm.upstreams.pop(old, None)
                if link is not None:
                    self._revive_link(link)
                    vm.upstreams[upstream.name] = link
            if upstream in self.upstreams:
                self.list_upstream(upstream)

    def _revive_link(self, link: links.Link) -> None:
        if self._crashed_address == "refuses":
            link.listen_again()
        elif self._crashed_address == "silent":
            link.mode = "pass"
            link.reset()

    def links_to(self, upstream: Upstream) -> list[links.Link]:
        """Returns the links of all VMs to an upstream."""
        return [
            vm.upstreams[upstream.name]
            for vm in self.vms
            if upstream.name in vm.upstreams
        ]

    def _add_links(self, vm: Vm) -> None:
        for other in self.vms:
            if other is not vm:
                vm.peers[other.name] = self._make_link(
                    functools.partial(_address, other.ip, 7660)
                )
        vm.store_server = store_lib.StoreServer(
            self.store,
            lambda field, name: self._link_address(vm, field, name),
            self._network.shared_host,
        )
        vm.store = self._make_link(lambda: vm.store_server.address)

    def _make_link(self, target: Callable[[], tuple[str, int]]) -> links.Link:
        return links.Link(target, self._network.shared_host)

    def _link_address(self, vm: Vm, field: str, name: str) -> str:
        if field == "peers":
            link = vm.peers.get(name)
            return "" if link is None else link.host_port
        upstream = next(
            (row for row in self.upstreams if row.name == name), None
        )
        if upstream is None:
            return ""
        if name not in vm.upstreams:
            vm.upstreams[name] = self._make_link(lambda: upstream.address)
        return vm.upstreams[name].host_port

    def configure(self, **changes: list[str]) -> None:
        """Writes a new configuration version.

        Args:
            **changes: New API keys of customers, by their names.
        """
        self.keys |= changes
        self.version += 3
        value = gatewayscene.configuration(
            self.version,
            tenants=[
                {"name": "school", "api_keys": self.keys["school"]},
                {
                    "name": "limited",
                    "api_keys": self.keys["limited"],
                    "rate_per_s": 5,
                    "burst": 5,
                },
            ],
        )
        self.store.rows.write("op/config", json.dumps(value).encode())

    def list_upstream(self, upstream: Upstream, state: str = "ready") -> None:
        """Writes an upstream's entry to the store."""
        value: dict[str, Any] = {
            "service": _SERVICE,
            "address": upstream.engine.address,
            "zone": upstream.domain,
            "slots": _SLOTS,
            "state": state,
            "sequence": self.store.rows.revision,
            "born": upstream.started_ms,
            "cold_remaining_ms": 0,
            "version": upstream.engine.software_version,
        }
        key = f"servers/{upstream.name}"
        self.store.rows.write(key, json.dumps(value).encode())

    def unlist(self, name: str) -> None:
        """Removes an upstream's entry from the store."""
        with self._listing_lock:
            self.store.rows.write(f"servers/{name}", None)

    def replace(self, upstream: Upstream) -> Upstream:
        """Replaces an upstream by a new one with another name."""
        name = f"{upstream.name.split('.')[0]}.{self.store.rows.revision}"
        version = upstream.engine.software_version
        new = self._make_upstream(name, upstream.domain, version)
        with self._listing_lock:
            # Another fault may have replaced it meanwhile.
            if upstream in self.upstreams:
                self.upstreams[self.upstreams.index(upstream)] = new
                self.replaced_upstreams.append(upstream)
                self.list_upstream(new)
                return new
        new.engine.close()
        return upstream

    def restart_upstream(self, upstream: Upstream) -> None:
        """Restarts an upstream under its name, with an empty cache."""
        upstream.capacity.restart()
        upstream.started_ms = int(time.time() * 1000)
        with self._listing_lock:
            # One that is being replaced may be off the list already.
            key = f"servers/{upstream.name}"
            if upstream in self.upstreams and self.store.get(key):
                self.list_upstream(upstream)

    def leader(self) -> Vm:
        """Returns the VM that leads the engines while all run."""
        return self._first(_SERVICE)

    def limiter(self) -> Vm:
        """Returns the VM that serves the customer beyond its rate."""
        return self._first("rate limited")

    def reader(self) -> Vm:
        """Returns the VM that reads the store's lists while all run."""
        return self._first("readers")

    def _first(self, key: str) -> Vm:
        first = rendezvous.rank(key, [vm.name for vm in self.vms])[0]
        return next(vm for vm in self.vms if vm.name == first)

    def start(self, vm: Vm) -> None:
        """Starts a VM's process."""
        settings = self._folder / f"{vm.name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=vm.name,
                domain=vm.domain,
                ip=vm.ip,
                grace_s=_GRACE_S,
                store=vm.store.host_port,
            )
        )
        environment = os.environ | {
            "BULRUSHDEAL_CONFIG": str(settings),
            "SOAK_CLOCK": str(self.clock_file(vm)),
            "PYTHONPATH": str(_SHIM),
        }
        with (self._folder / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, str(_ROOT / "platform" / "run.py")],
                env=environment,
                stdout=log,
                stderr=log,
            )
        vm.should_run = True
        vm.started_s = time.monotonic()

    def clock_file(self, vm: Vm) -> pathlib.Path:
        """Returns the file with the offset of a VM's wall clock, in seconds."""
        return self._folder / f"{vm.name}.clock"

    def start_all(self) -> None:
        """Starts all VMs and waits until they are ready."""
        for vm in self.vms:
            self.start(vm)
        for vm in self.vms:
            self.wait_ready(vm)

    def wait_ready(self, vm: Vm) -> None:
        """Waits until a VM is ready; records a problem if it takes too long."""
        end_s = time.monotonic() + _READY_TIMEOUT_S
        while not is_ready(vm):
            if time.monotonic() > end_s:
                self.problems.append(f"{vm.name} did not become ready")
                return
            time.sleep(0.1)

    def wait_interpreter(self, vm: Vm) -> None:
        """Waits until a new process can handle signals, SIGTERM and SIGHUP."""
        while vm.process is not None and vm.process.poll() is None:
            stat = pathlib.Path(f"/proc/{vm.process.pid}/stat").read_text()
            user, system = stat.rpartition(")")[2].split()[11:13]
            if int(user) + int(system) >= _INTERPRETER_START_TICKS:
                return
            time.sleep(0.005)

    def kill(self, vm: Vm) -> None:
        """Kills a VM's process."""
        vm.should_run = False
        if vm.process is not None:
            vm.process.send_signal(signal.SIGCONT)
            vm.process.kill()
            vm.process.wait()

    def terminate(self, vm: Vm) -> None:
        """Stops a VM's process by SIGTERM; kills it after the grace period.

        Records a problem if the process takes longer or exits with an error.
        """
        vm.should_run = False
        process = vm.process
        if process is None:
            return
        self.wait_interpreter(vm)
        age_s = time.monotonic() - vm.started_s
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            status = process.wait(_GRACE_S + 1.0)
        except subprocess.TimeoutExpired:
            self.problems.append(
                f"{vm.name} did not stop within its grace period"
            )
            self.kill(vm)
            return
        if status != 0:
            self.problems.append(
                f"{vm.name}, stopped {age_s:.3f} s after its start, "
                f"ended with status {status}"
            )

    def restart_if_exited(self, vm: Vm) -> None:
        """Restarts a process that exited by itself, and records a problem."""
        if not vm.should_run or vm.process is None:
            return
        status = vm.process.poll()
        if status is not None:
            self.problems.append(f"{vm.name} exited unexpectedly: {status}")
            self.start(vm)

    def close(self) -> None:
        """Stops all processes, links and stand-ins."""
        for vm in self.vms:
            self.kill(vm)
        for vm in self.vms:
            for link in (vm.front, *vm.outgoing_links()):
                link.close()
            vm.store_server.close()
        for upstream in (*self.upstreams, *self.replaced_upstreams):
            upstream.engine.close()
        self.store.close()
        self._network.close()


def is_ready(vm: Vm) -> bool:
    """Returns whether a VM is ready, asked directly and not over its link."""
    connection = http.client.HTTPConnection(vm.ip, 8406, timeout=1.0)
    try:
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def _address(host: str, port: int) -> tuple[str, int]:
    return host, port
