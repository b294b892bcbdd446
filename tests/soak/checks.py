"""What must hold in a soak run, by what callers and backend servers saw."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from tests.soak.processes import Exit
from tests.soak.servers import OrderSeen
from tests.soak.stream_checks import disordered_streams
from tests.soak.traffic import Ending, Exchange, RequestKind

HTTP_OK = 200
HTTP_NOT_FOUND = 404
# Statuses of answers that say that the request was not run.
NOT_RUN_STATUSES = {404, 429, 503}
ERROR_MARKS = ("event=task_failed", "event=request_failed", "Traceback")
# An order may have been on its way while its sender was paused or cut off.
ORDER_DELAY_SECONDS = 0.3
# The platform's bounds: for news to reach all instances, and for what comes after.
STABILITY_SECONDS = 3.0
KNOWN_AFTER_CRASHES = 5
MAX_LATE_CRASHING_REQUESTS = 3
WINDOW_SECONDS = 4.0
DRAIN_SECONDS = 2.0

Interval = tuple[float, float]


@dataclass(frozen=True)
class NamedLimit:
    """A limit of requests a second that a run of an engine named for a while."""

    run: str
    since: float
    until: float
    per_second: float


@dataclass(frozen=True)
class RouteProbe:
    """A request on a route that was added some time before."""

    route: str
    instance: str
    written_at: float
    sent_at: float
    status: int


@dataclass
class Observations:
    """All that was seen in a run."""

    exchanges: list[Exchange] = field(default_factory=list)
    # Ids of the requests that backend servers ran, once for each run.
    ran: Counter[str] = field(default_factory=Counter)
    # Orders by engine run, in the order of arrival.
    orders: dict[str, list[OrderSeen]] = field(default_factory=dict)
    crashed: list[str] = field(default_factory=list)
    # Intervals by instance in which its answers may be missing.
    disturbed: Mapping[str, Sequence[Interval]] = field(default_factory=dict)
    # Intervals by instance or engine in which orders may arrive that were held up.
    delays: Mapping[str, Sequence[Interval]] = field(default_factory=dict)
    exits: list[Exit] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)
    # When which requests arrived, by engine run.
    arrivals: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    # Parts that crash engines, also the names of their callers, and when one did.
    crashing_parts: set[str] = field(default_factory=set)
    part_crashes: list[float] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    # When rows said that runs of servers leave or are gone, and when runs said so.
    unlisted_at: dict[str, float] = field(default_factory=dict)
    said_at: dict[str, float] = field(default_factory=dict)
    route_probes: list[RouteProbe] = field(default_factory=list)
    # Intervals in which the store or the link to it was disturbed.
    store_disturbed: Sequence[Interval] = ()


def violations(seen: Observations) -> list[str]:
    """Return every broken promise as a line."""
    return [
        *wrong_answers(seen.exchanges),
        *disordered_streams(seen.exchanges),
        *repeated_runs(seen.exchanges, seen.ran),
        *false_refusals(seen.exchanges, seen.ran),
        *missing_answers(seen.exchanges, seen.disturbed),
        *disordered(seen.orders, seen.delays),
        *(f"engine {name} was ordered to load too much" for name in seen.crashed),
        *bad_exits(seen.exits),
        *late_crashing_requests(seen),
        *exceeded_limits(seen),
        *late_routes(seen),
        *sent_to_unlisted_servers(seen),
        *sent_after_notices(seen),
        *(f"log: {line}" for line in seen.log_lines if is_error(line)),
    ]


def wrong_answers(exchanges: Iterable[Exchange]) -> list[str]:
    """Return the complete answers that differ from what a server sent."""
    return [
        f"{item.request}: complete, {len(item.body)} of {len(item.expected)} bytes"
        for item in exchanges
        if item.ending is Ending.WHOLE
        and item.status == HTTP_OK
        and item.body != item.expected
    ]


def repeated_runs(exchanges: Iterable[Exchange], ran: Counter[str]) -> list[str]:
    """Return the requests that ran more than once and must not."""
    return [
        f"{item.request}: a {item.kind.value} request ran {ran[item.request]} times"
        for item in exchanges
        if item.kind is not RequestKind.SAFE and ran[item.request] > 1
    ]


def false_refusals(exchanges: Iterable[Exchange], ran: Counter[str]) -> list[str]:
    """Return the requests that were reported as not run, and ran."""
    return [
        f"{item.request}: answered {item.status} after it ran"
        for item in exchanges
        if item.status in NOT_RUN_STATUSES and ran[item.request]
    ]


def missing_answers(
    exchanges: Iterable[Exchange], disturbed: Mapping[str, Sequence[Interval]]
) -> list[str]:
    """Return the requests without an answer at an instance that was not disturbed.

    A kept connection may have ended with the process that a request never reached.
    """
    return [
        f"{item.request}: {item.ending.value} at {item.instance}, sent at "
        f"{item.sent_at:.2f}, ended at {item.ended_at:.2f}"
        for item in exchanges
        if item.ending in (Ending.CLOSED, Ending.NOT_CONNECTED, Ending.HUNG)
        and not overlaps(
            (
                item.sent_at if item.ending is Ending.HUNG else item.connected_at,
                item.ended_at,
            ),
            disturbed.get(item.instance, ()),
        )
    ]


def overlaps(interval: Interval, others: Iterable[Interval]) -> bool:
    """Return whether an interval has a moment in common with one of others."""
    start, end = interval
    return any(start <= until and since <= end for since, until in others)


def disordered(
    orders: Mapping[str, Sequence[OrderSeen]],
    delays: Mapping[str, Sequence[Interval]],
) -> list[str]:
    """Return the orders of two owners with one fencing number, or of a falling one."""
    found = []
    for engine, seen in orders.items():
        newest, holder = 0, ""
        for order in seen:
            held_up = [*delays.get(engine, ()), *delays.get(order.holder, ())]
            if any(since <= order.at <= until for since, until in held_up):
                continue
            if order.fencing_number < newest:
                found.append(f"{engine}: {order} after number {newest} of {holder}")
            elif order.fencing_number == newest and order.holder != holder:
                found.append(f"{engine}: {order} and {holder} with one number")
            else:
                newest, holder = order.fencing_number, order.holder
    return found


def bad_exits(exits: Iterable[Exit]) -> list[str]:
    """Return the processes that did not end well after SIGTERM."""
    return [
        f"{item.instance} ended with {item.code} after SIGTERM"
        for item in exits
        if item.code != 0 and item.started and not item.paused
    ]


def is_error(line: str) -> bool:
    """Return whether a line of a log reports a fault of the program."""
    return any(mark in line for mark in ERROR_MARKS)


def late_crashing_requests(seen: Observations) -> list[str]:
    """Return the requests with a crashing part that came after it must be known."""
    if len(seen.part_crashes) < KNOWN_AFTER_CRASHES:
        return []
    fifth = sorted(seen.part_crashes)[KNOWN_AFTER_CRASHES - 1]
    sent_by = {item.request: item for item in seen.exchanges}
    late = sorted(
        (at, request)
        for arrivals in seen.arrivals.values()
        for at, request in arrivals
        if request.rpartition("-")[0] in seen.crashing_parts
        and sent_by[request].sent_at > fifth + STABILITY_SECONDS
        and in_touch(seen, sent_by[request].instance, at)
    )
    if len(late) <= MAX_LATE_CRASHING_REQUESTS:
        return []
    return [f"{request}: reached an engine at {at:.2f}" for at, request in late]


def exceeded_limits(seen: Observations) -> list[str]:
    """Return the limits of engines that instances together exceeded."""
    sent_by = {item.request: item for item in seen.exchanges}
    found = []
    for limit in seen.limits:
        times = [
            at
            for at, request in seen.arrivals.get(limit.run, ())
            if limit.since + STABILITY_SECONDS <= at <= limit.until
            and request in sent_by
            and in_touch(seen, sent_by[request].instance, at, since=limit.since)
            and not overlaps((at - WINDOW_SECONDS, at), seen.delays.get(limit.run, ()))
        ]
        allowed = 1.5 * limit.per_second * WINDOW_SECONDS + 5
        most = max(
            (sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times),
            default=0,
        )
        if most > allowed:
            found.append(f"{limit}: {most} requests in a window, {allowed} allowed")
    return found


def late_routes(seen: Observations) -> list[str]:
    """Return the routes that were unknown after their change had to be in force."""
    found = []
    for probe in seen.route_probes:
        since = probe.written_at - STABILITY_SECONDS
        if (
            probe.status == HTTP_NOT_FOUND
            and in_touch(seen, probe.instance, probe.sent_at, since)
            and not overlaps((since, probe.sent_at), seen.store_disturbed)
        ):
            waited = probe.sent_at - probe.written_at
            found.append(
                f"{probe.instance} does not know {probe.route} {waited:.2f} s "
                "after it was added"
            )
    return found


def sent_to_unlisted_servers(seen: Observations) -> list[str]:
    """Return the requests that reached servers long after the store had them leave."""
    sent_by = {item.request: item for item in seen.exchanges}
    found = []
    for run, unlisted_at in seen.unlisted_at.items():
        for at, request in seen.arrivals.get(run, ()):
            sent = sent_by.get(request)
            if (
                sent is not None
                and at > unlisted_at + DRAIN_SECONDS + ORDER_DELAY_SECONDS
                and in_touch(seen, sent.instance, at)
                and not overlaps((unlisted_at, at), seen.delays.get(run, ()))
                and not overlaps(
                    (unlisted_at - STABILITY_SECONDS, at), seen.store_disturbed
                )
            ):
                found.append(
                    f"{request}: reached {run} from {sent.instance} "
                    f"{at - unlisted_at:.2f} s after its row said that it leaves"
                )
    return found


def sent_after_notices(seen: Observations) -> list[str]:
    """Return the requests that reached servers after the sender knew that they leave.

    An instance knows it once it has passed on an answer that says so.
    """
    sent_by = {item.request: item for item in seen.exchanges}
    found = []
    for run, said_at in seen.said_at.items():
        arrivals = [
            (at, sent_by[request])
            for at, request in seen.arrivals.get(run, ())
            if at > said_at and request in sent_by
        ]
        for at, sent in arrivals:
            known_at = min(
                (
                    earlier.ended_at
                    for _, earlier in arrivals
                    if earlier.instance == sent.instance
                    and earlier.status == HTTP_OK
                    and earlier.ending is Ending.WHOLE
                ),
                default=sent.sent_at,
            )
            if sent.sent_at > known_at + DRAIN_SECONDS and not overlaps(
                (known_at, at), seen.disturbed.get(sent.instance, ())
            ):
                found.append(
                    f"{sent.request}: reached {run} from {sent.instance} "
                    f"{at - known_at:.2f} s after an answer said that it leaves"
                )
    return found


def in_touch(
    seen: Observations, instance: str, at: float, since: float | None = None
) -> bool:
    """Return whether an instance ran undisturbed for long enough before a moment."""
    began = at - STABILITY_SECONDS if since is None else since
    return not overlaps((began, at), seen.disturbed.get(instance, ()))
