"""A stand-in for the platform's versioned row store, with fault injection."""

import asyncio
import base64
import copy
import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any, cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPServerRequest
from tornado.web import Application, RequestHandler

STORE_ERA = "Store-Era"
FEED_POLL_SECONDS = 0.01
# Versions of rows to keep for feeds.
MAX_HISTORY = 20_000


@dataclass
class StoredValue:
    """A row, or the tombstone of a removed one."""

    value: str
    version: int
    removed: bool = False
    part: str = ""


@dataclass
class RowStoreState:
    """All rows of the store; tests set its faults."""

    tables: dict[str, dict[str, StoredValue]] = field(default_factory=dict)
    version: int = 0
    calls: int = 0
    # All versions of all rows, the oldest first, for feeds.
    history: deque[tuple[str, str, StoredValue]] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY)
    )
    # Refuses all calls with 503.
    down: bool = False
    # Feeds that ask for changes after an older version get 410.
    feed_start_version: int = 0
    # Commits writes, then closes the connection without an answer.
    lose_answers: bool = False
    # How often the store came back from a copy; all answers carry it.
    era: int = 0

    def copy_rows(self) -> tuple[dict[str, dict[str, StoredValue]], int]:
        """Return a copy of all rows and the newest version."""
        return copy.deepcopy(self.tables), self.version

    def restore(self, rows: dict[str, dict[str, StoredValue]], version: int) -> None:
        """Come back from a copy: later writes are lost, versions are reused."""
        self.tables, self.version = copy.deepcopy(rows), version
        self.history.clear()
        self.feed_start_version = version
        self.era += 1

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> int:
        """Write a row and return its version; None removes the row."""
        self.version += 1
        text = "" if value is None else base64.b64encode(value).decode()
        row = StoredValue(text, self.version, removed=value is None, part=part)
        self.tables.setdefault(table, {})[key] = row
        if len(self.history) == MAX_HISTORY:
            _, _, forgotten = self.history[0]
            self.feed_start_version = max(self.feed_start_version, forgotten.version)
        self.history.append((table, key, row))
        return self.version

    def put_json(self, table: str, key: str, message: object) -> int:
        """Write a row that holds JSON."""
        return self.put(table, key, json.dumps(message).encode())

    def current_version(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        row = self.tables.get(table, {}).get(key)
        return 0 if row is None or row.removed else row.version

    def commit(self, body: dict[str, Any]) -> bool:
        """Apply a transaction and return True, or False if a condition fails."""
        for row in body["precondition"]:
            if self.current_version(row["table"], row["key"]) != row["row_version"]:
                return False
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value, row["part"])
        for row in body["remove"]:
            self.put(row["table"], row["key"], None, row["part"])
        return True

    def list_rows(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table."""
        rows = sorted(self.tables.get(table, {}).items())
        return [wire_row(table, key, row) for key, row in rows if not row.removed]

    def list_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return all versions of the rows of a table after a version, in order."""
        return [
            wire_row(table, key, row)
            for name, key, row in self.history
            if name == table and row.version > after
        ]


def wire_row(table: str, key: str, row: StoredValue) -> dict[str, Any]:
    """Return a row in the form of an answer."""
    return {
        "table": table,
        "part": row.part,
        "key": key,
        "value": row.value,
        "row_version": row.version,
        **({"removed": True} if row.removed else {}),
    }


class RowStoreHandler(RequestHandler):
    """Base handler that counts calls and injects outages."""

    def initialize(self, state: RowStoreState) -> None:
        """Set the store's state."""
        self.state = state

    def prepare(self) -> None:
        """Name the era, count the call, and refuse it while the store is down."""
        self.set_header(STORE_ERA, str(self.state.era))
        self.state.calls += 1
        if self.state.down:
            self.set_status(503)
            self.finish()

    def answer(self, rows: list[dict[str, Any]]) -> None:
        """Send rows and the newest version."""
        self.write({"rows": rows, "row_version": self.state.version, "now_ms": 0})


class RowsHandler(RowStoreHandler):
    """Serve `GET /v1/rows-get`."""

    def get(self) -> None:
        """Send all rows of one part of a table."""
        rows = self.state.list_rows(self.get_query_argument("table"))
        part = self.get_query_argument("part")
        self.answer([row for row in rows if row["part"] == part])


class RowFeedHandler(RowStoreHandler):
    """Serve `GET /v1/rows-feed`."""

    async def get(self) -> None:
        """Send the changes after a version, waiting up to `wait_ms` for one."""
        after = int(self.get_query_argument("after"))
        wait = int(self.get_query_argument("wait_ms", "0")) / 1000
        table = self.get_query_argument("table")
        if after < self.state.feed_start_version or after > self.state.version:
            self.set_status(410)
            return
        until = asyncio.get_running_loop().time() + wait
        while not (rows := self.state.list_changes(table, after)):
            if asyncio.get_running_loop().time() >= until:
                break
            await asyncio.sleep(FEED_POLL_SECONDS)
        self.answer(rows)


class CommitHandler(RowStoreHandler):
    """Serve `POST /v1/rows-tx`."""

    def post(self) -> None:
        """Commit a transaction; answer 412 if a condition fails."""
        committed = self.state.commit(json.loads(self.request.body))
        if self.state.lose_answers:
            drop_connection(self.request)
            return
        if not committed:
            self.set_status(412)
        self.answer([])


def drop_connection(request: HTTPServerRequest) -> None:
    """Close the caller's connection without completing the answer."""
    connection = cast(HTTP1Connection, request.connection)
    connection.close()


def row_store_application(state: RowStoreState) -> Application:
    """Return the HTTP application of a row store."""
    shared = {"state": state}
    return Application(
        [
            ("/v1/rows-get", RowsHandler, shared),
            ("/v1/rows-feed", RowFeedHandler, shared),
            ("/v1/rows-tx", CommitHandler, shared),
        ],
        log_function=lambda handler: None,
    )
