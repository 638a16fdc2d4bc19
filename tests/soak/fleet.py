"""The processes, stand-ins and links of one soak."""

import functools
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

from soak import links
from soak import store as store_lib
from support import gatewayengine
from support import gatewayscene

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_SHIM = pathlib.Path(__file__).resolve().parent / "shim"
_GRACE_S = 5.0
_START_S = 20.0
EVENTS = 12
_EVENT_S = 0.02

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
    """An engine that may crash and come back as another instance."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.engine = gatewayengine.Engine(name, EVENTS)
        self.engine.pause_s = _EVENT_S

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, _, port = self.engine.address.rpartition(":")
        return host, int(port)


class Vm:
    """One gateway process, and the links that it uses."""

    def __init__(self, name: str, domain: str, ip: str) -> None:
        self.name = name
        self.domain = domain
        self.ip = ip
        self.process: subprocess.Popen[bytes] | None = None
        self.is_wanted = False
        self.started_s = 0.0
        self.front = links.Link(lambda: (ip, 8405))
        self.peers: dict[str, links.Link] = {}
        self.upstreams: dict[str, links.Link] = {}
        self.store: links.Link
        self.face: store_lib.Face

    def all_links(self) -> list[links.Link]:
        """Returns what the VM uses towards others."""
        return [self.store, *self.peers.values(), *self.upstreams.values()]


class Fleet:
    """Starts all, and ends by id what it has started."""

    def __init__(self, folder: pathlib.Path, number: int, vms: int) -> None:
        self._folder = folder
        self.store = store_lib.Store()
        self.version = 0
        self.keys = {"school": ["key-0"], "limited": ["key-limited"]}
        self.problems: list[str] = []
        self.upstreams = [
            Upstream(f"i-{index}", f"d{index % 3}") for index in range(4)
        ]
        self.vms = [
            Vm(f"vm{index}", f"d{index % 3}", f"127.{number}.1.{index + 1}")
            for index in range(vms)
        ]
        self.past_upstreams: list[Upstream] = []
        for vm in self.vms:
            self._link(vm)
        self.configure()
        for upstream in self.upstreams:
            self.list_upstream(upstream)

    def _link(self, vm: Vm) -> None:
        for other in self.vms:
            if other is not vm:
                vm.peers[other.name] = links.Link(
                    functools.partial(_pair, other.ip, 7660)
                )
        vm.face = store_lib.Face(
            self.store, lambda field, name: self._rewrite(vm, field, name)
        )
        vm.store = links.Link(lambda: vm.face.address)

    def _rewrite(self, vm: Vm, field: str, name: str) -> str:
        if field == "peers":
            link = vm.peers.get(name)
            return "" if link is None else link.text
        upstream = next(
            (row for row in self.upstreams if row.name == name), None
        )
        if upstream is None:
            return ""
        if name not in vm.upstreams:
            vm.upstreams[name] = links.Link(lambda: upstream.address)
        return vm.upstreams[name].text

    def configure(self, **changes: list[str]) -> None:
        """Writes a new version of the configuration, with changed keys."""
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
        """Writes an upstream's entry."""
        value: dict[str, Any] = {
            "service": "llm",
            "address": upstream.engine.address,
            "zone": upstream.domain,
            "slots": 8,
            "state": state,
            "sequence": self.store.rows.revision,
        }
        key = f"servers/{upstream.name}"
        self.store.rows.write(key, json.dumps(value).encode())

    def unlist(self, name: str) -> None:
        """Removes an upstream's entry."""
        self.store.rows.write(f"servers/{name}", None)

    def replace(self, upstream: Upstream) -> Upstream:
        """Puts an upstream of another name in the place of one."""
        name = f"{upstream.name.split('.')[0]}.{self.store.rows.revision}"
        fresh = Upstream(name, upstream.domain)
        self.upstreams[self.upstreams.index(upstream)] = fresh
        self.past_upstreams.append(upstream)
        self.list_upstream(fresh)
        return fresh

    def start(self, vm: Vm) -> None:
        """Starts a VM's process."""
        settings = self._folder / f"{vm.name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=vm.name,
                domain=vm.domain,
                ip=vm.ip,
                grace_s=_GRACE_S,
                store=vm.store.text,
            )
        )
        environment = os.environ | {
            "BULRUSHDEAL_CONFIG": str(settings),
            "SOAK_CLOCK": str(self.clock(vm)),
            "PYTHONPATH": str(_SHIM),
        }
        with (self._folder / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, str(_ROOT / "platform" / "run.py")],
                env=environment,
                stdout=log,
                stderr=log,
            )
        vm.is_wanted = True
        vm.started_s = time.monotonic()

    def clock(self, vm: Vm) -> pathlib.Path:
        """Returns the file with the seconds that a VM's clock is off."""
        return self._folder / f"{vm.name}.clock"

    def start_all(self) -> None:
        """Starts all VMs and waits until they are ready."""
        for vm in self.vms:
            self.start(vm)
        for vm in self.vms:
            self.wait_ready(vm)

    def wait_ready(self, vm: Vm) -> None:
        """Waits until a VM says that it is ready."""
        end_s = time.monotonic() + _START_S
        while not is_ready(vm):
            if time.monotonic() > end_s:
                self.problems.append(f"{vm.name} does not become ready")
                return
            time.sleep(0.1)

    def kill(self, vm: Vm) -> None:
        """Ends a VM's process at once."""
        vm.is_wanted = False
        if vm.process is not None:
            vm.process.send_signal(signal.SIGCONT)
            vm.process.kill()
            vm.process.wait()

    def terminate(self, vm: Vm) -> None:
        """Asks a VM to stop and waits for as long as it may take."""
        vm.is_wanted = False
        process = vm.process
        if process is None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            status = process.wait(_GRACE_S + 1.0)
        except subprocess.TimeoutExpired:
            self.problems.append(f"{vm.name} outlives its grace")
            self.kill(vm)
            return
        if status != 0:
            self.problems.append(f"{vm.name} stops with status {status}")

    def note_end(self, vm: Vm) -> None:
        """Notes a process that ended by itself, and starts it again."""
        if not vm.is_wanted or vm.process is None:
            return
        status = vm.process.poll()
        if status is not None:
            self.problems.append(f"{vm.name} ended by itself: {status}")
            self.start(vm)

    def close(self) -> None:
        """Ends all that was started."""
        for vm in self.vms:
            self.kill(vm)
        for vm in self.vms:
            for link in (vm.front, *vm.all_links()):
                link.close()
            vm.face.close()
        for upstream in (*self.upstreams, *self.past_upstreams):
            upstream.engine.close()
        self.store.close()


def is_ready(vm: Vm) -> bool:
    """Asks a VM whether it is ready, past its link."""
    connection = http.client.HTTPConnection(vm.ip, 8406, timeout=1.0)
    try:
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def _pair(host: str, port: int) -> tuple[str, int]:
    return host, port
