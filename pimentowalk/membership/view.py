"""The backend servers that control instances report to a node."""

import attrs

# Join time of the servers in the first view, which joined before this node.
JOINED_BEFORE_S = float('-inf')


@attrs.define
class _Source:
    """The state that one control instance has reported.

    `complete` is set once a whole view has arrived; `pending` collects the
    pieces of the next whole view.
    """

    servers: dict = attrs.field(factory=dict)
    live_entries: int = 0
    complete: bool = False
    disconnected: bool = False
    pending: dict | None = None


class View:
    """Merge the views of several control instances.

    A server remains known while any of them reports it. The report of a
    disconnected control instance is kept until another instance has reported
    a whole view, so a node without control keeps its last view. It is kept
    only for servers that no connected instance reports, since only a connected
    one reports that a server leaves.
    """

    def __init__(self):
        self._sources = {}
        self._servers = {}
        self._services = {}
        self._joined_s = {}

    @property
    def live_entries(self):
        """Return the number of live entries, at least 1."""
        sources = self._sources.values()
        # A control instance that has just started reports too few entries.
        counts = [s.live_entries for s in sources if s.complete]
        if not counts:
            counts = [s.live_entries for s in sources]
        return max([1, *counts])

    def servers(self):
        """Return all servers."""
        return list(self._servers.values())

    def of_service(self, name):
        """Return the servers of a service."""
        return list(self._services.get(name, {}).values())

    def get(self, server_id):
        """Return the record of a server, or None."""
        return self._servers.get(server_id)

    def joined_s(self, server_id):
        """Return when a server joined, on the clock of `update`."""
        return self._joined_s.get(server_id, JOINED_BEFORE_S)

    def update(self, source_id, update, now_s):
        """Apply a `ViewUpdate` of one control instance."""
        source = self._sources.setdefault(source_id, _Source())
        source.disconnected = False
        source.live_entries = update.live_entries
        if update.whole:
            source.pending = {}
        if source.pending is not None:
            for server in update.changed:
                source.pending[server.server_id] = server
            if not update.more:
                self._replace(source, now_s)
            return
        for server in update.changed:
            self._drop_outdated(server.server_id)
            source.servers[server.server_id] = server
            self._put(server, now_s)
        for server_id in update.removed:
            source.servers.pop(server_id, None)
            self._discard(server_id, now_s)

    def _replace(self, source, now_s):
        old = source.servers
        source.servers = source.pending
        source.pending = None
        for server in source.servers.values():
            self._put(server, now_s)
        source.complete = True
        for server_id in old.keys() - source.servers.keys():
            self._discard(server_id, now_s)
        self._drop_disconnected(now_s)

    def mark_disconnected(self, source_id, now_s):
        """Record that the connection to a control instance has ended."""
        source = self._sources.get(source_id)
        if source is not None:
            source.disconnected = True
            source.complete = False
            source.pending = None
            for server_id in self._connected_ids() & source.servers.keys():
                del source.servers[server_id]
            self._drop_disconnected(now_s)

    def _connected_ids(self):
        return {
            server_id
            for source in self._sources.values()
            if not source.disconnected
            for server_id in source.servers
        }

    def _drop_outdated(self, server_id):
        """Forget what disconnected control instances reported of a server."""
        for source in self._sources.values():
            if source.disconnected:
                source.servers.pop(server_id, None)

    def _drop_disconnected(self, now_s):
        if not any(s.complete for s in self._sources.values()):
            return
        for source_id, source in list(self._sources.items()):
            if source.disconnected:
                del self._sources[source_id]
                for server_id in source.servers:
                    self._discard(server_id, now_s)

    def _put(self, server, now_s):
        old = self._servers.get(server.server_id)
        if old == server:
            return
        if old is None or old.incarnation != server.incarnation:
            is_first_view = not any(s.complete for s in self._sources.values())
            joined_s = JOINED_BEFORE_S if is_first_view else now_s
            self._joined_s[server.server_id] = joined_s
        if old is not None and old.service != server.service:
            self._services[old.service].pop(old.server_id, None)
        self._servers[server.server_id] = server
        same_service = self._services.setdefault(server.service, {})
        same_service[server.server_id] = server

    def _discard(self, server_id, now_s):
        for source in self._sources.values():
            remaining = source.servers.get(server_id)
            if remaining is not None:
                self._put(remaining, now_s)
                return
        server = self._servers.pop(server_id, None)
        self._joined_s.pop(server_id, None)
        if server is not None:
            self._services[server.service].pop(server_id, None)
