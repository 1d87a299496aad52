"""Liveness of nodes and backend servers at one control instance."""

import attrs

from pimentowalk.membership import announcements
from pimentowalk.topology import instances

MISSED_HEARTBEATS = 3
# A node that reconnects within this time keeps its record, so that a single
# lost connection does not remove a working server.
RECONNECT_GRACE_S = 0.5
ENTRY = 'entry'


@attrs.define
class NodeRecord:
    """One incarnation of a node, and the server it announced, if any."""

    node_id: str
    role: str
    zone: str
    incarnation: int
    connection: object
    heard_s: float
    version_in_force: int = 0
    draining: bool = False
    heartbeats_behind: int = 0
    disconnected_s: float | None = None
    server: instances.BackendServer | None = None


class Directory:
    """Hold the node records in memory.

    `changed_ranges` collects the keys of layer ranges whose servers changed.
    """

    def __init__(self, heartbeat_s=1.0):
        self._expiry_s = MISSED_HEARTBEATS * heartbeat_s
        self._nodes = {}
        # Nodes that said that they leave: (incarnation, time).
        self._departed = {}
        self._owners = {}
        self._announced_servers = {}
        self._servers_by_range = {}
        self.live_entries = 0
        self.changed_ranges = set()

    def nodes(self):
        """Return the records of all nodes."""
        return list(self._nodes.values())

    def node(self, node_id):
        """Return the record of a node, or None."""
        return self._nodes.get(node_id)

    def server(self, server_id):
        """Return the announced record of a backend server, or None."""
        owner = self._owners.get(server_id)
        return owner.server if owner else None

    def ranges(self):
        """Return the keys of all layer ranges."""
        return list(self._servers_by_range)

    def servers_in_range(self, key):
        """Return the servers of a layer range."""
        return list(self._servers_by_range.get(key, {}).values())

    def record_connection(self, connection, hello, now_s):
        """Record a node whose connection has been accepted."""
        node = self._nodes.get(hello.node_id)
        if node is not None and node.incarnation == hello.incarnation:
            node.connection = connection
            node.disconnected_s = None
            node.heard_s = now_s
            return
        if node is not None:
            self._remove(node)
        self._nodes[hello.node_id] = NodeRecord(
            hello.node_id,
            hello.role,
            hello.zone,
            hello.incarnation,
            connection,
            now_s,
        )
        self.live_entries += hello.role == ENTRY

    def _find_current(self, connection, now_s):
        # An older incarnation may still have an open connection; its frames
        # must not restore its record. Nor may frames of a node that has left.
        hello = connection.hello
        incarnation, _ = self._departed.get(hello.node_id, (None, 0.0))
        if incarnation == hello.incarnation:
            return None
        node = self._nodes.get(hello.node_id)
        if node is None:
            self.record_connection(connection, connection.hello, now_s)
            return self._nodes[connection.hello.node_id]
        is_same = node.incarnation == connection.hello.incarnation
        return node if is_same else None

    def record_announcement(self, connection, server, now_s):
        """Record the backend server that a node announces."""
        node = self._find_current(connection, now_s)
        if node is None:
            return
        node.heard_s = now_s
        self._announced_servers[connection] = server
        if node.server == server:
            return
        self._remove_server(node)
        owner = self._owners.get(server.server_id)
        if owner is not None:
            self._remove_server(owner)
        node.server = server
        self._owners[server.server_id] = node
        key = announcements.range_key(server)
        self._servers_by_range.setdefault(key, {})[server.server_id] = server
        self.changed_ranges.add(key)

    def record_heartbeat(self, connection, heartbeat, now_s):
        """Record that a node is alive and its version in force."""
        node = self._find_current(connection, now_s)
        if node is None:
            return
        if heartbeat.leaving:
            self._departed[node.node_id] = node.incarnation, now_s
            self._remove(node)
            return
        node.heard_s = now_s
        node.version_in_force = heartbeat.version_in_force
        node.draining = heartbeat.draining
        # A node that expired does not repeat its announcement when its
        # heartbeats resume.
        server = node.server or self._announced_servers.get(connection)
        if server is None:
            return
        if heartbeat.draining and not server.draining:
            server = attrs.evolve(server, draining=True)
        if server is not node.server:
            self.record_announcement(connection, server, now_s)

    def record_disconnect(self, connection, now_s):
        """Record that a connection has closed."""
        self._announced_servers.pop(connection, None)
        node = self._nodes.get(connection.hello.node_id)
        if node is not None and node.connection is connection:
            node.disconnected_s = now_s

    def expire(self, now_s):
        """Remove nodes that are silent or disconnected for too long.

        Returns the connections of the silent nodes.
        """
        silent_connections = []
        for node in list(self._nodes.values()):
            silent = now_s - node.heard_s > self._expiry_s
            disconnected = (
                node.disconnected_s is not None
                and now_s - node.disconnected_s >= RECONNECT_GRACE_S
            )
            if silent:
                silent_connections.append(node.connection)
            if silent or disconnected:
                self._remove(node)
        self._departed = {
            node_id: (incarnation, left_s)
            for node_id, (incarnation, left_s) in self._departed.items()
            if now_s - left_s <= self._expiry_s
        }
        return silent_connections

    def _remove(self, node):
        del self._nodes[node.node_id]
        self.live_entries -= node.role == ENTRY
        self._remove_server(node)

    def _remove_server(self, node):
        if node.server is None:
            return
        server_id = node.server.server_id
        key = announcements.range_key(node.server)
        servers = self._servers_by_range[key]
        servers.pop(server_id, None)
        if not servers:
            del self._servers_by_range[key]
        if self._owners.get(server_id) is node:
            del self._owners[server_id]
        node.server = None
        self.changed_ranges.add(key)
