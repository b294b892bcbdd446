"""The command `magnoliatrail explain`."""

import re
import shlex
import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

import click

from magnoliatrail.cli.exit_codes import ExitCode

# Pairs that say where and when a line was written, not what happened.
CONTEXT_KEYS = ("time", "instance", "level", "part", "event", "request")


def pairs_of(line: str) -> dict[str, str]:
    """Return the pairs of a log line, none if it is not one."""
    try:
        words = shlex.split(line)
    except ValueError:
        return {}
    pairs = (word.partition("=") for word in words)
    return {name: value for name, mark, value in pairs if mark}


def lines_about(request: str, lines: Iterable[str]) -> Iterator[dict[str, str]]:
    """Return the lines about a request, also those of its single tries."""
    named = re.compile(rf"\b{re.escape(request)}(\.\d+)?(?=[\s\"]|$)")
    for line in lines:
        if named.search(line):
            pairs = pairs_of(line)
            if "event" in pairs:
                yield pairs


def timeline(request: str, lines: Iterable[str]) -> list[str]:
    """Return what happened to a request, in order of time."""
    found = sorted(lines_about(request, lines), key=lambda pairs: pairs.get("time", ""))
    return [format_line(pairs) for pairs in found]


def format_line(pairs: dict[str, str]) -> str:
    """Return one line of a story: when, where, what, and why."""
    # The instance of a place is the one that asked, not the one that wrote the line.
    rest = " ".join(f"{k}={v}" for k, v in pairs.items() if k not in CONTEXT_KEYS)
    where = pairs.get("instance", "")
    return f"{pairs.get('time', '')} {where} {pairs['event']}: {rest}"


@click.command()
@click.argument("request")
@click.argument("log", type=click.File(), default="-")
def explain(request: str, log: TextIO) -> None:
    """Print the story of REQUEST from LOG, or from standard input.

    Give the lines of all instances: the owner of a cell decides about places.
    """
    lines = timeline(request, log)
    for line in lines:
        click.echo(line)
    if not lines:
        click.echo(f"no line of the log names request {request}", err=True)
        sys.exit(ExitCode.FAILED)
