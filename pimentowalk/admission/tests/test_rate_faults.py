"""Mutation tests: rate and budget tests must detect seeded faults."""

import pytest

from pimentowalk.admission import account_use
from pimentowalk.admission import rate_limits
from pimentowalk.admission import retry_budget
from pimentowalk.admission.tests import test_rates as rate_tests

BUCKET = rate_limits.TokenBucket
_SET_RATE = BUCKET.set_rate


def _set_rate_without_depth(self, rate, depth, now_s):
    _SET_RATE(self, rate, 1e9, now_s)


def _charge_half(self, cost):
    self._level = min(self._level - cost / 2, self.depth)


def _accumulate_without_limit(self):
    self._balance += self._share


def _do_nothing(*arguments):
    return None


LIMITS = rate_limits.AccountLimits
BUDGET = retry_budget.ShareBudget
# Name of the fault, arguments of setattr, and the test that detects it.
FAULTS = [
    (
        'bucket without a depth',
        (BUCKET, 'set_rate', _set_rate_without_depth),
        rate_tests.test_limits_match_the_reference,
    ),
    (
        'half of the cost charged',
        (BUCKET, 'take', _charge_half),
        rate_tests.test_limits_match_the_reference,
    ),
    (
        'predicted cost not corrected',
        (LIMITS, 'correct', _do_nothing),
        rate_tests.test_limits_match_the_reference,
    ),
    (
        'whole rate used by each entry',
        (LIMITS, 'share', lambda self, name: 1.0),
        rate_tests.test_share_of_the_rate_follows_the_callers,
    ),
    (
        'demand of stopped entries kept',
        (account_use.DemandTable, '_expire', _do_nothing),
        rate_tests.test_shares_match_the_reference,
    ),
    (
        'new leader divides by the first report',
        (account_use, 'WARM_UP_S', 0.0),
        rate_tests.test_shares_of_a_new_leader_are_even,
    ),
    (
        'budget without a limit',
        (BUDGET, 'count_first_attempt', _accumulate_without_limit),
        rate_tests.test_saved_retries_are_bounded,
    ),
    (
        'budget never rejects',
        (BUDGET, 'take', lambda self: True),
        rate_tests.test_budget_matches_the_reference,
    ),
]


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault[0])
def test_seeded_faults_are_detected(fault, monkeypatch):
    """A test that passes despite a fault does not guard against it."""
    _, change, test = fault
    monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        test()
