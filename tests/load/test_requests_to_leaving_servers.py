"""No request is sent to a server long after it left, whatever delays it."""

import asyncio
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.platform.protocol import SERVERS_TABLE
from tests.load.test_configuration_freshness import (
    BOUND,
    EXTENSION,
    RENEWAL_INTERVAL,
    STEP,
    TABLE_BOUNDS,
    Instance,
    ScriptedStore,
    StoreMode,
)
from tests.platform.test_views import server_row

ATTEMPTS = 3


class ServerStore(ScriptedStore):
    """A store with the row of one server, which leaves and starts again."""

    def __init__(self, clock):
        super().__init__(clock)
        self.rows = [server_row(1)]
        self.born = 1
        # When the store acknowledged that runs leave.
        self.left_at = {}

    def rows_of(self, table):
        return self.rows if table == SERVERS_TABLE else super().rows_of(table)

    def depart(self):
        """Write that the server leaves; it comes back as another run at once."""
        self.write()
        self.left_at["s1", self.born] = self.clock.monotonic()
        self.rows.append(server_row(self.version, state="draining", born=self.born))
        self.born += 1
        self.write()
        self.rows.append(server_row(self.version, born=self.born))


class Sender(Instance):
    """An instance that sends requests, whose waits are drawn."""

    def __init__(self):
        super().__init__(ServerStore)
        self.sent = 0
        # Whether reads of the store have lagged.
        self.lagged = False

    async def send(self, wait):
        """Choose a server, wait for a connection, and send unless that is too late."""
        if not await self.reader.ensure_fresh(TABLE_BOUNDS):
            return
        for _ in range(ATTEMPTS):
            if not await self.reader.ensure_list_fresh(TABLE_BOUNDS):
                return
            servers = self.view.usable("models")
            if not servers:
                return
            await self.clock.sleep(wait)
            if self.view.is_usable(servers[0]) and self.is_list_fresh():
                self.check(servers[0])
                return

    def is_list_fresh(self):
        return self.reader.is_list_fresh(TABLE_BOUNDS)

    def check(self, server):
        """Check that a server had not left long before a request is sent to it."""
        self.sent += 1
        left_at = self.store.left_at.get(server.key)
        if left_at is None or self.reader.is_unreadable(SERVERS_TABLE):
            return
        bound = BOUND
        if self.lagged:
            # A read that lags is found out by the next renewal of a lease.
            bound += RENEWAL_INTERVAL
        if SERVERS_TABLE in self.reader.outdated_at:
            bound += EXTENSION
        age = self.clock.monotonic() - left_at
        assert age <= bound, "sent to a server that had left"


steps = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), st.integers(1, 40)),
        st.tuples(st.just("depart"), st.none()),
        st.tuples(st.just("mode"), st.sampled_from(StoreMode)),
        st.tuples(st.just("update"), st.integers(0, 40)),
        st.tuples(st.just("reads"), st.booleans()),
        st.tuples(st.just("pause"), st.integers(1, 60)),
        st.tuples(st.just("send"), st.integers(0, 60)),
    ),
    min_size=8,
    max_size=40,
)


async def play(script, *, sender=Sender):
    """Play a script, and return the instance."""
    instance = sender()
    tasks = [
        asyncio.create_task(instance.reader.run()),
        asyncio.create_task(instance.renew()),
    ]
    for action, argument in script:
        match action:
            case "pass":
                await instance.pass_time(STEP * argument)
            case "depart":
                instance.store.depart()
            case "mode":
                instance.store.mode = argument
                instance.lagged |= argument is StoreMode.LAGS
            case "update":
                instance.update(STEP * argument)
            case "reads":
                instance.reads = argument
            case "pause":
                # The process is suspended: time passes, and none of its tasks runs.
                instance.clock.advance(STEP * argument)
            case "send":
                sending = asyncio.create_task(instance.send(STEP * argument))
                instance.requests.append(sending)
                await asyncio.sleep(0)
    while not all(request.done() for request in instance.requests):
        await instance.pass_time(timedelta(seconds=1))
    await asyncio.gather(*instance.requests)
    for task in tasks:
        task.cancel()
    return instance


# Guards against requests that reach a server later after its departure than the bound
# (DRAIN): what was decided in time was sent late.
@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps)
def test_no_request_is_sent_to_a_server_that_left_long_before(script):
    asyncio.run(play(script))


def test_requests_are_sent_while_the_store_answers():
    waits = [("send", 20), ("pass", 10), ("depart", None), ("send", 5), ("pass", 40)]
    instance = asyncio.run(play(waits * 5))
    assert instance.sent == len(instance.requests)
