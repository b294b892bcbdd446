"""Size and codec time of messages between instances and of ledger rows."""

import base64

from benchmarks.slopes.fit import Slope, fit_slope
from benchmarks.slopes.measure import processor_microseconds
from magnoliatrail.generated.membership import Heartbeat
from magnoliatrail.generated.operations import ClaimState, OperationRow
from magnoliatrail.generated.permits import (
    DemandAnswer,
    DemandReport,
    EngineDemand,
    EngineDigest,
    PermitGrant,
    PermitRequest,
    RequestClass,
)
from magnoliatrail.ids import new_incarnation, new_request_id, new_write_id
from magnoliatrail.wire import decode, encode

ENGINES = (1, 17, 170)
MESSAGES = (100, 1_000, 10_000)
ANSWER_BYTES = (0, 4_096, 65_536)


def heartbeat() -> Heartbeat:
    """Return a typical heartbeat, with no membership changes."""
    return Heartbeat(
        instance="instance-001",
        incarnation=new_incarnation(),
        configuration_revision=8_500,
        renewals=100_000,
        taken=10_000,
        members=[],
        owners=[],
        leaving=[],
        list_age_seconds=0.5,
    )


def permit_request() -> PermitRequest:
    """Return a typical permit request."""
    return PermitRequest(
        holder="instance-001",
        engine="engine-00001",
        adapter="adapter-000007",
        version="1",
        request_id=new_request_id(),
        request_class=RequestClass.INTERACTIVE,
        waiting=1,
        deadline_seconds=4.2,
        rate=0.05,
        caller="caller-1",
    )


def permit_grant() -> PermitGrant:
    """Return a typical permit grant."""
    return PermitGrant(
        engine="engine-00001",
        engine_url="http://10.20.0.1:8000",
        handle="adapter-000007@1~17",
        adapter="adapter-000007",
        version="1",
        fencing_number=17,
        places=8,
    )


def demand_report(engines: int) -> DemandReport:
    """Return the demand report of a holder for a number of idle engines."""
    return DemandReport(
        holder="instance-001",
        engines=[
            EngineDemand(engine=f"engine-{n:05d}", in_flight=0, waiting=0, uses=[])
            for n in range(engines)
        ],
    )


def demand_answer(engines: int) -> DemandAnswer:
    """Return the answer of an owner for a number of full engines."""
    return DemandAnswer(
        engines=[
            EngineDigest(
                engine=f"engine-{number:05d}",
                places=2,
                batch_slots=8,
                in_flight=6,
                waiting=2,
                free_slots=0,
                slot_value=0.01,
                loaded=[f"adapter-{slot:06d}@1" for slot in range(8)],
            )
            for number in range(engines)
        ]
    )


def demand_bytes(engines: int) -> float:
    """Return the body bytes of a demand report and its answer."""
    return len(encode(demand_report(engines))) + len(encode(demand_answer(engines)))


def demand_microseconds(engines: int) -> float:
    """Return the time to encode and decode a demand report and its answer."""
    report, answer = demand_report(engines), demand_answer(engines)

    def work() -> None:
        decode(encode(report), DemandReport)
        decode(encode(answer), DemandAnswer)

    return processor_microseconds(work)


def demand_slopes() -> list[Slope]:
    """Measure demand reports by the number of engines in them."""
    return [
        fit_slope("demand report and answer", "engine", "B", ENGINES, demand_bytes),
        fit_slope(
            "encoding and decoding a demand report and answer",
            "engine",
            "us",
            ENGINES,
            demand_microseconds,
        ),
    ]


def codec_slopes() -> list[Slope]:
    """Measure encoding and decoding of single messages."""
    samples = [
        ("heartbeat", heartbeat(), Heartbeat),
        ("permit request", permit_request(), PermitRequest),
        ("permit grant", permit_grant(), PermitGrant),
    ]
    return [
        fit_slope(
            f"encoding and decoding: {name}",
            "message",
            "us",
            MESSAGES,
            lambda n, message=message, kind=kind: processor_microseconds(
                lambda: [decode(encode(message), kind) for _ in range(n)]
            ),
        )
        for name, message, kind in samples
    ]


def operation_row(answer_bytes: int) -> OperationRow:
    """Return the ledger row of a completed operation."""
    return OperationRow(
        caller="caller-1",
        service="bookings",
        operation="POST bookings/confirm",
        key="shoot-4711-confirm",
        body_digest="0" * 64,
        attempt_id=new_write_id(),
        state=ClaimState.COMPLETED,
        claimed_at="2026-12-03T20:00:00+00:00",
        status=200,
        content_type="application/json",
        answer=base64.b64encode(b"x" * answer_bytes).decode(),
    )


def ledger_slopes() -> list[Slope]:
    """Measure the rows of the at-most-once ledger."""
    rows = {size: operation_row(size) for size in ANSWER_BYTES}
    return [
        fit_slope(
            "ledger row",
            "B of answer",
            "B",
            ANSWER_BYTES,
            lambda n: len(encode(rows[n])),
        ),
        fit_slope(
            "encoding and decoding a ledger row",
            "B of answer",
            "us",
            ANSWER_BYTES,
            lambda n: processor_microseconds(
                lambda: decode(encode(rows[n]), OperationRow)
            ),
        ),
    ]
