"""The tables in the documentation match the program."""

import ast
import re
import subprocess
import sys
from collections.abc import Iterator

import pytest

from magnoliatrail.errors import ErrorKind
from tests.docs.pages import (
    CODE_SPAN,
    PAGES,
    ROOT,
    SOURCE,
    first_code_cells,
    table_rows,
)

METRIC_METHODS = {"count", "timing", "gauge", "gauge_add"}
LOG_METHODS = {"debug", "info", "warning", "error"}
NAME = re.compile(r"[a-z][a-z0-9_.]*")
MENTIONED = re.compile(r"event=([a-z_]+)")
# Modules that only forward metrics to a sink.
METRIC_SINK_MODULES = {"metrics.py"}


def metric_calls() -> Iterator[ast.Call]:
    """Return all calls in the sources that record a metric."""
    for file in SOURCE.rglob("*.py"):
        if file.name in METRIC_SINK_MODULES:
            continue
        for node in ast.walk(ast.parse(file.read_text())):
            if not isinstance(node, ast.Call):
                continue
            target = node.func
            if not isinstance(target, ast.Attribute):
                continue
            receiver = ast.unparse(target.value)
            if target.attr in METRIC_METHODS and receiver.endswith("metrics"):
                yield node


def texts_of(node: ast.expr) -> Iterator[str]:
    """Return the possible values of a string argument, `<x>` for variable parts."""
    match node:
        case ast.Constant(value=str(name)):
            yield name
        case ast.IfExp(body=body, orelse=orelse):
            yield from texts_of(body)
            yield from texts_of(orelse)
        case ast.JoinedStr(values=values):
            parts = [
                str(part.value) if isinstance(part, ast.Constant) else "<x>"
                for part in values
            ]
            yield "".join(parts)


def documented_metrics() -> set[str]:
    """Return the metrics that docs/operations/metrics.md lists."""
    text = (ROOT / "docs/operations/metrics.md").read_text()
    return {re.sub(r"<[a-z_ ]+>", "<x>", name) for name in first_code_cells(text)}


def test_every_metric_is_on_the_operators_page():
    sent = {name for call in metric_calls() for name in texts_of(call.args[0])}
    missing = sent - documented_metrics()
    assert not missing, f"add a row for each of {missing} to docs/operations/metrics.md"


def test_every_metric_on_the_operators_page_is_sent():
    sent = {name for call in metric_calls() for name in texts_of(call.args[0])}
    # A name that is not a literal argument of the call must occur in the sources.
    sources = "\n".join(file.read_text() for file in SOURCE.rglob("*.py"))
    stale = {name for name in documented_metrics() - sent if f'"{name}"' not in sources}
    assert not stale, f"remove {stale} from docs/operations/metrics.md"


def test_the_callers_error_table_lists_only_error_kinds():
    text = (ROOT / "docs/callers.md").read_text()
    _, _, errors = text.partition("## Errors")
    table, _, _ = errors.partition("\n## ")
    assert first_code_cells(table) <= kinds(), (
        "docs/callers.md lists unknown error kinds"
    )


def kinds() -> set[str]:
    """Return the names of all error kinds."""
    return {kind.value for kind in ErrorKind}


@pytest.mark.parametrize(
    "generator",
    ["scripts.settings_table", "scripts.error_table", "benchmarks.capacity"],
)
def test_a_generated_table_matches_its_source(generator):
    command = [sys.executable, "-m", generator, "--check"]
    result = subprocess.run(
        command, check=False, cwd=ROOT, capture_output=True, text=True
    )
    assert result.returncode == 0, result.stderr


def logged_events() -> set[str]:
    """Return the events that the sources log."""
    events = set()
    for file in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(value=receiver, attr=level), args=[first, *_]
                ) if level in LOG_METHODS and ast.unparse(receiver).endswith("log"):
                    events.update(texts_of(first))
    return events


def test_every_logged_event_is_on_the_operators_page():
    listed = first_code_cells((ROOT / "docs/operations/logs.md").read_text())
    missing = logged_events() - listed
    assert not missing, f"add {missing} to a table of docs/operations/logs.md"


def test_every_event_on_the_operators_page_is_logged():
    listed = first_code_cells((ROOT / "docs/operations/logs.md").read_text())
    stale = listed - logged_events()
    assert not stale, f"remove {stale} from docs/operations/logs.md"


def test_every_event_that_a_page_mentions_is_logged():
    mentioned = {name for page in PAGES for name in MENTIONED.findall(page.read_text())}
    stale = mentioned - logged_events()
    assert not stale, (
        f"no log line has event={stale}: correct the page that mentions it"
    )


def test_every_metric_that_the_page_of_failures_mentions_is_listed():
    text = (ROOT / "docs/operations/failures.md").read_text()
    spans = {span for row in table_rows(text)[2:] for span in CODE_SPAN.findall(row[1])}
    names = {span for span in spans if "=" not in span and not span.endswith(".md")}
    listed = documented_metrics()
    missing = {
        name
        for name in names - listed
        if re.sub(r"^refusals\..*", "refusals.<x>", name) not in listed
    }
    assert not missing, "docs/operations/failures.md names metrics that are not sent"
