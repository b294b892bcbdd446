"""Lease extension while the store does not answer the owner of a cell."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock

# Longest time for which an owner may extend a lapsed lease.
MAX_LEASE_EXTENSION = timedelta(seconds=8)
# An instance's report on the store is valid for this long; reports arrive more often.
STORE_REPORT_VALIDITY = timedelta(seconds=1)
# An instance that had been silent for this long at the last renewal does not prevent an
# extension. It waits by itself before its first order as a new owner.
SILENT_INSTANCE_EXPIRY = timedelta(seconds=6)


@dataclass(frozen=True, slots=True)
class StoreReport:
    """An instance's latest report on whether the store answers it."""

    at: timedelta
    store_answers: bool


class StoreOutageTracker:
    """Decide from other instances' reports whether a lease can be extended.

    If the store answers none of the instances that could claim the lease, none can
    claim it. An instance that fell silent without leaving prevents the extension, as
    it may be cut off from this owner alone. So does an answer of this owner that it
    gives no more orders.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reports: dict[str, StoreReport] = {}
        self.renewal_fails = False
        self.extension_forbidden = False

    def expect(self, instances: Iterable[str]) -> None:
        """Block an extension until each of these instances has reported."""
        initial = StoreReport(self.clock.monotonic(), store_answers=True)
        for instance in instances:
            self.reports.setdefault(instance, initial)

    def record_report(
        self, instance: str, *, store_answers: bool, leaving: bool
    ) -> bool:
        """Record a report, and return whether the store answers the instance again.

        An instance that is leaving cannot claim the lease and is removed.
        """
        before = self.reports.pop(instance, None)
        if not leaving:
            now = self.clock.monotonic()
            self.reports[instance] = StoreReport(now, store_answers)
        return store_answers and before is not None and not before.store_answers

    def record_renewal(self) -> None:
        """Record a renewal, and remove instances that have been silent for long."""
        self.renewal_fails, self.extension_forbidden = False, False
        now = self.clock.monotonic()
        self.reports = {
            instance: report
            for instance, report in self.reports.items()
            if now - report.at <= SILENT_INSTANCE_EXPIRY
        }

    def forbid_extension(self) -> None:
        """Forbid lease extension until the next renewal."""
        self.extension_forbidden = True

    def extends_lease(self, lease_until: timedelta, duration: timedelta) -> bool:
        """Return whether no instance can claim the lease during an order."""
        if not self.renewal_fails or self.extension_forbidden:
            return False
        now = self.clock.monotonic()
        if now + duration > lease_until + MAX_LEASE_EXTENSION:
            return False
        return bool(self.reports) and all(
            not report.store_answers and now - report.at <= STORE_REPORT_VALIDITY
            for report in self.reports.values()
        )
