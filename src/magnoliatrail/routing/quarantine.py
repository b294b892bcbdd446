"""Groups of parts whose requests are refused, because they crash servers.

A group is one or more parts of a prompt, or the fingerprint of a request.
"""

import asyncio
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.errors import QUARANTINE_RETRY_DELAY
from magnoliatrail.ids import PartId
from magnoliatrail.logs import EventLog
from magnoliatrail.routing.crash_causes import Parts

log = EventLog("quarantine")

# A group that no collector renews for so long is dropped.
RENEWAL_TIMEOUT = timedelta(seconds=30)
# Those of two collectors.
MAX_GROUPS = 128
MAX_STORED_CHARACTERS = 4096
REASON = "the request, or a part of its prompt, crashes servers"
# Callers should not send such a prompt again soon.
RETRY_AFTER = QUARANTINE_RETRY_DELAY
# One that is only suspected is tried soon, and may be sent again if that ends well.
SUSPECTED_RETRY_AFTER = timedelta(seconds=2)


@dataclass(slots=True)
class QuarantinedGroup:
    """A group of parts, and the requests that had all of them."""

    parts: Parts
    since: timedelta
    renewed_at: timedelta
    last_refusal_at: timedelta | None = None
    # Whether the next request may pass, to see whether it still crashes a server.
    trial: bool = False
    # Whether its requests pass one by one until one of them has a sound answer.
    suspected: bool = False

    @property
    def last_used_at(self) -> timedelta:
        """Return when the group last refused a request here, or else began."""
        return max(self.since, self.last_refusal_at or self.since)


class Quarantine:
    """Refuse prompts with all parts of a quarantined group, at one instance."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.groups: dict[Parts, QuarantinedGroup] = {}
        # Timeouts of the waiting requests, which expire when they are quarantined.
        self.waiting: dict[asyncio.Timeout, Collection[PartId]] = {}

    def find(self, parts: Collection[PartId]) -> QuarantinedGroup | None:
        """Return a quarantined group that a prompt has, if any; suspected ones last."""
        if not self.groups:
            return None
        self.expire()
        return min(
            (group for group in self.groups.values() if group.parts.issubset(parts)),
            key=lambda group: group.suspected,
            default=None,
        )

    def retry_after(self, parts: Collection[PartId]) -> timedelta:
        """Return when a request that was refused may come again."""
        group = self.find(parts)
        return SUSPECTED_RETRY_AFTER if group and group.suspected else RETRY_AFTER

    def refuses(self, parts: Collection[PartId], *, sending: bool = False) -> bool:
        """Return whether a request must not be sent; sending it uses up a trial."""
        group = self.find(parts)
        if group is None:
            return False
        if group.trial:
            if sending:
                group.trial = False
                log.info("quarantine_trial", parts=text_of(group.parts))
            return False
        group.last_refusal_at = self.clock.monotonic()
        return True

    def enforce(
        self, parts: Parts, since: timedelta, *, suspected: bool = False
    ) -> QuarantinedGroup:
        """Add or renew a group, and end the waits of requests that have it.

        A group that was accused once doesn't become a suspected one again.
        """
        now = self.clock.monotonic()
        group = self.groups.get(parts)
        if group is not None and group.suspected and not suspected:
            group.suspected = group.trial = False
            group.since = since
            log.warning("parts_quarantined", parts=text_of(parts), suspected=False)
        if group is None:
            group = QuarantinedGroup(parts, since, now, suspected=suspected)
            self.groups[parts] = group
            log.warning("parts_quarantined", parts=text_of(parts), suspected=suspected)
            self.end_waits(parts)
            while len(self.groups) > MAX_GROUPS:
                self.lift(self.least_recently_used(), "too many groups")
        group.renewed_at = now
        return group

    def least_recently_used(self) -> Parts:
        """Return the group whose last refusal, or begin, is the longest ago."""
        return min(self.groups.values(), key=lambda group: group.last_used_at).parts

    def lift(self, parts: Parts, reason: str) -> None:
        """End the quarantine of a group."""
        if self.groups.pop(parts, None):
            log.warning("quarantine_lifted", parts=text_of(parts), reason=reason)

    def expire(self) -> None:
        """Drop the groups that no collector renewed."""
        now = self.clock.monotonic()
        for parts, group in list(self.groups.items()):
            if now - group.renewed_at > RENEWAL_TIMEOUT:
                self.lift(parts, "not renewed")

    def rows(self) -> list[list[str]]:
        """Return the newest groups, as many as the store should keep."""
        self.expire()
        groups, length = [], 0
        certain = [key for key, group in self.groups.items() if not group.suspected]
        for group in reversed(certain):
            length += sum(map(len, group))
            if length > MAX_STORED_CHARACTERS:
                break
            groups.append([str(part) for part in sorted(group)])
        return groups

    @contextmanager
    def waiting_request(
        self, timeout: asyncio.Timeout, parts: Collection[PartId]
    ) -> Iterator[None]:
        """Let a timeout expire when these parts are quarantined."""
        if not parts:
            yield
            return
        self.waiting[timeout] = parts
        try:
            yield
        finally:
            del self.waiting[timeout]

    def end_waits(self, group: Parts) -> None:
        """Let the timeouts of waiting requests with a group expire."""
        for timeout, parts in self.waiting.items():
            if group.issubset(parts):
                timeout.reschedule(asyncio.get_running_loop().time())


def text_of(parts: Parts) -> str:
    """Return a group's parts as text for the log."""
    return ",".join(sorted(parts))
