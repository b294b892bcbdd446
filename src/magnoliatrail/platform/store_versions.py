"""Versions of the store's rows, ordered also across a return from a copy.

The store counts its versions anew from the copy's, and its era rises by one. So that
newer knowledge has the higher number whatever the era, the era takes the high bits.
"""

# Leaves 13 bits for the era in the integers that JSON carries exactly.
ERA_SHIFT = 40


def version_in_era(era: int, number: int) -> int:
    """Return the version that the store gave as a number within an era."""
    return era << ERA_SHIFT | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> ERA_SHIFT


def number_of(version: int) -> int:
    """Return the store's own number of a version, 0 for a row that doesn't exist."""
    return version & ((1 << ERA_SHIFT) - 1)
