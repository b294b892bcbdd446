"""Messages between instances and rows of the ledger, encoded and decoded."""

import base64

from benchmarks.slopes.fit import Slope, fitted
from benchmarks.slopes.measure import processor_microseconds
from magnoliatrail.generated.membership import Heartbeat
from magnoliatrail.generated.operations import ClaimState, OperationRow
from magnoliatrail.generated.permits import PermitGrant, PermitRequest, RequestClass
from magnoliatrail.ids import new_incarnation, new_request_id, new_write_id
from magnoliatrail.wire import decode, encode

MESSAGES = (100, 1_000, 10_000)
ANSWER_BYTES = (0, 4_096, 65_536)


def heartbeat() -> Heartbeat:
    """Return a heartbeat as instances send it."""
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
    """Return a request for a permit."""
    return PermitRequest(
        holder="instance-001",
        engine="engine-00001",
        adapter="adapter-000007",
        version="1",
        request_id=new_request_id(),
        request_class=RequestClass.INTERACTIVE,
        waiting=1,
        deadline_seconds=4.2,
    )


def permit_grant() -> PermitGrant:
    """Return a grant of a permit."""
    return PermitGrant(
        engine="engine-00001",
        engine_url="http://10.20.0.1:8000",
        handle="adapter-000007@1~17",
        adapter="adapter-000007",
        version="1",
        fencing_number=17,
        places=8,
    )


def codec_slopes() -> list[Slope]:
    """Measure encoding and decoding alone."""
    samples = [
        ("heartbeat", heartbeat(), Heartbeat),
        ("permit request", permit_request(), PermitRequest),
        ("permit grant", permit_grant(), PermitGrant),
    ]
    return [
        fitted(
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
    """Return the row of an operation that ran."""
    return OperationRow(
        caller="bookers",
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
        fitted(
            "ledger row",
            "B of answer",
            "B",
            ANSWER_BYTES,
            lambda n: len(encode(rows[n])),
        ),
        fitted(
            "encoding and decoding a ledger row",
            "B of answer",
            "us",
            ANSWER_BYTES,
            lambda n: processor_microseconds(
                lambda: decode(encode(rows[n]), OperationRow)
            ),
        ),
    ]
