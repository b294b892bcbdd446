import asyncio
from datetime import timedelta

import pytest
from expression import Ok
from tornado.web import Application, RequestHandler

from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.membership import PeerRefusal
from magnoliatrail.generated.permits import HeldPermits, HeldPermitsRequest
from magnoliatrail.listeners import listen
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.connections import PersistentConnections
from magnoliatrail.peers.server import PeerRoute, peer_application
from magnoliatrail.wire import CallFailed, CallLimits, encode

TOKEN = "token-for-tests-only"
LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=10))
SHORT_LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=1))


async def answer(request):
    return Ok(HeldPermits(holder=request.engine, permits=[]))


def start_listener():
    route = PeerRoute("/peer/held", HeldPermitsRequest, answer)
    return listen(peer_application([route], TOKEN), host="127.0.0.1")


def test_many_messages_go_over_one_connection(run):
    async def scenario():
        listener = start_listener()
        client = PeerClient(TOKEN)
        for number in range(5):
            message = HeldPermitsRequest(engine=f"e{number}")
            result = await client.ask(
                f"{listener.url}/peer/held", message, HeldPermits, LIMITS
            )
            assert result.ok.holder == f"e{number}"
        assert client.connections.opened == 1
        client.close()
        await listener.close()

    run(scenario())


def test_a_wrong_token_is_refused(run):
    async def scenario():
        listener = start_listener()
        client = PeerClient("another-token-of-16")
        message = HeldPermitsRequest(engine="e")
        result = await client.ask(
            f"{listener.url}/peer/held", message, HeldPermits, LIMITS
        )
        assert result.error.kind.value == "unauthorized"
        client.close()
        await listener.close()

    run(scenario())


# Guards against an exception where an instance of a newer release refuses a message.
def test_a_refusal_of_an_unknown_kind_is_a_failure_of_the_peer(run):
    class NewerInstance(RequestHandler):
        def post(self):
            self.set_status(400)
            self.finish(encode(PeerRefusal(kind="newer_kind", message="no")))

    async def scenario():
        application = Application([("/peer/held", NewerInstance)])
        listener = listen(application, host="127.0.0.1")
        client = PeerClient(TOKEN)
        result = await client.ask(
            f"{listener.url}/peer/held",
            HeldPermitsRequest(engine="e"),
            HeldPermits,
            LIMITS,
        )
        assert result.error.kind is ErrorKind.PEER_UNAVAILABLE
        client.close()
        await listener.close()

    run(scenario())


def test_a_silent_kept_connection_is_replaced_by_a_new_one(run):
    async def scenario():
        connections = 0

        async def serve(reader, writer):
            nonlocal connections
            connections += 1
            silent_after = 1 if connections == 1 else 10
            try:
                for _ in range(silent_after):
                    await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(2)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                await reader.read(1000)
                await asyncio.Event().wait()
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = PersistentConnections()
        url = f"http://127.0.0.1:{port}/peer/x"
        for _ in range(3):
            assert (await client.post(url, {}, b"{}", SHORT_LIMITS)).code == 200
        assert connections == client.opened == 2
        client.close()
        server.close()

    run(scenario())


def test_a_refused_connection_means_not_sent(run):
    async def scenario():
        listener = start_listener()
        await listener.close()
        client = PersistentConnections()
        with pytest.raises(CallFailed) as caught:
            await client.post(f"{listener.url}/peer/held", {}, b"{}", SHORT_LIMITS)
        assert not caught.value.sent

    run(scenario())
