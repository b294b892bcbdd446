"""Header handling for callers' requests and backend servers' answers."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from tornado.httputil import HTTPHeaders

from magnoliatrail.accounts.keys import KeyProblem, is_well_formed
from magnoliatrail.backends import BackendServer, LoadedAdapter, ServerNotice
from magnoliatrail.ids import AccountName, PartId
from magnoliatrail.platform import protocol
from magnoliatrail.wire import HOP_BY_HOP, connection_options

# Hop-by-hop headers, and those that are set anew for each message.
NOT_FORWARDED = HOP_BY_HOP | {"content-length", "expect"}
# A server that asks for a longer time is asked again after this one.
MAX_RETRY_AFTER = timedelta(hours=1)
DEFAULT_DEADLINE = timedelta(seconds=30)
HTTP_MISDIRECTED = 421
# Longer numbers count no tokens.
MAX_COUNT_DIGITS = 18


@dataclass(frozen=True, slots=True)
class ModelWork:
    """The work that a request needs from an engine."""

    adapter: LoadedAdapter
    prompt_tokens: int
    # The caller's estimate if it gives one, else the maximum number of output tokens.
    output_tokens: int
    # Parts of the prompt in order, as id and token count.
    parts: tuple[tuple[str, int], ...]


def request_id_of(headers: HTTPHeaders) -> str:
    """Return the caller's request id, empty if there is none."""
    return headers.get(protocol.REQUEST_ID, "")


def name_request(fields: HTTPHeaders, request_id: str) -> None:
    """Add the id of the request to an answer."""
    if request_id:
        fields[protocol.REQUEST_ID] = request_id


def caller_of(headers: HTTPHeaders) -> str:
    """Return the credentials by which callers are told apart, empty without any.

    The address of the connection is no part of it: one caller sends from several.
    """
    named = [headers.get(name, "") for name in protocol.CALLER_HEADERS]
    return "\n".join(named) if any(named) else ""


def api_key_of(headers: HTTPHeaders) -> str | KeyProblem:
    """Return the key of a request, or why it has none that can be looked up."""
    values = headers.get_list(protocol.API_KEY)
    if not values:
        return KeyProblem.MISSING
    if len(values) > 1:
        return KeyProblem.REPEATED
    return values[0] if is_well_formed(values[0]) else KeyProblem.MALFORMED


def set_account(
    fields: HTTPHeaders, account: AccountName | None, *, in_force: bool
) -> None:
    """Name the account of a request that is sent on; None if it is not known.

    With accounts in force, the key is removed.
    """
    fields.pop(protocol.TENANT, None)
    if account is not None:
        fields[protocol.TENANT] = account
    if in_force:
        fields.pop(protocol.API_KEY, None)


def token_count_of(headers: HTTPHeaders) -> int | None:
    """Return the sum of both token counts, None unless a request states both."""
    text = headers.get(protocol.TOKEN_COUNTS, "")
    parts = [part.strip() for part in text.partition(",")[::2]]
    if any(len(part) > MAX_COUNT_DIGITS or not part.isdecimal() for part in parts):
        return None
    return sum(map(int, parts))


def resumed_request_of(headers: HTTPHeaders) -> str | None:
    """Return the id of the request that began a resumed stream, None for a new stream.

    The id is empty if the caller names none.
    """
    if protocol.LAST_EVENT_ID not in headers and protocol.RESUMES not in headers:
        return None
    return headers.get(protocol.RESUMES, "").strip()


def deadline_of(headers: HTTPHeaders) -> timedelta:
    """Return how long the caller waits, the default if the header is invalid."""
    text = headers.get(protocol.DEADLINE_MS, "")
    try:
        deadline = float(text)
        if math.isnan(deadline):
            return DEFAULT_DEADLINE
        return timedelta(milliseconds=max(0.0, deadline))
    except (ValueError, OverflowError):
        return DEFAULT_DEADLINE


def model_work_of(headers: HTTPHeaders) -> ModelWork | None:
    """Return the work that a request needs from an engine, None without a model."""
    name = headers.get(protocol.MODEL, "")
    if not name:
        return None
    model, _, adapter = name.partition("/")
    prompt, max_output = parse_token_counts(headers.get(protocol.TOKEN_COUNTS, ""))
    hint = headers.get(protocol.LENGTH_HINT, "")
    output = int(hint) if hint.isdecimal() else max_output
    return ModelWork(
        adapter=LoadedAdapter(model, adapter),
        prompt_tokens=prompt,
        output_tokens=min(output, max_output) if max_output else output,
        parts=tuple(prompt_parts(headers.get(protocol.PROMPT_PREFIX, ""))),
    )


def parse_token_counts(text: str) -> tuple[int, int]:
    """Parse PROMPT,OUTPUT; a count that is missing or not a number is 0."""
    first, _, second = text.partition(",")
    first, second = first.strip(), second.strip()
    return (
        int(first) if first.isdecimal() else 0,
        int(second) if second.isdecimal() else 0,
    )


def prompt_parts(text: str) -> Iterator[tuple[str, int]]:
    """Yield the id and token count of each part of a prompt."""
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdecimal():
            yield name, int(tokens)


def shared_parts_of(headers: HTTPHeaders) -> tuple[PartId, ...]:
    """Return the parts of a prompt that other requests may have, all but the last."""
    parts = list(prompt_parts(headers.get(protocol.PROMPT_PREFIX, "")))
    return tuple(dict.fromkeys(PartId(name) for name, _ in parts[:-1]))


def forwarded_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers without hop-by-hop headers and those that the system sets."""
    named = connection_options(headers)
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if lower in NOT_FORWARDED or lower in protocol.SYSTEM_HEADERS:
            continue
        if lower in named and not lower.startswith(protocol.PROTECTED_PREFIX):
            continue
        kept.add(name, value)
    return kept


def headers_for_server(
    headers: HTTPHeaders,
    server: BackendServer,
    time_left: timedelta,
    *,
    adapter_version: int = 0,
    priority: int | None = None,
) -> HTTPHeaders:
    """Return the headers of a request to a server."""
    fields = forwarded_headers(headers)
    fields[protocol.DEADLINE_MS] = str(max(1, int(time_left.total_seconds() * 1000)))
    fields[protocol.EXPECT_INSTANCE] = server.id
    if adapter_version:
        fields[protocol.EXPECT_VERSION] = str(adapter_version)
    if priority is not None:
        fields[protocol.PRIORITY] = str(min(9, max(0, priority)))
    return fields


def headers_for_relay(headers: HTTPHeaders, time_left: timedelta) -> HTTPHeaders:
    """Return the headers of a request that another instance sends to a server."""
    fields = forwarded_headers(headers)
    fields[protocol.DEADLINE_MS] = str(max(1, int(time_left.total_seconds() * 1000)))
    return fields


def not_executed(status: int, headers: HTTPHeaders) -> bool:
    """Return whether an answer states that the request was not executed."""
    return status == HTTP_MISDIRECTED or protocol.NOT_EXECUTED in headers


def is_signed(headers: HTTPHeaders) -> bool:
    """Return whether an answer has a server's signature and no content encoding."""
    return protocol.SIGNATURE in headers and "Content-Encoding" not in headers


def server_notice(
    server: BackendServer,
    status: int,
    headers: HTTPHeaders,
    *,
    to_request: bool = False,
) -> ServerNotice:
    """Return what a server says of itself in the head of an answer.

    Only an answer `to_request` of a caller says that there is no request limit; answers
    to orders and reports need not name it.
    """
    if headers.get(protocol.INSTANCE_ID, server.id) != server.id:
        # Another server has the address.
        return ServerNotice()
    limit = request_limit_of(headers)
    refuses = status == HTTPStatus.SERVICE_UNAVAILABLE
    return ServerNotice(
        leaving=headers.get(protocol.SERVER_LEAVING) == "1",
        refuses_for=retry_after_of(headers) if refuses else timedelta(),
        requests_per_second=limit,
        unlimited=to_request and limit is None,
    )


def request_limit_of(headers: HTTPHeaders) -> float | None:
    """Return the requests a second that a server takes, None if it names no limit."""
    try:
        limit = float(headers.get(protocol.SERVER_LIMIT, ""))
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def retry_after_of(headers: HTTPHeaders) -> timedelta:
    """Return the time in Retry-After, zero if there is none or it is no number."""
    try:
        seconds = float(headers.get(protocol.RETRY_AFTER, "0"))
    except ValueError:
        # The platform's servers send no dates.
        return timedelta()
    if not 0 < seconds <= MAX_RETRY_AFTER.total_seconds():
        return MAX_RETRY_AFTER if seconds > 0 else timedelta()
    return timedelta(seconds=seconds)


def answers_request(headers: HTTPHeaders, request_id: str) -> bool | None:
    """Return whether an answer names a request, None if it names none."""
    if not request_id and protocol.REQUEST_ID not in headers:
        return True
    named = headers.get(protocol.REQUEST_ID)
    return None if named is None else named == request_id


def names_no_request(headers: HTTPHeaders) -> bool:
    """Return whether an answer can be that to a call without a request id."""
    return protocol.REQUEST_ID not in headers


def headers_for_caller(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a server's answer that are sent to the caller."""
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in NOT_FORWARDED:
            kept.add(name, value)
    length = headers.get("Content-Length")
    if length is not None and "Transfer-Encoding" not in headers:
        kept["Content-Length"] = length
    return kept
