"""Decoding of the client accounts of a configuration.

Invalid accounts are skipped one by one. No text that is made here has a key in it.
"""

import math
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Annotated, Any

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from magnoliatrail.accounts.accounts import (
    AccountTable,
    ClientAccount,
    Quota,
    QuotaUnit,
    digest_of,
)
from magnoliatrail.accounts.keys import MAX_KEY_LETTERS, is_well_formed
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import AccountName, KeyDigest
from magnoliatrail.logs import EventLog

log = EventLog("accounts")

MAX_NAME_LETTERS = 200
MAX_KEYS = 1000
# Rates, bursts and costs above this make an account invalid.
MAX_AMOUNT = 1e12
MAX_PRIORITY = 2**63 - 1
# Levels of nesting of one account. The same on every instance, unlike the depth at
# which the decoder gives up, which depends on its caller's stack.
MAX_DEPTH = 32
# Visible ASCII, with spaces and tabs inside only: a reader of a header strips others.
HEADER_TEXT = re.compile(r"[\x21-\x7e](?:[\x20-\x7e\t]*[\x21-\x7e])?")
UNITS = {unit.value: unit for unit in QuotaUnit}
# A string, or a character that structures JSON.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)
FIELD = b'"tenants"'
# Levels of nesting in the document and in the list of accounts.
DOCUMENT_DEPTH = 1
LIST_DEPTH = 2


class WireAccount(msgspec.Struct):
    """A client account; the limit is `burst` and `rate_per_s`, in its unit."""

    name: str = ""
    keys: list[Any] = []
    priority: Annotated[int, Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)] = 0
    unit: str = QuotaUnit.REQUESTS.value
    plain_tokens: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class DecodedAccount:
    """An account, the digests of its keys, and how many of its keys are invalid."""

    account: ClientAccount
    keys: tuple[KeyDigest, ...]
    invalid_keys: int


@dataclass(frozen=True, slots=True)
class InvalidAccount:
    """Why an account is skipped, with its name if it has a valid one."""

    reason: str
    name: str = ""


class AccountDecoder:
    """Decode the accounts of one configuration after the other.

    What is the same as in the last one is not decoded again. What is skipped is logged
    each time.
    """

    def __init__(self) -> None:
        self.known: dict[bytes, DecodedAccount | InvalidAccount] = {}
        self.last_field = b""
        self.last_table = AccountTable({}, {})
        # Write the lines about what the last table leaves out.
        self.last_lines: list[Callable[[], None]] = []

    def decode(self, field: bytes) -> Result[AccountTable, Failure]:
        """Decode the field that lists the accounts."""
        if not field.startswith(b"["):
            message = "tenants is no list; write a list of accounts, or no tenants"
            return Error(Failure(ErrorKind.INVALID_CONFIGURATION, message))
        if field != self.last_field:
            items = msgspec.json.decode(field, type=list[msgspec.Raw])
            known = self.known
            self.known = {}
            for item in items:
                raw = bytes(item)
                self.known[raw] = known.get(raw) or decode_account(raw)
            self.last_table, self.last_lines = table_of(
                self.known[bytes(item)] for item in items
            )
            self.last_field = field
        for write in self.last_lines:
            write()
        return Ok(self.last_table)


def table_of(
    decoded: Iterable[DecodedAccount | InvalidAccount],
) -> tuple[AccountTable, list[Callable[[], None]]]:
    """Return the table of all valid accounts, and the lines about the others."""
    lines: list[Callable[[], None]] = []
    accounts: dict[AccountName, ClientAccount] = {}
    by_key: dict[KeyDigest, AccountName] = {}
    shared: dict[KeyDigest, set[AccountName]] = {}
    for number, item in enumerate(decoded):
        match item:
            case DecodedAccount(ClientAccount(name)) if name in accounts:
                invalid = InvalidAccount("the name is taken", name)
                lines.append(partial(log_skipped, number, invalid))
            case DecodedAccount(account, keys, invalid_keys):
                name = account.name
                accounts[name] = account
                if invalid_keys:
                    lines.append(partial(log_invalid_keys, name, invalid_keys))
                for key in keys:
                    if by_key.setdefault(key, name) != name:
                        shared.setdefault(key, {by_key[key]}).add(name)
            case InvalidAccount() as invalid:
                lines.append(partial(log_skipped, number, invalid))
    for key, names in shared.items():
        del by_key[key]
        lines.append(partial(log_shared_key, sorted(names)))
    return AccountTable(accounts, by_key), lines


def log_skipped(number: int, invalid: InvalidAccount) -> None:
    """Log an account that is skipped, by its place in the list."""
    log.warning(
        "account_skipped", number=number, account=invalid.name, reason=invalid.reason
    )


def log_invalid_keys(account: AccountName, keys: int) -> None:
    """Log how many keys of an account are skipped."""
    reason = f"not a key of 1 to {MAX_KEY_LETTERS} printable ASCII letters"
    log.warning("account_keys_skipped", account=account, keys=keys, reason=reason)


def log_shared_key(accounts: list[AccountName]) -> None:
    """Log the accounts that name the same key."""
    reason = "a key of several accounts belongs to none"
    log.warning("account_key_shared", accounts=",".join(accounts), reason=reason)


def decode_account(raw: bytes) -> DecodedAccount | InvalidAccount:
    """Decode one account; the keys stay out of the reason why it is invalid."""
    if raw == b"null":
        # Written so, or in place of an account that cannot be read.
        return InvalidAccount("it is null, no JSON, or nested too deeply")
    if exceeds_depth(raw):
        return InvalidAccount("nested too deeply")
    try:
        found = msgspec.json.decode(raw, type=WireAccount)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # The message names the field and the types, not the values.
        return InvalidAccount(str(error))
    if len(found.name) > MAX_NAME_LETTERS or not HEADER_TEXT.fullmatch(found.name):
        return InvalidAccount("the name is missing, too long, or no header text")
    return checked_account(found)


def checked_account(found: WireAccount) -> DecodedAccount | InvalidAccount:
    """Convert an account that has a valid name."""
    if not found.keys:
        return InvalidAccount("it has no keys", found.name)
    if len(found.keys) > MAX_KEYS:
        return InvalidAccount(f"it has more than {MAX_KEYS} keys", found.name)
    keys = [key for key in found.keys if isinstance(key, str) and is_well_formed(key)]
    if not keys:
        return InvalidAccount("it has no valid key", found.name)
    for name in ("rate_per_s", "burst", "plain_tokens"):
        amount = getattr(found, name)
        if not (math.isfinite(amount) and 0 <= amount <= MAX_AMOUNT):
            reason = f"{name} is not between 0 and {MAX_AMOUNT:.0e}"
            return InvalidAccount(reason, found.name)
    unit = UNITS.get(found.unit)
    if unit is None:
        return InvalidAccount(f"the unit is none of {', '.join(UNITS)}", found.name)
    quota = None
    if found.rate_per_s > 0:
        quota = Quota(found.rate_per_s, found.burst, unit, found.plain_tokens)
    account = ClientAccount(AccountName(found.name), max(0, found.priority), quota)
    digests = tuple(dict.fromkeys(digest_of(key) for key in keys))
    return DecodedAccount(account, digests, len(found.keys) - len(keys))


def exceeds_depth(raw: bytes) -> bool:
    """Return whether an account has too many levels of nesting."""
    if raw.count(b"[") + raw.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for token in TOKEN.finditer(raw):
        depth += depth_change(token.group())
        if depth > MAX_DEPTH:
            return True
    return False


def depth_change(token: bytes) -> int:
    """Return by how much a token changes the level of nesting."""
    if token in b"[{":
        return 1
    return -1 if token in b"]}" else 0


def without_unreadable_accounts(value: bytes) -> bytes:
    """Replace by null each account that would make its configuration unreadable.

    A number that JSON does not have, or too deep nesting, must not cost the others.
    """
    parts: list[bytes] = []
    kept_to = 0
    for start, end in account_spans(value):
        item = value[start:end]
        if item.strip() and not is_readable(item):
            parts += [value[kept_to:start], b"null"]
            kept_to = end
    return b"".join([*parts, value[kept_to:]])


def is_readable(item: bytes) -> bool:
    """Return whether a part of a document is JSON."""
    try:
        msgspec.json.decode(item, type=msgspec.Raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return True


def account_spans(value: bytes) -> Iterator[tuple[int, int]]:
    """Yield where each account of a configuration begins and ends."""
    depth = 0
    # Begin of the account that is being read, None outside of the list.
    start: int | None = None
    before: tuple[bytes, bytes] = (b"", b"")
    for token in TOKEN.finditer(value):
        text = token.group()
        if start is not None and depth == LIST_DEPTH and text in (b",", b"]"):
            yield start, token.start()
            start = token.end() if text == b"," else None
        elif depth == DOCUMENT_DEPTH and text == b"[" and before == (FIELD, b":"):
            start = token.end()
        depth += depth_change(text)
        before = (before[1], text)
