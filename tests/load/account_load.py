"""Requests of client accounts at the owner of a cell, on a virtual clock."""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, replace
from datetime import timedelta

from magnoliatrail.generated.cells import SlotDecision
from magnoliatrail.routing.account_shares import work_of
from tests.load.cell import PREFILL_PER_MS, PROMPT_TOKENS, STEP_MS, Cell, report_ended

STEP = timedelta(milliseconds=10)
OUTPUT_TOKENS = 172
# What one engine of the harness serves of such requests a second, by its prompts.
REQUESTS_PER_ENGINE = 12.0


@dataclass(frozen=True, slots=True)
class AccountLoad:
    """What one account asks, and its quota."""

    name: str
    per_second: float
    # Tokens a second of the quota, 0 without a limit.
    rate: float = 0.0
    tokens: int = PROMPT_TOKENS
    priority: int = 0
    route_priority: int = 1

    def times(self, factor):
        """Return the load of an account that sends more."""
        return replace(self, per_second=self.per_second * factor)


class Result:
    """What each account asked and got."""

    def __init__(self):
        self.asked = Counter()
        self.served = Counter()
        self.on_time = Counter()
        self.work = Counter()

    def share(self, *names):
        """Return the share of the accounts' requests that were served."""
        names = names or tuple(self.asked)
        asked = sum(self.asked[name] for name in names)
        return sum(self.served[name] for name in names) / asked


def equal_accounts(count, per_second, rate=1000.0):
    """Return accounts that together ask so much."""
    return [
        AccountLoad(f"account{number}", per_second / count, rate)
        for number in range(count)
    ]


async def play(
    loads, *, engines, seconds, halve_at=None, measured_from=0, with_accounts=True
):
    """Play Poisson arrivals of each account; return what was asked and served.

    Half of the engines end at `halve_at`, and what they run is lost. Requests count
    from `measured_from` seconds on.
    """
    cell = Cell(engines=engines)
    sources = {load.name: random.Random(load.name) for load in loads}
    result, waiting, ends = Result(), {}, defaultdict(list)
    arrivals = {
        load.name: sources[load.name].expovariate(load.per_second) for load in loads
    }
    cell.clock.advance(timedelta(seconds=100))
    for step in range(int(seconds * 100)):
        now = step / 100
        if now == halve_at:
            for number in range(engines // 2):
                cell.owner.engines.pop((f"e{number}", 1))
        for load in loads:
            while arrivals[load.name] <= now:
                request = f"{load.name}-{step}-{arrivals[load.name]:.6f}"
                arrivals[load.name] += sources[load.name].expovariate(load.per_second)
                account = (
                    {
                        "account": load.name,
                        "account_priority": load.priority,
                        "account_rate": load.rate,
                    }
                    if with_accounts
                    else {}
                )
                asked = cell.request_slot(
                    request,
                    "",
                    tokens=load.tokens,
                    priority=load.route_priority,
                    **account,
                )
                waiting[request] = (load, asked, step)
                if now >= measured_from:
                    result.asked[load.name] += 1
        await cell.pass_time(10)
        for request, (load, asked, since) in list(waiting.items()):
            if not asked.done():
                continue
            del waiting[request]
            answer = asked.result()
            if answer.state is not SlotDecision.GRANTED:
                continue
            runs = load.tokens / PREFILL_PER_MS + OUTPUT_TOKENS * STEP_MS
            ends[step + int(runs / 10)].append((request, answer.server))
            if since / 100 >= measured_from:
                result.served[load.name] += 1
                result.work[load.name] += work_of(load.tokens, OUTPUT_TOKENS)
                result.on_time[load.name] += (step - since) * 10 <= 500
        for request, server in ends.pop(step, ()):
            report_ended(cell, request, server)
    return result
