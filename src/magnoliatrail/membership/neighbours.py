"""Selection of the peers that an instance exchanges heartbeats with."""

from collections.abc import Iterable

from magnoliatrail.generated.membership import MemberRecord
from magnoliatrail.ids import InstanceId
from magnoliatrail.rendezvous import weight

MAX_LINKS = 3
RING_KEY = "ring"


def successors(own: MemberRecord, members: Iterable[MemberRecord]) -> list[InstanceId]:
    """Return the members that follow an instance on a ring, the next one first."""
    position = weight(own.instance, RING_KEY)
    others = [record for record in members if record.instance != own.instance]
    others.sort(
        key=lambda record: (weight(record.instance, RING_KEY) - position) % 2**64
    )
    return [InstanceId(record.instance) for record in others]


def neighbours(own: MemberRecord, members: Iterable[MemberRecord]) -> list[InstanceId]:
    """Return the peers to link to: one in the domain, in the region and in the fleet.

    Each is the successor on a ring; further successors in the fleet fill up to
    `MAX_LINKS`. The links along the fleet's ring connect a fleet of any size.
    """
    known = list(members)
    in_domain = [r for r in known if r.failure_domain == own.failure_domain]
    in_region = [r for r in known if r.region == own.region]
    fleet = successors(own, known)
    chosen = dict.fromkeys(fleet[:1])
    chosen.update(dict.fromkeys(successors(own, in_domain)[:1]))
    chosen.update(dict.fromkeys(successors(own, in_region)[:1]))
    for name in fleet:
        if len(chosen) >= MAX_LINKS:
            break
        chosen[name] = None
    return list(chosen)
