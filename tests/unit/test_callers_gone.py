import asyncio

from .entry_rig import running_rig

# More than any engine generates while a test waits.
ENDLESS = 1_000_000_000


def test_a_caller_that_closes_its_connection_is_cancelled_at_the_engine(run):
    async def scenario():
        async with running_rig() as rig:
            reader, writer = await rig.open_stream(ENDLESS)
            await reader.readuntil(b"id: 3")
            writer.close()
            await rig.until(lambda: rig.engines[0].cancels)
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_a_caller_gone_before_its_first_event_is_cancelled_at_the_engine(run):
    async def scenario():
        async with running_rig(token_seconds=3600) as rig:
            _, writer = await rig.open_stream(ENDLESS)
            await rig.until(lambda: rig.engines[0].runs)
            writer.close()
            await rig.until(lambda: rig.engines[0].cancels)
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_a_place_is_held_until_the_engine_has_stopped(run):
    async def scenario():
        async with running_rig() as rig:
            _, writer = await rig.open_stream(ENDLESS)
            await rig.until(lambda: rig.engines[0].runs)
            rig.engines[0].faults.down = True
            writer.close()
            await asyncio.sleep(0.2)
            assert not rig.idle
            rig.engines[0].faults.down = False
            await rig.until(lambda: rig.idle)
            assert rig.engines[0].cancels == 1

    run(scenario())


def test_a_caller_that_reads_nothing_is_cut_and_the_engine_cancelled(run):
    async def scenario():
        async with running_rig(token_seconds=0) as rig:
            _, writer = await rig.open_stream(ENDLESS)
            await rig.until(lambda: rig.engines[0].cancels)
            await rig.until(lambda: rig.idle)
            writer.close()

    run(scenario())
