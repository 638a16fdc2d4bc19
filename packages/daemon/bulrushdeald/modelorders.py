"""The service that orders engines to load and unload models.

A few VMs watch the order records and divide the engines among themselves;
`orderer` executes the orders, `modelroutes` accepts them from operators.
"""

import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeal import threads
from bulrushdeald import config as config_lib
from bulrushdeald import defaults
from bulrushdeald import enginecalls
from bulrushdeald import fetchpermits
from bulrushdeald import modelrecords
from bulrushdeald import modelroutes
from bulrushdeald import orderends
from bulrushdeald import orderer as orderer_lib
from bulrushdeald import ordertasks
from bulrushdeald import ordervms
from bulrushdeald import pageeditor
from bulrushdeald import servedmodels
from bulrushdeald import services

NAME = "modelorders"
_log = logs.Log("orders")
_TICK_S = 0.2
# The number of steps started per tick, the longest due first. In a rollout
# to all engines, thousands of orders wait for weights or for requests to end,
# and each step reads from the platform.
_MAX_STEPS_PER_TICK = 4
_WATCH_TIMEOUT_S = 10.0
# The pause between two watches: a rollout that changes many records wakes a
# watcher once a second instead of once per record.
_WATCH_PAUSE_S = 1.0
_RETRY_S = 1.0


class ModelOrders:
    """Watches for orders and executes those assigned to this VM."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._clock = clock or clock_lib.SystemClock()
        self._metrics = metrics_lib.connect(settings.statsd_address)
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        # The time of the next step of each engine with an open order.
        self._due_s: dict[str, float] = {}
        self._running: set[str] = set()
        # Engines whose record changed while a step of theirs was running.
        self._changed_during_step: set[str] = set()
        self._watched_revision = 0
        self._has_listed = False
        self._was_order_vm = False

    def attach(self, calls: enginecalls.EngineCalls | None = None) -> None:
        """Looks up the other services and adds the routes; starts no thread."""
        find = self._kernel.find
        keyvalue = find(services.KEYVALUE, services.KeyValue)
        config = find(services.CONFIG, config_lib.ConfigService)
        self._keyvalue = keyvalue
        self._membership = find(services.MEMBERSHIP, services.Membership)
        upstreams = find(services.UPSTREAMS, services.Upstreams)
        self._orderer = build_orderer(
            self._settings,
            keyvalue,
            self._membership,
            config,
            calls or enginecalls.EngineCalls(upstreams),
            servedmodels.ServedModels(pageeditor.Editor(keyvalue, config)),
            self._metrics,
            self._clock,
        )
        routes = find(services.OPERATORS, services.OperatorRoutes)
        modelroutes.add(routes, keyvalue, config, self._clock)

    def start(self) -> None:
        """Starts the threads that watch the records and step the engines."""
        self.attach()
        for target in (self._run_watch, self._run_steps):
            threads.start(target, "orders")

    def stop(self, grace_s: float) -> None:
        """Starts no further steps.

        An order in flight may take minutes and is not waited for: its record
        says `sent`, and the VM that reads it next determines the outcome.
        """
        del grace_s
        self._stopping.set()

    def dump(self) -> Any:
        """See `kernel.Service`."""
        with self._lock:
            return {
                "order_vms": ordervms.order_vms(self._membership),
                "watched_revision": self._watched_revision,
                "open": sorted(self._due_s),
                "running": sorted(self._running),
            }

    def watch_once(self, timeout_s: float) -> bool:
        """Reads which engines have open orders.

        Returns:
            False if the platform's service could not be read.
        """
        is_order_vm = ordervms.is_order_vm(self._membership)
        if is_order_vm and not self._was_order_vm:
            # A watch does not return orders that have not changed since.
            self._has_listed = False
        self._was_order_vm = is_order_vm
        # Each VM lists once, even if it no longer orders engines: it has to
        # determine the outcome of the orders that its previous run sent.
        if not is_order_vm and self._has_listed:
            return True
        if not self._has_listed:
            entries = self._keyvalue.list(modelrecords.PREFIX)
        else:
            entries = self._keyvalue.watch(
                modelrecords.PREFIX, self._watched_revision, timeout_s
            )
        if isinstance(entries, result.Err):
            return False
        self._has_listed = True
        for entry in entries.ok_value:
            revision = max(self._watched_revision, entry.revision)
            self._watched_revision = revision
            self._schedule(entry)
        return True

    def _schedule(self, entry: services.Entry) -> None:
        try:
            record = modelrecords.load(entry.value)
        except codec.CodecError as error:
            _log.error("Orders %s are unreadable: %s.", entry.key, error)
            return
        with self._lock:
            if record.first_open is not None:
                # A scheduled engine keeps its time: it may be waiting.
                now_s = self._clock.monotonic_s()
                self._due_s.setdefault(record.upstream, now_s)
            if record.upstream in self._running:
                self._changed_during_step.add(record.upstream)

    def _run_watch(self) -> None:
        while not self._stopping.is_set():
            is_ok = self.watch_once(_WATCH_TIMEOUT_S)
            self._stopping.wait(_WATCH_PAUSE_S if is_ok else _RETRY_S)

    def _run_steps(self) -> None:
        reported_count = -1
        while not self._stopping.wait(_TICK_S):
            for name in self.take_due():
                threads.start_once(self.step, "order", name)
            if len(self._due_s) != reported_count:
                reported_count = len(self._due_s)
                self._metrics.gauge("orders.open", reported_count)

    def take_due(self) -> list[str]:
        """Returns the engines to step now, and marks them as running."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            # Engines out of service because of their order come first.
            due = sorted(
                (not self._orderer.is_in_progress(name), due_s, name)
                for name, due_s in self._due_s.items()
                if due_s <= now_s and name not in self._running
            )
            free_threads = self._settings.order_threads - len(self._running)
            taken = [
                name
                for _, _, name in due[: min(free_threads, _MAX_STEPS_PER_TICK)]
            ]
            self._running.update(taken)
        return taken

    def step(self, name: str) -> None:
        """Steps an engine that `take_due` returned."""
        next_s: float | None = orderer_lib.RETRY_S
        try:
            next_s = self._orderer.step(name)
        except Exception:  # noqa: BLE001 - the other engines' orders go on.
            _log.exception("A step failed; it is tried again.")
        with self._lock:
            self._running.discard(name)
            # An order accepted after the step read that there is none would
            # otherwise never be scheduled again.
            is_changed = name in self._changed_during_step
            self._changed_during_step.discard(name)
            if next_s is None and is_changed:
                next_s = 0.0
            if next_s is None:
                self._due_s.pop(name, None)
            else:
                self._due_s[name] = self._clock.monotonic_s() + next_s


def build_orderer(
    settings: defaults.Settings,
    keyvalue: services.KeyValue,
    membership: services.Membership,
    config: services.Config,
    calls: enginecalls.EngineCalls,
    served: servedmodels.ServedModels,
    metrics: metrics_lib.Metrics,
    clock: clock_lib.Clock,
) -> orderer_lib.Orderer:
    """Returns the orderer of one VM with its dependencies."""
    tasks = ordertasks.TaskStore(keyvalue, config)
    permits = fetchpermits.FetchPermits(
        keyvalue, clock, settings.weight_fetches
    )
    finisher = orderends.OrderFinisher(
        tasks, calls, permits, served, metrics, clock
    )
    return orderer_lib.Orderer(
        settings, membership, tasks, calls, permits, finisher, metrics, clock
    )
