import socket

from magnoliatrail.cells.fleet_layout import LAYOUT_KEY
from magnoliatrail.platform.protocol import CELLS_TABLE
from tests.platform import rig as rig_module
from tests.platform.rig import CELLS, model, running


# Guards against tests that fail because a process took a port before its instance did.
def test_an_instance_starts_although_one_of_its_ports_was_taken(run, monkeypatch):
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as taken:
            ports = [taken.getsockname()[1]]
            free_port = rig_module.free_port
            monkeypatch.setattr(
                rig_module, "free_port", lambda: ports.pop() if ports else free_port()
            )
            async with running() as rig:
                (daemon,) = rig.daemons
                port = taken.getsockname()[1]
                assert not ports
                assert daemon.identity.address != f"127.0.0.1:{port}"

    run(scenario())


# Guards against a first start that no test plays, as other rigs find a stored layout.
def test_instances_that_start_for_the_first_time_agree_on_a_layout_and_serve(run):
    async def scenario():
        async with running(instances=2, first_start=True) as rig:
            assert rig.store.current_version(CELLS_TABLE, LAYOUT_KEY)
            for number, daemon in enumerate(rig.daemons):
                assert len(daemon.cells.members) == CELLS
                answer = await rig.send(
                    daemon, "/stream/x", request=f"r{number}", headers=model("a1")
                )
                assert (answer.status, answer.whole) == (200, True)

    run(scenario())
