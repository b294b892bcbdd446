"""Instances that the store turns away, and the tables that others send them."""

import asyncio

import pytest
from expression import Error

from magnoliatrail.backends import ServerState
from magnoliatrail.cells.member import STORE_READER_CELL
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.membership.server_list import ServerList
from magnoliatrail.membership.table_view import TableView
from magnoliatrail.platform.protocol import SERVERS_TABLE
from tests.platform.rig import BOUNDS, running
from tests.platform.test_leaving_servers import add_two_servers, list_as_draining

HANG_SECONDS = 1.2


def turn_away(daemon, *, hangs):
    """Let all reads of the store by an instance fail, at once or after a while."""

    async def fail(*args, **options):
        await asyncio.sleep(HANG_SECONDS if hangs else 0)
        return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "turned away"))

    daemon.store.read = daemon.store.changes = fail


def owns_reader_cell(daemon):
    """Return whether an instance reads the store for all."""
    return daemon.cells.members[STORE_READER_CELL].owner is not None


def knows_all(daemon):
    """Return whether an instance knows the addresses of all three."""
    return len(daemon.recent_instances.addresses()) == 3


# Guards against requests to a server that had left (DRAIN), and against refusals for
# tables that are too old: the reader of the store and another instance were turned
# away, while a third one could read it.
@pytest.mark.parametrize("hangs", [True, False])
def test_instances_that_the_store_turns_away_get_the_tables_of_others(run, hangs):
    async def scenario():
        async with running(instances=3) as rig:
            leaving, _ = await add_two_servers(rig)
            await rig.until(lambda: all(knows_all(item) for item in rig.daemons))
            reader = next(item for item in rig.daemons if owns_reader_cell(item))
            other, _ = (item for item in rig.daemons if item is not reader)
            turned_away = [reader, other]
            for daemon in turned_away:
                turn_away(daemon, hangs=hangs)
            await asyncio.sleep(0.1)
            list_as_draining(rig, "leaving")
            statuses = []

            async def send_to_all():
                for daemon in turned_away:
                    request = f"r{len(statuses)}"
                    answer = await rig.send(daemon, "/plain/x", request=request)
                    statuses.append(answer.status)

            loop = asyncio.get_running_loop()
            until = loop.time() + BOUNDS.drain.total_seconds()
            while loop.time() < until:
                await send_to_all()
                await asyncio.sleep(0.02)
            heard = len(leaving)
            for _ in range(30):
                await send_to_all()
            assert set(statuses) == {200}
            assert len(leaving) == heard
            for daemon in turned_away:
                assert daemon.view.servers["leaving"].state is ServerState.LEAVING
                assert daemon.view.list_age() < BOUNDS.drain

    run(scenario())


def forget_tables(daemon):
    """Let an instance know nothing of the servers, as after a restart."""
    view = daemon.view
    table = view.tables[SERVERS_TABLE] = TableView()
    view.server_list = ServerList(daemon.clock, table)


# Guards against requests to a server that had left (DRAIN): an instance that the store
# turns away gets updates of one that has started since, and does not know the removal.
def test_instances_that_the_store_turns_away_get_the_whole_table(run):
    async def scenario():
        async with running(instances=3) as rig:
            leaving, _ = await add_two_servers(rig)
            await rig.until(lambda: all(knows_all(item) for item in rig.daemons))
            reader = next(item for item in rig.daemons if owns_reader_cell(item))
            others = [item for item in rig.daemons if item is not reader]
            for daemon in others:
                turn_away(daemon, hangs=False)
            rig.store.put("servers", "leaving", None)
            forget_tables(reader)
            await asyncio.sleep(BOUNDS.drain.total_seconds())
            heard = len(leaving)
            for number in range(30):
                for daemon in others:
                    request = f"r{number}-{daemon.settings.instance}"
                    answer = await rig.send(daemon, "/plain/x", request=request)
                    assert answer.status == 200
            assert len(leaving) == heard
            for daemon in others:
                assert "leaving" not in daemon.view.servers
                assert daemon.view.list_age() < BOUNDS.drain

    run(scenario())


def test_tables_that_are_fresh_are_not_requested(run):
    async def scenario():
        async with running(instances=2) as rig:
            asked = []

            async def record_request():
                asked.append(1)
                return True

            for daemon in rig.daemons:
                daemon.table_requests.ask = record_request
            await asyncio.sleep(BOUNDS.drain.total_seconds() * 1.5)
            assert not asked

    run(scenario())
