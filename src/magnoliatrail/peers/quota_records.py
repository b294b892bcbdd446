"""Log lines and metrics of the accounts' quotas."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from datetime import timedelta

from magnoliatrail.accounts.account_share import Charge, QuotaRefusal
from magnoliatrail.ids import AccountName, RequestId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics

log = EventLog("accounts")

MAX_LINES_PER_SECOND = 20
# Accounts with their own metrics, the busiest ones; the others are one sum.
MAX_NAMED_ACCOUNTS = 200
OTHER_ACCOUNTS = "(other)"


class QuotaRecords:
    """Log refusals at a limited rate, and sum up what accounts use."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.second = 0
        self.lines: Counter[str] = Counter()
        self.omitted: Counter[str] = Counter()
        self.used: defaultdict[AccountName, float] = defaultdict(float)
        self.refused: Counter[AccountName] = Counter()
        self.published_at: timedelta | None = None
        self.named: set[str] = set()

    def record(
        self,
        account: AccountName,
        cost: float,
        outcome: Charge | QuotaRefusal,
        *,
        request: RequestId,
        now: timedelta,
    ) -> None:
        """Record what became of a request."""
        if isinstance(outcome, Charge):
            self.used[account] += cost
            return
        self.refused[account] += 1
        self.begin_second(now)
        if self.lines[outcome.reason] >= MAX_LINES_PER_SECOND:
            self.omitted[outcome.reason] += 1
            return
        self.lines[outcome.reason] += 1
        log.info(
            "quota_refused",
            request=request,
            account=account,
            cost=cost,
            status=outcome.status,
            reason=outcome.reason,
            retry_after=outcome.retry_after,
        )

    def begin_second(self, now: timedelta) -> None:
        """Begin a new second of the log, and say what the last one omitted."""
        second = int(now.total_seconds())
        if second == self.second:
            return
        self.second = second
        self.lines.clear()
        for reason, lines in self.omitted.items():
            log.warning("quota_refusals_omitted", reason=reason, lines=lines)
        self.omitted.clear()

    def publish(self, shares: Mapping[AccountName, float], now: timedelta) -> None:
        """Set the metrics of the accounts; shares are the fractions held here."""
        self.begin_second(now)
        before, self.published_at = self.published_at, now
        seconds = (now - before).total_seconds() if before is not None else 0.0
        if seconds <= 0:
            return
        busy = {*self.used, *self.refused, *shares}
        ordered = sorted(busy, key=lambda account: (-self.used[account], account))
        named = set(ordered[:MAX_NAMED_ACCOUNTS])
        used: defaultdict[str, float] = defaultdict(float)
        refused: defaultdict[str, float] = defaultdict(float)
        held: defaultdict[str, float] = defaultdict(float)
        for account in ordered:
            label = account if account in named else OTHER_ACCOUNTS
            used[label] += self.used[account]
            refused[label] += self.refused[account]
            held[label] += shares.get(account, 0.0)
        # The metrics of accounts that are no longer named are removed.
        for label in self.named - set(used):
            self.metrics.remove(f"quota_used.{label}")
            self.metrics.remove(f"quota_share.{label}")
            self.metrics.remove(f"quota_refused.{label}")
        self.named = set(used)
        for label in used:
            self.metrics.gauge(f"quota_used.{label}", used[label] / seconds)
            self.metrics.gauge(f"quota_share.{label}", held[label])
            self.metrics.gauge(f"quota_refused.{label}", refused[label] / seconds)
        self.used.clear()
        self.refused.clear()
