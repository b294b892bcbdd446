"""The platform's store and the rows in it, on the project's own stand-in."""

import asyncio
import time
from typing import Any

from magnoliatrail.listeners import listen
from magnoliatrail.standins.row_store import RowStoreState, row_store_application

HEARTBEAT_SECONDS = 1.2


class Platform:
    """The store, with the operator's configuration and the rows of servers."""

    def __init__(self) -> None:
        self.store = RowStoreState()
        self.listener = listen(row_store_application(self.store), host="127.0.0.1")
        self.address = f"127.0.0.1:{self.listener.port}"

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration."""
        self.store.put_json("op", "config", configuration)

    def list_server(self, name: str, row: dict[str, Any]) -> None:
        """Write a server's row."""
        self.store.put_json("servers", name, row)

    def remove_server(self, name: str) -> None:
        """Remove a server's row."""
        self.store.put("servers", name, None)


def route(
    name: str, kind: str, service: str, timeout_ms: int, goal_ms: int, **more: Any
) -> dict[str, Any]:
    """Return a route of the host `app.example` below the prefix of its name."""
    return {
        "name": name,
        "host": "app.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "latency_goal_ms": goal_ms,
        "priority": 1,
        "attempts": 1,
        **more,
    }


def limits() -> dict[str, int]:
    """Return the limits of a configuration."""
    return {
        "body_bytes": 4_194_304,
        "header_bytes": 16_384,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }


def unix_ms() -> int:
    """Return the time of day in milliseconds."""
    return int(time.time() * 1000)


async def until(condition: Any, seconds: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False
