"""Engines that name a limit of requests a second, under the owner of their cell."""

from magnoliatrail.generated.cells import SlotDecision
from tests.load.cell import Cell, report_ended

WINDOW_MS = 4000
STEP_MS = 50


def allowed(limit):
    """Return how many requests a server with a limit may get within a window."""
    return 1.5 * limit * WINDOW_MS / 1000 + 5


def set_limit(cell, engine, limit):
    """Let an engine name a limit, or none."""
    cell.owner.view.request_limits.record((engine, 1), limit)


async def play(cell, seconds, *, every_ms, names="r"):
    """Request slots steadily; let each request run for half a second."""
    asked, granted_at, answers = {}, {}, {}
    for step in range(int(seconds * 1000 / STEP_MS)):
        now_ms = step * STEP_MS
        if now_ms % every_ms == 0:
            name = f"{names}{step}"
            asked[name] = cell.request_slot(name, "a1" if step % 2 else "", tokens=100)
        await cell.pass_time(STEP_MS)
        for name, engine in cell.granted().items():
            granted_at.setdefault(name, (now_ms, engine))
        for name, (at, engine) in granted_at.items():
            if name not in answers and now_ms - at >= 500:
                answers[name] = engine
                report_ended(cell, name, engine)
    ended = [task for task in asked.values() if task.done()]
    for task in asked.values():
        task.cancel()
    return granted_at, [task.result() for task in ended]


def most_in_window(granted_at, engine):
    times = [at for at, name in granted_at.values() if name == engine]
    windows = (sum(at <= other < at + WINDOW_MS for other in times) for at in times)
    return max(windows, default=0)


# Guards against an owner that grants an engine more slots than the limit it named.
def test_what_exceeds_an_engines_limit_goes_to_the_others(run):
    async def scenario():
        cell = Cell(engines=3)
        set_limit(cell, "e0", 1.5)
        granted_at, answers = await play(cell, 12, every_ms=100)
        assert most_in_window(granted_at, "e0") <= allowed(1.5)
        assert any(engine == "e0" for _, engine in granted_at.values())
        assert len(granted_at) >= 115
        assert not any(item.state is SlotDecision.REFUSED for item in answers)

    run(scenario())


def test_requests_over_the_limits_of_all_engines_are_refused_early(run):
    async def scenario():
        cell = Cell(engines=2)
        for engine in ("e0", "e1"):
            set_limit(cell, engine, 2.0)
        granted_at, answers = await play(cell, 12, every_ms=50)
        for engine in ("e0", "e1"):
            assert most_in_window(granted_at, engine) <= allowed(2.0)
        refused = [item for item in answers if item.state is SlotDecision.REFUSED]
        # 20 requests a second, of which 4 may be sent.
        assert len(refused) > len(answers) / 2
        assert len(granted_at) >= 0.8 * 4 * 12

    run(scenario())


def test_a_limit_ends_when_the_engine_names_none_any_more(run):
    async def scenario():
        cell = Cell(engines=1)
        set_limit(cell, "e0", 1.0)
        limited, _ = await play(cell, 4, every_ms=200, names="l")
        set_limit(cell, "e0", None)
        free, _ = await play(cell, 4, every_ms=200, names="f")
        assert len(limited) <= 6
        assert len([name for name in free if name.startswith("f")]) >= 19

    run(scenario())
