"""Chain policies; `least_cost` is the default."""

import itertools
import random

import attrs

from pimentowalk.core import registry
from pimentowalk.routing import links
from pimentowalk.routing import loads
from pimentowalk.routing import prefix
from pimentowalk.routing import search

POLICIES = registry.Registry('chain policy')

# Servers sampled per layer range, and layer ranges per first layer.
SAMPLED_SERVERS = 3
SAMPLED_RANGES = 4
# If half of the servers are lost, one sample in fifteen consists of lost
# servers only. The sample is therefore repeated, up to MAX_SAMPLES in total,
# while the penalty of its best chain reaches this value.
RESAMPLE_PENALTY_S = 0.1
MAX_SAMPLES = 4
# The share of work of a server that joins is ramped up over this time.
RAMP_S = 5.0
MIN_RAMP_SHARE = 0.05
# A chain that has cached the prefix is chosen if it costs at most this
# multiple of the cheapest chain, plus the prefill time that it saves.
AFFINITY_LOAD_BOUND = 1.25


@attrs.define
class RoutingState:
    """State of the chain policies, shared by all services of an entry."""

    index: object
    loads: loads.LoadTracker
    links: links.LinkTracker
    prefixes: prefix.PrefixTable = attrs.field(factory=prefix.PrefixTable)
    rng: random.Random = attrs.field(factory=random.Random)

    def record_link_delays(self, delays):
        """Record round trips measured by agents."""
        for delay in delays:
            source = self.index.get(delay.source_id)
            target = self.index.get(delay.target_id)
            if source is not None and target is not None:
                self.links.record_round_trip(
                    source.server_id, source.zone, target, delay.round_trip_s
                )


@POLICIES.register('least_cost')
class LeastCost:
    """Choose the cheapest chain through a random sample of servers."""

    def __init__(
        self, state, *, servers=SAMPLED_SERVERS, ranges=SAMPLED_RANGES
    ):
        self._state = state
        self._servers = servers
        self._ranges = ranges

    def choose(self, query):
        """Return the servers of a chain in order, or None."""
        group = self._state.index.group(query)
        if group is None:
            return None
        cost = search.ChainCost(self._state.loads, self._state.links, query)
        best_s, best = self._cheapest(group, query, cost)
        return self._prefer_prefix(group, query, cost, best_s, best)

    def _cheapest(self, group, query, cost):
        """Search samples until the best chain has no recent failure."""
        found = []
        for _ in range(MAX_SAMPLES):
            sample = self._sample(group, query)
            best_s, best = search.cheapest(sample, group.total_layers, cost)
            found.append((best_s, best))
            if cost.penalty_s(best) < RESAMPLE_PENALTY_S:
                break
        return min(found, key=lambda pair: pair[0])

    def _sample(self, group, query):
        state = self._state
        sample = {}
        reached = {0}
        zones = {0: {state.links.zone}}
        for boundary in range(group.total_layers):
            if boundary not in reached:
                continue
            ranges = self._sample_ranges(group.ranges[boundary])
            sample[boundary] = servers = []
            for end, members in ranges:
                picked = self._sample_members(members, zones[boundary], query)
                servers.extend(picked)
                reached.add(end)
                zones.setdefault(end, set()).update(s.zone for s in picked)
        return sample

    def _sample_ranges(self, ranges):
        if len(ranges) <= self._ranges:
            return ranges
        weights = [max(m.capacity_tokens_per_s, 1.0) for _, m in ranges]
        chosen = self._state.rng.choices(
            range(len(ranges)), weights, k=self._ranges
        )
        return [ranges[position] for position in sorted(set(chosen))]

    def _sample_members(self, members, zones, query):
        """Sample servers, those in zones already reached first."""
        # Retries sample more servers to make up for those to avoid.
        count = self._servers + len(query.avoid)
        rng = self._state.rng
        zones_in_reach = sorted(zones & members.by_zone.keys())
        sample = [
            rng.choice(members.by_zone[zone])
            for zone in zones_in_reach[: self._servers // 2]
        ]
        sample += rng.sample(members.servers, min(count, len(members.servers)))
        return self._filter_sample(sample, query)

    def _filter_sample(self, sample, query):
        """Drop servers to avoid and, at random, servers in their ramp."""
        servers = list({s.server_id: s for s in sample}.values())
        usable = [s for s in servers if s.server_id not in query.avoid]
        accepting = [s for s in usable if self._accepts_by_ramp(s)]
        return (accepting or usable or servers)[: self._servers]

    def _accepts_by_ramp(self, server):
        age_s = self._state.index.age_s(server.server_id)
        if age_s >= RAMP_S:
            return True
        share = max(age_s / RAMP_S, MIN_RAMP_SHARE)
        return self._state.rng.random() < share

    def _prefer_prefix(self, group, query, cost, best_s, best):
        ids, tokens = self._state.prefixes.find(query.prefix_keys)
        cached = [self._state.index.get(server_id) for server_id in ids]
        if not cached or None in cached:
            return best
        if not search.covers_all_layers(cached, group.total_layers) or any(
            server.server_id in query.avoid
            or query.adapter not in ('', *server.adapters)
            or server.service != query.service
            or server.version != best[0].version
            for server in cached
        ):
            return best
        prefill_saved_s = tokens / min(
            self._state.loads.tokens_per_s(server) for server in cached
        )
        if cost.of(cached) <= best_s * AFFINITY_LOAD_BOUND + prefill_saved_s:
            return cached
        return best


@POLICIES.register('round_robin')
class RoundRobin:
    """Take layer ranges and servers in turn; the baseline."""

    def __init__(self, state):
        self._state = state
        self._turns = {}

    def _turn(self, key):
        return next(self._turns.setdefault(key, itertools.count()))

    def choose(self, query):
        """Return the servers of a chain in order, or None."""
        group = self._state.index.group(query)
        if group is None:
            return None
        name = (query.service, query.model, query.adapter)
        chain = []
        boundary = 0
        while boundary < group.total_layers:
            ranges = group.ranges[boundary]
            turn = self._turn((*name, boundary))
            end, members = ranges[turn % len(ranges)]
            chain.append(
                self._next_server(name, boundary, end, members, query)
            )
            boundary = end
        return chain

    def _next_server(self, name, boundary, end, members, query):
        servers = members.servers
        for _ in servers:
            turn = self._turn((*name, boundary, end))
            server = servers[turn % len(servers)]
            if server.server_id not in query.avoid:
                break
        return server
