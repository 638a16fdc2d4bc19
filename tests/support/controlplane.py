"""The control services of VMs, run in the test process on free ports."""

from collections.abc import Callable
from concurrent import futures
import json
import time
from typing import Any, NamedTuple

import urllib3

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import defaults
from bulrushdeald import keyvalue
from bulrushdeald import membership
from bulrushdeald import operators
from bulrushdeald import peers
from bulrushdeald import services
from bulrushdeald import vmlist
from standins import fleet as fleet_lib
from standins import platform
from support import fakes

TOKEN = "operator-token"
_WAIT_TIMEOUT_S = 30.0


def settings(platform_address: str, **overrides: Any) -> defaults.Settings:
    flags = {
        "vm": "vm-1",
        "failure_domain": "domain-1",
        "peers_address": fleet_lib.free_address(),
        "platform_address": platform_address,
        "operator_token": TOKEN,
        "platform_timeout_s": "0.5",
        "vm_list_poll_s": "0.1",
    }
    flags.update({name: str(value) for name, value in overrides.items()})
    return fakes.settings(**flags)


def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition is true; fails the test on a timeout."""
    end_s = time.monotonic() + _WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s, "the condition did not become true"
        time.sleep(0.01)


class Answer(NamedTuple):
    status: int
    headers: Any
    text: str

    @property
    def body(self) -> Any:
        return json.loads(self.text)


class ControlVm:
    """The key-value, membership, peer, config and operator services of a VM."""

    def __init__(self, vm_settings: defaults.Settings) -> None:
        self.settings = vm_settings
        self.kernel = kernel_lib.Kernel()
        self.keyvalue = keyvalue.HttpKeyValue(self.kernel, vm_settings)
        self.membership = membership.PlatformMembership(
            self.kernel, vm_settings
        )
        self.peers = peers.WebsocketPeers(self.kernel, vm_settings)
        self.vmlist = vmlist.VmListFeed(self.kernel, vm_settings)
        self.config = config.ConfigService(self.kernel, vm_settings)
        self.operators = operators.OperatorsServer(self.kernel, vm_settings)
        self.kernel.register(services.KEYVALUE, self.keyvalue)
        self.kernel.register(services.MEMBERSHIP, self.membership)
        self.kernel.register(services.PEERS, self.peers)
        self.kernel.register(vmlist.NAME, self.vmlist)
        self.kernel.register(services.CONFIG, self.config)
        self.kernel.register(services.OPERATORS, self.operators)
        self._http = urllib3.PoolManager(retries=False)

    def start(self) -> "ControlVm":
        self.kernel.start()
        return self

    def stop(self) -> None:
        self.kernel.stop(1.0)

    def operate(
        self, method: str, path: str, body: Any = None, token: str = TOKEN
    ) -> Answer:
        data = body if isinstance(body, str | None) else json.dumps(body)
        answer = self._http.request(
            method,
            f"http://127.0.0.1:{self.operators.port}{path}",
            body=data,
            headers={"Authorization": f"Bearer {token}"},
            timeout=20.0,
        )
        return Answer(answer.status, answer.headers, answer.data.decode())


class Fleet:
    """The stand-in platform and the VMs that it lists."""

    def __init__(self) -> None:
        self.platform = platform.Platform()
        self.platform.start()
        self.vms: list[ControlVm] = []

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exception: object) -> None:
        with futures.ThreadPoolExecutor(len(self.vms) or 1) as pool:
            for vm in self.vms:
                pool.submit(vm.stop)
        self.platform.stop(0.2)

    def add(self, vm: str, failure_domain: str, **overrides: Any) -> ControlVm:
        control_vm = ControlVm(
            settings(
                overrides.pop("platform_address", self.platform.address),
                vm=vm,
                failure_domain=failure_domain,
                **overrides,
            )
        )
        self.platform.set_vm(
            records.Vm(
                vm, failure_domain, "entry", control_vm.settings.peers_address
            )
        )
        self.vms.append(control_vm)
        return control_vm.start()
