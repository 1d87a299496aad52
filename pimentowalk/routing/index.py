"""Servers by service, model, version, adapter and layer range."""

import collections

import attrs

from pimentowalk.topology import instances


@attrs.frozen
class ChainQuery:
    """What a chain must serve; an empty version means any single one.

    `output_tokens` of the `predicted_tokens` are generated, the others are
    prefill. `avoid` holds ids of servers to use only if nothing else is
    left.
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


class Members:
    """The servers of one layer range, with constant-time random access."""

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
    """Servers that may share a chain, by first and end layer."""

    def __init__(self, total_layers):
        self.total_layers = total_layers
        self.ranges = {}
        self._servers = {}
        self._viable = set()

    def __len__(self):
        return len(self._servers)

    def put(self, server):
        """Add or replace a server."""
        self._servers[server.server_id] = server

    def drop(self, server):
        """Remove a server."""
        self._servers.pop(server.server_id, None)

    def rebuild(self):
        """Sort the servers into ranges that lead to the last layer."""
        by_range = collections.defaultdict(list)
        for server in self._servers.values():
            by_range[server.first_layer, server.end_layer].append(server)
        viable = {self.total_layers}
        for first, end in sorted(by_range, reverse=True):
            if end in viable and first < end:
                viable.add(first)
        self.ranges = collections.defaultdict(list)
        for (first, end), servers in sorted(by_range.items()):
            if end in viable and first < end:
                members = Members()
                members.replace(servers)
                self.ranges[first].append((end, members))
        self._viable = viable

    @property
    def tiles(self):
        """Return whether the servers can tile all layers."""
        return self.total_layers > 0 and 0 in self._viable


class ServerIndex:
    """Keep groups of servers up to date with a view.

    Work is proportional to what changed, so that choosing a chain never
    walks over all replicas.
    """

    def __init__(self, timers):
        self._timers = timers
        self._servers = {}
        self._groups = {}
        self._keys = collections.defaultdict(set)
        self._plain = {}
        self._plain_lists = {}
        self._since_s = {}
        self._filled = False

    def update(self, servers):
        """Replace the view; draining servers receive no new work."""
        wanted = {s.server_id: s for s in servers if not s.draining}
        touched = set()
        for server_id in list(self._servers):
            if server_id not in wanted:
                touched |= self._remove(self._servers.pop(server_id))
        for server_id, server in wanted.items():
            old = self._servers.get(server_id)
            if old == server:
                continue
            if old is not None:
                touched |= self._remove(old)
            self._join(old, server)
            touched |= self._add(server)
        for key in touched:
            self._rebuild(key)
        self._filled = self._filled or bool(wanted)

    def _join(self, old, server):
        self._servers[server.server_id] = server
        if old is not None and old.incarnation == server.incarnation:
            return
        # The servers of the first view were there before this process, so
        # they need no ramp.
        known = float('-inf')
        now_s = self._timers.now_s() if self._filled else known
        self._since_s[server.server_id] = now_s

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
        touched = set()
        for name, variant in self._group_keys(server):
            self._keys[name].add(variant)
            key = (*name, *variant)
            if key not in self._groups:
                self._groups[key] = Group(server.total_layers)
            self._groups[key].put(server)
            touched.add((name, variant))
        return touched

    def _remove(self, server):
        if server.kind == instances.PLAIN:
            self._plain[server.service].pop(server.server_id, None)
            self._plain_lists.pop(server.service, None)
            return set()
        touched = set()
        for name, variant in self._group_keys(server):
            self._groups[(*name, *variant)].drop(server)
            touched.add((name, variant))
        return touched

    def _rebuild(self, key):
        name, variant = key
        group = self._groups[(*name, *variant)]
        if len(group):
            group.rebuild()
            return
        del self._groups[(*name, *variant)]
        self._keys[name].discard(variant)

    def group(self, query):
        """Return a group that can serve the query, or None.

        Of several versions the highest name that tiles all layers is used.
        """
        name = (query.service, query.model, query.adapter)
        for version, total in sorted(self._keys.get(name, ()), reverse=True):
            if query.version not in ('', version):
                continue
            if query.total_layers not in (0, total):
                continue
            group = self._groups[(*name, version, total)]
            if group.tiles:
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
        """Return for how long a server has been in the view."""
        since_s = self._since_s.get(server_id, float('-inf'))
        return self._timers.now_s() - since_s
