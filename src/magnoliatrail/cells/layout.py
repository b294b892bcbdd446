"""Which cell an engine belongs to, and which cells serve an adapter."""

import hashlib
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from functools import lru_cache

from magnoliatrail.ids import CellId, ServerId
from magnoliatrail.rendezvous import weight

# Keeps the CPU use of one owner under a third of a core.
ENGINES_PER_CELL = 16
MAX_CELLS = 400
CELL_CACHE_ENTRIES = 1 << 17


def cell_count(engines: int) -> int:
    """Return the number of cells for a fleet of engines."""
    return max(1, min(MAX_CELLS, round(engines / ENGINES_PER_CELL)))


def cell_ids(count: int) -> list[CellId]:
    """Return the ids of all cells."""
    return [CellId(str(number)) for number in range(count)]


@lru_cache(maxsize=CELL_CACHE_ENTRIES)
def cell_of(server: ServerId, count: int) -> CellId:
    """Return the cell of an engine, independent of which other engines exist."""
    return max(cell_ids(count), key=lambda cell: weight(cell, server))


def cell_sizes(servers: Iterable[ServerId], count: int) -> dict[CellId, int]:
    """Return the number of engines in each cell."""
    found = Counter(cell_of(server, count) for server in servers)
    return {cell: found[cell] for cell in cell_ids(count)}


def cell_order(adapter: str, sizes: Mapping[CellId, int]) -> list[CellId]:
    """Return the cells in their order of preference for an adapter.

    Weighted rendezvous hashing: a cell comes first for a share of the adapters in
    proportion to its engines.
    """

    def rank(cell: CellId) -> float:
        digest = hashlib.blake2b(f"{cell}\0{adapter}".encode(), digest_size=8).digest()
        point = (int.from_bytes(digest, "big") + 1) / 2.0**64
        return -math.log(point) / max(0.01, sizes[cell])

    return sorted(sizes, key=rank)
