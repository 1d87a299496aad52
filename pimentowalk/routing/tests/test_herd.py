"""Thundering herd: many nodes with delayed load reports, one fast server.

All nodes see the same load and prefer the same server. Under peak load, 26
nodes send more requests to a large accelerator that holds a third of the
layers of its zone than fit into its memory, before their reports show it.
"""

import random

import pytest

from pimentowalk.routing import hops
from pimentowalk.routing import outcomes
from pimentowalk.routing import work
from pimentowalk.topology import backends
from pimentowalk.topology import documents

NODES = 26
STREAM_S = 2.0
REPORT_PERIOD_S = 0.5
MAX_REPORT_DELAY_S = 0.25
REQUEST_TOKENS = 1000
REQUESTS_PER_S = 60.0
DURATION_S = 12.0
TICK_S = 0.01
# Callers whose requests were cut return to the restarted nodes at once.
RESTART_BURST_S = 0.1
RESTART_REQUESTS = 100
ENGINE = documents.Engine(
    model='m',
    total_layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1_180_000,
    step_ms=1.02,
    load_s=14.0,
    usual_answer_tokens=216,
    accelerators={
        'a100': documents.Accelerator('a100', 72_000, 2.4, 3.2),
        'l4': documents.Accelerator('l4', 21_600, 16.0, 8.2),
    },
)


def servers():
    """Return three copies of all layers, part of one on a large server."""
    found = [
        backends.Backend(
            'large', 1, 1, 'svc', '10.0.0.1', 80, 'z1',
            accelerator='a100', first_layer=0, end_layer=28,
            slots=96,
        )
    ]  # fmt: skip
    for copy in range(3):
        for number, first in enumerate(range(0, 80, 8)):
            if copy == 2 and first < 24:
                continue
            found.append(
                backends.Backend(
                    f's-{copy}-{number}', 1, 1, 'svc',
                    f'10.0.{copy + 1}.{number}', 80, 'z1', accelerator='l4',
                    first_layer=first, end_layer=first + 8, slots=96,
                )
            )  # fmt: skip
    return found


class ZoneSimulation:
    """Simulates the nodes of one zone and the memory of its servers."""

    def __init__(self, seed, *, live_nodes=1):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.servers = servers()
        self.trackers = [
            work.InFlightTracker(
                f'n{number}', lambda: self.now_s, lambda: live_nodes
            )
            for number in range(NODES)
        ]
        for tracker in self.trackers:
            tracker.set_engines({'svc': ENGINE})
        self.policies = [
            hops.CheapestPath(
                tracker, self.rng, outcomes.OutcomeTracker(lambda: self.now_s)
            )
            for tracker in self.trackers
        ]
        self.first_reports_s = [
            self.rng.random() * REPORT_PERIOD_S for _ in self.trackers
        ]
        self.next_report_s = list(self.first_reports_s)
        self.used_tokens = {backend.server_id: 0 for backend in self.servers}
        self.capacity = {
            backend.server_id: self.trackers[0].capacity_tokens(backend)
            for backend in self.servers
        }
        self.running = []
        self.reports_in_transit = []
        self.sent = self.rejected = 0

    def run(self):
        """Simulate the peak load."""
        while self.now_s < DURATION_S:
            self.now_s += TICK_S
            self._report()
            self._end()
            if self.rng.random() < REQUESTS_PER_S * TICK_S:
                self._begin(self.rng.randrange(NODES))

    def begin_together(self, count):
        """Begin requests at all nodes before any of them has reported."""
        for _ in range(count):
            self.now_s += RESTART_BURST_S / count
            self._begin(self.rng.randrange(NODES))

    def _report(self):
        for number, tracker in enumerate(self.trackers):
            if self.now_s >= self.next_report_s[number]:
                self.next_report_s[number] += REPORT_PERIOD_S
                arrives_s = self.now_s + self.rng.random() * MAX_REPORT_DELAY_S
                self.reports_in_transit.append((arrives_s, tracker.report()))
        arrived = [
            r for at_s, r in self.reports_in_transit if at_s <= self.now_s
        ]
        self.reports_in_transit = [
            r for r in self.reports_in_transit if r[0] > self.now_s
        ]
        for report in arrived:
            for tracker in self.trackers:
                tracker.record_report(report)

    def _begin(self, number):
        path = self.policies[number].choose(
            self.servers, hops.PathQuery(80, REQUEST_TOKENS, 'z1')
        )
        ids = [hop.backend.server_id for hop in path]
        self.sent += 1
        if any(
            self.used_tokens[i] + REQUEST_TOKENS > self.capacity[i]
            for i in ids
        ):
            self.rejected += 1
            return
        self.trackers[number].begin(ids, REQUEST_TOKENS)
        for server_id in ids:
            self.used_tokens[server_id] += REQUEST_TOKENS
        self.running.append((self.now_s + STREAM_S, number, ids))

    def _end(self):
        ended = [r for r in self.running if r[0] <= self.now_s]
        self.running = [r for r in self.running if r[0] > self.now_s]
        for _, number, ids in ended:
            self.trackers[number].end(ids, REQUEST_TOKENS)
            for server_id in ids:
                self.used_tokens[server_id] -= REQUEST_TOKENS


def rejected_share(seed):
    """Return the share of requests sent to a server that was full."""
    simulation = ZoneSimulation(seed)
    simulation.run()
    assert simulation.sent > REQUESTS_PER_S * DURATION_S / 2
    return simulation.rejected / simulation.sent


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_nodes_do_not_overfill_the_best_server(seed):
    """The zone has room for all requests, so few may meet a full server."""
    assert rejected_share(seed) <= 0.02


def test_delayed_reports_alone_overfill_the_best_server(monkeypatch):
    """The simulation overfills the server without the estimate."""
    monkeypatch.setattr(work, 'UNREPORTED_S', 0.0)
    assert rejected_share(1) > 0.02


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_restarted_nodes_do_not_overfill_the_best_server(seed):
    """Nodes that started together sent half of the requests to one path."""
    simulation = ZoneSimulation(seed, live_nodes=NODES)
    simulation.begin_together(RESTART_REQUESTS)
    assert simulation.sent == RESTART_REQUESTS
    assert simulation.rejected == 0


def test_restarted_nodes_that_know_no_others_overfill_the_best_server():
    """The simulation overfills the server without the number of nodes."""
    simulation = ZoneSimulation(1)
    simulation.begin_together(RESTART_REQUESTS)
    assert simulation.rejected > 0.2 * RESTART_REQUESTS
