"""Headers of callers' requests and of backend servers' answers."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from magnoliatrail.backends import BackendServer, LoadedAdapter
from magnoliatrail.platform import words
from magnoliatrail.wire import HOP_BY_HOP, connection_options

# Headers of one connection, and those that are made anew for each message.
NOT_PASSED_ON = HOP_BY_HOP | {"content-length", "expect"}
DEFAULT_DEADLINE = timedelta(seconds=30)
HTTP_MISDIRECTED = 421


@dataclass(frozen=True, slots=True)
class ModelWork:
    """What a request asks of an engine."""

    adapter: LoadedAdapter
    prompt_tokens: int
    # The caller's estimate where it gives one, else the most that may be generated.
    output_tokens: int
    # Parts of the prompt in order, by id and tokens.
    parts: tuple[tuple[str, int], ...]


def request_id_of(headers: HTTPHeaders) -> str:
    """Return the id that the caller gave the request."""
    return headers.get(words.REQUEST_ID, "")


def deadline_of(headers: HTTPHeaders) -> timedelta:
    """Return how long the caller waits."""
    text = headers.get(words.DEADLINE_MS, "")
    try:
        deadline = float(text)
        if math.isnan(deadline):
            return DEFAULT_DEADLINE
        return timedelta(milliseconds=max(0.0, deadline))
    except (ValueError, OverflowError):
        return DEFAULT_DEADLINE


def model_work_of(headers: HTTPHeaders) -> ModelWork | None:
    """Return what a request asks of an engine; None if it names no model."""
    name = headers.get(words.MODEL, "")
    if not name:
        return None
    model, _, adapter = name.partition("/")
    prompt, most = numbers(headers.get(words.TOKEN_COUNTS, ""))
    hint = headers.get(words.LENGTH_HINT, "")
    output = int(hint) if hint.isdecimal() else most
    return ModelWork(
        adapter=LoadedAdapter(model, adapter),
        prompt_tokens=prompt,
        output_tokens=min(output, most) if most else output,
        parts=tuple(parts_of(headers.get(words.PROMPT_PREFIX, ""))),
    )


def numbers(text: str) -> tuple[int, int]:
    """Return two numbers separated by a comma, 0 for one that is missing."""
    first, _, second = text.partition(",")
    first, second = first.strip(), second.strip()
    return (
        int(first) if first.isdecimal() else 0,
        int(second) if second.isdecimal() else 0,
    )


def parts_of(text: str) -> Iterator[tuple[str, int]]:
    """Return the parts of a prompt by id and tokens."""
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdecimal():
            yield name, int(tokens)


def passed_on(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a request without those of one connection or of ours."""
    named = connection_options(headers)
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if lower in NOT_PASSED_ON or lower in words.SET_BY_THE_SYSTEM:
            continue
        if lower in named and not lower.startswith(words.PROTECTED_PREFIX):
            continue
        kept.add(name, value)
    return kept


def for_server(
    headers: HTTPHeaders,
    server: BackendServer,
    time_left: timedelta,
    *,
    adapter_version: int = 0,
    priority: int | None = None,
) -> HTTPHeaders:
    """Return the headers with which one server gets a request."""
    fields = passed_on(headers)
    fields[words.DEADLINE_MS] = str(max(1, int(time_left.total_seconds() * 1000)))
    fields[words.EXPECT_INSTANCE] = server.id
    if adapter_version:
        fields[words.EXPECT_VERSION] = str(adapter_version)
    if priority is not None:
        fields[words.PRIORITY] = str(min(9, max(0, priority)))
    return fields


def not_executed(status: int, headers: HTTPHeaders) -> bool:
    """Return whether an answer says that the request did not run."""
    return status == HTTP_MISDIRECTED or words.NOT_EXECUTED in headers


def is_signed(headers: HTTPHeaders) -> bool:
    """Return whether an answer bears a server's signature, and no other coding."""
    return words.SIGNATURE in headers and "Content-Encoding" not in headers


def answers_request(headers: HTTPHeaders, request_id: str) -> bool:
    """Return whether an answer belongs to a request."""
    return headers.get(words.REQUEST_ID, request_id) == request_id


def for_caller(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a server's answer that the caller gets."""
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in NOT_PASSED_ON:
            kept.add(name, value)
    length = headers.get("Content-Length")
    if length is not None and "Transfer-Encoding" not in headers:
        kept["Content-Length"] = length
    return kept
