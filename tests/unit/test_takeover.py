from datetime import timedelta

import pytest
from expression import Error
from msgspec.structs import replace

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import PermitRecall, RecallState

from .network_harness import ENGINE, MODELS, NAMES, Network


async def start_network(*, checks_fencing):
    network = Network(NAMES, checks_fencing=checks_fencing)
    await network.join_all()
    owner = next(node for node in network.nodes.values() if node.owner)
    others = [node for node in network.nodes.values() if node is not owner]
    return network, owner, others


def declare_gone(network, victim):
    for node in network.nodes.values():
        if node.name != victim.name:
            members = node.coordination.fleet.members
            members.declare_gone(members.records[victim.name])


def test_one_instance_owns_the_engine_and_all_agree(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        for node in others:
            assert node.owner is None
            assert node.coordination.fleet.owner_of(ENGINE) == owner.name
        await network.close()

    run(scenario())


def test_a_leaving_owner_hands_over_its_handles_without_a_reload(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        permit = await others[0].permit(MODELS[0])
        request = network.start_request(others[0], permit)
        await owner.coordination.hand_over_engines()
        await network.gossip()
        next_owner = next(node for node in others if node.owner)
        assert next_owner.owner.fencing_number == 2
        again = await others[1].permit(MODELS[0])
        assert again.handle == permit.handle
        assert network.engine.loads == 1
        assert not await next_owner.owner.free_slot()
        await network.end_request(request)
        assert await next_owner.owner.free_slot()
        assert network.engine.violations == []
        await network.close()

    run(scenario())


def test_a_crash_leaves_handles_in_use_on_an_engine_that_ignores_fencing(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        permit = await others[0].permit(MODELS[0])
        network.start_request(others[0], permit)
        owner.paused = True
        declare_gone(network, owner)
        await network.gossip()
        next_owner = next(node for node in others if node.owner)
        assert list(next_owner.owner.foreign) == [permit.handle]
        await next_owner.permit(MODELS[1])
        assert await next_owner.permit(MODELS[2]) is not None
        assert permit.handle in network.engine.loaded
        assert network.engine.violations == []
        await network.close()

    run(scenario())


def test_a_crash_lets_handles_be_adopted_where_the_engine_checks_fencing(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=True)
        permit = await others[0].permit(MODELS[0])
        owner.paused = True
        declare_gone(network, owner)
        await network.gossip()
        await network.gossip()
        next_owner = next(node for node in others if node.owner)
        assert (await next_owner.permit(MODELS[0])).handle == permit.handle
        assert network.engine.loads == 1
        # The silent owner may hold a permit, and no answer counts as busy.
        assert not await next_owner.owner.free_slot()
        await network.close()

    run(scenario())


@pytest.mark.parametrize("delisted", [False, True])
def test_a_delisted_owner_is_confirmed_stopped_after_the_longest_deadline(
    run, delisted
):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        await owner.permit(MODELS[0])
        owner.paused = True
        if delisted:
            network.list.remove(owner.name)
        declare_gone(network, owner)
        await network.gossip()
        next_owner = next(node for node in others if node.owner)
        assert next_owner.owner.foreign
        network.clock.advance(timedelta(seconds=611))
        for node in others:
            await node.coordination.read_list()
        await network.gossip()
        assert bool(next_owner.owner.foreign) is not delisted
        assert await next_owner.owner.free_slot() is delisted
        await network.close()

    run(scenario())


def test_a_falsely_suspected_owner_gives_up_and_releases_its_handles(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        permit = await others[0].permit(MODELS[0])
        owner.paused = True
        declare_gone(network, owner)
        await network.gossip()
        owner.paused = False
        await network.gossip()
        await network.gossip()
        holders = [node for node in network.nodes.values() if node.owner]
        assert len(holders) == 1
        assert not holders[0].owner.foreign
        assert permit.handle in {s.handle for s in holders[0].owner.slots.values()}
        await network.close()

    run(scenario())


def test_a_stale_owner_is_refused_by_holders(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        await others[0].permit(MODELS[0])
        stale = owner.owner
        owner.paused = True
        declare_gone(network, owner)
        await network.gossip()
        owner.paused = False
        # Resumed, before it received the row of the next owner.
        assert not await stale.free_slot()
        assert network.engine.evictions == 0
        await network.close()

    run(scenario())


def test_the_slot_of_an_unconfirmed_unload_is_unusable(run):
    async def scenario():
        network, owner, _ = await start_network(checks_fencing=False)
        await owner.permit(MODELS[0])
        slot = owner.owner.slots[MODELS[0]]
        unload = owner.owner.client.unload

        async def lost(handle, fencing_number):
            result = await unload(handle, fencing_number)
            return result.bind(lambda done: failed)

        failed = Error(Failure(ErrorKind.LOAD_FAILED, "answer lost"))
        owner.owner.client.unload = lost
        assert not await owner.owner.free_slot()
        assert await owner.permit(MODELS[0]) is None
        owner.owner.client.unload = unload
        await owner.owner.refresh()
        assert slot not in owner.owner.slots.values()
        assert await owner.permit(MODELS[0]) is not None
        await network.close()

    run(scenario())


def test_a_superseded_permit_is_not_returned_while_a_request_runs(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        holder = others[0]
        permit = await holder.permit(MODELS[0])
        request = network.start_request(holder, permit)
        owner.paused = True
        declare_gone(network, owner)
        await network.gossip()
        next_owner = next(node for node in others if node.owner)
        grant = permit.grant
        holder.permits.put(replace(grant, handle="adapter-0@1~2", fencing_number=2))
        recall = PermitRecall(engine=ENGINE, handle=permit.handle, fencing_number=2)
        assert await next_owner.owner.recall(holder.name, recall) is RecallState.BUSY
        await network.end_request(request)
        assert (
            await next_owner.owner.recall(holder.name, recall) is RecallState.RETURNED
        )
        await network.close()

    run(scenario())


def test_a_permit_from_before_an_engine_restart_is_refused_after_a_reload(run):
    async def scenario():
        network, owner, others = await start_network(checks_fencing=False)
        stale = await others[0].permit(MODELS[0])
        network.engine.restart()
        await owner.owner.refresh()
        await others[1].permit(MODELS[0])
        assert network.start_request(others[0], stale) is None
        await network.close()

    run(scenario())
