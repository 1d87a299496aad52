"""Queue policies: the order in which a backend server runs waiting work."""

import collections
import math

import attrs

from pimentowalk.core import registry

POLICIES = registry.Registry('queue policy')

# Work that has waited for this share of the maximum wait runs before newer
# short work of its account, so that long work cannot starve.
AGEING_SHARE = 0.25
# An idle account is kept while its virtual cost is ahead of the virtual time.
# The other idle accounts are removed once there are this many accounts more
# than twice the number of backlogged ones.
MAX_SPARE_ACCOUNTS = 64


@attrs.frozen
class QueueLimits:
    """Limits of one queue; see `contracts.Service`."""

    max_running: int = 1
    short_cost_tokens: int = 200
    short_reserve_percent: int = 25
    max_queue_s: float = 30.0
    max_queue_requests: int = 1000

    @property
    def max_long_running(self):
        """Return how many slots long work may occupy, at least one."""
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
    is_short: bool = False

    @property
    def charged_cost(self):
        """Return the cost that is charged to the account."""
        return max(self.cost, self.produced)


@attrs.define(eq=False)
class AccountQueue:
    """Waiting work and costs of one client account.

    `virtual_cost` is the cost served to the account divided by its weight.
    """

    weight: float = 1.0
    virtual_cost: float = 0.0
    waiting_cost: float = 0.0
    running_cost: float = 0.0
    running: int = 0
    short: collections.deque = attrs.field(factory=collections.deque)
    long: collections.deque = attrs.field(factory=collections.deque)
    isolated: collections.deque = attrs.field(factory=collections.deque)

    def __len__(self):
        return len(self.short) + len(self.long) + len(self.isolated)

    @property
    def normalized_cost(self):
        """Return the waiting and running cost divided by the weight."""
        return (self.waiting_cost + self.running_cost) / self.weight

    def newest(self):
        """Return the most recent arrival."""
        queues = (self.short, self.long, self.isolated)
        ends = [queue[-1] for queue in queues if queue]
        return max(ends, key=lambda work: work.arrived_s)

    def queue_of(self, work):
        """Return the deque for this work."""
        if work.isolate:
            return self.isolated
        return self.short if work.is_short else self.long

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
    """Common part of queues: slots, limits and crash suspects.

    Suspects run first, because they have been admitted before.
    """

    def __init__(self, limits):
        self.limits = limits
        self.waiting = {}
        self.running = {}
        self.suspects = {}
        self.waiting_cost = 0.0

    @property
    def running_long(self):
        """Return how many running items are long."""
        return sum(not work.is_short for work in self.running.values())

    def push(self, work):
        """Add work; return the work that is rejected for it, or None."""
        work.is_short = work.cost <= self.limits.short_cost_tokens
        self.waiting[work.key] = work
        self.waiting_cost += work.cost
        if work.isolate:
            self.suspects[work.key] = work
        self.add(work)
        if len(self.waiting) <= self.limits.max_queue_requests:
            return None
        rejected = self.select_victim(work)
        self.remove(rejected.key)
        return rejected

    def pop(self, now_s):
        """Start the next work and return it, or None."""
        if len(self.running) >= self.limits.max_running:
            return None
        work = self._select(now_s)
        if work is None:
            return None
        self.take(work)
        del self.waiting[work.key]
        self.suspects.pop(work.key, None)
        self.waiting_cost -= work.cost
        self.running[work.key] = work
        return work

    def _select(self, now_s):
        aged_before_s = now_s - AGEING_SHARE * self.limits.max_queue_s
        suspect = next(iter(self.suspects.values()), None)
        if suspect is None or self._runs_suspect():
            return self.choose(aged_before_s)
        return suspect

    def _runs_suspect(self):
        return any(work.isolate for work in self.running.values())

    def clear_suspect(self, key):
        """Mark running work as no suspect, so that the next one can run."""
        work = self.running.get(key)
        if work is not None:
            work.isolate = False

    def remove(self, key):
        """Remove waiting work; return it, or None if it is not waiting."""
        work = self.waiting.pop(key, None)
        if work is not None:
            self.suspects.pop(key, None)
            self.waiting_cost -= work.cost
            self.discard(work)
        return work

    def expire(self, now_s):
        """Remove and return the work that is past its deadline."""
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
        """Add to the output of running work and adjust its cost."""
        work = self.running.get(key)
        if work is not None:
            before = work.charged_cost
            work.produced += tokens
            self.correct(work, work.charged_cost - before)

    def finish(self, key):
        """Free the slot of running work and settle its cost."""
        work = self.running.pop(key, None)
        if work is not None:
            self.correct(work, work.produced - work.charged_cost)
            self.settle(work)

    def adopt(self, work):
        """Count work as running that another queue started."""
        self.running[work.key] = work

    def correct(self, work, difference):
        """Charge the difference between predicted and actual cost."""

    def settle(self, work):
        """Update the accounting of finished work."""


@POLICIES.register('fifo')
class FifoQueue(BaseQueue):
    """Run work in order of arrival; the baseline for comparisons."""

    def add(self, work):
        """Do nothing: the dict of waiting work is in order of arrival."""

    def discard(self, work):
        """Do nothing: only the dict of waiting work is kept."""

    def take(self, work):
        """Do nothing: only the dict of running work is kept."""

    def select_victim(self, newest):
        """Return the newest work, which is rejected."""
        return newest

    def choose(self, aged_before_s):
        """Return the oldest work that is not a suspect."""
        ordinary = (w for w in self.waiting.values() if not w.isolate)
        return next(ordinary, None)


@POLICIES.register('fair')
class FairQueue(BaseQueue):
    """Share slots between client accounts by weight in token cost.

    The account with the least virtual cost goes first (start-time fair
    queueing). An account that was idle starts at the current virtual time, so
    that idle time gives it neither credit nor debt.
    """

    def __init__(self, limits):
        super().__init__(limits)
        self.accounts = {}
        self.backlogged = {}
        self.virtual_time = 0.0

    def add(self, work):
        """Queue work under its account."""
        account = self._account(work)
        if not account:
            account.virtual_cost = max(account.virtual_cost, self.virtual_time)
        account.waiting_cost += work.cost
        account.queue_of(work).append(work)
        self.backlogged[work.account] = account
        if len(self.accounts) > MAX_SPARE_ACCOUNTS + 2 * len(self.backlogged):
            for name in list(self.accounts):
                self._remove_if_idle(name)

    def discard(self, work):
        """Remove waiting work from its account."""
        self._remove_waiting(work)
        self._remove_if_idle(work.account)

    def take(self, work):
        """Move work from waiting to running and charge its cost."""
        # The virtual time does not advance past an account that was skipped
        # because its long work may not run now. Otherwise an account that
        # returns from idle would start behind it and wait for no reason.
        least_cost = min(a.virtual_cost for a in self.backlogged.values())
        self.virtual_time = max(self.virtual_time, least_cost)
        account = self._remove_waiting(work)
        account.running += 1
        account.running_cost += work.cost
        account.virtual_cost += work.cost / account.weight

    def adopt(self, work):
        """Count the cost of adopted work for its account."""
        super().adopt(work)
        account = self._account(work)
        account.running += 1
        account.running_cost += work.charged_cost
        account.virtual_cost += work.charged_cost / account.weight

    def correct(self, work, difference):
        """Charge or credit the account of running work."""
        account = self.accounts[work.account]
        account.virtual_cost += difference / account.weight
        account.running_cost += difference

    def settle(self, work):
        """Stop counting work that has ended."""
        account = self.accounts[work.account]
        account.running -= 1
        account.running_cost -= work.produced
        self._remove_if_idle(work.account)
        if not self.running and not self.waiting:
            # The busy period ends, which voids all credits and debts.
            virtual_costs = [a.virtual_cost for a in self.accounts.values()]
            self.virtual_time = max([self.virtual_time, *virtual_costs])
            self.accounts.clear()

    def select_victim(self, newest):
        """Return the newest work of the account with the most cost."""
        waiting = self.backlogged.values()
        return max(waiting, key=lambda a: a.normalized_cost).newest()

    def choose(self, aged_before_s):
        """Return the next work by virtual cost, length and age."""
        long_allowed = self.running_long < self.limits.max_long_running
        waiting = self.backlogged.values()
        for account in sorted(waiting, key=lambda a: a.virtual_cost):
            work = account.choose(long_allowed, aged_before_s)
            if work is not None:
                return work
        return None

    def _remove_waiting(self, work):
        account = self.accounts[work.account]
        account.queue_of(work).remove(work)
        account.waiting_cost -= work.cost
        if not account:
            del self.backlogged[work.account]
        return account

    def _account(self, work):
        account = self.accounts.get(work.account)
        if account is None:
            account = AccountQueue(virtual_cost=self.virtual_time)
            self.accounts[work.account] = account
        account.weight = work.weight
        return account

    def _remove_if_idle(self, name):
        # An account without work keeps its virtual cost only while that is
        # ahead of the virtual time.
        account = self.accounts[name]
        idle = not account and not account.running
        if idle and account.virtual_cost <= self.virtual_time:
            del self.accounts[name]


def reconfigure(queue, service):
    """Return a queue with the policy and limits of a `Service`.

    Waiting and running work is kept. Work beyond a lowered limit is rejected
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
    new_queue = policy(
        attrs.evolve(limits, max_queue_requests=len(queue.waiting))
    )
    for work in queue.running.values():
        new_queue.adopt(work)
    for work in queue.waiting.values():
        new_queue.push(work)
    new_queue.limits = limits
    return new_queue
