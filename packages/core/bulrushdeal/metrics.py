"""Counters, gauges and timers, sent with the `statsd` client."""

from typing import Protocol

import statsd

from bulrushdeal import addresses


class Metrics(Protocol):
    """The interface through which a component reports its metrics."""

    def increment(self, name: str, count: int = 1) -> None:
        """Adds `count` to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Records one duration."""


class NoMetrics:
    """Discards all metrics, for use if no address is set."""

    def increment(self, name: str, count: int = 1) -> None:
        """See `Metrics`."""

    def gauge(self, name: str, value: float) -> None:
        """See `Metrics`."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """See `Metrics`."""


class StatsdMetrics:
    """Sends metrics to a statsd server over UDP, without noticing lost packets.

    Args:
        address: `HOST:PORT` of the server.
    """

    def __init__(self, address: str) -> None:
        host, port = addresses.parse(address, min_port=1)
        self._client = statsd.StatsClient(host, port, prefix="bulrushdeal")

    def increment(self, name: str, count: int = 1) -> None:
        """See `Metrics`."""
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """See `Metrics`."""
        self._client.gauge(name, value)

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """See `Metrics`."""
        self._client.timing(name, duration_ms)


def connect(address: str) -> Metrics:
    """Returns a sender of metrics.

    Args:
        address: `HOST:PORT` of a statsd server; if it is empty, metrics are
            discarded.
    """
    return StatsdMetrics(address) if address else NoMetrics()
