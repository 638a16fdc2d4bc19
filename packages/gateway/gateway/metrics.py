"""Serves counters, gauges and latency histograms to a Prometheus scraper."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from bulrushdeal import eventlog
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from gateway import configuration
from gateway import crashrecords
from gateway import dialect as dialect_lib
from gateway import names
from gateway import placement
from gateway import rates
from gateway import rateshards
from gateway import records
from gateway import upstreamlist
from gateway.decisions import placementfigures

PATH = "/metrics"
_THREADS = 2
_LIMITS = httpd.DEFAULT_LIMITS._replace(connections=32, head_timeout_s=5.0)
# Bounds the number of series. Customers that are refused have the fewest
# tokens left, so they are among those reported.
_MAX_CUSTOMERS = 20
# Bounds the number of series; the engines with the most runs are reported.
_MAX_ENGINES = 128
# Chosen around the latencies promised to callers: first events within 300 ms
# and complete answers within a few seconds.
_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)
# Symmetric, since a request that starts too early was placed as badly: another
# engine was passed over for it.
_ERROR_BUCKETS_S = (-1.0, -0.3, -0.1, -0.03, 0.0, 0.03, 0.1, 0.3, 1.0)


_EngineValue = Callable[[placementfigures.EngineState], float]
# The gauges of each engine: name, description and value.
_ENGINE_GAUGES: tuple[tuple[str, str, _EngineValue], ...] = (
    (
        "bulrushdeal_engine_runs",
        "Runs on an engine that its service's leader knows of.",
        lambda state: state.runs,
    ),
    (
        "bulrushdeal_engine_memory_tokens",
        "Tokens of an engine's memory that its known runs use.",
        lambda state: state.memory_tokens,
    ),
    (
        "bulrushdeal_engine_pace",
        "How long work takes on an engine, 1 as usual.",
        lambda state: state.pace,
    ),
)


class CallersHeld(NamedTuple):
    """What the gateway holds for callers.

    Attributes:
        held_bytes: The memory that is held for all of them.
        limit_bytes: The most that may be.
        connections: Their open connections.
        connections_limit: The most that may be open.
        cut_short: How often one was ended or refused, by why.
    """

    held_bytes: int
    limit_bytes: int
    connections: int
    connections_limit: int
    cut_short: Mapping[str, int]


class ServedCallers(Protocol):
    """The service that serves callers."""

    def held(self) -> CallersHeld:
        """Returns what is held for callers now."""


class _StateCollector(prometheus_registry.Collector):
    """Collects metrics from other services' state at each scrape."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._store = kernel.find(names.STORE, dialect_lib.Store)
        self._feed = kernel.find(names.CONFIGURATION, configuration.Feed)
        self._list = kernel.find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yields the current metrics."""
        calls = prometheus_core.CounterMetricFamily(
            "bulrushdeal_store_calls",
            "Calls to the platform's store.",
            labels=["call", "outcome"],
        )
        for row in self._store.counts():
            calls.add_metric([row.call, row.outcome], row.call_count)
        yield calls
        held = self._feed.current()
        yield prometheus_core.GaugeMetricFamily(
            "bulrushdeal_configuration_version",
            "The version in force, 0 if there is none.",
            value=0 if held is None else held.version,
        )
        yield prometheus_core.GaugeMetricFamily(
            "bulrushdeal_upstream_list_age_seconds",
            "How long ago the list of upstreams was read, -1 if never.",
            value=self._list.age_s(),
        )
        against = prometheus_core.CounterMetricFamily(
            "bulrushdeal_upstreams_against_listing",
            "Upstreams used against the store's listing, by why.",
            labels=["why"],
        )
        for why, count in self._list.counts().items():
            against.add_metric([why], count)
        yield against
        yield self._slots_held()
        yield from self._engine_gauges()
        yield self._waiting_requests()
        rates_ = self._kernel.find(names.RATES, rates.RateLimiter)
        yield prometheus_core.CounterMetricFamily(
            "bulrushdeal_over_rate",
            "Requests over the rate, of the customers that this VM serves.",
            value=rates_.refused(),
        )
        taken = prometheus_core.CounterMetricFamily(
            "bulrushdeal_tokens",
            "Tokens of customers' rates, by where this VM took them from.",
            labels=["source", "outcome"],
        )
        for counted in rates_.token_counts():
            outcome = "granted" if counted.is_granted else "refused"
            taken.add_metric([counted.source, outcome], counted.tokens)
        yield taken
        shards = self._kernel.find(names.RATE_SHARDS, rateshards.RateShards)
        yield prometheus_core.GaugeMetricFamily(
            "bulrushdeal_rate_shards",
            "Shards of the customers' rates that this VM holds.",
            value=len(shards.held()),
        )
        given = prometheus_core.CounterMetricFamily(
            "bulrushdeal_shard_tokens",
            "Tokens that the shards of this VM gave, by source.",
            labels=["source"],
        )
        for source, amount in shards.given().items():
            given.add_metric([source], amount)
        yield given
        tokens = prometheus_core.GaugeMetricFamily(
            "bulrushdeal_tokens_left",
            "Tokens that this VM keeps for the customers with the fewest.",
            labels=["customer"],
        )
        for left in rates_.lowest_balances(_MAX_CUSTOMERS):
            tokens.add_metric([left.customer], left.tokens)
        yield tokens
        yield self._crash_records()
        yield from _thread_metrics()
        yield from self._caller_metrics()
        lost = prometheus_core.CounterMetricFamily(
            "bulrushdeal_log_lines_lost",
            "Lines of the log that found no room.",
            labels=["event"],
        )
        for event, count in eventlog.lost_lines().items():
            lost.add_metric([event], count)
        yield lost

    def _caller_metrics(self) -> Iterable[prometheus_core.Metric]:
        """Yields what is held for callers and how often they were cut short."""
        served = self._kernel.find(names.FRONT, ServedCallers)
        held = served.held()
        for name, text, value in (
            ("bytes", "Memory that is held for callers.", held.held_bytes),
            ("bytes_limit", "The most of it.", held.limit_bytes),
            ("connections", "Open connections of callers.", held.connections),
            (
                "connections_limit",
                "The most of them.",
                held.connections_limit,
            ),
        ):
            yield prometheus_core.GaugeMetricFamily(
                f"bulrushdeal_callers_{name}", text, value=value
            )
        cut_short = prometheus_core.CounterMetricFamily(
            "bulrushdeal_callers_cut_short",
            "Requests and connections ended or refused for want of room.",
            labels=["why"],
        )
        for why, count in held.cut_short.items():
            cut_short.add_metric([why], count)
        yield cut_short

    def _slots_held(self) -> prometheus_core.Metric:
        held = self._kernel.find(names.PLACEMENT, placement.Placement).held()
        slots = prometheus_core.GaugeMetricFamily(
            "bulrushdeal_slots_held",
            "Places on upstreams that this VM holds, by what runs there.",
            labels=["use"],
        )
        slots.add_metric(["online"], sum(not row.is_batch for row in held))
        slots.add_metric(["batch"], sum(row.is_batch for row in held))
        return slots

    def _crash_records(self) -> prometheus_core.Metric:
        crashes = self._kernel.find(
            names.CRASH_RECORDS, crashrecords.CrashRecords
        )
        counts = crashes.counts()
        requests = prometheus_core.GaugeMetricFamily(
            "bulrushdeal_crash_requests",
            "Requests that ran on crashed upstreams, and those not run again.",
            labels=["state"],
        )
        requests.add_metric(["recorded"], counts.recorded)
        requests.add_metric(["refused"], counts.refused)
        return requests

    def _waiting_requests(self) -> prometheus_core.Metric:
        """Returns the waiting requests of services that this VM leads."""
        placer = self._kernel.find(names.PLACEMENT, placement.Placement)
        waiting = prometheus_core.GaugeMetricFamily(
            "bulrushdeal_waiting_requests",
            "Requests that wait for a slot at the leader of their service.",
            labels=["service"],
        )
        for service, count in placer.waiting_counts().items():
            waiting.add_metric([service], count)
        return waiting

    def _engine_gauges(self) -> Iterable[prometheus_core.Metric]:
        """Yields the state of the engines of services that this VM leads."""
        placer = self._kernel.find(names.PLACEMENT, placement.Placement)
        rows = [
            (service, engine, state)
            for service, states in placer.engine_states().items()
            for engine, state in states.items()
        ]
        rows.sort(key=lambda row: (-row[2].runs, row[0], row[1]))
        for name, text, value in _ENGINE_GAUGES:
            gauge = prometheus_core.GaugeMetricFamily(
                name, text, labels=["service", "upstream"]
            )
            for service, engine, state in rows[:_MAX_ENGINES]:
                gauge.add_metric([service, engine], value(state))
            yield gauge


def _thread_metrics() -> Iterable[prometheus_core.Metric]:
    failed = prometheus_core.CounterMetricFamily(
        "bulrushdeal_thread_failures",
        "Exceptions that would have ended a thread.",
        labels=["thread"],
    )
    for name, count in threads.OWN.failures().items():
        failed.add_metric([name], count)
    yield failed
    yield prometheus_core.GaugeMetricFamily(
        "bulrushdeal_threads_failing",
        "Threads without which the VM is not ready and that fail now.",
        value=len(threads.OWN.failing()),
    )


class Metrics:
    """Counts answers to callers and serves all metrics of the process."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._address = settings.metrics_address
        self._server: httpd.Server | None = None
        self._registry = prometheus_client.CollectorRegistry()
        self._answers = prometheus_client.Counter(
            "bulrushdeal_answers",
            "Answers to callers.",
            ["status"],
            registry=self._registry,
        )
        self._request_s = prometheus_client.Histogram(
            "bulrushdeal_request_seconds",
            "From a request's arrival to the end of its answer.",
            ["kind", "outcome"],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._first_event_s = prometheus_client.Histogram(
            "bulrushdeal_first_event_seconds",
            "From a request's arrival to the first event of its stream.",
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._start_error_s = prometheus_client.Histogram(
            "bulrushdeal_start_error_seconds",
            "Actual minus expected time from grant to first event.",
            buckets=_ERROR_BUCKETS_S,
            registry=self._registry,
        )

    def start(self) -> None:
        """Registers the metrics and serves them if an address is set."""
        self._registry.register(_StateCollector(self._kernel))
        if not self._address:
            return
        self._server = httpd.Server(
            self._address, self._serve, _THREADS, limits=_LIMITS
        )
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Stops the server."""
        del grace_s
        if self._server is not None:
            self._server.stop(0.1)

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {"address": self._address}

    def count_answer(self, status: int) -> None:
        """Counts an answer by its status."""
        self._answers.labels(str(status)).inc()

    def observe_request(self, kind: str, outcome: str, took_s: float) -> None:
        """Records the duration of a request that has ended.

        Args:
            kind: The kind of its route.
            outcome: How it ended.
            took_s: From its arrival to the end of its answer, in seconds.
        """
        self._request_s.labels(kind, outcome).observe(took_s)

    def observe_first_event(self, took_s: float) -> None:
        """Records the time from a request to its stream's first event."""
        self._first_event_s.observe(took_s)

    def observe_start_error(self, error_s: float) -> None:
        """Records how late a first event came, against the expected time.

        Args:
            error_s: The difference in seconds; negative if it came early.
        """
        self._start_error_s.observe(error_s)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _serve(self, request: httpd.Request) -> httpd.Response:
        if request.path != PATH:
            return httpd.json_response(404, {"error": "no such path"})
        data = self.text()
        headers = (
            ("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),
            ("Content-Length", str(len(data))),
        )
        return httpd.Response(200, headers, (data,))
