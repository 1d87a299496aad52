"""Guard the chain policies against an exhaustive search."""

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
    """A search that drops a path too early would miss the best chain."""
    servers = data.draw(clusters.server_lists())
    built = clusters.state(servers)
    clusters.disturb(data.draw, built, servers)
    asked = clusters.query(
        predicted_tokens=data.draw(strategies.integers(1, 500)),
        output_tokens=data.draw(strategies.integers(1, 100)),
    )
    policy = policies.LeastCost(built, servers=100, ranges=100)
    chain = policy.choose(asked)
    chains = clusters.naive_chains(servers)
    if not chains:
        assert chain is None
        return
    assert chain in chains
    costs = [clusters.naive_cost_s(built, c, asked) for c in chains]
    found = clusters.naive_cost_s(built, chain, asked)
    assert found == pytest.approx(min(costs))
    cost = search.ChainCost(built.loads, built.links, asked)
    assert cost.of(chain) == pytest.approx(found)


@SETTINGS
@hypothesis.given(
    clusters.server_lists(max_size=14), strategies.sampled_from([0, 1, 2])
)
def test_small_samples_still_give_chains_that_tile(servers, seed):
    """A sampled chain with a gap would skip layers."""
    for name in policies.POLICIES.names():
        built = clusters.state(servers, seed=seed)
        policy = policies.POLICIES.get(name)(built)
        chains = clusters.naive_chains(servers)
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
    """A server left over from an old view would get work after it left."""
    timers = core_timers.ManualTimerService()
    followed = index.ServerIndex(timers)
    for servers in views:
        followed.update(servers)
        fresh = index.ServerIndex(timers)
        fresh.update(servers)
        assert _ranges(followed) == _ranges(fresh)


def _ranges(built):
    group = built.group(clusters.query())
    if group is None:
        return None
    return {
        (first, end): sorted(s.server_id for s in members.servers)
        for first, ends in group.ranges.items()
        for end, members in ends
    }


def test_versions_and_adapters_are_not_mixed():
    """A chain of two versions would give neither model's answer."""
    old = [clusters.server(n, r) for n, r in ((1, (0, 2)), (2, (2, 5)))]
    new = [
        clusters.server(3, (0, 2), version='v2', adapters=['formal']),
        clusters.server(4, (2, 5), version='v2'),
    ]
    built = clusters.state(old + new)
    policy = policies.LeastCost(built)
    for version, ids in (('v1', ['s1', 's2']), ('v2', ['s3', 's4'])):
        for _ in range(10):
            chain = policy.choose(clusters.query(version=version))
            assert [s.server_id for s in chain] == ids
    assert policy.choose(clusters.query(adapter='formal')) is None
    assert policy.choose(clusters.query(version='v3')) is None


def test_sent_work_counts_until_a_report_includes_it():
    """Lagging reports must not draw all work to one server."""
    timers = core_timers.ManualTimerService()
    pair = [clusters.server(n, (0, 5)) for n in (1, 2)]
    built = clusters.state(pair, timers=timers)
    policy = policies.LeastCost(built)
    chosen = []
    for _ in range(20):
        chain = policy.choose(clusters.query(predicted_tokens=50))
        built.loads.charge([chain[0].server_id], 50)
        chosen.append(chain[0].server_id)
    pairs = zip(chosen[::2], chosen[1::2], strict=True)
    assert all(set(pair) == {'s1', 's2'} for pair in pairs)


async def test_load_report_replaces_what_was_sent_before_it():
    """Work counted twice would keep a server empty."""
    timers = core_timers.ManualTimerService()
    built = clusters.state(timers=timers)
    early = built.loads.charge(['s1'], 100)
    await timers.advance(1.0)
    built.loads.charge(['s1'], 30)
    built.loads.record_reports([messages.StageLoad('s1', 6, 2, 25.0)])
    assert built.loads.queued_tokens('s1') == 100
    built.loads.settle(early)
    assert built.loads.queued_tokens('s1') == 100
    assert built.loads.tokens_per_s(clusters.server(1, (0, 5))) == 25.0


async def test_joining_server_receives_a_growing_share():
    """A new server that got full load at once would be overrun."""
    timers = core_timers.ManualTimerService()
    old = [clusters.server(n, (0, 5)) for n in range(1, 4)]
    built = clusters.state(old, timers=timers)
    policy = policies.LeastCost(built, servers=4)
    built.index.update([*old, clusters.server(4, (0, 5), 10_000.0)])
    shares = []
    for _ in range(4):
        chains = [policy.choose(clusters.query()) for _ in range(400)]
        shares.append(sum(c[0].server_id == 's4' for c in chains) / 400)
        await timers.advance(2.0)
    assert shares[0] < 0.15
    assert 0.3 < shares[1] < 0.5
    assert 0.7 < shares[2] < 0.9
    assert shares[3] == 1.0


async def test_failed_link_is_avoided_and_forgiven():
    """A link that came back must carry work again."""
    timers = core_timers.ManualTimerService()
    servers = [clusters.server(n, (0, 5)) for n in (1, 2)]
    built = clusters.state(servers, timers=timers)
    policy = policies.LeastCost(built)
    built.links.record_failure('entry', 's1')
    chosen = {policy.choose(clusters.query())[0].server_id for _ in range(50)}
    assert chosen == {'s2'}
    built.links.record_success('entry', 's1')
    assert built.links.penalty_s('entry', 's1') == 0
    built.links.record_failure('entry', 's1')
    await timers.advance(600)
    assert built.links.penalty_s('entry', 's1') == 0


def test_penalty_of_a_lost_server_holds_for_all_links():
    """Each link to a lost server would otherwise cost one attempt."""
    built = clusters.state()
    built.links.record_failure('s1', 's9')
    assert built.links.penalty_s('s3', 's9') == 0
    built.links.record_failure('s2', 's9')
    assert built.links.penalty_s('s3', 's9') > 0
    built.links.record_success('s2', 's9')
    assert built.links.penalty_s('s3', 's9') == 0


def test_servers_to_avoid_are_used_only_if_nothing_else_is_left():
    """A retry on the failed server would fail again."""
    servers = [clusters.server(n, (0, 5)) for n in range(1, 9)]
    for name in policies.POLICIES.names():
        policy = policies.POLICIES.get(name)(clusters.state(servers))
        for count in (1, 7, 8):
            avoid = frozenset(f's{n}' for n in range(1, count + 1))
            asked = clusters.query(avoid=avoid)
            chosen = {policy.choose(asked)[0].server_id for _ in range(40)}
            assert count == 8 or not chosen & avoid


def test_prefix_affinity_gives_way_to_load():
    """A popular prefix must not overload the chain that cached it."""
    servers = [clusters.server(n, (0, 5)) for n in range(1, 30)]
    built = clusters.state(servers)
    policy = policies.LeastCost(built)
    keys = prefix.prefix_keys('assist', '', 'x' * 5000)
    assert [tokens for _, tokens in keys] == [1024, 256, 64]
    built.prefixes.remember(keys, ['s7'])
    asked = clusters.query(prefix_keys=keys, predicted_tokens=1300)
    assert {policy.choose(asked)[0].server_id for _ in range(20)} == {'s7'}
    built.loads.record_reports([messages.StageLoad('s7', 9000, 9, 0.0)])
    chosen = {policy.choose(asked)[0].server_id for _ in range(20)}
    assert 's7' not in chosen


def test_own_zone_is_preferred():
    """A chain in another zone costs two crossings for each token."""
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
    """At full scale a scan for each request would take whole cores."""
    servers = [
        clusters.server(n, layers)
        for n, layers in enumerate([(0, 2), (2, 5)] * 500)
    ]
    built = clusters.state(servers)
    group = built.index.group(clusters.query())
    for ends in group.ranges.values():
        for _, members in ends:
            members.servers = CountingList(members.servers)
    policies.LeastCost(built).choose(clusters.query())
    assert 0 < CountingList.reads < 20


def test_plain_choice_avoids_failed_and_loaded_servers():
    """A service call must not go to a server that just failed."""
    servers = [
        clusters.server(n, (0, 0), kind='plain', service='desk')
        for n in range(1, 4)
    ]
    built = clusters.state(servers)
    built.links.record_failure('entry', 's1')
    built.loads.record_reports([messages.StageLoad('s2', 500, 1, 0.0)])
    chosen = {plain.choose(built, 'desk').server_id for _ in range(20)}
    assert chosen == {'s3'}
    avoid = {'s1', 's3'}
    assert plain.choose(built, 'desk', avoid).server_id == 's2'
    assert plain.choose(built, 'other') is None
    gone = [attrs.evolve(s, draining=True) for s in servers]
    built.index.update(gone)
    assert plain.choose(built, 'desk') is None


def three_stage_cluster(rng):
    """Return servers and state in which speed and queue compete."""
    ranges = [(0, 1), (0, 1), *[(1, 3)] * 4, (3, 5), (3, 5)]
    servers = [
        clusters.server(number, layers, rng.choice([20.0, 60.0, 300.0]))
        for number, layers in enumerate(ranges)
    ]
    built = clusters.state(servers)
    for one in servers:
        queued = int(rng.uniform(0, 10) * one.capacity_tokens_per_s)
        load = messages.StageLoad(one.server_id, queued, 0, 0.0)
        built.loads.record_reports([load])
    return servers, built


def test_speed_and_queue_are_weighed_against_each_other():
    """The path with the shortest queues may hold the slowest stage."""
    rng = random.Random(7)
    for _ in range(300):
        servers, built = three_stage_cluster(rng)
        asked = clusters.query(predicted_tokens=200, output_tokens=10)
        chain = policies.LeastCost(built, servers=9).choose(asked)
        costs = [
            clusters.naive_cost_s(built, each, asked)
            for each in clusters.naive_chains(servers)
        ]
        found = clusters.naive_cost_s(built, chain, asked)
        assert found == pytest.approx(min(costs))
