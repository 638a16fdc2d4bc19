"""VMs that read and follow the list of upstreams, on a clock of their own."""

from collections.abc import Callable
import heapq
import itertools
import json
import random
from typing import Any, NamedTuple

import pytest
import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records as core_records
from bulrushdeald import services
from bulrushplatform import wire
from gateway import dialect
from gateway import evacuations
from gateway import joblisting
from gateway import names
from gateway import paging
from gateway import records
from gateway import storereaders
from gateway import upstreamlist

SERVICE = "llm"
_CALL_S = 0.005
_PREFIX = "servers/"


def make_settings(vm: str = "vm1", **more: Any) -> records.Settings:
    return records.Settings(
        vm=vm,
        failure_domain="d1",
        callers_address="",
        ready_address="",
        peers_address="",
        metrics_address="",
        store_address="",
        max_value_bytes=1,
        min_lease_s=1.0,
        grace_s=1.0,
        limit_slack=0,
        limit_window_s=5,
        **more,
    )


class Clock:
    """Stands in for the `time` module."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def boottime_s(self) -> float:
        """See `bulrushdeal.clock`."""
        return self.now_s

    def monotonic(self) -> float:
        return self.now_s


class Change(NamedTuple):
    """An entry from a moment on; the value is `None` if there is none."""

    at_s: float
    key: str
    value: bytes | None


class Report(NamedTuple):
    """What an upstream writes of itself."""

    state: str = "ready"
    sequence: int = 1
    born_ms: int = 1000

    def encode(self) -> bytes:
        fields = {
            "service": SERVICE,
            "address": "10.0.0.9:1",
            "zone": "d1",
            "slots": 8,
            "state": self.state,
            "version": "v1",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        return json.dumps(fields).encode()


class Store:
    """A store whose entries follow a script.

    Attributes:
        page_size: The most entries in a page.
        call_s: How long a call takes, in seconds.
        fails: Returns whether a call of a VM fails at a moment.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changes: list[Change] = []
        self.page_size = 50
        self.call_s = _CALL_S
        self.fails: Callable[[str, float], bool] = lambda vm, at_s: False

    def write(self, at_s: float, instance: str, report: Report | None) -> None:
        value = None if report is None else report.encode()
        self._changes.append(Change(at_s, _PREFIX + instance, value))
        self._changes.sort(key=lambda row: row.at_s)

    def list(self, vm: str, after: str, timeout_s: float) -> Any:
        """Lists the entries as they are when the call begins."""
        if self.fails(vm, self._clock.now_s):
            self._clock.now_s += timeout_s
            return result.Err(dialect.StoreError("unknown", "no answer"))
        rows: dict[str, bytes | None] = {}
        for change in self._changes:
            if change.at_s <= self._clock.now_s:
                rows[change.key] = change.value
        entries = [
            dialect.Entry(key, value, 1)
            for key, value in sorted(rows.items())
            if value is not None and key > after
        ]
        self._clock.now_s += self.call_s
        page = tuple(entries[: self.page_size])
        has_more = len(entries) > self.page_size
        return result.Ok(dialect.Page(page, has_more, 1))


class _StoreClient:
    """One VM's `dialect.Store`, of which only listings are used."""

    def __init__(self, vm: str, store: Store) -> None:
        self._vm = vm
        self._store = store

    def list(
        self, prefix: str, after: str, timeout_s: float, *, stale: bool = False
    ) -> Any:
        del prefix, stale
        return self._store.list(self._vm, after, timeout_s)


class _Members:
    """The list of VMs, of which the first two that answer are the readers."""

    def __init__(self, fleet: "Fleet", vm: str) -> None:
        self._fleet = fleet
        self._own = core_records.Vm(vm, "d1", "entry", "h:1")
        self._suspects: dict[str, float] = {}

    def own_vm(self) -> core_records.Vm:
        return self._own

    def leader_with_backups(self, key: str, count: int) -> list[str]:
        del key
        now_s = self._fleet.clock.now_s
        others = [
            vm
            for vm in sorted(self._fleet.vms)
            if vm == self._own.vm or self._suspects.get(vm, 0.0) <= now_s
        ]
        return others[:count]

    def suspect(self, vm: str, error: services.PeerError) -> None:
        del error
        self._suspects[vm] = self._fleet.clock.now_s + 1.5

    def snapshot(self) -> tuple[tuple[core_records.Vm, ...], int]:
        return (self._own,), 1

    def age_s(self) -> float:
        return 0.0

    def apply_received(self, rows: Any, age_s: float) -> None:
        del rows, age_s


class _Jobs:
    """A listing of jobs that has none."""

    def snapshot(self) -> tuple[joblisting.JobRows, int]:
        return joblisting.JobRows((), ()), 1

    def age_s(self) -> float:
        return 0.0

    def apply_received(self, rows: Any, age_s: float) -> None:
        del rows, age_s


class _Version(NamedTuple):
    """A configuration, of which only the version counts."""

    version: int = 1


class _Feed:
    """The same configuration at all VMs."""

    def current(self) -> _Version:
        return _Version()


class _Peers:
    """Calls another VM's handler directly."""

    def __init__(self, fleet: "Fleet", vm: str) -> None:
        self._fleet = fleet
        self._vm = vm

    def register_handler(self, kind: type[Any], handler: Any) -> None:
        self._fleet.handlers[self._vm, kind] = handler

    def register_answers(self, *kinds: type[Any]) -> None:
        del kinds

    def call(self, vm: str, message: Any, timeout_s: float) -> Any:
        clock = self._fleet.clock
        # A VM answers with what it has after its step, and not before that.
        stepped_s = self._fleet.stepped_s.get(vm, 0.0)
        is_late = stepped_s > clock.now_s + timeout_s
        if is_late or not self._fleet.reaches(self._vm, vm, clock.now_s):
            clock.now_s += timeout_s
            error = services.PeerError("timeout", "no answer")
            return result.Err(error)
        clock.now_s = max(clock.now_s, stepped_s)
        answer = self._fleet.handlers[vm, type(message)](self._vm, message)
        clock.now_s += self._fleet.peer_call_s
        return result.Ok(answer)


class _Vm:
    """One VM's list and the loop that keeps it up to date."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.name = name
        kernel = kernel_lib.Kernel()
        objects = {
            names.STORE: _StoreClient(name, fleet.store),
            names.DIALECT: wire.Dialect(),
            names.PINGS: object(),
            names.CONFIGURATION: _Feed(),
            names.JOB_LISTING: _Jobs(),
            services.MEMBERSHIP: _Members(fleet, name),
            services.PEERS: _Peers(fleet, name),
        }
        for key, value in objects.items():
            kernel.register_object(key, value)
        kernel.register(names.EVACUATIONS, evacuations.Evacuations())
        settings = make_settings(name, **fleet.settings)
        self.list = upstreamlist.UpstreamList(kernel, settings)
        kernel.register(names.UPSTREAM_LIST, self.list)
        self.reading = storereaders.Reading(kernel, settings)
        self.list.start()
        self.reading.connect()

    def usable(self) -> frozenset[str]:
        return frozenset(row.instance for row in self.list.usable(SERVICE))


class Use(NamedTuple):
    """From a moment on, what a VM sends requests to."""

    at_s: float
    vm: str
    upstreams: frozenset[str]


class Fleet:
    """Readers and followers that step in turn, and what they use when.

    Attributes:
        clock: The time of the VM that steps.
        store: The store.
        settings: Settings of all VMs, beside the usual ones.
        frozen: The VMs that stand still, with the start and end of it.
        peer_call_s: How long the answer of another VM is on its way.
        stepped_s: When each VM has stepped last.
        longest_step_s: The longest that a step of each VM has taken.
        is_cut: Returns whether a VM does not reach another at a moment.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, seed: int = 0, **settings: Any
    ) -> None:
        self.clock = Clock()
        self._rng = random.Random(seed)
        for module in (upstreamlist, storereaders, paging):
            monkeypatch.setattr(module, "time", self.clock, raising=False)
            monkeypatch.setattr(module, "clock", self.clock, raising=False)
        self.store = Store(self.clock)
        self.settings = settings
        self.vms: dict[str, _Vm] = {}
        self.handlers: dict[tuple[str, type[Any]], Any] = {}
        self.frozen: list[tuple[str, float, float]] = []
        self.is_cut: Callable[[str, str, float], bool] = (
            lambda vm, other, at_s: False
        )
        self.peer_call_s = 0.01
        self.stepped_s: dict[str, float] = {}
        self.longest_step_s: dict[str, float] = {}
        self._uses: list[Use] = []
        self._queue: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()

    def start(self, vm: str, at_s: float) -> None:
        """Starts a VM, or starts it again without what it knew.

        It begins within half a second.
        """
        self.vms[vm] = _Vm(self, vm)
        self._queue = [row for row in self._queue if row[2] != vm]
        heapq.heapify(self._queue)
        self._push(at_s + self._rng.uniform(0.0, 0.5), vm)

    def reaches(self, vm: str, other: str, at_s: float) -> bool:
        is_frozen = self._thaws_s(other, at_s) > at_s
        return not is_frozen and not self.is_cut(vm, other, at_s)

    def _thaws_s(self, vm: str, at_s: float) -> float:
        for frozen, start_s, end_s in self.frozen:
            if vm == frozen and start_s <= at_s < end_s:
                return end_s
        return at_s

    def run(self, until_s: float) -> None:
        """Lets all VMs step until a moment."""
        while self._queue and self._queue[0][0] < until_s:
            at_s, _, vm = heapq.heappop(self._queue)
            self.clock.now_s = self._thaws_s(vm, at_s)
            if self.clock.now_s > at_s:
                self._push(self.clock.now_s, vm)
                continue
            began_s = self.clock.now_s
            pause_s = self.vms[vm].reading.step()
            took_s = self.clock.now_s - began_s
            self.longest_step_s[vm] = max(
                took_s, self.longest_step_s.get(vm, 0.0)
            )
            now_s = self.stepped_s[vm] = self.clock.now_s
            self._uses.append(Use(now_s, vm, self.vms[vm].usable()))
            self._push(now_s + pause_s * self._rng.uniform(0.9, 1.0), vm)

    def _push(self, at_s: float, vm: str) -> None:
        heapq.heappush(self._queue, (at_s, next(self._numbers), vm))

    def last_use_s(self, vm: str, instance: str, until_s: float) -> float:
        """Returns until when a VM used an upstream, at most `until_s`."""
        end_s = 0.0
        is_used = False
        for use in sorted(self._uses):
            if use.vm != vm:
                continue
            if is_used:
                end_s = min(use.at_s, until_s)
            is_used = instance in use.upstreams
        return until_s if is_used else end_s

    def unused_s(
        self, vm: str, instance: str, from_s: float, until_s: float
    ) -> float:
        """Returns for how long a VM did not use an upstream."""
        total_s, since_s, is_used = 0.0, from_s, True
        for use in [*sorted(self._uses), Use(until_s, vm, frozenset())]:
            if use.vm != vm:
                continue
            at_s = min(max(use.at_s, from_s), until_s)
            total_s += 0.0 if is_used else at_s - since_s
            is_used, since_s = instance in use.upstreams, at_s
        return total_s
