"""Orders from the owner of a cell to its engines, and their reports."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from expression import Result

from magnoliatrail.backends import BackendServer, LoadedAdapter, NoticeSink
from magnoliatrail.cells.engine_state import EngineState, Holding, HoldingState
from magnoliatrail.clock import Clock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.ids import FencingNumber, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.platform.engine_calls import (
    EngineReport,
    Operation,
    Order,
    OrderOutcome,
    read_report,
    send_order,
)
from magnoliatrail.wire import CallLimits

log = EventLog("cells")

ORDER_LIMITS = CallLimits(timedelta(milliseconds=300), timedelta(milliseconds=500))
REPORT_LIMITS = CallLimits(timedelta(milliseconds=300), timedelta(milliseconds=600))
# Longest time for which an order may be under way to an engine.
MAX_ORDER_DURATION = ORDER_LIMITS.connect + ORDER_LIMITS.total
# Outcomes after which the engine's order count is known.
COUNTED_OUTCOMES = {OrderOutcome.STARTED, OrderOutcome.DONE}
# An engine whose report cannot be read gets no requests for this long.
REPORT_FAILURE_BACKOFF = timedelta(seconds=1.5)


@dataclass(frozen=True)
class OrderingRights:
    """The right of an instance to order, with the identity that its orders carry."""

    holder: InstanceId
    fencing_number: Callable[[], FencingNumber]
    # Whether an order of this duration ends before the right to order does.
    may_order: Callable[[timedelta], bool]


class EngineOrders:
    """Send orders to engines, one at a time per engine, and apply their reports."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        pool: ConnectionPool,
        rights: OrderingRights,
        notice: NoticeSink,
        refuses: Callable[[BackendServer], bool],
    ) -> None:
        self.notice = notice
        # Whether a server wants no requests from this instance now.
        self.refuses = refuses
        self.clock = clock
        self.metrics = metrics
        self.pool = pool
        self.rights = rights

    async def send(
        self, engine: EngineState, operation: Operation, target: LoadedAdapter
    ) -> OrderOutcome:
        """Send one order and log its outcome; the caller holds the engine's lock."""
        assert engine.order_lock.locked(), "order sent without the engine's lock"
        if not self.rights.may_order(MAX_ORDER_DURATION) or self.refuses(engine.server):
            log.info("order_withheld", engine=engine.server.id, adapter=target)
            return OrderOutcome.CONFLICT
        expected = engine.orders_accepted
        order = Order(
            operation=operation,
            model=target.model,
            adapter=target.adapter,
            version=target.version,
            holder=self.rights.holder,
            fencing_number=self.rights.fencing_number(),
            expected_orders=expected,
        )
        outcome, reason = await send_order(
            self.pool, engine.server, order, ORDER_LIMITS, self.notice
        )
        self.metrics.count(f"orders.{outcome.value}")
        if outcome in COUNTED_OUTCOMES:
            engine.orders_accepted = expected + 1
        else:
            engine.reported = False
        self.log_order(engine, order, outcome, reason)
        return outcome

    def log_order(
        self, engine: EngineState, order: Order, outcome: OrderOutcome, reason: str
    ) -> None:
        """Log the outcome of an order, as a warning unless it was carried out."""
        fields = {
            "engine": engine.server.id,
            "operation": order.operation,
            "adapter": LoadedAdapter(order.model, order.adapter, order.version),
            "fencing_number": order.fencing_number,
            "expected_orders": order.expected_orders,
            "outcome": outcome,
            "reason": reason,
        }
        if outcome in COUNTED_OUTCOMES:
            log.info("order", **fields)
        else:
            log.warning("order", **fields)

    async def refresh(self, engine: EngineState) -> bool:
        """Read and apply an engine's report; return whether it was applied.

        A report is discarded if an order was sent while it was read.
        """
        if self.refuses(engine.server):
            return False
        before = engine.orders_accepted
        match await read_report(self.pool, engine.server, REPORT_LIMITS, self.notice):
            case Result(tag="ok", ok=report):
                if engine.orders_accepted != before:
                    return False
                return self.apply_report(engine, report)
            case Result(error=failure):
                engine.backoff_until = self.clock.monotonic() + REPORT_FAILURE_BACKOFF
                log.warning(
                    "engine_silent", engine=engine.server.id, reason=failure.message
                )
        return False

    def apply_report(self, engine: EngineState, report: EngineReport) -> bool:
        """Apply an engine's report, unless it is older than this owner's last order."""
        if report.born is not None and report.born != engine.server.born:
            log.info("engine_restarted", engine=engine.server.id, born=report.born)
            engine.reported = False
            return False
        if engine.reported and report.orders_accepted < engine.orders_accepted:
            return False
        if engine.reported and report.orders_accepted > engine.orders_accepted:
            log.warning(
                "unexpected_order_count",
                engine=engine.server.id,
                expected_orders=engine.orders_accepted,
                orders=report.orders_accepted,
            )
        engine.orders_accepted = report.orders_accepted
        engine.models = {model.name for model in report.models}
        engine.busy = report.busy
        engine.reported = True
        self.apply_holdings(engine, report)
        return True

    def apply_holdings(self, engine: EngineState, report: EngineReport) -> None:
        """Update an engine's adapters from its report."""
        now = self.clock.monotonic()
        ready = {item for model in report.models for item in model.adapters}
        listed = ready | set(report.loading_adapters)
        for adapter, holding in list(engine.holdings.items()):
            if adapter not in listed and holding.state is not HoldingState.LOADING:
                engine.drop(adapter)
        for adapter in listed:
            held = engine.holdings.get(adapter)
            is_ready = adapter in ready
            if held is None:
                state = HoldingState.READY if is_ready else HoldingState.LOADING
                engine.holdings[adapter] = Holding(adapter, state, now, timedelta())
            elif is_ready and held.state is HoldingState.LOADING:
                held.state = HoldingState.READY
                held.ready_at = min(held.ready_at, now)
