import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from magnoliatrail.clock import SystemClock
from magnoliatrail.config import store as store_module
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.config.propagation import ConfigurationPropagation, PropagationLinks
from magnoliatrail.config.store import HEAD_KEY, REVISION_KEY, ConfigurationStore
from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.configuration import (
    Change,
    ChangeKind,
    Configuration,
    ConfigurationEdit,
)
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.standins.table import FakeTable
from magnoliatrail.wire import decode


class NoWaitClock(SystemClock):
    async def sleep(self, duration):
        await asyncio.sleep(0)


def set_queue(value, edit_id, expected=None):
    change = Change(
        kind=ChangeKind.SET_DEFAULT, setting="queue_per_caller", value=str(value)
    )
    return ConfigurationEdit(
        edit_id=edit_id,
        author="op",
        time="t",
        expected_revision=expected,
        change=change,
    )


def new_store():
    table = FakeTable()
    return table, ConfigurationStore(table, NoWaitClock())


def test_an_accepted_edit_raises_the_revision(run):
    table, store = new_store()
    assert run(store.edit(set_queue(5, "a"))).ok.revision == 1
    assert run(store.read()).ok.defaults.queue_per_caller == 5


def test_a_racing_edit_gets_a_conflict_that_lists_the_changes(run):
    table, store = new_store()
    run(store.edit(set_queue(5, "a", expected=0)))
    failure = run(store.edit(set_queue(6, "b", expected=0))).error
    assert failure.kind is ErrorKind.CONFLICT
    assert "set queue_per_caller to 5" in failure.message


def test_an_edit_with_a_lost_answer_is_found_by_its_id(run):
    table, store = new_store()
    table.faults.lose_answers = 1
    assert run(store.edit(set_queue(5, "a"))).ok.revision == 1
    assert run(store.read()).ok.revision == 1


def test_a_lost_answer_before_an_outage_gives_an_unknown_outcome(run):
    table, store = new_store()
    table.faults.lose_answers = 1

    async def scenario():
        transact = table.transact

        async def lose_then_fail(transaction):
            result = await transact(transaction)
            table.faults.down = True
            return result

        table.transact = lose_then_fail
        return await store.edit(set_queue(5, "a"))

    failure = run(scenario()).error
    assert failure.kind is ErrorKind.TABLE_OUTCOME_UNKNOWN


def test_a_repeated_edit_is_accepted_once(run):
    table, store = new_store()
    run(store.edit(set_queue(5, "a")))
    run(store.edit(set_queue(6, "b")))
    assert run(store.edit(set_queue(5, "a"))).ok.revision == 1
    assert run(store.read()).ok.defaults.queue_per_caller == 6


def test_concurrent_edits_are_all_accepted_in_some_order(run):
    table, store = new_store()

    async def scenario():
        edits = [store.edit(set_queue(n + 1, f"e{n}")) for n in range(4)]
        return await asyncio.gather(*edits)

    revisions = sorted(result.ok.revision for result in run(scenario()))
    assert revisions == [1, 2, 3, 4]


def test_the_history_is_bounded(run, monkeypatch):
    monkeypatch.setattr(store_module, "MAX_HISTORY_REVISIONS", 3)
    table, store = new_store()
    for number in range(8):
        run(store.edit(set_queue(number + 1, f"e{number}")))
    kept = [key for key in table.rows if key not in (HEAD_KEY, REVISION_KEY)]
    assert len(kept) == 2 * 3


def test_the_revision_can_be_read_without_the_document(run):
    table, store = new_store()
    assert run(store.read_revision()).ok == 0
    run(store.edit(set_queue(5, "a")))
    run(store.edit(set_queue(6, "b")))
    assert run(store.read_revision()).ok == run(store.read()).ok.revision == 2


def test_a_poll_reads_the_document_only_when_it_changed(run):
    table, store = new_store()
    in_force = ConfigurationInForce(NoWaitClock())
    links = PropagationLinks(push_targets=list, all_peers=list, push=None, fetch=None)
    propagation = ConfigurationPropagation(
        instance="one",
        store=store,
        in_force=in_force,
        links=links,
        metrics=NoMetrics(),
    )
    run(store.edit(set_queue(5, "a")))
    run(propagation.start())
    reads = table.reads
    run(propagation.poll())
    assert table.reads == reads + 1
    run(store.edit(set_queue(6, "b")))
    run(propagation.poll())
    assert in_force.configuration.defaults.queue_per_caller == 6


def test_the_revision_in_force_never_decreases():
    in_force = ConfigurationInForce(NoWaitClock())
    newer = Configuration(
        revision=2,
        edit_id="b",
        defaults=in_force.configuration.defaults,
        exceptions=[],
    )
    assert in_force.apply_if_newer(newer)
    older = Configuration(
        revision=1, edit_id="a", defaults=newer.defaults, exceptions=[]
    )
    assert not in_force.apply_if_newer(older)
    assert in_force.revision == 2


class EditsUnderFaults(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.table, self.store = new_store()
        self.in_force = ConfigurationInForce(NoWaitClock())
        self.accepted = {}
        self.unknown = set()
        self.count = 0

    @rule(lose=st.integers(0, 3), expect_latest=st.booleans())
    def edit(self, lose, expect_latest):
        self.count += 1
        edit_id = f"e{self.count}"
        expected = self.in_force.revision if expect_latest else None
        self.table.faults.lose_answers = lose
        result = asyncio.run(self.store.edit(set_queue(self.count, edit_id, expected)))
        self.table.faults.lose_answers = 0
        if result.is_ok():
            self.accepted[result.ok.revision] = self.count
        elif result.error.kind is ErrorKind.TABLE_OUTCOME_UNKNOWN:
            self.unknown.add(self.count)

    @rule()
    def outage(self):
        self.table.faults.down = True

    @rule()
    def recovery(self):
        self.table.faults.down = False

    @rule()
    def poll(self):
        result = asyncio.run(self.store.read())
        if result.is_ok():
            self.in_force.apply_if_newer(result.ok)

    @invariant()
    def the_head_is_the_last_accepted_edit(self):
        row = self.table.rows.get(HEAD_KEY)
        head = decode(row.value.encode(), Configuration).ok if row else None
        revision = head.revision if head else 0
        assert self.in_force.revision <= revision
        if self.accepted:
            assert revision >= max(self.accepted)
        if revision in self.accepted:
            assert head.defaults.queue_per_caller == self.accepted[revision]
        elif head:
            assert head.defaults.queue_per_caller in self.unknown


EditsUnderFaults.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
TestEditsUnderFaults = EditsUnderFaults.TestCase
