"""A marked cuckoo filter: fingerprints of elements, each with the sets that hold it.

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
    """Return the number of buckets, a power of two, that elements fit in."""
    needed = max(1, int(elements / LOAD_FACTOR / SLOTS_PER_BUCKET) + 1)
    return 1 << (needed - 1).bit_length()


def bucket_bytes(sets: int) -> int:
    """Return the bytes of one bucket."""
    return (SLOTS_PER_BUCKET * (FINGERPRINT_BITS + sets) + 7) // 8


class MarkedCuckooFilter:
    """Keep which of some sets hold an element, by fingerprint."""

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
        """Return the slot of a fingerprint."""
        for candidate in (bucket, self.other_bucket(fingerprint, bucket)):
            for slot in self.slots[candidate]:
                if slot[0] == fingerprint:
                    return slot
        return None

    def add(self, element: str, mark: int) -> bool:
        """Mark an element as held by some sets; False if the filter is full."""
        fingerprint, bucket = self.locate(element)
        return self.add_fingerprint(fingerprint, bucket, mark)

    def add_fingerprint(self, fingerprint: int, bucket: int, mark: int) -> bool:
        """Mark a fingerprint in its bucket; False if the filter is full."""
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
        """Take an element out of some sets."""
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
        """Return the sets that hold an element, as far as the filter can tell."""
        found = self.find(*self.locate(element))
        return found[1] if found else 0

    def aggregate(self, other: "MarkedCuckooFilter") -> bool:
        """Take in all that another filter holds; False if this one is full."""
        return all(
            self.add_fingerprint(fingerprint, bucket, mark)
            for bucket, slots in enumerate(other.slots)
            for fingerprint, mark in slots
        )

    def encode(self) -> bytes:
        """Return the filter as fixed slots of fingerprint and mark."""
        return b"".join(self.encode_bucket(bucket) for bucket in self.slots)

    def encode_bucket(self, bucket: list[list[int]]) -> bytes:
        """Return one bucket, padded to whole bytes."""
        bits = FINGERPRINT_BITS + self.sets
        packed = 0
        for fingerprint, mark in bucket:
            packed = packed << bits | mark << FINGERPRINT_BITS | fingerprint
        return packed.to_bytes(bucket_bytes(self.sets), "little")

    @classmethod
    def decode(cls, body: bytes, buckets: int, sets: int) -> "MarkedCuckooFilter":
        """Return the filter that was encoded."""
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
