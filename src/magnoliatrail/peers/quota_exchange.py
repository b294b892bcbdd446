"""Quotas of accounts over all instances: messages with the accounts' coordinators."""

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from datetime import timedelta
from typing import Any

from expression import Error, Ok, Result

from magnoliatrail.accounts.account_share import (
    NO_COORDINATOR_RETRY_AFTER,
    UNAVAILABLE,
    UNCHECKED,
    Charge,
    ChargeSource,
    QuotaRefusal,
    WaitingCharge,
)
from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.coordination import QuotaDirectory
from magnoliatrail.accounts.coordinator import SILENCE
from magnoliatrail.accounts.quota_ledger import QuotaTerms
from magnoliatrail.accounts.shares import QuotaShares
from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.accounts import (
    QuotaAnswer,
    QuotaReportCall,
    QuotaReportTaken,
    QuotaRequest,
)
from magnoliatrail.ids import AccountName, CellId, Incarnation, InstanceId, RequestId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.quota_coordination import (
    QUOTA_LIMITS,
    REPORT_PATH,
    Accounts,
    QuotaCoordination,
)
from magnoliatrail.peers.quota_records import QuotaRecords
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.periodic import PeriodicTasks

__all__ = ["Charge", "QuotaExchange", "QuotaRefusal"]

log = EventLog("accounts")

QUOTA_PATH = "/accounts/quota"
# Pause after a message without answer.
RETRY_DELAY = timedelta(milliseconds=50)
# Shortest interval between two messages to one coordinator. It grows with the number of
# instances, so that the coordinator's work stays bounded.
MESSAGE_GAP_PER_INSTANCE = timedelta(milliseconds=0.2)
# Requests that wait while no coordinator answers look at the fallback this often.
FALLBACK_INTERVAL = timedelta(milliseconds=50)
# Interval at which ownerships are looked at and missing instances are called.
CHECK_INTERVAL = timedelta(milliseconds=300)
# The same without accounts.
IDLE_CHECK_INTERVAL = timedelta(seconds=1)
PUBLISH_INTERVAL = timedelta(seconds=5)
NO_REQUEST = RequestId("")
NO_CELL = "no cell is known yet, so the quota cannot be checked"


class CellQuotas:
    """The shares towards the coordinator of one cell, and its task."""

    def __init__(self, shares: QuotaShares) -> None:
        self.shares = shares
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        # Whether the last message got no answer.
        self.unanswered = False


class QuotaExchange:
    """Admit requests within the accounts' quotas, and coordinate accounts."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        peers: PeerClient,
        instance: InstanceId,
        incarnation: Incarnation,
        generator: random.Random,
        terms: QuotaTerms,
        accounts: Callable[[], Accounts | None],
        cells: QuotaDirectory,
        tasks: PeriodicTasks,
        urls: Callable[[], Mapping[InstanceId, str]],
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.instance = instance
        self.incarnation = incarnation
        self.terms = terms
        # The accounts of the configuration, None without accounts.
        self.accounts = accounts
        self.directory = cells
        # URLs of the peer listeners of the other instances.
        self.urls = urls
        self.instances = 1
        self.tasks = tasks
        self.cells: dict[CellId, CellQuotas] = {}
        self.coordination = QuotaCoordination(
            clock=clock,
            peers=peers,
            instance=instance,
            generator=generator,
            terms=terms,
            accounts=accounts,
            cells=cells,
            urls=urls,
            report=self.report_to,
        )
        self.records = QuotaRecords(metrics)

    # Requests

    async def admit(
        self,
        account: ClientAccount,
        cost: float,
        *,
        priority: int,
        wait_until: timedelta,
        request: RequestId = NO_REQUEST,
    ) -> Charge | QuotaRefusal:
        """Charge a request's cost to its account, or refuse it.

        Waits for the coordinator until the given time of the clock.
        """
        now = self.clock.monotonic()
        if account.quota is None:
            return Charge(account.name, cost, ChargeSource.UNLIMITED, now)
        coordinator = self.directory.coordinator_of(account.name)
        outcome: Charge | QuotaRefusal | None
        if coordinator is None:
            outcome = QuotaRefusal(UNAVAILABLE, NO_CELL, NO_COORDINATOR_RETRY_AFTER)
        else:
            cell = self.quotas_of(coordinator.cell)
            outcome = cell.shares.try_take(account, cost, now)
            if outcome is None:
                outcome = await self.wait_for_charge(
                    cell, account, cost, priority, wait_until
                )
        self.records.record(
            account.name, cost, outcome, request=request, now=self.clock.monotonic()
        )
        return outcome

    async def wait_for_charge(
        self,
        cell: CellQuotas,
        account: ClientAccount,
        cost: float,
        priority: int,
        wait_until: timedelta,
    ) -> Charge | QuotaRefusal:
        """Wait for the coordinator's answer, or for the fallback fraction."""
        settled: asyncio.Future[Charge | QuotaRefusal]
        settled = asyncio.get_running_loop().create_future()

        def settle(outcome: Charge | QuotaRefusal) -> None:
            if not settled.done():
                settled.set_result(outcome)
            elif isinstance(outcome, Charge):
                self.give_back(outcome)

        waiting = WaitingCharge(account, cost, priority, settle)
        shares = cell.shares
        shares.enqueue(waiting)
        cell.wake.set()
        try:
            while not settled.done():
                now = self.clock.monotonic()
                shares.take_fallback(now)
                left = wait_until - now
                if settled.done() or left <= timedelta():
                    break
                pause = SILENCE
                if shares.is_silent(now):
                    pause = FALLBACK_INTERVAL
                elif shares.answered_at is not None:
                    pause = max(FALLBACK_INTERVAL, shares.answered_at + SILENCE - now)
                await asyncio.wait({settled}, timeout=min(left, pause).total_seconds())
        except asyncio.CancelledError:
            shares.cancel(waiting)
            if settled.done() and isinstance(charge := settled.result(), Charge):
                self.give_back(charge)
            raise
        if settled.done():
            return settled.result()
        shares.cancel(waiting)
        return QuotaRefusal(UNAVAILABLE, UNCHECKED, NO_COORDINATOR_RETRY_AFTER)

    def give_back(self, charge: Charge) -> None:
        """Return the cost of a request that certainly did not run."""
        coordinator = self.directory.coordinator_of(charge.account)
        if charge.source is ChargeSource.UNLIMITED or coordinator is None:
            return
        cell = self.cells.get(coordinator.cell)
        if cell:
            cell.shares.give_back(charge, self.clock.monotonic())
            cell.wake.set()

    # Messages of this instance

    def quotas_of(self, cell: CellId) -> CellQuotas:
        """Return the quotas of a cell, with a task that exchanges its messages."""
        quotas = self.cells.get(cell)
        if quotas is None:
            shares = QuotaShares(
                terms=self.terms,
                cell=cell,
                instance=self.instance,
                incarnation=self.incarnation,
            )
            quotas = self.cells[cell] = CellQuotas(shares)
        if quotas.task is None or quotas.task.done():
            quotas.task = asyncio.create_task(self.exchange_messages(quotas))
            self.tasks.track(quotas.task)
        return quotas

    async def exchange_messages(self, cell: CellQuotas) -> None:
        """Send the messages that are due; wait while there are none."""
        while True:
            try:
                due_in = cell.shares.due_in(self.clock.monotonic())
                if due_in == timedelta():
                    sent_at = self.clock.monotonic()
                    answered = await self.exchange(cell)
                    took = self.clock.monotonic() - sent_at
                    gap = MESSAGE_GAP_PER_INSTANCE * self.instances
                    pause = gap - took if answered else RETRY_DELAY
                    await self.clock.sleep(max(timedelta(), pause))
                    continue
                cell.wake.clear()
                with suppress(TimeoutError):
                    wait = None if due_in is None else due_in.total_seconds()
                    async with asyncio.timeout(wait):
                        await cell.wake.wait()
            except Exception as error:
                log.error("task_failed", work="quotas", reason=repr(error))
                await self.clock.sleep(RETRY_DELAY)

    async def exchange(self, cell: CellQuotas) -> bool:
        """Send a message that is due; return whether its answer decided it all."""
        shares = cell.shares
        message = shares.next_message(self.clock.monotonic())
        if message is None:
            return True
        in_flight = shares.in_flight
        coordinator = self.directory.coordinator(shares.cell)
        answer: Result[QuotaAnswer, Failure]
        try:
            if coordinator is None or not (coordinator.is_here or coordinator.address):
                failure = Failure(ErrorKind.PEER_UNAVAILABLE, "no coordinator is known")
                answer = Error(failure)
            elif coordinator.is_here:
                answer = Ok(self.coordination.answer(message))
            else:
                url = f"http://{coordinator.address}{QUOTA_PATH}"
                answer = await self.peers.ask(url, message, QuotaAnswer, QUOTA_LIMITS)
        except BaseException:
            shares.record_failure(message, self.clock.monotonic())
            raise
        now = self.clock.monotonic()
        match answer:
            case Result(tag="ok", ok=granted):
                shares.apply(message, granted, now)
                reason = "" if granted.coordinates else "it does not coordinate"
            case Result(error=failure):
                shares.record_failure(message, now)
                reason = failure.message
        if bool(reason) != cell.unanswered:
            cell.unanswered = bool(reason)
            self.log_change(cell, reason)
        # An account that the coordinator does not know yet is asked for again.
        undecided = in_flight is not None and any(
            not waiting.done
            for asked in in_flight.waiting.values()
            for waiting in asked
        )
        return not reason and not undecided

    def log_change(self, cell: CellQuotas, reason: str) -> None:
        """Log that a coordinator no longer answers, or answers again."""
        name = cell.shares.cell
        if reason:
            log.warning("quota_unanswered", cell=name, reason=reason)
        else:
            log.info("quota_answered", cell=name)

    async def leave(self) -> None:
        """Tell the coordinators that this instance ends and gives up its fractions."""
        for cell in self.cells.values():
            cell.shares.leaving = True
            if cell.task:
                cell.task.cancel()
        await asyncio.gather(
            *(cell.task for cell in self.cells.values() if cell.task),
            return_exceptions=True,
        )
        await asyncio.gather(
            *(
                self.exchange(cell)
                for cell in self.cells.values()
                if cell.shares.answered
            )
        )
        for cell in self.cells.values():
            cell.shares.leaving = False

    def use_terms(self, terms: QuotaTerms) -> None:
        """Apply changed settings."""
        self.terms = terms
        for cell in self.cells.values():
            cell.shares.terms = terms
        self.coordination.use_terms(terms)

    # Messages of others

    async def answer_quota(self, message: QuotaRequest) -> Result[QuotaAnswer, Failure]:
        """Answer another instance's message."""
        return Ok(self.coordination.answer(message))

    async def answer_report(
        self, message: QuotaReportCall
    ) -> Result[QuotaReportTaken, Failure]:
        """Send a new coordinator what this instance holds."""
        if self.directory.coordinator(CellId(message.cell)) is None:
            return Ok(QuotaReportTaken(taken=False))
        self.report_to(CellId(message.cell))
        return Ok(QuotaReportTaken(taken=True))

    def report_to(self, cell: CellId) -> None:
        """Let the next message of a cell go at once."""
        quotas = self.quotas_of(cell)
        quotas.shares.reports = True
        quotas.wake.set()

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer messages about quotas."""
        return [
            PeerRoute(QUOTA_PATH, QuotaRequest, self.answer_quota),
            PeerRoute(REPORT_PATH, QuotaReportCall, self.answer_report),
        ]

    async def run(self) -> None:
        """Begin and end coordinators with their ownerships, and publish metrics."""
        published_at = self.clock.monotonic()
        while True:
            if self.accounts() is None:
                await self.clock.sleep(IDLE_CHECK_INTERVAL)
                continue
            await self.coordination.update()
            if self.clock.monotonic() - published_at >= PUBLISH_INTERVAL:
                published_at = self.clock.monotonic()
                self.records.publish(self.fractions(), published_at)
                self.instances = len(self.urls()) + 1
            await self.clock.sleep(CHECK_INTERVAL)

    def fractions(self) -> dict[AccountName, float]:
        """Return the fallback fractions that this instance holds."""
        return {
            name: share.fraction
            for cell in self.cells.values()
            for name, share in cell.shares.accounts.items()
        }
