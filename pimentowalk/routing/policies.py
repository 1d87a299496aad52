"""Chain policies by name; `least_cost` is the default."""

import itertools
import random

import attrs

from pimentowalk.core import registry
from pimentowalk.routing import links
from pimentowalk.routing import loads
from pimentowalk.routing import prefix
from pimentowalk.routing import search

POLICIES = registry.Registry('chain policy')

# Servers sampled for each layer range, and ranges for each boundary.
SAMPLED_SERVERS = 3
SAMPLED_RANGES = 4
# After the loss of half of the servers, one sample in fifteen holds lost
# servers only. A chain with more than this penalty is therefore sampled
# again, up to this many samples.
SUSPECT_PENALTY_S = 0.1
MAX_SAMPLES = 4
# A joining server receives a growing share of work over this time.
RAMP_S = 5.0
LEAST_SHARE = 0.05
# A chain with the prefix in its cache may cost this much more than the best
# chain without it, besides the prefill that it saves.
AFFINITY_LOAD_BOUND = 1.25


@attrs.define
class RoutingState:
    """What chain policies know, shared by all services of an entry."""

    index: object
    loads: loads.LoadTracker
    links: links.LinkTracker
    prefixes: prefix.PrefixTable = attrs.field(factory=prefix.PrefixTable)
    rng: random.Random = attrs.field(factory=random.Random)

    def record_link_delays(self, delays):
        """Take over round trips that agents measured."""
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
        return self._with_prefix(group, query, cost, best_s, best)

    def _cheapest(self, group, query, cost):
        """Search a sample, and others if its best chain failed lately."""
        found = []
        for _ in range(MAX_SAMPLES):
            sample = self._sample(group, query)
            best_s, best = search.cheapest(sample, group.total_layers, cost)
            found.append((best_s, best))
            if cost.penalty_s(best) < SUSPECT_PENALTY_S:
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
            ranges = self._some_ranges(group.ranges[boundary])
            sample[boundary] = servers = []
            for end, members in ranges:
                picked = self._some(members, zones[boundary], query)
                servers.extend(picked)
                reached.add(end)
                zones.setdefault(end, set()).update(s.zone for s in picked)
        return sample

    def _some_ranges(self, ranges):
        if len(ranges) <= self._ranges:
            return ranges
        weights = [max(m.capacity_tokens_per_s, 1.0) for _, m in ranges]
        chosen = self._state.rng.choices(
            range(len(ranges)), weights, k=self._ranges
        )
        return [ranges[position] for position in sorted(set(chosen))]

    def _some(self, members, zones, query):
        """Sample servers, the first ones in a zone already reached."""
        # Retries sample more, so that servers to avoid do not use it up.
        count = self._servers + len(query.avoid)
        rng = self._state.rng
        near = sorted(zones & members.by_zone.keys())
        sample = [
            rng.choice(members.by_zone[zone])
            for zone in near[: self._servers // 2]
        ]
        sample += rng.sample(members.servers, min(count, len(members.servers)))
        return self._willing(sample, query)

    def _willing(self, sample, query):
        """Leave out servers to avoid and, by chance, joining ones."""
        servers = list({s.server_id: s for s in sample}.values())
        fit = [s for s in servers if s.server_id not in query.avoid]
        willing = [s for s in fit if self._accepts(s)]
        return (willing or fit or servers)[: self._servers]

    def _accepts(self, server):
        age_s = self._state.index.age_s(server.server_id)
        if age_s >= RAMP_S:
            return True
        share = max(age_s / RAMP_S, LEAST_SHARE)
        return self._state.rng.random() < share

    def _with_prefix(self, group, query, cost, best_s, best):
        ids, tokens = self._state.prefixes.find(query.prefix_keys)
        hinted = [self._state.index.get(server_id) for server_id in ids]
        if not hinted or None in hinted:
            return best
        if not search.tiles(hinted, group.total_layers) or any(
            server.server_id in query.avoid
            or query.adapter not in ('', *server.adapters)
            or server.service != query.service
            or server.version != best[0].version
            for server in hinted
        ):
            return best
        saved_s = tokens / min(
            self._state.loads.tokens_per_s(server) for server in hinted
        )
        if cost.of(hinted) <= best_s * AFFINITY_LOAD_BOUND + saved_s:
            return hinted
        return best


@POLICIES.register('round_robin')
class RoundRobin:
    """Take ranges and servers in turn; the baseline."""

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
            chain.append(self._next(name, boundary, end, members, query))
            boundary = end
        return chain

    def _next(self, name, boundary, end, members, query):
        servers = members.servers
        for _ in servers:
            turn = self._turn((*name, boundary, end))
            server = servers[turn % len(servers)]
            if server.server_id not in query.avoid:
                break
        return server
