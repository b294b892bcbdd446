"""Servers that leave, as several instances learn it from answers and from the store."""

import asyncio
import base64
import json
from datetime import timedelta

import pytest

from magnoliatrail.backends import ServerState
from magnoliatrail.cells.member import STORE_READER_CELL
from tests.platform.rig import BOUNDS, running
from tests.platform.test_server_notices import (
    LEAVING,
    add_plain_servers,
    plain_server,
)

REQUESTS = 60


def store_reader(rig):
    """Return the instance that reads the store for all, and another one."""
    first, second = rig.daemons
    if first.cells.members[STORE_READER_CELL].owner:
        return first, second
    return second, first


def list_as_draining(rig, name):
    """Write the row of a server that leaves."""
    row = json.loads(base64.b64decode(rig.store.tables["servers"][name].value))
    rig.store.put_json("servers", name, {**row, "state": "draining"})


# Guards against requests to a server that had said that it leaves (DRAIN): a row that
# said no more than an answer to the instance that reads the store was not passed on.
@pytest.mark.parametrize("reader_heard", [True, False])
def test_all_instances_learn_from_the_row_that_a_server_leaves(run, reader_heard):
    async def scenario():
        async with running(instances=2) as rig:
            reader, other = store_reader(rig)
            hearing, learning = (reader, other) if reader_heard else (other, reader)
            leaving, staying = [], []
            await add_plain_servers(
                rig,
                leaving=plain_server(leaving, LEAVING),
                staying=plain_server(staying),
            )
            for number in range(REQUESTS):
                if leaving:
                    break
                await rig.send(hearing, "/plain/x", request=f"heard-{number}")
            assert hearing.view.servers["leaving"].state is ServerState.LEAVING
            list_as_draining(rig, "leaving")
            await asyncio.sleep((BOUNDS.drain + timedelta(seconds=0.1)).total_seconds())
            heard = len(leaving)
            for number in range(REQUESTS):
                answer = await rig.send(learning, "/plain/x", request=f"late-{number}")
                assert answer.status == 200
            assert len(leaving) == heard

    run(scenario())
