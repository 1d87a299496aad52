"""The work that all nodes have at backend servers, known a little late."""

import collections

from pimentowalk.wire import node_messages

# Work that a node reported this long ago has ended or the node is gone.
REPORT_EXPIRY_S = 2.0
# What other nodes began since their last report is unknown for this long on
# average: half the period of reports and half that of passing them on.
UNREPORTED_S = 0.375
DEFAULT_STEP_S = 0.005
# A server that refused a stream for want of memory is taken for full for
# this long: about the time until another of its streams ends.
FULL_EXPIRY_S = 0.4
FULL_SHARE = 1.0
# A slow server is asked again when its streams fall silent again.
SLOWNESS_EXPIRY_S = 4.0
MB = 1e6
# Choosing a path that starts in another zone sends each event across.
ZONE_COST_S = 0.25


class InFlightTracker:
    """Count requests and tokens at each server, here and elsewhere."""

    def __init__(self, node_id, now_s):
        self._node_id = node_id
        self._now_s = now_s
        self._own_requests = collections.Counter()
        self._own_tokens = collections.Counter()
        self._others = {}
        self._sums = {}
        self._begun = collections.deque()
        self._begun_requests = collections.Counter()
        self._begun_tokens = collections.Counter()
        self._engines = {}
        self._slowness = {}
        self._full_until_s = {}

    def set_engines(self, engines):
        """Set the engine of each service."""
        self._engines = dict(engines)

    def begin(self, server_ids, tokens):
        """Count a request at some servers."""
        now_s = self._now_s()
        for server_id in server_ids:
            self._own_requests[server_id] += 1
            self._own_tokens[server_id] += tokens
            self._begun.append((now_s, server_id, tokens))
            self._begun_requests[server_id] += 1
            self._begun_tokens[server_id] += tokens

    def end(self, server_ids, tokens):
        """Stop counting a request."""
        for server_id in server_ids:
            self._own_requests[server_id] -= 1
            self._own_tokens[server_id] -= tokens
            if self._own_requests[server_id] <= 0:
                del self._own_requests[server_id]
                del self._own_tokens[server_id]

    def report(self):
        """Return the work of this node, to publish."""
        return node_messages.LoadNews(
            self._node_id,
            [
                node_messages.ServerLoad(
                    server_id, requests, max(0, self._own_tokens[server_id])
                )
                for server_id, requests in self._own_requests.items()
            ],
        )

    def record_report(self, body):
        """Take the report of another node."""
        if body.node_id != self._node_id:
            now_s = self._now_s()
            loads = {x.server_id: (x.requests, x.tokens) for x in body.loads}
            self._forget(body.node_id)
            self._add(loads, 1)
            # The last place: nodes are in the order of their reports.
            self._others[body.node_id] = now_s, loads
            self._forget_silent(now_s - REPORT_EXPIRY_S)

    def _forget_silent(self, oldest_s):
        while self._others:
            node_id, (heard_s, _) = next(iter(self._others.items()))
            if heard_s >= oldest_s:
                return
            self._forget(node_id)

    def _forget(self, node_id):
        _, loads = self._others.pop(node_id, (0.0, {}))
        self._add(loads, -1)

    def _add(self, loads, sign):
        """Add the work of one node to the sums, or take it out again.

        Reports come from every node twice a second; sums over all nodes
        would take a third of the processor time of a small node.
        """
        for server_id, (requests, tokens) in loads.items():
            known = self._sums.get(server_id, (0, 0))
            total = known[0] + sign * requests, known[1] + sign * tokens
            if total == (0, 0):
                self._sums.pop(server_id, None)
            else:
                self._sums[server_id] = total

    def _unreported(self, begun, server_id):
        """Estimate what other nodes began since they last reported.

        Nodes that know the same loads choose alike. Without the estimate all
        of them fill the best server until the next reports show it as full.
        """
        oldest_s = self._now_s() - UNREPORTED_S
        while self._begun and self._begun[0][0] < oldest_s:
            _, ended_id, tokens = self._begun.popleft()
            self._begun_requests[ended_id] -= 1
            self._begun_tokens[ended_id] -= tokens
            if self._begun_requests[ended_id] <= 0:
                del self._begun_requests[ended_id]
                del self._begun_tokens[ended_id]
        return begun[server_id] * len(self._others)

    def requests(self, server_id):
        """Return the requests at a server."""
        unreported = self._unreported(self._begun_requests, server_id)
        return self.reported_requests(server_id) + unreported

    def reported_requests(self, server_id):
        """Return the requests at a server, without what is estimated."""
        others = self._sums.get(server_id, (0, 0))[0]
        return self._own_requests[server_id] + others

    def tokens(self, server_id):
        """Return the tokens of the requests at a server."""
        others = self._sums.get(server_id, (0, 0))[1]
        others += self._unreported(self._begun_tokens, server_id)
        return self._own_tokens[server_id] + others

    def capacity_tokens(self, backend):
        """Return the tokens whose caches fit beside a server's layers."""
        engine = self._engines.get(backend.service)
        kind = engine and engine.accelerators.get(backend.accelerator)
        if not kind or not engine.kv_token_bytes:
            return 0
        free_mb = kind.memory_mb - backend.layer_count * engine.layer_mb
        layer_bytes = engine.kv_token_bytes / engine.total_layers
        return max(0.0, free_mb * MB / layer_bytes / backend.layer_count)

    def memory_share(self, backend, more_tokens=0):
        """Return the share of a server's cache that would be in use."""
        capacity = self.capacity_tokens(backend)
        if capacity <= 0:
            return 1.0
        tokens = self.tokens(backend.server_id) + more_tokens
        return self._at_least_full(backend, tokens / capacity)

    def reported_memory_share(self, backend, more_tokens=0):
        """Return the same by what is known, without what is estimated.

        The estimate follows the few requests that one node began lately. It
        serves to tell servers apart, but is too coarse to refuse by.
        """
        capacity = self.capacity_tokens(backend)
        if capacity <= 0:
            return 1.0
        server_id = backend.server_id
        tokens = self._own_tokens[server_id] + more_tokens
        tokens += self._sums.get(server_id, (0, 0))[1]
        return self._at_least_full(backend, tokens / capacity)

    def _at_least_full(self, backend, share):
        """Return the share, or that of a full server that refused lately."""
        if self.refused_lately(backend.server_id):
            return max(share, FULL_SHARE)
        return share

    def slot_share(self, backend):
        """Return the share of its slots that a head would have in use.

        A server holds as many requests as it has slots that begin with it;
        all others wait there, although its memory has room.
        """
        return self._slots_used(backend, self.requests(backend.server_id))

    def reported_slot_share(self, backend):
        """Return the same by what is known, without what is estimated."""
        return self._slots_used(
            backend, self.reported_requests(backend.server_id)
        )

    def _slots_used(self, backend, requests):
        return (requests + 1) / max(1, backend.slots)

    def refused_lately(self, server_id):
        """Return whether a server had no room for a request just now."""
        return self._full_until_s.get(server_id, 0.0) > self._now_s()

    def record_full(self, server_id):
        """Note that a server had no room for another request."""
        self._full_until_s[server_id] = self._now_s() + FULL_EXPIRY_S

    def record_slowness(self, server_id, factor):
        """Note that a server is slower than its kind by a factor."""
        if factor > 1:
            self._slowness[server_id] = self._now_s(), factor
        else:
            self._slowness.pop(server_id, None)

    def keep_only(self, server_ids):
        """Forget servers that are gone."""
        for known in (self._slowness, self._full_until_s):
            for server_id in known.keys() - server_ids:
                del known[server_id]

    def _slowness_of(self, server_id):
        noted_s, factor = self._slowness.get(server_id, (0.0, 1.0))
        if factor > 1 and self._now_s() - noted_s > SLOWNESS_EXPIRY_S:
            del self._slowness[server_id]
            return 1.0
        return factor

    def step_s(self, backend):
        """Return the time of one layer for the tokens of a usual answer."""
        engine = self._engines.get(backend.service)
        kind = engine and engine.accelerators.get(backend.accelerator)
        if not kind:
            return DEFAULT_STEP_S
        step_s = engine.step_ms / 1000 * kind.step_factor
        step_s *= self._slowness_of(backend.server_id)
        return step_s / engine.total_layers * engine.usual_answer_tokens

    def zone_cost_s(self, zone):
        """Return the cost of starting in another zone."""
        return ZONE_COST_S
