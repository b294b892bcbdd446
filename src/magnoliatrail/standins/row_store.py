"""A stand-in for the platform's store: rows under versions, with faults."""

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any, cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPServerRequest
from tornado.web import Application, RequestHandler

OPERATOR_TABLES = {"op", "servers"}
FEED_POLL_SECONDS = 0.01


@dataclass
class StoredValue:
    """One row, or the mark that it was removed."""

    value: str
    version: int
    removed: bool = False


@dataclass
class RowStoreState:
    """Hold all rows; the faults are set by tests."""

    tables: dict[str, dict[str, StoredValue]] = field(default_factory=dict)
    version: int = 0
    calls: int = 0
    # Calls are refused, or feeds have lost what lies before this version.
    down: bool = False
    feed_start_version: int = 0
    # Writes are done and their answers lost.
    lose_answers: bool = False

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row as the operator, a server or a test does; None removes it."""
        self.version += 1
        text = "" if value is None else base64.b64encode(value).decode()
        row = StoredValue(text, self.version, removed=value is None)
        self.tables.setdefault(table, {})[key] = row
        return self.version

    def put_json(self, table: str, key: str, message: object) -> int:
        """Write a row that holds JSON."""
        return self.put(table, key, json.dumps(message).encode())

    def current_version(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if there is none."""
        row = self.tables.get(table, {}).get(key)
        return 0 if row is None or row.removed else row.version

    def commit(self, body: dict[str, Any]) -> bool:
        """Apply a transaction, or say that a condition failed."""
        for row in body["precondition"]:
            if self.current_version(row["table"], row["key"]) != row["row_version"]:
                return False
        for row in body["writes"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body["remove"]:
            self.put(row["table"], row["key"], None)
        return True

    def list_rows(self, table: str, after: int = -1) -> list[dict[str, Any]]:
        """Return the rows of a table, or what changed in it after a version."""
        rows = sorted(self.tables.get(table, {}).items())
        return [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": row.value,
                "row_version": row.version,
                **({"removed": True} if row.removed else {}),
            }
            for key, row in rows
            if row.version > after and (after >= 0 or not row.removed)
        ]


class RowStoreHandler(RequestHandler):
    """Share the state among the calls."""

    def initialize(self, state: RowStoreState) -> None:
        """Take the state."""
        self.state = state

    def prepare(self) -> None:
        """Count the call, or refuse it."""
        self.state.calls += 1
        if self.state.down:
            self.set_status(503)
            self.finish()

    def answer(self, rows: list[dict[str, Any]]) -> None:
        """Answer with rows and the newest version."""
        self.write({"rows": rows, "row_version": self.state.version, "now_ms": 0})


class RowsHandler(RowStoreHandler):
    """Read a whole table."""

    def get(self) -> None:
        """Answer `rows-get`."""
        self.answer(self.state.list_rows(self.get_query_argument("table")))


class RowFeedHandler(RowStoreHandler):
    """Read what changed."""

    async def get(self) -> None:
        """Answer `rows-feed`, after a wait if nothing changed."""
        after = int(self.get_query_argument("after"))
        wait = int(self.get_query_argument("wait_ms", "0")) / 1000
        table = self.get_query_argument("table")
        if after < self.state.feed_start_version:
            self.set_status(410)
            return
        until = asyncio.get_running_loop().time() + wait
        while not (rows := self.state.list_rows(table, after)):
            if asyncio.get_running_loop().time() >= until:
                break
            await asyncio.sleep(FEED_POLL_SECONDS)
        self.answer(rows)


class CommitHandler(RowStoreHandler):
    """Write rows under conditions."""

    def post(self) -> None:
        """Answer `rows-tx`."""
        done = self.state.commit(json.loads(self.request.body))
        if self.state.lose_answers:
            drop_connection(self.request)
            return
        if not done:
            self.set_status(412)
        self.answer([])


def drop_connection(request: HTTPServerRequest) -> None:
    """Close a caller's connection without an answer, or in the middle of it."""
    connection = cast(HTTP1Connection, request.connection)
    connection.close()


def row_store_application(state: RowStoreState) -> Application:
    """Return the store as an HTTP application."""
    shared = {"state": state}
    return Application(
        [
            ("/v1/rows-get", RowsHandler, shared),
            ("/v1/rows-feed", RowFeedHandler, shared),
            ("/v1/rows-tx", CommitHandler, shared),
        ],
        log_function=lambda handler: None,
    )
