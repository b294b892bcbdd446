"""Many instances and coordinators of one cell in simulated time, with faults.

A reference that sees all uses checks the bound over each window.
"""

import heapq
import random
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count

from magnoliatrail.accounts.account_share import Charge, QuotaRefusal, WaitingCharge
from magnoliatrail.accounts.accounts import ClientAccount, Quota, QuotaUnit
from magnoliatrail.accounts.coordinator import NO_ANSWER, QuotaCoordinator
from magnoliatrail.accounts.quota_ledger import QuotaTerms
from magnoliatrail.accounts.shares import QuotaShares
from magnoliatrail.ids import AccountName, CellId, Incarnation, InstanceId

STEP = 0.02
CALL_TIMEOUT = 0.5
# Callers' requests wait this long for a coordinator: 0.8 of a goal of 0.75 s.
WAIT = 0.6
# A lease ends this long after its last renewal at the latest.
TAKEOVER_GAP = 2.3


def seconds(value):
    return timedelta(seconds=value)


def account_of(rate, burst, *, unit=QuotaUnit.TOKENS, plain=200.0, name="a"):
    quota = Quota(per_second=rate, burst=burst, unit=unit, plain_tokens=plain)
    return ClientAccount(AccountName(name), 0, quota)


@dataclass
class Load:
    """Requests of one account: how many a second, what they cost, and where."""

    account: str
    per_second: float
    costs: tuple[float, ...]
    instances: tuple[str, ...] = ()  # empty: all
    begins: float = 0.0
    ends: float = 1e9
    priorities: tuple[int, ...] = (0,)
    # Share of the requests that fail without having run.
    not_run: float = 0.0


@dataclass
class Node:
    """One instance."""

    shares: QuotaShares
    frozen_until: float = -1.0
    group: int = 0
    arrived: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    # Whether the coordinator's beginning has been reported to.
    reported_to: object = None
    retry_at: float = 0.0


@dataclass
class Tally:
    """What became of the requests of one account."""

    asked: float = 0.0
    uses: list = field(default_factory=list)  # sent, used, cost
    refused: dict = field(default_factory=dict)
    retry_after: list = field(default_factory=list)


class QuotaFleet:
    """Instances that share the quotas of a cell."""

    def __init__(self, names, accounts, terms, *, seed=0, loads=(), fresh=True):
        self.generator = random.Random(seed)
        self.now = 100.0
        self.began = self.now
        self.terms = terms
        self.accounts = {account.name: account for account in accounts}
        self.loads = list(loads)
        self.incarnations = count(1)
        self.events = []
        self.order = count()
        self.nodes = {}
        self.listed_at = {}
        self.loss = 0.0
        self.delay = (0.001, 0.008)
        self.tallies = {account.name: Tally() for account in accounts}
        # Limits of each account, and since when each is in force.
        self.limits = {account.name: [(0.0, account.quota)] for account in accounts}
        for name in names:
            self.start(name)
        self.coordinator = None
        self.host = None
        self.begin_coordinator(names[0], fresh=fresh)

    # Faults

    def start(self, name):
        incarnation = f"{name}-{next(self.incarnations)}"
        self.nodes[name] = Node(
            QuotaShares(
                terms=self.terms,
                cell=CellId("0"),
                instance=InstanceId(name),
                incarnation=Incarnation(incarnation),
            )
        )

    def begin_coordinator(self, name, *, fresh=False):
        """Let an instance coordinate from now on."""
        self.host = name
        self.coordinator = QuotaCoordinator(
            terms=self.terms,
            began_at=seconds(self.now),
            fresh_fleet=fresh,
            generator=self.generator,
            known=dict(self.listed_at),
        )

    def end_coordinator(self, gap, group=None):
        """End the ownership; another instance begins one after a gap."""
        self.coordinator = self.host = None

        def begin():
            if self.coordinator is not None:
                return
            able = [
                name
                for name, node in self.nodes.items()
                if not self.is_frozen(node) and (group is None or node.group == group)
            ]
            if able:
                self.begin_coordinator(self.generator.choice(able))
            else:
                self.at(self.now + 0.5, begin)

        self.at(self.now + gap, begin)

    def kill(self, names, returns_after):
        for name in names:
            self.nodes.pop(name, None)
            if returns_after is not None:
                self.at(self.now + returns_after, lambda name=name: self.start(name))
        if self.host in names:
            self.end_coordinator(TAKEOVER_GAP)

    def freeze(self, name, duration):
        node = self.nodes.get(name)
        if node is None:
            return
        node.frozen_until = self.now + duration
        if self.host == name and duration > 1.0:
            # The lease ends; the next owner waits for its end.
            self.at(
                self.now + 1.0,
                lambda: self.host == name and self.end_coordinator(TAKEOVER_GAP - 1),
            )

    def partition(self, names, duration):
        for name in names:
            if name in self.nodes:
                self.nodes[name].group = 1
        if self.host in names and self.generator.random() < 0.5:
            self.end_coordinator(TAKEOVER_GAP, group=0)
        self.at(self.now + duration, self.heal)

    def heal(self):
        for node in self.nodes.values():
            node.group = 0

    def leave(self, name):
        """Let an instance end as planned."""
        node = self.nodes.get(name)
        if node is None or len(self.nodes) == 1:
            return
        node.shares.leaving = True
        self.send(name, node)
        self.at(self.now + 0.1, lambda: self.nodes.pop(name, None))
        if self.host == name:
            self.end_coordinator(0.1)

    def change_limit(self, account):
        """Put another limit of an account in force."""
        self.accounts[account.name] = account
        self.limits[account.name].append((self.now, account.quota))

    # Time

    def at(self, when, action):
        heapq.heappush(self.events, (when, next(self.order), action))

    def is_frozen(self, node):
        return self.now < node.frozen_until

    def run(self, duration, faults=()):
        begin = self.now
        for when, action in faults:
            self.at(begin + when, action)
        while self.now < begin + duration:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            self.bring_requests()
            host = self.nodes.get(self.host)
            for name, node in list(self.nodes.items()):
                if host is None or node.group == host.group:
                    self.listed_at[name] = seconds(self.now)
                if not self.is_frozen(node):
                    self.work(name, node)
        return self

    def bring_requests(self):
        time = self.now - self.began
        for load in self.loads:
            names = [n for n in load.instances or self.nodes if n in self.nodes]
            if not load.begins <= time < load.ends or not names:
                continue
            expected = load.per_second * STEP
            number = int(expected + self.generator.random())
            for _ in range(number):
                cost = self.generator.choice(load.costs)
                name = self.generator.choice(names)
                self.tallies[load.account].asked += cost
                self.nodes[name].arrived.append((self.now, load, cost))

    def work(self, name, node):
        """Do what an instance does in one step."""
        now = seconds(self.now)
        arrived, node.arrived = node.arrived, []
        for sent, load, cost in arrived:
            account = self.accounts[load.account]
            charge = node.shares.try_take(account, cost, now)
            settle = self.settler(name, node, load, sent, cost)
            if charge:
                settle(charge)
                continue
            waiting = WaitingCharge(
                account, cost, self.generator.choice(load.priorities), settle
            )
            node.waiting.append((self.now + WAIT, waiting, load))
            node.shares.enqueue(waiting)
        node.shares.take_fallback(now)
        for until, waiting, load in node.waiting:
            if not waiting.done and self.now >= until:
                node.shares.cancel(waiting)
                self.refuse(load, "unanswered")
        node.waiting = [item for item in node.waiting if not item[1].done]
        if node.reported_to is not self.coordinator:
            node.reported_to = self.coordinator
            node.shares.reports = True
        self.send(name, node)

    def settler(self, name, node, load, sent, cost):
        def settle(outcome):
            if isinstance(outcome, QuotaRefusal):
                self.refuse(load, str(outcome.status))
                self.tallies[load.account].retry_after.append(outcome.retry_after)
                return
            assert isinstance(outcome, Charge)
            if self.generator.random() < load.not_run:
                later = self.generator.uniform(0.0, 1.5)
                self.at(
                    self.now + later,
                    lambda: node.shares.give_back(outcome, seconds(self.now)),
                )
            else:
                self.tallies[load.account].uses.append((sent, self.now, cost))

        return settle

    def refuse(self, load, reason):
        refused = self.tallies[load.account].refused
        refused[reason] = refused.get(reason, 0) + 1

    # Messages

    def send(self, name, node):
        if self.now < node.retry_at:
            return
        message = node.shares.next_message(seconds(self.now))
        if message is None:
            return
        sent_at = self.now
        deadline = sent_at + CALL_TIMEOUT
        state = {"done": False}

        def fail():
            if not state["done"] and self.nodes.get(name) is node:
                state["done"] = True
                node.shares.record_failure(message, seconds(self.now))
                node.retry_at = self.now + 0.05

        def arrive():
            host = self.nodes.get(self.host)
            if host is None or (host is not node and host.group != node.group):
                return
            if self.is_frozen(host):
                self.at(host.frozen_until, arrive)
                return
            answer = NO_ANSWER
            if self.coordinator:
                answer = self.coordinator.answer(
                    message, self.accounts, seconds(self.now)
                )
            if not self.is_lost(node, host):
                self.at(self.now + self.trip(node, host), lambda: receive(answer))

        def receive(answer):
            if self.nodes.get(name) is not node:
                return
            if self.is_frozen(node):
                self.at(node.frozen_until, lambda: receive(answer))
                return
            # After a freeze, the answer may be read before the timer is looked at.
            frozen_meanwhile = node.frozen_until > sent_at
            if not state["done"] and (self.now <= deadline or frozen_meanwhile):
                state["done"] = True
                node.shares.apply(message, answer, seconds(self.now))
                if not answer.coordinates:
                    node.retry_at = self.now + 0.05

        def expire():
            if self.nodes.get(name) is node and self.is_frozen(node):
                self.at(node.frozen_until, expire)
            else:
                fail()

        self.at(deadline, expire)
        host = self.nodes.get(self.host)
        if host is None or self.is_lost(node, host):
            return
        self.at(self.now + self.trip(node, host), arrive)
        if self.loss and self.generator.random() < 0.1:
            # The connection's repeat of a message on another connection.
            self.at(self.now + self.trip(node, host) + 0.2, arrive)

    def trip(self, node, host):
        return 0.0 if node is host else self.generator.uniform(*self.delay)

    def is_lost(self, node, host):
        if node is host:
            return False
        return node.group != host.group or self.generator.random() < self.loss

    # The reference

    def largest_window(self, name, window=8.0):
        """Return the largest sum of uses that were sent and used in one window."""
        uses = sorted(self.tallies[name].uses)
        largest = 0.0
        for first, (begin, _, _) in enumerate(uses):
            total = 0.0
            for sent, used, cost in uses[first:]:
                if sent > begin + window:
                    break
                if used <= begin + window:
                    total += cost
            largest = max(largest, total)
        return largest

    def excess(self, name, bound, window=8.0):
        """Return the largest part of a window's uses above its bound.

        A lowered limit binds one window after it is in force.
        """
        uses = sorted(self.tallies[name].uses)
        limits = self.limits[name]
        largest = float("-inf")
        for first, (begin, _, _) in enumerate(uses):
            total = 0.0
            for sent, used, cost in uses[first:]:
                if sent > begin + window:
                    break
                if used <= begin + window:
                    total += cost
            ends = [at for at, _ in limits[1:]] + [float("inf")]
            allowed = max(
                bound(quota)
                for (since, quota), end in zip(limits, ends, strict=True)
                if since <= begin + window and end >= begin - window
            )
            largest = max(largest, total - allowed)
        return largest

    def used(self, name, begin=0.0, end=1e9):
        """Return the sum of uses between two times of the run."""
        return sum(
            cost
            for _, used, cost in self.tallies[name].uses
            if begin <= used - self.began < end
        )


def terms_of(*, slack=11_000.0, overage=0.1, window=8.0):
    return QuotaTerms(window=seconds(window), overage=overage, slack=slack)
