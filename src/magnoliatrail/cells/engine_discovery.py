"""When the engines of a fleet that starts have all been listed."""

from datetime import timedelta

# Engines that start together are listed one after the other, no two further apart.
DISCOVERY_QUIET_PERIOD = timedelta(seconds=2)
# Engines that go on coming are a fleet that grows, not one that starts.
MAX_DISCOVERY_TIME = timedelta(seconds=6)


class EngineDiscovery:
    """Follow how many engines are listed until no more appear."""

    def __init__(self) -> None:
        self.engines = 0
        self.first_at: timedelta | None = None
        self.grown_at = timedelta()

    def is_complete(self, engines: int, now: timedelta) -> bool:
        """Take in how many engines are listed; return whether these are all."""
        if engines > self.engines:
            self.engines, self.grown_at = engines, now
        if self.first_at is None:
            if not engines:
                return False
            self.first_at = now
        return (
            now - self.grown_at >= DISCOVERY_QUIET_PERIOD
            or now - self.first_at >= MAX_DISCOVERY_TIME
        )
