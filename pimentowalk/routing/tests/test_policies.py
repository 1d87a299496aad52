"""Tests of the chain policies, compared with an exhaustive search."""

import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from pimentowalk.core import timers as core_timers
from pimentowalk.routing import index
from pimentowalk.routing import plain
from pimentowalk.routing import policies
from pimentowalk.routing import prefix
from pimentowalk.routing import search
from pimentowalk.routing.tests import clusters
from pimentowalk.wire import messages

SETTINGS = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)


@SETTINGS
@hypothesis.given(strategies.data())
def test_whole_sample_gives_the_cheapest_of_all_chains(data):
    """A search that prunes a path too early would miss the best chain."""
    servers = data.draw(clusters.server_lists())
    routing_state = clusters.state(servers)
    clusters.randomize_state(data.draw, routing_state, servers)
    chain_query = clusters.query(
        predicted_tokens=data.draw(strategies.integers(1, 500)),
        output_tokens=data.draw(strategies.integers(1, 100)),
    )
    policy = policies.LeastCost(routing_state, servers=100, ranges=100)
    chain = policy.choose(chain_query)
    chains = clusters.all_chains(servers)
    if not chains:
        assert chain is None
        return
    assert chain in chains
    costs = [
        clusters.reference_cost_s(routing_state, c, chain_query)
        for c in chains
    ]
    found = clusters.reference_cost_s(routing_state, chain, chain_query)
    assert found == pytest.approx(min(costs))
    cost = search.ChainCost(
        routing_state.loads, routing_state.links, chain_query
    )
    assert cost.of(chain) == pytest.approx(found)


@SETTINGS
@hypothesis.given(
    clusters.server_lists(max_size=14), strategies.sampled_from([0, 1, 2])
)
def test_small_samples_give_chains_that_cover_all_layers(servers, seed):
    """A chain with a gap would skip layers."""
    for name in policies.POLICIES.names():
        routing_state = clusters.state(servers, seed=seed)
        policy = policies.POLICIES.get(name)(routing_state)
        chains = clusters.all_chains(servers)
        for _ in range(5):
            chain = policy.choose(clusters.query())
            assert (chain is None) == (not chains)
            if chain is not None:
                assert chain in chains


@SETTINGS
@hypothesis.given(
    strategies.lists(clusters.server_lists(max_size=6), min_size=1, max_size=5)
)
def test_index_follows_the_view(views):
    """A server that left the view must not receive further work."""
    timers = core_timers.ManualTimerService()
    updated = index.ServerIndex(timers)
    for servers in views:
        updated.update(servers)
        fresh = index.ServerIndex(timers)
        fresh.update(servers)
        assert _ranges(updated) == _ranges(fresh)


def _ranges(server_index):
    group = server_index.group(clusters.query())
    if group is None:
        return None
    return {
        (first, end): sorted(s.server_id for s in members.servers)
        for first, ends in group.ranges.items()
        for end, members in ends
    }


def test_versions_and_adapters_are_not_mixed():
    """A chain of two versions would give the answer of neither model."""
    old = [clusters.server(n, r) for n, r in ((1, (0, 2)), (2, (2, 5)))]
    new = [
        clusters.server(3, (0, 2), version='v2', adapters=['formal']),
        clusters.server(4, (2, 5), version='v2'),
    ]
    routing_state = clusters.state(old + new)
    policy = policies.LeastCost(routing_state)
    for version, ids in (('v1', ['s1', 's2']), ('v2', ['s3', 's4'])):
        for _ in range(10):
            chain = policy.choose(clusters.query(version=version))
            assert [s.server_id for s in chain] == ids
    assert policy.choose(clusters.query(adapter='formal')) is None
    assert policy.choose(clusters.query(version='v3')) is None


def test_sent_work_counts_until_a_report_includes_it():
    """Reports that lag must not attract all work to one server."""
    timers = core_timers.ManualTimerService()
    pair = [clusters.server(n, (0, 5)) for n in (1, 2)]
    routing_state = clusters.state(pair, timers=timers)
    policy = policies.LeastCost(routing_state)
    chosen = []
    for _ in range(20):
        chain = policy.choose(clusters.query(predicted_tokens=50))
        routing_state.loads.charge([chain[0].server_id], 50)
        chosen.append(chain[0].server_id)
    pairs = zip(chosen[::2], chosen[1::2], strict=True)
    assert all(set(pair) == {'s1', 's2'} for pair in pairs)


async def test_load_report_replaces_what_was_sent_before_it():
    """Work that is counted twice would keep a server idle."""
    timers = core_timers.ManualTimerService()
    routing_state = clusters.state(timers=timers)
    early = routing_state.loads.charge(['s1'], 100)
    await timers.advance(1.0)
    routing_state.loads.charge(['s1'], 30)
    routing_state.loads.record_reports([messages.StageLoad('s1', 6, 2, 25.0)])
    assert routing_state.loads.queued_tokens('s1') == 100
    routing_state.loads.settle(early)
    assert routing_state.loads.queued_tokens('s1') == 100
    assert routing_state.loads.tokens_per_s(clusters.server(1, (0, 5))) == 25.0


async def test_joining_server_receives_a_growing_share():
    """A new server that got full load at once would be overloaded."""
    timers = core_timers.ManualTimerService()
    old = [clusters.server(n, (0, 5)) for n in range(1, 4)]
    routing_state = clusters.state(old, timers=timers)
    policy = policies.LeastCost(routing_state, servers=4)
    joined_s = {server.server_id: float('-inf') for server in old}
    joined_s['s4'] = timers.now_s()
    routing_state.index.update(
        [*old, clusters.server(4, (0, 5), 10_000.0)], joined_s.__getitem__
    )
    shares = []
    for _ in range(4):
        chains = [policy.choose(clusters.query()) for _ in range(400)]
        shares.append(sum(c[0].server_id == 's4' for c in chains) / 400)
        await timers.advance(2.0)
    assert shares[0] < 0.15
    assert 0.3 < shares[1] < 0.5
    assert 0.7 < shares[2] < 0.9
    assert shares[3] == 1.0


async def test_failed_link_is_avoided_until_it_recovers():
    """A link that has recovered must be used again."""
    timers = core_timers.ManualTimerService()
    servers = [clusters.server(n, (0, 5)) for n in (1, 2)]
    routing_state = clusters.state(servers, timers=timers)
    policy = policies.LeastCost(routing_state)
    routing_state.links.record_failure('entry', 's1')
    chosen = {policy.choose(clusters.query())[0].server_id for _ in range(50)}
    assert chosen == {'s2'}
    routing_state.links.record_success('entry', 's1')
    assert routing_state.links.penalty_s('entry', 's1') == 0
    routing_state.links.record_failure('entry', 's1')
    await timers.advance(600)
    assert routing_state.links.penalty_s('entry', 's1') == 0


def test_penalty_of_a_lost_server_applies_to_all_links():
    """Otherwise every link to a lost server costs a failed attempt."""
    routing_state = clusters.state()
    routing_state.links.record_failure('s1', 's9')
    assert routing_state.links.penalty_s('s3', 's9') == 0
    routing_state.links.record_failure('s2', 's9')
    assert routing_state.links.penalty_s('s3', 's9') > 0
    routing_state.links.record_success('s2', 's9')
    assert routing_state.links.penalty_s('s3', 's9') == 0


def test_servers_to_avoid_are_used_only_if_nothing_else_is_left():
    """A retry at the server that failed would fail again."""
    servers = [clusters.server(n, (0, 5)) for n in range(1, 9)]
    for name in policies.POLICIES.names():
        policy = policies.POLICIES.get(name)(clusters.state(servers))
        for count in (1, 7, 8):
            avoid = frozenset(f's{n}' for n in range(1, count + 1))
            chain_query = clusters.query(avoid=avoid)
            chosen = {
                policy.choose(chain_query)[0].server_id for _ in range(40)
            }
            assert count == 8 or not chosen & avoid


def test_prefix_affinity_yields_to_load():
    """A popular prefix must not overload the chain that has cached it."""
    servers = [clusters.server(n, (0, 5)) for n in range(1, 30)]
    routing_state = clusters.state(servers)
    policy = policies.LeastCost(routing_state)
    keys = prefix.prefix_keys('assist', '', 'x' * 5000)
    assert [tokens for _, tokens in keys] == [1024, 256, 64]
    routing_state.prefixes.remember(keys, ['s7'])
    chain_query = clusters.query(prefix_keys=keys, predicted_tokens=1300)
    assert {policy.choose(chain_query)[0].server_id for _ in range(20)} == {
        's7'
    }
    routing_state.loads.record_reports(
        [messages.StageLoad('s7', 9000, 9, 0.0)]
    )
    chosen = {policy.choose(chain_query)[0].server_id for _ in range(20)}
    assert 's7' not in chosen


def test_own_zone_is_preferred():
    """A chain in another zone crosses zones twice for each token."""
    servers = [
        clusters.server(n, layers, zone=zone)
        for n, (layers, zone) in enumerate(
            (layers, zone)
            for layers in ((0, 2), (2, 5))
            for zone in ['z1'] * 6 + ['z2'] * 6
        )
    ]
    policy = policies.LeastCost(clusters.state(servers))
    zones = [
        {s.zone for s in policy.choose(clusters.query(output_tokens=100))}
        for _ in range(100)
    ]
    assert sum(z == {'z1'} for z in zones) == 100


class CountingList(list):
    """A list that counts which of its elements are read."""

    reads = 0

    def __getitem__(self, position):
        CountingList.reads += 1
        return super().__getitem__(position)

    def __iter__(self):
        CountingList.reads += len(self)
        return super().__iter__()


def test_choice_does_not_scan_all_replicas():
    """At full scale, a scan per request would occupy whole cores."""
    servers = [
        clusters.server(n, layers)
        for n, layers in enumerate([(0, 2), (2, 5)] * 500)
    ]
    routing_state = clusters.state(servers)
    group = routing_state.index.group(clusters.query())
    for ends in group.ranges.values():
        for _, members in ends:
            members.servers = CountingList(members.servers)
    policies.LeastCost(routing_state).choose(clusters.query())
    assert 0 < CountingList.reads < 20


def test_plain_choice_avoids_failed_and_loaded_servers():
    """A service call must not go to a server that has just failed."""
    servers = [
        clusters.server(n, (0, 0), kind='plain', service='desk')
        for n in range(1, 4)
    ]
    routing_state = clusters.state(servers)
    routing_state.links.record_failure('entry', 's1')
    routing_state.loads.record_reports([messages.StageLoad('s2', 500, 1, 0.0)])
    chosen = {plain.choose(routing_state, 'desk').server_id for _ in range(20)}
    assert chosen == {'s3'}
    avoid = {'s1', 's3'}
    assert plain.choose(routing_state, 'desk', avoid).server_id == 's2'
    assert plain.choose(routing_state, 'other') is None
    gone = [attrs.evolve(s, draining=True) for s in servers]
    routing_state.index.update(gone)
    assert plain.choose(routing_state, 'desk') is None


def three_stage_cluster(rng):
    """Return servers whose speeds and queues favour different chains."""
    ranges = [(0, 1), (0, 1), *[(1, 3)] * 4, (3, 5), (3, 5)]
    servers = [
        clusters.server(number, layers, rng.choice([20.0, 60.0, 300.0]))
        for number, layers in enumerate(ranges)
    ]
    routing_state = clusters.state(servers)
    for server in servers:
        queued = int(rng.uniform(0, 10) * server.capacity_tokens_per_s)
        load = messages.StageLoad(server.server_id, queued, 0, 0.0)
        routing_state.loads.record_reports([load])
    return servers, routing_state


def test_speed_and_queue_are_weighed_against_each_other():
    """The chain with the shortest queues may contain the slowest stage."""
    rng = random.Random(7)
    for _ in range(300):
        servers, routing_state = three_stage_cluster(rng)
        chain_query = clusters.query(predicted_tokens=200, output_tokens=10)
        chain = policies.LeastCost(routing_state, servers=9).choose(
            chain_query
        )
        costs = [
            clusters.reference_cost_s(routing_state, each, chain_query)
            for each in clusters.all_chains(servers)
        ]
        found = clusters.reference_cost_s(routing_state, chain, chain_query)
        assert found == pytest.approx(min(costs))
