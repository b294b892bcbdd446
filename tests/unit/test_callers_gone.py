import asyncio

from .entry_rig import running_rig

# More tokens than an engine generates while a test waits.
ENDLESS_TOKENS = 1_000_000_000


def test_a_disconnect_during_the_stream_cancels_at_the_engine(run):
    async def scenario():
        async with running_rig() as rig:
            reader, writer = await rig.open_stream(ENDLESS_TOKENS)
            await reader.readuntil(b"id: 3")
            writer.close()
            await rig.until(lambda: rig.engines[0].cancels)
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_a_disconnect_before_the_first_event_cancels_at_the_engine(run):
    async def scenario():
        async with running_rig(token_seconds=3600) as rig:
            _, writer = await rig.open_stream(ENDLESS_TOKENS)
            await rig.until(lambda: rig.engines[0].runs)
            writer.close()
            await rig.until(lambda: rig.engines[0].cancels)
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_a_batch_slot_is_held_until_the_engine_has_stopped(run):
    async def scenario():
        async with running_rig() as rig:
            _, writer = await rig.open_stream(ENDLESS_TOKENS)
            await rig.until(lambda: rig.engines[0].runs)
            rig.engines[0].faults.down = True
            writer.close()
            await asyncio.sleep(0.2)
            assert not rig.idle
            rig.engines[0].faults.down = False
            await rig.until(lambda: rig.idle)
            assert rig.engines[0].cancels == 1

    run(scenario())


def test_a_caller_that_reads_nothing_is_disconnected_and_cancelled(run):
    async def scenario():
        async with running_rig(token_seconds=0) as rig:
            _, writer = await rig.open_stream(ENDLESS_TOKENS)
            await rig.until(lambda: rig.engines[0].cancels)
            await rig.until(lambda: rig.idle)
            writer.close()

    run(scenario())
