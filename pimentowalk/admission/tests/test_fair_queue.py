"""Guard the queue policies against a naive version and their bounds."""

import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pimentowalk.admission import fair_queue
from pimentowalk.core import errors
from pimentowalk.topology import contracts

WEIGHTS = {'a': 1.0, 'b': 2.0, 'c': 4.0}
LIMITS = fair_queue.QueueLimits(
    max_running=4,
    short_cost_tokens=10,
    short_reserve_percent=25,
    max_queue_s=40.0,
    max_queue_requests=8,
)
NUMBERS = itertools.count()


def work(account='a', cost=5.0, arrived_s=0.0, **fields):
    """Return work with a key of its own."""
    weight = fields.pop('weight', WEIGHTS.get(account, 1.0))
    return fair_queue.WorkItem(
        next(NUMBERS), account, weight, cost, arrived_s, **fields
    )


def filled(*items, limits=LIMITS):
    """Return a fair queue that took all of this work."""
    queue = fair_queue.FairQueue(limits)
    for item in items:
        assert queue.push(item) is None
    return queue


def finish(queue, item, tokens):
    """Let running work end after it made some tokens."""
    queue.record_output(item.key, tokens)
    queue.finish(item.key)


class NaiveFair:
    """The definition of the fair policy, by scanning lists."""

    def __init__(self):
        self.waiting = []
        self.running = []
        self.virtual = {}
        self.now = 0.0

    def push(self, item):
        if not any(w.account == item.account for w in self.waiting):
            known = self.virtual.get(item.account, self.now)
            self.virtual[item.account] = max(known, self.now)
        self.waiting.append(item)
        if len(self.waiting) <= LIMITS.max_queue_requests:
            return None
        excess = {w.account: 0.0 for w in self.waiting}
        for w in self.waiting + self.running:
            if w.account in excess:
                cost = w.cost if w in self.waiting else w.charge
                excess[w.account] += cost / w.weight
        worst = max(excess.values())
        newest = [w for w in self.waiting if excess[w.account] >= worst - 1e-9]
        return newest

    def candidates(self, now_s):
        if len(self.running) >= LIMITS.max_running:
            return []
        aged_s = now_s - 10.0
        suspects = [w for w in self.waiting if w.isolate]
        if suspects and not any(w.isolate for w in self.running):
            return suspects[:1]
        long_running = sum(w.cost > 10 for w in self.running)
        found = {}
        for account in self.virtual:
            own = [w for w in self.waiting if w.account == account]
            choice = self.of_account(own, long_running < 3, aged_s)
            if choice is not None:
                found[account] = choice
        least = min((self.virtual[name] for name in found), default=0)
        return [w for n, w in found.items() if self.virtual[n] <= least + 1e-9]

    def of_account(self, own, long_allowed, aged_s):
        ordinary = [w for w in own if not w.isolate]
        short = [w for w in ordinary if w.cost <= 10]
        long = [w for w in ordinary if w.cost > 10 and long_allowed]
        if long and (not short or long[0].arrived_s <= aged_s):
            return min(long[:1] + short[:1], key=lambda w: w.arrived_s)
        return short[0] if short else None

    def take(self, item):
        least = min(self.virtual[w.account] for w in self.waiting)
        self.now = max(self.now, least)
        self.virtual[item.account] += item.cost / item.weight
        self.waiting.remove(item)
        self.running.append(item)


class FairMachine(stateful.RuleBasedStateMachine):
    """Drive the real queue and the naive one with the same events."""

    def __init__(self):
        super().__init__()
        self.queue = fair_queue.FairQueue(LIMITS)
        self.naive = NaiveFair()
        self.now_s = 0.0

    @stateful.rule(
        account=strategies.sampled_from('abc'),
        cost=strategies.integers(1, 30),
        isolate=strategies.integers(0, 9).map(lambda n: n == 0),
    )
    def push(self, account, cost, isolate):
        self.now_s += 0.001
        item = work(account, cost, self.now_s, isolate=isolate)
        expected = self.naive.push(item)
        refused = self.queue.push(item)
        assert (refused is None) == (expected is None)
        if refused is not None:
            same = [w for w in expected if w.account == refused.account]
            assert refused is same[-1]
            self.naive.waiting.remove(refused)

    @stateful.rule()
    def pop(self):
        allowed = self.naive.candidates(self.now_s)
        chosen = self.queue.pop(self.now_s)
        assert (chosen in allowed) if allowed else chosen is None
        if chosen is not None:
            self.naive.take(chosen)

    @stateful.precondition(lambda self: self.naive.running)
    @stateful.rule(data=strategies.data(), tokens=strategies.integers(1, 20))
    def make(self, data, tokens):
        item = data.draw(strategies.sampled_from(self.naive.running))
        before = item.charge
        self.queue.record_output(item.key, tokens)
        extra = (item.charge - before) / item.weight
        self.naive.virtual[item.account] += extra

    @stateful.precondition(lambda self: self.naive.running)
    @stateful.rule(data=strategies.data())
    def clear_suspect(self, data):
        item = data.draw(strategies.sampled_from(self.naive.running))
        self.queue.clear_suspect(item.key)
        assert not item.isolate

    @stateful.invariant()
    def at_most_one_suspect_runs(self):
        assert sum(w.isolate for w in self.queue.running.values()) <= 1

    @stateful.precondition(lambda self: self.naive.running)
    @stateful.rule(data=strategies.data())
    def finish(self, data):
        item = data.draw(strategies.sampled_from(self.naive.running))
        extra = (item.produced - item.charge) / item.weight
        self.naive.virtual[item.account] += extra
        self.queue.finish(item.key)
        self.naive.running.remove(item)
        if not self.naive.running and not self.naive.waiting:
            virtuals = self.naive.virtual.values()
            self.naive.now = max([self.naive.now, *virtuals])

    @stateful.precondition(lambda self: self.naive.waiting)
    @stateful.rule(data=strategies.data())
    def remove(self, data):
        item = data.draw(strategies.sampled_from(self.naive.waiting))
        assert self.queue.remove(item.key) is item
        assert self.queue.remove(item.key) is None
        self.naive.waiting.remove(item)

    @stateful.rule(delay_s=strategies.integers(1, 15))
    def wait(self, delay_s):
        self.now_s += delay_s
        late = self.queue.expire(self.now_s)
        expected = [
            w for w in self.naive.waiting if self.now_s - w.arrived_s >= 40
        ]
        assert late == expected
        for item in late:
            self.naive.waiting.remove(item)

    @stateful.invariant()
    def bounds_hold(self):
        assert list(self.queue.waiting.values()) == self.naive.waiting
        assert len(self.queue.waiting) <= LIMITS.max_queue_requests
        assert self.queue.running_long <= LIMITS.max_long_running
        total = sum(w.cost for w in self.naive.waiting)
        assert self.queue.waiting_cost == pytest.approx(total)
        names = {w.account for w in self.naive.waiting}
        assert set(self.queue.backlogged) == names


FairMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFairAgainstNaive = FairMachine.TestCase


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    error=strategies.sampled_from([0.25, 1.0, 4.0]),
)
def test_share_follows_weight_within_a_bound(seed, error):
    """An account that predicts wrongly must not get more than its share."""
    chance = random.Random(seed)
    limits = fair_queue.QueueLimits(
        max_running=1, short_cost_tokens=1000, max_queue_requests=10_000
    )
    queue = fair_queue.FairQueue(limits)
    real = {}
    for account in WEIGHTS:
        for _ in range(120):
            cost = chance.randint(1, 20)
            factor = error if account == 'a' else 1.0
            item = work(account, cost * factor)
            real[item.key] = cost
            queue.push(item)
    served = dict.fromkeys(WEIGHTS, 0.0)
    for _ in range(150):
        item = queue.pop(0.0)
        finish(queue, item, real[item.key])
        served[item.account] += real[item.key] / item.weight
        # Start-time fair queueing: one largest piece of work of each of two
        # accounts, where a wrong prediction counts with its size.
        bound = 20 / WEIGHTS['a'] * max(1.0, error) + 20 / WEIGHTS['b']
        assert max(served.values()) - min(served.values()) <= bound


def test_long_work_is_not_starved_by_short_work_of_its_account():
    """Without ageing, steady short work would delay long work for ever."""
    limits = fair_queue.QueueLimits(max_running=2, max_queue_s=40.0)
    long = work('a', 5000, 0.0)
    queue = filled(long, limits=limits)
    for now_s in range(1, 40):
        queue.push(work('a', 5, float(now_s)))
        queue.push(work('a', 5, float(now_s)))
        while (item := queue.pop(float(now_s))) is not None:
            if item is long:
                assert now_s <= 40 * fair_queue.AGEING_SHARE + 1
                return
            finish(queue, item, 5)
            if now_s % 2 and queue.waiting:
                break
    raise AssertionError('the long work never ran')


def test_light_account_does_not_wait_behind_a_heavy_one():
    """A flood of one account must not delay the others."""
    limits = fair_queue.QueueLimits(max_running=1)
    queue = filled(*(work('a', 20) for _ in range(500)), limits=limits)
    for _ in range(100):
        finish(queue, queue.pop(0.0), 20)
    light = work('b', 20)
    queue.push(light)
    assert queue.pop(0.0) is light


def test_short_work_has_places_that_long_work_cannot_take():
    """Long jobs that fill all places would block every short request."""
    queue = filled(*(work(account, 500) for account in 'aabbcc'))
    while queue.pop(0.0) is not None:
        pass
    assert len(queue.running) == LIMITS.max_long_running == 3
    short = work('a', 1)
    queue.push(short)
    assert queue.pop(0.0) is short


def test_single_place_is_open_to_long_work():
    """A reserve that took the only place would starve long work."""
    limits = fair_queue.QueueLimits(max_running=1, short_reserve_percent=100)
    long = work('a', 500)
    assert filled(long, limits=limits).pop(0.0) is long


def test_full_queue_refuses_the_newest_of_the_greediest_account():
    """A flood must push out itself and not the others."""
    modest = [work('b', 5, float(n)) for n in range(3)]
    greedy = [work('a', 5, float(n)) for n in range(5)]
    queue = filled(*modest, *greedy)
    late = work('b', 5, 9.0)
    assert queue.push(late) is greedy[-1]
    assert late.key in queue.waiting


def test_expired_deadline_is_refused_before_the_longest_wait():
    """Work whose caller has given up must not be run."""
    item = work('a', 5, 0.0, due_s=3.0)
    queue = filled(item)
    assert queue.expire(2.9) == []
    assert queue.expire(3.0) == [item]
    assert not queue.backlogged


def test_fifo_keeps_the_order_of_arrival():
    """The baseline of the comparison must be what its name says."""
    queue = fair_queue.POLICIES.get('fifo')(LIMITS)
    items = [
        work(a, c)
        for a, c in [('a', 50), ('a', 1), ('b', 9), ('c', 2), ('a', 70)]
    ]
    for item in items:
        queue.push(item)
    order = [queue.pop(0.0) for _ in range(4)]
    assert order == items[:4]
    assert queue.pop(0.0) is None


def test_idle_accounts_are_forgotten():
    """A table of all accounts ever seen would grow without bound."""
    queue = fair_queue.FairQueue(LIMITS)
    for number in range(1000):
        queue.push(work(f'account-{number}', 5))
        finish(queue, queue.pop(0.0), 5)
    assert len(queue.accounts) <= fair_queue.SPARE_ACCOUNTS + 3


def test_change_of_policy_keeps_the_work():
    """A published policy must not lose requests that wait or run."""
    items = [work('a', 500), work('b', 5), work('c', 50)]
    queue = filled(*items)
    running = queue.pop(0.0)
    service = contracts.Service('brass', queue_policy='fifo')
    fifo = fair_queue.reconfigure(queue, service)
    assert isinstance(fifo, fair_queue.FifoQueue)
    assert list(fifo.running) == [running.key]
    back = fair_queue.reconfigure(fifo, contracts.Service('brass'))
    back.finish(running.key)
    keys = {item.key for item in items} - {running.key}
    assert {back.pop(0.0).key for _ in keys} == keys
    with pytest.raises(errors.PimentowalkError, match='fair, fifo'):
        fair_queue.POLICIES.get('random')
