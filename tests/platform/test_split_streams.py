"""Streams that callers resume on routes that are split among services, or moved."""

import asyncio

import pytest

from tests.platform.rig import configuration, model, route, running
from tests.platform.test_cut_from_servers import Cut, CutFleet, CutForm
from tests.platform.test_server_notices import plain_server
from tests.platform.test_stream_versions import engine, introduced, resume
from tests.platform.test_streams_after_restart import restart_all, settled

SERVICES = ("blue", "green", "red")
STREAMS = 12
# One version name for all services, or one for each.
VERSIONS = [("v1", "v1", "v1"), ("v1", "v2", "v3")]


def split_routes(*services, kind="streaming"):
    """Return a route that is split in equal parts."""
    split = [{"service": name, "weight": 1.0} for name in services]
    return [
        route("stream", "/stream/", kind, "", attempts=2, resumable=True, split=split)
    ]


async def configure(rig, version, routes):
    """Write a configuration, and wait until it is in force everywhere."""
    rig.store.put_json("op", "config", configuration(version, routes, SERVICES))
    await rig.until(
        lambda: all(item.view.routes.version == version for item in rig.daemons)
    )


async def add_services(rig, versions):
    """Start an engine of each service, and wait until all instances list them."""
    for service, version in zip(SERVICES, versions, strict=True):
        state = engine(service, version, "a7")
        state.service = service
        rig.add_engine(state)
    await configure(rig, 2, split_routes(*SERVICES))
    await rig.until(
        lambda: all(set(SERVICES) == set(item.view.servers) for item in rig.daemons)
    )
    await introduced(rig)


async def begin_all(rig, daemon):
    """Begin streams, which their engines break off; return which engine began each."""
    for state in rig.engines:
        state.break_after_events = 1
    for number in range(STREAMS):
        answer = await rig.send(
            daemon,
            "/stream/x",
            request=f"b{number}",
            headers=model("a7"),
            body=b"%d" % number,
        )
        assert (answer.status, answer.whole) == (200, False)
    began = {}
    for state in rig.engines:
        state.break_after_events = None
        began |= dict.fromkeys(state.ran, state.id)
    assert len(set(began.values())) > 1
    return began


async def check_resumed(rig, daemon, began):
    """Check that streams go on where they began, and nowhere else."""
    for request, name in began.items():
        again = f"again-{request}"
        answer = await resume(rig, daemon, again, request)
        assert (answer.status, answer.whole) == (200, True), answer.body
        ran = {state.id for state in rig.engines if again in state.ran}
        assert ran == {name}


# Guards against streams of a split route that are refused, or go on at another service,
# because the service is drawn anew when they are taken up.
@pytest.mark.parametrize("versions", VERSIONS)
@pytest.mark.parametrize("resuming", [0, 1])
def test_a_stream_goes_on_at_the_service_that_began_it(run, versions, resuming):
    async def scenario():
        async with running(instances=2, engines=0) as rig:
            await add_services(rig, versions)
            began = await begin_all(rig, rig.daemons[0])
            await check_resumed(rig, rig.daemons[resuming], began)

    run(scenario())


# Guards against a service that is known only to instances that end together.
@pytest.mark.parametrize("versions", VERSIONS)
def test_the_service_of_a_stream_outlives_all_instances(run, versions):
    async def scenario():
        async with running(instances=2, engines=0) as rig:
            await add_services(rig, versions)
            began = await begin_all(rig, rig.daemons[0])
            await asyncio.sleep(1)
            await restart_all(rig)
            await settled(rig)
            await check_resumed(rig, rig.daemons[-1], began)

    run(scenario())


# Guards against streams that go on at another service, or are refused, as a cut
# instance lets another one serve them.
def test_a_cut_instance_lets_a_stream_go_on_at_its_service(run):
    async def scenario():
        async with running(instances=3, engines=0) as rig:
            await add_services(rig, VERSIONS[0])
            began = await begin_all(rig, rig.daemons[0])
            cut = Cut(rig.daemons[1], CutForm.RESET)
            await cut.begin()
            try:
                sending = await CutFleet(rig).send_for(2, rig.daemons[1], "/stream/x")
                await rig.until(lambda: rig.daemons[1].reach.is_cut)
                await check_resumed(rig, rig.daemons[1], began)
            finally:
                await cut.end()
                await asyncio.gather(*sending)

    run(scenario())


# Guards against a stream that goes on at the service its route has been moved to.
def test_a_stream_of_a_moved_route_is_refused_at_once(run):
    async def scenario():
        async with running(instances=2, engines=0) as rig:
            await add_services(rig, VERSIONS[0])
            began = await begin_all(rig, rig.daemons[0])
            moved_to = began["b0"]
            await configure(rig, 3, split_routes(moved_to))
            for daemon in rig.daemons:
                for request, name in began.items():
                    again = f"{daemon.settings.instance}-{request}"
                    answer = await resume(rig, daemon, again, request)
                    if name == moved_to:
                        assert (answer.status, answer.whole) == (200, True)
                        continue
                    assert answer.status == 503
                    assert b"service that began the stream" in answer.body
                    assert float(answer.headers["Retry-After"]) > 0
                    assert not any(again in state.ran for state in rig.engines)

    run(scenario())


# Guards against a share of the split that no longer gets new streams, but old ones.
def test_a_service_without_a_share_takes_no_stream_up(run):
    async def scenario():
        async with running(engines=0) as rig:
            await add_services(rig, VERSIONS[0])
            began = await begin_all(rig, rig.daemons[0])
            routes = split_routes(*SERVICES)
            for share in routes[0]["split"]:
                share["weight"] = float(share["service"] == "blue")
            await configure(rig, 3, routes)
            for request, name in began.items():
                answer = await resume(rig, rig.daemons[0], f"again-{request}", request)
                assert answer.status == (200 if name == "blue" else 503)

    run(scenario())


# Guards against a plain service that takes up the streams of another one.
def test_a_stream_of_a_plain_service_goes_on_there(run):
    async def scenario():
        async with running(instances=2, engines=0) as rig:
            ran = {"one": [], "two": []}
            for name, requests in ran.items():
                server = await rig.add_plain(name, plain_server(requests))
                port = server.sockets[0].getsockname()[1]
                row = {"service": name, "zone": "zone-a", "state": "ready", "born": 1}
                address = f"127.0.0.1:{port}"
                rig.store.put_json(
                    "servers", name, {**row, "version": "v1", "address": address}
                )
            routes = split_routes("one", "two")
            document = configuration(2, routes)
            document["services"] += [{"name": "one"}, {"name": "two"}]
            rig.store.put_json("op", "config", document)
            await rig.until(
                lambda: all(
                    item.view.routes.version == 2
                    and len(item.view.usable("one") + item.view.usable("two")) == 2
                    for item in rig.daemons
                )
            )
            await introduced(rig)
            for number in range(STREAMS):
                await rig.send(rig.daemons[0], "/stream/x", request=f"b{number}")
            began = {item: name for name, items in ran.items() for item in items}
            assert set(began.values()) == {"one", "two"}
            for request, name in began.items():
                fields = {"Last-Event-Id": "1", "Resumes": request}
                again = f"again-{request}"
                answer = await rig.send(
                    rig.daemons[1], "/stream/x", request=again, headers=fields
                )
                assert answer.status == 200
                assert again in ran[name]

    run(scenario())
