"""Counters, timings and gauges, with a statsd backend."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from statsd import StatsClient

from magnoliatrail.generated.settings import Settings


class Metrics(Protocol):
    """A sink for the metrics of one instance."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, duration: timedelta) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def gauge_add(self, name: str, amount: float) -> None:
        """Add to a gauge that several parts of the instance share."""

    def remove(self, name: str) -> None:
        """Stop exposing a gauge, if it was set."""


class NoMetrics:
    """Discard all metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Discard a counter."""

    def timing(self, name: str, duration: timedelta) -> None:
        """Discard a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Discard a gauge."""

    def gauge_add(self, name: str, amount: float) -> None:
        """Discard a change of a gauge."""

    def remove(self, name: str) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Send all metrics to a statsd server."""

    def __init__(self, client: StatsClient) -> None:
        self.client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.client.incr(name, amount)

    def timing(self, name: str, duration: timedelta) -> None:
        """Record a duration."""
        self.client.timing(name, duration)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.client.gauge(name, value)

    def gauge_add(self, name: str, amount: float) -> None:
        """Add to a gauge."""
        self.client.gauge(name, amount, delta=True)

    def remove(self, name: str) -> None:
        """Do nothing, as the server keeps the last value."""


class RecordedMetrics:
    """Keep all metrics in memory, for the demo and for tests."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.timings: dict[str, list[timedelta]] = {}
        self.gauges: dict[str, list[float]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def timing(self, name: str, duration: timedelta) -> None:
        """Record a duration."""
        self.timings.setdefault(name, []).append(duration)

    def gauge(self, name: str, value: float) -> None:
        """Record the new value of a gauge."""
        self.gauges.setdefault(name, []).append(value)

    def gauge_add(self, name: str, amount: float) -> None:
        """Record the sum of the last value of a gauge and an amount."""
        values = self.gauges.setdefault(name, [])
        values.append((values[-1] if values else 0.0) + amount)

    def remove(self, name: str) -> None:
        """Forget a gauge."""
        self.gauges.pop(name, None)


def metrics_from(settings: Settings, connect: Callable[..., StatsClient]) -> Metrics:
    """Return a statsd sink, or a no-op sink if no statsd host is set."""
    if not settings.statsd_host:
        return NoMetrics()
    client = connect(settings.statsd_host, settings.statsd_port, prefix="magnoliatrail")
    return StatsdMetrics(client)
