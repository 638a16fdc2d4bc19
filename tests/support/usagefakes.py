"""Small fakes of the services that usage calls, with faults at each call."""

from collections.abc import Callable
from typing import Any, Literal

import result

from bulrushdeal import records
from bulrushdeald import services
from support import fakes
from support import keyvalues

Fault = Literal["", "applied", "dropped", "late", "unavailable"]


class FaultyKeyValue(keyvalues.MemoryKeyValue):
    """A key-value service in memory with injected faults.

    Attributes:
        faults: The faults of the next puts in order, `""` for none. `applied`
            and `dropped` lose the answer with and without the effect; `late`
            takes effect only when `arrive` is called; `unavailable` fails.
        late: The writes that have not taken effect yet.
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
        """Applies the late writes whose expected revision still matches."""
        late, self.late = self.late, []
        for key, value, expected_revision in late:
            super().put(key, value, expected_revision)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        raise NotImplementedError


class Network(fakes.Network):
    """Delivers messages between the VMs of one failure domain.

    Attributes:
        leaving: The VMs that are being stopped.
        faults: The faults of the next calls in order: `""` for none,
            `unreachable`, or `timeout` after the message has taken effect.
        sent: All messages sent, for repeated delivery.
    """

    def __init__(self) -> None:
        super().__init__()
        self.leaving: set[str] = set()
        self.faults: list[Literal["", "unreachable", "timeout"]] = []
        self.sent: list[Any] = []

    def call(
        self, source: str, target: str, message: Any
    ) -> result.Result[Any, services.PeerError]:
        self.sent.append(message)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "unreachable":
            return result.Err(services.PeerError("unreachable", "cut off"))
        answer = super().call(source, target, message)
        if fault == "timeout":
            return result.Err(services.PeerError("timeout", "silence"))
        return answer

    def deliver_again(self, vm: str, message: Any) -> Any:
        return self.deliver("again", vm, message).unwrap()


class FakePeers(fakes.Peers, fakes.Membership):
    """`services.Peers` and `services.Membership` of one VM."""

    def __init__(self, network: Network, vm: str, incarnation: str) -> None:
        fakes.Peers.__init__(self, network, vm)
        own = records.Vm(vm, "north", "entry")
        fakes.Membership.__init__(self, own, (), incarnation)
        self.network = network
        self.name = incarnation

    def entry_vms(self) -> tuple[records.Vm, ...]:
        return tuple(
            records.Vm(vm, "north", "entry") for vm in self.network.handlers
        )

    def is_leaving(self, vm: str) -> bool:
        return vm in self.network.leaving
