"""Show that the tests of rates and budgets fail on seeded faults."""

import pytest

from pimentowalk.admission import account_use
from pimentowalk.admission import rate_limits
from pimentowalk.admission import retry_budget
from pimentowalk.admission.tests import test_rates as proofs

BUCKET = rate_limits.TokenBucket
_SET_RATE = BUCKET.set_rate


def _set_rate_without_depth(self, rate, depth, now_s):
    _SET_RATE(self, rate, 1e9, now_s)


def _take_half(self, cost):
    self._level = min(self._level - cost / 2, self.depth)


def _save_without_limit(self):
    self._saved += self._share


def _nothing(*arguments):
    return None


LIMITS = rate_limits.AccountLimits
BUDGET = retry_budget.ShareBudget
# Name of the fault, what it replaces, by what, and the test that finds it.
FAULTS = [
    (
        'bucket without a depth',
        (BUCKET, 'set_rate', _set_rate_without_depth),
        proofs.test_limits_match_the_naive_version,
    ),
    (
        'half of the cost charged',
        (BUCKET, 'take', _take_half),
        proofs.test_limits_match_the_naive_version,
    ),
    (
        'predicted cost not corrected',
        (LIMITS, 'correct', _nothing),
        proofs.test_limits_match_the_naive_version,
    ),
    (
        'whole rate taken by each entry',
        (LIMITS, 'share', lambda self, name: 1.0),
        proofs.test_rate_follows_the_callers_of_an_account,
    ),
    (
        'demand of stopped entries kept',
        (account_use.DemandTable, '_expire', _nothing),
        proofs.test_shares_match_the_naive_version,
    ),
    (
        'new leader divides by the first report',
        (account_use, 'WARM_UP_S', 0.0),
        proofs.test_shares_of_a_new_leader_are_even,
    ),
    (
        'budget without a limit',
        (BUDGET, 'count_first_attempt', _save_without_limit),
        proofs.test_saved_retries_are_bounded,
    ),
    (
        'budget never refuses',
        (BUDGET, 'take', lambda self: True),
        proofs.test_budget_matches_the_naive_version,
    ),
]


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault[0])
def test_faults_of_rates_are_found(fault, monkeypatch):
    """A test that passes with its fault would prove nothing."""
    _, change, proof = fault
    monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        proof()
