"""Choice of the preferred owner of each engine."""

from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.ids import EngineId, FailureDomain, InstanceId
from magnoliatrail.membership.members import Members
from magnoliatrail.rendezvous import weight


class Preference:
    """Choose owners by rendezvous hashing among the nearest live instances.

    Choices are cached while the candidates stay the same, because a fleet has
    thousands of engines and every change looks up all of them.
    """

    def __init__(self, members: Members) -> None:
        self.members = members
        self.groups: dict[tuple[str, str], tuple[InstanceId, ...]] = {}
        self.chosen: dict[EngineId, tuple[tuple[InstanceId, ...], InstanceId]] = {}
        members.on_change.append(lambda record: self.groups.clear())

    def owner(self, engine: ListedInstance) -> InstanceId | None:
        """Return the instance that should own an engine."""
        candidates = self.candidates(engine)
        if not candidates:
            return None
        name = EngineId(engine.id)
        known = self.chosen.get(name)
        if known is None or known[0] != candidates:
            known = candidates, choose(name, candidates)
            self.chosen[name] = known
        return known[1]

    def candidates(self, engine: ListedInstance) -> tuple[InstanceId, ...]:
        """Return the instances that may own an engine."""
        group = engine.failure_domain, engine.region
        if group not in self.groups:
            domain = FailureDomain(engine.failure_domain)
            live = self.members.candidates(domain, engine.region)
            self.groups[group] = tuple(sorted(live))
        return self.groups[group]


def choose(engine: EngineId, candidates: tuple[InstanceId, ...]) -> InstanceId:
    """Return the candidate with the highest weight for an engine."""
    return max(candidates, key=lambda name: weight(name, engine))
