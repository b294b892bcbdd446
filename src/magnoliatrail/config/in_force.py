"""The configuration in force at one instance."""

from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.generated.configuration import Configuration, Defaults


def initial_configuration() -> Configuration:
    """Return the configuration of a fleet that was never edited."""
    return Configuration(revision=0, edit_id="", defaults=Defaults(), exceptions=[])


class ConfigurationInForce:
    """Hold the highest revision seen, which never goes back."""

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
        """Return whether the head or a peer ever confirmed the configuration.

        Until then the initial defaults could be older than an accepted edit.
        """
        return self.confirmed_at is not None

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer, and note that it was seen."""
        self.confirmed_at = self.clock.monotonic()
        if configuration.revision <= self.revision:
            return False
        self.configuration = configuration
        return True

    def confirm(self, revision: int) -> None:
        """Note that somebody else knows no newer revision than this instance."""
        if revision == self.revision and self.is_confirmed:
            self.confirmed_at = self.clock.monotonic()
