"""Request limits that servers name in their answers, for all instances together."""

from collections import OrderedDict

from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog

log = EventLog("membership")

# Server runs to remember; the oldest is forgotten first.
MAX_RUNS = 4096

# A server and the start time of its run.
ServerRun = tuple[ServerId, int]


class RequestLimits:
    """The request limits that server runs named in their last answers."""

    def __init__(self) -> None:
        self.limits: OrderedDict[ServerRun, float] = OrderedDict()

    def record(self, run: ServerRun, limit: float | None) -> None:
        """Record the limit that a server run named in an answer, if any."""
        if self.limits.get(run) == limit:
            return
        log.info(
            "server_limit",
            server=run[0],
            requests_per_second="" if limit is None else limit,
        )
        self.limits.pop(run, None)
        if limit is not None:
            self.limits[run] = limit
        while len(self.limits) > MAX_RUNS:
            self.limits.popitem(last=False)
