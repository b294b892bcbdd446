"""Cost of each role at the target size, computed from the measured slopes."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import msgspec

from benchmarks.capacity.target import (
    ADAPTER_SLOTS,
    ADAPTER_TURNOVER_PER_HOUR,
    ADAPTERS,
    CONFIGURATION_EXCEPTIONS,
    CONFIGURATION_POLL_INTERVAL_SECONDS,
    DAY_SECONDS,
    DEMAND_REPORT_INTERVAL_SECONDS,
    EDITS_PER_DAY,
    ENGINES,
    FAILURE_DOMAINS,
    HEARTBEAT_INTERVAL_SECONDS,
    HEARTBEAT_LINKS,
    INSTANCE_LIST_INTERVAL_SECONDS,
    INSTANCE_REPLACEMENTS_PER_DAY,
    LIST_CHANGES_PER_DAY,
    LOAD_REPORT_INTERVAL_SECONDS,
    NODES,
    REQUESTS_PER_SECOND,
    SESSION_RENEWAL_INTERVAL_SECONDS,
    TABLE_SCAN_INTERVAL_SECONDS,
    TOKENS_PER_SECOND,
    ZIPF_EXPONENT,
)
from benchmarks.slopes.__main__ import SlopeRun

MICROSECONDS_PER_CORE_SECOND = 1e6
CHUNK_RUN = Path(__file__).resolve().parent.parent / "entry_chunk_cost.json"


class Budget(Enum):
    """Resources that control overhead uses; the value is the unit of the budget."""

    CORE = "% of a core"
    MEMORY = "MB"
    BYTES = "B/s"


BUDGET_LIMITS = {Budget.CORE: 4.2, Budget.MEMORY: 64.0, Budget.BYTES: 2_000.0}


@dataclass(frozen=True)
class Figure:
    """One computed figure of one role, as a row of the table."""

    role: str
    what: str
    derivation: str
    value: float
    unit: str
    budget: Budget | None = None


class ChunkCost(msgspec.Struct, frozen=True):
    """Cost per chunk of the entry and of a plain relay, in microseconds."""

    naive: float
    entry: float


class RelayCosts(msgspec.Struct, frozen=True):
    """Costs with one gap between chunks."""

    microseconds_per_chunk: ChunkCost


class ChunkRun(msgspec.Struct, frozen=True):
    """The fields used from a run of `benchmarks/entry_chunk_cost.py`."""

    spread: RelayCosts


class Slopes:
    """Measured slopes by name."""

    def __init__(self, run: SlopeRun) -> None:
        self.by_name = {slope.name: slope for slope in run.slopes}

    def per_unit(self, name: str) -> float:
        """Return the cost of one more item, which is the slope."""
        return self.by_name[name].slope

    def at(self, name: str, size: float) -> float:
        """Return the cost at a size on the fitted line."""
        slope = self.by_name[name]
        return slope.intercept + slope.slope * size


@dataclass(frozen=True)
class PermitLoad:
    """Permits of one node in steady state: number held and rate of requests."""

    held: float
    requested_per_second: float


def permit_load(requests_per_second: float, lifetime_seconds: float) -> PermitLoad:
    """Return the permit load of a node, with Zipf popularity and a permit lifetime."""
    weights = [rank**-ZIPF_EXPONENT for rank in range(1, ADAPTERS + 1)]
    scale = requests_per_second / sum(weights)
    rates = [weight * scale for weight in weights]
    held = sum(r * lifetime_seconds / (1 + r * lifetime_seconds) for r in rates)
    requested = sum(r / (1 + r * lifetime_seconds) for r in rates)
    return PermitLoad(held, requested)


def entry_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of the entry that serves callers."""
    requests = REQUESTS_PER_SECOND / NODES
    chunks = TOKENS_PER_SECOND / NODES
    whole = slopes.per_unit("whole answers at the entry")
    lookup = slopes.at("looking one setting up", CONFIGURATION_EXCEPTIONS)
    streamed = slopes.per_unit("streamed chunks at the entry")
    run = msgspec.json.decode(CHUNK_RUN.read_bytes(), type=ChunkRun)
    relay_costs = run.spread.microseconds_per_chunk
    return [
        Figure("entry", "requests", "12,000 / 370", requests, "/s"),
        Figure("entry", "chunks", "3.5 M / 370", chunks, "/s"),
        Figure(
            "entry",
            "processor time, requests",
            f"{whole:,.0f} us each",
            requests * whole / MICROSECONDS_PER_CORE_SECOND,
            "cores",
        ),
        Figure(
            "entry",
            "processor time, chunks",
            f"{streamed:,.0f} us each, whole daemon",
            chunks * streamed / MICROSECONDS_PER_CORE_SECOND,
            "cores",
        ),
        Figure(
            "entry",
            "processor time, chunks, entry alone",
            f"{relay_costs.entry:,.0f} us each, chunks as they come",
            chunks * relay_costs.entry / MICROSECONDS_PER_CORE_SECOND,
            "cores",
        ),
        Figure(
            "entry",
            "the same by a plain relay",
            f"{relay_costs.naive:,.0f} us each, in the same run",
            chunks * relay_costs.naive / MICROSECONDS_PER_CORE_SECOND,
            "cores",
        ),
        Figure(
            "entry",
            "one lookup of a setting",
            f"{CONFIGURATION_EXCEPTIONS} exceptions",
            lookup,
            "us",
        ),
    ]


def holder_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of permits, at the nodes that hold them."""
    requests = REQUESTS_PER_SECOND / NODES
    activations = ADAPTERS * ADAPTER_TURNOVER_PER_HOUR / 3_600
    lifetime = ENGINES * ADAPTER_SLOTS / activations
    load = permit_load(requests, lifetime)
    caller_cost = slopes.per_unit("permit calls, asking")
    callee_cost = slopes.per_unit("permit calls, answering")
    wire = slopes.per_unit("permit calls, wire")
    memory = slopes.per_unit("permits in memory")
    return [
        Figure(
            "holder",
            "adapters that wake, fleet",
            "29% of 130,000 / h",
            activations,
            "/s",
        ),
        Figure(
            "holder",
            "life of a permit",
            f"6,200 x {ADAPTER_SLOTS} slots / wakes",
            lifetime,
            "s",
        ),
        Figure(
            "holder",
            "permits held",
            f"Zipf {ZIPF_EXPONENT}, balancer at random",
            load.held,
            "",
        ),
        Figure(
            "holder",
            "memory of permits",
            f"{memory:,.0f} B each",
            load.held * memory / 1e6,
            "MB",
            Budget.MEMORY,
        ),
        Figure(
            "holder",
            "permits asked for",
            "as above",
            load.requested_per_second,
            "/s",
        ),
        Figure(
            "holder",
            "processor time, both ends",
            f"{caller_cost:,.0f} + {callee_cost:,.0f} us each",
            load.requested_per_second
            * (caller_cost + callee_cost)
            / MICROSECONDS_PER_CORE_SECOND
            * 100,
            "% of a core",
            Budget.CORE,
        ),
        Figure(
            "holder",
            "bytes, both directions",
            f"{wire:,.0f} B each",
            load.requested_per_second * wire,
            "B/s",
            Budget.BYTES,
        ),
    ]


def owner_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of engine owners."""
    engines = ENGINES / NODES
    reports = engines / LOAD_REPORT_INTERVAL_SECONDS
    caller_cost = slopes.per_unit("load report calls, asking")
    wire = slopes.per_unit("load report calls, wire")
    return [
        Figure("owner", "engines owned", "6,200 / 370", engines, ""),
        Figure(
            "owner",
            "load reports read",
            f"one per engine every {LOAD_REPORT_INTERVAL_SECONDS} s",
            reports,
            "/s",
        ),
        Figure(
            "owner",
            "processor time of reports",
            f"{caller_cost:,.0f} us each",
            reports * caller_cost / MICROSECONDS_PER_CORE_SECOND * 100,
            "% of a core",
            Budget.CORE,
        ),
        Figure(
            "owner",
            "bytes of reports",
            f"{wire:,.0f} B each",
            reports * wire,
            "B/s",
            Budget.BYTES,
        ),
    ]


def peer_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of heartbeats between instances."""
    sent = HEARTBEAT_LINKS / HEARTBEAT_INTERVAL_SECONDS
    caller_cost = slopes.per_unit("heartbeat calls, asking")
    callee_cost = slopes.per_unit("heartbeat calls, answering")
    wire = slopes.per_unit("heartbeat calls, wire")
    return [
        Figure(
            "peer",
            "heartbeats sent, and as many answered",
            f"{HEARTBEAT_LINKS} links",
            sent,
            "/s",
        ),
        Figure(
            "peer",
            "processor time of heartbeats",
            f"{caller_cost:,.0f} + {callee_cost:,.0f} us each",
            sent * (caller_cost + callee_cost) / MICROSECONDS_PER_CORE_SECOND * 100,
            "% of a core",
            Budget.CORE,
        ),
        Figure(
            "peer",
            "bytes sent",
            f"{wire:,.0f} B a call",
            sent * wire,
            "B/s",
            Budget.BYTES,
        ),
    ]


def demand_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of routing and of demand reports to engine owners."""
    requests = REQUESTS_PER_SECOND / NODES * DEMAND_REPORT_INTERVAL_SECONDS
    owners = NODES * (1 - (1 - 1 / NODES) ** requests)
    reports = (owners + 1) / DEMAND_REPORT_INTERVAL_SECONDS
    engines_per_report = requests / owners
    call = slopes.per_unit("heartbeat calls, asking") + slopes.per_unit(
        "heartbeat calls, answering"
    )
    codec = slopes.at(
        "encoding and decoding a demand report and answer", engines_per_report
    )
    call_bytes = slopes.per_unit("heartbeat calls, wire")
    engine_bytes = slopes.at("demand report and answer", engines_per_report)
    decision = slopes.at("candidate engines of an adapter", ENGINES / 3)
    return [
        Figure(
            "routing",
            "candidate engines of an adapter",
            "2,067 of a base model",
            decision,
            "us",
        ),
        Figure(
            "routing",
            "popularity in memory",
            "all 130,000 used at one node",
            slopes.at("popularity in memory", ADAPTERS) / 1e6,
            "MB",
            Budget.MEMORY,
        ),
        Figure(
            "routing",
            "reports of demand sent, and as many answered",
            f"to {owners:.0f} owners of engines in use, "
            f"every {DEMAND_REPORT_INTERVAL_SECONDS} s",
            reports,
            "/s",
        ),
        Figure(
            "routing",
            "processor time of reports of demand",
            f"{call:,.0f} us a call, {codec:,.0f} us for its engines",
            reports * (call + codec) / MICROSECONDS_PER_CORE_SECOND * 100,
            "% of a core",
            Budget.CORE,
        ),
        Figure(
            "routing",
            "bytes of reports of demand",
            f"{call_bytes:,.0f} B a call, {engine_bytes:,.0f} B for its engines",
            reports * (call_bytes + engine_bytes),
            "B/s",
            Budget.BYTES,
        ),
    ]


def configuration_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of the configuration."""
    size = slopes.at("configuration document", CONFIGURATION_EXCEPTIONS)
    reading = slopes.at("reading the configuration", CONFIGURATION_EXCEPTIONS)
    edits = EDITS_PER_DAY / DAY_SECONDS
    return [
        Figure(
            "configuration",
            "document",
            f"{CONFIGURATION_EXCEPTIONS} exceptions",
            size / 1e3,
            "KB",
        ),
        Figure("configuration", "edits, fleet", "8,500 a day", edits, "/s"),
        Figure(
            "configuration",
            "bytes of the poll",
            f"the revision every {CONFIGURATION_POLL_INTERVAL_SECONDS} s, "
            "the document when it missed one",
            slopes.per_unit("heartbeat calls, wire")
            / CONFIGURATION_POLL_INTERVAL_SECONDS,
            "B/s",
            Budget.BYTES,
        ),
        Figure(
            "configuration",
            "processor time of edits",
            f"{reading:,.0f} us to decode a document",
            reading * edits / MICROSECONDS_PER_CORE_SECOND * 100,
            "% of a core",
            Budget.CORE,
        ),
    ]


def membership_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of the instance list, sessions and ownership."""
    list_bytes = slopes.at("instance list message", ENGINES + NODES)
    list_time = slopes.at("reading the instance list", ENGINES + NODES)
    owners = slopes.at("ownership in memory", ENGINES)
    sessions = slopes.at("sessions in memory", NODES)
    listed = slopes.at("instance list in memory", ENGINES + NODES)
    scan_bytes = slopes.at("ownership rows", ENGINES) + slopes.at("session rows", NODES)
    scan_time = slopes.at("reading ownership", ENGINES) + slopes.at(
        "reading sessions", NODES
    )
    return [
        Figure(
            "membership",
            "memory of list, owners and sessions",
            "6,570 + 6,200 + 370 records",
            (owners + sessions + listed) / 1e6,
            "MB",
            Budget.MEMORY,
        ),
        Figure(
            "membership",
            "bytes of the instance list",
            f"asked every {INSTANCE_LIST_INTERVAL_SECONDS} s, "
            f"{LIST_CHANGES_PER_DAY:,} changes a day",
            slopes.per_unit("heartbeat calls, wire") / INSTANCE_LIST_INTERVAL_SECONDS
            + list_bytes * LIST_CHANGES_PER_DAY / DAY_SECONDS,
            "B/s",
            Budget.BYTES,
        ),
        Figure(
            "membership",
            "processor time of the instance list",
            f"{list_time / 1e3:,.1f} ms to decode",
            list_time
            * LIST_CHANGES_PER_DAY
            / DAY_SECONDS
            / MICROSECONDS_PER_CORE_SECOND
            * 100,
            "% of a core",
            Budget.CORE,
        ),
        Figure(
            "membership",
            "bytes of scans of sessions and owners",
            f"all rows every {TABLE_SCAN_INTERVAL_SECONDS} s",
            scan_bytes / TABLE_SCAN_INTERVAL_SECONDS,
            "B/s",
            Budget.BYTES,
        ),
        Figure(
            "membership",
            "processor time of scans",
            f"{scan_time / 1e3:,.1f} ms to decode",
            scan_time
            / TABLE_SCAN_INTERVAL_SECONDS
            / MICROSECONDS_PER_CORE_SECOND
            * 100,
            "% of a core",
            Budget.CORE,
        ),
        Figure(
            "membership",
            "engines to claim when a domain is lost",
            "6,200 / 22 owned by its instances",
            ENGINES / FAILURE_DOMAINS,
            "",
        ),
    ]


def catalogue_figures(slopes: Slopes) -> list[Figure]:
    """Return the figures of the adapter catalogue."""
    retained = slopes.at("catalogue in memory", ADAPTERS)
    peak = slopes.at("catalogue in memory while it is read", ADAPTERS)
    size = slopes.at("catalogue message", ADAPTERS)
    reading = slopes.at("reading the catalogue", ADAPTERS)
    return [
        Figure("catalogue", "memory", "130,000 adapters", retained / 1e6, "MB"),
        Figure(
            "catalogue",
            "memory while it is read again",
            "old one kept beside",
            (retained + peak) / 1e6,
            "MB",
            Budget.MEMORY,
        ),
        Figure(
            "catalogue",
            "bytes of one change",
            "read whole, by If-None-Match only when it changed",
            size / 1e6,
            "MB",
        ),
        Figure(
            "catalogue",
            "processor time of one change",
            "decoded at a stretch",
            reading / 1e3,
            "ms",
        ),
    ]


def table_figures(slopes: Slopes) -> list[Figure]:
    """Return the load of all instances on the platform's table service."""
    claims = INSTANCE_REPLACEMENTS_PER_DAY / DAY_SECONDS * ENGINES / NODES
    row = slopes.at("ledger row", 0)
    return [
        Figure(
            "table",
            "renewals of sessions",
            "370 / 3 s",
            NODES / SESSION_RENEWAL_INTERVAL_SECONDS,
            "writes/s",
        ),
        Figure(
            "table",
            "claims of engines",
            "628 replaced a day x 16.8",
            claims,
            "writes/s",
        ),
        Figure(
            "table", "edits", "4 rows each", 4 * EDITS_PER_DAY / DAY_SECONDS, "writes/s"
        ),
        Figure(
            "table",
            "one operation that may not be repeated",
            "claim and answer",
            2,
            "writes",
        ),
        Figure("table", "row of such an operation", "without its answer", row, "B"),
        Figure(
            "table",
            "polls of the configuration",
            f"370 / {CONFIGURATION_POLL_INTERVAL_SECONDS} s",
            NODES / CONFIGURATION_POLL_INTERVAL_SECONDS,
            "reads/s",
        ),
        Figure(
            "table",
            "scans of sessions and owners",
            f"2 x 370 / {TABLE_SCAN_INTERVAL_SECONDS} s",
            2 * NODES / TABLE_SCAN_INTERVAL_SECONDS,
            "scans/s",
        ),
    ]


FIGURE_GROUPS: list[Callable[[Slopes], list[Figure]]] = [
    entry_figures,
    holder_figures,
    owner_figures,
    peer_figures,
    demand_figures,
    configuration_figures,
    membership_figures,
    catalogue_figures,
    table_figures,
]
