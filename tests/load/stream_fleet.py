"""Instances that record begun streams, in virtual time, and the faults around them."""

import asyncio
import selectors
from collections import Counter
from datetime import UTC, datetime, timedelta
from random import Random

from expression import Error

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.forwarding.stream_origin import AMBIGUOUS
from magnoliatrail.forwarding.stream_versions import StreamVersions
from magnoliatrail.ids import InstanceId, new_incarnation
from magnoliatrail.membership.recent_instances import RecentInstances
from magnoliatrail.membership.stream_records import (
    StreamRecordReader,
    StreamRecordWriter,
    StreamSoftware,
)
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.platform.protocol import STREAMS_TABLE
from magnoliatrail.wire import decode, encode
from tests.platform.fake_store import FakeRows, unknown

PEER_TIME = 0.001
STORE_TIME = 0.002
# How long a call to a store that does not answer takes.
STORE_PATIENCE = 0.3
FOLLOWING_INTERVAL = timedelta(seconds=5)


class JumpingSelector(selectors.SelectSelector):
    """Skip to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is due, so the test would wait forever"
        self.elapsed += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps from timer to timer."""

    def __init__(self):
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self):
        return self.jumping.elapsed


def run_virtually(scenario):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario)


class VirtualClock:
    """The time of the virtual loop, at which a frozen instance does not wake up."""

    def __init__(self, thawed):
        self.thawed = thawed

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()

    def monotonic(self):
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration):
        await asyncio.sleep(duration.total_seconds())
        await self.thawed.wait()


class WatchedRows(FakeRows):
    """A store that fails a test if a row is written with two contents."""

    def __init__(self):
        super().__init__()
        self.contents = {}
        self.written_at = {}
        self.commits = 0

    def apply(self, writes, removals=()):
        self.commits += 1
        for write in writes:
            before = self.contents.setdefault((write.table, write.key), write.value)
            assert before == write.value, f"{write.key} was written with two contents"
            self.written_at[write.key] = asyncio.get_running_loop().time()
        return super().apply(writes, removals)


class StoreLink:
    """The store as one instance reaches it, with the time that calls take."""

    def __init__(self, instance):
        self.instance = instance
        self.store = instance.fleet.store
        self.era = 0

    async def read(self, table, part=""):
        return await self.call(lambda store: store.read(table))

    async def changes(self, table, after, wait):
        return await self.call(lambda store: store.changes(table, after, wait))

    async def commit(self, writes, *, removals=()):
        return await self.call(lambda store: store.commit(writes, removals=removals))

    async def call(self, operation):
        await self.instance.thawed.wait()
        if self.instance.cut_from_store:
            await asyncio.sleep(STORE_PATIENCE)
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "no answer"))
        await asyncio.sleep(STORE_TIME)
        client = self.store.client()
        client.era = self.era
        answer = await operation(client)
        await asyncio.sleep(STORE_TIME)
        await self.instance.thawed.wait()
        if self.instance.cut_from_store:
            return unknown()
        if client.era < self.era:
            return unknown()
        self.era = client.era
        return answer


class Peers:
    """The messages that one instance sends to others."""

    def __init__(self, instance):
        self.instance = instance

    async def ask(self, url, message, answer_type, limits):
        await self.instance.thawed.wait()
        address, _, path = url.removeprefix("http://").partition("/")
        try:
            async with asyncio.timeout(limits.total.total_seconds()):
                answer = await self.exchange(address, f"/{path}", encode(message))
        except TimeoutError:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, "no answer"))
        finally:
            await self.instance.thawed.wait()
        return answer.bind(lambda found: decode(encode(found), answer_type))

    async def exchange(self, address, path, body):
        await asyncio.sleep(PEER_TIME)
        other = self.instance.fleet.instances.get(address)
        if other is None:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, "refused"))
        await self.until_reachable(other)
        # A message that has arrived is handled also if its sender has given up.
        answer = await asyncio.shield(other.start(other.handle(path, body)))
        await asyncio.sleep(PEER_TIME)
        await self.until_reachable(other)
        return answer

    async def until_reachable(self, other):
        if self.instance.cut_from_peers or other.cut_from_peers:
            await asyncio.Event().wait()


class StreamInstance:
    """One process: what it knows ends with it."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.cut_from_store = self.cut_from_peers = False
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.clock = VirtualClock(self.thawed)
        self.store = StoreLink(self)
        self.writer = StreamRecordWriter(
            clock=self.clock,
            metrics=NoMetrics(),
            store=self.store,
            instance=InstanceId(name),
            incarnation=new_incarnation(),
            generator=Random(name),
        )
        self.versions = StreamVersions(
            clock=self.clock,
            peers=Peers(self),
            instance=InstanceId(name),
            recent_instances=RecentInstances(
                self.clock, lambda: {other: other for other in fleet.instances}
            ),
            writer=self.writer,
            reader=StreamRecordReader(self.store, self.clock),
        )
        self.routes = {route.path: route for route in self.versions.peer_routes()}
        self.tasks = set()
        self.endless = [
            self.start(self.versions.send_periodically()),
            self.start(self.writer.run()),
            self.start(self.follow_store()),
        ]

    @property
    def frozen(self):
        return not self.thawed.is_set()

    def start(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def follow_store(self):
        """Read other tables now and then, as each instance does; it names the era."""
        while True:
            await self.clock.sleep(FOLLOWING_INTERVAL)
            await self.store.read("others")

    async def handle(self, path, body):
        await self.thawed.wait()
        route = self.routes[path]
        return await route.answer(decode(body, route.message_type).ok)

    async def kill(self):
        for task in self.endless:
            assert not task.done(), task.exception()
        tasks = {*self.tasks, *self.versions.questions}
        if self.versions.reader.reading:
            tasks.add(self.versions.reader.reading)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class StreamFleet:
    """Several instances and their store, and which version began which stream."""

    def __init__(self, count):
        self.store = WatchedRows()
        self.names = [f"i{number}" for number in range(count)]
        # Running instances by name, which also is their address.
        self.instances = {}
        self.release = 0
        # The version that began each stream, and when.
        self.begun = {}
        self.found = Counter()
        for name in self.names:
            self.restart(name)

    async def close(self):
        await self.kill(*self.instances)

    def now(self):
        return asyncio.get_running_loop().time()

    def restart(self, name):
        """Start an instance that is not running, with nothing known."""
        if name not in self.instances:
            self.instances[name] = StreamInstance(self, name)

    async def kill(self, *names):
        for name in names:
            instance = self.instances.pop(name, None)
            if instance:
                await instance.kill()

    async def restart_all(self):
        """Kill all instances at once, and start them again."""
        await self.kill(*self.names)
        for name in self.names:
            self.restart(name)

    def begin(self, name):
        """Begin a stream at the version that serves now."""
        instance = self.instances.get(name)
        if instance and not instance.frozen:
            request = f"r{len(self.begun)}"
            version = f"v1.{self.release}"
            self.begun[request] = version, self.now()
            instance.versions.record(request, version, service="models")

    async def resume(self, name, request):
        """Look a stream up; return whether it is found, and fail at another version."""
        found = await self.instances[name].versions.find(request)
        self.found[found.source] += 1
        if found.software.version == AMBIGUOUS:
            return False
        began = self.begun[request][0]
        assert found.software == StreamSoftware(began, "models"), (
            f"{request} began at {began}, {name} goes on at {found}"
        )
        return True

    async def resume_all(self, names, begun):
        """Look streams up at instances in turn, and return those that are found."""
        names = list(names)
        found = await asyncio.gather(
            *(
                self.resume(names[number % len(names)], request)
                for number, request in enumerate(begun)
            )
        )
        return [request for request, known in zip(begun, found, strict=True) if known]

    def heal(self):
        """End all faults, and start what was killed."""
        self.store.down = self.store.lose_next = self.store.delay_next = False
        self.store.apply_delayed()
        for name in self.names:
            self.restart(name)
        for instance in self.instances.values():
            instance.thawed.set()
            instance.cut_from_store = instance.cut_from_peers = False

    def begun_since(self, at, *, until):
        """Return the streams that began within some time."""
        return [
            request
            for request, (_, began) in self.begun.items()
            if at <= began <= until
        ]

    def record_rows(self):
        return [key for table, key in self.store.rows if table == STREAMS_TABLE]

    def age_of_oldest_row(self):
        written_at = self.store.written_at
        return self.now() - min(written_at[key] for key in self.record_rows())
