"""The configuration in force at this instance."""

from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.generated.configuration import Configuration, Defaults


def initial_configuration() -> Configuration:
    """Return revision 0: all defaults and no exceptions."""
    return Configuration(revision=0, edit_id="", defaults=Defaults(), exceptions=[])


class ConfigurationInForce:
    """Hold the highest revision received; it never decreases."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.configuration = initial_configuration()
        self.confirmed_at: timedelta | None = None

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.configuration.revision

    @property
    def is_confirmed(self) -> bool:
        """Return whether the store's head or a peer has confirmed the configuration.

        Until then, the initial defaults may be older than an accepted edit.
        """
        return self.confirmed_at is not None

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer, and update `confirmed_at`."""
        self.confirmed_at = self.clock.monotonic()
        if configuration.revision <= self.revision:
            return False
        self.configuration = configuration
        return True

    def confirm(self, revision: int) -> None:
        """Update `confirmed_at` if a reported revision is the one in force here."""
        if revision == self.revision and self.is_confirmed:
            self.confirmed_at = self.clock.monotonic()
