"""When refused callers should return."""

import math

# Callers are not sent away for longer: shorter than the deadline of a stream
# by far, and the longest wait of refusals without a plan.
MAX_RETURN_S = 5.0
MIN_RETURN_S = 0.1
# Returning callers get this share of the admissions, new ones the rest.
RETURN_SHARE = 0.25


class ReturnPlan:
    """Spread the returns of refused callers over the admissions to come.

    It handles refusals of a burst whose callers would all return at once.
    Without any admission so far, callers return after the longest time.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._next_s = {}

    def plan_s(self, priority, wait_s, rate_per_s):
        """Return after how long a caller should return.

        `wait_s` is the expected wait of its priority and `rate_per_s` the
        rate of admissions. More urgent callers return sooner.
        """
        now_s = self._now_s()
        next_s = max(
            (s for p, s in self._next_s.items() if p <= priority),
            default=0.0,
        )
        interval_s = math.inf
        if rate_per_s > 0:
            interval_s = 1 / (rate_per_s * RETURN_SHARE)
        begin_s = max(next_s, now_s + wait_s)
        planned_s = min(begin_s + interval_s, now_s + MAX_RETURN_S)
        self._next_s[priority] = planned_s
        return max(planned_s - now_s, MIN_RETURN_S)
