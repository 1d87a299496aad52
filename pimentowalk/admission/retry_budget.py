"""Retry budgets: limits on the retries of a route."""

from pimentowalk.core import registry

BUDGETS = registry.Registry('retry budget')

# The initial balance lets a route with little traffic retry at all. The limit
# keeps a busy route from accumulating retries that it would spend when many
# servers fail.
RESERVE_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0


@BUDGETS.register('share')
class ShareBudget:
    """Allow retries up to a percentage of the first attempts.

    >>> budget = ShareBudget(percent=50, reserve=0)
    >>> budget.count_first_attempt()
    >>> budget.take()
    False
    >>> budget.count_first_attempt()
    >>> budget.take(), budget.take()
    (True, False)
    """

    # The balance is counted in millionths of a retry, so that sums are exact.
    UNIT = 1_000_000

    def __init__(self, percent, *, reserve=RESERVE_RETRIES):
        self._share = round(percent * self.UNIT / 100)
        self._balance = round(reserve * self.UNIT) if percent > 0 else 0
        self._limit = round(max(MAX_SAVED_RETRIES, reserve) * self.UNIT)

    def count_first_attempt(self):
        """Count the first attempt of a request."""
        self._balance = min(self._balance + self._share, self._limit)

    def take(self):
        """Return whether a retry is allowed, and charge it if so."""
        if self._balance < self.UNIT:
            return False
        self._balance -= self.UNIT
        return True


@BUDGETS.register('unlimited')
class UnlimitedBudget:
    """Allow every retry; the baseline."""

    def __init__(self, percent):
        self.percent = percent

    def count_first_attempt(self):
        """Count the first attempt of a request."""

    def take(self):
        """Return whether a retry is allowed."""
        return True


class RouteBudgets:
    """One budget per route, replaced when its percentage changes."""

    def __init__(self, policy='share'):
        self._policy = BUDGETS.get(policy)
        self._budgets = {}

    def of(self, route):
        """Return the budget of a route."""
        percent, budget = self._budgets.get(route.name, (None, None))
        if percent != route.retry_budget_percent:
            budget = self._policy(route.retry_budget_percent)
            self._budgets[route.name] = (route.retry_budget_percent, budget)
        return budget
