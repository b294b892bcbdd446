"""Streams that many callers resume at once, after all instances were killed."""

import asyncio

import pytest

from magnoliatrail.generated.cells import SlotDecision
from tests.load.cell import Cell, report_ended

VERSIONS = ("v1", "v1.1")


def cell_of_two_versions(engines):
    """Return a cell in which half of the engines have each software version."""
    cell = Cell(engines=0)
    for number in range(engines):
        cell.add_engine(f"e{number}", VERSIONS[number % 2])
        cell.add_ready_adapter(f"e{number}", "a1")
    return cell


def share_granted(answers):
    """Return the share of requests that were granted a slot."""
    granted = [
        answer
        for answer in answers
        if answer.done() and answer.result().state is SlotDecision.GRANTED
    ]
    return len(granted) / len(answers)


# Guards against resumed streams that are refused behind new ones, though engines of
# their software version have as much room for them as for new streams.
@pytest.mark.parametrize("new_streams", [0, 100, 300])
def test_resumed_streams_are_served_at_least_half_as_often_as_new_ones(
    run, new_streams
):
    async def scenario():
        cell = cell_of_two_versions(engines=4)
        new = [cell.request_slot(f"n{i}", "a1") for i in range(new_streams)]
        await cell.pass_time(50)
        resumed = []
        for number in range(40):
            version = VERSIONS[number % 2]
            resumed.append(
                cell.request_slot(f"r{number}", "a1", software_version=version)
            )
            new.append(cell.request_slot(f"late{number}", "a1"))
            await asyncio.sleep(0)
        await cell.pass_time(3200)
        assert share_granted(resumed) >= share_granted(new) / 2

    run(scenario())


# Guards against new streams that are not served while many others are resumed.
def test_new_streams_are_served_beside_resumed_ones(run):
    async def scenario():
        cell = cell_of_two_versions(engines=4)
        new, ended = [], set()
        for number in range(100):
            cell.request_slot(f"r{number}", "a1", software_version=VERSIONS[number % 2])
            new.append(cell.request_slot(f"n{number}", "a1"))
            await cell.pass_time(60)
            for request, server in cell.granted().items():
                if request not in ended:
                    ended.add(request)
                    report_ended(cell, request, server, first_event_ms=100)
        assert share_granted(new) >= 0.9

    run(scenario())
