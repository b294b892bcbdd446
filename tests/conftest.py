"""Fixtures that all tests share."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

RunAsync = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def run() -> RunAsync:
    """Run one coroutine to its end on an event loop of its own."""
    return asyncio.run
