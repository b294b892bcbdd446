"""Client accounts, found by the digest of a key."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from magnoliatrail.ids import AccountName, KeyDigest


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """What an account may use over all instances, in its unit."""

    per_second: float
    burst: float
    unit: QuotaUnit
    # Tokens of a request that states no token counts.
    plain_tokens: float

    def cost(self, tokens: int | None) -> float:
        """Return the cost of a request that states so many tokens, None for none."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.plain_tokens if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer's account."""

    name: AccountName
    # 0 is the most urgent; it counts before the priority of the route.
    priority: int = 0
    # None without a limit.
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class AccountTable:
    """The accounts of one configuration, and which keys name them."""

    accounts: Mapping[AccountName, ClientAccount]
    by_key: Mapping[KeyDigest, AccountName]

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that a key names, None if it names none."""
        name = self.by_key.get(digest_of(key))
        return None if name is None else self.accounts.get(name)


def digest_of(key: str) -> KeyDigest:
    """Return the digest by which a key is looked up."""
    # Digests make the time of a look-up independent of how much of a key is right.
    return KeyDigest(hashlib.sha256(key.encode("utf-8", "replace")).digest())
