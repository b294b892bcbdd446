"""The coordinators of accounts' quotas that run at this instance."""

import asyncio
import random
from collections.abc import Callable, Mapping
from datetime import timedelta

from expression import Result

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.coordination import Ownership, QuotaDirectory
from magnoliatrail.accounts.coordinator import NO_ANSWER, QuotaCoordinator
from magnoliatrail.accounts.quota_ledger import QuotaTerms
from magnoliatrail.clock import Clock
from magnoliatrail.generated.accounts import (
    QuotaAnswer,
    QuotaReportCall,
    QuotaReportTaken,
    QuotaRequest,
)
from magnoliatrail.ids import AccountName, CellId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.wire import CallLimits

log = EventLog("accounts")

REPORT_PATH = "/accounts/report"
QUOTA_LIMITS = CallLimits(timedelta(milliseconds=300), timedelta(milliseconds=500))

Accounts = Mapping[AccountName, ClientAccount]


class QuotaCoordination:
    """Begin and end coordinators with the ownerships of cells."""

    def __init__(
        self,
        *,
        clock: Clock,
        peers: PeerClient,
        instance: InstanceId,
        generator: random.Random,
        terms: QuotaTerms,
        accounts: Callable[[], Accounts | None],
        cells: QuotaDirectory,
        urls: Callable[[], Mapping[InstanceId, str]],
        report: Callable[[CellId], None],
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.instance = instance
        self.generator = generator
        self.terms = terms
        # The accounts of the configuration, None without accounts.
        self.accounts = accounts
        self.cells = cells
        # URLs of the peer listeners of the other instances.
        self.urls = urls
        # Lets this instance report its own fractions of a cell.
        self.report = report
        # The coordinator of each cell, and the key of the ownership it was made for.
        self.coordinators: dict[CellId, tuple[object, QuotaCoordinator]] = {}

    def coordinator(self, ownership: Ownership) -> QuotaCoordinator:
        """Return the coordinator of an ownership; a new ownership gets a new one."""
        known = self.coordinators.get(ownership.cell)
        if known and known[0] is ownership.key:
            return known[1]
        listed = ownership.known()
        coordinator = QuotaCoordinator(
            terms=self.terms,
            began_at=self.clock.monotonic(),
            fresh_fleet=ownership.fresh_fleet,
            generator=self.generator,
            known=listed,
        )
        self.coordinators[ownership.cell] = ownership.key, coordinator
        log.info(
            "quota_coordination_begun",
            cell=ownership.cell,
            fresh_fleet=ownership.fresh_fleet,
            known=len(listed),
        )
        return coordinator

    def use_terms(self, terms: QuotaTerms) -> None:
        """Apply changed settings."""
        self.terms = terms
        for _, coordinator in self.coordinators.values():
            coordinator.use_terms(terms)

    def answer(self, message: QuotaRequest) -> QuotaAnswer:
        """Answer an instance's message, if this instance coordinates the accounts."""
        accounts = self.accounts()
        ownership = self.cells.ownership(CellId(message.cell))
        if accounts is None or ownership is None or not ownership.may_grant:
            return NO_ANSWER
        coordinator = self.coordinator(ownership)
        return coordinator.answer(message, accounts, self.clock.monotonic())

    async def update(self) -> None:
        """Begin and end coordinators, and call the instances that did not report."""
        ownerships = self.cells.ownerships()
        keys = {ownership.cell: ownership.key for ownership in ownerships}
        for cell, (key, _) in list(self.coordinators.items()):
            if keys.get(cell) is not key:
                del self.coordinators[cell]
                log.info("quota_coordination_ended", cell=cell)
        calls = []
        for ownership in ownerships:
            if not ownership.may_grant:
                continue
            coordinator = self.coordinator(ownership)
            coordinator.check_silence(self.clock.monotonic())
            if self.instance in coordinator.missing:
                self.report(ownership.cell)
            calls += [
                self.call_for_report(name, ownership.cell)
                for name in coordinator.missing.keys() - {self.instance}
            ]
        await asyncio.gather(*calls)

    async def call_for_report(self, name: InstanceId, cell: CellId) -> None:
        """Ask an instance to report; until it does, its fractions count as used."""
        url = self.urls().get(name)
        if url is None:
            return
        message = QuotaReportCall(cell=cell)
        match await self.peers.ask(
            url + REPORT_PATH, message, QuotaReportTaken, QUOTA_LIMITS
        ):
            case Result(tag="error", error=failure):
                log.info(
                    "quota_report_missing",
                    instance=name,
                    cell=cell,
                    reason=failure.message,
                )
