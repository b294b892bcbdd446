"""Hundreds of instances start together: one discovers the engines, the rest wait."""

import asyncio
import json
import random
from datetime import timedelta

from magnoliatrail.cells.fleet_cells import FleetCells
from magnoliatrail.cells.fleet_layout import LAYOUT_KEY
from magnoliatrail.cells.lease import Identity
from magnoliatrail.clock import ManualClock
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.platform.protocol import CELLS_TABLE
from tests.load.cell import run_pending_tasks
from tests.platform.fake_store import FakeRows

INSTANCES = 195
STEP = timedelta(milliseconds=20)


class Member:
    """A membership that only counts."""

    should_read_row = False

    def start(self):
        pass

    def apply_rows(self, read):
        pass


class Fleet:
    """Instances that start within a short time of each other."""

    def __init__(self, count=INSTANCES):
        self.clock, self.store = ManualClock(), FakeRows()
        self.store.clock = self.clock
        self.engines = 0
        self.cells = [self.new_cells(number) for number in range(count)]
        self.tasks = [asyncio.create_task(item.watch_rows()) for item in self.cells]

    def new_cells(self, number):
        view = FleetView(self.clock)
        view.engines = lambda: [None] * self.engines
        cells = FleetCells(
            clock=self.clock,
            store=self.store.client(),
            view=view,
            generator=random.Random(number),
            new_member=lambda cell, cells: Member(),
            max_update_age=timedelta(seconds=2),
            identity=Identity(f"i{number}", f"i{number}-1", f"i{number}:1"),
            first_start=True,
        )
        cells.wait_for_doubt = asyncio.Event().wait
        return cells

    async def pass_time(self, seconds):
        until = self.clock.monotonic() + timedelta(seconds=seconds)
        while self.clock.monotonic() < until:
            self.clock.advance(STEP)
            await run_pending_tasks()

    def stop(self):
        for task in self.tasks:
            task.cancel()


def test_the_store_gets_a_few_calls_an_instance_until_the_layout_is_known(run):
    async def scenario():
        fleet = Fleet()
        await fleet.pass_time(1)
        fleet.engines = 40
        await fleet.pass_time(1)
        fleet.engines = 62
        await fleet.pass_time(4)
        assert all(len(item.members) == 4 for item in fleet.cells)
        assert sum(item.layout.discovers for item in fleet.cells) == 1
        assert fleet.store.calls < 600
        fleet.stop()

    run(scenario())


def test_another_instance_discovers_the_engines_if_the_first_one_stops(run):
    async def scenario():
        fleet = Fleet(count=5)
        await fleet.pass_time(1)
        first = next(item for item in fleet.cells if item.layout.discovers)
        fleet.tasks[fleet.cells.index(first)].cancel()
        fleet.engines = 16
        await fleet.pass_time(60)
        others = [item for item in fleet.cells if item is not first]
        assert all(item.members for item in others)
        value, _ = fleet.store.rows[CELLS_TABLE, LAYOUT_KEY]
        assert json.loads(value) == {"cells": 1}
        fleet.stop()

    run(scenario())


def test_only_the_discovering_instance_reads_the_tables_of_a_starting_fleet(run):
    async def scenario():
        fleet = Fleet(count=20)
        await fleet.pass_time(2)
        due = [item.read_due_in(timedelta.max) <= timedelta() for item in fleet.cells]
        assert sum(due) == 1
        fleet.stop()

    run(scenario())
