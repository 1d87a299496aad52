"""Cost of chains, and search for the cheapest chain through a sample."""

import attrs


class ChainCost:
    """Cost of chains for one query, in seconds.

    The cost adds up the queueing time of each stage, the delays of all links
    for each generated token, the link penalties, and the processing time of
    the tokens of the query at the slowest stage.
    """

    def __init__(self, loads, links, query):
        self._loads = loads
        self._links = links
        self._query = query
        self._stages = {}

    def stage(self, server):
        """Return (queueing time, processing time) of a stage."""
        cost = self._stages.get(server.server_id)
        if cost is None:
            speed = self._loads.tokens_per_s(server)
            work_s = self._query.predicted_tokens / speed
            cost = self._loads.wait_s(server), work_s
            self._stages[server.server_id] = cost
        return cost

    def entry_link(self, head):
        """Return the cost of the link from the entry to a first stage."""
        links = self._links
        return links.delay_s(links.origin, links.zone, head) + links.penalty_s(
            links.origin, head.server_id
        )

    def link(self, source, target):
        """Return the cost of a link between stages for all output tokens."""
        delay_s = self._links.delay_s(source.server_id, source.zone, target)
        return delay_s * self._query.output_tokens + self._links.penalty_s(
            source.server_id, target.server_id
        )

    def return_link(self, last, head):
        """Return the cost of returning tokens to the first stage."""
        return 0.0 if last is head else self.link(last, head)

    def penalty_s(self, chain):
        """Return the sum of the link penalties of a chain."""
        source_id = self._links.origin
        total_s = 0.0
        for server in chain:
            total_s += self._links.penalty_s(source_id, server.server_id)
            source_id = server.server_id
        return total_s

    def of(self, chain):
        """Return the cost of a whole chain."""
        total_s = self.entry_link(chain[0])
        slowest_s = 0.0
        for position, server in enumerate(chain):
            wait_s, work_s = self.stage(server)
            total_s += wait_s
            slowest_s = max(slowest_s, work_s)
            if position:
                total_s += self.link(chain[position - 1], server)
        return total_s + slowest_s + self.return_link(chain[-1], chain[0])


@attrs.frozen(eq=False)
class _Path:
    total_s: float
    slowest_s: float
    head: object
    server: object
    previous: object = None


def covers_all_layers(chain, total_layers):
    """Return whether a chain runs each layer exactly once and in order."""
    boundary = 0
    for server in chain:
        if server.first_layer != boundary or server.end_layer <= boundary:
            return False
        boundary = server.end_layer
    return boundary == total_layers


def cheapest(sample, total_layers, cost):
    """Return (cost, chain) of the cheapest chain through a sample.

    `sample` maps each first layer to its servers. Of the paths with the same
    first and last server, only those that are Pareto optimal in total cost
    and slowest stage are extended, so the result is exact.
    """
    paths_by_end = {}
    for boundary in sorted(sample):
        for server in sample[boundary]:
            wait_s, work_s = cost.stage(server)
            if boundary == 0:
                total_s = cost.entry_link(server) + wait_s
                paths = [_Path(total_s, work_s, server, server)]
            else:
                paths = _extend(
                    paths_by_end.get(boundary, ()),
                    server,
                    wait_s,
                    work_s,
                    cost,
                )
            paths_by_end.setdefault(server.end_layer, []).extend(paths)
    best = min(
        (
            path.total_s
            + path.slowest_s
            + cost.return_link(path.server, path.head),
            position,
            path,
        )
        for position, path in enumerate(paths_by_end[total_layers])
    )
    return best[0], _path_servers(best[2])


def _extend(paths, server, wait_s, work_s, cost):
    by_head = {}
    links = {}
    for path in paths:
        source_id = path.server.server_id
        if source_id not in links:
            links[source_id] = cost.link(path.server, server)
        extended = _Path(
            path.total_s + links[source_id] + wait_s,
            max(path.slowest_s, work_s),
            path.head,
            server,
            path,
        )
        by_head.setdefault(path.head.server_id, []).append(extended)
    return [
        path for group in by_head.values() for path in _pareto_optimal(group)
    ]


def _pareto_optimal(paths):
    paths.sort(key=lambda path: (path.total_s, path.slowest_s))
    kept = []
    for path in paths:
        if not kept or path.slowest_s < kept[-1].slowest_s:
            kept.append(path)
    return kept


def _path_servers(path):
    chain = []
    while path is not None:
        chain.append(path.server)
        path = path.previous
    return chain[::-1]
