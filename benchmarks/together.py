"""Measure a fleet of instances: takeover and handover gaps, and control overhead."""

import argparse
import asyncio
import os
import random
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec
from tests.processes.fleet import LIMITS, Fleet, Process

from benchmarks.slopes.fit import Slope, fit_slope
from magnoliatrail.clock import SystemClock
from magnoliatrail.config.store import ConfigurationStore
from magnoliatrail.generated.configuration import (
    Change,
    ChangeKind,
    ConfigurationEdit,
)
from magnoliatrail.generated.permits import PermitGrant, PermitRequest, RequestClass
from magnoliatrail.ids import new_request_id
from magnoliatrail.standins.engine import EngineLimits, FakeEngine
from magnoliatrail.standins.environment import (
    EnvironmentSize,
    StandInEnvironment,
    start_environment,
)
from magnoliatrail.standins.weights import WeightStoreLimits

RESULTS = Path(__file__).resolve().parent / "together.json"
SEED = 6
NODES_PER_DOMAIN = 7
ENGINES_PER_NODE = 2
FLEET_SIZES = (7, 14, 28, 56)
MAX_CONCURRENT_STARTS = 8
WARM_UP_SECONDS = 4.0
MEASURE_SECONDS = 10.0
REQUESTS_PER_SECOND_PER_NODE = 2.0
PROBE_INTERVAL_SECONDS = 0.02
GAP_REPETITIONS = 3
TARGET_NODES = 370
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
FAST_STORE = WeightStoreLimits(
    loads_per_second=10_000.0,
    burst=1_000,
    slowdown_threshold=1_000,
    load_time=timedelta(milliseconds=50),
)


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Average resource use of one node, over all nodes of a fleet."""

    nodes: int
    loaded: bool
    cpu_percent: float
    memory_mb: float
    peer_bytes_per_second: float
    platform_bytes_per_second: float
    engine_bytes_per_second: float
    table_reads_per_second: float
    table_writes_per_second: float


class Gap(msgspec.Struct, frozen=True, kw_only=True):
    """Time in which one engine received no load order, and adapters loaded twice."""

    kind: str
    seconds: float
    reloads: int


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """All results of one run."""

    time: str
    python: str
    load_average: float
    gaps: list[Gap]
    costs: list[Cost]
    slopes: list[Slope]


class ByteCountingFleet:
    """Fleet of nodes that count their network bytes."""

    def __init__(self, nodes: int, directory: Path) -> None:
        self.nodes = nodes
        self.directory = directory
        domains = max(1, nodes // NODES_PER_DOMAIN)
        self.domains = domains
        size = EnvironmentSize(
            engines=nodes * ENGINES_PER_NODE,
            adapters=512,
            failure_domains=domains,
            engine=EngineLimits(adapter_slots=512, batch_slots=16),
            weights=FAST_STORE,
        )
        self.fleet = Fleet(
            start_environment(SystemClock(), size),
            module="benchmarks.counted_node",
            process_environment=lambda name: {"COUNTS_FILE": str(directory / name)},
        )

    async def start(self) -> None:
        """Start all nodes, a few concurrently, and wait until the fleet has settled."""
        start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_one(number: int) -> None:
            domain = f"--failure-domain=domain-{number % self.domains}"
            async with start_slots:
                await self.fleet.start(f"node-{number:03d}", domain)

        await set_load_rate(self.fleet.environment)
        # The other nodes discover the first one through the table.
        await start_one(0)
        await asyncio.gather(*(start_one(n) for n in range(1, self.nodes)))
        await self.fleet.until_settled()

    def processes(self) -> list[Process]:
        """Return the running nodes."""
        return list(self.fleet.processes.values())

    async def bytes_by_kind(self) -> dict[str, int]:
        """Return the bytes that all nodes sent and received so far, by kind of peer."""
        for process in self.processes():
            (self.directory / process.name).unlink(missing_ok=True)
            process.signal(signal.SIGUSR1)
        totals = {"peers": 0, "platform": 0, "engines": 0, "callers": 0}
        for process in self.processes():
            path = self.directory / process.name
            while not path.exists():
                await asyncio.sleep(0.01)
            for local, remote, size in msgspec.json.decode(path.read_bytes()):
                totals[self.connection_kind(process, local, remote)] += size
        return totals

    def connection_kind(self, process: Process, local: int, remote: int) -> str:
        """Classify a connection of a node by its ports."""
        if local == port_of(process.caller_url):
            return "callers"
        for name, listener in self.fleet.environment.listeners.items():
            if remote == listener.port:
                return "engines" if name.startswith("engine") else "platform"
        return "peers"


def port_of(url: str) -> int:
    """Return the port of a URL."""
    return int(url.rpartition(":")[2])


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def measure_cost(
    counted: ByteCountingFleet, work: Callable[[], Awaitable[None]], *, loaded: bool
) -> Cost:
    """Measure the average resource use of the nodes while `work` runs."""
    pids = [process.popen.pid for process in counted.processes()]
    table = counted.fleet.environment.table
    bytes_before = await counted.bytes_by_kind()
    reads, writes = table.reads, table.writes
    processor = sum(processor_seconds(pid) for pid in pids)
    started = time.monotonic()
    await work()
    seconds = time.monotonic() - started
    processor = sum(processor_seconds(pid) for pid in pids) - processor
    reads, writes = table.reads - reads, table.writes - writes
    bytes_after = await counted.bytes_by_kind()
    rate = {
        kind: (bytes_after[kind] - bytes_before[kind]) / seconds / len(pids)
        for kind in bytes_after
    }
    return Cost(
        nodes=len(pids),
        loaded=loaded,
        cpu_percent=processor / seconds / len(pids) * 100,
        memory_mb=statistics.fmean(resident_mb(pid) for pid in pids),
        peer_bytes_per_second=rate["peers"],
        platform_bytes_per_second=rate["platform"],
        engine_bytes_per_second=rate["engines"],
        table_reads_per_second=reads / seconds,
        table_writes_per_second=writes / seconds,
    )


async def send_load(counted: ByteCountingFleet) -> None:
    """Send completions through all nodes at a fixed rate."""
    generator = random.Random(SEED)
    names = [process.name for process in counted.processes()]
    count = int(len(names) * REQUESTS_PER_SECOND_PER_NODE * MEASURE_SECONDS)
    interval = MEASURE_SECONDS / count
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            model = f"adapter-{int(generator.paretovariate(1)) % 48:04d}@1"
            name = names[number % len(names)]
            group.create_task(
                counted.fleet.complete(name, model, f"p{number}", stream=True)
            )
            await asyncio.sleep(interval)


async def measure_costs(nodes: int) -> list[Cost]:
    """Measure the resource use of a fleet of one size, idle and under load."""
    with tempfile.TemporaryDirectory() as directory:
        counted = ByteCountingFleet(nodes, Path(directory))
        try:
            await counted.start()
            await asyncio.sleep(WARM_UP_SECONDS)
            idle = await measure_cost(
                counted, lambda: asyncio.sleep(MEASURE_SECONDS), loaded=False
            )
            loaded = await measure_cost(
                counted, lambda: send_load(counted), loaded=True
            )
            return [idle, loaded]
        finally:
            await counted.fleet.close()


async def set_load_rate(environment: StandInEnvironment) -> None:
    """Configure load limits that match the weight store, so that they add no wait."""
    limits = {
        "loads_per_second": FAST_STORE.loads_per_second,
        "loads_in_flight": FAST_STORE.slowdown_threshold,
    }
    store = ConfigurationStore(environment.table, SystemClock())
    for setting, value in limits.items():
        change = Change(
            kind=ChangeKind.SET_DEFAULT,
            setting=setting,
            value=msgspec.json.encode(value).decode(),
        )
        edit = ConfigurationEdit(
            edit_id=f"pace-{setting}",
            author="benchmark",
            time=datetime.now(UTC).isoformat(),
            change=change,
        )
        accepted = await store.edit(edit)
        assert accepted.is_ok(), accepted


class LoadOrderLog:
    """Record the time and fencing number of each load order that an engine receives."""

    def __init__(self, engine: FakeEngine) -> None:
        self.orders: list[tuple[float, int]] = []
        self.load = engine.load
        engine.load = self.record  # type: ignore[method-assign]

    async def record(self, handle: str, source: str, fencing_number: int) -> None:
        """Record a load order, then let the engine execute it."""
        self.orders.append((time.monotonic(), fencing_number))
        await self.load(handle, source, fencing_number)


async def request_permits(fleet: Fleet, engine: str, stop: asyncio.Event) -> None:
    """Request permits for ever new adapters on one engine from every node."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while not stop.is_set():
            number += 1
            for process in list(fleet.processes.values()):
                request = PermitRequest(
                    holder=process.name,
                    engine=engine,
                    adapter=f"adapter-{number % 400:04d}",
                    version="1",
                    request_id=new_request_id(),
                    request_class=RequestClass.INTERACTIVE,
                    waiting=1,
                    deadline_seconds=10.0,
                    rate=0.0,
                    caller="caller",
                )
                url = f"{process.peer_url}/peer/permits"
                group.create_task(fleet.peers.ask(url, request, PermitGrant, LIMITS))
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)


async def measure_gap(fleet: Fleet, kind: str) -> Gap:
    """Kill an owner or shut it down, and measure the load order gap at its engine."""
    statuses = {name: await fleet.status(name) for name in fleet.processes}
    victim, status = max(
        ((name, status) for name, status in statuses.items() if status),
        key=lambda pair: len(pair[1].engines_owned),
    )
    engine = status.engines_owned[0]
    stand_in = fleet.environment.engines[int(engine.rpartition("-")[2])]
    duplicates_before = duplicates_on(stand_in)
    orders = LoadOrderLog(stand_in)
    stop = asyncio.Event()
    probe = asyncio.create_task(request_permits(fleet, engine, stop))
    await asyncio.sleep(1.0)
    old_fencing_number = max(fencing for _, fencing in orders.orders)
    if kind != "handover":
        fleet.kill(victim, listed=kind == "crash, still listed")
    else:
        process = fleet.processes.pop(victim)
        fleet.ended.append(process)
        process.signal(signal.SIGTERM)
    async with asyncio.timeout(60):
        while orders.orders[-1][1] == old_fencing_number:
            await asyncio.sleep(0.005)
    stop.set()
    last = max(at for at, fencing in orders.orders if fencing == old_fencing_number)
    first = min(at for at, fencing in orders.orders if fencing > old_fencing_number)
    await probe
    stand_in.load = orders.load  # type: ignore[method-assign]
    reloads = duplicates_on(stand_in) - duplicates_before
    return Gap(kind=kind, seconds=first - last, reloads=reloads)


def duplicates_on(engine: FakeEngine) -> int:
    """Return the number of duplicate loads on an engine."""
    sources = [adapter.source for adapter in engine.loaded.values()]
    return len(sources) - len(set(sources))


async def measure_gaps() -> list[Gap]:
    """Measure gaps after crashes and graceful exits of owners in a fleet of seven."""
    gaps = []
    with tempfile.TemporaryDirectory() as directory:
        counted = ByteCountingFleet(NODES_PER_DOMAIN, Path(directory))
        try:
            await counted.start()
            for number in range(GAP_REPETITIONS):
                for kind in ("crash", "crash, still listed", "handover"):
                    gap = await measure_gap(counted.fleet, kind)
                    print(f"{kind} {number}: {gap.seconds:.3f} s", file=sys.stderr)
                    gaps.append(gap)
                    name = f"spare-{len(gaps)}"
                    domain = "--failure-domain=domain-0"
                    await counted.fleet.start(name, domain)
                    await counted.fleet.until_settled()
        finally:
            await counted.fleet.close()
    return gaps


def fit_slopes(costs: list[Cost]) -> list[Slope]:
    """Fit the resource use of a node to the number of nodes."""
    slopes = []
    for loaded in (False, True):
        by_nodes = {cost.nodes: cost for cost in costs if cost.loaded is loaded}
        state = "under load" if loaded else "idle"
        for field, unit in (
            ("cpu_percent", "% of a core"),
            ("memory_mb", "MB"),
            ("peer_bytes_per_second", "B/s"),
            ("platform_bytes_per_second", "B/s"),
            ("engine_bytes_per_second", "B/s"),
        ):
            slopes.append(
                fit_slope(
                    f"{field} of a node, {state}",
                    "node",
                    unit,
                    tuple(by_nodes),
                    lambda n, field=field, by=by_nodes: getattr(by[n], field),
                )
            )
    return slopes


def print_tables(run: Run) -> None:
    """Print the results as tables."""
    print("| event | seconds without a load order | reloads |\n| --- | --- | --- |")
    for gap in run.gaps:
        print(f"| {gap.kind} | {gap.seconds:.3f} | {gap.reloads} |")
    print(
        "\n| nodes | load | CPU % | MB | peers B/s | platform B/s | engines B/s "
        "| table reads/s | table writes/s |\n" + "| --- " * 9 + "|"
    )
    for cost in run.costs:
        print(
            f"| {cost.nodes} | {'yes' if cost.loaded else 'no'} "
            f"| {cost.cpu_percent:.2f} | {cost.memory_mb:.1f} "
            f"| {cost.peer_bytes_per_second:.0f} "
            f"| {cost.platform_bytes_per_second:.0f} "
            f"| {cost.engine_bytes_per_second:.0f} "
            f"| {cost.table_reads_per_second:.1f} "
            f"| {cost.table_writes_per_second:.1f} |"
        )
    print(f"\n| cost | at 7 nodes | per node | at {TARGET_NODES} (computed) |")
    print("| --- | --- | --- | --- |")
    for slope in run.slopes:
        target = slope.intercept + slope.slope * TARGET_NODES
        first = slope.intercept + slope.slope * FLEET_SIZES[0]
        print(f"| {slope.name} | {first:.2f} | {slope.slope:.4f} | {target:.1f} |")


async def measure(sizes: tuple[int, ...], *, gaps: bool) -> Run:
    """Measure gaps, if requested, and the costs at each fleet size."""
    gap_results = await measure_gaps() if gaps else []
    costs: list[Cost] = []
    for nodes in sizes:
        print(f"measuring: {nodes} nodes", file=sys.stderr)
        costs += await measure_costs(nodes)
    return Run(
        time=datetime.now(UTC).isoformat(timespec="seconds"),
        python=sys.version.split()[0],
        load_average=os.getloadavg()[0],
        gaps=gap_results,
        costs=costs,
        slopes=fit_slopes(costs) if len(sizes) > 2 else [],  # noqa: PLR2004,
    )


def main() -> None:
    """Run the measurements, print tables and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, FLEET_SIZES)))
    parser.add_argument("--no-gaps", action="store_true")
    parser.add_argument("--output", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    sizes = tuple(int(size) for size in arguments.sizes.split(",") if size)
    run = asyncio.run(measure(sizes, gaps=not arguments.no_gaps))
    print_tables(run)
    arguments.output.write_bytes(
        msgspec.json.format(msgspec.json.encode(run), indent=2) + b"\n"
    )


if __name__ == "__main__":
    main()
