"""Random small clusters for tests of the chain policies."""

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
    # The ranges of one tiling are drawn more often, so that most clusters
    # can serve a chain. It has three stages, since paths of different
    # speeds to one server from one head need a stage in between.
    tiling = draw(
        strategies.sampled_from(
            [[(0, 1), (1, 3), (3, 5)], [(0, 2), (2, 5)], [(0, 3), (3, 5)]]
        )
    )
    ranges = strategies.one_of(
        *[strategies.sampled_from(tiling)] * 3,
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
    """Return what the policies know of these servers."""
    timers = timers or core_timers.ManualTimerService()
    built = policies.RoutingState(
        index.ServerIndex(timers),
        loads.LoadTracker(timers),
        links.LinkTracker(timers, 'entry', 'z1'),
        rng=random.Random(seed),
    )
    built.index.update(servers)
    return built


def disturb(draw, built, servers):
    """Draw queues, measured round trips and failed links."""
    times_s = strategies.sampled_from([0.0002, 0.002, 0.02, 0.2])
    for source in servers:
        # The wait is drawn apart from the speed, so that slow servers with
        # short queues compete with fast ones with long queues.
        wait_s = draw(strategies.integers(0, 20))
        queued = int(wait_s * source.capacity_tokens_per_s)
        load = messages.StageLoad(source.server_id, queued, 0, 0.0)
        built.loads.record_reports([load])
        for target in servers:
            if draw(strategies.booleans()):
                built.links.record_round_trip(
                    source.server_id, source.zone, target, draw(times_s)
                )
            if draw(strategies.integers(0, 9)) == 0:
                built.links.record_failure(source.server_id, target.server_id)


def naive_chains(servers, total=LAYERS, boundary=0):
    """Return every chain that tiles the layers, by trying all servers."""
    if boundary == total:
        return [[]]
    return [
        [first, *rest]
        for first in servers
        if first.first_layer == boundary and not first.draining
        for rest in naive_chains(servers, total, first.end_layer)
    ]


def naive_cost_s(built, chain, asked):
    """Return the cost of a chain as the design page describes it."""
    links_of = built.links
    head = chain[0]
    cost_s = links_of.delay_s('entry', 'z1', head)
    cost_s += links_of.penalty_s('entry', head.server_id)
    for one in chain:
        cost_s += built.loads.queued_tokens(one.server_id) / (
            one.capacity_tokens_per_s
        )
    hops = list(zip(chain, chain[1:], strict=False))
    if len(chain) > 1:
        hops.append((chain[-1], head))
    for source, target in hops:
        delay_s = links_of.delay_s(source.server_id, source.zone, target)
        cost_s += delay_s * asked.output_tokens
        cost_s += links_of.penalty_s(source.server_id, target.server_id)
    slowest = min(one.capacity_tokens_per_s for one in chain)
    return cost_s + asked.predicted_tokens / slowest
