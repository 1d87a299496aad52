"""Tests of the retry budget that all nodes share."""

import heapq
import random

import pytest

from pimentowalk.admission import window_budget

NODES = 26
WINDOW_S = 10.0
RATIO = 0.2
EXTRA = 236
STEP_S = 0.05
REPORT_PERIOD_S = 0.5
# Maximum delay of a report that control forwards.
MAX_REPORT_DELAY_S = 0.45


class Cluster:
    """Nodes that retry whenever allowed, with delayed reports."""

    def __init__(self, seed, reports=True):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.budgets = [
            window_budget.WindowBudget(
                lambda: self.now_s,
                window_s=WINDOW_S,
                ratio=RATIO,
                extra=EXTRA,
            )
            for _ in range(NODES)
        ]
        self.report_offsets_s = [
            self.rng.uniform(0, REPORT_PERIOD_S) for _ in range(NODES)
        ]
        self.reports = reports
        self.reports_in_transit = []
        self.requests = []
        self.retries = []

    def restart(self, nodes):
        """Restart some nodes, which forget what they have used."""
        for node in nodes:
            self.budgets[node] = window_budget.WindowBudget(
                lambda: self.now_s,
                window_s=WINDOW_S,
                ratio=RATIO,
                extra=EXTRA,
                has_restarted=True,
            )

    def step(self, retries_wanted, *, share=1.0):
        """Advance one step; a node tries `retries_wanted(node)` retries."""
        self.now_s += STEP_S
        while (
            self.reports_in_transit
            and self.reports_in_transit[0][0] <= self.now_s
        ):
            _, node, uses = heapq.heappop(self.reports_in_transit)
            for other, budget in enumerate(self.budgets):
                if other != node:
                    budget.record_report(node, uses)
        for node, budget in enumerate(self.budgets):
            if self.rng.random() < 0.25:
                budget.count_request('svc')
                self.requests.append(self.now_s)
            for _ in range(retries_wanted(node)):
                if budget.take('svc', NODES, share=share):
                    self.retries.append((self.now_s, node))
            self._report(node, budget)

    def _report(self, node, budget):
        if not self.reports:
            return
        since_s = (self.now_s - self.report_offsets_s[node]) % REPORT_PERIOD_S
        if since_s < STEP_S:
            arrives_s = self.now_s + self.rng.uniform(0, MAX_REPORT_DELAY_S)
            entry = (arrives_s, node, budget.report())
            heapq.heappush(self.reports_in_transit, entry)

    def run(self, retries_wanted, duration_s, **options):
        """Advance by a duration."""
        for _ in range(int(duration_s / STEP_S)):
            self.step(retries_wanted, **options)

    def worst_excess(self):
        """Return the maximum by which a window exceeds its limit."""
        ends = [at_s for at_s, _ in self.retries]
        return max(
            (self._excess(end_s) for end_s in ends[::20]), default=-EXTRA
        )

    def _excess(self, end_s):
        first_s = end_s - WINDOW_S
        retries = sum(first_s < at_s <= end_s for at_s, _ in self.retries)
        requests = sum(first_s < at_s <= end_s for at_s in self.requests)
        return retries - requests * RATIO - EXTRA


@pytest.mark.parametrize('reports', [True, False])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_all_nodes_together_keep_the_limit(seed, reports):
    """Nodes that retry at the same time must not exceed the limit together,
    whether they receive the reports of others or are cut off.
    """
    cluster = Cluster(seed, reports)
    cluster.run(lambda _: 0, 2.0)
    cluster.run(lambda _: 5, 15.0)
    assert len(cluster.retries) > EXTRA / 2
    assert cluster.worst_excess() <= 0


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('restarted', [1, NODES // 2, NODES])
def test_limit_holds_when_nodes_restart(seed, restarted):
    """BUDGET: all processes were killed while servers crashed.

    After the restart, each node began with an unused budget: 422 repeats were
    sent in 10 s where 404 were allowed.
    """
    cluster = Cluster(seed)
    cluster.run(lambda _: 0, 2.0)
    cluster.run(lambda _: 5, 8.0)
    before = len(cluster.retries)
    cluster.restart(range(restarted))
    cluster.run(lambda _: 5, 25.0)
    assert cluster.worst_excess() <= 0
    assert len(cluster.retries) > before + EXTRA / 2


def test_restarted_nodes_may_still_repeat_a_part_of_the_requests():
    """Streams that break after a restart would all be cut."""
    cluster = Cluster(1)
    cluster.restart(range(NODES))
    cluster.run(lambda _: 1, 5.0)
    assert len(cluster.retries) > len(cluster.requests) * RATIO / 2


def test_limit_holds_when_demand_moves_between_nodes():
    """What one group of nodes has just used is not available to another."""
    cluster = Cluster(4)
    cluster.run(lambda _: 0, 2.0)
    for first in (0, 13, 5, 20):
        cluster.run(lambda n, first=first: 8 * (first <= n < first + 6), 2.0)
    assert cluster.worst_excess() <= 0


def test_few_nodes_may_use_what_others_leave():
    """A lost server affects some nodes more than others. Equal parts cut their
    streams while most of the budget was unused.
    """
    cluster = Cluster(5)
    cluster.run(lambda _: 0, 2.0)
    cluster.run(lambda node: 3 * (node < 3), 8.0)
    equal_part = 3 * (EXTRA / NODES + RATIO * 5 * WINDOW_S)
    assert len(cluster.retries) > 2 * equal_part


def test_part_of_the_budget_is_reserved_for_started_streams():
    """Retries of requests that could be rejected must not cut streams."""
    cluster = Cluster(6)
    cluster.run(lambda _: 0, 2.0)
    cluster.run(lambda _: 5, 6.0, share=0.6)
    before = len(cluster.retries)
    cluster.run(lambda _: 5, 3.0)
    assert len(cluster.retries) > before * 1.3


@pytest.mark.parametrize('seed', [7, 8, 9])
def test_uneven_demand_after_a_lost_server_is_met_at_once(seed):
    """The 84 streams of a lost server are spread over the nodes at random.

    Nodes with more than an equal part had streams cut while half of the
    remaining budget was unused.
    """
    cluster = Cluster(seed)
    cluster.run(lambda _: 1 * (cluster.rng.random() < 0.04), 2.0)
    wanted = [0] * NODES
    for _ in range(84):
        wanted[cluster.rng.randrange(NODES)] += 1
    before = len(cluster.retries)
    cluster.step(lambda node: wanted[node])
    assert len(cluster.retries) - before >= 0.95 * 84
    assert cluster.worst_excess() <= 0
