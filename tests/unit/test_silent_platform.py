"""Silent connections: idempotent calls are retried, transactions fail."""

import asyncio
from datetime import timedelta

import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.platform import (
    ListedInstance,
    ListedKind,
    ListedState,
    RowWrite,
    Transaction,
)
from magnoliatrail.listeners import listen
from magnoliatrail.platform.instance_list import HttpInstanceList
from magnoliatrail.platform.objects import HttpObjects
from magnoliatrail.platform.table import HttpTable
from magnoliatrail.standins.instance_list import (
    FakeInstanceList,
    instance_list_application,
)
from magnoliatrail.standins.objects import FakeObjects, objects_application
from magnoliatrail.standins.table import FakeTable, table_application
from magnoliatrail.wire import CallLimits, new_http_client

LIMITS = CallLimits(timedelta(seconds=1), timedelta(seconds=1))
WRITE = Transaction(conditions=[], writes=[RowWrite(key="a", value="1")])
REPLICA = ListedInstance(
    id="b-0",
    kind=ListedKind.SERVICE,
    url="http://127.0.0.1:1",
    failure_domain="d",
    state=ListedState.LIVE,
    name="bookings",
)


async def served(application, client_type):
    url = listen(application, host="127.0.0.1").url
    return client_type(new_http_client(), url, LIMITS)


def silence_next(faults):
    faults.silent_requests = 1


def silence_open(faults):
    """Silence the connection while its first request is in progress."""
    faults.delay_seconds = 0.05

    def silence():
        faults.silence_open += 1
        faults.delay_seconds = 0

    asyncio.get_running_loop().call_later(0.02, silence)


FAULTS = [silence_next, silence_open]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_table_read_is_retried(run, fault):
    async def scenario():
        table = FakeTable()
        table.commit(WRITE)
        client = await served(table_application(table), HttpTable)
        fault(table.faults)
        assert (await client.read("a")).ok.value == "1"
        fault(table.faults)
        assert len((await client.scan("a")).ok) == 1

    run(scenario())


@pytest.mark.parametrize("fault", FAULTS)
def test_object_reads_and_writes_are_retried(run, fault):
    async def scenario():
        store = FakeObjects()
        client = await served(objects_application(store), HttpObjects)
        fault(store.faults)
        assert (await client.put("a", b"1")).is_ok()
        fault(store.faults)
        assert (await client.get("a")).ok == b"1"

    run(scenario())


@pytest.mark.parametrize("fault", FAULTS)
def test_an_instance_list_read_is_retried(run, fault):
    async def scenario():
        instances = FakeInstanceList(ManualClock())
        instances.put(REPLICA)
        client = await served(instance_list_application(instances), HttpInstanceList)
        fault(instances.faults)
        assert (await client.read()).ok.instances == [REPLICA]

    run(scenario())


@pytest.mark.parametrize("fault", ["silent_requests", "silent_answers"])
def test_a_transaction_is_sent_once_and_its_outcome_is_unknown(run, fault):
    async def scenario():
        table = FakeTable()
        client = await served(table_application(table), HttpTable)
        setattr(table.faults, fault, 1)
        result = await client.transact(WRITE)
        assert result.error.kind is ErrorKind.TABLE_OUTCOME_UNKNOWN
        assert table.writes == (1 if fault == "silent_answers" else 0)

    run(scenario())


def test_a_refused_transaction_is_reported_as_not_run(run):
    async def scenario():
        table = FakeTable()
        client = await served(table_application(table), HttpTable)
        table.faults.down = True
        result = await client.transact(WRITE)
        assert result.error.kind is ErrorKind.TABLE_UNAVAILABLE

    run(scenario())
