"""Validation of settings beyond the schema, and the limits derived from them."""

from datetime import timedelta

from magnoliatrail.generated.settings import Settings
from magnoliatrail.wire import CallLimits


def check_settings(settings: Settings) -> None:
    """Validate settings that depend on each other.

    Raises ValueError with the flag, the value and the remedy.
    """
    if settings.renewal_seconds * 2 > settings.lease_seconds:
        raise ValueError(
            f"--renewal-seconds {settings.renewal_seconds} leaves no time for a "
            f"second try within --lease-seconds {settings.lease_seconds}: "
            "renew at most half the lease apart"
        )
    if settings.default_deadline_seconds > settings.max_deadline_seconds:
        raise ValueError(
            f"--default-deadline-seconds {settings.default_deadline_seconds} is over "
            f"--max-deadline-seconds {settings.max_deadline_seconds}: raise the latter"
        )


def control_limits(settings: Settings) -> CallLimits:
    """Return the timeouts of calls that are answered immediately."""
    connect = timedelta(seconds=settings.connect_timeout_seconds)
    idle = timedelta(seconds=settings.idle_timeout_seconds)
    return CallLimits(connect=connect, total=connect + idle)


def load_limits(settings: Settings) -> CallLimits:
    """Return the timeouts of an order to load an adapter."""
    connect = timedelta(seconds=settings.connect_timeout_seconds)
    longest = timedelta(seconds=settings.max_deadline_seconds)
    return CallLimits(connect=connect, total=longest)
