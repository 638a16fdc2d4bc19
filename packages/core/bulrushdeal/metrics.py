"""Counters, gauges and timers sent by `statsd`."""

from typing import Protocol

import statsd


class Metrics(Protocol):
    """Where a part reports its numbers."""

    def increment(self, name: str, count: int = 1) -> None:
        """Adds `count` to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Records one duration."""


class NoMetrics:
    """Drops what it is given, where no address is set."""

    def increment(self, name: str, count: int = 1) -> None:
        """See `Metrics`."""

    def gauge(self, name: str, value: float) -> None:
        """See `Metrics`."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """See `Metrics`."""


class StatsdMetrics:
    """Sends to a statsd server over UDP; a lost packet is not noticed."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix="bulrushdeal")

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
    """Returns metrics sent to `HOST:PORT`, or dropped if it is empty."""
    return StatsdMetrics(address) if address else NoMetrics()
