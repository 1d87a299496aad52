"""Small random clusters for tests of the chain policies."""

import itertools
import random

from hypothesis import strategies

from pimentowalk.core import timers as core_timers
from pimentowalk.routing import index
from pimentowalk.routing import links
from pimentowalk.routing import loads
from pimentowalk.routing import policies
from pimentowalk.topology import instances
from pimentowalk.wire import messages

LAYERS = 5
RANGES = list(itertools.combinations(range(LAYERS + 1), 2))
ZONES = ('z1', 'z2')
SPEEDS = (10.0, 50.0, 400.0)


def server(number, layers, speed=100.0, zone='z1', **others):
    """Return a server that holds a layer range."""
    fields = {
        'server_id': f's{number}',
        'incarnation': 1,
        'service': 'assist',
        'host': '127.0.0.1',
        'port': 1000 + number,
        'zone': zone,
        'model': 'm1',
        'version': 'v1',
        'first_layer': layers[0],
        'end_layer': layers[1],
        'total_layers': LAYERS,
        'capacity_tokens_per_s': speed,
    }
    return instances.BackendServer(**{**fields, **others})


@strategies.composite
def server_lists(draw, max_size=9):
    """Draw servers with any ranges, speeds and zones."""
    count = draw(strategies.integers(0, max_size))
    # The ranges of one partition of the layers are drawn more often, so that
    # most clusters can form a chain. One partition has three stages, since
    # paths that share first and last server differ only in a middle stage.
    partition = draw(
        strategies.sampled_from(
            [[(0, 1), (1, 3), (3, 5)], [(0, 2), (2, 5)], [(0, 3), (3, 5)]]
        )
    )
    ranges = strategies.one_of(
        *[strategies.sampled_from(partition)] * 3,
        strategies.sampled_from(RANGES),
    )
    return [
        server(
            number,
            draw(ranges),
            draw(strategies.sampled_from(SPEEDS)),
            draw(strategies.sampled_from(ZONES)),
            draining=draw(strategies.sampled_from([False] * 7 + [True])),
        )
        for number in range(count)
    ]


def query(**fields):
    """Return a query for the model of these clusters."""
    fields = {'service': 'assist', 'model': 'm1', **fields}
    return index.ChainQuery(**fields)


def state(servers=(), *, seed=1, timers=None):
    """Return the state of the policies for these servers."""
    timers = timers or core_timers.ManualTimerService()
    routing_state = policies.RoutingState(
        index.ServerIndex(timers),
        loads.LoadTracker(timers),
        links.LinkTracker(timers, 'entry', 'z1'),
        rng=random.Random(seed),
    )
    routing_state.index.update(servers)
    return routing_state


def randomize_state(draw, routing_state, servers):
    """Draw queue lengths, measured round trips and failed links."""
    times_s = strategies.sampled_from([0.0002, 0.002, 0.02, 0.2])
    for source in servers:
        # The queueing time is drawn independently of the speed, so that slow
        # servers with short queues compete with fast ones with long queues.
        wait_s = draw(strategies.integers(0, 20))
        queued = int(wait_s * source.capacity_tokens_per_s)
        load = messages.StageLoad(source.server_id, queued, 0, 0.0)
        routing_state.loads.record_reports([load])
        for target in servers:
            if draw(strategies.booleans()):
                routing_state.links.record_round_trip(
                    source.server_id, source.zone, target, draw(times_s)
                )
            if draw(strategies.integers(0, 9)) == 0:
                routing_state.links.record_failure(
                    source.server_id, target.server_id
                )


def all_chains(servers, total=LAYERS, boundary=0):
    """Return every chain that covers all layers, by exhaustive search."""
    if boundary == total:
        return [[]]
    return [
        [first, *rest]
        for first in servers
        if first.first_layer == boundary and not first.draining
        for rest in all_chains(servers, total, first.end_layer)
    ]


def reference_cost_s(routing_state, chain, chain_query):
    """Return the cost of a chain by the formula in docs/design.md."""
    links_tracker = routing_state.links
    head = chain[0]
    cost_s = links_tracker.delay_s('entry', 'z1', head)
    cost_s += links_tracker.penalty_s('entry', head.server_id)
    for stage in chain:
        cost_s += routing_state.loads.queued_tokens(stage.server_id) / (
            stage.capacity_tokens_per_s
        )
    hops = list(zip(chain, chain[1:], strict=False))
    if len(chain) > 1:
        hops.append((chain[-1], head))
    for source, target in hops:
        delay_s = links_tracker.delay_s(source.server_id, source.zone, target)
        cost_s += delay_s * chain_query.output_tokens
        cost_s += links_tracker.penalty_s(source.server_id, target.server_id)
    slowest_tokens_per_s = min(stage.capacity_tokens_per_s for stage in chain)
    return cost_s + chain_query.predicted_tokens / slowest_tokens_per_s
