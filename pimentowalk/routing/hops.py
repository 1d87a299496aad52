"""Paths of hops through backend servers that hold ranges of layers.

Unlike the chains of agents, whose ranges tile exactly, a hop may use a part
of what its server holds. A path hands over where a server's range ends.
"""

import attrs

from pimentowalk.core import registry

POLICIES = registry.Registry('path policy')

# Costs are in seconds for one request. A hop in the same zone costs the
# delay of a link for each token of an answer.
HOP_S = 0.05
# Activations of one request take tens of milliseconds of a link that all
# share, so that a dozen crossings a second fill it and all of them stall. A
# path crosses zones only where no zone holds all layers, and then seldom.
CROSSING_S = 4.0
# A server whose cache is full preempts running work.
FULL_COST_S = 8.0
# Above this share of the cache a server is avoided in favour of others.
KNEE_SHARE = 0.5
# A server at which all calls fail costs a try, besides the time lost.
FAILURE_COST_S = 1.0
MAX_HOPS = 32
# Equal servers are told apart at random within this share of the costs, so
# that nodes that know the same loads do not all choose the same server.
JITTER_SHARE = 0.1


@attrs.frozen
class Hop:
    """The part of a path that one backend server runs."""

    backend: object
    first_layer: int
    end_layer: int


@attrs.frozen
class PathQuery:
    """What a path must serve, and where it starts.

    `avoid` holds ids of servers that must not be used; `head` is the first
    hop of a path that is to keep it.
    """

    total_layers: int
    tokens: int
    zone: str
    avoid: frozenset = frozenset()
    head: Hop | None = None


def hop_cost_s(backend, layers, query, loads, outcomes):
    """Return the cost of running some layers at a server."""
    failures = outcomes.failure_share(backend.server_id)
    step_s = loads.step_s(backend) * layers
    share = loads.memory_share(backend, query.tokens)
    if backend.first_layer == 0:
        share = max(share, loads.slot_share(backend))
    over = max(0.0, share - KNEE_SHARE) / (1 - KNEE_SHARE)
    return (
        HOP_S
        + step_s * (1 + share)
        + FULL_COST_S * over * over
        + FAILURE_COST_S * failures
    )


def covers_all_layers(hops, total_layers):
    """Return whether hops run each layer once and in order."""
    at = 0
    for hop in hops:
        if hop.first_layer != at or hop.end_layer <= at:
            return False
        if hop.first_layer < hop.backend.first_layer:
            return False
        if hop.end_layer > hop.backend.end_layer:
            return False
        at = hop.end_layer
    return at == total_layers


@attrs.define
class _Best:
    cost_s: float
    hops: int
    previous: object
    backend: object


@POLICIES.register('cheapest')
class CheapestPath:
    """Find the path of the least total cost by dynamic programming."""

    def __init__(self, loads, rng, outcomes):
        self._loads = loads
        self._rng = rng
        self._outcomes = outcomes

    def choose(self, backends, query):
        """Return the hops of a path, or None if a layer is missing.

        Each zone is tried alone first: a path within one zone needs no
        transfer between zones.
        """
        fit = [
            b
            for b in backends
            if b.server_id not in query.avoid and b.layer_count > 0
        ]
        fit.sort(key=lambda b: (b.end_layer, b.first_layer))
        zones = {}
        for backend in fit:
            zones.setdefault(backend.zone, []).append(backend)
        if query.head is not None:
            zone = query.head.backend.zone
            zones = {zone: zones.get(zone, [])}
        found = [self._search(servers, query) for servers in zones.values()]
        best = min(
            (path for path in found if path is not None),
            key=lambda path: path.cost_s,
            default=None,
        )
        best = best or self._search(fit, query)
        return self._hops(best) if best else None

    def _search(self, fit, query):
        ends = []
        final = None
        if query.head is not None:
            if query.head.end_layer >= query.total_layers:
                return None
            kept = attrs.evolve(
                query.head.backend,
                first_layer=0,
                end_layer=query.head.end_layer,
            )
            ends.append(_Best(0.0, 1, None, kept))
            fit = [
                b
                for b in fit
                if b.server_id != kept.server_id
                and b.end_layer > kept.end_layer
            ]
        for backend in fit:
            found = self._extend(ends, backend, query)
            if found is None:
                continue
            if backend.end_layer >= query.total_layers:
                if final is None or found.cost_s < final.cost_s:
                    final = found
            else:
                ends.append(found)
        return final

    def _extend(self, ends, backend, query):
        """Return the cheapest way to the end of a server's range."""
        jitter = 1 + self._rng.random() * JITTER_SHARE
        best = None
        if backend.first_layer == 0 and query.head is None:
            layers = backend.end_layer
            cost_s = jitter * self._hop_cost_s(backend, layers, query)
            if backend.zone != query.zone:
                cost_s += self._loads.zone_cost_s(backend.zone)
            best = _Best(cost_s, 1, None, backend)
        own = {}
        for previous in ends:
            at = previous.backend.end_layer
            if not backend.first_layer <= at < backend.end_layer:
                continue
            if previous.hops >= MAX_HOPS:
                continue
            if at not in own:
                own[at] = jitter * self._hop_cost_s(
                    backend, backend.end_layer - at, query
                )
            cost_s = previous.cost_s + own[at]
            if previous.backend.zone != backend.zone:
                cost_s += CROSSING_S
            if best is None or cost_s < best.cost_s:
                best = _Best(cost_s, previous.hops + 1, previous, backend)
        return best

    def _hop_cost_s(self, backend, layers, query):
        return hop_cost_s(backend, layers, query, self._loads, self._outcomes)

    def _hops(self, best):
        chain = []
        while best is not None:
            chain.append(best.backend)
            best = best.previous
        hops = []
        at = 0
        for backend in reversed(chain):
            hops.append(Hop(backend, at, backend.end_layer))
            at = backend.end_layer
        return hops


@POLICIES.register('first_fit')
class FirstFit:
    """Take the server that reaches furthest at each boundary; baseline."""

    def __init__(self, loads, rng, outcomes):
        self._loads = loads

    def choose(self, backends, query):
        """Return the hops of a path, or None if a layer is missing."""
        hops = []
        at = 0
        while at < query.total_layers:
            fit = [
                b
                for b in backends
                if b.first_layer <= at < b.end_layer
                and b.server_id not in query.avoid
            ]
            if not fit:
                return None
            backend = max(fit, key=lambda b: (b.end_layer, b.server_id))
            hops.append(Hop(backend, at, backend.end_layer))
            at = backend.end_layer
        return hops
