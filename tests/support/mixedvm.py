"""A VM with all services of the request path, without threads.

The configuration, limits, router, dispatch, intents, batch services and the
callers' server (without its socket) are real. The platform's key-value
service, its list of VMs, the network between VMs and the upstreams are fakes.
"""

from collections.abc import Callable, Mapping
import contextlib
import io
import os
import random
import secrets
import threading
from typing import Any, Protocol

import pytest
import result

from bench import limitfakes
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import callers
from bulrushdeald import config
from bulrushdeald import intents
from bulrushdeald import limitrecords
from bulrushdeald import limits
from bulrushdeald import pages
from bulrushdeald import rebalance
from bulrushdeald import router
from bulrushdeald import services
from support import batchfakes
from support import limitoracle
from support import mixedupstreams
from support import platformfakes

# The names of the threads whose target returns soon.
_SHORT_TASKS = ("crash-notice", "yield")


class InlineThread:
    """Runs a short task at once, and other targets not at all.

    The fleet calls the work of the threads that loop.
    """

    def __init__(
        self,
        target: Callable[..., None],
        name: str = "",
        args: tuple[Any, ...] = (),
        daemon: bool = True,
    ) -> None:
        self._target = target
        self._name = name
        self._args = args

    def start(self) -> None:
        if self._name in _SHORT_TASKS:
            self._target(*self._args)

    def join(self, timeout_s: float = 0.0) -> None: ...

    def is_alive(self) -> bool:
        return False


def make_deterministic(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replaces threads and random tokens, so that each run is the same.

    All limits are on one page, and their parts rebalance every 2 s.
    """
    rng = random.Random(0)
    monkeypatch.setattr(threading, "Thread", InlineThread)
    monkeypatch.setattr(
        secrets, "token_hex", lambda size: rng.randbytes(size).hex()
    )
    monkeypatch.setattr(limitrecords, "PAGES", 1)
    monkeypatch.setattr(rebalance, "REBALANCE_INTERVAL_S", 2.0)


class KeyValue(batchfakes.FakeKeyValue):
    """The platform's key-value service, with `watch`.

    Attributes:
        in_flight_action: Runs once, before the next write of an intent or a
            configuration page takes effect.
    """

    def __init__(self) -> None:
        super().__init__()
        self.in_flight_action: Callable[[], None] | None = None

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        if key.startswith((intents.PREFIX, pages.PREFIX)):
            action, self.in_flight_action = self.in_flight_action, None
            if action is not None:
                action()
        return super().put(key, value, expected_revision)

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        listed = self.list(prefix)
        if isinstance(listed, result.Err):
            return listed
        return result.Ok(
            tuple(e for e in listed.ok_value if e.revision > after_revision)
        )


class Net(limitfakes.Net):
    """The network between the VMs."""

    @property
    def silent(self) -> set[str]:
        """The paused VMs, under the name that `BatchMachine` uses."""
        return self.paused


class Members(limitfakes.ListedMembership):
    """The platform's list of VMs.

    Attributes:
        leaving: The VMs of upstreams that are leaving.
    """

    leaving: set[str]

    def is_leaving(self, vm: str) -> bool:
        return vm in self.leaving


class SharedState(Protocol):
    """The state that the VMs of a fleet share; see `mixedfleet.Fleet`."""

    world: limitfakes.World
    keyvalue: KeyValue
    net: Net
    upstreams: mixedupstreams.EchoUpstreams
    events: list[services.UsageEvent]
    listed: dict[str, records.Vm]
    buckets: dict[str, limitoracle.Bucket]

    def activate(
        self, vm: "MixedVm"
    ) -> contextlib.AbstractContextManager[None]:
        """Marks a VM as active while it may wait for an upstream."""

    def secrets_of(self, customer: str) -> list[str]:
        """Returns a customer's API keys, the newest last."""

    def update_buckets(self) -> None:
        """Updates the buckets with the rows that are stored or in force."""


class CountedLimits:
    """The real limits; each admitted request is checked by the oracle."""

    def __init__(self, fleet: "SharedState", real: limits.EscrowLimits) -> None:
        self._fleet = fleet
        self.is_ready = real.is_ready
        self._take = real.take

    def take(
        self, customer: str, count: float = 1.0
    ) -> result.Result[None, services.Refusal]:
        taken = self._take(customer, count)
        if isinstance(taken, result.Ok):
            fleet = self._fleet
            fleet.buckets[customer].admit(fleet.world.now_s)
        return taken


class MixedVm(batchfakes.BatchVm):
    """One VM of the fleet, in one of its processes."""

    def __init__(
        self, fleet: "SharedState", row: records.Vm, run: str, folder: str
    ) -> None:
        self.name = row.vm
        self.row = row
        self._fleet = fleet
        kernel = kernel_lib.Kernel()
        values = batchfakes.settings(row.vm, row.failure_domain, folder)
        self.settings = values
        self.clock = clock = limitfakes.VmClock(fleet.world)
        shared: Any = fleet.keyvalue
        self.platform = limitfakes.CutKeyValue(shared)
        self.keyvalue: Any = self.platform
        self.membership = Members(fleet.listed, row, run)
        self.membership.leaving = fleet.upstreams.leaving
        self.rest = batchfakes.FakeRest()
        self.rest.events = fleet.events
        pool = platformfakes.InlineExecutor()
        rng = random.Random(run)
        self.config = config.ConfigService(kernel, values, clock, rng, pool)
        self.limits = limits.EscrowLimits(kernel, values, clock)
        self.counted_limits = CountedLimits(fleet, self.limits)
        self.router = router.UpstreamRouter(kernel, values, clock)
        self.intents = intents.Intents(kernel, values)
        self.callers = callers.CallersServer(kernel, values)
        found: dict[str, Any] = {
            services.KEYVALUE: self.keyvalue,
            services.MEMBERSHIP: self.membership,
            services.PEERS: limitfakes.NetPeers(fleet.net, row.vm),
            services.CONFIG: self.config,
            services.LIMITS: self.counted_limits,
            services.ROUTER: self.router,
            services.UPSTREAMS: fleet.upstreams,
            services.USAGE: self.rest,
            services.OPERATORS: self.rest,
            services.INTENTS: self.intents,
            services.CALLERS: self.callers,
        }
        for name, service in found.items():
            kernel.register(name, service)
        self.config.attach()
        self.config.on_change(fleet.update_buckets)
        self.limits.attach()
        for started in (self.router, self.intents, self.callers):
            started.start()
        self.add_batch(kernel)

    def close(self) -> None:
        """Closes the file descriptors that the end of a process would close."""
        os.close(self.callers._departures._wake)
        self.callers._departures._epoll.close()

    def withdrawn_hashes(self) -> set[str]:
        """Returns the hashes of the keys whose withdrawal is in force here."""
        rows = self.config.customer_keys()
        return {row.key_hash for row in rows if row.withdrawn}

    def send(
        self,
        secret: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> httpd.Response:
        """Sends a request with an API key; leaves the response body unread."""
        path, _, query = path.partition("?")
        named = {"authorization": f"Bearer {secret}", **(headers or {})}
        if not named.get("idempotency-key"):
            named.pop("idempotency-key", None)
        request = httpd.Request(
            method, path, query, named, io.BytesIO(body), len(body), path
        )
        with self._fleet.activate(self):
            return self.callers._serve(request)

    def request(
        self,
        customer: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> batchfakes.Reply:
        """See `batchfakes.BatchVm`; uses the customer's newest key."""
        secret = self._fleet.secrets_of(customer)[-1]
        response = self.send(secret, method, path, body, headers)
        assert response.status != 500, "a VM failed to serve"
        reply = batchfakes.Reply(response)
        httpd.close_body(response.body)
        return reply

    def run_items(self, most: int = 10**9) -> int:
        """Runs up to `most` items while a batch slot is free.

        Without a free slot, an item would wait for one in the test's thread.

        Returns:
            How many items ran.
        """
        count = 0
        while count < most and self.router.batch_slots(mixedupstreams.MODEL):
            with self._fleet.activate(self):
                if not super().run_items(1):
                    break
            count += 1
        return count

    def tend(self) -> None:
        """Does what the threads would do in a second, except batch items."""
        if not self.config.feed.has_read_all:
            self.config.feed.read_all()
        elif self.config.is_watcher():
            self.config.watch(0.0)
        if self.config.is_ready():
            self.config.gossip.compare_with_one()
        else:
            self.config.gossip.compare_with_many()
        self.limits.refresh()
        self.limits.run_maintenance()
        self.intents._repair()
        self.router.send_reports()
        self.coordinator.tick()

    def work(self) -> None:
        """Requests and runs batch items, and seals their results."""
        self.worker.ask()
        self.run_items()
        self.seal()
