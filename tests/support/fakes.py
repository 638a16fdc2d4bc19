"""Fakes of services, for tests of another service that depends on them."""

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
    flags_by_name = {
        name.replace("_", "-"): text for name, text in flags.items()
    }
    return defaults.read({**FLAGS, **flags_by_name}, {})


class Inert:
    """A service with nothing to start, stop or dump."""

    def start(self) -> None:
        pass

    def stop(self, grace_s: float) -> None:
        pass

    def dump(self) -> Any:
        return None


class Membership(Inert):
    """A fake `services.Membership` with a list set by the test."""

    def __init__(
        self, own: records.Vm, vms: Sequence[records.Vm], run: str = "1"
    ) -> None:
        self.vms = vms
        self.leaving: set[str] = set()
        self._own = own
        self._run = run

    def own_vm(self) -> records.Vm:
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
    """Delivers calls between the `Peers` of a test; links can be cut."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[type, Callable[[str, Any], Any]]] = {}
        self.cuts: set[frozenset[str]] = set()

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def call(
        self, source: str, target: str, message: Any
    ) -> result.Result[Any, services.PeerError]:
        if target not in self.handlers or self.is_cut(source, target):
            return result.Err(services.PeerError("unreachable", "cut"))
        return self.deliver(source, target, message)

    def deliver(
        self, source: str, target: str, message: Any
    ) -> result.Result[Any, services.PeerError]:
        handler = self.handlers.get(target, {}).get(type(message))
        if handler is None:
            return result.Err(services.PeerError("refused", "nobody"))
        return result.Ok(handler(source, message))


class Peers(Inert):
    """A fake `services.Peers` of one VM, connected to a `Network`."""

    def __init__(self, network: Network, vm: str) -> None:
        self._network = network
        self._vm = vm
        network.handlers[vm] = {}

    def register_handler(
        self, kind: type[Any], handler: Callable[[str, Any], Any]
    ) -> None:
        self._network.handlers[self._vm][kind] = handler

    def register_answers(self, *kinds: type[Any]) -> None:
        pass

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        return self._network.call(self._vm, vm, message)


class Config(Inert):
    """A fake `services.Config` with upstreams set by the test."""

    def __init__(self, upstreams: tuple[records.Upstream, ...] = ()) -> None:
        self.all_upstreams = upstreams
        self.callbacks: list[Callable[[], None]] = []

    def customer(self, customer: str) -> records.Customer | None:
        return None

    def upstreams(self) -> tuple[records.Upstream, ...]:
        return self.all_upstreams

    def set_upstreams(self, *upstreams: records.Upstream) -> None:
        self.all_upstreams = upstreams
        for callback in self.callbacks:
            callback()

    def on_change(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)


def kernel(
    membership: Membership, peers: Peers, config: Config
) -> kernel_lib.Kernel:
    new_kernel = kernel_lib.Kernel()
    new_kernel.register(services.MEMBERSHIP, membership)
    new_kernel.register(services.PEERS, peers)
    new_kernel.register(services.CONFIG, config)
    return new_kernel
