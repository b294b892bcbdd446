"""One instance's membership in a cell: its lease, ownership and reports."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta

from msgspec import UnsetType

from magnoliatrail.cells.announcement import OwnershipAnnouncer
from magnoliatrail.cells.claim_turn import claim_turn
from magnoliatrail.cells.layout import cell_of
from magnoliatrail.cells.lease import (
    RENEWAL_INTERVAL,
    CellLease,
    Identity,
    owner_row,
)
from magnoliatrail.cells.lease_takeover import LeaseTakeover
from magnoliatrail.cells.link import OwnerLink
from magnoliatrail.cells.orders import MAX_ORDER_DURATION, EngineOrders, OrderingRights
from magnoliatrail.cells.owner import CellOwner
from magnoliatrail.cells.owner_status import request_owner_status
from magnoliatrail.cells.reported_limits import reported_limits
from magnoliatrail.cells.server_departures import apply_departures, departures_of
from magnoliatrail.cells.table_updates import (
    TableUpdateReceiver,
    TableUpdateSender,
)
from magnoliatrail.clock import Clock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.generated.cells import (
    AnnouncementAnswer,
    InstanceReport,
    OwnershipAnnouncement,
    ReportAnswer,
)
from magnoliatrail.ids import CellId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.platform.rows import RowsRead, RowStore
from magnoliatrail.platform.store_versions import era_of

log = EventLog("cells")

IDLE_POLL_INTERVAL = timedelta(milliseconds=50)
# One report in this many is answered with the state of the engines.
REPORTS_PER_SUMMARY = 4
# The queue is also processed without events, as prefill capacity frees up with time.
QUEUE_POLL_SECONDS = 0.02
# The owner of this cell reads the store for all instances.
STORE_READER_CELL = CellId("0")
RECLAIM_RETRY_DELAY = timedelta(milliseconds=100)
# Shortest interval, for renewals that are tried early.
MIN_RENEWAL_INTERVAL = timedelta(milliseconds=200)


class CellMember:
    """Run the owner while this instance holds the lease, and report to any owner."""

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
        owner_claim_delay: Callable[[], timedelta],
        store_answers: Callable[[], bool],
        confirm_layout: Callable[[], Awaitable[bool]],
        quarantined: Callable[[], list[list[str]]],
        may_own: Callable[[], bool],
        update_sender: TableUpdateSender,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.view = view
        self.update_sender = update_sender
        self.update_receiver = TableUpdateReceiver(view)
        self.pool = pool
        self.identity = identity
        self.generator = generator
        self.tasks = tasks
        self.cell = cell
        self.cells = cells
        # Delay of this instance's claims behind those of others.
        self.owner_claim_delay = owner_claim_delay
        # Whether the store answered this instance's last call.
        self.store_answers = store_answers
        # Whether this instance reaches engines, as far as it knows.
        self.may_own = may_own
        # Makes sure that the store has the layout, also after it came back from a copy.
        self.confirm_layout = confirm_layout
        self.lease = CellLease(clock=clock, store=store, identity=identity, cell=cell)
        self.lease.quarantined = quarantined
        self.peers = peers
        self.previous_owner_address = ""
        self.announcer = OwnershipAnnouncer(
            clock=clock, peers=peers, tasks=tasks, lease=self.lease
        )
        self.link = OwnerLink(clock=clock, peers=peers, identity=identity, cell=cell)
        self.takeover = LeaseTakeover(
            clock=clock,
            lease=self.lease,
            acknowledged_at=lambda: self.link.acknowledged_at,
            ask=lambda row: request_owner_status(
                peers, cell, row, self.lease.row_version
            ),
        )
        self.owner: CellOwner | None = None
        # Set while this instance runs the owner.
        self.owns = asyncio.Event()
        self.stopping = False
        self.renew_now = asyncio.Event()
        self.answer_counts: dict[str, int] = {}
        self.running: list[asyncio.Task[None]] = []
        self.view.on_change.append(self.view_changed)

    def view_changed(self) -> None:
        """Synchronize the owner's engines with the changed view."""
        if self.owner:
            self.owner.sync_engines()

    # The lease

    @property
    def should_read_row(self) -> bool:
        """Return whether the owner's row should be read, as no owner answers."""
        return not (self.lease.is_mine or self.link.has_owner)

    def apply_rows(self, read: RowsRead) -> None:
        """Apply the owner's row of a read of the whole table."""
        self.lease.apply_row(*owner_row(read, self.cell))
        self.apply_lease()

    async def maintain_lease(self) -> None:
        """Renew the lease, or claim it if it is free."""
        while True:
            self.lease.follow_era()
            if self.lease.may_reclaim and not self.stopping:
                await self.reclaim()
                if self.lease.may_reclaim:
                    await self.clock.sleep(RECLAIM_RETRY_DELAY)
                continue
            if self.lease.is_mine and not self.stopping and not self.may_own():
                log.warning(
                    "lease_given_up", cell=self.cell, reason="no engine reached"
                )
                await self.lease.release()
                self.apply_lease()
                await self.clock.sleep(RENEWAL_INTERVAL)
                continue
            if self.lease.is_mine and not self.stopping:
                await self.lease.renew()
                self.apply_lease()
                if not self.lease.may_reclaim:
                    await self.wait_for_renewal()
                continue
            if self.may_claim():
                version = self.lease.row_version
                turn = claim_turn(
                    f"{self.lease.key}/{version}",
                    self.identity.instance,
                    set(self.link.instances) - {self.link.owner},
                    self.generator,
                )
                await self.clock.sleep(turn + self.owner_claim_delay())
                if self.may_claim() and self.lease.row_version == version:
                    await self.claim_unless_in_use()
            await self.link.wait_while_trusted(IDLE_POLL_INTERVAL)

    async def reclaim(self) -> None:
        """Claim the lease that was held when the store came back from a copy."""
        confirmed = await self.confirm_layout()
        if confirmed and self.lease.may_reclaim and not self.stopping:
            await self.lease.claim()
        if not self.lease.may_reclaim:
            self.apply_lease()

    async def wait_for_renewal(self) -> None:
        """Wait for the next renewal, or until the store answers another instance."""
        self.renew_now.clear()
        await self.clock.sleep(MIN_RENEWAL_INTERVAL)
        rest = (RENEWAL_INTERVAL - MIN_RENEWAL_INTERVAL).total_seconds()
        with suppress(TimeoutError):
            async with asyncio.timeout(rest):
                await self.renew_now.wait()

    async def claim_unless_in_use(self) -> None:
        """Claim the lease, unless its last owner answers that it still may order."""
        row, version = self.lease.row, self.lease.row_version
        if not (await self.takeover.may_claim() and await self.confirm_layout()):
            await self.clock.sleep(RENEWAL_INTERVAL)
            return
        if not self.may_claim() or self.lease.row_version != version:
            return
        if await self.lease.claim() and row is not None:
            self.tasks.once(lambda: self.takeover.poll_last_owner(row))
        self.apply_lease()

    def may_claim(self) -> bool:
        """Return whether the lease is free for this instance to claim."""
        may_hold = self.may_own() and not self.stopping
        return may_hold and self.should_read_row and self.lease.is_free()

    def apply_lease(self) -> None:
        """Start or stop the owner according to the row, and link to the row's owner."""
        row = self.lease.row
        if row and not row.released and row.address != self.link.address:
            self.previous_owner_address = self.link.address
        self.link.doubt()
        if self.lease.is_mine:
            self.become_owner()
        elif self.owner and not self.lease.may_reclaim:
            log.warning("ownership_ended", row_version=self.lease.row_version)
            self.owner.close()
            self.owner = None
            self.lease.speeds = self.lease.known_speeds
            self.owns.clear()
            self.link.local_slot_handler = self.link.local_report_handler = None
        if row and not row.released:
            self.link.use_owner(row.owner, row.address)

    def become_owner(self) -> None:
        """Start the owner of the cell's engines."""
        if self.owner:
            return
        rights = OrderingRights(
            holder=self.identity.instance,
            fencing_number=lambda: self.lease.fencing_number,
            may_order=self.takeover.may_order,
        )
        orders = EngineOrders(
            clock=self.clock,
            metrics=self.metrics,
            pool=self.pool,
            rights=rights,
            notice=self.view.apply_notice,
            refuses=self.view.refusals.refuses,
        )
        self.owner = CellOwner(
            clock=self.clock,
            metrics=self.metrics,
            view=self.view,
            in_cell=lambda server: cell_of(server, self.cells) == self.cell,
            orders=orders,
            may_order=lambda: self.takeover.may_order(MAX_ORDER_DURATION),
            expected=set(self.link.instances) - {self.link.owner},
            generator=self.generator,
            tasks=self.tasks,
            known_speeds=self.lease.known_speeds(),
        )
        self.lease.speeds = self.owner.measured_speeds
        self.lease.outage.expect(set(self.link.instances) - {self.identity.instance})
        self.link.local_slot_handler = self.owner.request_slot
        self.link.local_report_handler = self.handle_report
        self.owns.set()
        log.info("ownership_begun", fencing_number=self.lease.fencing_number)
        self.owner.sync_engines()
        self.tasks.once(
            lambda: self.announcer.announce(
                {*self.link.instances.values(), self.previous_owner_address}
            )
        )

    async def leave(self) -> None:
        """Release the lease; waiting requests are redirected to the next owner."""
        self.stopping = True
        if self.lease.is_mine:
            await self.lease.release()
            self.apply_lease()

    # Messages

    def apply_announcement(self, message: OwnershipAnnouncement) -> AnnouncementAnswer:
        """Apply an ownership announcement."""
        if message.row_version > self.lease.row_version:
            self.lease.apply_row(message.row, message.row_version)
            self.apply_lease()
        return AnnouncementAnswer(row_version=self.lease.row_version)

    async def report_periodically(self) -> None:
        """Report to the owner and apply the table updates of its answers."""
        while True:
            await self.link.wait_until_due()
            if not await self.report():
                await self.clock.sleep(IDLE_POLL_INTERVAL)

    async def report(self) -> bool:
        """Report to the owner once; return whether it answered."""
        requested_at = self.clock.monotonic()
        versions = {name: table.version for name, table in self.view.tables.items()}
        store_answers = self.store_answers()
        if not store_answers:
            self.takeover.outage_reported_at = requested_at
        reads_tables = self.cell == STORE_READER_CELL
        answer = await self.link.report(
            versions,
            held_rows=self.update_receiver.held_rows() if reads_tables else {},
            departures=departures_of(self.view) if reads_tables else [],
            store_answers=store_answers,
            leaving=self.stopping,
            limits=reported_limits(self.view.request_limits),
        )
        if answer is None:
            return False
        self.update_receiver.apply(answer.news, requested_at, self.link.owner)
        if answer.owner and answer.row_version > self.lease.row_version:
            self.lease.apply_row(self.lease.row, answer.row_version)
        return True

    def handle_report(self, message: InstanceReport) -> ReportAnswer:
        """Apply an instance's report, and answer with updates."""
        self.lease.learn_era(max(map(era_of, message.versions.values()), default=0))
        if self.lease.may_reclaim:
            self.renew_now.set()
        count = self.answer_counts.get(message.instance, 0)
        self.answer_counts[message.instance] = count + 1
        if not isinstance(message.departures, UnsetType):
            apply_departures(self.view, message.departures, message.instance)
        owner = self.owner
        if owner:
            owner.apply_report(message)
            self.record_store_report(message)
        detailed = owner is not None and count % REPORTS_PER_SUMMARY == 0
        instances, digest = (
            owner.slots_in_use.listed_instances() if owner and detailed else ([], 0)
        )
        return ReportAnswer(
            owner=owner is not None and (self.lease.is_held or self.lease.may_reclaim),
            row_version=self.lease.row_version,
            news=self.update_sender.since(message)
            if self.cell == STORE_READER_CELL
            else [],
            engines=owner.summary() if owner and detailed else [],
            instances=[] if digest == message.instances_digest else instances,
            instances_digest=digest,
            spread=owner.busy_adapters(self.cells) if owner and detailed else [],
        )

    def record_store_report(self, message: InstanceReport) -> None:
        """Record whether the store answers an instance; renew once it recovered."""
        if message.instance == self.identity.instance:
            return
        outage = self.lease.outage
        regained = outage.record_report(
            message.instance,
            store_answers=message.store_answers,
            leaving=message.leaving,
        )
        if regained and outage.renewal_fails:
            self.renew_now.set()

    def start(self) -> None:
        """Start the periodic tasks."""
        for work in (
            self.maintain_lease,
            self.report_periodically,
            self.process_queue_periodically,
        ):
            self.running.append(self.tasks.forever(work))

    def retire(self) -> None:
        """End the membership, as the fleet got another layout."""
        self.stopping = True
        for task in self.running:
            task.cancel()
        self.view.on_change.remove(self.view_changed)
        if self.owner:
            self.owner.close()
            self.owner = None

    async def process_queue_periodically(self) -> None:
        """Process the queue without events too, to refuse what waits too long."""
        while True:
            await self.owns.wait()
            if self.owner:
                self.owner.queue.process()
            await asyncio.sleep(QUEUE_POLL_SECONDS)
