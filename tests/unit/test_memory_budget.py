"""The budget of the memory that a process holds for its clients."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from magnoliatrail.memory_budget import HeldKind, Holding, MemoryBudget, budget_of

SIZE = 1000
KINDS = st.sampled_from(HeldKind)
SIZES = st.integers(0, 500)
CLIENTS = (HeldKind.BODIES, HeldKind.REQUESTS, HeldKind.ANSWERS)


class BudgetMachine(RuleBasedStateMachine):
    """Holdings that open, grow, change their purpose and close in any order."""

    holdings = Bundle("holdings")

    def __init__(self):
        super().__init__()
        self.budget = MemoryBudget(SIZE)
        self.opened = []

    @rule(target=holdings, kind=KINDS)
    def open(self, kind):
        self.opened.append(Holding(self.budget, kind))
        return self.opened[-1]

    @rule(holding=holdings, size=SIZES, spare=SIZES)
    def grow(self, holding, size, spare):
        room = self.budget.room(holding.kind)
        assert holding.try_grow(size, spare=spare) == (size + spare <= room)

    @rule(holding=holdings, size=SIZES)
    def shrink(self, holding, size):
        if size <= holding.size:
            holding.shrink(size)
        else:
            with pytest.raises(ValueError, match="bytes are held"):
                holding.shrink(size)

    @rule(holding=holdings, kind=KINDS)
    def commit(self, holding, kind):
        before = holding.kind
        moved = holding.commit(kind)
        assert holding.kind is (kind if moved else before)
        if (before, kind) == (HeldKind.BODIES, HeldKind.REQUESTS):
            assert moved

    @rule(holding=consumes(holdings))
    def close(self, holding):
        holding.close()
        holding.close()

    @invariant()
    def nothing_is_negative_or_exceeded(self):
        held = self.budget.held
        assert min(held.values(), default=0) >= 0
        assert held[HeldKind.BODIES] <= SIZE * 0.4
        assert sum(held[kind] for kind in CLIENTS) <= SIZE * 0.8
        assert held[HeldKind.MESSAGES] <= SIZE * 0.2
        for kind in HeldKind:
            holders = [item.size for item in self.opened if item.kind is kind]
            assert held[kind] == sum(holders)

    def teardown(self):
        for holding in self.opened:
            holding.close()
        assert not any(self.budget.held.values())


BudgetMachine.TestCase.settings = settings(max_examples=200, derandomize=True)
TestBudget = BudgetMachine.TestCase


def test_the_smallest_machine_has_50_megabytes():
    assert budget_of(200).size == 50_000_000


def test_a_holding_gives_back_what_it_holds_when_its_request_fails():
    budget = MemoryBudget(SIZE)
    with pytest.raises(RuntimeError), Holding(budget, HeldKind.ANSWERS) as holding:
        assert holding.try_grow(300)
        raise RuntimeError("the request fails")
    assert not budget.held[HeldKind.ANSWERS]


def test_what_waits_is_told_of_each_release():
    budget, rooms = MemoryBudget(SIZE), []
    budget.released.append(lambda: rooms.append(budget.room(HeldKind.MESSAGES)))
    holding = Holding(budget, HeldKind.MESSAGES)
    assert holding.try_grow(200)
    holding.close()
    assert rooms == [200]


def test_more_than_is_held_cannot_be_released():
    budget = MemoryBudget(SIZE)
    assert budget.try_reserve(HeldKind.BODIES, 10)
    with pytest.raises(ValueError, match="once"):
        budget.release(HeldKind.BODIES, 11)
    with pytest.raises(ValueError, match="at least 0"):
        budget.try_reserve(HeldKind.BODIES, -1)
    with pytest.raises(ValueError, match="closed"):
        closed = Holding(budget, HeldKind.BODIES)
        closed.close()
        closed.try_grow(1)
