"""Fakes of the services that others depend on, for tests of one service."""

from collections.abc import Callable, Sequence
from typing import Any

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import services

FLAGS = {
    "vm": "vm-a",
    "failure-domain": "d1",
    "callers-address": "127.0.0.1:0",
    "operators-address": "127.0.0.1:0",
    "peers-address": "127.0.0.1:0",
    "platform-address": "127.0.0.1:1",
    "operator-token": "token",
}


def settings(**flags: str) -> defaults.Settings:
    named = {name.replace("_", "-"): text for name, text in flags.items()}
    return defaults.read({**FLAGS, **named}, {})


class Inert:
    """A service without a life of its own."""

    def start(self) -> None:
        pass

    def stop(self, grace_s: float) -> None:
        pass

    def dump(self) -> Any:
        return None


class Membership(Inert):
    """A fixed list of VMs."""

    def __init__(
        self, own: records.Vm, vms: Sequence[records.Vm], run: str = "1"
    ) -> None:
        self.vms = vms
        self.leaving: set[str] = set()
        self._own = own
        self._run = run

    def own(self) -> records.Vm:
        return self._own

    def incarnation(self) -> str:
        return self._run

    def entry_vms(self) -> tuple[records.Vm, ...]:
        return tuple(self.vms)

    def is_listed(self, vm: str) -> bool:
        return any(row.vm == vm for row in self.entry_vms())

    def is_leaving(self, vm: str) -> bool:
        return vm in self.leaving


class Network:
    """Delivers calls between `Peers` in one process; links can be cut."""

    def __init__(self) -> None:
        self.peers: dict[str, Peers] = {}
        self.cut: set[frozenset[str]] = set()

    def deliver(
        self, source: str, target: str, message: Any
    ) -> result.Result[Any, services.PeerError]:
        handlers = self.peers[target].handlers if target in self.peers else {}
        handler = handlers.get(type(message))
        if handler is None or frozenset((source, target)) in self.cut:
            return result.Err(services.PeerError("unreachable", "cut"))
        return result.Ok(handler(source, message))


class Peers(Inert):
    """One VM's end of a `Network`."""

    def __init__(self, network: Network, vm: str) -> None:
        self.handlers: dict[type[Any], Callable[[str, Any], Any]] = {}
        self._network = network
        self._vm = vm
        network.peers[vm] = self

    def handle(
        self, kind: type[Any], handler: Callable[[str, Any], Any]
    ) -> None:
        self.handlers[kind] = handler

    def understand(self, *kinds: type[Any]) -> None:
        pass

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        return self._network.deliver(self._vm, vm, message)


class Config(Inert):
    """A configuration that tests set by hand."""

    def __init__(
        self,
        upstreams: tuple[records.Upstream, ...] = (),
        customers: tuple[records.Customer, ...] = (),
    ) -> None:
        self.rows = {row.customer: row for row in customers}
        self.all_upstreams = upstreams
        self.keys: dict[str, str] = {}
        self.withdrawn: set[str] = set()
        self.callbacks: list[Callable[[], None]] = []

    def revision(self) -> int:
        return 1

    def customer(self, customer: str) -> records.Customer | None:
        return self.rows.get(customer)

    def customers(self) -> tuple[records.Customer, ...]:
        return tuple(self.rows.values())

    def authenticate(
        self, key: str
    ) -> result.Result[services.Principal, services.ConfigError]:
        row = self.rows.get(self.keys.get(key, ""))
        if row is None or key in self.withdrawn:
            return result.Err(
                services.ConfigError("unknown_key", "No such key.")
            )
        return result.Ok(services.Principal(row, key))

    def is_withdrawn(self, key_hash: str) -> bool:
        return key_hash in self.withdrawn

    def upstreams(self) -> tuple[records.Upstream, ...]:
        return self.all_upstreams

    def models(self) -> frozenset[str]:
        return frozenset(
            model for row in self.upstreams() for model in row.models
        )

    def plain_services(self) -> frozenset[str]:
        return frozenset(row.service for row in self.upstreams())

    def set_upstreams(self, *upstreams: records.Upstream) -> None:
        self.all_upstreams = upstreams
        for callback in self.callbacks:
            callback()

    def on_change(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)


def kernel(
    membership: Membership, peers: Peers, config: Config
) -> kernel_lib.Kernel:
    made = kernel_lib.Kernel()
    made.register(services.MEMBERSHIP, membership)
    made.register(services.PEERS, peers)
    made.register(services.CONFIG, config)
    return made
