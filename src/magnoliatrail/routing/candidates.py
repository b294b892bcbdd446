"""Candidate engines of an adapter, by two-level rendezvous hashing.

Only a few groups of engines are ranked for each adapter, so that the cost hardly grows
with the fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import zip_longest

from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.ids import EngineId
from magnoliatrail.rendezvous import weight

MASK_64_BITS = (1 << 64) - 1
MIX_MULTIPLIER = 0x9E3779B97F4A7C15
ENGINES_PER_GROUP = 8
DOMAINS_PER_ADAPTER = 3


def mix(member: int, key: int) -> int:
    """Return the weight of a hashed member for a hashed key, uniform over 64 bits."""
    mixed = ((member ^ key) * MIX_MULTIPLIER) & MASK_64_BITS
    mixed = ((mixed ^ (mixed >> 29)) * MIX_MULTIPLIER) & MASK_64_BITS
    return mixed ^ (mixed >> 32)


@dataclass(slots=True)
class DomainEngines:
    """The engines of one failure domain, divided into small groups."""

    hash: int
    groups: list[tuple[int, list[tuple[int, EngineId]]]] = field(default_factory=list)

    def ranked(self, key: int, count: int) -> list[EngineId]:
        """Return the highest-ranked engines for a key, group by group."""
        chosen: list[EngineId] = []
        groups = sorted(self.groups, key=lambda group: mix(group[0], key), reverse=True)
        for _, members in groups:
            order = sorted(members, key=lambda item: mix(item[0], key), reverse=True)
            chosen.extend(engine for _, engine in order)
            if len(chosen) >= count:
                break
        return chosen[:count]


def group_count(members: int) -> int:
    """Return the number of groups, a power of two so that it rarely changes."""
    return 1 << max(0, (members // ENGINES_PER_GROUP).bit_length() - 1)


def domain_engines(domain: str, engines: Iterable[EngineId]) -> DomainEngines:
    """Group the engines of a failure domain by their hash."""
    hashed = [(weight(engine, ""), engine) for engine in engines]
    count = group_count(len(hashed))
    groups: dict[int, list[tuple[int, EngineId]]] = {}
    for item in hashed:
        groups.setdefault(item[0] % count, []).append(item)
    named = [(weight(domain, str(number)), group) for number, group in groups.items()]
    return DomainEngines(weight(domain, ""), named)


class CandidateIndex:
    """Rank the live engines of one base model for each adapter."""

    def __init__(self, engines: Iterable[ListedInstance]) -> None:
        by_domain: dict[str, list[EngineId]] = {}
        for item in engines:
            by_domain.setdefault(item.failure_domain, []).append(EngineId(item.id))
        self.domains = [
            domain_engines(domain, members) for domain, members in by_domain.items()
        ]

    def candidates(self, name: str, count: int) -> list[EngineId]:
        """Return the best engines for an adapter, alternating failure domains."""
        key = weight(name, "")
        domains = sorted(
            self.domains, key=lambda domain: mix(domain.hash, key), reverse=True
        )
        each = -(-count // min(DOMAINS_PER_ADAPTER, max(1, len(domains))))
        columns: list[list[EngineId]] = []
        for domain in domains:
            columns.append(domain.ranked(key, each))
            if sum(map(len, columns)) >= count:
                break
        rows = zip_longest(*columns)
        return [engine for row in rows for engine in row if engine is not None][:count]
