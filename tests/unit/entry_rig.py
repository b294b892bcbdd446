"""Test rig: an entry and stand-in engines in one process, over loopback."""

import asyncio
import socket
from contextlib import asynccontextmanager
from datetime import timedelta

from expression import Ok
from tornado.httpclient import HTTPRequest

from magnoliatrail.clock import SystemClock
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.entry.application import caller_application
from magnoliatrail.entry.dispatch import Dispatcher
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.entry.guards import budget_for
from magnoliatrail.entry.lifecycle import Lifecycle
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.generated.membership import MemberRecord, MemberState
from magnoliatrail.generated.permits import PermitGrant
from magnoliatrail.generated.platform import (
    Catalogue,
    CatalogueEntry,
    InstanceList,
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import AdapterVersion
from magnoliatrail.listeners import listen
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.standins.engine import EngineLimits, FakeEngine
from magnoliatrail.standins.engine_http import engine_application
from magnoliatrail.wire import CallLimits, call, encode, new_http_client
from tests.lone_quarantine import lone_quarantine

MODEL = AdapterVersion("adapter", "1")
ENTRY = CatalogueEntry(adapter=MODEL.adapter, version=MODEL.version, base_model="base")
HANDLE = "adapter@1~1"
LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=60))
RECEIVE_BUFFER_BYTES = 16 * 1024
WAIT_LIMIT_SECONDS = 30.0
TOKENS = 8


async def fetch_nothing(source):
    """Complete the fetch of an adapter immediately."""


class Rig:
    """Run an entry whose permits alternate between the engines in order."""

    def __init__(
        self, *, engines=2, token_seconds=0.002, listed=(), answered=(), **settings
    ):
        self.settings = Settings(
            **{
                "instance_id": "one",
                "failure_domain": "domain-0",
                "peer_token": "token-for-tests-only",
                "table_url": "http://127.0.0.1:1",
                "objects_url": "http://127.0.0.1:1",
                "weights_url": "http://127.0.0.1:1",
                "instance_list_url": "http://127.0.0.1:1",
                "idle_timeout_seconds": 0.3,
                **settings,
            }
        )
        clock = SystemClock()
        limits = EngineLimits(token_time=timedelta(seconds=token_seconds))
        self.engines = [
            FakeEngine(clock, limits, fetch_nothing, software_version=version)
            for version in answered or [""] * engines
        ]
        self.listeners = [
            listen(engine_application(engine), host="127.0.0.1")
            for engine in self.engines
        ]
        holder = PermitHolder()
        self.permits = [
            holder.put(grant_for(number, listener.url))
            for number, listener in enumerate(self.listeners)
        ]
        self.obtained = 0
        self.quarantine = lone_quarantine(clock)
        self.client = new_http_client()
        self.fleet = Fleet(clock, member_record())
        self.list_versions(listed or [""] * engines)
        caller = EngineCaller(
            settings=self.settings,
            clock=clock,
            client=self.client,
            permits=holder,
            quarantine=self.quarantine,
            servers=self.fleet.servers,
            memory=budget_for(self.settings),
        )
        metrics = RecordedMetrics()
        configuration = ConfigurationInForce(clock)
        configuration.apply_if_newer(configuration.configuration)
        catalogue = AdapterCatalogue()
        catalogue.replace(Catalogue(adapters=[ENTRY]))
        parts = EntryParts(
            settings=self.settings,
            clock=clock,
            metrics=metrics,
            client=self.client,
            fleet=self.fleet,
            configuration=configuration,
            catalogue=catalogue,
            dispatcher=Dispatcher(
                clock=clock,
                metrics=metrics,
                search=self,
                caller=caller,
                quarantine=self.quarantine,
            ),
            ledger=None,
            settler=None,
            services=None,
            lifecycle=Lifecycle(configuration),
        )
        self.entry = listen(caller_application(parts), host="127.0.0.1")

    def list_versions(self, versions):
        """Apply a list whose engines have these versions; None takes one off."""
        entries = [
            ListedInstance(
                id=f"engine-{number}",
                kind=ListedKind.ENGINE,
                name="base",
                url=listener.url,
                failure_domain="domain-0",
                state=ListedState.LIVE,
                software_version=version,
            )
            for number, (listener, version) in enumerate(
                zip(self.listeners, versions, strict=True)
            )
            if version is not None
        ]
        now = self.fleet.clock.monotonic()
        self.fleet.servers.apply_list(InstanceList(instances=entries), now)

    async def obtain(self, request):
        """Return the permit of the next engine."""
        self.obtained += 1
        return Ok(self.permits[(self.obtained - 1) % len(self.permits)])

    async def complete(self, *, stream=True, chat=False, headers=None, **fields):
        """Send a completion request, and return the response."""
        body = {"model": str(MODEL), "stream": stream, "max_tokens": TOKENS}
        body |= {"messages": [{"role": "user", "content": "p"}]} if chat else {}
        body |= {} if chat else {"prompt": "p"}
        path = "/v1/chat/completions" if chat else "/v1/completions"
        request = HTTPRequest(
            self.entry.url + path,
            method="POST",
            headers=headers,
            body=encode({**body, **fields}),
        )
        return await call(self.client, request, LIMITS)

    async def open_stream(self, tokens):
        """Request a stream over a raw connection, without reading the answer."""
        body = {
            "model": str(MODEL),
            "stream": True,
            "max_tokens": tokens,
            "prompt": "p",
        }
        content = encode(body)
        head = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
        length = f"Content-Length: {len(content)}\r\n\r\n"
        # A small receive buffer applies backpressure early: by default the kernel lets
        # it grow to tens of megabytes.
        caller = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setblocking(False)
        address = (self.entry.host, self.entry.port)
        await asyncio.get_running_loop().sock_connect(caller, address)
        reader, writer = await asyncio.open_connection(sock=caller, limit=1024)
        writer.write((head + length).encode() + content)
        return reader, writer

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    @property
    def idle(self):
        """Return whether no permit has a request in flight."""
        return not any(permit.in_flight for permit in self.permits)


def member_record():
    """Return the member record of the entry's instance."""
    return MemberRecord(
        instance="one",
        incarnation="i",
        version=1,
        state=MemberState.LIVE,
        failure_domain="domain-0",
        region="local",
        peer_url="http://127.0.0.1:1",
    )


def grant_for(number, url):
    """Return a permit grant for an engine."""
    return PermitGrant(
        engine=f"engine-{number}",
        engine_url=url,
        handle=HANDLE,
        adapter=MODEL.adapter,
        version=MODEL.version,
        fencing_number=1,
        places=8,
    )


@asynccontextmanager
async def running_rig(**options):
    """Run a rig whose engines have the adapter loaded."""
    rig = Rig(**options)
    try:
        for engine in rig.engines:
            await engine.load(HANDLE, str(MODEL), 1)
        yield rig
    finally:
        for listener in [rig.entry, *rig.listeners]:
            await listener.close()
