"""Processor time of the memory accounting of one request, beside that of the request.

Run `python -m benchmarks.body_accounting` from the root of the repository.
"""

import asyncio
import json
import os
import tempfile
import time
from http import HTTPStatus
from pathlib import Path

from tests.platform.rig import read_answer
from tests.processes.test_client_crowds import Target, running

from magnoliatrail.clock import SystemClock
from magnoliatrail.inbound.bodies import BodyAdmission
from magnoliatrail.memory_budget import HeldKind, Holding, MemoryBudget

RESULTS = Path(__file__).with_suffix(".json")
ACCOUNTED = 20_000
REQUESTS = 2_000
BODY = b"x" * 2_000
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def account(admission: BodyAdmission, pieces: int) -> None:
    """Account for the body of one request, from its first piece to its answer."""
    if pieces == 1 and admission.has_room_for_whole(len(BODY)):
        holding = Holding(admission.budget, HeldKind.REQUESTS)
        holding.try_grow(len(BODY))
        holding.close()
        return
    body = admission.open(lambda: None, len(BODY))
    for _ in range(pieces):
        admission.try_take(body, len(BODY) // pieces)
    admission.close(body)
    body.holding.commit(HeldKind.REQUESTS)
    body.holding.close()


def accounting_us(pieces: int) -> float:
    """Return the processor time of the accounting of one request, in us."""
    budget = MemoryBudget(50_000_000)
    admission = BodyAdmission(clock=SystemClock(), budget=budget, kind=HeldKind.BODIES)
    began = time.process_time()
    for _ in range(ACCOUNTED):
        account(admission, pieces)
    return (time.process_time() - began) / ACCOUNTED * 1e6


def processor_seconds(target: Target) -> float:
    """Return the processor time that the instance has used."""
    assert target.instance.popen is not None, "the instance runs"
    stat = Path(f"/proc/{target.instance.popen.pid}/stat").read_text()
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


async def request_us() -> float:
    """Return the processor time of one forwarded request, in us."""
    with tempfile.TemporaryDirectory() as directory:
        async with running(Path(directory)) as target:
            target.state.seconds = 0
            reader, writer = await asyncio.open_connection(
                target.instance.ip, target.instance.callers_port
            )
            began = processor_seconds(target)
            for number in range(REQUESTS):
                head = (
                    "POST /plain/x HTTP/1.1\r\nHost: app.example\r\n"
                    f"Magnoliatrail-Request-Id: r{number}\r\n"
                    "Magnoliatrail-Deadline-Milliseconds: 8000\r\n"
                    f"Content-Length: {len(BODY)}\r\n\r\n"
                )
                writer.write(head.encode() + BODY)
                answer = await read_answer(reader)
                assert answer.status == HTTPStatus.OK, "an ordinary request is served"
            used = processor_seconds(target) - began
            writer.close()
            return used / REQUESTS * 1e6


def main() -> None:
    """Measure, print and write the results."""
    accounting = {pieces: accounting_us(pieces) for pieces in (1, 16)}
    request = asyncio.run(request_us())
    results = {
        "accounting_us": round(accounting[1], 2),
        "accounting_of_16_pieces_us": round(accounting[16], 2),
        "request_us": round(request, 1),
        "share": round(accounting[1] / request, 4),
    }
    RESULTS.write_text(json.dumps(results, indent=2) + "\n")
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
