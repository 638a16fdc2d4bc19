"""Fakes of the platform's store and of peers, controlled by tests."""

from collections.abc import Callable
from concurrent import futures
from typing import Any, NamedTuple

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import services
from standins import keyspace
from support import fakes


class InlineExecutor(futures.Executor):
    """Runs each submitted call at once, in the calling thread."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Any:
        fn(*args, **kwargs)

    def shutdown(self, wait: bool = True, **kwargs: Any) -> None:
        return None


class Store:
    """The store of all VMs; keeps every value ever written."""

    def __init__(self) -> None:
        self.keyspace = keyspace.Keyspace()
        self.history: dict[tuple[str, int], bytes] = {}
        self.is_down = False

    def entry(self, held: keyspace.Held) -> services.Entry:
        return services.Entry(held.key, held.value, held.revision)

    def revisions(self) -> dict[str, int]:
        held, _ = self.keyspace.list("")
        return {entry.key: entry.revision for entry in held}


class StoreClient:
    """A fake `services.KeyValue` through which one VM uses the store."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.is_cut = False
        # If set, the next write's answer is lost and reading back does not
        # settle it: `True` if the write takes effect, `False` if not.
        self.next_is_lost: bool | None = None
        # Called once, just before the next write.
        self.before_put: Callable[[], object] | None = None

    def _down(self) -> services.KeyValueError | None:
        if self.is_cut or self._store.is_down:
            return services.KeyValueError("unavailable", "down")
        return None

    def get(self, key: str) -> Any:
        if error := self._down():
            return result.Err(error)
        held = self._store.keyspace.get(key)
        return result.Ok(self._store.entry(held) if held else None)

    def list(self, prefix: str) -> Any:
        if error := self._down():
            return result.Err(error)
        held, _ = self._store.keyspace.list(prefix)
        return result.Ok(tuple(map(self._store.entry, held)))

    def put(self, key: str, value: bytes, expected_revision: int) -> Any:
        if error := self._down():
            return result.Err(error)
        if self.before_put is not None:
            callback, self.before_put = self.before_put, None
            callback()
        is_lost, self.next_is_lost = self.next_is_lost, None
        unknown = services.KeyValueError("unknown", "lost")
        if is_lost is False:
            return result.Err(unknown)
        revision, held = self._store.keyspace.put(key, value, expected_revision)
        if not revision:
            current = self._store.entry(held) if held else None
            return result.Err(
                services.KeyValueError("conflict", "other", current)
            )
        self._store.history[key, revision] = value
        return result.Err(unknown) if is_lost else result.Ok(revision)

    def delete(self, key: str, expected_revision: int) -> Any:
        raise NotImplementedError

    def watch(self, prefix: str, after_revision: int, timeout_s: float) -> Any:
        if error := self._down():
            return result.Err(error)
        held, _ = self._store.keyspace.watch(prefix, after_revision, 0.0)
        return result.Ok(tuple(map(self._store.entry, held)))


class HeldMessage(NamedTuple):
    """A message that was not delivered yet."""

    source: str
    target: str
    message: Any


class Network(fakes.Network):
    """Calls between VMs that can also be held back for late delivery.

    Attributes:
        holds: The types of messages to hold back; their callers time out.
        held: The messages held back so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.holds: tuple[type, ...] = ()
        self.held: list[HeldMessage] = []

    def call(self, source: str, target: str, message: Any) -> Any:
        is_held = isinstance(message, self.holds)
        if not is_held or self.is_cut(source, target):
            return super().call(source, target, message)
        self.held.append(HeldMessage(source, target, message))
        return result.Err(services.PeerError("timeout", "held"))


class FixedMembership(fakes.Membership):
    """A `services.Membership` with a list set by the test."""

    def __init__(self, vm: str, rows: list[records.Vm]) -> None:
        own = next(row for row in rows if row.vm == vm)
        super().__init__(own, rows, f"run of {vm}")


def kernel(**services_by_name: Any) -> kernel_lib.Kernel:
    """Returns a kernel with the given services registered by name."""
    new_kernel = kernel_lib.Kernel()
    for name, service in services_by_name.items():
        new_kernel.register(name, service)
    return new_kernel
