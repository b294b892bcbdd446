"""Compare marked cuckoo filters with versioned deltas for the residency digest.

The digest gives each instance of a failure domain the set of adapters loaded on the
engines of every other instance. Each instance is the only writer of its own set.
"""

import random
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from benchmarks.marked_cuckoo_filter import MarkedCuckooFilter, buckets_for

EXCHANGE_ROUNDS = 30
SEED = 7
RESULTS = Path(__file__).resolve().parent / "residency_digest.json"
SLOTS_PER_ENGINE = 8
LOOKUPS = 2_000


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a group of instances, and its rate of adapter loads."""

    name: str
    instances: int
    engines: int
    adapters: int
    loads_per_second: float

    @property
    def residents(self) -> int:
        """Return the number of adapters loaded in the group."""
        return self.engines * SLOTS_PER_ENGINE


# An adapter that becomes active or idle is one load with its eviction; at the target
# size this affects 29% of all adapters per hour.
GROUPS = [
    Group(
        name="Nassar today, all loads",
        instances=7,
        engines=9,
        adapters=3_000,
        loads_per_second=3.0,
    ),
    Group(
        name="ANJS today, all loads",
        instances=7,
        engines=13,
        adapters=3_000,
        loads_per_second=5.0,
    ),
    Group(
        name="target domain",
        instances=17,
        engines=282,
        adapters=130_000,
        loads_per_second=130_000 * 0.29 / 3_600 / 22,
    ),
    Group(
        name="target domain, tenfold change",
        instances=17,
        engines=282,
        adapters=130_000,
        loads_per_second=10 * 130_000 * 0.29 / 3_600 / 22,
    ),
]


class ResidencyDelta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Changes at one instance since the version that a peer last received."""

    version: int
    since: int
    loaded: list[str] = []
    evicted: list[str] = []


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one method for one instance and one round, sent and received."""

    way: str
    bytes_sent: float
    microseconds: float
    wrong_answers: float
    start_bytes: float


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of both methods for one group."""

    group: Group
    residents: int
    changes_per_round: float
    costs: list[Cost]


class Residency:
    """Simulate the set of adapters loaded at each instance of a group."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.random = random.Random(SEED)
        self.sets: list[set[str]] = [set() for _ in range(group.instances)]
        names = self.random.sample(range(group.adapters), group.residents)
        for position, number in enumerate(names):
            self.sets[position % group.instances].add(adapter_name(number))

    def simulate_round(self) -> list[ResidencyDelta]:
        """Load and evict adapters for one round, and return each instance's delta."""
        before = [set(part) for part in self.sets]
        for _ in range(self.loads_this_round()):
            part = self.random.choice(self.sets)
            part.discard(self.random.choice(sorted(part)))
            part.add(adapter_name(self.random.randrange(self.group.adapters)))
        return [
            ResidencyDelta(
                version=1_000_001,
                since=1_000_000,
                loaded=sorted(now - then),
                evicted=sorted(then - now),
            )
            for then, now in zip(before, self.sets, strict=True)
        ]

    def loads_this_round(self) -> int:
        """Return the loads of one second, rounded up or down at random."""
        integer, fraction = divmod(self.group.loads_per_second, 1)
        return int(integer) + (self.random.random() < fraction)


def adapter_name(number: int) -> str:
    """Return the name of an adapter version."""
    return f"adapter-{number:06d}@1"


def delta_cost(group: Group) -> Cost:
    """Measure versioned deltas, which each instance sends to each peer."""
    residency = Residency(group)
    replicas = [[set(part) for part in residency.sets] for _ in range(group.instances)]
    peers = group.instances - 1
    sizes = []
    spent = 0.0
    for _ in range(EXCHANGE_ROUNDS):
        deltas = residency.simulate_round()
        started = time.process_time()
        for writer, delta in enumerate(deltas):
            for reader in range(group.instances):
                if reader == writer:
                    continue
                body = msgspec.json.encode(delta)
                sizes.append(len(body))
                received = msgspec.json.decode(body, type=ResidencyDelta)
                replicas[reader][writer].difference_update(received.evicted)
                replicas[reader][writer].update(received.loaded)
        spent += time.process_time() - started
    # An instance reads its own set directly, without a message.
    reader_view = [residency.sets[0], *replicas[0][1:]]
    snapshot = ResidencyDelta(version=1, since=0, loaded=sorted(residency.sets[0]))
    return Cost(
        way="versioned deltas",
        bytes_sent=statistics.fmean(sizes) * peers,
        microseconds=spent / EXCHANGE_ROUNDS / group.instances * 1e6,
        wrong_answers=wrong_answer_fraction(
            residency, lambda element: holder_mask(element, reader_view)
        ),
        start_bytes=len(msgspec.json.encode(snapshot)) * peers,
    )


def filter_cost(group: Group) -> Cost:
    """Measure filters that are aggregated along a tree and sent back to all."""
    residency = Residency(group)
    buckets = buckets_for(sum(len(part) for part in residency.sets))
    filters = [MarkedCuckooFilter(buckets, group.instances) for _ in residency.sets]
    for owner, part in enumerate(residency.sets):
        for element in part:
            filters[owner].add(element, 1 << owner)
    sent = 0
    spent = 0.0
    union = filters[0]
    for _ in range(EXCHANGE_ROUNDS):
        deltas = residency.simulate_round()
        started = time.process_time()
        for owner, delta in enumerate(deltas):
            for element in delta.evicted:
                filters[owner].remove(element, 1 << owner)
            for element in delta.loaded:
                filters[owner].add(element, 1 << owner)
        union, round_bytes = aggregate_filters(filters, buckets)
        sent += round_bytes
        spent += time.process_time() - started
    return Cost(
        way="marked cuckoo filters",
        bytes_sent=sent / EXCHANGE_ROUNDS / group.instances,
        microseconds=spent / EXCHANGE_ROUNDS / group.instances * 1e6,
        wrong_answers=wrong_answer_fraction(residency, union.marks),
        start_bytes=sent / EXCHANGE_ROUNDS / group.instances,
    )


def aggregate_filters(
    filters: list[MarkedCuckooFilter], buckets: int
) -> tuple[MarkedCuckooFilter, int]:
    """Return the union of all filters, and the bytes to collect and distribute it."""
    bodies = [item.encode() for item in filters]
    union = MarkedCuckooFilter.decode(bodies[0], buckets, len(filters))
    sent = 0
    for body in bodies[1:]:
        sent += len(body)
        if not union.aggregate(MarkedCuckooFilter.decode(body, buckets, len(filters))):
            raise RuntimeError("the filter is full")
    encoded_union = union.encode()
    for _ in filters[1:]:
        sent += len(encoded_union)
        MarkedCuckooFilter.decode(encoded_union, buckets, len(filters))
    return union, sent


def holder_mask(element: str, sets: list[set[str]]) -> int:
    """Return a bit mask of the sets that contain an element."""
    return sum(1 << owner for owner, part in enumerate(sets) if element in part)


def wrong_answer_fraction(residency: Residency, lookup: Callable[[str], int]) -> float:
    """Return the fraction of random lookups with a wrong answer."""
    generator = random.Random(SEED)
    adapters = residency.group.adapters
    names = [adapter_name(generator.randrange(adapters)) for _ in range(LOOKUPS)]
    wrong = sum(lookup(name) != holder_mask(name, residency.sets) for name in names)
    return wrong / LOOKUPS


def measure(group: Group) -> Result:
    """Measure both methods for one group."""
    residency = Residency(group)
    return Result(
        group=group,
        residents=sum(len(part) for part in residency.sets),
        changes_per_round=group.loads_per_second * 2,
        costs=[delta_cost(group), filter_cost(group)],
    )


def main() -> int:
    """Measure every group, print a table and write it as JSON."""
    results = [measure(group) for group in GROUPS]
    RESULTS.write_bytes(
        msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n"
    )
    print("| group | residents | way | B/round | us/round | wrong | B at start |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for result in results:
        for cost in result.costs:
            print(
                f"| {result.group.name} | {result.residents} | {cost.way} "
                f"| {cost.bytes_sent:,.0f} | {cost.microseconds:,.0f} "
                f"| {cost.wrong_answers:.4g} | {cost.start_bytes:,.0f} |"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
