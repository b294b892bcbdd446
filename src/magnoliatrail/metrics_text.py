"""Metrics of one process in the Prometheus text format."""

from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

PREFIX = "magnoliatrail_"
# Upper bucket bounds, from a cross-zone round trip to a long stream.
BUCKETS_SECONDS = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8),
    *(1.0, 1.6, 3.0, 6.0, 12.0, 25.0),
)
# Values of a label that clients or operators choose, at most, so that the text stays
# short. The other values share one series, whose label is empty.
MAX_NAMED_VALUES = 200


class MetricKind(Enum):
    """The type of a metric."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class MetricDeclaration:
    """The exposed name, type, help and label of one metric."""

    kind: MetricKind
    name: str
    help: str
    label: str = ""
    # Whether the label has as many values as clients or operators choose.
    unbounded: bool = False


# Keyed by the internal metric name. A key that ends with a dot matches every name with
# this prefix; the rest of the name becomes the label's value.
METRIC_DECLARATIONS: dict[str, MetricDeclaration] = {
    "answers.": MetricDeclaration(
        MetricKind.COUNTER, "answers_total", "Answers to callers, by status.", "status"
    ),
    "answer.time": MetricDeclaration(
        MetricKind.HISTOGRAM,
        "answer_seconds",
        "Time from a request to its whole answer.",
    ),
    "answer.first_event": MetricDeclaration(
        MetricKind.HISTOGRAM,
        "first_event_seconds",
        "Time from a request to its first event.",
    ),
    "answer.table_age": MetricDeclaration(
        MetricKind.HISTOGRAM,
        "request_table_age_seconds",
        "Age of the older table that a request was routed by.",
    ),
    "table_updates.bytes": MetricDeclaration(
        MetricKind.COUNTER,
        "table_update_bytes_total",
        "Bytes of row values in table updates for other instances, as sent.",
    ),
    "table_requests": MetricDeclaration(
        MetricKind.COUNTER,
        "table_requests_total",
        "Times that other instances were asked for their tables.",
    ),
    "table_updates.postponed": MetricDeclaration(
        MetricKind.COUNTER,
        "table_updates_postponed_total",
        "Large table updates that waited until the link was free.",
    ),
    "orders.": MetricDeclaration(
        MetricKind.COUNTER,
        "engine_orders_total",
        "Orders to engines, by outcome.",
        "outcome",
    ),
    "places.refused": MetricDeclaration(
        MetricKind.COUNTER,
        "places_refused_total",
        "Requests refused by the cell's owner.",
    ),
    "places.wait": MetricDeclaration(
        MetricKind.HISTOGRAM,
        "place_wait_seconds",
        "Time that requests waited for a place.",
    ),
    "granted_work.": MetricDeclaration(
        MetricKind.COUNTER,
        "account_granted_work_tokens_total",
        "Work granted to an account: prompt tokens and ten for each output token.",
        "account",
        unbounded=True,
    ),
    "waiting_work.": MetricDeclaration(
        MetricKind.GAUGE,
        "account_waiting_work_tokens",
        "Work of an account that waits for a place at the cells owned here.",
        "account",
        unbounded=True,
    ),
    "loads.": MetricDeclaration(
        MetricKind.COUNTER,
        "adapter_loads_total",
        "Adapters brought, from the store or from near, and evicted.",
        "what",
    ),
    "resumed_streams.": MetricDeclaration(
        MetricKind.COUNTER,
        "streams_resumed_total",
        "Requests that resume a stream, by how the version that began it is known.",
        "source",
    ),
    "stream_records": MetricDeclaration(
        MetricKind.COUNTER,
        "streams_recorded_total",
        "Begun streams whose software version this instance wrote to the store.",
    ),
    "reach.checks": MetricDeclaration(
        MetricKind.COUNTER,
        "reach_checks_total",
        "Checks of the way to the servers that reached none.",
    ),
    "quarantine.refused": MetricDeclaration(
        MetricKind.COUNTER,
        "quarantine_refused_total",
        "Requests refused because a part of their prompt crashes servers.",
    ),
    "quarantine.groups": MetricDeclaration(
        MetricKind.COUNTER,
        "quarantined_groups_total",
        "Groups of prompt parts that this instance quarantined as a collector.",
    ),
    "accounts.refused.": MetricDeclaration(
        MetricKind.COUNTER,
        "keys_refused_total",
        "Requests refused for their key, by reason.",
        "reason",
    ),
    "memory.held.": MetricDeclaration(
        MetricKind.GAUGE,
        "memory_held_bytes",
        "Bytes held for clients and other instances, by what they are held for.",
        "kind",
    ),
    "memory.refused.": MetricDeclaration(
        MetricKind.COUNTER,
        "clients_refused_total",
        "Requests and connections that exceeded a limit of their listener.",
        "reason",
    ),
    "connections.": MetricDeclaration(
        MetricKind.GAUGE,
        "client_connections",
        "Open connections, by listener.",
        "listener",
    ),
    "connections.closed.": MetricDeclaration(
        MetricKind.COUNTER,
        "client_connections_closed_total",
        "Connections that a listener closed by itself, by reason.",
        "reason",
    ),
    "quota_used.": MetricDeclaration(
        MetricKind.GAUGE,
        "quota_used_per_second",
        "What an account used of its quota here, in its unit.",
        "account",
    ),
    "quota_share.": MetricDeclaration(
        MetricKind.GAUGE,
        "quota_share",
        "Fallback fraction of an account's quota that is held here.",
        "account",
    ),
    "quota_refused.": MetricDeclaration(
        MetricKind.GAUGE,
        "quota_refused_per_second",
        "Requests of an account refused here for its quota.",
        "account",
    ),
    "log.dropped": MetricDeclaration(
        MetricKind.COUNTER, "log_lines_dropped_total", "Log lines over the budget."
    ),
}


class TextMetrics:
    """Collect the declared metrics and render them as text."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.collectors: dict[str, Counter | Histogram | Gauge] = {
            key: new_collector(declared, self.registry)
            for key, declared in METRIC_DECLARATIONS.items()
        }
        # The values that have a series of their own, of each unbounded label.
        self.named: dict[str, set[str]] = {
            key: set()
            for key, declared in METRIC_DECLARATIONS.items()
            if declared.unbounded
        }

    def find(self, name: str) -> tuple[Counter | Histogram | Gauge, str]:
        """Return the collector for an internal name, and the label's value."""
        if name in self.collectors:
            return self.collectors[name], ""
        family = name.rpartition(".")[0]
        # The longest declared prefix: the value of a label may have dots, too.
        while family and f"{family}." not in self.collectors:
            family = family.rpartition(".")[0]
        key, value = f"{family}.", name[len(family) + 1 :]
        if key in self.named:
            value = self.bounded(key, value)
            # An empty label is one too, that of the values without a series.
            return self.collectors[key].labels(value), ""
        return self.collectors[key], value

    def bounded(self, key: str, value: str) -> str:
        """Return a label's value, or an empty one if too many others are named."""
        named = self.named[key]
        if value not in named and len(named) >= MAX_NAMED_VALUES:
            return ""
        named.add(value)
        return value

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        collector, value = self.find(name)
        assert isinstance(collector, Counter), f"{name} is not a counter"
        (collector.labels(value) if value else collector).inc(amount)

    def timing(self, name: str, duration: timedelta) -> None:
        """Record a duration."""
        collector, _ = self.find(name)
        assert isinstance(collector, Histogram), f"{name} is not a histogram"
        collector.observe(duration.total_seconds())

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        collector, label = self.find(name)
        assert isinstance(collector, Gauge), f"{name} is not a gauge"
        (collector.labels(label) if label else collector).set(value)

    def gauge_add(self, name: str, amount: float) -> None:
        """Add to a gauge."""
        collector, _ = self.find(name)
        assert isinstance(collector, Gauge), f"{name} is not a gauge"
        collector.inc(amount)

    def remove(self, name: str) -> None:
        """Stop exposing a labeled gauge, if it was set."""
        collector, label = self.find(name)
        with suppress(KeyError):
            collector.remove(label)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def new_collector(
    declared: MetricDeclaration, registry: CollectorRegistry
) -> Counter | Histogram | Gauge:
    """Create and register the collector of a declared metric."""
    labels = [declared.label] if declared.label else []
    name = PREFIX + declared.name
    match declared.kind:
        case MetricKind.COUNTER:
            return Counter(name, declared.help, labels, registry=registry)
        case MetricKind.HISTOGRAM:
            return Histogram(
                name, declared.help, labels, registry=registry, buckets=BUCKETS_SECONDS
            )
        case MetricKind.GAUGE:
            return Gauge(name, declared.help, labels, registry=registry)
