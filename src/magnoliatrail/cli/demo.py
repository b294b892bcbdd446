"""The command `magnoliatrail demo`."""

import asyncio
import statistics
import sys
from datetime import timedelta

import click

from magnoliatrail.cli.exit_codes import ExitCode
from magnoliatrail.demo import (
    BOOKING_COUNT,
    COMPLETION_COUNT,
    REPEATS_PER_BOOKING,
    DemoResult,
    run_demo,
)
from magnoliatrail.generated.settings import LogLevel
from magnoliatrail.logs import log_to_stderr

MEDIAN = 0.50
TAIL = 0.95


@click.command()
@click.option(
    "--log-level",
    type=click.Choice([item.value for item in LogLevel]),
    default=LogLevel.ERROR.value,
    show_default=True,
    help="Lowest log level that is written; info shows each decision.",
)
def demo(log_level: str) -> None:
    """Answer a few hundred requests with stand-in services, all in this process."""
    log_to_stderr(LogLevel(log_level))
    total = COMPLETION_COUNT + BOOKING_COUNT * REPEATS_PER_BOOKING
    with click.progressbar(length=total, label="requests", file=sys.stderr) as bar:
        result = asyncio.run(run_demo(lambda: bar.update(1)))
    print_table(result)
    click.echo(result.summary_line)
    sys.exit(ExitCode.OK if result.passed else ExitCode.FAILED)


def print_table(result: DemoResult) -> None:
    """Print the measurements of the demo."""
    fill = statistics.fmean(result.batch_fill) if result.batch_fill else 0.0
    rows = [
        ("answers", str(result.answered)),
        ("loads", str(result.loads)),
        ("load stall p50", milliseconds(percentile(result.stalls, MEDIAN))),
        ("load stall p95", milliseconds(percentile(result.stalls, TAIL))),
        ("batch fill, busy", f"{fill:.2f}"),
        ("repeats refused", str(result.repeats_refused)),
    ]
    for name, value in rows:
        click.echo(f"{name:<18}{value:>12}")


def percentile(ordered: list[timedelta], share: float) -> timedelta:
    """Return the percentile of a sorted list, given as a share."""
    if not ordered:
        return timedelta()
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def milliseconds(duration: timedelta) -> str:
    """Format a duration in milliseconds."""
    return f"{duration / timedelta(milliseconds=1):.0f} ms"
