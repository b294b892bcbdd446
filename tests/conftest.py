"""Fixtures that all tests share."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tests.known_red import known_red

RunAsync = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def run() -> RunAsync:
    """Run one coroutine to its end on an event loop of its own."""
    return asyncio.run


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the known red tests to fail, and no others."""
    reds = {entry.test: entry for entry in known_red()}
    for item in items:
        entry = reds.get(item.nodeid)
        if entry:
            reason = f"issue {entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Name the known red tests."""
    for entry in known_red():
        terminalreporter.write_line(f"known red: {entry.test} ({entry.seen})")
