"""Load and unload orders to engines, and engines' reports."""

from dataclasses import dataclass
from enum import Enum

import msgspec
from expression import Error, Ok, Result
from tornado.httputil import HTTPHeaders

from magnoliatrail.backends import (
    BackendServer,
    LoadedAdapter,
    LoadedModel,
    NoticeSink,
)
from magnoliatrail.connections import ConnectionPool, ConnectionUse
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.exchange import OutgoingRequest, exchange
from magnoliatrail.ids import FencingNumber, InstanceId
from magnoliatrail.platform.protocol import EXPECT_INSTANCE, ORDER_PATH, REPORT_PATH
from magnoliatrail.platform.request_headers import names_no_request, server_notice
from magnoliatrail.platform.server_rows import (
    Count,
    WireLoadedModel,
    loaded_model,
    parse_adapter,
)
from magnoliatrail.wire import JSON_TYPE, CallFailed, CallLimits, decode, encode

HTTP_OK = 200
# A report names a few hundred adapters at most.
MAX_ANSWER_BYTES = 1024 * 1024


class Operation(Enum):
    """Kind of an order to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(Enum):
    """Outcome of an order, from the engine's answer."""

    STARTED = "started"
    # The requested state held already, or was reached before the answer.
    DONE = "done"
    # Not accepted: the order was not sent, another one is in progress, or the order
    # count differs from the expected one.
    CONFLICT = "conflict"
    FENCED = "fenced"
    ANOTHER_SERVER = "another_server"
    # The order may have been accepted or may still be carried out.
    UNKNOWN = "unknown"
    REJECTED = "rejected"


OUTCOMES = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.ANOTHER_SERVER,
    429: OrderOutcome.CONFLICT,
    503: OrderOutcome.CONFLICT,
    400: OrderOutcome.REJECTED,
    404: OrderOutcome.REJECTED,
}


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine; without an adapter it is for the base weights."""

    operation: Operation
    model: str
    adapter: str
    # 0 selects the newest version.
    version: int
    holder: InstanceId
    fencing_number: FencingNumber
    # Number of orders that the engine must have accepted before this one.
    expected_orders: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state as it reports it, some hundred milliseconds late."""

    born: int | None
    orders_accepted: int
    busy: bool
    models: tuple[LoadedModel, ...]
    loading_adapters: tuple[LoadedAdapter, ...]
    running: int
    waiting: int
    cache_tokens_used: int
    cache_tokens: int


class WireReport(msgspec.Struct):
    """The body of a report; items of `incoming` have the form MODEL/NAME@VERSION."""

    sequence: Count = 0
    busy: bool = False
    models: list[WireLoadedModel] = []
    incoming: list[str] = []
    running: Count = 0
    waiting: Count = 0
    kv_cache_used: float = 0
    kv_cache_total: float = 0
    born: Count | None = None


def order_body(order: Order) -> dict[str, object]:
    """Build the body of an order."""
    body: dict[str, object] = {
        "operation": order.operation.value,
        "model": order.model,
        "holder": order.holder,
        "fencing_token": order.fencing_number,
        "precondition": order.expected_orders,
    }
    if order.adapter:
        body["adapter"] = order.adapter
        if order.version and order.operation is Operation.LOAD:
            body["version"] = order.version
    return body


async def send_order(
    pool: ConnectionPool,
    server: BackendServer,
    order: Order,
    limits: CallLimits,
    notice: NoticeSink,
) -> tuple[OrderOutcome, str]:
    """Send an order; return the outcome, and the error or the answer as text."""
    headers = HTTPHeaders({EXPECT_INSTANCE: server.id, "Content-Type": JSON_TYPE})
    call = OutgoingRequest("POST", ORDER_PATH, headers, encode(order_body(order)))
    try:
        answer = await exchange(
            pool,
            server.address,
            call,
            limits,
            is_answer=names_no_request,
            keep_refused=False,
            max_body_bytes=MAX_ANSWER_BYTES,
            use=ConnectionUse.ORDERS,
        )
    except CallFailed as error:
        if not error.sent:
            return OrderOutcome.CONFLICT, str(error)
        return OrderOutcome.UNKNOWN, str(error)
    notice(server, server_notice(server, answer.code, answer.headers))
    outcome = OUTCOMES.get(answer.code, OrderOutcome.UNKNOWN)
    return outcome, f"{answer.code} {bytes(answer.body[:200])!r}"


async def read_report(
    pool: ConnectionPool,
    server: BackendServer,
    limits: CallLimits,
    notice: NoticeSink,
) -> Result[EngineReport, Failure]:
    """Read an engine's report."""
    call = OutgoingRequest(
        "GET", REPORT_PATH, HTTPHeaders({EXPECT_INSTANCE: server.id})
    )
    try:
        answer = await exchange(
            pool,
            server.address,
            call,
            limits,
            retry_if_silent=True,
            is_answer=names_no_request,
            keep_refused=False,
            max_body_bytes=MAX_ANSWER_BYTES,
        )
    except CallFailed as error:
        return Error(Failure(ErrorKind.BACKEND_UNREACHABLE, str(error)))
    notice(server, server_notice(server, answer.code, answer.headers))
    if answer.code != HTTP_OK:
        message = f"the engine answered {answer.code}"
        return Error(Failure(ErrorKind.BACKEND_FAILED, message))
    decoded = decode(bytes(answer.body), WireReport)
    if decoded.is_error():
        return Error(Failure(ErrorKind.ANSWER_INVALID, decoded.error.message))
    found = decoded.ok
    return Ok(
        EngineReport(
            born=found.born,
            orders_accepted=found.sequence,
            busy=found.busy,
            models=tuple(loaded_model(model) for model in found.models),
            loading_adapters=tuple(
                parse_loading_adapter(text) for text in found.incoming
            ),
            running=found.running,
            waiting=found.waiting,
            cache_tokens_used=int(found.kv_cache_used),
            cache_tokens=int(found.kv_cache_total),
        )
    )


def parse_loading_adapter(text: str) -> LoadedAdapter:
    """Parse MODEL/NAME@VERSION."""
    model, _, name = text.rpartition("/")
    return parse_adapter(model, name)
