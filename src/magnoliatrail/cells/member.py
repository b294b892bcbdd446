"""One instance's part in a cell: it may own it, and uses it through its owner."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from functools import partial

from expression import Result

from magnoliatrail.cells.layout import cell_of
from magnoliatrail.cells.lease import RENEW_EVERY, CellLease, Identity
from magnoliatrail.cells.link import OwnerLink
from magnoliatrail.cells.news import news_since, take_news
from magnoliatrail.cells.orders import ORDER_TIME, EngineOrders, OrderingRights
from magnoliatrail.cells.owner import CellOwner
from magnoliatrail.cells.succession import Succession
from magnoliatrail.clock import Clock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.generated.cells import (
    AdapterSpread,
    InstanceReport,
    KnownInstance,
    NoticeAnswer,
    OwnerNotice,
    OwnerQuestion,
    OwnerRow,
    OwnerStanding,
    ReportAnswer,
)
from magnoliatrail.ids import CellId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.platform.rows import RowStore
from magnoliatrail.rendezvous import ranked
from magnoliatrail.wire import CallLimits

log = EventLog("cells")

IDLE_PAUSE = timedelta(milliseconds=50)
# Candidates for a free lease try one after the other, this far apart.
CLAIM_STEP = timedelta(milliseconds=120)
MOST_CLAIM_STEPS = 6
# Candidates for a lease that never had an owner are spread over this time, so that
# most of them learn of the first claim before their own.
FIRST_CLAIMS = timedelta(seconds=1.2)
# Every so many reports are answered with the state of the engines.
SUMMARY_EVERY = 4
# A queue moves with time too, as engines read the prompts that they got.
PUMP_EVERY_SECONDS = 0.02
NOTICE_PATH = "/cell/owner"
STANDING_PATH = "/cell/standing"
# The owner of this cell reads the store for all instances.
NEWS_CELL = CellId("0")
# An adapter with more than this share of a cell's requests needs more cells.
BUSY_SHARE = 0.35
NOTICE_LIMITS = CallLimits(timedelta(milliseconds=300), timedelta(milliseconds=600))
STANDING_LIMITS = CallLimits(timedelta(milliseconds=200), timedelta(milliseconds=300))
# Pause between renewals that are tried early.
LEAST_RENEW_PAUSE = timedelta(milliseconds=200)
NOTICE_PAUSE = timedelta(milliseconds=400)
MOST_NOTICES = 8


class CellMember:
    """Own the cell while the lease says so, and use it through its owner."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        store: RowStore,
        view: FleetView,
        pool: ConnectionPool,
        peers: PeerClient,
        identity: Identity,
        generator: random.Random,
        tasks: PeriodicTasks,
        cell: CellId,
        cells: int,
        handicap: Callable[[], timedelta],
        store_answers: Callable[[], bool],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.view = view
        self.pool = pool
        self.identity = identity
        self.generator = generator
        self.tasks = tasks
        self.cell = cell
        self.cells = cells
        # How much later than others this instance claims a free lease.
        self.handicap = handicap
        # Whether the store answered this instance last.
        self.store_answers = store_answers
        self.lease = CellLease(clock=clock, store=store, identity=identity, cell=cell)
        self.peers = peers
        self.previous_address = ""
        self.link = OwnerLink(clock=clock, peers=peers, identity=identity, cell=cell)
        self.succession = Succession(
            clock=clock,
            lease=self.lease,
            heard_at=lambda: self.link.heard_at,
            ask=self.ask_owner,
        )
        self.owner: CellOwner | None = None
        self.stopping = False
        self.renew_now = asyncio.Event()
        self.answers: dict[str, int] = {}
        self.view.on_change.append(self.view_changed)

    @property
    def gives_news(self) -> bool:
        """Return whether the owner of this cell passes the store's news on."""
        return self.cell == NEWS_CELL

    def view_changed(self) -> None:
        """Let the owner see what is new about engines."""
        if self.owner:
            self.owner.sync_engines()

    # The lease

    @property
    def needs_row(self) -> bool:
        """Return whether the owner's row should be read: no owner answers."""
        settled = self.link.is_alive and not self.link.lapsed
        return not (self.lease.is_mine or settled)

    def take_row(self, row: OwnerRow | None, version: int) -> None:
        """Take in the owner's row as it was read."""
        self.lease.note(row, version)
        self.follow_lease()

    async def keep_lease(self) -> None:
        """Renew the lease, or claim it when it is free."""
        while True:
            if self.lease.is_mine and not self.stopping:
                await self.lease.renew()
                self.follow_lease()
                await self.until_renewal()
                continue
            if self.may_claim():
                version = self.lease.row_version
                await self.clock.sleep(self.claim_delay())
                if self.may_claim() and self.lease.row_version == version:
                    await self.claim_unless_in_use()
            await self.clock.sleep(IDLE_PAUSE)

    async def until_renewal(self) -> None:
        """Wait for the next renewal, or until the store answers another instance."""
        self.renew_now.clear()
        await self.clock.sleep(LEAST_RENEW_PAUSE)
        rest = (RENEW_EVERY - LEAST_RENEW_PAUSE).total_seconds()
        with suppress(TimeoutError):
            async with asyncio.timeout(rest):
                await self.renew_now.wait()

    async def claim_unless_in_use(self) -> None:
        """Claim the lease, unless its last owner says that it still orders."""
        row, version = self.lease.row, self.lease.row_version
        if not await self.succession.may_claim():
            await self.clock.sleep(RENEW_EVERY)
            return
        if not self.may_claim() or self.lease.row_version != version:
            return
        if await self.lease.claim() and row is not None:
            self.tasks.once(lambda: self.succession.ask_again(row))
        self.follow_lease()

    async def ask_owner(self, row: OwnerRow) -> OwnerStanding | None:
        """Ask the owner that a row names whether it still orders."""
        question = OwnerQuestion(cell=self.cell, row_version=self.lease.row_version)
        url = f"http://{row.address}{STANDING_PATH}"
        match await self.peers.ask(url, question, OwnerStanding, STANDING_LIMITS):
            case Result(tag="ok", ok=standing):
                log.info("owner_asked", owner=row.owner, orders=standing.orders)
                return standing
            case Result(error=failure):
                log.info("owner_asked", owner=row.owner, reason=failure.message)
        return None

    def may_claim(self) -> bool:
        """Return whether this instance should claim the lease."""
        return self.needs_row and self.lease.is_free() and not self.stopping

    def claim_delay(self) -> timedelta:
        """Return how long this instance lets others claim first."""
        names = set(self.link.instances) - {self.link.owner}
        if self.identity.instance in names:
            order = ranked(f"{self.lease.key}/{self.lease.row_version}", names)
            step = order.index(self.identity.instance)
            return CLAIM_STEP * min(step, MOST_CLAIM_STEPS) + self.handicap()
        # Nobody knows yet how many others there are.
        return FIRST_CLAIMS * self.generator.random() + self.handicap()

    def follow_lease(self) -> None:
        """Become or cease to be the owner as the row says, and use its owner."""
        row = self.lease.row
        if row and not row.released and row.address != self.link.address:
            self.previous_address = self.link.address
        if self.lease.is_mine:
            self.become_owner()
        elif self.owner:
            log.warning("ownership_ended", row_version=self.lease.row_version)
            self.owner.close()
            self.owner = None
            self.link.own_place = self.link.own_report = None
        if row and not row.released:
            self.link.point_to(row.owner, row.address)

    def become_owner(self) -> None:
        """Begin to look after the engines of the cell."""
        if self.owner:
            return
        rights = OrderingRights(
            holder=self.identity.instance,
            fencing_number=lambda: self.lease.fencing_number,
            may_order=self.succession.may_order,
        )
        orders = EngineOrders(
            clock=self.clock, metrics=self.metrics, pool=self.pool, rights=rights
        )
        self.owner = CellOwner(
            clock=self.clock,
            metrics=self.metrics,
            view=self.view,
            in_cell=lambda server: cell_of(server, self.cells) == self.cell,
            orders=orders,
            may_order=lambda: self.succession.may_order(ORDER_TIME),
            expected=set(self.link.instances) - {self.link.owner},
            generator=self.generator,
            tasks=self.tasks,
        )
        self.lease.outage.expect(set(self.link.instances) - {self.identity.instance})
        self.link.own_place = self.owner.place
        self.link.own_report = self.report_answer
        log.info("ownership_begun", fencing_number=self.lease.fencing_number)
        self.owner.sync_engines()
        self.tasks.once(self.give_notice)

    async def give_notice(self) -> None:
        """Tell the instances that are known, the last owner too, who owns the cell."""
        row, version = self.lease.row, self.lease.row_version
        assert row is not None, "an owner has a row"
        notice = OwnerNotice(cell=self.cell, row=row, row_version=version)
        addresses = {*self.link.instances.values(), self.previous_address}
        for address in addresses - {"", self.identity.address}:
            self.tasks.once(partial(self.notify, address, notice))

    async def notify(self, address: str, notice: OwnerNotice) -> None:
        """Tell one instance who owns the cell, until it says that it knows."""
        url = f"http://{address}{NOTICE_PATH}"
        for _ in range(MOST_NOTICES):
            if not self.lease.is_mine:
                return
            match await self.peers.ask(url, notice, NoticeAnswer, NOTICE_LIMITS):
                case Result(tag="ok", ok=answer):
                    if answer.row_version >= notice.row_version:
                        return
                case Result(error=failure):
                    log.info("notice_failed", address=address, reason=failure.message)
            await self.clock.sleep(NOTICE_PAUSE)

    def take_notice(self, message: OwnerNotice) -> NoticeAnswer:
        """Take in who owns the cell now."""
        if message.row_version > self.lease.row_version:
            self.lease.note(message.row, message.row_version)
            self.follow_lease()
        return NoticeAnswer(row_version=self.lease.row_version)

    async def leave(self) -> None:
        """Release the lease; requests that wait are sent to the next owner."""
        self.stopping = True
        if self.lease.is_mine:
            await self.lease.release()
            self.follow_lease()

    # Messages

    async def keep_reporting(self) -> None:
        """Report to the owner and take its news in."""
        while True:
            await self.link.until_due()
            asked_at = self.clock.monotonic()
            versions = {name: table.version for name, table in self.view.tables.items()}
            store_answers = self.store_answers()
            if not store_answers:
                self.succession.denied_at = asked_at
            answer = await self.link.report(
                versions, store_answers=store_answers, leaving=self.stopping
            )
            if answer is None:
                await self.clock.sleep(IDLE_PAUSE)
                continue
            take_news(self.view, answer.news, asked_at, self.link.owner)
            if answer.owner and answer.row_version > self.lease.row_version:
                self.lease.note(self.lease.row, answer.row_version)

    def report_answer(self, message: InstanceReport) -> ReportAnswer:
        """Take a report in and say what is new."""
        count = self.answers.get(message.instance, 0)
        self.answers[message.instance] = count + 1
        owner = self.owner
        if owner:
            owner.take_report(message)
            self.note_store(message)
        detailed = owner is not None and count % SUMMARY_EVERY == 0
        return ReportAnswer(
            owner=owner is not None and self.lease.is_held,
            row_version=self.lease.row_version,
            news=news_since(self.view, message.versions, self.clock)
            if self.gives_news
            else [],
            engines=owner.summary() if owner and detailed else [],
            instances=known_instances(owner) if owner and detailed else [],
            spread=busy_adapters(owner, self.cells) if owner and detailed else [],
        )

    def note_store(self, message: InstanceReport) -> None:
        """Take in whether the store answers an instance; renew at once if it does."""
        if message.instance == self.identity.instance:
            return
        outage = self.lease.outage
        regained = outage.note_report(
            message.instance,
            store_answers=message.store_answers,
            leaving=message.leaving,
        )
        if regained and outage.renewal_fails:
            self.renew_now.set()

    def start(self) -> None:
        """Start the work that goes on while the instance runs."""
        for work in (self.keep_lease, self.keep_reporting, self.keep_pumping):
            self.tasks.forever(work)

    async def keep_pumping(self) -> None:
        """Look at the queue also when nothing happens, for what waits too long."""
        while True:
            await asyncio.sleep(PUMP_EVERY_SECONDS)
            if self.owner:
                self.owner.queue.pump()


def known_instances(owner: CellOwner) -> list[KnownInstance]:
    """Return the instances that report to an owner."""
    return [
        KnownInstance(instance=name, address=address)
        for name, address in sorted(owner.in_use.addresses.items())
    ]


def busy_adapters(owner: CellOwner, cells: int) -> list[AdapterSpread]:
    """Return the adapters that are too busy for one cell."""
    found = owner.loads.busy_adapters(cells, BUSY_SHARE) if cells > 1 else {}
    return [
        AdapterSpread(adapter=adapter, cells=count)
        for adapter, count in sorted(found.items())
    ]
