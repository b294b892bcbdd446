"""Client of the platform's transactional table service."""

from typing import Protocol

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httputil import url_concat

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import (
    Row,
    RowList,
    Transaction,
    TransactionAnswer,
)
from magnoliatrail.platform.retried_calls import call_with_retry
from magnoliatrail.wire import CallFailed, CallLimits, call, decode, encode

HTTP_OK = 200
# The table service did not run the transaction.
HTTP_SERVICE_UNAVAILABLE = 503


class TableService(Protocol):
    """Store rows that change in transactions."""

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Read one row."""

    async def scan(self, prefix: str) -> Result[list[Row], Failure]:
        """Read all rows whose key starts with a prefix."""

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionAnswer, Failure]:
        """Commit a transaction.

        TABLE_UNAVAILABLE means that it did not commit, TABLE_OUTCOME_UNKNOWN that
        the answer was lost and it may have committed.
        """


class HttpTable:
    """Call the table service over HTTP."""

    def __init__(self, client: AsyncHTTPClient, url: str, limits: CallLimits) -> None:
        self.client = client
        self.url = url
        self.limits = limits

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Read one row."""
        rows = await self.rows("/row", {"key": key})
        return rows.map(lambda found: found[0] if found else None)

    async def scan(self, prefix: str) -> Result[list[Row], Failure]:
        """Read all rows whose key starts with a prefix."""
        return await self.rows("/rows", {"prefix": prefix})

    async def rows(
        self, path: str, arguments: dict[str, str]
    ) -> Result[list[Row], Failure]:
        """Send a read request and return its rows."""
        url = url_concat(self.url + path, arguments)
        try:
            response = await call_with_retry(
                self.client, lambda: HTTPRequest(url), self.limits
            )
        except CallFailed as error:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, str(error)))
        if response.code != HTTP_OK:
            message = f"the table service answered {response.code}"
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, message))
        match decode(response.body, RowList):
            case Result(tag="ok", ok=answer):
                return Ok(answer.rows)
            case Result(error=failure):
                return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, failure.message))

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionAnswer, Failure]:
        """Commit a transaction; the failure's kind shows if it may have committed."""
        request = HTTPRequest(
            f"{self.url}/transactions", method="POST", body=encode(transaction)
        )
        try:
            response = await call(self.client, request, self.limits)
        except CallFailed as error:
            kind = (
                ErrorKind.TABLE_OUTCOME_UNKNOWN
                if error.sent
                else ErrorKind.TABLE_UNAVAILABLE
            )
            return Error(Failure(kind, str(error)))
        if response.code == HTTP_OK:
            return decode(response.body, TransactionAnswer).map_error(
                unreadable_answer_failure
            )
        message = f"the table service answered {response.code}"
        if response.code == HTTP_SERVICE_UNAVAILABLE:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, message))
        return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))


def unreadable_answer_failure(failure: Failure) -> Failure:
    """Return the failure for a committed transaction with an unreadable answer."""
    return Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, failure.message)


def revision_of(row: Row | None) -> int:
    """Return the revision of a row, 0 if it is absent."""
    return row.revision if row else 0
