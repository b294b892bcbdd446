"""Many requests wait while all engines are full: scheduling passes stay cheap."""

import random
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.scheduling_pass import SchedulingPass
from tests.load.cell import MODEL, Cell, run_pending_tasks

ENGINES, WAITING, ADAPTERS = 16, 200, 3000


def full_cell():
    """Return a cell whose engines have used up their prefill budget."""
    cell = Cell(engines=ENGINES)
    for engine in cell.owner.engines.values():
        engine.record_prompt(9000, cell.clock.monotonic())
    return cell


def record_options(monkeypatch):
    """Return a list that gets an item for each engine evaluated for a request."""
    evaluated = []
    original = SchedulingPass.options

    def recording(self, engines, adapter):
        evaluated.extend(engines)
        return original(self, engines, adapter)

    monkeypatch.setattr(SchedulingPass, "options", recording)
    return evaluated


def test_full_engines_are_not_evaluated_for_each_waiting_request(run, monkeypatch):
    async def scenario():
        cell = full_cell()
        numbers = random.Random(1)
        for number in range(WAITING):
            cell.request_slot(
                f"r{number}", f"a{numbers.randrange(ADAPTERS)}", goal=5000
            )
        await run_pending_tasks()
        evaluated = record_options(monkeypatch)
        cell.owner.queue.process()
        assert len(cell.owner.queue.waiting) == WAITING
        assert not evaluated

    run(scenario())


def test_only_the_one_available_engine_is_evaluated(run, monkeypatch):
    async def scenario():
        cell = full_cell()
        for number in range(WAITING):
            cell.request_slot(f"r{number}", "a1", goal=5000)
        cell.add_ready_adapter("e0", "a1")
        await run_pending_tasks()
        cell.owner.engines["e0", 1].prompts.clear()
        evaluated = record_options(monkeypatch)
        cell.owner.queue.process()
        assert set(cell.granted().values()) == {"e0"}
        assert len(evaluated) <= len(cell.granted()) + 1

    run(scenario())


def test_a_load_start_discards_the_cached_unplaceable_requests(run):
    """A cached "no engine can take it" must be dropped when a load starts."""

    async def scenario():
        cell = Cell(engines=1)
        cell.owner.queue.schedule = lambda: None
        engine = cell.owner.engines["e0", 1]
        adapter = LoadedAdapter(MODEL, "a1", 1)
        scheduling_pass = cell.owner.queue.new_pass(cell.clock.monotonic())
        size = scheduling_pass.smallest_size
        scheduling_pass.record_unplaceable("models", adapter, size)
        assert scheduling_pass.is_unplaceable("models", adapter, size)
        assert not scheduling_pass.is_unplaceable("others", adapter, size)
        scheduling_pass.record_load_start(engine, adapter)
        assert not scheduling_pass.is_unplaceable("models", adapter, size)

    run(scenario())


def test_waiting_requests_are_granted_once_prefill_capacity_frees_up(run):
    async def scenario():
        cell = full_cell()
        cell.add_ready_adapter("e0", "a1")
        for number in range(10):
            cell.request_slot(f"r{number}", "a1", goal=5000)
        await run_pending_tasks()
        assert not cell.granted()
        cell.clock.advance(timedelta(milliseconds=400))
        cell.owner.queue.process()
        assert cell.granted()

    run(scenario())
