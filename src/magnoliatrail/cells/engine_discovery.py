"""Engine discovery: detect when a starting fleet has listed all its engines."""

from datetime import timedelta

# Engines that start together are listed no further apart than this.
DISCOVERY_QUIET_PERIOD = timedelta(seconds=2)
# Engines that still appear after this time belong to a growing fleet.
MAX_DISCOVERY_TIME = timedelta(seconds=6)


class EngineDiscovery:
    """Track the number of listed engines until it stops growing."""

    def __init__(self) -> None:
        self.engines = 0
        self.first_at: timedelta | None = None
        self.grown_at = timedelta()

    def is_complete(self, engines: int, now: timedelta) -> bool:
        """Record the number of listed engines; return whether discovery is complete."""
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
