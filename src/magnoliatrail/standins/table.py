"""A stand-in for the platform's table service."""

import msgspec
from expression import Error, Ok, Result
from tornado.web import Application

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import (
    Row,
    RowList,
    Transaction,
    TransactionAnswer,
)
from magnoliatrail.standins.faults import (
    FaultInjectingHandler,
    Faults,
    FaultSettingsHandler,
)


class FakeTable:
    """An in-memory `TableService` with fault injection."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self.last_revision = 0
        self.delayed_transactions: list[Transaction] = []

    def commit(self, transaction: Transaction) -> TransactionAnswer:
        """Commit a transaction if its conditions hold."""
        committed = all(
            self.revision(condition.key) == condition.revision
            for condition in transaction.conditions
        )
        if committed:
            self.apply(transaction)
        keys = {condition.key for condition in transaction.conditions}
        keys.update(write.key for write in transaction.writes)
        rows = [self.rows[key] for key in sorted(keys) if key in self.rows]
        return TransactionAnswer(committed=committed, rows=rows)

    def apply(self, transaction: Transaction) -> None:
        """Apply the writes of a transaction."""
        for write in transaction.writes:
            self.writes += 1
            self.last_revision += 1
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(
                    key=write.key, value=write.value, revision=self.last_revision
                )

    def commit_delayed(self) -> None:
        """Commit the transactions that `late_requests` held back."""
        delayed, self.delayed_transactions = self.delayed_transactions, []
        for transaction in delayed:
            self.commit(transaction)

    def revision(self, key: str) -> int:
        """Return the revision of a row, 0 if it is absent."""
        row = self.rows.get(key)
        return row.revision if row else 0

    def rows_with_prefix(self, prefix: str) -> list[Row]:
        """Return all rows whose key starts with a prefix, in key order."""
        return [self.rows[key] for key in sorted(self.rows) if key.startswith(prefix)]

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Read one row."""
        self.reads += 1
        if self.faults.down:
            return Error(outage_failure())
        return Ok(self.rows.get(key))

    async def scan(self, prefix: str) -> Result[list[Row], Failure]:
        """Read all rows whose key starts with a prefix."""
        self.reads += 1
        if self.faults.down:
            return Error(outage_failure())
        return Ok(self.rows_with_prefix(prefix))

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionAnswer, Failure]:
        """Commit a transaction; a fault may drop or delay it, or drop its answer."""
        if self.faults.down:
            return Error(outage_failure())
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, "request lost"))
        if self.faults.late_requests:
            self.faults.late_requests -= 1
            self.delayed_transactions.append(transaction)
            return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, "request late"))
        answer = self.commit(transaction)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, "answer lost"))
        return Ok(answer)


def outage_failure() -> Failure:
    """Return the failure of a table service that is down."""
    return Failure(ErrorKind.TABLE_UNAVAILABLE, "the table service is down")


class TableHandler(FaultInjectingHandler):
    """Serve the rows of a fake table."""

    def initialize(self, table: FakeTable) -> None:
        """Set the table to serve."""
        self.table = table
        self.faults = table.faults


class RowHandler(TableHandler):
    """Serve `GET /row?key=`."""

    def get(self) -> None:
        """Send one row."""
        self.table.reads += 1
        row = self.table.rows.get(self.get_query_argument("key"))
        self.write(msgspec.json.encode(RowList(rows=[row] if row else [])))


class RowsHandler(TableHandler):
    """Serve `GET /rows?prefix=`."""

    def get(self) -> None:
        """Send all rows whose key starts with a prefix."""
        rows = self.table.rows_with_prefix(self.get_query_argument("prefix"))
        self.table.reads += max(1, len(rows))
        self.write(msgspec.json.encode(RowList(rows=rows)))


class TransactionHandler(TableHandler):
    """Serve `POST /transactions`."""

    async def post(self) -> None:
        """Commit a transaction."""
        transaction = msgspec.json.decode(self.request.body, type=Transaction)
        if self.consume_fault("lose_requests"):
            self.drop_connection()
            return
        answer = self.table.commit(transaction)
        await self.answer(msgspec.json.encode(answer))


def table_application(table: FakeTable) -> Application:
    """Return the HTTP application of a table service."""
    return Application(
        [
            ("/row", RowHandler, {"table": table}),
            ("/rows", RowsHandler, {"table": table}),
            ("/transactions", TransactionHandler, {"table": table}),
            ("/faults", FaultSettingsHandler, {"faults": table.faults}),
        ]
    )
