"""Request limits that servers name in their answers, for all instances together."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog

log = EventLog("membership")

# Server runs to remember; the oldest is forgotten first.
MAX_RUNS = 4096
# A server that was not heard of for so long gets requests at this rate, if its limit
# was lower, so that it can say whether it still has one.
STATEMENT_LIFETIME = timedelta(seconds=30)
PROBES_PER_SECOND = 0.5
# A withdrawn limit is remembered this long, to be reported to owners.
WITHDRAWAL_LIFETIME = timedelta(seconds=10)

# A server and the start time of its run.
ServerRun = tuple[ServerId, int]


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What a server run last said of its limit, None if it named none."""

    per_second: float | None
    at: timedelta


class RequestLimits:
    """The request limits that server runs named in their last answers."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.statements: OrderedDict[ServerRun, LimitStatement] = OrderedDict()

    def record(
        self, run: ServerRun, limit: float | None, at: timedelta | None = None
    ) -> None:
        """Record the limit that a server run named in an answer, if any.

        `at` is when the answer came, now if it came here.
        """
        at = self.clock.monotonic() if at is None else at
        known = self.statements.get(run)
        if known is None and limit is None:
            return
        if known is not None and at < known.at:
            return
        if known is None or known.per_second != limit:
            log.info(
                "server_limit",
                server=run[0],
                requests_per_second="" if limit is None else limit,
            )
        elif limit is None:
            return
        self.statements[run] = LimitStatement(limit, at)
        self.statements.move_to_end(run)
        while len(self.statements) > MAX_RUNS:
            self.statements.popitem(last=False)

    def find(self, run: ServerRun) -> float | None:
        """Return the requests a second that a server run takes, None if unlimited."""
        statement = self.statements.get(run)
        if statement is None or statement.per_second is None:
            return None
        if self.clock.monotonic() - statement.at > STATEMENT_LIFETIME:
            return max(statement.per_second, PROBES_PER_SECOND)
        return statement.per_second

    def recent(self) -> Iterator[tuple[ServerRun, LimitStatement]]:
        """Yield the statements that a new owner has to know."""
        now = self.clock.monotonic()
        for run, statement in self.statements.items():
            withdrawn = statement.per_second is None
            if now - statement.at <= (
                WITHDRAWAL_LIFETIME if withdrawn else STATEMENT_LIFETIME
            ):
                yield run, statement
