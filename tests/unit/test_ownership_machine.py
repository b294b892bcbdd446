"""Random histories of pauses, false suspicions, lost answers and late orders."""

import asyncio
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from magnoliatrail.engines.owner import SlotState
from magnoliatrail.generated.membership import MemberState

from .network_harness import MODELS, NAMES, Network

EVENTS_IN_BURST = 10


EVENTS = (
    ["request"] * 6
    + ["end_request"] * 4
    + ["evict", "wake", "late_unload", "pause_before_an_unload"] * 2
    + ["pause", "suspect_falsely", "table_outage", "lose_an_answer"]
    + ["leave_engines", "restart_engine"]
)


class OwnershipMachine(RuleBasedStateMachine):
    """Check that no instance's orders break a request of another instance."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.network = None
        self.running = []
        self.pending_unloads = []

    def do(self, work):
        return self.loop.run_until_complete(self.network.drive(work))

    def node(self, name):
        return self.network.nodes[name]

    @initialize(checks_fencing=st.booleans())
    def start(self, checks_fencing):
        self.network = Network(NAMES, checks_fencing=checks_fencing)
        self.do(self.network.join_all())

    @rule(seed=st.integers(0, 2**32 - 1))
    def burst(self, seed):
        """Run some events, drawn evenly instead of by Hypothesis."""
        generator = random.Random(seed)
        for _ in range(EVENTS_IN_BURST):
            self.step(generator)

    def step(self, generator):
        name, other = generator.choice(NAMES), generator.choice(NAMES)
        model, pick = generator.choice(MODELS[:2]), generator.randrange(4)
        events = {
            "request": lambda: self.request(name, model),
            "end_request": lambda: self.end_request(pick),
            "evict": lambda: self.evict(name),
            "pause_before_an_unload": lambda: self.pause_before_an_unload(pick),
            "late_unload": self.late_unload,
            "pause": lambda: self.pause(name),
            "wake": lambda: self.wake(name),
            "suspect_falsely": lambda: self.suspect_falsely(name, other),
            "table_outage": self.table_outage,
            "lose_an_answer": self.lose_an_answer,
            "leave_engines": lambda: self.leave_engines(name),
            "restart_engine": self.restart_engine,
        }
        events[generator.choice(EVENTS)]()

    def request(self, name, model):
        node = self.node(name)
        if node.paused:
            return
        permit = self.do(node.permit(model))
        if permit:
            request = self.do(self.dispatch(node, permit))
            if request:
                self.running.append(request)

    async def dispatch(self, node, permit):
        request = self.network.start_request(node, permit)
        await self.network.run_ready_tasks()
        return request

    def end_request(self, pick):
        if self.running:
            request = self.running.pop(pick % len(self.running))
            self.do(self.network.end_request(request))

    def evict(self, name):
        node = self.node(name)
        if node.owner and not node.paused:
            self.do(node.owner.free_slot())

    def pause_before_an_unload(self, pick):
        """Pause an owner between the recall of all permits and its unload."""
        owners = [
            (node, node.owner)
            for node in self.network.nodes.values()
            if node.owner and not node.paused and not node.owner.closed
        ]
        idle = [
            (node, owner, slot)
            for node, owner in owners
            for slot in owner.slots.values()
            if slot.state is SlotState.LOADED and not slot.needs_idle_report
        ]
        if not idle:
            return
        node, owner, slot = idle[pick % len(idle)]
        slot.state = SlotState.EVICTING
        if self.do(owner.recall_all(slot)):
            node.paused = True
            self.pending_unloads.append((node, owner, slot))
            self.suspect_paused()
        else:
            slot.state = SlotState.LOADED

    def late_unload(self):
        """Send a paused owner's unload before it checks its ownership."""
        if not self.pending_unloads:
            return
        node, owner, slot = self.pending_unloads.pop()
        result = self.do(owner.client.unload(slot.handle, owner.fencing_number))
        if result.is_ok():
            owner.slots.pop(slot.model, None)
        else:
            slot.state = SlotState.UNCONFIRMED
        self.resume(node)

    def pause(self, name):
        self.node(name).paused = True
        self.suspect_paused()

    def suspect_paused(self):
        """Declare the paused instances gone at every running one."""
        for node in self.network.nodes.values():
            members = node.coordination.fleet.members
            for other in self.network.nodes.values():
                record = members.get(other.name)
                if record and other.paused and not node.paused:
                    members.declare_gone(record)
        self.do(self.network.gossip())

    def wake(self, name):
        if not any(node is self.node(name) for node, _, _ in self.pending_unloads):
            self.resume(self.node(name))

    def resume(self, node):
        if node.paused:
            node.paused = False
            self.do(node.coordination.refresh_after_pause())

    def suspect_falsely(self, name, observer):
        """Declare a running instance gone at another one."""
        if name == observer or self.node(observer).paused:
            return
        members = self.node(observer).coordination.fleet.members
        record = members.get(name)
        if record:
            members.declare_gone(record)
        self.do(self.network.gossip())

    def gossip(self):
        self.do(self.network.gossip())

    def lose_an_answer(self):
        self.network.table.faults.lose_answers = 1

    def table_outage(self):
        self.network.table.faults.down = True
        self.do(self.network.gossip())
        self.network.table.faults.down = False

    def leave_engines(self, name):
        """Cancel a planned exit after the handover."""
        node = self.node(name)
        if not node.paused:
            self.do(node.coordination.hand_over_engines())
            node.coordination.fleet.members.publish(state=MemberState.LIVE)
            self.do(self.network.gossip())

    def restart_engine(self):
        """Restart the engine, which unloads its adapters and ends its requests."""
        for _, permit in self.running:
            permit.in_flight -= 1
        self.running.clear()
        self.network.engine.restart()
        self.do(self.network.gossip())

    @invariant()
    def no_request_is_broken(self):
        if self.network:
            assert self.network.engine.violations == []

    @invariant()
    def open_owners_have_distinct_fencing_numbers(self):
        """No two owners that may send orders have the same fencing number."""
        if self.network is None:
            return
        numbers = [
            node.owner.fencing_number
            for node in self.network.nodes.values()
            if node.owner and not node.owner.closed
        ]
        assert len(numbers) == len(set(numbers))

    def teardown(self):
        if self.network:
            self.do(self.network.close())
        self.loop.close()


OwnershipMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=8, deadline=None, derandomize=True
)
TestOwnership = OwnershipMachine.TestCase
