"""Measure the chain policies: throughput, and attempts after losses.

Prints JSON lines. `throughput` drives the real policies with a queue model
of stages and links on mixed clusters, and compares the tokens per second
with the maximum-flow bound of the same cluster. `attempts` sends requests
through a real entry to fake agents of which some are lost.
"""

import asyncio
import heapq
import itertools
import random
import statistics

import attrs
import networkx

from bench import common
from bench import routing_losses
from pimentowalk.core import timers as core_timers
from pimentowalk.routing import index
from pimentowalk.routing import links
from pimentowalk.routing import loads
from pimentowalk.routing import policies
from pimentowalk.topology import instances
from pimentowalk.wire import messages

SEEDS = (1, 2, 3)
LAYERS = 12
ENTRIES = 4
REPORT_PERIOD_S = 0.5
WARM_UP_S = 20.0
END_S = 60.0
LOADS = (0.8, 1.0)
# Name, tokens a second for each layer held, and layers that fit.
ACCELERATORS = (
    ('tiny', 400.0, (2, 3)),
    ('small', 900.0, (3, 4)),
    ('medium', 2000.0, (4, 6)),
    ('large', 4500.0, (6,)),
    ('huge', 9000.0, (6, 12)),
)
ZONES = ('z1', 'z2', 'z3')
# Tokens a second and seconds one way for links within a zone, between two
# near zones and to a far one: a hundredfold between best and worst.
LINKS = {0: (2000.0, 0.0002), 1: (200.0, 0.002), 2: (20.0, 0.02)}


class SimulatedTimers(core_timers.TimerService):
    """Time that the simulation sets."""

    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        return self.time_s


def cluster(seed):
    """Return a mixed cluster; its ranges tile all layers in many ways."""
    rng = random.Random(seed)
    servers = []
    for number in range(60):
        name, speed, spans = ACCELERATORS[number % len(ACCELERATORS)]
        span = rng.choice(spans)
        first = span * rng.randrange(LAYERS // span)
        servers.append(
            instances.BackendServer(
                server_id=f's{number}',
                incarnation=1,
                service='assist',
                host='127.0.0.1',
                port=1,
                zone=ZONES[rng.randrange(len(ZONES))],
                model='m1',
                version='v1',
                first_layer=first,
                end_layer=first + span,
                total_layers=LAYERS,
                capacity_tokens_per_s=speed / span,
                accelerator=name,
            )
        )
    return servers


def link_of(source, target):
    """Return tokens a second and delay between two servers."""
    return LINKS[abs(ZONES.index(source.zone) - ZONES.index(target.zone))]


def bound_tokens_per_s(servers):
    """Return the maximum flow of tokens through stages and links."""
    graph = networkx.DiGraph()
    for server in servers:
        name = server.server_id
        graph.add_edge(
            (name, 'in'),
            (name, 'out'),
            capacity=server.capacity_tokens_per_s,
        )
        if server.first_layer == 0:
            graph.add_edge('source', (name, 'in'))
        if server.end_layer == LAYERS:
            graph.add_edge((name, 'out'), 'sink')
    for source, target in itertools.permutations(servers, 2):
        if source.end_layer == target.first_layer:
            graph.add_edge(
                (source.server_id, 'out'),
                (target.server_id, 'in'),
                capacity=link_of(source, target)[0],
            )
    return networkx.maximum_flow_value(graph, 'source', 'sink')


@attrs.define
class Queue:
    """A stage or link that serves work in order at one speed."""

    tokens_per_s: float
    free_s: float = 0.0

    def serve(self, now_s, tokens):
        """Return when work that arrives now has been served."""
        self.free_s = max(self.free_s, now_s) + tokens / self.tokens_per_s
        return self.free_s

    def queued_tokens(self, now_s):
        """Return the work that is left."""
        return max(self.free_s - now_s, 0) * self.tokens_per_s


class Simulation:
    """Send requests of several entries through stages and links."""

    def __init__(self, servers, policy_name, tokens_per_s, seed):
        self.rng = random.Random(seed)
        self.timers = SimulatedTimers()
        self.servers = servers
        self.stages = {
            s.server_id: Queue(s.capacity_tokens_per_s) for s in servers
        }
        self.links = {}
        self.states = [self._state(seed + n) for n in range(ENTRIES)]
        policy = policies.POLICIES.get(policy_name)
        self.policies = [policy(state) for state in self.states]
        self.rate = tokens_per_s
        self.events = []
        self.order = itertools.count()
        self.done_tokens = 0
        self.durations_s = []

    def _state(self, seed):
        state = policies.RoutingState(
            index.ServerIndex(self.timers),
            loads.LoadTracker(self.timers),
            links.LinkTracker(self.timers, 'entry', ZONES[seed % 3]),
            rng=random.Random(seed),
        )
        state.index.update(self.servers)
        return state

    def at(self, time_s, call, *arguments):
        """Schedule a call."""
        heapq.heappush(
            self.events, (time_s, next(self.order), call, arguments)
        )

    def run(self):
        """Return the results of one run."""
        self.at(0.0, self._arrive)
        self.at(0.0, self._report)
        while self.events[0][0] < END_S:
            self.timers.time_s, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        rate = self.done_tokens / (END_S - WARM_UP_S)
        cuts = statistics.quantiles(self.durations_s or [0, 0], n=20)
        return rate, statistics.median(self.durations_s or [0]), cuts[-1]

    def _arrive(self):
        now_s = self.timers.time_s
        # One in twenty requests is ten times as long as the others.
        tokens = 400 if self.rng.random() < 0.05 else 40
        mean = 0.05 * 400 + 0.95 * 40
        self.at(now_s + self.rng.expovariate(self.rate / mean), self._arrive)
        entry = self.rng.randrange(ENTRIES)
        query = index.ChainQuery(
            'assist', 'm1', predicted_tokens=tokens, output_tokens=tokens
        )
        chain = self.policies[entry].choose(query)
        charge = self.states[entry].loads.charge(
            [server.server_id for server in chain], tokens
        )
        self._stage((entry, chain, charge, now_s), 0)

    def _stage(self, job, position):
        _, chain, charge, _ = job
        queue = self.stages[chain[position].server_id]
        done_s = queue.serve(self.timers.time_s, charge.tokens)
        if position + 1 < len(chain):
            self.at(done_s, self._link, job, position)
        else:
            self.at(done_s, self._finish, job)

    def _link(self, job, position):
        entry, chain, charge, _ = job
        source, target = chain[position], chain[position + 1]
        key = (source.server_id, target.server_id)
        speed, delay_s = link_of(source, target)
        queue = self.links.setdefault(key, Queue(speed))
        now_s = self.timers.time_s
        sent_s = queue.serve(now_s, charge.tokens)
        # A probe on the same connection waits behind the work, so that the
        # measured round trip tells of a saturated link. It is divided by
        # the tokens, since the policy counts a delay for each of them.
        measured_s = delay_s + (sent_s - now_s) / charge.tokens
        self.states[entry].links.record_round_trip(
            source.server_id, source.zone, target, 2 * measured_s
        )
        self.at(sent_s + delay_s, self._stage, job, position + 1)

    def _finish(self, job):
        entry, _, charge, started_s = job
        self.states[entry].loads.settle(charge)
        if self.timers.time_s >= WARM_UP_S:
            self.done_tokens += charge.tokens
            self.durations_s.append(self.timers.time_s - started_s)

    def _report(self):
        now_s = self.timers.time_s
        self.at(now_s + REPORT_PERIOD_S, self._report)
        report = [
            messages.StageLoad(
                name, int(queue.queued_tokens(now_s)), 0, queue.tokens_per_s
            )
            for name, queue in self.stages.items()
        ]
        for state in self.states:
            self.at(
                now_s + loads.REPORT_LAG_S, state.loads.record_reports, report
            )


def throughput():
    """Print the throughput of both policies on each cluster."""
    for seed in SEEDS:
        servers = cluster(seed)
        bound = bound_tokens_per_s(servers)
        for load in LOADS:
            for name in ('least_cost', 'round_robin'):
                run = Simulation(servers, name, load * bound, seed)
                rate, median_s, p95_s = run.run()
                common.emit(
                    'routing.throughput',
                    seed=seed,
                    policy=name,
                    offered_share_of_bound=load,
                    bound_tokens_per_s=round(bound, 1),
                    tokens_per_s=round(rate, 1),
                    share_of_bound=round(rate / bound, 3),
                    median_s=round(median_s, 2),
                    p95_s=round(p95_s, 2),
                )


def main():
    """Run all measurements."""
    throughput()
    asyncio.run(routing_losses.attempts())


if __name__ == '__main__':
    main()
