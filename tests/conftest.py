"""Fixtures and hooks for all tests."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from xdist.remote import Producer
from xdist.scheduler import LoadScopeScheduling

from tests.groups import GroupScheduling
from tests.known_red import known_red

RunAsync = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def run() -> RunAsync:
    """Return a function that runs a coroutine on a new event loop."""
    return asyncio.run


def pytest_xdist_auto_num_workers() -> int:
    """Return half of the cores, as many tests start processes of their own."""
    return max(1, (os.cpu_count() or 1) // 2)


def pytest_xdist_make_scheduler(
    config: pytest.Config, log: Producer
) -> LoadScopeScheduling:
    """Return the scheduler of the workers."""
    return GroupScheduling(config, log)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark exactly the known red tests as expected failures."""
    reds = {entry.test: entry for entry in known_red()}
    for item in items:
        entry = reds.get(item.nodeid)
        if entry:
            reason = f"issue {entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """List the known red tests in the summary."""
    for entry in known_red():
        terminalreporter.write_line(f"known red: {entry.test} ({entry.seen})")
