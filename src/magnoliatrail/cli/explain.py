"""The command `magnoliatrail explain`."""

import re
import shlex
import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

import click

from magnoliatrail.cli.exit_codes import ExitCode

# Keys that identify a line's time and origin; the other pairs are its details.
CONTEXT_KEYS = ("time", "instance", "level", "part", "event", "request")


def pairs_of(line: str) -> dict[str, str]:
    """Parse the pairs of a log line; a malformed line has none."""
    try:
        words = shlex.split(line)
    except ValueError:
        return {}
    pairs = (word.partition("=") for word in words)
    return {name: value for name, mark, value in pairs if mark}


def lines_about(request: str, lines: Iterable[str]) -> Iterator[dict[str, str]]:
    """Return the parsed lines about a request and its attempts."""
    named = re.compile(rf"\b{re.escape(request)}(\.\d+)?(?=[\s\"]|$)")
    for line in lines:
        if named.search(line):
            pairs = pairs_of(line)
            if "event" in pairs:
                yield pairs


def timeline(request: str, lines: Iterable[str]) -> list[str]:
    """Return the timeline of a request, ordered by time."""
    found = sorted(lines_about(request, lines), key=lambda pairs: pairs.get("time", ""))
    return [format_line(pairs) for pairs in found]


def format_line(pairs: dict[str, str]) -> str:
    """Format one line of a timeline: time, instance, event and details."""
    # In lines about batch slots, the instance is the one that requested the slot, not
    # the one that wrote the line.
    rest = " ".join(f"{k}={v}" for k, v in pairs.items() if k not in CONTEXT_KEYS)
    where = pairs.get("instance", "")
    return f"{pairs.get('time', '')} {where} {pairs['event']}: {rest}"


@click.command()
@click.argument("request")
@click.argument("log", type=click.File(), default="-")
def explain(request: str, log: TextIO) -> None:
    """Print the timeline of REQUEST from LOG, or from standard input.

    LOG must have the lines of all instances, because the owner of a cell decides
    which requests get batch slots.
    """
    lines = timeline(request, log)
    for line in lines:
        click.echo(line)
    if not lines:
        click.echo(f"no line of the log names request {request}", err=True)
        sys.exit(ExitCode.FAILED)
