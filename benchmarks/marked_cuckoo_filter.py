"""A marked cuckoo filter: each fingerprint carries a bit mask of the sets it is in.

After "MCFsyn: A Multi-Party Set Reconciliation Protocol With the Marked Cuckoo Filter"
(Luo, Guo, Zhao, Rottenstreich, Ma, Luo).
"""

import hashlib
import random

SLOTS_PER_BUCKET = 4
FINGERPRINT_BITS = 16
MAX_KICKS = 500
LOAD_FACTOR = 0.9


def buckets_for(elements: int) -> int:
    """Return the number of buckets, a power of two, for a number of elements."""
    needed = max(1, int(elements / LOAD_FACTOR / SLOTS_PER_BUCKET) + 1)
    return 1 << (needed - 1).bit_length()


def bucket_bytes(sets: int) -> int:
    """Return the encoded size of one bucket."""
    return (SLOTS_PER_BUCKET * (FINGERPRINT_BITS + sets) + 7) // 8


class MarkedCuckooFilter:
    """Store which of a fixed number of sets contain an element, by fingerprint."""

    def __init__(self, buckets: int, sets: int) -> None:
        self.buckets = buckets
        self.sets = sets
        self.slots: list[list[list[int]]] = [[] for _ in range(buckets)]
        self.random = random.Random(1)

    def locate(self, element: str) -> tuple[int, int]:
        """Return the fingerprint and the first bucket of an element."""
        digest = hashlib.blake2b(element.encode(), digest_size=8).digest()
        fingerprint = int.from_bytes(digest[:2], "big") or 1
        return fingerprint, int.from_bytes(digest[2:], "big") % self.buckets

    def other_bucket(self, fingerprint: int, bucket: int) -> int:
        """Return the other bucket of a fingerprint."""
        return (bucket ^ (fingerprint * 0x5BD1E995)) % self.buckets

    def find(self, fingerprint: int, bucket: int) -> list[int] | None:
        """Return the slot of a fingerprint, as a list of fingerprint and mark."""
        for candidate in (bucket, self.other_bucket(fingerprint, bucket)):
            for slot in self.slots[candidate]:
                if slot[0] == fingerprint:
                    return slot
        return None

    def add(self, element: str, mark: int) -> bool:
        """Add an element to the sets in `mark`; return False if the filter is full."""
        fingerprint, bucket = self.locate(element)
        return self.add_fingerprint(fingerprint, bucket, mark)

    def add_fingerprint(self, fingerprint: int, bucket: int, mark: int) -> bool:
        """Add a fingerprint to the sets in `mark`; return False if there is no room."""
        found = self.find(fingerprint, bucket)
        if found:
            found[1] |= mark
            return True
        entry = [fingerprint, mark]
        for candidate in (bucket, self.other_bucket(fingerprint, bucket)):
            if len(self.slots[candidate]) < SLOTS_PER_BUCKET:
                self.slots[candidate].append(entry)
                return True
        for _ in range(MAX_KICKS):
            victim = self.random.randrange(SLOTS_PER_BUCKET)
            entry, self.slots[bucket][victim] = self.slots[bucket][victim], entry
            bucket = self.other_bucket(entry[0], bucket)
            if len(self.slots[bucket]) < SLOTS_PER_BUCKET:
                self.slots[bucket].append(entry)
                return True
        return False

    def remove(self, element: str, mark: int) -> None:
        """Remove an element from the sets in `mark`."""
        fingerprint, bucket = self.locate(element)
        found = self.find(fingerprint, bucket)
        if found is None:
            return
        found[1] &= ~mark
        if found[1]:
            return
        for candidate in (bucket, self.other_bucket(fingerprint, bucket)):
            if found in self.slots[candidate]:
                self.slots[candidate].remove(found)
                return

    def marks(self, element: str) -> int:
        """Return the mask of an element's sets; colliding fingerprints share it."""
        found = self.find(*self.locate(element))
        return found[1] if found else 0

    def aggregate(self, other: "MarkedCuckooFilter") -> bool:
        """Merge another filter into this one; return False if this one is full."""
        return all(
            self.add_fingerprint(fingerprint, bucket, mark)
            for bucket, slots in enumerate(other.slots)
            for fingerprint, mark in slots
        )

    def encode(self) -> bytes:
        """Encode the filter as fixed-size buckets."""
        return b"".join(self.encode_bucket(bucket) for bucket in self.slots)

    def encode_bucket(self, bucket: list[list[int]]) -> bytes:
        """Encode one bucket, padded to whole bytes."""
        bits = FINGERPRINT_BITS + self.sets
        packed = 0
        for fingerprint, mark in bucket:
            packed = packed << bits | mark << FINGERPRINT_BITS | fingerprint
        return packed.to_bytes(bucket_bytes(self.sets), "little")

    @classmethod
    def decode(cls, body: bytes, buckets: int, sets: int) -> "MarkedCuckooFilter":
        """Decode a filter with the given number of buckets and sets."""
        decoded = cls(buckets, sets)
        bits = FINGERPRINT_BITS + sets
        size = bucket_bytes(sets)
        for number, bucket in enumerate(decoded.slots):
            packed = int.from_bytes(body[number * size : (number + 1) * size], "little")
            while packed:
                slot = packed & ((1 << bits) - 1)
                fingerprint = slot & ((1 << FINGERPRINT_BITS) - 1)
                bucket.append([fingerprint, slot >> FINGERPRINT_BITS])
                packed >>= bits
        return decoded
