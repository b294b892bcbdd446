"""Reference load counts: Belady's optimal eviction, and LRU per hashed engine."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence

from magnoliatrail.ids import AdapterVersion
from magnoliatrail.rendezvous import ranked

NEVER_USED_AGAIN = 1 << 60


def belady_loads(models: Sequence[AdapterVersion], slots: int) -> int:
    """Return the minimum number of loads, with the slots of all engines pooled."""
    next_use = [NEVER_USED_AGAIN] * len(models)
    seen: dict[AdapterVersion, int] = {}
    for index in range(len(models) - 1, -1, -1):
        next_use[index] = seen.get(models[index], NEVER_USED_AGAIN)
        seen[models[index]] = index
    resident: dict[AdapterVersion, int] = {}
    farthest: list[tuple[int, str, AdapterVersion]] = []
    loads = 0
    for index, model in enumerate(models):
        if model not in resident:
            loads += 1
            if len(resident) >= slots:
                evict_farthest(resident, farthest)
        resident[model] = next_use[index]
        heapq.heappush(farthest, (-next_use[index], str(model), model))
    return loads


def evict_farthest(
    resident: dict[AdapterVersion, int],
    farthest: list[tuple[int, str, AdapterVersion]],
) -> None:
    """Evict the adapter whose next use is farthest away."""
    while True:
        use, _, model = heapq.heappop(farthest)
        if resident.get(model) == -use:
            del resident[model]
            return


def rendezvous_lru_loads(
    models: Sequence[AdapterVersion], engines: Sequence[str], slots: int
) -> int:
    """Return the number of loads of LRU on engines chosen by rendezvous hashing."""
    caches: dict[str, OrderedDict[AdapterVersion, None]] = {
        engine: OrderedDict() for engine in engines
    }
    homes = {model: ranked(str(model), engines)[0] for model in set(models)}
    loads = 0
    for model in models:
        cache = caches[homes[model]]
        if model in cache:
            cache.move_to_end(model)
            continue
        loads += 1
        if len(cache) >= slots:
            cache.popitem(last=False)
        cache[model] = None
    return loads
