"""Rendezvous hashing."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# Enough for the pairs of 16 engines and 4,000 adapters.
WEIGHT_CACHE_ENTRIES = 1 << 16


@lru_cache(maxsize=WEIGHT_CACHE_ENTRIES)
def weight(member: str, key: str) -> int:
    """Return the weight of a member for a key, uniform over 64 bits."""
    digest = hashlib.blake2b(f"{member}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in order of preference for a key."""
    return sorted(members, key=lambda member: weight(member, key), reverse=True)
