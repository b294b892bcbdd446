"""Exchange of quotas between instances with fake peers, a failure at a time."""

import asyncio
import random
from datetime import timedelta

import pytest
from expression import Error, Ok

from magnoliatrail.accounts.account_share import Charge, ChargeSource, QuotaRefusal
from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.coordination import Coordinator, Ownership
from magnoliatrail.accounts.coordinator import QuotaCoordinator
from magnoliatrail.clock import SystemClock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import AccountName, CellId, InstanceId
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.peers import quota_records
from magnoliatrail.peers.quota_exchange import QuotaExchange
from magnoliatrail.peers.quota_records import QuotaRecords
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.wire import decode, encode

from .quota_fleet import account_of, terms_of

CELL = CellId("0")
ACCOUNT = account_of(1000.0, 1000.0)
# What the bucket of the account holds at most.
CAPACITY = terms_of(slack=8000.0).capacity(ACCOUNT.quota)


class Directory:
    """What one instance knows of the coordinator."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def coordinator_of(self, account):
        return self.coordinator(CELL)

    def coordinator(self, cell):
        if not self.fleet.has_cells:
            return None
        host = self.fleet.host
        return Coordinator(cell, host or "", host == self.name)

    def ownership(self, cell):
        if self.fleet.owner != self.name:
            return None
        now = self.fleet.clock.monotonic()
        known = {InstanceId(name): now for name in self.fleet.nodes}
        return Ownership(
            cell,
            self.fleet.ownership,
            self.fleet.may_grant,
            self.fleet.fresh,
            lambda: known,
        )

    def ownerships(self):
        ownership = self.ownership(CELL)
        return [ownership] if ownership else []


class Fleet:
    """Instances with real tasks and messages in memory."""

    def __init__(self, names=("a", "b"), account=ACCOUNT, slack=8000.0):
        self.accounts = {account.name: account}
        self.terms = terms_of(slack=slack)
        self.clock = SystemClock()
        self.nodes = {}
        self.host = self.owner = names[0]
        self.ownership = object()
        self.fresh = True
        self.may_grant = True
        self.has_cells = True
        # Instances that answer nothing, and how long answers take.
        self.silent = set()
        self.delay = 0.0
        self.lost_answers = 0
        self.messages = []
        self.runs = []
        for name in names:
            self.nodes[name] = self.new_node(name)

    def new_node(self, name):
        return QuotaExchange(
            clock=self.clock,
            metrics=RecordedMetrics(),
            peers=Peers(self),
            instance=InstanceId(name),
            incarnation=f"{name}-1",
            generator=random.Random(1),
            terms=self.terms,
            accounts=lambda: self.accounts,
            cells=Directory(self, name),
            tasks=PeriodicTasks(self.clock),
            urls=lambda: {
                other: f"http://{other}" for other in self.nodes if other != name
            },
        )

    def start(self):
        self.runs = [asyncio.create_task(node.run()) for node in self.nodes.values()]

    def begin_ownership(self, name):
        self.host = self.owner = name
        self.ownership = object()
        self.fresh = False

    async def admit(self, name, cost=10.0, *, wait=0.6, account=ACCOUNT, **fields):
        until = self.clock.monotonic() + timedelta(seconds=wait)
        node = self.nodes[name]
        return await node.admit(account, cost, priority=0, wait_until=until, **fields)

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)

    def fraction(self, name):
        return self.nodes[name].fractions().get("a", 0.0)

    async def end(self):
        tasks = [
            *self.runs,
            *(
                cell.task
                for node in self.nodes.values()
                for cell in node.cells.values()
                if cell.task
            ),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Peers:
    """Pass messages to the instances of a fleet, through their encoding."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def ask(self, url, message, answer_type, limits):
        name, _, path = url.removeprefix("http://").partition("/")
        self.fleet.messages.append(message)
        failure = Error(Failure(ErrorKind.PEER_UNAVAILABLE, f"{name} is silent"))
        if name in self.fleet.silent:
            await asyncio.sleep(limits.total.total_seconds())
            return failure
        routes = {route.path: route for route in self.fleet.nodes[name].peer_routes()}
        route = routes[f"/{path}"]
        received = decode(encode(message), route.message_type).ok
        answer = (await route.answer(received)).ok
        delay = min(self.fleet.delay, limits.total.total_seconds())
        await asyncio.sleep(delay)
        if self.fleet.delay > delay:
            return failure
        if self.fleet.lost_answers:
            self.fleet.lost_answers -= 1
            return failure
        return Ok(decode(encode(answer), answer_type).ok)


@pytest.fixture
def play(run):
    """Return a function that plays a scenario with a fleet, and ends its tasks."""

    def play_with(scenario, fleet=None):
        async def whole():
            playing = fleet or Fleet()
            playing.start()
            try:
                async with asyncio.timeout(20):
                    await scenario(playing)
            finally:
                await playing.end()

        run(whole())

    return play_with


def test_requests_are_admitted_here_and_at_other_instances(play):
    async def scenario(fleet):
        for name in ("a", "b"):
            outcome = await fleet.admit(name)
            assert isinstance(outcome, Charge)
            assert outcome.source is ChargeSource.COORDINATOR

    play(scenario)


def test_a_request_over_the_quota_gets_429_with_a_time_to_retry(play):
    async def scenario(fleet):
        assert isinstance(await fleet.admit("b", CAPACITY), Charge)
        outcome = await fleet.admit("b", 500.0)
        assert isinstance(outcome, QuotaRefusal)
        assert outcome.status == 429
        assert outcome.retry_after >= timedelta(milliseconds=250)

    play(scenario)


def test_instances_share_one_quota(play):
    async def scenario(fleet):
        outcomes = await asyncio.gather(
            *(fleet.admit(name, 100.0) for name in ("a", "b") * 50)
        )
        admitted = sum(isinstance(outcome, Charge) for outcome in outcomes)
        assert CAPACITY // 100 <= admitted <= CAPACITY // 100 + 2

    play(scenario)


def test_an_account_without_a_limit_asks_nobody(play):
    async def scenario(fleet):
        account = ClientAccount(AccountName("free"))
        outcome = await fleet.admit("b", 1e9, account=account)
        assert outcome.source is ChargeSource.UNLIMITED
        fleet.nodes["b"].give_back(outcome)
        assert not fleet.nodes["b"].cells

    play(scenario)


def test_without_a_known_cell_a_request_gets_503(play):
    async def scenario(fleet):
        fleet.has_cells = False
        outcome = await fleet.admit("b")
        assert outcome.status == 503

    play(scenario)


def test_while_no_coordinator_ever_answered_a_request_gets_503_at_its_time(play):
    async def scenario(fleet):
        fleet.silent.add("a")
        began = fleet.clock.monotonic()
        outcome = await fleet.admit("b", wait=0.3)
        assert outcome.status == 503
        assert fleet.clock.monotonic() - began < timedelta(seconds=0.5)

    play(scenario)


def test_a_silent_coordinator_leaves_the_fraction_to_the_instance(play):
    async def scenario(fleet):
        await fleet.admit("b")
        await fleet.until(lambda: fleet.fraction("b") == 1.0)
        fleet.silent.add("a")
        await asyncio.sleep(0.8)
        outcome = await fleet.admit("b")
        assert outcome.source is ChargeSource.FALLBACK
        fleet.silent.clear()
        cell = fleet.nodes["b"].cells[CELL]
        await fleet.until(lambda: not cell.shares.is_silent(fleet.clock.monotonic()))
        outcome = await fleet.admit("b")
        assert outcome.source is ChargeSource.COORDINATOR

    play(scenario)


def test_a_coordinator_that_may_not_grant_counts_as_silent(play):
    # A coordinator that was frozen past the end of its lease.
    async def scenario(fleet):
        await fleet.admit("b")
        fleet.may_grant = False
        outcome = await fleet.admit("b", wait=0.3)
        assert outcome.status == 503

    play(scenario)


def test_a_lost_answer_costs_the_account_nothing(play):
    async def scenario(fleet):
        await fleet.admit("b", 1.0)
        fleet.lost_answers = 1
        assert isinstance(await fleet.admit("b", 900.0), Charge)

    play(scenario)


def test_an_answer_after_the_timeout_is_unused(play):
    async def scenario(fleet):
        await fleet.admit("b", 1.0)
        fleet.delay = 0.6
        assert (await fleet.admit("b", 900.0, wait=0.6)).status == 503
        fleet.delay = 0.0
        assert isinstance(await fleet.admit("b", 900.0), Charge)

    play(scenario)


def test_a_changed_coordinator_hears_of_all_instances_before_it_grants(play):
    async def scenario(fleet):
        await fleet.admit("b")
        fleet.begin_ownership("b")
        coordination = fleet.nodes["b"].coordination
        await fleet.until(lambda: CELL in coordination.coordinators)
        coordinator = coordination.coordinators[CELL][1]
        assert isinstance(coordinator, QuotaCoordinator)
        await fleet.until(lambda: coordinator.complete_from is not None)
        await asyncio.sleep(0.6)
        assert isinstance(await fleet.admit("b"), Charge)
        assert CELL not in fleet.nodes["a"].coordination.coordinators

    play(scenario)


def test_the_state_of_a_coordinator_ends_with_its_ownership(play):
    async def scenario(fleet):
        await fleet.admit("b", 1000.0)
        coordination = fleet.nodes["a"].coordination
        before = coordination.coordinators[CELL][1]
        fleet.begin_ownership("a")
        await fleet.until(lambda: coordination.coordinators[CELL][1] is not before)
        assert coordination.coordinators[CELL][1].began_at > before.began_at

    play(scenario)


def test_an_instance_that_ends_gives_up_its_fractions(play):
    async def scenario(fleet):
        await fleet.admit("b")
        await fleet.until(lambda: fleet.fraction("b") == 1.0)
        await fleet.nodes["b"].leave()
        coordinator = fleet.nodes["a"].coordination.coordinators[CELL][1]
        assert "b" not in coordinator.instances
        assert fleet.messages[-1].leaving

    play(scenario)


def test_a_caller_that_left_gives_its_charge_back(play):
    async def scenario(fleet):
        await fleet.admit("b", 1.0)
        fleet.delay = 0.1
        task = asyncio.create_task(fleet.admit("b", 900.0))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        fleet.delay = 0.0
        await asyncio.sleep(0.1)
        assert isinstance(await fleet.admit("b", 900.0), Charge)

    play(scenario)


def test_a_charge_given_back_long_after_is_returned_to_the_coordinator(play):
    async def scenario(fleet):
        slow = account_of(1.0, 1000.0)
        fleet.accounts["a"] = slow
        charge = await fleet.admit("b", 1000.0, account=slow)
        await asyncio.sleep(0.7)
        fleet.nodes["b"].give_back(charge)
        await fleet.until(
            lambda: any(
                demand.returned
                for message in fleet.messages
                for demand in getattr(message, "accounts", [])
            )
        )
        # Less than it lacks is refilled meanwhile.
        await asyncio.sleep(0.05)
        coordinator = fleet.nodes["a"].coordination.coordinators[CELL][1]
        assert coordinator.accounts["a"].ledger.level > 100

    play(scenario)


def test_without_accounts_no_message_is_sent_and_none_is_answered(play):
    async def scenario(fleet):
        fleet.accounts = None
        await asyncio.sleep(0.5)
        assert not fleet.messages
        assert not fleet.nodes["a"].coordination.coordinators

    play(scenario)


def test_an_unknown_account_does_not_keep_the_exchange_busy(play):
    # The coordinator has an older configuration than the instance that asks.
    async def scenario(fleet):
        unknown = account_of(1000.0, 1000.0, name="new")
        assert (await fleet.admit("b", account=unknown, wait=0.5)).status == 503
        assert len(fleet.messages) <= 20

    play(scenario)


def refusal():
    return QuotaRefusal(429, "the account's quota is used up", timedelta(seconds=1))


def test_at_most_20_refusals_a_second_are_logged_and_the_rest_are_counted(monkeypatch):
    # Load: one account far over its limit.
    events = []
    monkeypatch.setattr(
        quota_records.log, "info", lambda event, **pairs: events.append((event, pairs))
    )
    monkeypatch.setattr(
        quota_records.log,
        "warning",
        lambda event, **pairs: events.append((event, pairs)),
    )
    records = QuotaRecords(RecordedMetrics())
    now = timedelta(seconds=7)
    for number in range(50):
        records.record("a", 1.0, refusal(), request=f"r{number}", now=now)
    assert len(events) == 20
    assert events[0][1]["request"] == "r0"
    records.record("a", 1.0, refusal(), request="later", now=timedelta(seconds=8))
    assert events[20][0] == "quota_refusals_omitted"
    assert events[20][1]["lines"] == 30


def test_metrics_name_the_200_busiest_accounts_and_sum_up_the_rest():
    # Load: a few hundred active accounts.
    metrics = RecordedMetrics()
    records = QuotaRecords(metrics)
    records.publish({}, timedelta(seconds=1))
    for number in range(300):
        charge = Charge(f"a{number}", number, ChargeSource.COORDINATOR, timedelta())
        records.record(f"a{number}", number, charge, request="", now=timedelta())
    records.publish({"a299": 0.5}, timedelta(seconds=2))
    assert len(metrics.gauges) == 3 * 201
    assert metrics.gauges["quota_used.(other)"] == [sum(range(100))]
    assert metrics.gauges["quota_used.a299"] == [299]
    assert metrics.gauges["quota_share.a299"] == [0.5]
    records.publish({}, timedelta(seconds=3))
    assert not metrics.gauges
