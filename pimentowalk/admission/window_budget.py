"""Retry budget for any sliding time window, shared by all nodes."""

import collections
import math

import attrs

from pimentowalk.wire import node_messages

# All nodes together use this share of the limit: requests are counted only at
# the node where they first arrived, and the windows of nodes are not aligned.
SAFETY_SHARE = 0.75
# A node may exceed its equal allowance by the square root of it, which is the
# statistical spread of the streams of a lost server over nodes. For this, all
# nodes together use up to this share of what SAFETY_SHARE leaves.
UNEVEN_SHARE = 0.8
# All nodes know of a retry after this time: nodes report twice a second, and
# control forwards reports within a quarter of a second.
REPORT_DELAY_S = 1.0
# A report this old is dropped.
REPORT_EXPIRY_S = 2.0


@attrs.frozen
class _Report:
    """The counts of another node, and when they were received."""

    received_s: float
    uses: dict


@attrs.frozen
class _Summary:
    """The counts of all other nodes, and when they were received."""

    received_s: float
    nodes: int
    uses: dict


class WindowBudget:
    """Allow retries up to a ratio of the requests plus a fixed number.

    Until its retries are known to the others, each node may use an equal part
    of what remains of the budget, and a little more. A node that does not
    report is assumed to use an equal part of the fixed number. So is one that
    `has_restarted`, for a window: it does not know what it used before.

    >>> now = [0.0]
    >>> budget = WindowBudget(lambda: now[0], window_s=10, ratio=0, extra=2.8)
    >>> budget.take('svc', nodes=1), budget.take('svc', nodes=1)
    (True, True)
    >>> budget.take('svc', nodes=1)
    False
    """

    def __init__(self, now_s, *, window_s, ratio, extra, has_restarted=False):
        self._now_s = now_s
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)
        self._reports = {}
        self._summary = None
        self._nodes = 1
        self._forgotten_until_s = now_s() + window_s * has_restarted

    def count_request(self, service):
        """Count the first attempt of a request."""
        self._requests[service].append(self._now_s())

    def take(self, service, nodes, *, share=1.0):
        """Return whether a retry is allowed, and count it if so.

        With `share` below 1, the rest of the budget is left to other callers.
        """
        self._expire_reports()
        reporting, other_requests, other_retries = self._of_others(service)
        reporting += 1
        nodes = self._nodes = max(nodes, reporting)
        requests = self._count_recent(self._requests[service])
        retries = self._count_recent(self._retries[service])
        recent_s = self._now_s() - REPORT_DELAY_S
        unreported = sum(at_s >= recent_s for at_s in self._retries[service])
        limit = (requests + other_requests) * self._ratio
        limit += self._extra * reporting / nodes
        used = retries - unreported + self._forgotten_retries()
        remaining = limit * SAFETY_SHARE * share - used - other_retries
        allowance = remaining / reporting
        if share == 1:
            reserve = limit * (1 - SAFETY_SHARE) * UNEVEN_SHARE / reporting
            allowance += min(math.sqrt(max(0.0, allowance)), reserve)
        if unreported + 1 > allowance:
            return False
        self._retries[service].append(self._now_s())
        return True

    def report(self):
        """Return the counts in the window of this node, for a report.

        Retries that a restart may hide are included once the number of nodes
        is known; a single node would use all of the fixed number.
        """
        forgotten = 0
        if self._nodes > 1:
            forgotten = math.ceil(self._forgotten_retries())
        return [
            node_messages.RepeatUse(
                service,
                self._count_recent(self._requests[service]),
                self._count_recent(self._retries[service]) + forgotten,
            )
            for service in self._requests
        ]

    def _forgotten_retries(self):
        """Return how many retries of the window a restart may hide."""
        if self._now_s() >= self._forgotten_until_s:
            return 0.0
        return self._extra * SAFETY_SHARE / self._nodes

    def record_report(self, node_id, uses):
        """Replace the counts of another node."""
        self._reports[node_id] = _Report(
            self._now_s(),
            {use.service: (use.requests, use.repeats) for use in uses},
        )

    def record_summary(self, nodes, uses):
        """Replace the counts of all other nodes, and their number.

        `uses` maps services to (requests, retries).
        """
        self._reports.clear()
        self._summary = _Summary(self._now_s(), nodes, uses)
        self._nodes = max(self._nodes, nodes + 1)

    def _of_others(self, service):
        """Return (nodes, requests, retries) of the other nodes."""
        if self._summary is not None:
            requests, retries = self._summary.uses.get(service, (0, 0))
            return self._summary.nodes, requests, retries
        counts = [x.uses.get(service, (0, 0)) for x in self._reports.values()]
        return (
            len(counts),
            sum(requests for requests, _ in counts),
            sum(retries for _, retries in counts),
        )

    def _expire_reports(self):
        oldest_s = self._now_s() - REPORT_EXPIRY_S
        summary = self._summary
        if summary is not None and summary.received_s < oldest_s:
            self._summary = None
        for node_id, report in list(self._reports.items()):
            if report.received_s < oldest_s:
                del self._reports[node_id]

    def _count_recent(self, times):
        oldest_s = self._now_s() - self._window_s
        while times and times[0] < oldest_s:
            times.popleft()
        return len(times)
