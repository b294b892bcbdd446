"""Requests of client accounts at the owner of a cell, on a virtual clock."""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, replace

from magnoliatrail.cells.waiting import waiting_request
from magnoliatrail.generated.cells import SlotDecision
from magnoliatrail.routing.account_shares import work_of
from tests.load.cell import PREFILL_PER_MS, PROMPT_TOKENS, STEP_MS, Cell, report_ended

OUTPUT_TOKENS = 172
PREFILL_PER_SECOND = PREFILL_PER_MS * 1000
GOAL_SECONDS = 0.8
DECODE_SECONDS = OUTPUT_TOKENS * STEP_MS / 1000
# What one engine of the harness serves of usual requests a second.
REQUESTS_PER_SECOND = 10.0


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

    def at_level(self, priority):
        """Return the load of an account of another priority."""
        return replace(self, priority=priority)

    def at_rate(self, rate):
        """Return the load of an account with another quota."""
        return replace(self, rate=rate)


def work_per_second(load):
    """Return the work that an account asks in a second."""
    return load.per_second * work_of(load.tokens, OUTPUT_TOKENS)


def equal_accounts(count, per_second, rate=1000.0):
    """Return accounts that together ask so many requests a second."""
    return [
        AccountLoad(f"account{number}", per_second / count, rate)
        for number in range(count)
    ]


class AccountPlay:
    """Requests of accounts at one cell, and what they asked and got."""

    def __init__(self, *, engines, measured_from, with_accounts):
        self.cell = Cell(engines=engines)
        # Requests that arrive earlier, in seconds, do not count.
        self.measured_from = measured_from
        self.with_accounts = with_accounts
        self.asked, self.served, self.in_time = Counter(), Counter(), Counter()
        self.work = Counter()
        # Load, waiting request and arrival of each request without an answer.
        self.waiting = {}
        # When each engine has read all its prompts, in seconds.
        self.reads_until = defaultdict(float)
        # Requests by the step at whose end they send an event first, and last.
        self.begins, self.ends = defaultdict(list), defaultdict(list)

    def share(self, *names):
        """Return the share of the accounts' requests that were served."""
        names = names or tuple(self.asked)
        asked = sum(self.asked[name] for name in names)
        return sum(self.served[name] for name in names) / asked

    def ask(self, name, load, now):
        """Put a request into the queue, without the time limit of a long poll."""
        account = {
            "account": load.name,
            "account_priority": load.priority,
            "account_rate": load.rate,
        }
        message = self.cell.slot_request(
            name,
            "",
            tokens=load.tokens,
            priority=load.route_priority,
            **(account if self.with_accounts else {}),
        )
        request = waiting_request(message, self.cell.clock.monotonic())
        self.cell.owner.queue.add(request)
        self.waiting[name] = load, request, now
        if now >= self.measured_from:
            self.asked[load.name] += 1

    def take_answers(self, now):
        """Run the requests that were granted a slot."""
        for name, (load, request, since) in list(self.waiting.items()):
            if request.answer.done():
                del self.waiting[name]
                answer = request.answer.result()
                if answer.state is SlotDecision.GRANTED:
                    self.run(name, load, answer.server, since, now)

    def run(self, name, load, server, since, now):
        """Run a request on its engine, which reads one prompt after the other."""
        reads = load.tokens / PREFILL_PER_SECOND
        first = self.reads_until[server] = max(now, self.reads_until[server]) + reads
        self.begins[int(first * 100) + 1].append(name)
        self.ends[int((first + DECODE_SECONDS) * 100) + 1].append((name, server))
        if since >= self.measured_from:
            self.served[load.name] += 1
            self.work[load.name] += work_of(load.tokens, OUTPUT_TOKENS)
            self.in_time[load.name] += now - since <= GOAL_SECONDS

    def report(self, step):
        """Report the requests that begin and end in a step."""
        for name in self.begins.pop(step, ()):
            self.cell.owner.slots_in_use.record_started(name)
        for name, server in self.ends.pop(step, ()):
            report_ended(self.cell, name, server)


async def play(
    loads, *, engines, seconds, halve_at=None, measured_from=0, with_accounts=True
):
    """Play Poisson arrivals of each account; return what was asked and served.

    Half of the engines end at `halve_at`, and what they run is lost.
    """
    played = AccountPlay(
        engines=engines, measured_from=measured_from, with_accounts=with_accounts
    )
    numbers = {load.name: random.Random(load.name) for load in loads}
    arrivals = {
        load.name: numbers[load.name].expovariate(load.per_second) for load in loads
    }
    for step in range(int(seconds * 100)):
        now = step / 100
        if now == halve_at:
            for number in range(engines // 2):
                played.cell.owner.engines.pop((f"e{number}", 1))
        for load in loads:
            while arrivals[load.name] <= now:
                played.ask(f"{load.name}-{arrivals[load.name]:.6f}", load, now)
                arrivals[load.name] += numbers[load.name].expovariate(load.per_second)
        await played.cell.pass_time(10)
        played.take_answers(now)
        played.report(step)
    return played
