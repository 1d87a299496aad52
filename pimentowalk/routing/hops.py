"""Path selection through backend servers that hold ranges of layers.

Unlike the ranges in a chain of agents, the ranges of servers may overlap: a
hop starts where the previous one ended and runs to the end of the range of
its server.
"""

import attrs

from pimentowalk.core import registry

POLICIES = registry.Registry('path policy')

# Costs are in seconds for one request. A hop within a zone costs the link
# delay of each token of an answer.
HOP_COST_S = 0.05
# The activations of one request occupy the shared link between two zones for
# tens of milliseconds, so about a dozen crossing requests per second saturate
# it and stall all of them. The cost keeps paths within one zone unless no
# zone holds all layers, and then keeps the number of crossings low.
CROSS_ZONE_COST_S = 4.0
# A server whose KV cache is full preempts running requests.
FULL_MEMORY_COST_S = 8.0
# The cost of memory rises quadratically above this cache utilization.
KNEE_SHARE = 0.5
# The cost of a server at which every call fails: a failed attempt uses up
# retry budget in addition to the time lost.
FAILURE_COST_S = 1.0
# The cost of a server that has asked this node for a pause. It still runs
# layers for other heads, and is cheaper than a path across zones.
PAUSED_COST_S = 1.0
MAX_HOPS = 32
# Costs of paths in other zones are searched again after this time. Loads of
# other nodes are known with a greater delay anyway.
ZONE_COST_TTL_S = 0.25
# Costs are increased at random by up to this share, so that nodes with the
# same view of the load do not all choose the same server.
JITTER_SHARE = 0.1


@attrs.frozen
class Hop:
    """The layers of a path that one backend server runs."""

    backend: object
    first_layer: int
    end_layer: int


@attrs.frozen
class PathQuery:
    """Requirements for a path, and the zone of the caller.

    `avoid` holds the ids of servers that must not be used, `paused` those of
    servers that must not be the head and are otherwise used if need be. `head`
    is the first hop of a running request, which a new path has to keep.
    `pace_costs_s` are the costs of servers that have started or recovered.
    """

    total_layers: int
    tokens: int
    zone: str
    avoid: frozenset = frozenset()
    head: Hop | None = None
    paused: frozenset = frozenset()
    pace_costs_s: dict = attrs.field(factory=dict)

    def may_begin_at(self, backend):
        """Return whether a server may be the head of a new path."""
        return (
            self.head is None
            and backend.first_layer == 0
            and backend.server_id not in self.paused
        )


def hop_cost_s(backend, layers, query, loads, outcomes):
    """Return the cost in seconds of running layers at a server."""
    failures = outcomes.failure_share(backend.server_id)
    work_s = loads.layer_time_s(backend) * layers
    share = loads.memory_share(backend, query.tokens)
    if backend.first_layer == 0:
        share = max(share, loads.slot_share(backend))
    excess = max(0.0, share - KNEE_SHARE) / (1 - KNEE_SHARE)
    return (
        HOP_COST_S
        + work_s * (1 + share)
        + FULL_MEMORY_COST_S * excess * excess
        + FAILURE_COST_S * failures
        + PAUSED_COST_S * (backend.server_id in query.paused)
        + query.pace_costs_s.get(backend.server_id, 0.0)
    )


def covers_all_layers(hops, total_layers):
    """Return whether hops run each layer exactly once and in order."""
    boundary = 0
    for hop in hops:
        if hop.first_layer != boundary or hop.end_layer <= boundary:
            return False
        if hop.first_layer < hop.backend.first_layer:
            return False
        if hop.end_layer > hop.backend.end_layer:
            return False
        boundary = hop.end_layer
    return boundary == total_layers


@attrs.define
class _PartialPath:
    """The cheapest path from layer 0 to the end of a server's range."""

    cost_s: float
    hop_count: int
    previous: object
    backend: object


@attrs.frozen
class _ZoneCost:
    """The cost of the cheapest path within a zone, infinite if none.

    `servers` are the ids and ranges of the servers that were searched.
    """

    cost_s: float
    found_s: float
    servers: tuple


@POLICIES.register('cheapest')
class CheapestPath:
    """Find the path of least total cost by dynamic programming.

    The zone of the caller is searched for each request, and another one only
    if its last known cost is the least of all. Streams that wait for capacity
    ask often, so that searching all zones would use up a small node.
    """

    def __init__(self, loads, rng, outcomes):
        self._loads = loads
        self._rng = rng
        self._outcomes = outcomes
        self._zone_costs = {}

    def choose(self, backends, query):
        """Return the hops of a path, or None if a layer is missing.

        Paths within a single zone are searched first, since they send no
        activations between zones.
        """
        candidates = [
            b
            for b in backends
            if b.server_id not in query.avoid and b.layer_count > 0
        ]
        candidates.sort(key=lambda b: (b.end_layer, b.first_layer))
        zones = {}
        for backend in candidates:
            zones.setdefault(backend.zone, []).append(backend)
        if query.head is not None:
            zone = query.head.backend.zone
            best = self._search(zones.get(zone, []), query)
        else:
            best = self._search_zones(zones, query)
        best = best or self._search(candidates, query)
        return self._hops(best) if best else None

    def _search_zones(self, zones, query):
        """Return the cheapest path within a single zone, or None."""
        best = self._search(zones.pop(query.zone, []), query)
        while zones:
            costs_s = {
                zone: self._zone_cost_s(zone, servers, query)
                for zone, servers in zones.items()
            }
            zone = min(costs_s, key=costs_s.get)
            best_cost_s = best.cost_s if best else float('inf')
            if costs_s[zone] >= best_cost_s:
                break
            found = self._search_zone(zone, zones.pop(zone), query)
            if found is not None and found.cost_s < best_cost_s:
                best = found
        return best

    def _zone_cost_s(self, zone, servers, query):
        """Return the last known cost of a zone, or a new one if outdated."""
        key = servers[0].service, zone
        known = self._zone_costs.get(key)
        if (
            known is None
            or self._loads.now_s() - known.found_s > ZONE_COST_TTL_S
            or known.servers != _ranges(servers)
        ):
            self._search_zone(zone, servers, query)
            known = self._zone_costs[key]
        return known.cost_s

    def _search_zone(self, zone, servers, query):
        """Return the cheapest path within a zone, and remember its cost."""
        path = self._search(servers, query)
        self._zone_costs[servers[0].service, zone] = _ZoneCost(
            path.cost_s if path else float('inf'),
            self._loads.now_s(),
            _ranges(servers),
        )
        return path

    def _search(self, candidates, query):
        # The cheapest partial path to each boundary, by zone.
        partial_paths = {}
        final = None
        if query.head is not None:
            if query.head.end_layer >= query.total_layers:
                return None
            head = attrs.evolve(
                query.head.backend,
                first_layer=0,
                end_layer=query.head.end_layer,
            )
            _keep_cheapest(partial_paths, _PartialPath(0.0, 1, None, head))
            candidates = [
                b
                for b in candidates
                if b.server_id != head.server_id
                and b.end_layer > head.end_layer
            ]
        for backend in candidates:
            found = self._extend(partial_paths, backend, query)
            if found is None:
                continue
            if backend.end_layer >= query.total_layers:
                if final is None or found.cost_s < final.cost_s:
                    final = found
            else:
                _keep_cheapest(partial_paths, found)
        return final

    def _extend(self, partial_paths, backend, query):
        """Return the cheapest path to the end of a server's range."""
        jitter = 1 + self._rng.random() * JITTER_SHARE
        best = None
        if query.may_begin_at(backend):
            layers = backend.end_layer
            cost_s = jitter * self._hop_cost_s(backend, layers, query)
            if backend.zone != query.zone:
                cost_s += self._loads.remote_zone_cost_s(backend.zone)
            best = _PartialPath(cost_s, 1, None, backend)
        for boundary in range(backend.first_layer, backend.end_layer):
            by_zone = partial_paths.get(boundary)
            if by_zone is None:
                continue
            hop_cost_s = jitter * self._hop_cost_s(
                backend, backend.end_layer - boundary, query
            )
            for previous in by_zone.values():
                if previous.hop_count >= MAX_HOPS:
                    continue
                cost_s = previous.cost_s + hop_cost_s
                if previous.backend.zone != backend.zone:
                    cost_s += CROSS_ZONE_COST_S
                if best is None or cost_s < best.cost_s:
                    best = _PartialPath(
                        cost_s, previous.hop_count + 1, previous, backend
                    )
        return best

    def _hop_cost_s(self, backend, layers, query):
        return hop_cost_s(backend, layers, query, self._loads, self._outcomes)

    def _hops(self, path):
        servers = []
        while path is not None:
            servers.append(path.backend)
            path = path.previous
        hops = []
        boundary = 0
        for backend in reversed(servers):
            hops.append(Hop(backend, boundary, backend.end_layer))
            boundary = backend.end_layer
        return hops


def _ranges(servers):
    return tuple((b.server_id, b.first_layer, b.end_layer) for b in servers)


def _keep_cheapest(partial_paths, path):
    """Keep a path unless a cheaper one ends at its boundary in its zone."""
    backend = path.backend
    by_zone = partial_paths.setdefault(backend.end_layer, {})
    known = by_zone.get(backend.zone)
    if known is None or path.cost_s < known.cost_s:
        by_zone[backend.zone] = path


@POLICIES.register('first_fit')
class FirstFit:
    """Greedily take the server that reaches furthest; the baseline."""

    def __init__(self, loads, rng, outcomes):
        self._loads = loads

    def choose(self, backends, query):
        """Return the hops of a path, or None if a layer is missing."""
        hops = []
        boundary = 0
        while boundary < query.total_layers:
            candidates = [
                b
                for b in backends
                if b.first_layer <= boundary < b.end_layer
                and b.server_id not in query.avoid
                and (boundary > 0 or b.server_id not in query.paused)
            ]
            if not candidates:
                return None
            backend = max(candidates, key=lambda b: (b.end_layer, b.server_id))
            hops.append(Hop(backend, boundary, backend.end_layer))
            boundary = backend.end_layer
        return hops
