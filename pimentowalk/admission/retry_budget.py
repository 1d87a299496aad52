"""Retry budgets of routes."""

from pimentowalk.core import registry

BUDGETS = registry.Registry('retry budget')

# A quiet route may retry this often before any share has accumulated, and
# a busy one may not save up more than this for a failure of many servers.
RESERVE_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0


@BUDGETS.register('share')
class ShareBudget:
    """Allow retries up to a share of the first attempts.

    >>> budget = ShareBudget(percent=50, reserve=0)
    >>> budget.count_first_attempt()
    >>> budget.take()
    False
    >>> budget.count_first_attempt()
    >>> budget.take(), budget.take()
    (True, False)
    """

    # Shares are counted in millionths of a retry, so that sums are exact.
    UNIT = 1_000_000

    def __init__(self, percent, *, reserve=RESERVE_RETRIES):
        self._share = round(percent * self.UNIT / 100)
        self._saved = round(reserve * self.UNIT) if percent > 0 else 0
        self._limit = round(max(MAX_SAVED_RETRIES, reserve) * self.UNIT)

    def count_first_attempt(self):
        """Count the first attempt of a request."""
        self._saved = min(self._saved + self._share, self._limit)

    def take(self):
        """Return whether a retry is allowed, and charge it if so."""
        if self._saved < self.UNIT:
            return False
        self._saved -= self.UNIT
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
    """One budget for each route, rebuilt when its share changes."""

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
