"""The poll of the configuration head."""

from expression import Result

from magnoliatrail.config.store import ConfigurationInForce, ConfigurationStore
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics

log = EventLog("configuration")


class ConfigurationPoll:
    """Keep one instance's configuration up to date."""

    def __init__(
        self,
        store: ConfigurationStore,
        in_force: ConfigurationInForce,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.in_force = in_force
        self.metrics = metrics

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.in_force.configuration.revision

    async def refresh(self) -> None:
        """Read the configuration head."""
        match await self.store.read():
            case Result(tag="ok", ok=configuration):
                if self.in_force.offer(configuration):
                    log.info("configuration", revision=configuration.revision)
            case Result(error=failure):
                log.warning("configuration_missing", reason=failure.message)
        self.metrics.gauge("configuration.revision", self.revision)

    async def catch_up(self, revision: int, peer: str) -> None:
        """Read the configuration head if a peer knows a newer revision."""
        if revision > self.revision:
            log.info("configuration_behind", peer=peer, revision=revision)
            await self.refresh()
