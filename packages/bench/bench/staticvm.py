"""The callers' path of one VM, with fixed fakes of all other services.

The other services answer from memory: two customers with one key each, no
limits, and unlimited slots given in turn. So a measurement shows the cost of
the path alone.
"""

import argparse
from collections.abc import Callable
import hashlib
import threading
from typing import Any, cast

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import callers
from bulrushdeald import defaults
from bulrushdeald import intents
from bulrushdeald import services
from bulrushdeald import upstreams

KEY = "sk-schools-1"
OTHER_KEY = "sk-plumbers-1"
MODEL = "textbook"


def hash_of(key: str) -> str:
    """Returns the hash of a key, under which the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def settings(**changes: Any) -> defaults.Settings:
    """Returns settings for loopback with free ports.

    Args:
        changes: Settings other than these and the defaults.
    """
    flags = {
        "vm": "vm-1",
        "failure-domain": "nairobi-1",
        "callers-address": "127.0.0.1:0",
        "operators-address": "127.0.0.1:0",
        "peers-address": "127.0.0.1:0",
        "platform-address": "127.0.0.1:1",
        "operator-token": "token",
    }
    return defaults.read(flags, {})._replace(**changes)


class StaticService:
    """A service without threads or state; the base class of the fakes."""

    def start(self) -> None:
        """See `kernel.Service`."""

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {}


class StaticConfig(StaticService):
    """A configuration of two customers with one key each and some upstreams.

    Attributes:
        rows: The upstreams.
        withdrawn: Hashes of withdrawn keys.
        is_ready: Whether the VM has received a configuration.
    """

    def __init__(self, *rows: records.Upstream) -> None:
        self.rows = rows
        self.withdrawn: set[str] = set()
        self.is_ready = True
        self._customers = {KEY: "schools", OTHER_KEY: "plumbers"}
        self._callbacks: list[Callable[[], None]] = []

    def revision(self) -> int:
        """See `services.Config`."""
        return int(self.is_ready)

    def authenticate(
        self, key: str
    ) -> result.Result[services.Principal, services.ConfigError]:
        """See `services.Config`."""
        if not self.is_ready:
            return result.Err(services.ConfigError("not_ready", "Not ready."))
        key_hash = hash_of(key)
        if key not in self._customers or key_hash in self.withdrawn:
            return result.Err(services.ConfigError("unknown_key", "No key."))
        customer = records.Customer(self._customers[key])
        return result.Ok(services.Principal(customer, key_hash))

    def is_withdrawn(self, key_hash: str) -> bool:
        """See `services.Config`."""
        return key_hash in self.withdrawn

    def upstreams(self) -> tuple[records.Upstream, ...]:
        """See `services.Config`."""
        return self.rows

    def models(self) -> frozenset[str]:
        """See `services.Config`."""
        return frozenset(
            model for row in self.upstreams() for model in row.models
        )

    def plain_service_names(self) -> frozenset[str]:
        """See `services.Config`."""
        return frozenset(row.service for row in self.upstreams())

    def on_change(self, callback: Callable[[], None]) -> None:
        """See `services.Config`."""
        self._callbacks.append(callback)

    def withdraw(self, key: str) -> None:
        """Withdraws a key and calls the callbacks for changes."""
        self.withdrawn.add(hash_of(key))
        for callback in self._callbacks:
            callback()


class StaticLimits(StaticService):
    """Counts requests and refuses none by default.

    Attributes:
        taken: Number of requests.
        refusal: The refusal of all requests, if set.
    """

    def __init__(self) -> None:
        self.taken = 0
        self.refusal: services.Refusal | None = None

    def is_ready(self) -> bool:
        """See `services.Limits`."""
        return True

    def take(
        self, customer: str, count: float = 1.0
    ) -> result.Result[None, services.Refusal]:
        """See `services.Limits`."""
        del customer, count
        self.taken += 1
        if self.refusal is not None:
            return result.Err(self.refusal)
        return result.Ok(None)


class StaticSlot:
    """See `services.Slot`."""

    def __init__(self, owner: "TurnRouter", row: records.Upstream) -> None:
        self._owner = owner
        self._row = row

    @property
    def upstream(self) -> records.Upstream:
        """See `services.Slot`."""
        return self._row

    def on_yield(self, callback: Callable[[], None]) -> None:
        """See `services.Slot`."""

    def release(self, outcome: services.Outcome) -> None:
        """Records the outcome and frees the slot.

        Raises:
            ValueError: The slot has been released before.
        """
        with self._owner.lock:
            self._owner.held.remove(self)
            self._owner.outcomes.append(outcome)


class TurnRouter(StaticService):
    """Gives an unlimited number of slots, with the upstreams in turn.

    Attributes:
        lock: Guards the other attributes.
        held: Slots not yet released.
        outcomes: Outcomes of the released slots.
        works: The work of all requests for a slot.
    """

    def __init__(self, config: StaticConfig) -> None:
        self._config = config
        self.lock = threading.Lock()
        self.held: list[StaticSlot] = []
        self.outcomes: list[services.Outcome] = []
        self.works: list[services.PlacementRequest] = []

    def acquire(
        self, work: services.PlacementRequest
    ) -> result.Result[StaticSlot, services.Refusal]:
        """See `services.Router`."""
        rows = [
            row
            for row in self._config.rows
            if work.model in row.models
            or (work.service and work.service == row.service)
        ]
        with self.lock:
            self.works.append(work)
            slot = StaticSlot(self, rows[len(self.works) % len(rows)])
            self.held.append(slot)
        return result.Ok(slot)


class StaticUsage(StaticService):
    """Keeps all usage events in memory."""

    def __init__(self) -> None:
        self.events: list[services.UsageEvent] = []

    def record(self, event: services.UsageEvent) -> None:
        """See `services.Usage`."""
        self.events.append(event)


class StaticMembership(StaticService):
    """The membership of one VM; all VMs are listed but those excluded."""

    def __init__(self, vm: str, unlisted: set[str]) -> None:
        self._own = records.Vm(vm, "nairobi-1", "entry")
        self._unlisted = unlisted

    def own_vm(self) -> records.Vm:
        """See `services.Membership`."""
        return self._own

    def incarnation(self) -> str:
        """See `services.Membership`."""
        return f"run-of-{self._own.vm}"

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """See `services.Membership`."""
        return (self._own,)

    def is_listed(self, vm: str) -> bool:
        """See `services.Membership`."""
        return vm not in self._unlisted


class StaticVm:
    """The callers' path of one VM.

    Args:
        rows: The upstreams.
        keyvalue: The platform's key-value service; `None` for a fake without
            its methods, if the path does not use it.
        unlisted: VMs that are not on the platform's list.
        changes: Settings other than the defaults.
    """

    def __init__(
        self,
        *rows: records.Upstream,
        keyvalue: Any = None,
        unlisted: set[str] | None = None,
        **changes: Any,
    ) -> None:
        self.config = StaticConfig(*rows)
        self.limits = StaticLimits()
        self.router = TurnRouter(self.config)
        self.usage = StaticUsage()
        self.settings = settings(**changes)
        self.kernel = kernel_lib.Kernel()
        self.callers = callers.CallersServer(self.kernel, self.settings)
        # The caller may change its set later, so even an empty one is used
        # itself and not replaced.
        unlisted_vms = set() if unlisted is None else unlisted
        membership = StaticMembership(self.settings.vm, unlisted_vms)
        for name, service in (
            (services.KEYVALUE, keyvalue or StaticService()),
            (services.MEMBERSHIP, membership),
            (services.CONFIG, self.config),
            (services.LIMITS, self.limits),
            (services.ROUTER, self.router),
            (services.USAGE, self.usage),
            (
                services.UPSTREAMS,
                upstreams.HttpUpstreams(self.kernel, self.settings),
            ),
            (services.INTENTS, intents.Intents(self.kernel, self.settings)),
            (services.CALLERS, self.callers),
            (callers.LISTENER, callers.Listener(self.kernel, self.settings)),
        ):
            self.kernel.register(name, cast(kernel_lib.Service, service))


def engine_row(address: str, name: str = "engine-1") -> records.Upstream:
    """Returns the row of an engine as an upstream."""
    return records.Upstream(
        name, "engine", address, "vm-up", "nairobi-1", (MODEL,)
    )


def main() -> None:
    """Runs the callers' path until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", required=True, help="separated by commas")
    parser.add_argument("--threads", type=int, default=300)
    flags = parser.parse_args()
    rows = [
        engine_row(address, f"engine-{index}")
        for index, address in enumerate(flags.engines.split(","))
    ]
    vm = StaticVm(*rows, online_threads=flags.threads)
    vm.kernel.start()
    print(f"listening 127.0.0.1:{vm.callers.port}", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
