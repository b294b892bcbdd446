"""Handles that another owner loaded, and proofs that nobody uses a handle."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from magnoliatrail.generated.engine import LoadReport
from magnoliatrail.ids import (
    AdapterVersion,
    FencingNumber,
    Handle,
    InstanceId,
    parse_adapter_version,
)

if TYPE_CHECKING:
    from magnoliatrail.engines.owner import EngineOwner

IDLE_CHECK_TIMEOUT = timedelta(seconds=2)
REPORT_POLL_INTERVAL = timedelta(milliseconds=50)


@dataclass
class ForeignHandle:
    """Hold a handle that an earlier owner loaded; it counts as in use."""

    handle: Handle
    model: AdapterVersion
    generation: FencingNumber
    holders: set[InstanceId] = field(default_factory=set)


def generation_of(handle: Handle) -> FencingNumber | None:
    """Return the fencing number that a handle carries."""
    _, separator, text = handle.rpartition("~")
    number, _, _ = text.partition(".")
    if not separator or not number.isdecimal():
        return None
    return FencingNumber(int(number))


def foreign_handle(name: str) -> ForeignHandle | None:
    """Return what a reported handle names, None if no owner made that name."""
    handle = Handle(name)
    generation = generation_of(handle)
    model = parse_adapter_version(name.rpartition("~")[0])
    if generation is None or model is None:
        return None
    return ForeignHandle(handle, model, generation)


def running_requests(report: LoadReport, handle: Handle) -> int:
    """Return how many requests a report shows on a handle."""
    return sum(item.running for item in report.loaded if item.lora_name == handle)


async def reported_idle(owner: EngineOwner, handle: Handle) -> bool:
    """Return whether a report that was taken from now on shows a handle as idle."""
    started = owner.clock.monotonic()
    while owner.clock.monotonic() - started < IDLE_CHECK_TIMEOUT:
        asked = owner.clock.monotonic()
        result = await owner.client.report()
        if result.is_ok():
            report = result.ok
            if timedelta(seconds=report.age_seconds) <= asked - started:
                return running_requests(report, handle) == 0
        await owner.clock.sleep(REPORT_POLL_INTERVAL)
    return False
