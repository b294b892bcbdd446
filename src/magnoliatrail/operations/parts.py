"""The components of one instance's ledger, and its periodic sweep."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from magnoliatrail.clock import Clock
from magnoliatrail.generated.configuration import Defaults
from magnoliatrail.ids import Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.operations.ledger import OperationLedger
from magnoliatrail.operations.settling import Settler
from magnoliatrail.operations.sweep import Sweeper, sweep_interval
from magnoliatrail.platform.objects import ObjectStore
from magnoliatrail.platform.table import TableService
from magnoliatrail.rendezvous import ranked

log = EventLog("operations")


@dataclass(frozen=True)
class OperationParts:
    """Hold the components of one instance's ledger."""

    ledger: OperationLedger
    settler: Settler
    sweeper: Sweeper
    clock: Clock
    generator: Random

    async def drain(self) -> None:
        """Finish pending records and releases before the instance stops."""
        await self.settler.drain()
        await self.sweeper.flush()

    async def run_sweeps(
        self,
        defaults: Callable[[], Defaults],
        instances: Callable[[], Sequence[InstanceId]],
        instance: InstanceId,
    ) -> None:
        """Flush completed entries and delete expired ones at jittered intervals.

        Shards are assigned to instances by rendezvous hashing.
        """

        def is_own_shard(name: str) -> bool:
            return ranked(name, instances())[:1] == [instance]

        while True:
            interval = sweep_interval(len(instances()))
            await self.clock.sleep(interval * self.generator.uniform(0.5, 1.5))
            seconds = defaults().operation_retention_seconds
            try:
                await self.sweeper.flush()
                await self.sweeper.sweep(timedelta(seconds=seconds), is_own_shard)
            except Exception as error:
                log.error("task_failed", work="sweep", reason=repr(error))


def operation_parts(
    *,
    table: TableService,
    objects: ObjectStore,
    clock: Clock,
    holder: Incarnation,
    generator: Random | None = None,
) -> OperationParts:
    """Build the components of one instance's ledger."""
    generator = generator or Random()
    sweeper = Sweeper(table=table, objects=objects, clock=clock)
    settler = Settler(
        table=table,
        objects=objects,
        clock=clock,
        generator=generator,
        on_completed=sweeper.add_completed,
    )
    ledger = OperationLedger(
        table=table, objects=objects, clock=clock, settler=settler, holder=holder
    )
    return OperationParts(ledger, settler, sweeper, clock, generator)
