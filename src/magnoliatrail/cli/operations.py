"""The commands `magnoliatrail operations ...` for claims with an unknown outcome."""

import asyncio
import getpass
from collections.abc import AsyncIterator, Coroutine
from datetime import timedelta
from typing import TypeVar

import click
import msgspec
from expression import Result

from magnoliatrail.cli.instance import fail
from magnoliatrail.clock import SystemClock
from magnoliatrail.errors import Failure
from magnoliatrail.generated.operations import OperationRow
from magnoliatrail.operations.operators import ListedClaim, OperatorLedger, Resolution
from magnoliatrail.platform.table import HttpTable
from magnoliatrail.wire import CallLimits, new_http_client

T = TypeVar("T")

LIMITS = CallLimits(timedelta(seconds=2), timedelta(seconds=30))


@click.group()
@click.option(
    "--table-url",
    envvar="MAGNOLIATRAIL_TABLE_URL",
    show_envvar=True,
    required=True,
    help="Address of the platform's table service.",
)
@click.pass_context
def operations(context: click.Context, table_url: str) -> None:
    """List and resolve non-idempotent operations with an unknown outcome.

    Such an operation may have run, so its key is never retried automatically. Find
    out from the service whether it ran, then record the outcome with `resolve`.
    """
    context.obj = table_url


def ledger_at(table_url: str) -> OperatorLedger:
    """Return the operation ledger of a table service."""
    table = HttpTable(new_http_client(), table_url, LIMITS)
    return OperatorLedger(table, SystemClock())


def run_or_fail(work: Coroutine[None, None, Result[T, Failure]]) -> T:
    """Run a coroutine and return its result, or exit with an error."""
    result = asyncio.run(work)
    if result.is_error():
        fail(result.error)
    return result.ok


@operations.command("list")
@click.pass_obj
def list_(table_url: str) -> None:
    """List the claims with an unknown outcome, oldest first.

    Reads all retained claims, page by page.
    """

    async def read() -> list[Result[ListedClaim, Failure]]:
        return await collect(ledger_at(table_url).unknown_claims())

    found = asyncio.run(read())
    claims = [result.ok for result in found if result.is_ok()]
    for claim in sorted(claims, key=lambda item: item.row.claimed_at):
        click.echo(format_claim(claim))
    for result in found:
        if result.is_error():
            fail(result.error)


async def collect(found: AsyncIterator[T]) -> list[T]:
    """Return all items of an asynchronous iteration."""
    return [item async for item in found]


def format_claim(claim: ListedClaim) -> str:
    """Format one claim for a listing."""
    row = claim.row
    return (
        f"{claim.claim_id} claimed {row.claimed_at} caller {row.caller!r} "
        f"key {row.key!r} {row.operation}"
    )


@operations.command()
@click.argument("claim")
@click.pass_obj
def show(table_url: str, claim: str) -> None:
    """Print one claim as JSON, in any state."""

    async def read() -> Result[ListedClaim, Failure]:
        return await ledger_at(table_url).show(claim)

    print_row(run_or_fail(read()).row)


def print_row(row: OperationRow) -> None:
    """Print a row of the ledger as JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(row)).decode())


@operations.command()
@click.argument("claim")
@click.option(
    "--ran/--not-run",
    default=None,
    help="Whether the operation ran. --not-run makes the key usable again.",
)
@click.option("--reason", required=True, help="Evidence for the outcome.")
@click.option(
    "--author",
    envvar="MAGNOLIATRAIL_AUTHOR",
    default=getpass.getuser,
    help="Who resolves the claim; the login name by default.",
)
@click.pass_obj
def resolve(
    table_url: str, claim: str, ran: bool | None, reason: str, author: str
) -> None:
    """Record the outcome of a claim.

    If several operators race, all but one get a conflict (exit code 4).
    """
    if ran is None:
        raise click.UsageError("give --ran or --not-run, as the service reports it")
    for name, value in (("--reason", reason), ("--author", author)):
        if not value.strip():
            raise click.UsageError(f"{name} is empty; give a text")
    resolution = Resolution(ran=ran, reason=reason.strip(), author=author.strip())

    async def write() -> Result[OperationRow, Failure]:
        return await ledger_at(table_url).resolve(claim, resolution)

    print_row(run_or_fail(write()))
