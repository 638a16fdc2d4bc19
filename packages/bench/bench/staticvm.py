"""The callers' path of one VM on its own, with everything else standing.

The services around the path answer from memory: one key, no limits, slots
without end given in turn. So what is measured is the path alone.
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
    """Returns the name that a key is known by."""
    return hashlib.sha256(key.encode()).hexdigest()


def settings(**changes: Any) -> defaults.Settings:
    """Returns settings for loopback with free ports."""
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
    """A service without a life of its own."""

    def start(self) -> None:
        """See `kernel.Service`."""

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {}


class StaticConfig(StaticService):
    """Two customers with a key each, and the upstreams given.

    Attributes:
        rows: The upstreams.
        withdrawn: Hashes of withdrawn keys.
        is_ready: Whether there is a configuration at all.
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

    def plain_services(self) -> frozenset[str]:
        """See `services.Config`."""
        return frozenset(row.service for row in self.upstreams())

    def on_change(self, callback: Callable[[], None]) -> None:
        """See `services.Config`."""
        self._callbacks.append(callback)

    def withdraw(self, key: str) -> None:
        """Withdraws a key."""
        self.withdrawn.add(hash_of(key))
        for callback in self._callbacks:
            callback()


class StaticLimits(StaticService):
    """Counts requests and refuses none unless told to."""

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
        """Notes the outcome; a second call is an error."""
        with self._owner.lock:
            self._owner.held.remove(self)
            self._owner.outcomes.append(outcome)


class TurnRouter(StaticService):
    """Gives slots in turn, without end."""

    def __init__(self, config: StaticConfig) -> None:
        self._config = config
        self.lock = threading.Lock()
        self.held: list[StaticSlot] = []
        self.outcomes: list[services.Outcome] = []
        self.works: list[services.Work] = []

    def acquire(
        self, work: services.Work
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
    """Keeps the events."""

    def __init__(self) -> None:
        self.events: list[services.UsageEvent] = []

    def record(self, event: services.UsageEvent) -> None:
        """See `services.Usage`."""
        self.events.append(event)


class StaticMembership(StaticService):
    """One VM, and others that are listed unless told otherwise."""

    def __init__(self, vm: str, unlisted: set[str]) -> None:
        self._own = records.Vm(vm, "nairobi-1", "entry")
        self._unlisted = unlisted

    def own(self) -> records.Vm:
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
        keyvalue: The platform's service; `None` for one that is not asked.
        unlisted: The VMs that the platform's list does not name.
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
        # The set may be shared and change later, so an empty one is kept.
        others = set() if unlisted is None else unlisted
        membership = StaticMembership(self.settings.vm, others)
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
    """Returns the row of an engine."""
    return records.Upstream(
        name, "engine", address, "vm-up", "nairobi-1", (MODEL,)
    )


def main() -> None:
    """Runs the path as a process until it is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", required=True, help="with commas")
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
