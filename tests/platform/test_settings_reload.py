"""Reloads of the settings file while an instance runs."""

from magnoliatrail.cli.forward import reload
from tests.platform.rig import running

SETTINGS_TEMPLATE = """
node = "{settings.instance}"
zone = "zone-a"
ip = "127.0.0.1"
internal_ports = [{port}, {port}]
heartbeat_ms = 1000
bootstrap = true
[listen]
front = "{settings.callers_address}"
ready = "{settings.ready_address}"
[bounds]
drain_ms = {drain_ms}
propagation_ms = 2000
grace_s = {grace_s}
lease_ms = 3000
version_ms = 5000
budget_ratio = 0.2
budget_slack = {budget_slack}
budget_window_s = 10
[platform]
address = "{settings.store_address}"
"""


def settings_text(daemon, *, drain_ms=2000, grace_s=8, budget_slack=54):
    """Return the text of a settings file as the platform writes it."""
    return SETTINGS_TEMPLATE.format(
        settings=daemon.settings,
        port=daemon.settings.peer_ports[0],
        drain_ms=drain_ms,
        grace_s=grace_s,
        budget_slack=budget_slack,
    )


def test_new_bounds_are_in_force_after_a_reload(run, tmp_path):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            path = tmp_path / "local.toml"
            path.write_text(settings_text(daemon, grace_s=5, budget_slack=7))
            reload(daemon, path)
            assert daemon.settings.bounds.grace.total_seconds() == 5
            assert daemon.forwarding_context.bounds.retry_slack == 7
            answer = await rig.send(daemon, "/nowhere", request="r1")
            assert answer.status == 404

    run(scenario())


def test_a_file_that_cannot_be_read_leaves_the_settings_in_force(run, tmp_path):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            before = daemon.settings
            path = tmp_path / "local.toml"
            for text in ("node = ", settings_text(daemon).replace("drain_ms", "drain")):
                path.write_text(text)
                reload(daemon, path)
                assert daemon.settings is before
            path.unlink()
            reload(daemon, path)
            assert daemon.settings is before
            answer = await rig.send(daemon, "/nowhere", request="r1")
            assert answer.status == 404

    run(scenario())
