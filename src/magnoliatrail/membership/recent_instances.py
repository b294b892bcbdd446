"""Addresses of the instances that were listed lately."""

from collections.abc import Callable, Mapping
from datetime import timedelta

from magnoliatrail.clock import Clock

# A new owner lists only the instances that reported to it, so others are remembered.
INSTANCE_MEMORY = timedelta(seconds=10)


class RecentInstances:
    """Remember each instance's address for a while after it was last listed."""

    def __init__(self, clock: Clock, listed: Callable[[], Mapping[str, str]]) -> None:
        self.clock = clock
        # Addresses of the peer listeners of all known instances.
        self.listed = listed
        # Address of each instance and when it was last listed.
        self.instances: dict[str, tuple[str, timedelta]] = {}

    def addresses(self) -> dict[str, str]:
        """Return the address of each instance that was listed lately."""
        now = self.clock.monotonic()
        for name, address in self.listed().items():
            self.instances[name] = address, now
        self.instances = {
            name: (address, at)
            for name, (address, at) in self.instances.items()
            if now - at <= INSTANCE_MEMORY
        }
        return {name: address for name, (address, _) in self.instances.items()}
