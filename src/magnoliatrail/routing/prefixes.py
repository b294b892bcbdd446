"""Index of the prompt prefixes that engines have probably cached."""

from collections import OrderedDict

from magnoliatrail.generated.engine import CacheEventKind, CacheEvents
from magnoliatrail.ids import EngineId


class EnginePrefixes:
    """The cached prefixes of one engine, from its cache events."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.boot_id = ""
        self.sequence = 0
        self.hashes: OrderedDict[str, None] = OrderedDict()

    def apply(self, events: CacheEvents) -> None:
        """Apply cache events; a restart or a gap in the sequence clears the set."""
        if events.boot_id != self.boot_id:
            self.hashes.clear()
            self.boot_id = events.boot_id
            self.sequence = 0
        for event in events.events:
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                self.hashes.clear()
            self.sequence = event.sequence
            if event.kind is CacheEventKind.REMOVED:
                self.hashes.pop(event.prefix_hash, None)
                continue
            self.hashes[event.prefix_hash] = None
            self.hashes.move_to_end(event.prefix_hash)
        while len(self.hashes) > self.limit:
            self.hashes.popitem(last=False)


class PrefixIndex:
    """Index cached prefixes by engine.

    Entries are hints: an engine may have evicted a prefix since its last event.
    """

    def __init__(self, limit_per_engine: int = 4096) -> None:
        self.limit_per_engine = limit_per_engine
        self.engines: dict[EngineId, EnginePrefixes] = {}

    def apply(self, engine: EngineId, events: CacheEvents) -> None:
        """Apply the cache events of an engine."""
        if engine not in self.engines:
            self.engines[engine] = EnginePrefixes(self.limit_per_engine)
        self.engines[engine].apply(events)

    def has(self, engine: EngineId, prefix_hash: str) -> bool:
        """Return whether an engine has probably cached a prefix."""
        prefixes = self.engines.get(engine)
        return prefixes is not None and prefix_hash in prefixes.hashes

    def remove_engine(self, engine: EngineId) -> None:
        """Remove all entries of an engine."""
        self.engines.pop(engine, None)
