"""Tests of rate limits and retry budgets against references."""

import fractions

import hypothesis
from hypothesis import strategies
import pytest

from pimentowalk.admission import account_use
from pimentowalk.admission import rate_limits
from pimentowalk.admission import retry_budget
from pimentowalk.core import timers as core_timers
from pimentowalk.topology import contracts

SETTINGS = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
# Binary fractions, so that the sums of both implementations are exact.
PAUSES_S = strategies.integers(0, 64).map(lambda n: n / 16)
RATES = strategies.sampled_from([0.25, 0.5, 2.0, 16.0])
COSTS = strategies.integers(1, 40)


class SettableTimers(core_timers.ManualTimerService):
    """A timer service whose time is set without an event loop."""

    def advance_s(self, delay_s):
        self._now_s += delay_s


class ReferenceBucket:
    """Token bucket that computes its level from the whole history."""

    def __init__(self, rate):
        self.rate = fractions.Fraction(rate)
        # An entry admits an initial burst of at most one second, which is
        # less than the depth for a whole share.
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


def granted_limits(timers, name='a', *, share=1.0, entries=1):
    """Return limits with a share that control granted."""
    limits = rate_limits.AccountLimits(timers, lambda: entries)
    limits.grant({name: share})
    return limits


@SETTINGS
@hypothesis.given(
    RATES,
    RATES,
    strategies.lists(
        strategies.tuples(PAUSES_S, COSTS, strategies.integers(-5, 5)),
        max_size=30,
    ),
)
def test_limits_match_the_reference(requests, tokens, calls):
    """A limit that drifts admits too much or starves an account."""
    timers = SettableTimers()
    limits = granted_limits(timers)
    account = contracts.ClientAccount('a', '', 1.0, requests, tokens * 8)
    reference = ReferenceBucket(requests), ReferenceBucket(tokens * 8)
    for pause_s, cost, correction in calls:
        timers.advance_s(pause_s)
        now_s = timers.now_s()
        limits.grant({'a': 1.0})
        expected = max(
            reference[0].wait_s(1, now_s), reference[1].wait_s(cost, now_s)
        )
        assert limits.charge(account, cost) == float(expected)
        if expected == 0:
            reference[0].take(1, now_s)
            reference[1].take(cost, now_s)
            limits.correct(account, cost, cost + correction)
            reference[1].take(correction, now_s)


DEMANDS = strategies.dictionaries(
    strategies.sampled_from(['a', 'b']), strategies.floats(0, 50)
)


@SETTINGS
@hypothesis.given(
    strategies.integers(1, 6),
    strategies.lists(
        strategies.tuples(PAUSES_S, strategies.integers(0, 5), DEMANDS),
        max_size=40,
    ),
)
def test_shares_match_the_reference(entries, reports):
    """Shares computed from stale demands would exceed the rate."""
    table = account_use.DemandTable()
    history = []
    now_s = 0.0
    first_report_s = None
    for pause_s, entry_id, demands in reports:
        now_s += pause_s
        fresh = {
            entry: known
            for at_s, entry, known in history
            if now_s - at_s <= account_use.EXPIRY_S
        }
        if not fresh:
            first_report_s = now_s
        history = [h for h in history if h[1] != entry_id % entries]
        history.append((now_s, entry_id % entries, demands))
        fresh[entry_id % entries] = demands
        shares = table.record_demands(
            entry_id % entries, demands, entries, now_s
        )
        for name, demand in demands.items():
            demand = round(demand, 6)
            total = sum(
                round(known.get(name, 0), 6) for known in fresh.values()
            )
            expected = 1 / entries
            if now_s - first_report_s >= account_use.WARM_UP_S and demand:
                expected = 0.2 / entries + 0.8 * demand / total
            assert shares.get(name, expected) == pytest.approx(expected)
            assert (name in shares) == (demand > 0)


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.floats(0, 9), min_size=1, max_size=8)
)
def test_shares_of_all_entries_add_up_to_the_rate(demands):
    """Shares that add up to more than the rate would not limit it."""
    table = account_use.DemandTable()
    for now_s in (0.0, 3.0, 6.0, 9.0):
        shares = [
            table.record_demands(
                entry_id, {'a': demand}, len(demands), now_s
            ).get('a', 0)
            for entry_id, demand in enumerate(demands)
        ]
    assert sum(shares) <= 1 + 1e-7
    if any(demand > 1e-3 for demand in demands):
        assert sum(shares) >= 0.8 - 1e-7


def test_shares_of_a_new_leader_are_even():
    """The first report to a new leader must not get the whole rate."""
    table = account_use.DemandTable()
    for start_s in (0.0, 100.0):
        for entry_id in range(4):
            shares = table.record_demands(
                entry_id, {'a': 1.0}, 4, start_s + entry_id
            )
            assert shares == {'a': 0.25}
    assert table.record_demands(0, {'a': 3.0}, 4, 106.0) == {'a': 0.45}


def count_admitted(pattern, *, entries, rate):
    """Send a call every 50 ms for a minute to the entry given by `pattern`.

    Return how many are admitted in the last 40 s. Entries report every 2 s.
    """
    timers = SettableTimers()
    account = contracts.ClientAccount('a', '', 1.0, rate, 1e9)
    table = account_use.DemandTable()
    limits_by_entry = [
        rate_limits.AccountLimits(timers, lambda: entries)
        for _ in range(entries)
    ]
    admitted = 0
    for number in range(1200):
        for entry_id, limits in enumerate(limits_by_entry):
            if limits.is_report_due():
                demands = limits.demands({'a': account})
                now_s = timers.now_s()
                limits.grant(
                    table.record_demands(entry_id, demands, entries, now_s)
                )
        allowed = limits_by_entry[pattern(number)].charge(account, 1) == 0
        admitted += allowed and number >= 400
        timers.advance_s(0.05)
    return admitted


def test_share_of_the_rate_follows_the_callers():
    """Callers at one entry must get the rate that other entries leave."""
    fair = 40 * 10.0
    at_one = count_admitted(lambda number: 0, entries=20, rate=10.0)
    spread = count_admitted(lambda number: number % 20, entries=20, rate=10.0)
    assert 0.75 * fair <= at_one <= 1.05 * fair
    assert 0.75 * fair <= spread <= 1.05 * fair


def test_rate_holds_when_callers_move_between_entries():
    """Callers must not exceed the rate by changing entries every 10 s."""
    admitted = count_admitted(
        lambda number: number // 200 % 20, entries=20, rate=10.0
    )
    assert admitted <= 1.25 * 40 * 10.0


def test_advised_wait_is_sufficient():
    """A caller that returns after `Retry-After` must be served."""
    timers = SettableTimers()
    limits = granted_limits(timers, share=1 / 3, entries=3)
    account = contracts.ClientAccount('a', '', 1.0, 0.7, 100.0)
    waits = 0
    for _ in range(50):
        limits.grant({'a': 1 / 3})
        wait_s = limits.charge(account, 37)
        if wait_s:
            waits += 1
            timers.advance_s(wait_s)
            limits.grant({'a': 1 / 3})
            assert limits.charge(account, 37) == 0
    assert waits > 20


def test_share_falls_back_while_cut_off():
    """A cut-off entry must not use the share of entries it cannot see."""
    timers = SettableTimers()
    live = [4]
    limits = rate_limits.AccountLimits(timers, lambda: live[0])
    assert limits.is_cut_off
    limits.grant({'a': 0.9})
    assert limits.share('a') == 0.9
    assert limits.share('b') == 0.05
    timers.advance_s(rate_limits.CUT_OFF_AFTER_S)
    assert limits.share('a') == 0.9
    timers.advance_s(0.5)
    live[0] = 1
    assert limits.is_cut_off
    assert limits.share('a') == limits.share('b') == 0.125
    limits.grant({'a': 0.4})
    assert limits.share('a') == 0.4


def test_account_without_a_share_is_reported_promptly():
    """The first callers of an account must not wait for a full period."""
    timers = SettableTimers()
    limits = rate_limits.AccountLimits(timers, lambda: 100)
    account = contracts.ClientAccount('a', '', 1.0, 1.0, 1e9)
    limits.demands({'a': account})
    limits.grant({})
    assert limits.charge(account, 1) == 0
    timers.advance_s(0.25)
    assert not limits.is_report_due()
    wait_s = limits.charge(account, 1)
    assert 0 < wait_s <= rate_limits.REPORT_PERIOD_S
    assert limits.is_report_due()
    assert limits.demands({'a': account}) == {'a': 2.0}
    assert limits.demands({}) == {}


def test_rate_of_zero_rejects_all_but_the_first():
    """An account with rate 0 must not divide by zero."""
    limits = granted_limits(SettableTimers())
    account = contracts.ClientAccount('a', '', 1.0, 0.0, 0.0)
    assert limits.charge(account, 1) == 0
    assert limits.charge(account, 1) == float('inf')


@SETTINGS
@hypothesis.given(
    strategies.sampled_from([0.0, 0.5, 10.0, 25.0, 100.0]),
    strategies.lists(strategies.booleans(), max_size=300),
)
def test_budget_matches_the_reference(percent, events):
    """A budget that allows more retries would amplify an overload."""
    budget = retry_budget.ShareBudget(percent)
    first_attempts = retries = 0
    saved = fractions.Fraction(10 if percent else 0)
    for is_first in events:
        if is_first:
            first_attempts += 1
            budget.count_first_attempt()
            saved = min(saved + fractions.Fraction(percent) / 100, 100)
        else:
            allowed = budget.take()
            assert allowed == (saved >= 1)
            saved -= allowed
            retries += allowed
    assert retries <= 10 + first_attempts * fractions.Fraction(percent) / 100


def test_saved_retries_are_bounded():
    """Retries must not accumulate over a day and amplify an overload."""
    budget = retry_budget.ShareBudget(50.0)
    for _ in range(10_000):
        budget.count_first_attempt()
    assert sum(budget.take() for _ in range(1000)) == 100


def test_budget_of_a_route_follows_its_configuration():
    """A published change of the budget must take effect."""
    budgets = retry_budget.RouteBudgets()
    route = contracts.Route('r', 's', '/', retry_budget_percent=0.0)
    assert not budgets.of(route).take()
    changed = contracts.Route('r', 's', '/', retry_budget_percent=10.0)
    assert budgets.of(changed).take()
    assert budgets.of(changed) is budgets.of(changed)


def test_unlimited_budget_allows_every_retry():
    """The unlimited budget is the baseline of benchmarks."""
    budgets = retry_budget.RouteBudgets('unlimited')
    budget = budgets.of(contracts.Route('r', 's', '/'))
    assert all(budget.take() for _ in range(1000))
