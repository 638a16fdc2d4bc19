"""Fakes of the services that the callers' path speaks to, and a small VM."""

from collections.abc import Callable, Iterator
import contextlib
import hashlib
import http.client
import json
import threading
import time
from typing import Any, cast

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import callers
from bulrushdeald import defaults
from bulrushdeald import intents
from bulrushdeald import services
from bulrushdeald import upstreams
from standins import engine

KEY = "sk-schools-1"
OTHER_KEY = "sk-plumbers-1"
FAST = engine.Timing(token_s=0.001, token_per_stream_s=0.0, prefill_s=0.0)


def settings(**changes: Any) -> defaults.Settings:
    flags = {
        "vm": "vm-1",
        "failure-domain": "nairobi-1",
        "callers-address": "127.0.0.1:0",
        "operators-address": "127.0.0.1:0",
        "peers-address": "127.0.0.1:0",
        "platform-address": "127.0.0.1:1",
        "operator-token": "token",
        "online-threads": "32",
        "unready-s": "0.1",
    }
    return defaults.read(flags, {})._replace(**changes)


def hash_of(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


class FakeService:
    def start(self) -> None:
        pass

    def stop(self, grace_s: float) -> None:
        pass

    def dump(self) -> Any:
        return {}


class FakeConfig(FakeService):
    def __init__(self, *upstream_rows: records.Upstream) -> None:
        self.upstream_rows = upstream_rows
        self.keys = {KEY: "schools", OTHER_KEY: "plumbers"}
        self.withdrawn: set[str] = set()
        self.is_ready = True
        self._callbacks: list[Callable[[], None]] = []

    def revision(self) -> int:
        return int(self.is_ready)

    def authenticate(
        self, key: str
    ) -> result.Result[services.Principal, services.ConfigError]:
        if not self.is_ready:
            return result.Err(services.ConfigError("not_ready", "Not ready."))
        if key not in self.keys or hash_of(key) in self.withdrawn:
            return result.Err(services.ConfigError("unknown_key", "No key."))
        customer = records.Customer(self.keys[key])
        return result.Ok(services.Principal(customer, hash_of(key)))

    def is_withdrawn(self, key_hash: str) -> bool:
        return key_hash in self.withdrawn

    def upstreams(self) -> tuple[records.Upstream, ...]:
        return self.upstream_rows

    def on_change(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def withdraw(self, key: str) -> None:
        self.withdrawn.add(hash_of(key))
        for callback in self._callbacks:
            callback()


class FakeLimits(FakeService):
    def __init__(self) -> None:
        self.taken = 0
        self.refusal: services.Refusal | None = None

    def take(
        self, customer: str, count: float = 1.0
    ) -> result.Result[None, services.Refusal]:
        self.taken += 1
        if self.refusal is not None:
            return result.Err(self.refusal)
        return result.Ok(None)


class FakeSlot:
    def __init__(self, owner: "FakeRouter", row: records.Upstream) -> None:
        self._owner = owner
        self._row = row

    @property
    def upstream(self) -> records.Upstream:
        return self._row

    def on_yield(self, callback: Callable[[], None]) -> None:
        pass

    def release(self, outcome: services.Outcome) -> None:
        with self._owner.lock:
            self._owner.held.remove(self)
            self._owner.outcomes.append(outcome)


class FakeRouter(FakeService):
    """Gives slots in turn without end; a slot released twice is an error."""

    def __init__(self, config: FakeConfig) -> None:
        self._config = config
        self.lock = threading.Lock()
        self.held: list[FakeSlot] = []
        self.outcomes: list[services.Outcome] = []
        self.works: list[services.Work] = []

    def acquire(
        self, work: services.Work
    ) -> result.Result[FakeSlot, services.Refusal]:
        with self.lock:
            rows = [
                row
                for row in self._config.upstreams()
                if work.model in row.models
                or (work.service and work.service == row.service)
            ]
            self.works.append(work)
            slot = FakeSlot(self, rows[len(self.works) % len(rows)])
            self.held.append(slot)
            return result.Ok(slot)


class FakeUsage(FakeService):
    def __init__(self) -> None:
        self.events: list[services.UsageEvent] = []

    def record(self, event: services.UsageEvent) -> None:
        self.events.append(event)


class FakeKeyValue(FakeService):
    """The platform's service in memory, shared by the VMs of a test."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.entries: dict[str, services.Entry] = {}
        self.revision = 0
        self.is_out = False
        # The next writes that take effect and whose answer is lost.
        self.lose_answers = 0
        # Called once after a write took effect, before its answer.
        self.on_write: Callable[[], None] | None = None

    def get(
        self, key: str
    ) -> result.Result[services.Entry | None, services.KeyValueError]:
        if self.is_out:
            return result.Err(services.KeyValueError("unavailable", "out"))
        return result.Ok(self.entries.get(key))

    def list(
        self, prefix: str
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        with self.lock:
            entries = sorted(self.entries.values())
        return result.Ok(
            tuple(entry for entry in entries if entry.key.startswith(prefix))
        )

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        return self._write(key, value, expected_revision)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        written = self._write(key, None, expected_revision)
        if isinstance(written, result.Err):
            return written
        return result.Ok(None)

    def _write(
        self, key: str, value: bytes | None, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        if self.is_out:
            return result.Err(services.KeyValueError("unavailable", "out"))
        with self.lock:
            current = self.entries.get(key)
            revision = current.revision if current is not None else 0
            if revision != expected_revision:
                return result.Err(
                    services.KeyValueError("conflict", "other", current)
                )
            self.revision += 1
            revision = self.revision
            if value is None:
                self.entries.pop(key, None)
            else:
                self.entries[key] = services.Entry(key, value, revision)
            on_write, self.on_write = self.on_write, None
        if on_write is not None:
            on_write()
        with self.lock:
            if self.lose_answers > 0:
                self.lose_answers -= 1
                return result.Err(services.KeyValueError("unknown", "lost"))
        return result.Ok(revision)


class FakeMembership(FakeService):
    def __init__(self, vm: str, unlisted: set[str]) -> None:
        self._own = records.Vm(vm, "nairobi-1", "entry")
        self._incarnation = f"{vm}-{time.monotonic_ns()}"
        self._unlisted = unlisted

    def own(self) -> records.Vm:
        return self._own

    def incarnation(self) -> str:
        return self._incarnation

    def entry_vms(self) -> tuple[records.Vm, ...]:
        return (self._own,)

    def is_listed(self, vm: str) -> bool:
        return vm not in self._unlisted


class Platform:
    """What several small VMs share."""

    def __init__(self) -> None:
        self.keyvalue = FakeKeyValue()
        self.unlisted: set[str] = set()


class SmallVm:
    """The callers' path of one VM, with fakes around it."""

    def __init__(
        self,
        *rows: records.Upstream,
        platform: Platform | None = None,
        **changes: Any,
    ) -> None:
        self.platform = platform or Platform()
        self.config = FakeConfig(*rows)
        self.limits = FakeLimits()
        self.router = FakeRouter(self.config)
        self.usage = FakeUsage()
        self.settings = settings(**changes)
        self.kernel = kernel_lib.Kernel()
        self.callers = callers.CallersServer(self.kernel, self.settings)
        for name, service in (
            (services.CONFIG, self.config),
            (services.LIMITS, self.limits),
            (services.ROUTER, self.router),
            (services.USAGE, self.usage),
            (
                services.UPSTREAMS,
                upstreams.HttpUpstreams(self.kernel, self.settings),
            ),
            (services.KEYVALUE, self.platform.keyvalue),
            (
                services.MEMBERSHIP,
                FakeMembership(self.settings.vm, self.platform.unlisted),
            ),
            (services.INTENTS, intents.Intents(self.kernel, self.settings)),
            (services.CALLERS, self.callers),
            (callers.LISTENER, callers.Listener(self.kernel, self.settings)),
        ):
            self.kernel.register(name, cast(kernel_lib.Service, service))

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(
            "127.0.0.1", self.callers.port, timeout=10
        )

    def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        key: str = KEY,
        **headers: str,
    ) -> "Reply":
        """Sends one request on a connection of its own."""
        with contextlib.closing(self.connect()) as connection:
            data = body if isinstance(body, bytes) else json.dumps(body)
            names = {k.replace("_", "-"): v for k, v in headers.items()}
            connection.request(
                method,
                path,
                data if body is not None else None,
                {"Authorization": f"Bearer {key}", **names},
            )
            return Reply(connection.getresponse())


class Reply:
    """A whole answer."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self.status = response.status
        self.headers = {k.lower(): v for k, v in response.getheaders()}
        self.body = response.read()

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> Any:
        return self.json["error"]


@contextlib.contextmanager
def running(*rows: records.Upstream, **changes: Any) -> Iterator[SmallVm]:
    vm = SmallVm(*rows, **changes)
    vm.kernel.start()
    try:
        yield vm
    finally:
        vm.kernel.stop(2.0)


def engine_row(address: str, name: str = "engine-1") -> records.Upstream:
    return records.Upstream(
        name, "engine", address, "vm-up", "nairobi-1", ("textbook",)
    )


def plain_row(address: str, name: str = "booking-1") -> records.Upstream:
    return records.Upstream(
        name, "plain", address, "vm-up", "nairobi-1", service="booking"
    )


def chat(text: str = "hello", **fields: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": text}]
    return {"model": "textbook", "messages": messages, **fields}


def wait_until(is_so: Callable[[], bool], timeout_s: float = 10.0) -> None:
    """Waits for what another thread will bring about; fails if it does not."""
    end_s = time.monotonic() + timeout_s
    while not is_so():
        assert time.monotonic() < end_s, "it did not happen"
        time.sleep(0.005)
