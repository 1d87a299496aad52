"""Index of servers by service, model, version, adapter and layer range."""

import collections

import attrs

from pimentowalk.topology import instances


@attrs.frozen
class ChainQuery:
    """Requirements for a chain; an empty version accepts any one version.

    `predicted_tokens` is the sum of prefill tokens and `output_tokens`.
    `avoid` holds the ids of servers to use only if there is no alternative.
    """

    service: str
    model: str
    version: str = ''
    adapter: str = ''
    total_layers: int = 0
    predicted_tokens: int = 1
    output_tokens: int = 1
    prefix_keys: tuple = ()
    avoid: frozenset = frozenset()


class RangeServers:
    """Servers of one layer range, in a list for constant-time sampling."""

    def __init__(self):
        self.servers = []
        self.by_zone = collections.defaultdict(list)
        self.capacity_tokens_per_s = 0.0

    def replace(self, servers):
        """Set the servers of the range."""
        self.servers = servers
        self.by_zone = collections.defaultdict(list)
        for server in servers:
            self.by_zone[server.zone].append(server)
        self.capacity_tokens_per_s = sum(
            server.capacity_tokens_per_s for server in servers
        )


class Group:
    """Servers that can be combined into chains, by layer range."""

    def __init__(self, total_layers):
        self.total_layers = total_layers
        self.ranges = {}
        self._servers = {}
        self._useful_boundaries = set()

    def __len__(self):
        return len(self._servers)

    def put(self, server):
        """Add or replace a server."""
        self._servers[server.server_id] = server

    def drop(self, server):
        """Remove a server."""
        self._servers.pop(server.server_id, None)

    def rebuild(self):
        """Group servers by range; drop ranges with no way to the end."""
        by_range = collections.defaultdict(list)
        for server in self._servers.values():
            by_range[server.first_layer, server.end_layer].append(server)
        useful = {self.total_layers}
        for first, end in sorted(by_range, reverse=True):
            if end in useful and first < end:
                useful.add(first)
        self.ranges = collections.defaultdict(list)
        for (first, end), servers in sorted(by_range.items()):
            if end in useful and first < end:
                members = RangeServers()
                members.replace(servers)
                self.ranges[first].append((end, members))
        self._useful_boundaries = useful

    @property
    def is_complete(self):
        """Return whether a chain can cover all layers."""
        return self.total_layers > 0 and 0 in self._useful_boundaries


def _join_before_index(server_id):
    return float('-inf')


class ServerIndex:
    """Maintain groups of servers as the view changes.

    An update rebuilds only the groups that changed, so that the choice of a
    chain never iterates over all replicas.
    """

    def __init__(self, timers):
        self._timers = timers
        self._servers = {}
        self._groups = {}
        self._variants = collections.defaultdict(set)
        self._plain = {}
        self._plain_lists = {}
        self._joined_s = _join_before_index

    def update(self, servers, joined_s=_join_before_index):
        """Replace the view; draining servers are left out.

        `joined_s(server_id)` returns when a server joined. Without it, all of
        them joined before this index existed and are not ramped up.
        """
        self._joined_s = joined_s
        wanted = {s.server_id: s for s in servers if not s.draining}
        changed = set()
        for server_id in list(self._servers):
            if server_id not in wanted:
                changed |= self._remove(self._servers.pop(server_id))
        for server_id, server in wanted.items():
            old = self._servers.get(server_id)
            if old == server:
                continue
            if old is not None:
                changed |= self._remove(old)
            self._servers[server_id] = server
            changed |= self._add(server)
        for key in changed:
            self._rebuild(key)

    def _group_keys(self, server):
        for adapter in {'', *server.adapters}:
            yield (
                (server.service, server.model, adapter),
                (server.version, server.total_layers),
            )

    def _add(self, server):
        if server.kind == instances.PLAIN:
            group = self._plain.setdefault(server.service, {})
            group[server.server_id] = server
            self._plain_lists.pop(server.service, None)
            return set()
        changed = set()
        for name, variant in self._group_keys(server):
            self._variants[name].add(variant)
            key = (*name, *variant)
            if key not in self._groups:
                self._groups[key] = Group(server.total_layers)
            self._groups[key].put(server)
            changed.add((name, variant))
        return changed

    def _remove(self, server):
        if server.kind == instances.PLAIN:
            self._plain[server.service].pop(server.server_id, None)
            self._plain_lists.pop(server.service, None)
            return set()
        changed = set()
        for name, variant in self._group_keys(server):
            self._groups[(*name, *variant)].drop(server)
            changed.add((name, variant))
        return changed

    def _rebuild(self, key):
        name, variant = key
        group = self._groups[(*name, *variant)]
        if len(group):
            group.rebuild()
            return
        del self._groups[(*name, *variant)]
        self._variants[name].discard(variant)

    def group(self, query):
        """Return a group that can serve the query, or None.

        Of the versions that cover all layers, the one whose name sorts last
        is used.
        """
        name = (query.service, query.model, query.adapter)
        for version, total in sorted(
            self._variants.get(name, ()), reverse=True
        ):
            if query.version not in ('', version):
                continue
            if query.total_layers not in (0, total):
                continue
            group = self._groups[(*name, version, total)]
            if group.is_complete:
                return group
        return None

    def plain(self, service):
        """Return the servers of a plain service."""
        servers = self._plain_lists.get(service)
        if servers is None:
            servers = list(self._plain.get(service, {}).values())
            self._plain_lists[service] = servers
        return servers

    def get(self, server_id):
        """Return a server of the view, or None."""
        return self._servers.get(server_id)

    def age_s(self, server_id):
        """Return how long ago a server joined, in seconds."""
        return self._timers.now_s() - self._joined_s(server_id)
