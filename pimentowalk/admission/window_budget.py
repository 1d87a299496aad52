"""A bound on repeats in any sliding window, shared by all nodes."""

import collections

# Each node keeps to this share of its part, since windows of different
# nodes overlap and requests are counted where they arrived first.
SAFETY_SHARE = 0.7


class WindowBudget:
    """Allow repeats up to a share of the requests plus a fixed number.

    >>> now = [0.0]
    >>> budget = WindowBudget(lambda: now[0], window_s=10, ratio=0, extra=2)
    >>> budget.take('svc', nodes=1), budget.take('svc', nodes=1)
    (True, False)
    """

    def __init__(self, now_s, *, window_s, ratio, extra):
        self._now_s = now_s
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    def count_request(self, service):
        """Count the first try of a request."""
        self._requests[service].append(self._now_s())

    def take(self, service, nodes):
        """Return whether a repeat is allowed, and count it if so."""
        requests = self._recent(self._requests[service])
        repeats = self._recent(self._repeats[service])
        limit = requests * self._ratio + self._extra / max(nodes, 1)
        if repeats + 1 > limit * SAFETY_SHARE:
            return False
        self._repeats[service].append(self._now_s())
        return True

    def _recent(self, times):
        oldest_s = self._now_s() - self._window_s
        while times and times[0] < oldest_s:
            times.popleft()
        return len(times)
