"""Guard account rates and retry budgets against naive versions."""

import fractions

import hypothesis
from hypothesis import strategies

from pimentowalk.admission import rate_limits
from pimentowalk.admission import retry_budget
from pimentowalk.core import timers as core_timers
from pimentowalk.topology import contracts

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
# Binary fractions, so that the sums of both versions are exact.
PAUSES_S = strategies.integers(0, 64).map(lambda n: n / 16)
RATES = strategies.sampled_from([0.25, 0.5, 2.0, 16.0])
COSTS = strategies.integers(1, 40)


class SetTimers(core_timers.ManualTimerService):
    """A timer service whose time is set without a loop."""

    def pass_s(self, delay_s):
        self._now_s += delay_s


class NaiveBucket:
    """Work the level out from the whole history each time."""

    def __init__(self, rate):
        self.rate = fractions.Fraction(rate)
        self.depth = max(self.rate * int(rate_limits.BURST_S), 1)
        self.history = []

    def level(self, now_s):
        level, last_s = self.depth, fractions.Fraction(0)
        for at_s, cost in [*self.history, (fractions.Fraction(now_s), 0)]:
            level = min(level + (at_s - last_s) * self.rate, self.depth)
            level = min(level - cost, self.depth)
            last_s = at_s
        return level

    def wait_s(self, cost, now_s):
        missing = min(fractions.Fraction(cost), self.depth)
        missing -= self.level(now_s)
        return max(missing / self.rate, 0)

    def take(self, cost, now_s):
        self.history.append((fractions.Fraction(now_s), cost))


@SETTINGS
@hypothesis.given(
    RATES,
    RATES,
    strategies.lists(
        strategies.tuples(PAUSES_S, COSTS, strategies.integers(-5, 5)),
        max_size=30,
    ),
)
def test_limits_match_the_naive_version(requests, tokens, calls):
    """A limit that drifts lets too much through or starves an account."""
    timers = SetTimers()
    limits = rate_limits.AccountLimits(timers, lambda: 1)
    account = contracts.ClientAccount('a', '', 1.0, requests, tokens * 8)
    naive = NaiveBucket(requests), NaiveBucket(tokens * 8)
    for pause_s, cost, correction in calls:
        timers.pass_s(pause_s)
        now_s = timers.now_s()
        expected = max(naive[0].wait_s(1, now_s), naive[1].wait_s(cost, now_s))
        assert limits.charge(account, cost) == float(expected)
        if expected == 0:
            naive[0].take(1, now_s)
            naive[1].take(cost, now_s)
            limits.correct(account, cost, cost + correction)
            naive[1].take(correction, now_s)


@SETTINGS
@hypothesis.given(
    strategies.integers(1, 5),
    strategies.lists(
        strategies.tuples(PAUSES_S, strategies.integers(0, 4)), max_size=60
    ),
)
def test_entries_together_keep_to_the_rate(entries, calls):
    """Shares that add up to more than the rate would be no limit."""
    timers = SetTimers()
    account = contracts.ClientAccount('a', '', 1.0, 8.0, 1e9)
    limits = [
        rate_limits.AccountLimits(timers, lambda: entries)
        for _ in range(entries)
    ]
    allowed = 0
    for pause_s, place in calls:
        timers.pass_s(pause_s)
        if limits[place % entries].charge(account, 1) == 0:
            allowed += 1
    burst = entries * max(8.0 / entries * rate_limits.BURST_S, 1)
    assert allowed <= 8.0 * timers.now_s() + burst


def test_wait_that_was_told_is_enough():
    """A caller that comes back after `Retry-After` must be served."""
    timers = SetTimers()
    limits = rate_limits.AccountLimits(timers, lambda: 3)
    account = contracts.ClientAccount('a', '', 1.0, 0.7, 100.0)
    waits = 0
    for _ in range(50):
        wait_s = limits.charge(account, 37)
        if wait_s:
            waits += 1
            timers.pass_s(wait_s)
            assert limits.charge(account, 37) == 0
    assert waits > 20


def test_share_falls_back_while_cut_off():
    """A cut-off entry must not use the share of entries it cannot see."""
    timers = SetTimers()
    cut_off = [False]
    live = [4]
    limits = rate_limits.AccountLimits(
        timers, lambda: live[0], lambda: cut_off[0]
    )
    assert limits.share() == 0.25
    cut_off[0], live[0] = True, 1
    assert limits.share() == 0.125
    cut_off[0], live[0] = False, 2
    assert limits.share() == 0.5


def test_rate_of_zero_refuses_all_but_the_first():
    """An account with rate 0 must not divide by zero."""
    limits = rate_limits.AccountLimits(SetTimers(), lambda: 1)
    account = contracts.ClientAccount('a', '', 1.0, 0.0, 0.0)
    assert limits.charge(account, 1) == 0
    assert limits.charge(account, 1) == float('inf')


@SETTINGS
@hypothesis.given(
    strategies.sampled_from([0.0, 0.5, 10.0, 25.0, 100.0]),
    strategies.lists(strategies.booleans(), max_size=300),
)
def test_budget_matches_the_naive_version(percent, events):
    """A budget that lets more through would amplify an overload."""
    budget = retry_budget.ShareBudget(percent)
    firsts = retries = 0
    saved = fractions.Fraction(10 if percent else 0)
    for is_first in events:
        if is_first:
            firsts += 1
            budget.first_attempt()
            saved = min(saved + fractions.Fraction(percent) / 100, 100)
        else:
            allowed = budget.take()
            assert allowed == (saved >= 1)
            saved -= allowed
            retries += allowed
    assert retries <= 10 + firsts * fractions.Fraction(percent) / 100


def test_budget_of_a_route_follows_its_configuration():
    """A published change of the budget must take effect."""
    budgets = retry_budget.RouteBudgets()
    route = contracts.Route('r', 's', '/', retry_budget_percent=0.0)
    assert not budgets.of(route).take()
    changed = contracts.Route('r', 's', '/', retry_budget_percent=10.0)
    assert budgets.of(changed).take()
    assert budgets.of(changed) is budgets.of(changed)


def test_unlimited_budget_is_the_baseline():
    """Benchmarks compare with a budget that allows everything."""
    budgets = retry_budget.RouteBudgets('unlimited')
    budget = budgets.of(contracts.Route('r', 's', '/'))
    assert all(budget.take() for _ in range(1000))
