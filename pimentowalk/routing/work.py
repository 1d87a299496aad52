"""Requests in flight at backend servers, from all nodes.

The load of other nodes is known from their periodic reports, with a delay.
"""

import collections

from pimentowalk.routing import load_totals
from pimentowalk.routing import predictions
from pimentowalk.wire import node_messages

# Mean delay until requests started at another node are known here: half the
# report period plus half the period at which control forwards reports.
UNREPORTED_S = 0.375
DEFAULT_LAYER_TIME_S = 0.005
# A server that rejected a stream for lack of memory counts as full for this
# long, which is about the time until one of its streams ends.
FULL_EXPIRY_S = 0.4
FULL_SHARE = 1.0
# A recorded slowness expires after this time. If the server is still slow,
# its streams stall again and it is measured again.
SLOWNESS_EXPIRY_S = 4.0
MB = 1e6
# A path whose head is in another zone sends each event between zones.
REMOTE_ZONE_COST_S = 0.25


class InFlightTracker:
    """Count requests and tokens in flight at each server, over all nodes.

    `live_nodes` returns how many nodes are connected to control.
    """

    def __init__(self, node_id, now_s, live_nodes=lambda: 1):
        self._node_id = node_id
        self._now_s = now_s
        self._live_nodes = live_nodes
        self._first_start_s = None
        self._own_requests = collections.Counter()
        self._own_tokens = collections.Counter()
        self._reports = load_totals.LoadTotals()
        self._summary = {}
        self._summarized_s = float('-inf')
        self._other_nodes = 0
        self._recent_starts = collections.deque()
        self._recent_requests = collections.Counter()
        self._recent_tokens = collections.Counter()
        self._engines = {}
        self._slowness = {}
        self._full_until_s = {}

    def now_s(self):
        """Return the time on the clock of this tracker."""
        return self._now_s()

    def set_engines(self, engines):
        """Set the engine of each service."""
        self._engines = dict(engines)

    def begin(self, server_ids, tokens):
        """Count a request as in flight at its servers."""
        now_s = self._now_s()
        if self._first_start_s is None:
            self._first_start_s = now_s
        for server_id in server_ids:
            self._own_requests[server_id] += 1
            self._own_tokens[server_id] += tokens
            self._recent_starts.append((now_s, server_id, tokens))
            self._recent_requests[server_id] += 1
            self._recent_tokens[server_id] += tokens

    def end(self, server_ids, tokens):
        """Stop counting a request."""
        for server_id in server_ids:
            self._own_requests[server_id] -= 1
            self._own_tokens[server_id] -= tokens
            if self._own_requests[server_id] <= 0:
                del self._own_requests[server_id]
                del self._own_tokens[server_id]

    def report(self):
        """Return the load report of this node."""
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
        """Replace the report of another node."""
        if body.node_id != self._node_id:
            now_s = self._now_s()
            loads = {x.server_id: (x.requests, x.tokens) for x in body.loads}
            self._reports.record(body.node_id, loads, now_s)
            self._reports.expire(now_s)
            self._other_nodes = len(self._reports)

    def record_summary(self, nodes, loads):
        """Replace the load of all other nodes, and their number.

        `loads` maps server ids to (requests, tokens).
        """
        self._reports.clear()
        self._summary = loads
        self._summarized_s = self._now_s()
        self._other_nodes = nodes

    def _reported(self, server_id):
        """Return (requests, tokens) of the other nodes at a server."""
        found = self._summary.get(server_id)
        if found is None:
            return self._reports.of_server(server_id)
        age_s = self._now_s() - self._summarized_s
        if age_s > load_totals.REPORT_EXPIRY_S:
            self._summary = {}
            return self._reports.of_server(server_id)
        return found

    def _estimate_unreported(self, recent, server_id):
        """Estimate what other nodes have started since their last reports.

        Nodes with the same view of the load make the same choices. Without
        the estimate they would all send to the best server until the next
        reports show that it is full.
        """
        oldest_s = self._now_s() - UNREPORTED_S
        while self._recent_starts and self._recent_starts[0][0] < oldest_s:
            _, started_id, tokens = self._recent_starts.popleft()
            self._recent_requests[started_id] -= 1
            self._recent_tokens[started_id] -= tokens
            if self._recent_requests[started_id] <= 0:
                del self._recent_requests[started_id]
                del self._recent_tokens[started_id]
        return recent[server_id] * self._count_other_nodes()

    def _count_other_nodes(self):
        """Return how many other nodes probably start requests.

        After a restart of all nodes, their callers return at once and no node
        has reported any load.
        """
        start_s = self._first_start_s
        if start_s is None:
            return self._other_nodes
        if self._now_s() - start_s > load_totals.REPORT_EXPIRY_S:
            return self._other_nodes
        return max(self._other_nodes, self._live_nodes() - 1)

    def requests(self, server_id):
        """Return the requests in flight at a server, with an estimate."""
        unreported = self._estimate_unreported(
            self._recent_requests, server_id
        )
        return self.reported_requests(server_id) + unreported

    def own_requests(self, server_id):
        """Return the requests of this node in flight at a server."""
        return self._own_requests[server_id]

    def reported_requests(self, server_id):
        """Return the requests in flight at a server, without the estimate."""
        return self._own_requests[server_id] + self._reported(server_id)[0]

    def tokens(self, server_id):
        """Return the tokens in flight at a server, with an estimate."""
        remote = self._reported(server_id)[1]
        remote += self._estimate_unreported(self._recent_tokens, server_id)
        return self._own_tokens[server_id] + remote

    def capacity_tokens(self, backend):
        """Return how many tokens of KV cache fit beside the layers."""
        engine = self._engines.get(backend.service)
        accelerator = engine and engine.accelerators.get(backend.accelerator)
        if not accelerator or not engine.kv_token_bytes:
            return 0
        free_mb = accelerator.memory_mb - backend.layer_count * engine.layer_mb
        layer_bytes = engine.kv_token_bytes / engine.total_layers
        return max(0.0, free_mb * MB / layer_bytes / backend.layer_count)

    def usual_requests(self, backend):
        """Return how many requests of usual length a warm server holds."""
        engine = self._engines.get(backend.service)
        if engine is None:
            return backend.slots
        usual_tokens = engine.usual_prompt_tokens + engine.usual_answer_tokens
        in_memory = self.capacity_tokens(backend) / max(1, usual_tokens)
        # One slot is also assumed where a server announces no number.
        return (
            min(backend.slots, in_memory) if backend.slots > 1 else in_memory
        )

    def memory_share(self, backend, more_tokens=0):
        """Return the KV cache utilization after adding `more_tokens`."""
        capacity = self.capacity_tokens(backend)
        if capacity <= 0:
            return 1.0
        tokens = self.tokens(backend.server_id) + more_tokens
        return self._full_if_refused(backend, tokens / capacity)

    def reported_memory_share(self, backend, more_tokens=0):
        """Return `memory_share` without the estimate of unreported load.

        The estimate extrapolates from the few requests that one node started
        recently: enough to rank servers, but too coarse to reject requests.
        """
        capacity = self.capacity_tokens(backend)
        if capacity <= 0:
            return 1.0
        server_id = backend.server_id
        tokens = self._own_tokens[server_id] + more_tokens
        tokens += self._reported(server_id)[1]
        return self._full_if_refused(backend, tokens / capacity)

    def _full_if_refused(self, backend, share):
        """Raise the share to full if the server rejected a request."""
        if self.refused_recently(backend.server_id):
            return max(share, FULL_SHARE)
        return share

    def slot_share(self, backend):
        """Return the slot utilization of a server with one more request.

        Slots limit the requests that start at a server. Further ones wait
        there even if its memory has room.
        """
        return self._slots_share(backend, self.requests(backend.server_id))

    def reported_slot_share(self, backend):
        """Return `slot_share` without the estimate of unreported load."""
        return self._slots_share(
            backend, self.reported_requests(backend.server_id)
        )

    def _slots_share(self, backend, requests):
        return (requests + 1) / max(1, backend.slots)

    def refused_recently(self, server_id):
        """Return whether a server recently had no room for a request."""
        return self._full_until_s.get(server_id, 0.0) > self._now_s()

    def record_full(self, server_id):
        """Record that a server had no room for another request."""
        self._full_until_s[server_id] = self._now_s() + FULL_EXPIRY_S

    def record_slowness(self, server_id, factor):
        """Record by what factor a server is slower than its accelerator."""
        if factor > 1:
            self._slowness[server_id] = self._now_s(), factor
        else:
            self._slowness.pop(server_id, None)

    def keep_only(self, server_ids):
        """Drop the state of all servers except these."""
        for table in (self._slowness, self._full_until_s):
            for server_id in table.keys() - server_ids:
                del table[server_id]

    def _slowness_of(self, server_id):
        recorded_s, factor = self._slowness.get(server_id, (0.0, 1.0))
        if factor > 1 and self._now_s() - recorded_s > SLOWNESS_EXPIRY_S:
            del self._slowness[server_id]
            return 1.0
        return factor

    def hop_load(self, server_id):
        """Return the `HopLoad` of a server for predictions of pauses."""
        return predictions.HopLoad(
            self.reported_requests(server_id), self._slowness_of(server_id)
        )

    def layer_time_s(self, backend):
        """Return the time of one layer for an answer of typical length."""
        engine = self._engines.get(backend.service)
        accelerator = engine and engine.accelerators.get(backend.accelerator)
        if not accelerator:
            return DEFAULT_LAYER_TIME_S
        step_s = engine.step_ms / 1000 * accelerator.step_factor
        step_s *= self._slowness_of(backend.server_id)
        return step_s / engine.total_layers * engine.usual_answer_tokens

    def remote_zone_cost_s(self, zone):
        """Return the cost of a path that starts in another zone."""
        return REMOTE_ZONE_COST_S
