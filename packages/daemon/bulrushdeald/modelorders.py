"""The service that orders engines to load and unload models.

A few VMs watch the records of orders and share the engines out among them;
`orderer` carries the orders out, `modelroutes` takes them from operators.
"""

import threading
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeald import config as config_lib
from bulrushdeald import defaults
from bulrushdeald import edits
from bulrushdeald import enginecalls
from bulrushdeald import fetchpermits
from bulrushdeald import modelrecords
from bulrushdeald import modelroutes
from bulrushdeald import orderends
from bulrushdeald import orderer as orderer_lib
from bulrushdeald import ordertasks
from bulrushdeald import ordervms
from bulrushdeald import servedmodels
from bulrushdeald import services

NAME = "modelorders"
_log = logs.Log("orders")
_TICK_S = 0.2
# A rollout to all engines has thousands of orders that wait for weights or
# for requests to end, and each step reads at the platform. So many steps
# begin in a tick; those that are due longest come first.
_STEPS_A_TICK = 4
_WATCH_S = 10.0
# So long between two watches: a rollout that changes many records wakes a
# watcher once a second, not once for each.
_WATCH_GAP_S = 1.0
_RETRY_S = 1.0


class ModelOrders:
    """Watches for orders and steps those that are this VM's."""

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
        # When each engine with an open order is to be stepped next.
        self._due_s: dict[str, float] = {}
        self._running: set[str] = set()
        # Engines of which something was learned while they were stepped.
        self._changed: set[str] = set()
        self._watched_revision = 0
        self._has_listed = False
        self._was_order_vm = False

    def attach(self, calls: enginecalls.EngineCalls | None = None) -> None:
        """Finds the other services and adds the routes; starts no thread."""
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
            servedmodels.ServedModels(edits.Editor(keyvalue, config)),
            self._metrics,
            self._clock,
        )
        routes = find(services.OPERATORS, services.OperatorRoutes)
        modelroutes.add(routes, keyvalue, config, self._clock)

    def start(self) -> None:
        """Begins to watch and to step."""
        self.attach()
        for target in (self._run_watch, self._run_steps):
            threading.Thread(target=target, name="orders", daemon=True).start()

    def stop(self, grace_s: float) -> None:
        """Begins no more steps.

        An order that is out may take minutes and is not waited for: its
        record says that it was sent, and whoever reads that settles it.
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
        """Learns which engines have open orders; false if it cannot."""
        is_order_vm = ordervms.is_order_vm(self._membership)
        if is_order_vm and not self._was_order_vm:
            # Orders that did not change since are no news to a watch.
            self._has_listed = False
        self._was_order_vm = is_order_vm
        # Each VM lists once: what its last run had sent is its to settle,
        # also if it is no longer one of those that order.
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
            self._learn(entry)
        return True

    def _learn(self, entry: services.Entry) -> None:
        try:
            record = modelrecords.load(entry.value)
        except codec.CodecError as error:
            _log.error("Orders %s are unreadable: %s.", entry.key, error)
            return
        with self._lock:
            if record.first_open is not None:
                # One that is known keeps its time: it may be waiting.
                now_s = self._clock.monotonic_s()
                self._due_s.setdefault(record.upstream, now_s)
            if record.upstream in self._running:
                self._changed.add(record.upstream)

    def _run_watch(self) -> None:
        while not self._stopping.is_set():
            is_ok = self.watch_once(_WATCH_S)
            self._stopping.wait(_WATCH_GAP_S if is_ok else _RETRY_S)

    def _run_steps(self) -> None:
        reported = -1
        while not self._stopping.wait(_TICK_S):
            for name in self.take_due():
                threading.Thread(
                    target=self.step, args=(name,), name="order", daemon=True
                ).start()
            if len(self._due_s) != reported:
                reported = len(self._due_s)
                self._metrics.gauge("orders.open", reported)

    def take_due(self) -> list[str]:
        """Returns the engines to step now, and counts them as running."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            # Engines that are out of service for their order come first.
            due = sorted(
                (not self._orderer.is_under_way(name), due_s, name)
                for name, due_s in self._due_s.items()
                if due_s <= now_s and name not in self._running
            )
            room = self._settings.order_threads - len(self._running)
            taken = [name for _, _, name in due[: min(room, _STEPS_A_TICK)]]
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
            # An order may have come after the step had read that there is
            # none; nothing would ever look for it again.
            is_changed = name in self._changed
            self._changed.discard(name)
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
    """Returns the orderer of one VM with its parts."""
    tasks = ordertasks.TaskStore(keyvalue, config)
    permits = fetchpermits.FetchPermits(
        keyvalue, clock, settings.weight_fetches
    )
    ends = orderends.OrderEnds(tasks, calls, permits, served, metrics, clock)
    return orderer_lib.Orderer(
        settings, membership, tasks, calls, permits, ends, metrics, clock
    )
