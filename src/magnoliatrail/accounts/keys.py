"""The form of the keys that name client accounts, and why one is refused."""

import re
from enum import Enum

MAX_KEY_LETTERS = 200
PRINTABLE_ASCII = re.compile(r"[\x20-\x7e]+")


class KeyProblem(Enum):
    """Why a request names no account."""

    MISSING = "missing"
    REPEATED = "repeated"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    # The key named an account when the request began.
    WITHDRAWN = "withdrawn"


def is_well_formed(key: str) -> bool:
    """Return whether a text can be a key."""
    return len(key) <= MAX_KEY_LETTERS and bool(PRINTABLE_ASCII.fullmatch(key))
