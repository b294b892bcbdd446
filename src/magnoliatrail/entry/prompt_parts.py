"""The parts of a completion's prompt that other requests may have too."""

import hashlib

import msgspec

from magnoliatrail.ids import PartId

MESSAGES_FIELD = "messages"
PROMPT_FIELD = "prompt"
DIGEST_BYTES = 8


def prompt_parts_of(fields: dict[str, msgspec.Raw]) -> tuple[PartId, ...]:
    """Return a digest of each chat message, or of the whole prompt."""
    if MESSAGES_FIELD in fields:
        messages = msgspec.json.decode(fields[MESSAGES_FIELD], type=list[msgspec.Raw])
    else:
        messages = [fields[PROMPT_FIELD]]
    return tuple(dict.fromkeys(map(digest_of, messages)))


def digest_of(text: msgspec.Raw) -> PartId:
    """Return the digest that identifies a part."""
    return PartId(hashlib.blake2b(bytes(text), digest_size=DIGEST_BYTES).hexdigest())
