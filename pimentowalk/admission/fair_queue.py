"""Queues that decide which waiting work a backend server runs next."""

import collections
import math

import attrs

from pimentowalk.core import registry

POLICIES = registry.Registry('queue policy')

# Work that has waited for this share of the longest wait goes before
# younger short work of its account, so that long work cannot starve.
AGEING_SHARE = 0.25
# Idle accounts whose virtual cost is ahead are kept; beyond this many more
# accounts than waiting ones, those that have become irrelevant are dropped.
SPARE_ACCOUNTS = 64


@attrs.frozen
class QueueLimits:
    """Bounds and reserves of one queue; see `contracts.Service`."""

    max_running: int = 1
    short_cost_tokens: int = 200
    short_reserve_percent: int = 25
    max_queue_s: float = 30.0
    max_queue_requests: int = 1000

    @property
    def max_long_running(self):
        """Return how many places long work may hold, at least one."""
        reserved = math.ceil(
            self.max_running * self.short_reserve_percent / 100
        )
        return max(1, self.max_running - reserved)


@attrs.define(eq=False)
class WorkItem:
    """One queued or running item of work.

    `cost` is the predicted cost in tokens and `produced` the output so far.
    An item that is still queued at `due_s` is rejected. `isolate` marks a
    crash suspect: only one suspect runs at a time, so that a further crash
    has a single possible cause.
    """

    key: object
    account: str
    weight: float
    cost: float
    arrived_s: float
    due_s: float = math.inf
    isolate: bool = False
    produced: float = 0.0
    short: bool = False

    @property
    def charge(self):
        """Return the cost by which the account's share is counted."""
        return max(self.cost, self.produced)


@attrs.define(eq=False)
class AccountQueue:
    """The waiting work of one client account.

    `virtual` is the cost served to the account divided by its weight.
    """

    weight: float = 1.0
    virtual: float = 0.0
    waiting_cost: float = 0.0
    running_cost: float = 0.0
    running: int = 0
    short: collections.deque = attrs.field(factory=collections.deque)
    long: collections.deque = attrs.field(factory=collections.deque)
    alone: collections.deque = attrs.field(factory=collections.deque)

    def __len__(self):
        return len(self.short) + len(self.long) + len(self.alone)

    @property
    def excess(self):
        """Return the waiting and running cost relative to the weight."""
        return (self.waiting_cost + self.running_cost) / self.weight

    def newest(self):
        """Return the work that arrived last."""
        queues = (self.short, self.long, self.alone)
        ends = [queue[-1] for queue in queues if queue]
        return max(ends, key=lambda work: work.arrived_s)

    def queue_of(self, work):
        """Return the deque that holds a piece of work."""
        if work.isolate:
            return self.alone
        return self.short if work.short else self.long

    def choose(self, long_allowed, aged_before_s):
        """Return the work to run next, or None."""
        long = self.long[0] if self.long and long_allowed else None
        if not self.short:
            return long
        short = self.short[0]
        if long is not None and long.arrived_s <= aged_before_s:
            return min(long, short, key=lambda work: work.arrived_s)
        return short


class BaseQueue:
    """Count places, bounds and suspects; a policy chooses the order.

    Suspects go first: they have been admitted before.
    """

    def __init__(self, limits):
        self.limits = limits
        self.waiting = {}
        self.running = {}
        self.suspects = {}
        self.waiting_cost = 0.0

    @property
    def running_long(self):
        """Return how many long pieces of work run."""
        return sum(not work.short for work in self.running.values())

    def push(self, work):
        """Add work; return the work that is refused in exchange, if any."""
        work.short = work.cost <= self.limits.short_cost_tokens
        self.waiting[work.key] = work
        self.waiting_cost += work.cost
        if work.isolate:
            self.suspects[work.key] = work
        self.add(work)
        if len(self.waiting) <= self.limits.max_queue_requests:
            return None
        refused = self.least_entitled(work)
        self.remove(refused.key)
        return refused

    def pop(self, now_s):
        """Return the next work, now counted as running, or None."""
        if len(self.running) >= self.limits.max_running:
            return None
        work = self._next(now_s)
        if work is None:
            return None
        self.take(work)
        del self.waiting[work.key]
        self.suspects.pop(work.key, None)
        self.waiting_cost -= work.cost
        self.running[work.key] = work
        return work

    def _next(self, now_s):
        aged_before_s = now_s - AGEING_SHARE * self.limits.max_queue_s
        suspect = next(iter(self.suspects.values()), None)
        if suspect is None or self._runs_suspect():
            return self.choose(aged_before_s)
        return suspect

    def _runs_suspect(self):
        return any(work.isolate for work in self.running.values())

    def clear_suspect(self, key):
        """Let the next suspect run beside running work."""
        work = self.running.get(key)
        if work is not None:
            work.isolate = False

    def remove(self, key):
        """Remove waiting work; return it, or None if it does not wait."""
        work = self.waiting.pop(key, None)
        if work is not None:
            self.suspects.pop(key, None)
            self.waiting_cost -= work.cost
            self.discard(work)
        return work

    def expire(self, now_s):
        """Remove and return the work that has waited too long."""
        oldest_s = now_s - self.limits.max_queue_s
        late = [
            work
            for work in self.waiting.values()
            if work.arrived_s <= oldest_s or work.due_s <= now_s
        ]
        for work in late:
            self.remove(work.key)
        return late

    def record_output(self, key, tokens):
        """Correct the cost of running work by what it has made."""
        work = self.running.get(key)
        if work is not None:
            before = work.charge
            work.produced += tokens
            self.correct(work, work.charge - before)

    def finish(self, key):
        """Free the place of running work and settle its cost."""
        work = self.running.pop(key, None)
        if work is not None:
            self.correct(work, work.produced - work.charge)
            self.settle(work)

    def adopt(self, work):
        """Count work as running that another queue has started."""
        self.running[work.key] = work

    def correct(self, work, difference):
        """Charge a difference between predicted and real cost."""

    def settle(self, work):
        """Forget work that ran."""


@POLICIES.register('fifo')
class FifoQueue(BaseQueue):
    """Run work in the order of arrival: the baseline for comparisons."""

    def add(self, work):
        """Keep arrival order, which the dict of waiting work has."""

    def discard(self, work):
        """Keep nothing besides the dict of waiting work."""

    def take(self, work):
        """Keep nothing besides the dict of running work."""

    def least_entitled(self, newest):
        """Refuse the work that came last."""
        return newest

    def choose(self, aged_before_s):
        """Return the oldest work that is no suspect."""
        ordinary = (w for w in self.waiting.values() if not w.isolate)
        return next(ordinary, None)


@POLICIES.register('fair')
class FairQueue(BaseQueue):
    """Share places between client accounts by weight in token cost.

    The account with the least virtual cost goes first (start-time fair
    queueing). An account that was idle starts at the present virtual time,
    so that it gets neither a credit nor a debt for the time it was away.
    """

    def __init__(self, limits):
        super().__init__(limits)
        self.accounts = {}
        self.backlogged = {}
        self.virtual_now = 0.0

    def add(self, work):
        """Queue work under its account."""
        account = self._account(work)
        if not account:
            account.virtual = max(account.virtual, self.virtual_now)
        account.waiting_cost += work.cost
        account.queue_of(work).append(work)
        self.backlogged[work.account] = account
        if len(self.accounts) > SPARE_ACCOUNTS + 2 * len(self.backlogged):
            for name in list(self.accounts):
                self._forget_idle(name)

    def discard(self, work):
        """Remove waiting work from its account."""
        self._leave(work)
        self._forget_idle(work.account)

    def take(self, work):
        """Move work from waiting to running and charge its cost."""
        # An account that is passed over, because its long work may not run
        # now, holds the virtual time back. Otherwise an account that comes
        # back from idle would start behind it and wait for no reason.
        least = min(a.virtual for a in self.backlogged.values())
        self.virtual_now = max(self.virtual_now, least)
        account = self._leave(work)
        account.running += 1
        account.running_cost += work.cost
        account.virtual += work.cost / account.weight

    def adopt(self, work):
        """Count the cost of adopted work for its account."""
        super().adopt(work)
        account = self._account(work)
        account.running += 1
        account.running_cost += work.charge
        account.virtual += work.charge / account.weight

    def correct(self, work, difference):
        """Charge or credit the account of running work."""
        account = self.accounts[work.account]
        account.virtual += difference / account.weight
        account.running_cost += difference

    def settle(self, work):
        """Stop counting work that has ended."""
        account = self.accounts[work.account]
        account.running -= 1
        account.running_cost -= work.produced
        self._forget_idle(work.account)
        if not self.running and not self.waiting:
            # The busy period ends, and with it all credits and debts.
            virtuals = [a.virtual for a in self.accounts.values()]
            self.virtual_now = max([self.virtual_now, *virtuals])
            self.accounts.clear()

    def least_entitled(self, newest):
        """Return the newest work of the account furthest over its share."""
        waiting = self.backlogged.values()
        return max(waiting, key=lambda a: a.excess).newest()

    def choose(self, aged_before_s):
        """Return the next work by share, length and age."""
        long_allowed = self.running_long < self.limits.max_long_running
        waiting = self.backlogged.values()
        for account in sorted(waiting, key=lambda a: a.virtual):
            work = account.choose(long_allowed, aged_before_s)
            if work is not None:
                return work
        return None

    def _leave(self, work):
        account = self.accounts[work.account]
        account.queue_of(work).remove(work)
        account.waiting_cost -= work.cost
        if not account:
            del self.backlogged[work.account]
        return account

    def _account(self, work):
        account = self.accounts.get(work.account)
        if account is None:
            account = AccountQueue(virtual=self.virtual_now)
            self.accounts[work.account] = account
        account.weight = work.weight
        return account

    def _forget_idle(self, name):
        # An account without work keeps its virtual cost only while that is
        # ahead of the present virtual time.
        account = self.accounts[name]
        idle = not account and not account.running
        if idle and account.virtual <= self.virtual_now:
            del self.accounts[name]


def reconfigure(queue, service):
    """Return a queue under the policy and limits of a `Service`.

    Waiting and running work is kept. Work beyond a lowered bound is refused
    as further work arrives.
    """
    limits = QueueLimits(
        queue.limits.max_running,
        service.short_cost_tokens,
        service.short_reserve_percent,
        service.max_queue_s,
        service.max_queue_requests,
    )
    policy = POLICIES.get(service.queue_policy)
    if type(queue) is policy:
        queue.limits = limits
        return queue
    fresh = policy(attrs.evolve(limits, max_queue_requests=len(queue.waiting)))
    for work in queue.running.values():
        fresh.adopt(work)
    for work in queue.waiting.values():
        fresh.push(work)
    fresh.limits = limits
    return fresh
