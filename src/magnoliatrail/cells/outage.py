"""Whether an owner may go on although the store does not answer it."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock

# An owner goes on without the store for this long at most after its lease has lapsed.
MAX_LEASE_EXTENSION = timedelta(seconds=8)
# What an instance said of the store counts for this long; reports come more often.
STORE_REPORT_VALIDITY = timedelta(seconds=1)
# An instance that was silent for this long when the lease was renewed last is not
# waited for. It knows that, and waits before its first order itself.
SILENT_INSTANCE_EXPIRY = timedelta(seconds=6)


@dataclass(frozen=True, slots=True)
class StoreReport:
    """What an instance said last of the store."""

    at: timedelta
    store_answers: bool


class StoreOutageTracker:
    """Collect what others see of the store while an owner cannot renew its lease.

    If the store answers none of those who could claim the lease, nobody can. An
    instance that fell silent without leaving stands against it, as it may be cut off
    from this owner alone, and so does one that was told that this owner had stopped.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reports: dict[str, StoreReport] = {}
        self.renewal_fails = False
        self.extension_forbidden = False

    def expect(self, instances: Iterable[str]) -> None:
        """Wait for what these instances say."""
        unheard = StoreReport(self.clock.monotonic(), store_answers=True)
        for instance in instances:
            self.reports.setdefault(instance, unheard)

    def record_report(
        self, instance: str, *, store_answers: bool, leaving: bool
    ) -> bool:
        """Take in what an instance says; one that leaves does not claim.

        Return whether the store answers it again.
        """
        before = self.reports.pop(instance, None)
        if not leaving:
            now = self.clock.monotonic()
            self.reports[instance] = StoreReport(now, store_answers)
        return store_answers and before is not None and not before.store_answers

    def record_renewal(self) -> None:
        """Note a renewal, and forget those that have been silent for long."""
        self.renewal_fails, self.extension_forbidden = False, False
        now = self.clock.monotonic()
        self.reports = {
            instance: report
            for instance, report in self.reports.items()
            if now - report.at <= SILENT_INSTANCE_EXPIRY
        }

    def forbid_extension(self) -> None:
        """Stop for good, until the lease is renewed."""
        self.extension_forbidden = True

    def extends_lease(self, lease_until: timedelta, duration: timedelta) -> bool:
        """Return whether nobody can claim the lease while an order takes so long."""
        if not self.renewal_fails or self.extension_forbidden:
            return False
        now = self.clock.monotonic()
        if now + duration > lease_until + MAX_LEASE_EXTENSION:
            return False
        return bool(self.reports) and all(
            not report.store_answers and now - report.at <= STORE_REPORT_VALIDITY
            for report in self.reports.values()
        )
