"""A bound on repeats in any sliding window, shared by all nodes."""

import collections
import math

import attrs

from pimentowalk.wire import node_messages

# All nodes together keep to this share of the bound: requests are counted
# where they arrived first, and windows of different nodes overlap.
SAFETY_SHARE = 0.75
# A node may use more than its equal part by the square root of it, as much as
# chance makes the streams of a lost server uneven. All nodes together then
# use up to this share of what the share above leaves.
SPREAD_SHARE = 0.8
# A repeat is known at all nodes after this time: nodes report twice a
# second, and control passes reports on within a quarter of a second.
REPORTED_S = 1.0
# The counts of a node that reported this long ago are not used any more.
REPORT_EXPIRY_S = 2.0


@attrs.frozen
class _Report:
    """What another node said of its window, and when."""

    heard_s: float
    uses: dict


class WindowBudget:
    """Allow repeats up to a share of the requests plus a fixed number.

    Each node may use an equal part of what is left in the windows of all
    nodes, and a little more, until the others know of it. A node that does
    not report is taken to use an equal part of the fixed number.

    >>> now = [0.0]
    >>> budget = WindowBudget(lambda: now[0], window_s=10, ratio=0, extra=2.8)
    >>> budget.take('svc', nodes=1), budget.take('svc', nodes=1)
    (True, True)
    >>> budget.take('svc', nodes=1)
    False
    """

    def __init__(self, now_s, *, window_s, ratio, extra):
        self._now_s = now_s
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)
        self._others = {}

    def count_request(self, service):
        """Count the first try of a request."""
        self._requests[service].append(self._now_s())

    def take(self, service, nodes, *, share=1.0):
        """Return whether a repeat is allowed, and count it if so.

        `share` below 1 leaves the rest of the budget to others.
        """
        self._forget_silent()
        nodes = max(nodes, len(self._others) + 1)
        found = [x.uses.get(service, (0, 0)) for x in self._others.values()]
        requests = self._recent(self._requests[service])
        repeats = self._recent(self._repeats[service])
        recent_s = self._now_s() - REPORTED_S
        unreported = sum(at_s >= recent_s for at_s in self._repeats[service])
        reporting = len(found) + 1
        limit = (requests + sum(x for x, _ in found)) * self._ratio
        limit += self._extra * reporting / nodes
        left = limit * SAFETY_SHARE * share - (repeats - unreported)
        left -= sum(x for _, x in found)
        part = left / reporting
        if share == 1:
            reserve = limit * (1 - SAFETY_SHARE) * SPREAD_SHARE / reporting
            part += min(math.sqrt(max(0.0, part)), reserve)
        if unreported + 1 > part:
            return False
        self._repeats[service].append(self._now_s())
        return True

    def report(self):
        """Return the counts of the window of this node, to publish."""
        return [
            node_messages.RepeatUse(
                service,
                self._recent(self._requests[service]),
                self._recent(self._repeats[service]),
            )
            for service in self._requests
        ]

    def record_report(self, node_id, uses):
        """Take the counts of another node."""
        self._others[node_id] = _Report(
            self._now_s(),
            {use.service: (use.requests, use.repeats) for use in uses},
        )

    def _forget_silent(self):
        oldest_s = self._now_s() - REPORT_EXPIRY_S
        for node_id, report in list(self._others.items()):
            if report.heard_s < oldest_s:
                del self._others[node_id]

    def _recent(self, times):
        oldest_s = self._now_s() - self._window_s
        while times and times[0] < oldest_s:
            times.popleft()
        return len(times)
