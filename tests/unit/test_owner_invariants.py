"""Random events never evict an adapter in use, overfill an engine or lose a request."""

import asyncio
from datetime import timedelta

from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.clock import ManualClock
from magnoliatrail.engines.load_scheduler import LoadRules, LoadScheduler
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import PermitRequest, RequestClass
from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.placement.load_queue import ClassWeights
from magnoliatrail.placement.load_rate_limiter import LoadLimits
from magnoliatrail.standins.engine import EngineLimits, FakeEngine, Refused

SLOTS = 2
STEP = timedelta(milliseconds=250)
DEADLINE_SECONDS = 20.0
ENGINE = ListedInstance(
    id="engine",
    kind=ListedKind.ENGINE,
    name="base",
    url="",
    failure_domain="domain-0",
    state=ListedState.LIVE,
)


class DirectClient:
    """Send orders to an engine stand-in without a network."""

    def __init__(self, engine):
        self.engine = engine
        self.overfilled = 0

    async def load(self, handle, model, fencing_number):
        try:
            await self.engine.load(handle, str(model), fencing_number)
        except Refused as refused:
            self.overfilled += refused.refusal.code == "no_free_slot"
            return Error(Failure(ErrorKind.LOAD_FAILED, refused.refusal.code))
        return Ok(None)

    async def unload(self, handle, fencing_number):
        self.engine.unload(handle, fencing_number)
        return Ok(None)

    async def report(self):
        return Ok(self.engine.fresh_report())


class OwnerRig:
    """One owner, one permit holder and one engine on a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        limits = EngineLimits(adapter_slots=SLOTS)
        self.engine = FakeEngine(self.clock, limits, self.fetch)
        self.client = DirectClient(self.engine)
        self.holder = PermitHolder()
        self.draining = False
        rules = LoadRules(LoadLimits(4.0, 1, 4), ClassWeights(), 1)
        self.owner = EngineOwner(
            listed=ENGINE,
            fencing_number=1,
            client=self.client,
            recall=self.recall,
            clock=self.clock,
            metrics=NoMetrics(),
            loads=LoadScheduler(
                clock=self.clock,
                metrics=NoMetrics(),
                rules=lambda: rules,
                acquire_rate_token=self.acquire_rate_token,
            ),
        )
        self.waiting = []
        self.running = []
        self.asked = 0
        self.answered = 0

    async def fetch(self, source):
        await self.clock.sleep(STEP)

    async def acquire_rate_token(self, value):
        await self.clock.sleep(STEP)
        return True

    async def recall(self, holder, recall):
        return self.holder.recall(recall).state

    def ask(self, number, request_class):
        self.asked += 1
        request = PermitRequest(
            holder="holder",
            engine="engine",
            adapter=f"adapter-{number}",
            version="1",
            request_id=f"req-{self.asked}",
            request_class=request_class,
            waiting=1,
            deadline_seconds=DEADLINE_SECONDS,
            rate=0.0,
            caller="caller",
        )
        self.waiting.append(asyncio.create_task(self.owner.permit(request)))

    def collect(self):
        for task in [task for task in self.waiting if task.done()]:
            self.waiting.remove(task)
            self.answered += 1
            if task.result().is_ok():
                self.run(task.result().ok)

    def run(self, grant):
        permit = self.holder.put(grant)
        adapter = self.engine.loaded.get(permit.handle)
        if adapter is None:
            self.holder.drop(permit)
            return
        adapter.running += 1
        permit.in_flight += 1
        self.running.append((permit, adapter))

    def end_one(self):
        if self.running:
            permit, adapter = self.running.pop(0)
            permit.in_flight -= 1
            adapter.running -= 1

    async def advance(self):
        self.clock.advance(STEP)
        for _ in range(12):
            await asyncio.sleep(0)
            self.collect()

    async def act(self, action):
        name, number, request_class = action
        if name == "ask" and not self.draining:
            self.ask(number, request_class)
        elif name == "end":
            self.end_one()
        elif name == "fail":
            self.engine.faults.fail_loads += 1
        elif name == "restart":
            self.engine.restart()
            await self.owner.refresh()
        elif name == "drain":
            self.draining = True
        await self.advance()
        self.check()

    def check(self):
        assert not self.engine.violations
        assert not self.client.overfilled
        taken = len(self.engine.loaded) + len(self.engine.loading)
        assert taken <= SLOTS
        assert self.asked == self.answered + len(self.waiting)

    async def finish(self):
        for _ in range(400):
            if not self.waiting:
                break
            self.end_one()
            await self.advance()
            self.check()
        assert not self.waiting, "a waiting request was lost"


actions = st.tuples(
    st.sampled_from(["ask"] * 6 + ["end", "end", "wait", "fail", "restart", "drain"]),
    st.integers(0, 5),
    st.sampled_from(RequestClass),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(actions, max_size=40))
def test_owner_invariants_hold(sequence):
    async def scenario():
        rig = OwnerRig()
        await rig.owner.refresh()
        for action in sequence:
            await rig.act(action)
        await rig.finish()

    asyncio.run(scenario())
