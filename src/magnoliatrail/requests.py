"""Callers' requests after parsing."""

import hashlib
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from magnoliatrail.clock import Clock
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion, CallerId, EngineId, PartId, RequestId

# No part of a prompt that a caller names contains a colon, so that no prompt can have
# the fingerprint of another caller's request as its part.
FINGERPRINT_PREFIX = "request:"
FINGERPRINT_BYTES = 8


def request_fingerprint(
    caller: str, method: str, target: str, body: bytes | bytearray
) -> PartId:
    """Return what a caller's request and its repeats have in common at all instances.

    `target` includes the host or the service. Ids, deadlines and other headers, which
    each attempt has of its own, are left out.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for item in (caller.encode(), method.encode(), target.encode(), body):
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    return PartId(FINGERPRINT_PREFIX + digest.hexdigest())


def is_fingerprint(part: PartId) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(FINGERPRINT_PREFIX)


@dataclass(frozen=True, slots=True)
class RequestContext:
    """The caller, class, deadline and ids of a request."""

    request_id: RequestId
    caller: CallerId
    request_class: RequestClass
    started: timedelta
    deadline: timedelta
    idempotency_key: str

    def time_left(self, clock: Clock) -> timedelta:
        """Return the time left until the deadline, never negative."""
        return max(self.deadline - clock.monotonic(), timedelta())


@dataclass(frozen=True, slots=True)
class RunVersion:
    """Version of the engine's software at which a run generates.

    `name` is empty if no engine names a version.
    `only_run` is set if the version is not known: no other run certainly has it.
    """

    name: str = ""
    only_run: RequestId | None = None


@dataclass(slots=True)
class AnswerOrigin:
    """The version that began an answer, and engines whose answers had another.

    `version` is None until the caller has a part of the answer.
    """

    version: RunVersion | None = None
    refused: set[EngineId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class CompletionCall:
    """A caller's request for a completion."""

    context: RequestContext
    model: AdapterVersion
    path: str
    stream: bool
    fields: dict[str, msgspec.Raw]
    # Parts of the prompt that other requests may have too, and the fingerprint.
    parts: tuple[PartId, ...] = ()
    origin: AnswerOrigin = field(default_factory=AnswerOrigin)
