"""Fakes of the services that the limits use: platform, peers and clocks.

Tests and `limitcost` connect real `EscrowLimits` objects with them. The faults
of the real services can be switched on; the fakes contain no limit logic.
"""

from collections.abc import Callable
import random
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import limits
from bulrushdeald import services


class World:
    """The simulated time that all VMs share.

    Attributes:
        now_s: The true time.
        on_sleep: Called whenever a VM sleeps.
    """

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.on_sleep: Callable[[], None] = lambda: None


class VmClock:
    """The clock of one VM, whose monotonic time may drift."""

    def __init__(self, world: World, drift: float = 0.0) -> None:
        self._world = world
        self._rate = 1.0 + drift

    def monotonic_s(self) -> float:
        """See `clock.Clock`."""
        return self._world.now_s * self._rate

    def wall_s(self) -> float:
        """See `clock.Clock`."""
        return self._world.now_s

    def sleep_s(self, duration_s: float) -> None:
        """Calls `World.on_sleep` instead of waiting; see `clock.Clock`."""
        del duration_s
        self._world.on_sleep()


class MemoryKeyValue:
    """The platform's key-value service in memory.

    Attributes:
        entries: The stored entries by key.
        revision: The revision of the last write.
        is_out: Whether all calls fail.
        is_cut: Not read here; a test can set it around a VM's calls.
        lose_next_answers: Number of next writes that succeed but return the
            error `unknown`.
        reads: Number of reads.
        writes: Number of attempted writes.
    """

    def __init__(self) -> None:
        self.entries: dict[str, services.Entry] = {}
        self.revision = 0
        self.is_out = False
        self.is_cut: Callable[[], bool] = lambda: False
        self.lose_next_answers = 0
        self.reads = 0
        self.writes = 0

    def _unavailable(self) -> result.Err[services.KeyValueError]:
        return result.Err(services.KeyValueError("unavailable", "out"))

    def get(
        self, key: str
    ) -> result.Result[services.Entry | None, services.KeyValueError]:
        """See `services.KeyValue`."""
        self.reads += 1
        if self.is_out:
            return self._unavailable()
        return result.Ok(self.entries.get(key))

    def list(
        self, prefix: str
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        """See `services.KeyValue`."""
        self.reads += 1
        if self.is_out:
            return self._unavailable()
        names = sorted(k for k in self.entries if k.startswith(prefix))
        return result.Ok(tuple(self.entries[name] for name in names))

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        """See `services.KeyValue`."""
        self.writes += 1
        if self.is_out:
            return self._unavailable()
        current = self.entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            return result.Err(
                services.KeyValueError("conflict", "other revision", current)
            )
        self.revision += 1
        self.entries[key] = services.Entry(key, value, self.revision)
        if self.lose_next_answers > 0:
            self.lose_next_answers -= 1
            return result.Err(services.KeyValueError("unknown", "lost"))
        return result.Ok(self.revision)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        """Not implemented: the limits delete no records."""
        raise NotImplementedError

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        """Returns the entries changed after a revision, within 20 ms."""
        time.sleep(min(timeout_s, 0.02))
        listed = self.list(prefix)
        if isinstance(listed, result.Err):
            return listed
        return result.Ok(
            tuple(e for e in listed.ok_value if e.revision > after_revision)
        )


class CutKeyValue:
    """The platform as seen by one VM, which can be cut off from it."""

    def __init__(self, shared: MemoryKeyValue) -> None:
        self._shared = shared
        self.is_cut = False

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._shared, name)
        if not self.is_cut:
            return method
        error = services.KeyValueError("unavailable", "cut off")
        return lambda *args: result.Err(error)


class Queued(NamedTuple):
    """A message that is handled late and whose answer is dropped."""

    sender: str
    message: Any


class Net:
    """Carries messages between VMs, with faults set by its attributes.

    Attributes:
        handlers: Message handlers by VM and message type.
        is_cut: Returns whether a message from one VM to another fails.
        paused: VMs that do not run; messages to them are queued.
        queued: Messages for paused VMs.
        random: Source of random numbers for the users of the net.
        lose_next_answers: Number of next calls that are handled but whose
            answer is lost.
        lose_next_messages: Number of next calls that are not handled.
        delay_next_messages: Number of next calls that are handled only by
            `deliver_late`.
        delayed: The delayed messages with their target VMs.
        in_flight: Called once, after the next message is handled and before
            its answer arrives.
        counts_bytes: Whether `size_bytes` is counted.
        messages: Messages between different VMs, answers included.
        size_bytes: Size of these messages as CBOR.
        pairs: Senders and targets of all calls between different VMs.
    """

    def __init__(self, seed: int = 0) -> None:
        self.handlers: dict[str, dict[type, Callable[[str, Any], Any]]] = {}
        self.is_cut: Callable[[str, str], bool] = lambda a, b: False
        self.paused: set[str] = set()
        self.queued: dict[str, list[Queued]] = {}
        self.random = random.Random(seed)
        self.lose_next_answers = 0
        self.lose_next_messages = 0
        self.delay_next_messages = 0
        self.delayed: list[tuple[str, Queued]] = []
        self.in_flight: Callable[[], None] | None = None
        self.counts_bytes = False
        self.messages = 0
        self.size_bytes = 0
        self.pairs: set[tuple[str, str]] = set()

    def call(
        self, sender: str, vm: str, message: Any
    ) -> result.Result[Any, services.PeerError]:
        """Carries one call and returns its answer, or the fault's error."""
        if sender != vm:
            self.pairs.add((sender, vm))
        if vm not in self.handlers or self.is_cut(sender, vm):
            return result.Err(services.PeerError("unreachable", "cut"))
        if vm in self.paused:
            queue = self.queued.setdefault(vm, [])
            queue.append(Queued(sender, message))
            return result.Err(services.PeerError("timeout", "paused"))
        if sender != vm and self.lose_next_messages > 0:
            self.lose_next_messages -= 1
            return result.Err(services.PeerError("timeout", "lost"))
        if sender != vm and self.delay_next_messages > 0:
            self.delay_next_messages -= 1
            self.delayed.append((vm, Queued(sender, message)))
            return result.Err(services.PeerError("timeout", "late"))
        answer = self.handle(sender, vm, message)
        if sender != vm and self.in_flight is not None:
            meanwhile, self.in_flight = self.in_flight, None
            meanwhile()
        if sender != vm and self.lose_next_answers > 0:
            self.lose_next_answers -= 1
            return result.Err(services.PeerError("timeout", "answer lost"))
        return result.Ok(answer)

    def handle(self, sender: str, vm: str, message: Any) -> Any:
        """Passes a message to its handler and counts message and answer."""
        answer = self.handlers[vm][type(message)](sender, message)
        if sender != vm:
            self.messages += 2
            if self.counts_bytes:
                self.size_bytes += len(codec.pack(message))
                self.size_bytes += len(codec.pack(answer))
        return answer

    def deliver_late(self) -> None:
        """Delivers the delayed messages and drops their answers."""
        late, self.delayed = self.delayed, []
        for vm, queued in late:
            if vm in self.handlers and vm not in self.paused:
                self.handle(queued.sender, vm, queued.message)

    def resume(self, vm: str) -> None:
        """Resumes a paused VM, which handles the messages queued for it."""
        self.paused.discard(vm)
        for queued in self.queued.pop(vm, []):
            self.handle(queued.sender, vm, queued.message)


class NetPeers:
    """The `services.Peers` of one VM, connected by a `Net`."""

    def __init__(self, net: Net, vm: str) -> None:
        self._net = net
        self._vm = vm
        net.handlers[vm] = {}

    def register_handler(
        self, kind: type[Any], handler: Callable[[str, Any], Any]
    ) -> None:
        """See `services.Peers`."""
        self._net.handlers[self._vm][kind] = handler

    def register_answers(self, *kinds: type[Any]) -> None:
        """See `services.Peers`."""

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        """See `services.Peers`."""
        del timeout_s
        return self._net.call(self._vm, vm, message)


class ListedMembership:
    """One VM's membership: the shared list of VMs and the VM's own row."""

    def __init__(
        self, listed: dict[str, records.Vm], own: records.Vm, incarnation: str
    ) -> None:
        self._listed = listed
        self._own = own
        self._incarnation = incarnation

    def own_vm(self) -> records.Vm:
        """See `services.Membership`."""
        return self._own

    def incarnation(self) -> str:
        """See `services.Membership`."""
        return self._incarnation

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """See `services.Membership`."""
        rows = {**self._listed, self._own.vm: self._own}
        return tuple(rows[name] for name in sorted(rows))

    def is_listed(self, vm: str) -> bool:
        """See `services.Membership`."""
        return vm in self._listed

    def is_leaving(self, vm: str) -> bool:
        """See `services.Membership`."""
        row = self._listed.get(vm)
        return row is not None and row.state == "leaving"


class RowsConfig:
    """The configuration of one VM: the customers' rows in force."""

    def __init__(self, rows: dict[str, records.Customer]) -> None:
        self.rows = dict(rows)
        self.openings: dict[str, records.InitialTokens] = {}
        self._callbacks: list[Callable[[], None]] = []

    def customer(self, customer: str) -> records.Customer | None:
        """See `services.Config`."""
        return self.rows.get(customer)

    def customers(self) -> tuple[records.Customer, ...]:
        """See `services.Config`."""
        return tuple(self.rows[name] for name in sorted(self.rows))

    def initial_tokens(self, customer: str) -> records.InitialTokens | None:
        """See `services.Config`."""
        return self.openings.get(customer)

    def on_change(self, callback: Callable[[], None]) -> None:
        """See `services.Config`."""
        self._callbacks.append(callback)

    def apply(
        self,
        row: records.Customer,
        initial_tokens: records.InitialTokens | None = None,
    ) -> None:
        """Puts a row in force.

        Args:
            row: The new row of a customer.
            initial_tokens: The customer's initial tokens, if the row is new.
        """
        if initial_tokens is not None:
            self.openings[row.customer] = initial_tokens
        self.rows[row.customer] = row
        for callback in self._callbacks:
            callback()


class Node(NamedTuple):
    """One VM with its real `EscrowLimits` and its fakes."""

    vm: records.Vm
    limits: limits.EscrowLimits
    config: RowsConfig
    keyvalue: CutKeyValue


class Fleet:
    """Several VMs connected by the fakes, in simulated time."""

    def __init__(self, rows: tuple[records.Customer, ...]) -> None:
        self.world = World()
        self.world.on_sleep = self.work
        self.keyvalue = MemoryKeyValue()
        self.net = Net()
        self.listed: dict[str, records.Vm] = {}
        self.rows = {row.customer: row for row in rows}
        self.nodes: dict[str, Node] = {}
        self._runs = 0

    def add(
        self,
        name: str,
        domain: str,
        drift: float = 0.0,
        has_threads: bool = False,
    ) -> Node:
        """Starts or restarts a VM and lists it.

        Args:
            name: Name of the VM.
            domain: Its failure domain.
            drift: How much faster its clock runs, as a fraction.
            has_threads: Whether it runs in its own threads on the real
                clock. Otherwise `tend` and `work` run it.
        """
        self._runs += 1
        vm = records.Vm(name, domain, "entry", f"{name}:1")
        self.listed[name] = vm
        kernel = kernel_lib.Kernel()
        keyvalue = CutKeyValue(self.keyvalue)
        config = RowsConfig(self.rows)
        members = ListedMembership(self.listed, vm, f"run{self._runs}")
        parts: dict[str, Any] = {
            services.KEYVALUE: keyvalue,
            services.MEMBERSHIP: members,
            services.PEERS: NetPeers(self.net, name),
            services.CONFIG: config,
        }
        for part, service in parts.items():
            kernel.register(part, service)
        clock = None if has_threads else VmClock(self.world, drift)
        service = limits.EscrowLimits(kernel, _settings(name, domain), clock)
        if has_threads:
            service.start()
        else:
            service.attach()
        node = Node(vm, service, config, keyvalue)
        self.nodes[name] = node
        return node

    def kill(self, name: str) -> None:
        """Crashes a VM, which stays on the platform's list."""
        self.nodes.pop(name)
        self.net.handlers.pop(name)
        self.net.paused.discard(name)
        self.net.queued.pop(name, None)

    def running(self) -> list[Node]:
        """Returns the VMs that are neither dead nor paused."""
        return [
            node
            for name, node in self.nodes.items()
            if name not in self.net.paused
        ]

    def tend(self) -> None:
        """Runs `refresh` and `run_maintenance` on each running VM."""
        for node in self.running():
            node.limits.refresh()
            node.limits.run_maintenance()

    def work(self) -> None:
        """Runs `work` of the limits on each running VM."""
        for node in self.running():
            node.limits.run_urgent_tasks()

    def settle(self, seconds: int) -> None:
        """Advances the time in steps of a second, with `tend` after each."""
        for _ in range(seconds):
            self.world.now_s += 1.0
            self.tend()


def _settings(vm: str, domain: str) -> defaults.Settings:
    # No address is listened on or connected to, so all can be the same.
    addresses = dict.fromkeys(
        (
            "callers-address",
            "operators-address",
            "peers-address",
            "platform-address",
        ),
        "127.0.0.1:1",
    )
    flags = {"vm": vm, "failure-domain": domain, "operator-token": "none"}
    return defaults.read({**addresses, **flags}, {})
