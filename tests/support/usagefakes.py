"""Small fakes of what usage speaks to, with faults at each call."""

from collections.abc import Callable
from typing import Any, Literal

import result

from bulrushdeal import records
from bulrushdeald import services
from support import fakes
from support import keyvalues

Fault = Literal["", "applied", "dropped", "late", "unavailable"]


class FaultyKeyValue(keyvalues.MemoryKeyValue):
    """A key-value service in memory that loses answers as told.

    Attributes:
        faults: What happens to the next puts, first one first. `applied`
            and `dropped` lose the answer with and without the effect;
            `late` has its effect only when `arrive` is called.
        on_call: Called before each call, to interleave other writers.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[Fault] = []
        self.late: list[tuple[str, bytes, int]] = []
        self.on_call: Callable[[], None] = lambda: None

    def get(
        self, key: str
    ) -> result.Result[services.Entry | None, services.KeyValueError]:
        self.on_call()
        return super().get(key)

    def list(
        self, prefix: str
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        self.on_call()
        return super().list(prefix)

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        self.on_call()
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "unavailable":
            return self._out()
        if fault == "late":
            self.late.append((key, value, expected_revision))
        if fault in ("late", "dropped"):
            return result.Err(services.KeyValueError("unknown", "lost"))
        done = super().put(key, value, expected_revision)
        if fault == "applied":
            return result.Err(services.KeyValueError("unknown", "lost"))
        return done

    def arrive(self) -> None:
        """Lets the writes that are late take effect, if they still may."""
        late, self.late = self.late, []
        for key, value, expected_revision in late:
            super().put(key, value, expected_revision)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        raise NotImplementedError


class Network:
    """Hands messages between the VMs of one failure domain.

    Attributes:
        faults: What happens to the next calls: `""`, `unreachable`, or
            `timeout` after the message has had its effect.
        sent: All messages ever sent, to be delivered again.
    """

    def __init__(self) -> None:
        self.vms: dict[str, FakePeers] = {}
        self.leaving: set[str] = set()
        self.faults: list[Literal["", "unreachable", "timeout"]] = []
        self.sent: list[Any] = []

    def deliver(self, vm: str, message: Any) -> Any:
        return self.vms[vm].handlers[type(message).__name__]("again", message)

    def rows(self) -> tuple[records.Vm, ...]:
        return tuple(records.Vm(vm, "north", "entry") for vm in self.vms)


class FakePeers(fakes.Membership):
    """`services.Peers` and `services.Membership` of one VM."""

    def __init__(self, network: Network, vm: str, incarnation: str) -> None:
        super().__init__(records.Vm(vm, "north", "entry"), (), incarnation)
        self.network = network
        self.vm = vm
        self.name = incarnation
        self.handlers: dict[str, Callable[[str, Any], Any]] = {}
        network.vms[vm] = self

    def handle(
        self, kind: type[Any], handler: Callable[[str, Any], Any]
    ) -> None:
        self.handlers[kind.__name__] = handler

    def understand(self, *kinds: type[Any]) -> None:
        del kinds

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        self.network.sent.append(message)
        fault = self.network.faults.pop(0) if self.network.faults else ""
        if fault == "unreachable" or vm not in self.network.vms:
            return result.Err(services.PeerError("unreachable", "cut off"))
        answer = self.network.vms[vm].handlers[type(message).__name__](
            self.vm, message
        )
        if fault == "timeout":
            return result.Err(services.PeerError("timeout", "silence"))
        return result.Ok(answer)

    def entry_vms(self) -> tuple[records.Vm, ...]:
        return self.network.rows()

    def is_leaving(self, vm: str) -> bool:
        return vm in self.network.leaving
